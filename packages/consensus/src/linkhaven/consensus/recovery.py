"""Recovery: the protocol that a started replica runs before it may vote.

It collects reports of the state of the other replicas, raises its incarnation, has the others
record that, and only then reads what they accepted, page by page. By then every replica that is
read refuses the older incarnations, so a vote of an older instance can't lead to a value being
chosen that this one doesn't know (as in the recovery protocol of Viewstamped Replication Revisited,
section 4.3, here for single registers).

| state | message or event | what it does | next |
| --- | --- | --- | --- |
| IDLE | `begin` | queries all replicas | COLLECTING |
| COLLECTING | the reports suffice, see `rebuild_rule.py` | raises its incarnation | CATCHING_UP |
| COLLECTING | report of a newer instance | is superseded, or a spare again | IDLE |
| COLLECTING | `join_bootstrap`: another one found all empty | joins its bootstrap | CATCHING_UP |
| COLLECTING | too few after `recovery_wait_us` | waits for more, or for `restore` | COLLECTING |
| CATCHING_UP | one more replica is read | goes on, see `state_transfer.py` | CATCHING_UP |
| CATCHING_UP | the last replica is read | syncs that its state is complete | VOTING |
| CATCHING_UP | a replica was restarted | discards what was read | COLLECTING |
| CATCHING_UP | no progress (`NO_PROGRESS_TIMEOUT_US`) | starts over | COLLECTING |
| CATCHING_UP | the disk refuses a write | starts over | COLLECTING |
| COLLECTING, CATCHING_UP | no progress, and it never voted | a spare again | IDLE |
| IDLE | `begin_with_state`, at the end of a hand-over | announces its incarnation | RECORDING |
| RECORDING | a majority recorded it | votes; it has the whole state already | VOTING |
| RECORDING | no progress (`NO_PROGRESS_TIMEOUT_US`) | recovers from its disk | COLLECTING |
| VOTING | `begin` after a bootstrap, see `is_disputed` | queries all replicas | COLLECTING |
| any | `reset`, once it is a spare | | IDLE |

Messages and events without a row in the current state are ignored. The other replicas' side of the
protocol is in `recovery_responder.py`.

Invariant: no vote is given before the last page is synced (`vote_without_reading` in
`tests/test_explore.py`).
"""

from collections.abc import Callable, Collection, Mapping
from enum import Enum
from typing import Any, Protocol

from linkhaven.runtime import Node

from .rebuild_rule import RebuildBasis, rebuild_basis
from .recovery_messages import (
    RegisterCopy,
    ReplicaStateReport,
    StateQuery,
)
from .replica_instances import ReplicaInstances
from .replica_state import ReplicaState
from .state_transfer import Directory, StateTransfer
from .succession import Succession

QUERY_INTERVAL_US = 200_000
"""Interval at which unanswered messages are sent again."""

STARTUP_QUERY_INTERVAL_US = 50_000
"""The same interval in the first `STARTUP_QUERY_PERIOD_US` of a recovery."""

STARTUP_QUERY_PERIOD_US = 1_500_000
"""For this long queries are sent more often, so that a restart of the whole group is quick."""

NO_PROGRESS_TIMEOUT_US = 1_000_000
"""Recovery starts over after this long without progress."""

WAITING_EVENT = 1203
STORAGE_REFUSED_EVENT = 1205
RESTORED_EVENT = 1206

STORAGE_REFUSED_KEY = "rejoin"
"""The `key` of `STORAGE_REFUSED_EVENT` for writes of recovery."""


class RecoveryState(Enum):
    """The progress of a replica's recovery."""

    IDLE = "idle"
    """Nothing to recover: a spare, or a replica of a group's first start."""

    COLLECTING = "collecting"
    """Queries the state of the other replicas."""

    CATCHING_UP = "catching_up"
    """Has each other replica record the new incarnation, and reads those that did."""

    RECORDING = "recording"
    """Has the whole state of its predecessor; the others record the new incarnation."""

    VOTING = "voting"
    """Recovered and voting."""


class RecoveringReplica(Protocol):
    """The replica that recovers, as far as recovery uses it."""

    replica_id: str
    replica_ids: tuple[str, ...]
    majority: int
    directory: Directory
    incarnation: int
    is_dynamically_assigned: bool
    are_claims_open: bool

    @property
    def state(self) -> ReplicaState:
        """The state in the replica's life cycle."""

    @property
    def is_empty(self) -> bool:
        """Whether the registers on disk are incomplete and can't be recovered from."""

    @property
    def is_recovering(self) -> bool:
        """Whether the replica recovers, or waits for an operator to allow that."""

    def begin_recovery(self) -> None:
        """Stop voting until `begin_voting`."""

    def await_operator(self) -> None:
        """Wait for an operator: too few replicas are available to recover from."""

    def raise_incarnation(self, above: int, done: Callable[[bool], None]) -> None:
        """Recover under incarnation `above + 1`; `done` is called with whether that is synced."""

    def write_recovered(self, done: Callable[[bool], None]) -> None:
        """Record that the registers on disk are complete."""

    def close_claims_unless(self, are_open: bool) -> None:
        """Close claims if they are closed at a replica whose state was read."""

    def on_storage_refused(self) -> None:
        """Record that a write of recovery failed."""

    def learn_incarnations(self, known: dict[str, int]) -> None:
        """Raise the known incarnations of the other replicas to those given."""

    def merge(self, registers: Mapping[str, RegisterCopy]) -> dict[str, Any]:
        """Merge copies of registers from another replica; return the records to write."""

    def begin_voting(self, *, wait_us: int | None = None) -> None:
        """Start to vote; on leases `wait_us` later, by default a lease's length."""

    def on_superseded(self, incarnation: int) -> None:
        """Stop voting, since a newer instance of this replica runs."""

    def retire(self) -> None:
        """Become a spare."""


class Recovery:
    """The recovering side; owns the collected reports and the transfer's progress, in memory only.

    The disk of a replica is complete unless it lost writes that it had synced, and only such a loss
    has to be restored from the others. So a majority of replicas with intact disks goes on as soon
    as all others have reported empty disks, or after `recovery_wait_us` if they don't answer.
    """

    __slots__ = (
        "node",
        "replica",
        "instances",
        "state",
        "start",
        "reports",
        "transfer",
        "queried_us",
        "started_us",
        "is_bootstrap",
        "is_disputed",
        "is_group_lost",
        "has_met_no_voter",
        "wait_reason",
        "queried_back_start",
        "lease_wait_us",
    )

    def __init__(
        self,
        node: Node,
        replica: RecoveringReplica,
        instances: ReplicaInstances,
        succession: Succession,
    ) -> None:
        """`start`, an id of this process start, is sent in all messages of recovery."""
        now_us = node.now_us()
        self.node = node
        self.replica = replica
        self.instances = instances
        self.state = RecoveryState.COLLECTING if replica.replica_id else RecoveryState.IDLE
        self.start = f"{node.name}/{now_us}/{node.ports.random.getrandbits(48)}"
        self.reports: dict[str, ReplicaStateReport] = {}
        self.transfer = StateTransfer(node, replica, succession, self, self.start)
        self.queried_us = 0
        self.started_us = now_us
        self.is_bootstrap = self.is_disputed = self.is_group_lost = False
        self.has_met_no_voter = False
        self.wait_reason: str | None = None
        self.queried_back_start: str | None = None
        self.lease_wait_us = 0
        node.register_handler(ReplicaStateReport, self.on_replica_state_report)

    # Start and end

    def begin(self, *, is_disputed: bool = False, is_group_lost: bool = False) -> None:
        """Start recovery, or start it over, by querying the other replicas.

        `is_disputed`: another replica knows a newer incarnation of this one, and a bootstrap may
        have lost its record. `is_group_lost`: every disk was lost, so an empty group may bootstrap.
        """
        self.is_disputed = is_disputed or self.is_disputed
        self.is_group_lost = is_group_lost or self.is_group_lost
        self.replica.begin_recovery()
        self.state = RecoveryState.COLLECTING
        self.transfer.restart()
        self.reports = {}
        self.started_us = self.node.now_us()

    def begin_with_state(self, wait_us: int) -> None:
        """Start recovery after a hand-over, with the whole state of the sealed predecessor.

        The others aren't read: it is enough that a majority records the new incarnation. No votes
        on leases are given for `wait_us` after the first vote.
        """
        self.begin()
        self.has_met_no_voter = False
        self.state = RecoveryState.RECORDING
        starts = dict.fromkeys(self.replica.replica_ids)
        del starts[self.replica.replica_id]
        self.transfer.begin(starts, is_bootstrap=False, is_reading=False)
        self.lease_wait_us = wait_us
        self.transfer.send_to_peers()

    def reset(self) -> None:
        """Discard all state, since this node is a spare now."""
        self.state = RecoveryState.IDLE
        self.transfer.end()
        self.reports = {}
        self.is_bootstrap = self.is_disputed = self.is_group_lost = False

    def restore(self) -> bool:
        """Recover from the reports at hand on an operator's request.

        Returns False, and does nothing, unless the replica waits for an operator.
        """
        if self.replica.state is not ReplicaState.WAITING:
            return False
        self.node.ports.log(RESTORED_EVENT, seat=self.replica.replica_id)
        self._raise_incarnation(self.reports.values())
        return True

    def _is_candidate(self) -> bool:
        """Whether this node was a spare and has never voted as the replica that it recovers as."""
        replica = self.replica
        return replica.is_dynamically_assigned and replica.is_empty and bool(replica.replica_id)

    @property
    def is_rebuilding(self) -> bool:
        """Whether the incarnation was raised, and there is no vote under it yet."""
        return self.state in (RecoveryState.CATCHING_UP, RecoveryState.RECORDING)

    # Collecting reports

    def is_collecting(self) -> bool:
        """Whether reports of the other replicas are awaited."""
        return self.state is RecoveryState.COLLECTING and self.replica.is_recovering

    def may_join_bootstrap(self) -> bool:
        """Whether this empty replica may join another one that bootstraps the group."""
        return self.replica.is_empty and self.is_collecting()

    def join_bootstrap(self) -> None:
        """Join the bootstrap of another replica, which found all replicas empty first."""
        self.is_bootstrap = True
        self._raise_incarnation(self.reports.values())

    def query_back(self, query: StateQuery) -> None:
        """Query a replica that has just sent a query, ahead of the next round of queries."""
        if not self.is_collecting() or query.replica_id == self.replica.replica_id:
            return
        report = self.reports.get(query.replica_id)
        is_known = report is not None and report.start == query.start
        if is_known or self.queried_back_start == query.start:
            return
        self.queried_back_start = query.start
        self._send_state_query(query.reply_to)

    def _send_state_query(self, address: str) -> None:
        self.node.send(address, StateQuery(replica_id=self.replica.replica_id, start=self.start))

    def on_replica_state_report(self, report: ReplicaStateReport) -> None:
        """Stop if a newer instance of this replica exists; otherwise evaluate the reports."""
        replica = self.replica
        is_ours = report.queried_by == replica.replica_id and report.queried_start == self.start
        if not self.is_collecting() or not is_ours:
            return
        newest = report.known_incarnations.get(replica.replica_id, 0)
        if self._is_superseded(report, newest):
            self.state = RecoveryState.IDLE
            return replica.on_superseded(newest)
        self.reports[report.replica_id] = report
        self._evaluate_reports(self.node.now_us())

    def _is_superseded(self, report: ReplicaStateReport, newest: int) -> bool:
        if self.is_disputed and newest > self.replica.incarnation:
            return True
        if not self.replica.is_dynamically_assigned:
            return False
        if self._is_candidate():
            return report.is_taken
        is_recorded = report.recorded_name not in ("", self.node.name)
        return newest >= self.replica.incarnation and is_recorded

    def _evaluate_reports(self, now_us: int) -> None:
        replica, reports = self.replica, list(self.reports.values())
        accounted_for = {*self.reports, *self.instances.replicas_now_spare()} - {replica.replica_id}
        has_waited = now_us - self.started_us >= self.node.bounds.recovery_wait_us
        basis = rebuild_basis(
            reports,
            group_size=len(replica.replica_ids),
            is_empty=replica.is_empty,
            may_bootstrap=self.is_group_lost or not replica.is_dynamically_assigned,
            are_all_accounted_for=len(accounted_for) == len(replica.replica_ids) - 1,
            has_waited=has_waited,
        )
        if basis is RebuildBasis.INSUFFICIENT:
            return self._await_operator() if has_waited else None
        if basis is RebuildBasis.BOOTSTRAP:
            self.is_bootstrap = True
        if basis is RebuildBasis.INTACT_MAJORITY:
            reports = [report for report in reports if not report.is_empty]
        self._raise_incarnation(reports)

    def _await_operator(self) -> None:
        if self.replica.state is ReplicaState.WAITING:
            return
        self.replica.await_operator()
        self.wait_reason = "too few others in standing to rebuild from"
        self.node.ports.log(WAITING_EVENT, seat=self.replica.replica_id, heard=len(self.reports))

    def _raise_incarnation(self, reports: Collection[ReplicaStateReport]) -> None:
        """Raise the incarnation above all known ones, and announce it once it is synced."""
        replica = self.replica
        self.has_met_no_voter = bool(reports) and not any(report.is_voting for report in reports)
        _, highest = replica.directory.replicas().get(replica.replica_id, ("", 0))
        highest = max(highest, replica.incarnation)
        for report in reports:
            highest = max(highest, report.known_incarnations.get(replica.replica_id, 0))
            replica.learn_incarnations(report.known_incarnations)
        self.state = RecoveryState.CATCHING_UP
        starts = {report.replica_id: report.start for report in reports}
        self.transfer.begin(starts, is_bootstrap=self.is_bootstrap, is_reading=True)
        incarnation = highest + 1

        def on_synced(is_synced: bool) -> None:
            if not is_synced:
                return self.on_storage_refused()
            if self._rebuilds_under(incarnation):
                self.transfer.send_to_peers()
                # After `restore` without any report there is no replica to read.
                self.on_peer_read()

        replica.raise_incarnation(highest, on_synced)

    def _rebuilds_under(self, incarnation: int) -> bool:
        """Whether recovery is still under this incarnation; starting over raises it again."""
        is_same = self.replica.incarnation == incarnation
        return is_same and self.state is RecoveryState.CATCHING_UP

    def on_storage_refused(self) -> None:
        """Start over from collecting reports: what isn't synced can't be relied on."""
        self.replica.on_storage_refused()
        is_recovering = self.replica.is_recovering
        self.state = RecoveryState.COLLECTING if is_recovering else RecoveryState.IDLE
        self.transfer.end()
        self.node.ports.log(STORAGE_REFUSED_EVENT, key=STORAGE_REFUSED_KEY)

    # Progress of the transfer, and the first vote

    def on_transfer_void(self) -> None:
        """Start over: a replica was restarted while it was read, and may have lost state."""
        self.begin()

    def on_incarnation_recorded(self) -> None:
        """Vote once a majority, including this replica, recorded the hand-over's incarnation."""
        if self.transfer.num_recorded() < self.replica.majority - 1:
            return
        self.state = RecoveryState.VOTING
        self.transfer.end()
        self.replica.begin_voting(wait_us=self.lease_wait_us)

    def on_peer_read(self) -> None:
        """Once no peer is left to read, record that the state is complete, then vote.

        A replica gets to its first vote after a restart only here, and after a hand-over only in
        `on_incarnation_recorded`. From then on `Replica.refusal_reason` decides on each vote.
        """
        if self.state is not RecoveryState.CATCHING_UP or self.transfer.peers:
            return
        replica, incarnation = self.replica, self.replica.incarnation
        replica.close_claims_unless(not self.is_bootstrap)

        def on_synced(is_synced: bool) -> None:
            if not is_synced:
                return self.on_storage_refused()
            if not self._rebuilds_under(incarnation):
                return
            self.is_disputed = False
            self.state = RecoveryState.VOTING
            self.replica.begin_voting()

        replica.write_recovered(on_synced)

    def tick(self, now_us: int) -> None:
        """Send unanswered messages again, and start over if there is no progress."""
        is_first = now_us - self.started_us < STARTUP_QUERY_PERIOD_US
        if now_us - self.queried_us < (
            STARTUP_QUERY_INTERVAL_US if is_first else QUERY_INTERVAL_US
        ):
            return
        self.queried_us = now_us
        is_stuck = now_us - self.transfer.progress_us > NO_PROGRESS_TIMEOUT_US
        if is_stuck and (self.is_rebuilding or self._is_candidate()):
            return self._begin_again()
        if self.is_rebuilding:
            return self.transfer.send_to_peers()
        for name, (address, _) in self.replica.directory.replicas().items():
            if name != self.replica.replica_id:
                self._send_state_query(address)
        self._evaluate_reports(now_us)

    def _begin_again(self) -> None:
        """Start over, or become a spare if this node never voted as the replica.

        Without progress another instance may have been recorded first.
        """
        if self.replica.is_dynamically_assigned and self.replica.is_empty:
            return self.replica.retire()
        self.begin()
