"""Runner discovery: polls the platform's list of runners and the runners' own reports.

It runs while this node holds a lease that needs the list, or may soon hold one because the current
holder is suspected to be down.

| state | entered when | what is published |
| --- | --- | --- |
| idle | no lease needs the list | nothing |
| collecting | a lease needs the list | nothing |
| ready | the list arrived, and either all reports or `FIRST_REPORTS_WAIT_US` passed | the list |

A ready list is published only while it is younger than `outdated_us`.
"""

from collections.abc import Sequence
from typing import Any, Protocol

from linkhaven.api import ServiceError
from linkhaven.runner import IncarnationHistory, Runner
from linkhaven.runtime import Node

from .runner_health import RunnerHealth
from .runner_list import RunnerList

REQUEST_TIMEOUT_US = 1_000_000
"""A request to the platform or a runner is abandoned after this time and sent again."""

RETRY_INTERVAL_US = 250_000
"""How often the report of an unresponsive runner, or an unanswered report, is requested."""

FIRST_REPORTS_WAIT_US = 200_000
"""How long to wait for the first reports after the first list arrived."""

MIN_OUTDATED_US = 1_200_000
"""A list becomes outdated after three poll intervals, but never before this age."""

UNKNOWN_INCARNATION = 0
"""The incarnation in the platform's list if the platform doesn't know it."""


class RunnerListLease(Protocol):
    """A lease whose holder needs the runner list."""

    def is_held(self) -> bool:
        """Whether this node holds it."""

    def is_holder_suspected(self) -> bool:
        """Whether its holder may be down, in which case this node may soon hold it."""


class RunnerClient(Protocol):
    """Calls the platform and the runners; `done` gets an error or the answer."""

    def list_runners(self, address: str, done: Any) -> Any:
        """Request the platform's list of runners."""

    def report(self, address: str, done: Any) -> Any:
        """Request a runner's report."""


class RunnerListObserver(Protocol):
    """Is notified when the list becomes ready or outdated."""

    def on_runner_list_ready(self) -> None:
        """The list may be published from now on."""

    def on_runner_list_outdated(self) -> None:
        """The platform doesn't answer this node; another node should try."""


class RunnerDiscovery:
    """Polls the platform and the runners, and updates the runner list and runner health.

    `since_us`: since when the list is needed, None while it isn't. `listed_us`: when the newest
    list was requested. `first_listed_us`: when the first list arrived. `is_announced`: whether the
    observer was told that the list is ready.
    """

    __slots__ = (
        "node",
        "client",
        "platform",
        "leases",
        "observer",
        "runner_list",
        "runners",
        "health",
        "starts",
        "since_us",
        "listed_us",
        "first_listed_us",
        "is_announced",
        "list_call",
        "polled_us",
        "report_calls",
        "reported_us",
        "retried_us",
        "outdated_us",
    )

    def __init__(
        self,
        node: Node,
        client: RunnerClient,
        platform: str,
        leases: Sequence[RunnerListLease],
        observer: RunnerListObserver,
    ) -> None:
        """Poll the list at the address `platform` while one of `leases` needs it."""
        self.node = node
        self.client = client
        self.platform = platform
        self.leases = leases
        self.observer = observer
        self.runner_list = RunnerList()
        self.runners = self.runner_list.runners
        self.health = RunnerHealth(node, self.runner_list)
        self.starts = IncarnationHistory()
        self.since_us: int | None = None
        self.listed_us: int | None = None
        self.first_listed_us: int | None = None
        self.is_announced = False
        self.list_call: Any = None
        self.polled_us = -node.bounds.poll_us
        self.report_calls: dict[str, tuple[int, Any]] = {}
        self.reported_us = -node.bounds.report_us
        self.retried_us = 0
        self.outdated_us = max(MIN_OUTDATED_US, 3 * node.bounds.poll_us)
        node.tick_handlers.append(self.tick)

    def is_ready(self) -> bool:
        """Whether list and first reports were collected, and the list isn't outdated."""
        if self.listed_us is None or self.since_us is None:
            return False
        now_us = self.node.now_us()
        is_collected = self.is_announced or self._has_first_reports(now_us)
        return is_collected and now_us - self.listed_us < self.outdated_us

    def _has_first_reports(self, now_us: int) -> bool:
        is_owed = any(
            runner.reported_us is None and not runner.is_plain() for runner in self.runners.values()
        )
        return not is_owed or now_us - (self.first_listed_us or 0) >= FIRST_REPORTS_WAIT_US

    def document(self, known_serial: int | None = None) -> dict[str, Any]:
        """The list, or its changes, for a router that holds this serial; only if `is_ready`."""
        now_us = self.node.now_us()
        return self.runner_list.document(known_serial, now_us - (self.listed_us or 0), now_us)

    def on_evidence(self, message: dict[str, Any]) -> None:
        """Apply what a router observed of runners, as sent in its watch request."""
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
        """Request its report at once; the outcome shows whether it is late or lost."""
        if self.since_us is not None and self.health.on_silent(runner, seen_us, now_us):
            self._request_report(runner, now_us)

    def tick(self, now_us: int) -> None:
        """Poll list and reports when due, and check the runners that don't answer."""
        if not any(lease.is_held() or lease.is_holder_suspected() for lease in self.leases):
            self.since_us = None
            return
        if self.since_us is None:
            self._begin_collecting(now_us)
        if now_us - max(self.since_us or 0, self.listed_us or 0) >= self.outdated_us:
            self.observer.on_runner_list_outdated()
        if now_us - self.polled_us >= self.node.bounds.poll_us:
            self._poll_list(now_us)
        self.health.check_suspected(now_us)
        self.health.retry_plain_runners(now_us)
        self._request_reports(now_us)
        if not self.is_announced and self.is_ready():
            self.is_announced = True
            self.observer.on_runner_list_ready()

    def _begin_collecting(self, now_us: int) -> None:
        """Start with an empty list, since an earlier one may be outdated."""
        self.since_us = now_us
        self.listed_us = self.first_listed_us = None
        self.is_announced = False
        self.runner_list.begin()
        self.health.begin()
        self.polled_us = now_us - self.node.bounds.poll_us
        self.reported_us = now_us - self.node.bounds.report_us

    def _request_reports(self, now_us: int) -> None:
        """Request all reports when due; repeat unanswered requests at a shorter interval."""
        if now_us - self.reported_us >= self.node.bounds.report_us:
            self.reported_us = self.retried_us = now_us
            for runner in self.runners.rows():
                self._request_report(runner, now_us)
        elif now_us - self.retried_us >= RETRY_INTERVAL_US:
            self.retried_us = now_us
            for runner in self.runners.rows():
                if runner.is_unresponsive or runner.name in self.health.unanswered_us:
                    self._request_report(runner, now_us)

    def _poll_list(self, now_us: int) -> None:
        if self.list_call is not None:
            if now_us - self.polled_us < REQUEST_TIMEOUT_US:
                return
            self.list_call.abandon()
        self.polled_us = now_us

        def done(error: ServiceError | None, document: dict[str, Any], has_begun: bool) -> None:
            self.list_call = None
            if error is None and self.since_us is not None:
                self._apply_list(document, now_us)

        self.list_call = self.client.list_runners(self.platform, done)

    def _apply_list(self, document: dict[str, Any], sent_us: int) -> None:
        before = self.runner_list.records()
        listed = set()
        for record in document.get("runners", []):
            listed.add(record["name"])
            self._apply_entry(record, before, sent_us)
        self._remove_unlisted(listed)
        self.health.forget(listed, sent_us)
        self.starts.forget(listed)
        self.listed_us = sent_us
        if self.first_listed_us is None:
            self.first_listed_us = self.node.now_us()
        self.runner_list.note_list(before)

    def _apply_entry(
        self, record: dict[str, Any], before: dict[str, dict[str, Any]], sent_us: int
    ) -> None:
        """Apply one entry of the list, which may be older than the runner's own report."""
        name, incarnation = record["name"], record["incarnation"]
        runner = self.runners.get(name)
        if runner is None or self.starts.is_new(runner, incarnation, is_reported=False):
            self._close_former_at_address(name, record["address"], before)
            runner = self._add_runner(record)
            self._request_report(runner, sent_us)
        if incarnation not in (UNKNOWN_INCARNATION, runner.incarnation):
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

    def _close_former_at_address(
        self, name: str, address: str, before: dict[str, dict[str, Any]]
    ) -> None:
        """Mark the runner that was listed at a new runner's address as leaving.

        Reports from that address now come from the new runner and would be attributed to the wrong
        one.
        """
        for other in self.runners.values():
            if other.address == address and other.name != name and other.name in before:
                self.health.on_leaving(other)

    def _remove_unlisted(self, listed: set[str]) -> None:
        for runner in self.runners.values():
            runner.is_listed = runner.name in listed
        for name in [runner.name for runner in self.runners.values() if not runner.is_listed]:
            self.runners.drop(name)
            self.node.ports.log(1605, runner=name)

    def _request_report(self, runner: Runner, now_us: int) -> None:
        """Request its report; plain runners (without an engine) don't support the call."""
        if runner.is_plain():
            return
        request = self.report_calls.get(runner.name)
        if request is not None:
            asked_us, call = request
            if now_us - asked_us < REQUEST_TIMEOUT_US:
                return
            call.abandon()
            del self.report_calls[runner.name]
        self.health.on_request_sent(runner, now_us)

        def done(error: ServiceError | None, document: dict[str, Any], has_begun: bool) -> None:
            self.report_calls.pop(runner.name, None)
            if error is None and self.runners.get(runner.name) is runner:
                self._apply_report(runner, document)

        self.report_calls[runner.name] = (now_us, self.client.report(runner.address, done))

    def _apply_report(self, runner: Runner, report: dict[str, Any]) -> None:
        now_us = self.node.now_us()
        incarnation = report["incarnation"]
        if runner.incarnation != incarnation:
            if runner.incarnation and not self.starts.is_new(runner, incarnation, is_reported=True):
                return
            runner = self._replace_incarnation(runner, incarnation)
        before = runner.as_record(0) if runner.reported_us is not None else None
        phase_before = runner.phase
        runner.take_report(report, now_us)
        if runner.phase != phase_before:
            self.node.ports.log(1606, runner=runner.name, phase=runner.phase)
        if report["is_leaving"] or self.health.is_known_to_leave(runner):
            self.health.on_leaving(runner)
        self.health.on_alive(runner, now_us)
        self.runner_list.note_report(before, runner)

    def _replace_incarnation(self, former: Runner, incarnation: int) -> Runner:
        """Replace a runner whose report shows another incarnation."""
        runner = Runner(former.name, former.address, former.zone, incarnation)
        self.runners[former.name] = runner
        runner.pool, runner.slots = former.pool, former.slots
        return runner
