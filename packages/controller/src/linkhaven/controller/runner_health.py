"""The failure detector of runners: which are unresponsive, suspected or leaving.

Evidence comes from a runner's own reports, from unanswered requests for them, and from routers.

| state | evidence | next state |
| --- | --- | --- |
| responsive | a router lost it after it was last seen | unresponsive |
| responsive | a router waits for its data | its report is requested; unresponsive if unanswered |
| responsive | no report for `unresponsive_after_us` | unresponsive |
| unresponsive | it reported, or a router sees it alive | responsive |
| unresponsive, no engine | `unresponsive_after_us` passed | responsive: only requests probe it |
| any | it, a router or the platform says that it leaves | leaving, permanently |

Evidence older than the newest known about a runner is ignored.
"""

from collections.abc import Collection

from linkhaven.runner import Runner
from linkhaven.runtime import Node

from .runner_list import RunnerList

UNANSWERED_US = 500_000
"""A runner whose answer is overdue by this time is suspected to have failed."""

DEPARTURE_MEMORY_US = 60_000_000
"""How long a departure is remembered after the runner is gone from the platform's list."""


class RunnerHealth:
    """Owns the health of each runner, and updates the runners of the list accordingly.

    All times are by runner name. `seen_us`: the time of the newest evidence. `unanswered_us`: since
    when a request for its report is unanswered. `suspected_us`: since when a router is known to
    wait for it. `leaving`: by name and incarnation, when its departure was last reported.
    """

    __slots__ = ("node", "runner_list", "seen_us", "unanswered_us", "suspected_us", "leaving")

    def __init__(self, node: Node, runner_list: RunnerList) -> None:
        """Start without any evidence."""
        self.node = node
        self.runner_list = runner_list
        self.seen_us: dict[str, int] = {}
        self.unanswered_us: dict[str, int] = {}
        self.suspected_us: dict[str, int] = {}
        self.leaving: dict[tuple[str, int], int] = {}

    def begin(self) -> None:
        """Discard the evidence for a new list, except departures, which are permanent."""
        self.seen_us.clear()
        self.suspected_us.clear()
        self.unanswered_us.clear()

    def is_suspect(self, runner: Runner) -> bool:
        """Whether its answer is overdue by at least `UNANSWERED_US`."""
        now_us = self.node.now_us()
        return now_us - self.unanswered_us.get(runner.name, now_us) >= UNANSWERED_US

    def is_lost(self, runner: Runner) -> bool:
        """Whether it is marked unresponsive and also leaves our requests unanswered."""
        return runner.is_unresponsive and self.is_suspect(runner)

    def on_request_sent(self, runner: Runner, now_us: int) -> None:
        """Note that its report was requested, and check the age of its last one."""
        self.unanswered_us.setdefault(runner.name, now_us)
        self._check_report_age(runner, now_us)

    def on_alive(self, runner: Runner, seen_us: int) -> None:
        """Mark it responsive: it reported, or answers a router."""
        if not self._is_newer(runner, seen_us):
            return
        self.seen_us[runner.name] = seen_us
        self.unanswered_us.pop(runner.name, None)
        self.suspected_us.pop(runner.name, None)
        if not runner.is_unresponsive:
            return
        runner.is_unresponsive = False
        self.runner_list.note_change(runner)
        self.node.ports.log(1602, runner=runner.name)

    def on_unresponsive(self, runner: Runner, seen_us: int) -> None:
        """Mark it unresponsive if a router lost it after it was last seen alive."""
        if runner.is_unresponsive or not self._is_newer(runner, seen_us):
            return
        self.seen_us[runner.name] = seen_us
        self._mark_unresponsive(runner)

    def on_silent(self, runner: Runner, seen_us: int, now_us: int) -> bool:
        """Suspect it, since a router waits for its data; whether to request its report now."""
        if runner.is_unresponsive or runner.name in self.suspected_us:
            return False
        if not self._is_newer(runner, seen_us):
            return False
        self.suspected_us[runner.name] = now_us
        return True

    def on_leaving(self, runner: Runner) -> None:
        """Mark it as leaving: it takes no new work from now on."""
        if not runner.is_leaving:
            self.node.ports.log(1603, runner=runner.name)
            runner.is_leaving = True
            self.runner_list.note_change(runner)
        self.leaving[(runner.name, runner.incarnation)] = self.node.now_us()

    def is_known_to_leave(self, runner: Runner) -> bool:
        """Whether a departure of this incarnation was reported."""
        return (runner.name, runner.incarnation) in self.leaving

    def check_suspected(self, now_us: int) -> None:
        """Mark suspected runners unresponsive that also leave our requests unanswered."""
        for name, suspected_us in list(self.suspected_us.items()):
            runner = self.runner_list.runners.get(name)
            if runner is None or runner.is_unresponsive:
                del self.suspected_us[name]
            elif now_us - suspected_us >= UNANSWERED_US and (
                now_us - self.unanswered_us.get(name, now_us) >= UNANSWERED_US
            ):
                del self.suspected_us[name]
                self._mark_unresponsive(runner)

    def retry_plain_runners(self, now_us: int) -> None:
        """Let routers retry plain runners that were unresponsive for `unresponsive_after_us`.

        A plain runner gives no reports, so only client requests can show that it has recovered.
        Test: `test_an_unresponsive_plain_runner_reopens_and_closes_again_on_evidence`.
        """
        for runner in self.runner_list.runners.rows():
            if not (runner.is_plain() and runner.is_unresponsive):
                continue
            if now_us - self.seen_us.get(runner.name, 0) >= self.node.bounds.unresponsive_after_us:
                self.on_alive(runner, now_us)

    def forget(self, listed: Collection[str], now_us: int) -> None:
        """Forget unlisted runners, and their departures after `DEPARTURE_MEMORY_US`."""
        for name in [name for name in self.seen_us if name not in listed]:
            del self.seen_us[name]
            self.unanswered_us.pop(name, None)
            self.suspected_us.pop(name, None)
        for key in [
            key for key, at_us in self.leaving.items() if now_us - at_us > DEPARTURE_MEMORY_US
        ]:
            if key[0] not in listed:
                del self.leaving[key]

    def _is_newer(self, runner: Runner, seen_us: int) -> bool:
        return seen_us > self.seen_us.get(runner.name, -1)

    def _check_report_age(self, runner: Runner, now_us: int) -> None:
        """Mark it unresponsive if its last report is too old.

        If the report interval is longer than half of `unresponsive_after_us`, the age counts from
        the unanswered request instead.
        """
        bounds = self.node.bounds
        seen_us = self.seen_us.setdefault(runner.name, now_us)
        if 2 * bounds.report_us > bounds.unresponsive_after_us:
            seen_us = max(seen_us, self.unanswered_us.get(runner.name, now_us))
        if now_us - seen_us > bounds.unresponsive_after_us and not runner.is_unresponsive:
            self._mark_unresponsive(runner)

    def _mark_unresponsive(self, runner: Runner) -> None:
        runner.is_unresponsive = True
        self.runner_list.note_change(runner)
        self.node.ports.log(1601, runner=runner.name)
