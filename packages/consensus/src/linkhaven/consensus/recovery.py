"""Recovery: what each start of a replica goes through before it may vote.

It collects reports of how the others stand, raises its incarnation, has the others record that, and
only then reads what they accepted, page by page. So nothing that an older instance of this replica
took part in can be chosen behind its back: whoever is read refuses the older incarnation by then
(as the recovery protocol of Viewstamped Replication Revisited, section 4.3, for single registers).

| state | message or event | what it does | next |
| --- | --- | --- | --- |
| IDLE | `begin` | queries all replicas | COLLECTING |
| COLLECTING | `ReplicaStateReport` | weighs the reports, see `rebuild_rule.py` | CATCHING_UP |
| COLLECTING | report of a newer instance | yields to it: superseded, or a spare again | IDLE |
| COLLECTING | `join_bootstrap`: another one found all empty | follows it | CATCHING_UP |
| COLLECTING | too little after `Bounds.alone_us` | waits for more, or for `restore` | COLLECTING |
| CATCHING_UP | one more replica is read | goes on, see `state_transfer.py` | CATCHING_UP |
| CATCHING_UP | the last replica is read | syncs that its state is complete | VOTING |
| CATCHING_UP | a replica started anew | what was read is void | COLLECTING |
| CATCHING_UP | no progress (`NO_PROGRESS_TIMEOUT_US`) | starts over | COLLECTING |
| CATCHING_UP | the disk refuses a write | what isn't synced counts for nothing | COLLECTING |
| COLLECTING, CATCHING_UP | no progress, and it never voted | a spare again | IDLE |
| IDLE | `begin_with_state`, at the end of a hand-over | announces its incarnation | RECORDING |
| RECORDING | a majority recorded it | it has the whole state and reads nothing | VOTING |
| RECORDING | no progress (`NO_PROGRESS_TIMEOUT_US`) | recovers from its disk | COLLECTING |
| VOTING | `begin`: a bootstrap may have forgotten a newer incarnation | queries | COLLECTING |
| any | `reset`, once it is a spare | | IDLE |

What stands in no row of its state is ignored. What the others do for a recovering replica is in
`recovery_responder.py`.

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
"""Unanswered messages are sent again after this."""

STARTUP_QUERY_INTERVAL_US = 50_000
STARTUP_QUERY_PERIOD_US = 1_500_000
"""Queries are sent more often for this long after the start, so that a full restart is quick."""

NO_PROGRESS_TIMEOUT_US = 1_000_000
"""Without progress for this long, it begins again from the first query."""

WAITING_EVENT = 1203
STORAGE_REFUSED_EVENT = 1205
RESTORED_EVENT = 1206

STORAGE_REFUSED_KEY = "rejoin"
"""What `STORAGE_REFUSED_EVENT` names in place of a register's key."""


class RecoveryState(Enum):
    """Where a started replica stands before it may vote."""

    IDLE = "idle"
    """Nothing to recover: a spare, or a replica of the first start of all."""

    COLLECTING = "collecting"
    """Asks the others how they stand."""

    CATCHING_UP = "catching_up"
    """Has each other replica record the new incarnation, and reads those that did."""

    RECORDING = "recording"
    """Took over the whole state of its predecessor; the others record the new incarnation."""

    VOTING = "voting"
    """Recovered: its votes count."""


class RecoveringReplica(Protocol):
    """What recovery reads, and asks of, the replica that it brings back."""

    replica_id: str
    replica_ids: tuple[str, ...]
    majority: int
    directory: Directory
    incarnation: int
    is_learned: bool
    are_claims_open: bool

    @property
    def state(self) -> ReplicaState:
        """Where it stands in its life cycle."""

    @property
    def is_empty(self) -> bool:
        """Whether its disk counts as lost."""

    @property
    def is_recovering(self) -> bool:
        """Whether it recovers, or waits for an operator to let it."""

    def begin_recovery(self) -> None:
        """It may not vote until `begin_voting`."""

    def await_operator(self) -> None:
        """More is lost than can be rebuilt."""

    def raise_incarnation(self, above: int, done: Callable[[bool], None]) -> None:
        """Recover under the next incarnation above this one; `done` once synced, or not."""

    def write_recovered(self, done: Callable[[bool], None]) -> None:
        """Sync that its registers are all that it needs."""

    def narrow_claims(self, are_open: bool) -> None:
        """Keep claims open only if they are there, too."""

    def on_storage_refused(self) -> None:
        """The disk refused a write of recovery."""

    def learn_incarnations(self, known: dict[str, int]) -> None:
        """Take in the newest incarnations that another replica knows."""

    def merge(self, registers: Mapping[str, RegisterCopy]) -> dict[str, Any]:
        """Take in the highest ballots of another replica; gives the records to write."""

    def begin_voting(self, *, wait_us: int | None = None) -> None:
        """Vote from now on; grant no lease for `wait_us`, or a lease's time where None."""

    def yield_to(self, incarnation: int) -> None:
        """Yield to a newer instance of this replica."""

    def retire(self) -> None:
        """Become a spare."""


class Recovery:
    """The recovering side; it owns what it collected and read, in memory only.

    A disk that was read is whole unless it lost what it had synced. So a replica with a disk needs
    the others only to make good such a loss: a majority with disks goes on once the rest has
    answered that it has none, and where the rest is silent, after `Bounds.alone_us`.
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
        "is_core_lost",
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
        """`start` names this process start in all messages of recovery."""
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
        self.is_bootstrap = self.is_disputed = self.is_core_lost = False
        self.has_met_no_voter = False
        self.wait_reason: str | None = None
        self.queried_back_start: str | None = None
        self.lease_wait_us = 0
        node.register_handler(ReplicaStateReport, self.on_replica_state_report)

    # begin and end

    def begin(self, *, is_disputed: bool = False, is_core_lost: bool = False) -> None:
        """Begin at the first query.

        `is_disputed`: another replica knows a newer incarnation of this one, which a bootstrap may
        have forgotten. `is_core_lost`: every disk was lost, so an empty group may bootstrap.
        """
        self.is_disputed = is_disputed or self.is_disputed
        self.is_core_lost = is_core_lost or self.is_core_lost
        self.replica.begin_recovery()
        self.state = RecoveryState.COLLECTING
        self.transfer.restart()
        self.reports = {}
        self.started_us = self.node.now_us()

    def begin_with_state(self, wait_us: int) -> None:
        """Begin where a hand-over brought the whole state of the sealed predecessor.

        The record of its seal at a majority stands in for reading the others.
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
        """Forget all, since this node is a spare now."""
        self.state = RecoveryState.IDLE
        self.transfer.end()
        self.reports = {}
        self.is_bootstrap = self.is_disputed = self.is_core_lost = False

    def restore(self) -> bool:
        """Rebuild from what is there, at an operator's word; False where it doesn't wait for it."""
        if self.replica.state is not ReplicaState.WAITING:
            return False
        self.node.ports.log(RESTORED_EVENT, seat=self.replica.replica_id)
        self._raise_incarnation(self.reports.values())
        return True

    def _is_candidate(self) -> bool:
        """Whether it was a spare that tries to become a replica on which it never voted."""
        replica = self.replica
        return replica.is_learned and replica.is_empty and bool(replica.replica_id)

    @property
    def is_rebuilding(self) -> bool:
        """Whether it raised its incarnation and doesn't vote under it yet."""
        return self.state in (RecoveryState.CATCHING_UP, RecoveryState.RECORDING)

    # collecting

    def is_collecting(self) -> bool:
        """Whether reports are still awaited."""
        return self.state is RecoveryState.COLLECTING and self.replica.is_recovering

    def may_join_bootstrap(self) -> bool:
        """Whether this empty replica may follow another one that bootstraps the group."""
        return self.replica.is_empty and self.is_collecting()

    def join_bootstrap(self) -> None:
        """Another replica found all empty before this one did."""
        self.is_bootstrap = True
        self._raise_incarnation(self.reports.values())

    def query_back(self, query: StateQuery) -> None:
        """Query one that queried: it runs, and needn't wait for the next round of queries."""
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
        """Yield to a newer instance of this replica, else weigh what is known."""
        replica = self.replica
        is_ours = report.queried_by == replica.replica_id and report.queried_start == self.start
        if not self.is_collecting() or not is_ours:
            return
        newest = report.known_incarnations.get(replica.replica_id, 0)
        if self._is_superseded(report, newest):
            self.state = RecoveryState.IDLE
            return replica.yield_to(newest)
        self.reports[report.replica_id] = report
        self._weigh_reports(self.node.now_us())

    def _is_superseded(self, report: ReplicaStateReport, newest: int) -> bool:
        if self.is_disputed and newest > self.replica.incarnation:
            return True
        if not self.replica.is_learned:
            return False
        if self._is_candidate():
            return report.is_taken
        is_recorded = report.recorded_name not in ("", self.node.name)
        return newest >= self.replica.incarnation and is_recorded

    def _weigh_reports(self, now_us: int) -> None:
        replica, reports = self.replica, list(self.reports.values())
        accounted_for = {*self.reports, *self.instances.replicas_now_spare()} - {replica.replica_id}
        has_waited = now_us - self.started_us >= self.node.bounds.alone_us
        basis = rebuild_basis(
            reports,
            group_size=len(replica.replica_ids),
            is_empty=replica.is_empty,
            may_bootstrap=self.is_core_lost or not replica.is_learned,
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
        """Go above every incarnation that anybody knows, and sync that before it is announced."""
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

        def on_synced(is_kept: bool) -> None:
            if not is_kept:
                return self.on_storage_refused()
            if self._rebuilds_under(incarnation):
                self.transfer.send_to_peers()
                # Where an operator restores it without any report, there is nobody to read.
                self.on_peer_read()

        replica.raise_incarnation(highest, on_synced)

    def _rebuilds_under(self, incarnation: int) -> bool:
        """Whether a write of this incarnation still counts; a new begin raises it again."""
        is_same = self.replica.incarnation == incarnation
        return is_same and self.state is RecoveryState.CATCHING_UP

    def on_storage_refused(self) -> None:
        """Begin again at collecting: what isn't synced counts for nothing."""
        self.replica.on_storage_refused()
        is_recovering = self.replica.is_recovering
        self.state = RecoveryState.COLLECTING if is_recovering else RecoveryState.IDLE
        self.transfer.end()
        self.node.ports.log(STORAGE_REFUSED_EVENT, key=STORAGE_REFUSED_KEY)

    # what the transfer tells, and the first vote

    def on_transfer_void(self) -> None:
        """A replica started anew while it was read: its state now may be another one."""
        self.begin()

    def on_incarnation_recorded(self) -> None:
        """Vote once a majority, this replica among it, recorded the incarnation of a hand-over."""
        if self.transfer.num_recorded() < self.replica.majority - 1:
            return
        self.state = RecoveryState.VOTING
        self.transfer.end()
        self.replica.begin_voting(wait_us=self.lease_wait_us)

    def on_peer_read(self) -> None:
        """Once no peer is left to read, sync that the state is complete, then vote.

        This is the one way to the first vote after a restart; the other, after a hand-over, is
        `on_incarnation_recorded`. From then on `Replica.refusal_reason` decides about each vote.
        """
        if self.state is not RecoveryState.CATCHING_UP or self.transfer.peers:
            return
        replica, incarnation = self.replica, self.replica.incarnation
        replica.narrow_claims(not self.is_bootstrap)

        def on_synced(is_kept: bool) -> None:
            if not is_kept:
                return self.on_storage_refused()
            if not self._rebuilds_under(incarnation):
                return
            self.is_disputed = False
            self.state = RecoveryState.VOTING
            self.replica.begin_voting()

        replica.write_recovered(on_synced)

    def tick(self, now_us: int) -> None:
        """Send again what was not answered, and begin again where nothing moves."""
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
        self._weigh_reports(now_us)

    def _begin_again(self) -> None:
        """Neither recorded nor read for too long: another instance may have been first."""
        if self.replica.is_learned and self.replica.is_empty:
            return self.replica.retire()
        self.begin()
