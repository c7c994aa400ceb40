"""Discovers the runners: polls the platform's list and the runners' own reports.

It works while a lease that needs the list is held here, or may soon be since its holder is
suspected to be down.

| state | entered | what is published |
| --- | --- | --- |
| idle | no lease needs the list | nothing |
| collecting | a lease needs it | nothing, until the list came, and the reports or `SETTLE_US` |
| ready | collected | the list, while it is younger than `outdated_us` |
"""

from collections.abc import Sequence
from typing import Any, Protocol

from linkhaven.api import ServiceError
from linkhaven.runner import IncarnationHistory, Runner
from linkhaven.runtime import Node

from .runner_health import RunnerHealth
from .runner_list import RunnerList

REQUEST_TIMEOUT_US = 1_000_000
"""A request to the platform or a runner is abandoned after this, and made anew."""

PRESS_US = 250_000
"""How often a runner is asked that owes an answer or is unresponsive."""

SETTLE_US = 200_000
"""How long after the first list the first reports are waited for."""

MIN_OUTDATED_US = 1_200_000
"""A list is never outdated before this age; else after three missed polls."""

ANY_INCARNATION = 0
"""The incarnation in the platform's list where the platform knows none."""


class NeedingLease(Protocol):
    """A lease whose holder needs the runner list."""

    def is_held(self) -> bool:
        """Whether this node holds it."""

    def is_holder_suspected(self) -> bool:
        """Whether its holder may be down, so that this node may soon hold it."""


class RunnerClient(Protocol):
    """Calls the platform and runners; `done` gets an error or the answer."""

    def list_runners(self, address: str, done: Any) -> Any:
        """Ask the platform for its list."""

    def report(self, address: str, done: Any) -> Any:
        """Ask a runner for its report."""


class RunnerListObserver(Protocol):
    """Is told when the list becomes fit for use, and when it no longer is."""

    def on_runner_list_ready(self) -> None:
        """The list may be published from now on."""

    def on_runner_list_outdated(self) -> None:
        """The platform doesn't answer: another node should try."""


class RunnerDiscovery:
    """Polls, and keeps list and health by what comes.

    `since_us`: since when the list is needed, None while it isn't. `listed_us`: when the newest
    list was asked for; `first_listed_us`: when the first one came. `is_settled`: that the list is
    ready was announced.
    """

    __slots__ = (
        "node",
        "client",
        "platform",
        "needing",
        "observer",
        "list",
        "runners",
        "health",
        "starts",
        "since_us",
        "listed_us",
        "first_listed_us",
        "is_settled",
        "poll",
        "polled_us",
        "reports",
        "reported_us",
        "pressed_us",
        "outdated_us",
    )

    def __init__(
        self,
        node: Node,
        client: RunnerClient,
        platform: str,
        needing: Sequence[NeedingLease],
        observer: RunnerListObserver,
    ) -> None:
        """Poll the list at the address `platform` while one of the leases `needing` it says so."""
        self.node = node
        self.client = client
        self.platform = platform
        self.needing = needing
        self.observer = observer
        self.list = RunnerList()
        self.runners = self.list.runners
        self.health = RunnerHealth(node, self.list)
        self.starts = IncarnationHistory()
        self.since_us: int | None = None
        self.listed_us: int | None = None
        self.first_listed_us: int | None = None
        self.is_settled = False
        self.poll: Any = None
        self.polled_us = -node.bounds.poll_us
        self.reports: dict[str, tuple[int, Any]] = {}
        self.reported_us = -node.bounds.report_us
        self.pressed_us = 0
        self.outdated_us = max(MIN_OUTDATED_US, 3 * node.bounds.poll_us)
        node.systems.append(self.tick)

    # what others ask of it

    def is_ready(self) -> bool:
        """Whether the list came, and the runners' reports came or had their time."""
        if self.listed_us is None or self.since_us is None:
            return False
        now_us = self.node.now_us()
        is_settled = self.is_settled or self._have_reports_come(now_us)
        return is_settled and now_us - self.listed_us < self.outdated_us

    def _have_reports_come(self, now_us: int) -> bool:
        is_owed = any(
            runner.reported_us is None and not runner.is_plain() for runner in self.runners.values()
        )
        return not is_owed or now_us - (self.first_listed_us or 0) >= SETTLE_US

    def document(self, known_serial: int | None = None) -> dict[str, Any]:
        """The list for a router that holds this serial of it, while it `is_ready`."""
        now_us = self.node.now_us()
        return self.list.document(known_serial, now_us - (self.listed_us or 0), now_us)

    def on_evidence(self, message: dict[str, Any]) -> None:
        """What a router saw of runners itself, in its watch request."""
        now_us = self.node.now_us()
        for name, incarnation, what, age_us in message.get("evidence", []):
            if what == "leaving":
                self.health.leaving[(name, incarnation)] = now_us
            runner = self.runners.get(name)
            if runner is None or runner.incarnation != incarnation:
                continue
            if what == "leaving":
                self.health.on_leaving(runner)
            elif what == "alive":
                self.health.on_alive(runner, now_us - age_us)
            elif what == "silent":
                self._on_silent(runner, now_us, now_us - age_us)
            else:
                self.health.on_unresponsive(runner, now_us - age_us)

    def _on_silent(self, runner: Runner, now_us: int, seen_us: int) -> None:
        """Ask at once: its answer or silence shows whether it is late or lost."""
        if self.since_us is not None and self.health.on_silent(runner, seen_us, now_us):
            self._request_report(runner, now_us)

    # the round

    def tick(self, now_us: int) -> None:
        """Poll the list and the reports when due, and judge who doesn't answer."""
        if not any(lease.is_held() or lease.is_holder_suspected() for lease in self.needing):
            self.since_us = None
            return
        if self.since_us is None:
            self._begin(now_us)
        if now_us - max(self.since_us or 0, self.listed_us or 0) >= self.outdated_us:
            self.observer.on_runner_list_outdated()
        if now_us - self.polled_us >= self.node.bounds.poll_us:
            self._poll(now_us)
        self.health.check_suspected(now_us)
        self.health.reopen_plain(now_us)
        self._request_reports(now_us)
        if not self.is_settled and self.is_ready():
            self.is_settled = True
            self.observer.on_runner_list_ready()

    def _begin(self, now_us: int) -> None:
        """Collect anew: what was known when the list was last needed may be old."""
        self.since_us = now_us
        self.listed_us = self.first_listed_us = None
        self.is_settled = False
        self.list.begin()
        self.health.begin()
        self.polled_us = now_us - self.node.bounds.poll_us
        self.reported_us = now_us - self.node.bounds.report_us

    def _request_reports(self, now_us: int) -> None:
        """Ask all when due; who owes an answer is asked again sooner than the others."""
        if now_us - self.reported_us >= self.node.bounds.report_us:
            self.reported_us = self.pressed_us = now_us
            for runner in self.runners.rows():
                self._request_report(runner, now_us)
        elif now_us - self.pressed_us >= PRESS_US:
            self.pressed_us = now_us
            for runner in self.runners.rows():
                if runner.is_unresponsive or runner.name in self.health.unanswered_us:
                    self._request_report(runner, now_us)

    # the platform's list

    def _poll(self, now_us: int) -> None:
        if self.poll is not None:
            if now_us - self.polled_us < REQUEST_TIMEOUT_US:
                return
            self.poll.abandon()
        self.polled_us = now_us

        def done(error: ServiceError | None, document: dict[str, Any], has_begun: bool) -> None:
            self.poll = None
            if error is None and self.since_us is not None:
                self._take_list(document, now_us)

        self.poll = self.client.list_runners(self.platform, done)

    def _take_list(self, document: dict[str, Any], sent_us: int) -> None:
        before = self.list.records()
        listed = set()
        for record in document.get("runners", []):
            listed.add(record["name"])
            self._take_listed(record, before, sent_us)
        self._drop_unlisted(listed)
        self.health.forget(listed, sent_us)
        self.starts.forget(listed)
        self.listed_us = sent_us
        if self.first_listed_us is None:
            self.first_listed_us = self.node.now_us()
        self.list.note_list(before)

    def _take_listed(
        self, record: dict[str, Any], before: dict[str, dict[str, Any]], sent_us: int
    ) -> None:
        """Take one entry of the list, which may be behind a runner's own report."""
        name, incarnation = record["name"], record["incarnation"]
        runner = self.runners.get(name)
        if runner is None or self.starts.is_new(runner, incarnation, is_reported=False):
            self._vacate_address(name, record["address"], before)
            runner = self._add_runner(record)
            self._request_report(runner, sent_us)
        if incarnation not in (ANY_INCARNATION, runner.incarnation):
            return
        runner.address = record["address"]
        runner.pool, runner.slots = record.get("pool"), record.get("slots", 0)
        if runner.reported_us is None and record.get("phase"):
            runner.phase = record["phase"]
        if record["state"] == "leaving" or self.health.is_known_to_leave(runner):
            self.health.on_leaving(runner)

    def _add_runner(self, record: dict[str, Any]) -> Runner:
        name, phase, zone = record["name"], record.get("phase"), record["zone"]
        runner = Runner(name, record["address"], zone, record["incarnation"])
        self.runners[name] = runner
        runner.phase = phase or runner.phase
        self.node.ports.log(1604, runner=name, phase=phase, zone=zone)
        return runner

    def _vacate_address(self, name: str, address: str, before: dict[str, dict[str, Any]]) -> None:
        """Whoever was listed at the address of a new runner leaves.

        The reports from that address are the new runner's, and would speak for the wrong one.
        """
        for other in self.runners.values():
            if other.address == address and other.name != name and other.name in before:
                self.health.on_leaving(other)

    def _drop_unlisted(self, listed: set[str]) -> None:
        for runner in self.runners.values():
            runner.is_listed = runner.name in listed
        for name in [runner.name for runner in self.runners.values() if not runner.is_listed]:
            self.runners.drop(name)
            self.node.ports.log(1605, runner=name)

    # the runners' reports

    def _request_report(self, runner: Runner, now_us: int) -> None:
        """Ask for its report, if it gives any: a runner without an engine would refuse the call."""
        if runner.is_plain():
            return
        request = self.reports.get(runner.name)
        if request is not None:
            asked_us, call = request
            if now_us - asked_us < REQUEST_TIMEOUT_US:
                return
            call.abandon()
            del self.reports[runner.name]
        self.health.on_request_sent(runner, now_us)

        def done(error: ServiceError | None, document: dict[str, Any], has_begun: bool) -> None:
            self.reports.pop(runner.name, None)
            if error is None and self.runners.get(runner.name) is runner:
                self._take_report(runner, document)

        self.reports[runner.name] = (now_us, self.client.report(runner.address, done))

    def _take_report(self, runner: Runner, report: dict[str, Any]) -> None:
        now_us = self.node.now_us()
        incarnation = report["incarnation"]
        if runner.incarnation != incarnation:
            if runner.incarnation and not self.starts.is_new(runner, incarnation, is_reported=True):
                return
            runner = self._replace(runner, incarnation)
        before = runner.as_record(0) if runner.reported_us is not None else None
        phase_before = runner.phase
        runner.take_report(report, now_us)
        if runner.phase != phase_before:
            self.node.ports.log(1606, runner=runner.name, phase=runner.phase)
        if report["is_leaving"] or self.health.is_known_to_leave(runner):
            self.health.on_leaving(runner)
        self.health.on_alive(runner, now_us)
        self.list.note_report(before, runner)

    def _replace(self, former: Runner, incarnation: int) -> Runner:
        """Another incarnation reports in the place of the former one."""
        runner = Runner(former.name, former.address, former.zone, incarnation)
        self.runners[former.name] = runner
        runner.pool, runner.slots = former.pool, former.slots
        return runner
