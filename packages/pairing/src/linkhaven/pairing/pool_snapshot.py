"""The open runners of a pool during one placement decision, with their figures computed once.

A decision evaluates each prefill runner together with the decode runner that would get its KV
cache, so that the same decode runners come up once per prefill runner. Their figures don't change
during the decision.
"""

from collections.abc import Callable

from linkhaven.runner import Runner
from linkhaven.runner.roster import DECODE

from .decoders import DecoderSplit


class PoolSnapshot:
    """Caches the figures of a pool's runners for one decision.

    `runners`: those that take new work.
    """

    __slots__ = (
        "runners",
        "decoders",
        "_split_of",
        "_split",
        "_start_us_of",
        "_starts_us",
        "_kv_share_of",
        "_kv_shares",
    )

    def __init__(
        self,
        runners: list[Runner],
        split_of: Callable[[list[Runner]], DecoderSplit],
        start_us_of: Callable[[Runner], int],
        kv_share_of: Callable[[Runner], float],
    ) -> None:
        """Each function is called lazily and at most once per runner."""
        self.runners = runners
        self.decoders = [runner for runner in runners if runner.phase == DECODE]
        self._split_of = split_of
        self._split: DecoderSplit | None = None
        self._start_us_of = start_us_of
        self._starts_us: dict[str, int] = {}
        self._kv_share_of = kv_share_of
        self._kv_shares: dict[str, float] = {}

    @property
    def split(self) -> DecoderSplit:
        """The division of the decode runners."""
        if self._split is None:
            self._split = self._split_of(self.decoders)
        return self._split

    def kv_share(self, runner: Runner) -> float:
        """Return the share of a runner's KV cache in use."""
        kv_share = self._kv_shares.get(runner.name)
        if kv_share is None:
            kv_share = self._kv_shares[runner.name] = self._kv_share_of(runner)
        return kv_share

    def start_us(self, runner: Runner) -> int:
        """Return how long a decode would wait for its start at a runner, in microseconds."""
        start_us = self._starts_us.get(runner.name)
        if start_us is None:
            start_us = self._starts_us[runner.name] = self._start_us_of(runner)
        return start_us
