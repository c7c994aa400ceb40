"""Which runners are unresponsive, suspected or leaving: the failure detector of runners.

Evidence comes from a runner's own reports, from its silence to our requests, and from routers.

| state | evidence | then |
| --- | --- | --- |
| responsive | a router lost it after it was last seen | unresponsive |
| responsive | a router waits for its bytes | asked at once; unresponsive if that stays unanswered |
| responsive | it reported nothing for `dark_us` | unresponsive |
| unresponsive | it reported, or a router sees it alive | responsive |
| unresponsive, without an engine | `dark_us` passed | responsive: only requests can find it well |
| any | it, a router or the platform says that it leaves | leaving, for good |

Evidence that is older than what was last seen of a runner counts for nothing.
"""

from collections.abc import Collection

from linkhaven.runner import Runner
from linkhaven.runtime import Node

from .runner_list import RunnerList

UNANSWERED_US = 500_000
"""After this without an answer more than lateness must be feared."""

LEFT_MEMORY_US = 60_000_000
"""How long a departure is remembered after the runner left the platform's list."""


class RunnerHealth:
    """Owns what is known of each runner's health, and marks the runners of the list by it.

    `seen_us`: by name, the time of the newest evidence. `unanswered_us`: since when a runner owes
    the answer to a request for its report. `suspected_us`: since when a router waits for it.
    `leaving`: name and incarnation of those that leave, with when that was last heard.
    """

    __slots__ = ("node", "list", "seen_us", "unanswered_us", "suspected_us", "leaving")

    def __init__(self, node: Node, runner_list: RunnerList) -> None:
        """Nothing was seen yet."""
        self.node = node
        self.list = runner_list
        self.seen_us: dict[str, int] = {}
        self.unanswered_us: dict[str, int] = {}
        self.suspected_us: dict[str, int] = {}
        self.leaving: dict[tuple[str, int], int] = {}

    def begin(self) -> None:
        """A new list: only departures are remembered, since they are for good."""
        self.seen_us.clear()
        self.suspected_us.clear()
        self.unanswered_us.clear()

    def is_suspect(self, runner: Runner) -> bool:
        """Whether it owes an answer for so long that more than lateness must be feared."""
        now_us = self.node.now_us()
        return now_us - self.unanswered_us.get(runner.name, now_us) >= UNANSWERED_US

    def is_lost(self, runner: Runner) -> bool:
        """Whether it is unresponsive for sure: by other evidence and its silence to us."""
        return runner.is_unresponsive and self.is_suspect(runner)

    def on_request_sent(self, runner: Runner, now_us: int) -> None:
        """It owes the answer to a request for its report."""
        self.unanswered_us.setdefault(runner.name, now_us)
        self._check_report_age(runner, now_us)

    def on_alive(self, runner: Runner, seen_us: int) -> None:
        """By its own report, or by a router that it answers."""
        if not self._is_newer(runner, seen_us):
            return
        self.seen_us[runner.name] = seen_us
        self.unanswered_us.pop(runner.name, None)
        self.suspected_us.pop(runner.name, None)
        if not runner.is_unresponsive:
            return
        runner.is_unresponsive = False
        self.list.note_change(runner)
        self.node.ports.log(1602, runner=runner.name)

    def on_unresponsive(self, runner: Runner, seen_us: int) -> None:
        """A router lost it after it was last seen: closed until it is seen alive again."""
        if runner.is_unresponsive or not self._is_newer(runner, seen_us):
            return
        self.seen_us[runner.name] = seen_us
        self._mark_unresponsive(runner)

    def on_silent(self, runner: Runner, seen_us: int, now_us: int) -> bool:
        """A router waits for its bytes. Whether to ask it now, which decides on it."""
        if runner.is_unresponsive or runner.name in self.suspected_us:
            return False
        if not self._is_newer(runner, seen_us):
            return False
        self.suspected_us[runner.name] = now_us
        return True

    def on_leaving(self, runner: Runner) -> None:
        """It takes no new work any more."""
        if not runner.is_leaving:
            self.node.ports.log(1603, runner=runner.name)
            runner.is_leaving = True
            self.list.note_change(runner)
        self.leaving[(runner.name, runner.incarnation)] = self.node.now_us()

    def is_known_to_leave(self, runner: Runner) -> bool:
        """Whether it was heard that this incarnation leaves."""
        return (runner.name, runner.incarnation) in self.leaving

    def check_suspected(self, now_us: int) -> None:
        """A runner that leaves a router and us unanswered is unresponsive."""
        for name, suspected_us in list(self.suspected_us.items()):
            runner = self.list.runners.get(name)
            if runner is None or runner.is_unresponsive:
                del self.suspected_us[name]
            elif now_us - suspected_us >= UNANSWERED_US and (
                now_us - self.unanswered_us.get(name, now_us) >= UNANSWERED_US
            ):
                del self.suspected_us[name]
                self._mark_unresponsive(runner)

    def reopen_plain(self, now_us: int) -> None:
        """Let routers try an unresponsive runner that gives no report, after `dark_us`.

        Nobody asks such a runner for anything but requests, so only these can find it well. Test:
        `test_a_dark_plain_runner_is_tried_again_and_closed_anew_by_evidence`.
        """
        for runner in self.list.runners.rows():
            if not (runner.is_plain() and runner.is_unresponsive):
                continue
            if now_us - self.seen_us.get(runner.name, 0) >= self.node.bounds.dark_us:
                self.on_alive(runner, now_us)

    def forget(self, listed: Collection[str], now_us: int) -> None:
        """Forget the runners that are not in the platform's list, departures after a while."""
        for name in [name for name in self.seen_us if name not in listed]:
            del self.seen_us[name]
            self.unanswered_us.pop(name, None)
            self.suspected_us.pop(name, None)
        for key in [key for key, at_us in self.leaving.items() if now_us - at_us > LEFT_MEMORY_US]:
            if key[0] not in listed:
                del self.leaving[key]

    def _is_newer(self, runner: Runner, seen_us: int) -> bool:
        return seen_us > self.seen_us.get(runner.name, -1)

    def _check_report_age(self, runner: Runner, now_us: int) -> None:
        """Where reports are asked for more rarely than `dark_us`, count from the request."""
        bounds = self.node.bounds
        seen_us = self.seen_us.setdefault(runner.name, now_us)
        if 2 * bounds.report_us > bounds.dark_us:
            seen_us = max(seen_us, self.unanswered_us.get(runner.name, now_us))
        if now_us - seen_us > bounds.dark_us and not runner.is_unresponsive:
            self._mark_unresponsive(runner)

    def _mark_unresponsive(self, runner: Runner) -> None:
        runner.is_unresponsive = True
        self.list.note_change(runner)
        self.node.ports.log(1601, runner=runner.name)
