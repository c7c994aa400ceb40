"""Runners that are left alone for a while, longer each time: backoff after what they did last.

| what a runner did | who leaves it alone | for how long |
| --- | --- | --- |
| a hand-over of its KV cache failed | all routers, as a prefill runner | `EJECT_US`, doubled each time |
| it turned a request away that its list had room for | this router | `REST_US`, doubled each time |
"""

from collections.abc import Callable, Iterable
from typing import Any

from linkhaven.runner import Runner
from linkhaven.runner.roster import PREFILL
from linkhaven.runtime import Node

from .messages import RunnerEjected

REST_US = 200_000
REST_MOST_US = 1_600_000
EJECT_US = 2_000_000
EJECT_MOST_US = 16_000_000

NEVER = (0, 0)


class RunnerBackoff:
    """Owns until when each runner is left alone, in memory only."""

    __slots__ = ("node", "peers", "ejected", "resting")

    def __init__(self, node: Node, peers: Callable[[], Iterable[Any]]) -> None:
        """`peers`: the other routers, which are told of ejections."""
        self.node = node
        self.peers = peers
        self.ejected: dict[tuple[str, int], tuple[int, int]] = {}
        self.resting: dict[str, tuple[int, int]] = {}

    # ejection of prefill runners

    def eject(self, runner: Runner) -> None:
        """A hand-over from this runner failed: prompts are read elsewhere, if there is elsewhere."""
        key = (runner.name, runner.incarnation)
        now_us = self.node.now_us()
        until_us, span_us = self.ejected.get(key, (0, EJECT_US // 2))
        if now_us < until_us:
            return
        span_us = min(EJECT_MOST_US, span_us * 2)
        self.ejected[key] = (now_us + span_us, span_us)
        for peer in self.peers():
            self.node.send(peer.address, RunnerEjected(key, span_us))

    def on_runner_ejected(self, message: RunnerEjected) -> None:
        """Eject a runner for as long as another router does, at most."""
        span_us = min(EJECT_MOST_US, message.span_us)
        until_us = self.node.now_us() + span_us
        if until_us > self.ejected.get(message.runner, NEVER)[0]:
            self.ejected[message.runner] = (until_us, span_us)

    def note_transfer_done(self, runner: Runner) -> None:
        """A hand-over from it went well."""
        self.ejected.pop((runner.name, runner.incarnation), None)

    def is_ejected(self, runner: Runner) -> bool:
        """Whether prompts are read elsewhere now."""
        key = (runner.name, runner.incarnation)
        until_us, _ = self.ejected.get(key, NEVER)
        return bool(runner.phase == PREFILL and self.node.now_us() < until_us)

    # rest after a rejection

    def note_turned_away(self, runner: Runner) -> None:
        """It took nothing though its list says it could: others are asked for a moment."""
        now_us = self.node.now_us()
        until_us, span_us = self.resting.get(runner.name, (0, REST_US // 2))
        if now_us < until_us:
            return
        span_us = min(REST_MOST_US, span_us * 2) if now_us < until_us + 2 * span_us else REST_US
        self.resting[runner.name] = (now_us + span_us, span_us)

    def rested(self, runners: list[Runner]) -> list[Runner]:
        """Those that may be asked now; all, where no decode runner would be left."""
        if not self.resting:
            return runners
        now_us = self.node.now_us()
        fit = [runner for runner in runners if now_us >= self.resting.get(runner.name, NEVER)[0]]
        return fit if any(runner.phase != PREFILL for runner in fit) else runners

    def forget_gone(self, names: set[str], now_us: int) -> None:
        """Drop what is over, and what is about runners that no list names any more."""
        for name, (until_us, _) in list(self.resting.items()):
            if now_us > until_us + REST_MOST_US:
                del self.resting[name]
        for key, (until_us, _) in list(self.ejected.items()):
            if key[0] not in names or now_us > until_us + EJECT_MOST_US:
                del self.ejected[key]
