"""Exponential backoff from runners after failures.

| failure | who avoids the runner | for how long |
| --- | --- | --- |
| a transfer of KV cache from it failed | all routers, for prefill | `EJECT_US`, doubled each time |
| it rejected a request though listed as free | this router | `REST_US`, doubled each time |
"""

from collections.abc import Callable, Iterable
from typing import Any

from linkhaven.runner import Runner
from linkhaven.runner.roster import PREFILL
from linkhaven.runtime import Node

from .messages import RunnerEjected

REST_US = 200_000
"""The first backoff after a rejected request, in microseconds, and the longest one."""

MAX_REST_US = 1_600_000
EJECT_US = 2_000_000
"""The first ejection after a failed transfer, in microseconds, and the longest one."""

MAX_EJECT_US = 16_000_000

NO_BACKOFF = (0, 0)
"""The backoff of a runner that has none: its end and its length."""


class RunnerBackoff:
    """Owns the end and length of each runner's backoff, in memory only."""

    __slots__ = ("node", "peers", "ejected", "resting")

    def __init__(self, node: Node, peers: Callable[[], Iterable[Any]]) -> None:
        """`peers()`: the other routers, which are told of ejections."""
        self.node = node
        self.peers = peers
        self.ejected: dict[tuple[str, int], tuple[int, int]] = {}
        self.resting: dict[str, tuple[int, int]] = {}

    def eject(self, runner: Runner) -> None:
        """Eject a prefill runner after a failed KV transfer; the other routers do so too.

        Prompts are prefilled elsewhere, where there is another runner. Failures during an ejection
        don't extend it.
        """
        key = (runner.name, runner.incarnation)
        now_us = self.node.now_us()
        until_us, span_us = self.ejected.get(key, (0, EJECT_US // 2))
        if now_us < until_us:
            return
        span_us = min(MAX_EJECT_US, span_us * 2)
        self.ejected[key] = (now_us + span_us, span_us)
        for peer in self.peers():
            self.node.send(peer.address, RunnerEjected(key, span_us))

    def on_runner_ejected(self, message: RunnerEjected) -> None:
        """Eject a runner as another router did, for at most `MAX_EJECT_US`."""
        span_us = min(MAX_EJECT_US, message.span_us)
        until_us = self.node.now_us() + span_us
        if until_us > self.ejected.get(message.runner, NO_BACKOFF)[0]:
            self.ejected[message.runner] = (until_us, span_us)

    def note_transfer_done(self, runner: Runner) -> None:
        """End a runner's ejection after a successful KV transfer from it."""
        self.ejected.pop((runner.name, runner.incarnation), None)

    def is_ejected(self, runner: Runner) -> bool:
        """Whether a prefill runner is ejected now."""
        key = (runner.name, runner.incarnation)
        until_us, _ = self.ejected.get(key, NO_BACKOFF)
        return bool(runner.phase == PREFILL and self.node.now_us() < until_us)

    def note_turned_away(self, runner: Runner) -> None:
        """Back off from a runner that rejected a request though its list entry showed room."""
        now_us = self.node.now_us()
        until_us, span_us = self.resting.get(runner.name, (0, REST_US // 2))
        if now_us < until_us:
            return
        span_us = min(MAX_REST_US, span_us * 2) if now_us < until_us + 2 * span_us else REST_US
        self.resting[runner.name] = (now_us + span_us, span_us)

    def rested(self, runners: list[Runner]) -> list[Runner]:
        """Return the runners that aren't in backoff; all of them if no decode runner were left."""
        if not self.resting:
            return runners
        now_us = self.node.now_us()
        ready = [
            runner for runner in runners if now_us >= self.resting.get(runner.name, NO_BACKOFF)[0]
        ]
        return ready if any(runner.phase != PREFILL for runner in ready) else runners

    def forget_gone(self, names: set[str], now_us: int) -> None:
        """Drop ended backoffs, and ejections of runners that are not among `names`."""
        for name, (until_us, _) in list(self.resting.items()):
            if now_us > until_us + MAX_REST_US:
                del self.resting[name]
        for key, (until_us, _) in list(self.ejected.items()):
            if key[0] not in names or now_us > until_us + MAX_EJECT_US:
                del self.ejected[key]
