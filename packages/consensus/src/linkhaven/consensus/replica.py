"""A replica of the registers: its life cycle, its incarnation and its stored records.

The states and transitions are in `replica_state.py`. The components that act in them are in
`recovery.py`, `departure.py`, `succession.py` and `replica_assignment.py`; they read this replica
and call its methods, but never assign its attributes. Handling of messages by state:

| state | `Prepare`, `Accept` | `Chosen`, `StateQuery`, `PageRequest` |
| --- | --- | --- |
| VOTING | votes, unless `refusal_reason` returns a reason | served |
| any other | refused, with the state as the reason | served, by a replica (not a spare) |

Invariant: a replica votes under one incarnation at a time, and that incarnation is synced to disk
before the first vote under it (`vote_under_the_old_epoch` in `tests/test_explore.py`).
Invariant: it votes on leases only after all leases that an earlier instance of it voted for have
expired (`votes_from_us`).
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from linkhaven.runtime import Node

from .acceptor import Acceptor
from .claims import CLAIM_PREFIX, MAX_TICK_STEP_US
from .departure import Departure
from .handover_messages import HandoverSeal
from .paxos_messages import (
    LEASES_WAIT,
    NO_CLAIMS,
    OLD_INCARNATION,
    OTHER_REPLICA,
    Request,
)
from .recovery import Recovery
from .recovery_responder import RecoveryResponder
from .registers import RegisterState, RegisterTable, record_key
from .replica_assignment import ReplicaAssignment
from .replica_instances import ReplicaInstances
from .replica_records import (
    HANDOVER_RECORD,
    OWN_RECORDS,
    HandoverRecord,
    ReplicaRecord,
    SealRecord,
)
from .replica_state import LifeCycle, ReplicaEvent, ReplicaState, StoredState
from .replication_check import ReplicationCheck
from .succession import Succession

LEASE_PREFIX = "duty/"
"""Prefix of the keys of lease registers."""

STARTED_EVENT = 1201
VOTES_EVENT = 1202
SUPERSEDED_EVENT = 1204
CLAIMS_OPEN_EVENT = 1208
SPARE_EVENT = 1209


def _ignore(*_: Any) -> None:
    """Do nothing: the default for callbacks."""


class Replica:
    """This node's replica of the registers; a spare where no replica id is assigned.

    Owns the life cycle, the incarnation, the known incarnations of the other replicas, the seal
    record and whether claims are open, both in memory and on disk.
    """

    __slots__ = (
        "node",
        "replica_id",
        "replica_ids",
        "majority",
        "directory",
        "registers",
        "acceptor",
        "incarnation",
        "known_incarnations",
        "life_cycle",
        "is_failing",
        "votes_from_us",
        "on_voting_started",
        "on_retired",
        "recovery",
        "recovery_responder",
        "are_claims_open",
        "ticked_us",
        "is_dynamically_assigned",
        "instances",
        "assignment",
        "seal_record",
        "departure",
        "replication",
        "succession",
    )

    def __init__(
        self,
        node: Node,
        replica_id: str | None,
        replica_ids: tuple[str, ...],
        directory: Any,
        registers: RegisterTable,
        on_change: Callable[[str], None] = _ignore,
        on_voting_started: Callable[[], None] = _ignore,
        on_retired: Callable[[], None] = _ignore,
        contact: str | None = None,
        on_preempted: Callable[[str], None] = _ignore,
    ) -> None:
        """Load the stored records and create the parts of the replica.

        `replica_id` is None where the assignment is dynamic: it comes from disk or from the group.
        `directory` is the membership. `on_change` is called with the key of a register that was
        voted on or chosen; `on_voting_started` each time the replica starts to vote; `on_retired`
        once this node is a spare and its records are deleted; `on_preempted` with a key whose value
        can be replicated only under a higher ballot.
        """
        self.node = node
        self.is_dynamically_assigned = replica_id is None
        self.replica_ids = replica_ids
        self.majority = len(replica_ids) // 2 + 1
        self.directory = directory
        self.registers = registers
        self.on_voting_started = on_voting_started
        self.on_retired = on_retired
        stored = ReplicaRecord.load(node.ports.storage.load())
        self.replica_id: str = (stored.replica_id or "") if replica_id is None else replica_id
        self.incarnation: int = stored.incarnation or 0
        self.known_incarnations: dict[str, int] = stored.known_incarnations or {}
        self.seal_record: SealRecord | None = stored.seal or None
        self.are_claims_open = stored.are_claims_open is not False
        self.is_failing = False
        self.life_cycle = self._initial_life_cycle(stored)
        self.votes_from_us = 0
        self.ticked_us = node.now_us()
        self.instances = ReplicaInstances(node, self, stored.instances or {})
        self.succession = Succession(node, self, stored.handover or None)
        self.assignment = ReplicaAssignment(node, self, self.succession, contact or node.address)
        self.recovery = Recovery(node, self, self.instances, self.succession)
        self.replication = ReplicationCheck(node, self, on_preempted)
        self.departure = Departure(node, self, self.instances, self.recovery, self.replication)
        self.recovery_responder = RecoveryResponder(
            node, self, self.instances, self.recovery, self.departure
        )
        self.acceptor = Acceptor(node, self, registers, on_change)
        node.tick_handlers.append(self.tick)
        self._announce_start()

    def _initial_life_cycle(self, stored: ReplicaRecord) -> LifeCycle:
        state = ReplicaState.RECOVERING if self.replica_id else ReplicaState.SPARE
        if self.seal_record is not None:
            return LifeCycle(state, StoredState.SEALED)
        is_complete = bool(self.incarnation and not stored.is_partial)
        return LifeCycle(state, StoredState.COMPLETE if is_complete else StoredState.EMPTY)

    def _announce_start(self) -> None:
        if self.replica_id:
            self.node.ports.log(STARTED_EVENT, seat=self.replica_id, empty=self.is_empty)
        else:
            self.node.ports.log(SPARE_EVENT)
        if self.is_dynamically_assigned:
            self.directory.restore_replica(self.replica_id, self.incarnation)
            self.directory.add_seeds(self.instances.addresses())

    # State and registers

    @property
    def state(self) -> ReplicaState:
        """The state in the replica's life cycle."""
        return self.life_cycle.state

    @property
    def is_voting(self) -> bool:
        """Whether this replica votes now."""
        return self.life_cycle.may_vote

    @property
    def is_empty(self) -> bool:
        """Whether the registers on disk are incomplete and can't be recovered from."""
        return self.life_cycle.is_empty

    @property
    def is_recovering(self) -> bool:
        """Whether the replica recovers, or waits for an operator to allow that."""
        return self.life_cycle.is_recovering

    @property
    def clock_us(self) -> int:
        """Total run time of all instances of this replica, by which claims expire."""
        return self.registers.claims.clock_us

    def register_state(self, key: str) -> RegisterState:
        """Return the stored state of a register, an empty state where there is none."""
        return self.registers.get(key)

    def is_known_chosen(self, key: str) -> bool:
        """Whether a key's last accepted ballot, if there is one, is known to be chosen."""
        return self.registers.is_known_chosen(key)

    def merge(self, registers: Mapping[str, Any]) -> dict[str, Any]:
        """Merge copies of registers from another replica; return the records to write."""
        return self.registers.merge(registers)

    def all_incarnations(self) -> dict[str, int]:
        """Return the newest known incarnation of each replica, including this one."""
        if not self.replica_id:
            return dict(self.known_incarnations)
        return {**self.known_incarnations, self.replica_id: self.incarnation}

    def learn_incarnations(self, known: Mapping[str, int]) -> None:
        """Raise the known incarnations of the other replicas to those given."""
        for replica_id, incarnation in known.items():
            if replica_id != self.replica_id:
                own = self.known_incarnations.get(replica_id, 0)
                self.known_incarnations[replica_id] = max(incarnation, own)

    def restore(self) -> bool:
        """Recover from the available replicas on an operator's request.

        Returns False, and does nothing, unless the replica is in state WAITING.
        """
        return self.recovery.restore()

    # Voting

    def refusal_reason(self, request: Request) -> str | None:
        """Return the reason to refuse a request, or None if this replica may vote on it.

        A request that names a newer incarnation of this replica supersedes this instance.
        """
        if not self.is_voting:
            return self.state.wire_name
        if request.replica_id != self.replica_id:
            return OTHER_REPLICA
        if request.incarnation > self.incarnation:
            self._on_newer_incarnation(request.incarnation)
            return self.state.wire_name
        if request.incarnation < self.incarnation or self._knows_newer(request):
            return OLD_INCARNATION
        if request.key.startswith(LEASE_PREFIX) and self.node.now_us() < self.votes_from_us:
            return LEASES_WAIT
        if request.key.startswith(CLAIM_PREFIX) and not self._may_claim(request.key):
            return NO_CLAIMS
        return None

    def _knows_newer(self, request: Request) -> bool:
        """Whether this replica knows a newer incarnation of another one than the proposer does."""
        return any(
            incarnation < self.known_incarnations.get(replica_id, 0)
            for replica_id, incarnation in request.known_incarnations.items()
            if replica_id != self.replica_id
        )

    def _may_claim(self, key: str) -> bool:
        if not self.are_claims_open:
            return False
        return key in self.registers.states or self.registers.claims.has_room()

    def on_vote_synced(self, is_synced: bool) -> None:
        """Record whether the disk synced the last vote."""
        self.is_failing = not is_synced

    def on_storage_refused(self) -> None:
        """Record that a write of recovery failed."""
        self.is_failing = True

    def close_claims_unless(self, are_open: bool) -> None:
        """Close claims if they are closed at a replica whose state was read."""
        self.are_claims_open = self.are_claims_open and are_open

    def open_claims(self) -> None:
        """Accept new claims: those won before the group bootstrapped anew have been reported."""
        self.are_claims_open = True
        self._write(ReplicaRecord(are_claims_open=True), _ignore)
        claims = len(self.registers.claims)
        self.node.ports.log(CLAIMS_OPEN_EVENT, seat=self.replica_id, claims=claims)

    def begin_voting(self, is_first: bool = False, wait_us: int | None = None) -> None:
        """Start to vote.

        Votes on leases start `wait_us` later, by default a lease's length (`Bounds.lease_us`): by
        then every lease that an earlier instance voted for has expired. In the first start of the
        group (`is_first`) there are none, and votes on leases start at once.
        """
        self.life_cycle.on(ReplicaEvent.BEGIN_VOTING)
        self.is_failing = False
        self.seal_record = None
        wait_us = self.node.bounds.lease_us if wait_us is None else wait_us
        self.votes_from_us = 0 if is_first else self.node.now_us() + wait_us
        if self.is_dynamically_assigned:
            self.directory.announce_replica(self.replica_id, self.incarnation)
        self.directory.learn_incarnations(self.all_incarnations())
        self.node.ports.log(VOTES_EVENT, seat=self.replica_id, incarnation=self.incarnation)
        self.on_voting_started()
        self.succession.on_replica_voting()

    # Becoming a replica, and retiring

    def bootstrap(self, replica_id: str, contacts: Iterable[str]) -> None:
        """Bootstrap a new group: nothing was ever chosen, so this replica votes once synced.

        `contacts` are the addresses of the first replicas in the order of their replica ids. If
        the disk refuses the write, this node is a spare again.
        """
        self.life_cycle.on(ReplicaEvent.BOOTSTRAP)
        self.replica_id, self.incarnation = replica_id, 1
        self.instances.record_contacts(contacts)

        def on_synced(is_synced: bool) -> None:
            if is_synced:
                return self.begin_voting(is_first=True)
            self.life_cycle.on(ReplicaEvent.BOOTSTRAP_REFUSED)
            self.replica_id, self.incarnation = "", 0

        record = ReplicaRecord(
            replica_id=replica_id, incarnation=1, instances=self.instances.records
        )
        self._write(record, on_synced)

    def recover_as(self, replica_id: str, is_group_lost: bool = False) -> None:
        """Start recovery as this replica, on a node that was a spare.

        `is_group_lost`: all replicas lost their disks, so an empty group may bootstrap.
        """
        self.life_cycle.on(ReplicaEvent.ASSIGN)
        self.replica_id = replica_id
        self.recovery.begin(is_group_lost=is_group_lost)
        self.node.ports.log(STARTED_EVENT, seat=replica_id, empty=self.is_empty)

    def begin_recovery(self) -> None:
        """Stop voting until recovery has restored what this replica may have lost."""
        self.life_cycle.on(ReplicaEvent.RECOVER)

    def await_operator(self) -> None:
        """Wait for an operator: too few replicas are available to recover from."""
        self.life_cycle.on(ReplicaEvent.TOO_FEW_REPORTED)

    def raise_incarnation(self, above: int, done: Callable[[bool], None]) -> None:
        """Recover under incarnation `above + 1`; `done` is called with whether that is synced."""
        self.incarnation = above + 1
        record = ReplicaRecord(
            replica_id=self.replica_id,
            incarnation=self.incarnation,
            known_incarnations=self.known_incarnations,
            clock_us=self.clock_us,
            is_partial=self.is_empty,
        )
        self._write(record, done)

    def write_recovered(self, done: Callable[[bool], None]) -> None:
        """Record that the registers on disk are complete; `done` gets whether that is synced."""
        record = ReplicaRecord(is_partial=None, seal=None, are_claims_open=self.are_claims_open)
        self._write(record, done)

    def may_learn(self) -> bool:
        """Whether this node is a spare that may read the state of a departing replica."""
        return self.life_cycle.may(ReplicaEvent.LEARN)

    def learn(self) -> None:
        """Start to read a departing replica's state; no other replica is assigned meanwhile."""
        self.life_cycle.on(ReplicaEvent.LEARN)

    def recover_after_group_loss(self, replica_id: str) -> None:
        """Recover as this replica after all replicas lost their disks.

        There is no voting replica to confirm the assignment. It is announced with incarnation 0,
        as one that never voted.
        """
        self.recover_as(replica_id, is_group_lost=True)
        self.directory.announce_replica(replica_id, 0)

    def take_over(
        self, seal: HandoverSeal, handover: HandoverRecord, done: Callable[[bool], None]
    ) -> None:
        """Become the next instance of the sealed replica, whose whole state is on this disk.

        Replica id, incarnation and outcome of the hand-over are one write; `done` is called with
        whether it synced.
        """
        incarnation = seal.incarnation + 1
        instances = {
            replica_id: instance
            for replica_id, instance in seal.instances.items()
            if replica_id != seal.replica_id
        }
        record = ReplicaRecord(
            replica_id=seal.replica_id,
            incarnation=incarnation,
            known_incarnations=seal.known_incarnations,
            clock_us=self.clock_us,
            are_claims_open=seal.are_claims_open,
            instances=instances,
            handover=handover,
        )

        def on_synced(is_synced: bool) -> None:
            if is_synced:
                self.life_cycle.on(ReplicaEvent.TAKE_OVER)
                self.replica_id, self.incarnation = seal.replica_id, incarnation
                self.known_incarnations = dict(seal.known_incarnations)
                self.are_claims_open = seal.are_claims_open
                self.instances.records = instances
            done(is_synced)

        self._write(record, on_synced)

    def begin_with_state(self, wait_us: int) -> None:
        """Recover with the sealed instance's state: the others only record the new incarnation.

        No votes on leases are given for `wait_us` after the first vote.
        """
        self.node.ports.log(STARTED_EVENT, seat=self.replica_id, empty=False)
        self.recovery.begin_with_state(wait_us)

    def retire(self) -> None:
        """Become a spare: delete everything on disk except the record of the last hand-over."""
        self.life_cycle.on(ReplicaEvent.RETIRE)
        dropped = [
            *(key for key in self.node.ports.storage.load() if key != HANDOVER_RECORD),
            *OWN_RECORDS,
            *map(record_key, self.registers.states),
        ]
        self.replica_id, self.incarnation = "", 0
        self.known_incarnations, self.seal_record = {}, None
        self.registers.clear()
        self.is_failing, self.are_claims_open = False, True
        self.recovery.reset()
        self.recovery_responder.reset()
        self.node.ports.storage.write(dict.fromkeys(dropped), _ignore)
        self.on_retired()
        self.directory.announce_replica("", 0)
        self.node.ports.log(SPARE_EVENT)

    # Stopping to vote

    def seal(self, record: SealRecord, done: Callable[[bool], None]) -> None:
        """Stop voting under this incarnation, also after a restart.

        `done` is called with whether the record is synced; if not, the replica votes again.
        """
        self.life_cycle.on(ReplicaEvent.SEAL)
        self.seal_record = record

        def on_synced(is_synced: bool) -> None:
            if not is_synced:
                self.life_cycle.on(ReplicaEvent.SEAL_REFUSED)
                self.seal_record = None
            done(is_synced)

        self._write(ReplicaRecord(seal=record), on_synced)

    def unseal(self) -> None:
        """Remove the seal, since the successor never votes, and recover from the complete disk."""
        seal = self.seal_record

        def on_synced(is_synced: bool) -> None:
            is_overtaken = self.seal_record is not seal or self.recovery.is_rebuilding
            if not is_synced or is_overtaken:
                return
            self.life_cycle.on(ReplicaEvent.UNSEAL)
            self.seal_record = None
            self.recovery.begin()

        self._write(ReplicaRecord(seal=None, is_partial=None), on_synced)

    def pause(self) -> None:
        """Stop voting until `resume`; not recorded on disk."""
        self.life_cycle.on(ReplicaEvent.PAUSE)

    def resume(self) -> None:
        """Vote again after `pause`."""
        self.life_cycle.on(ReplicaEvent.RESUME)

    def _on_newer_incarnation(self, incarnation: int) -> None:
        """Handle a newer incarnation of this replica, which supersedes this instance.

        A group that bootstrapped after a loss may have reused incarnations that were in use before.
        Then this replica queries the others, and recovers under a higher incarnation unless one of
        them recorded a newer instance.
        """
        if self.recovery.is_bootstrap:
            return self.recovery.begin(is_disputed=True)
        self.on_superseded(incarnation)

    def on_superseded(self, incarnation: int) -> None:
        """Stop voting, since a newer instance of this replica runs."""
        self.life_cycle.on(ReplicaEvent.SUPERSEDE)
        self.node.ports.log(SUPERSEDED_EVENT, seat=self.replica_id, incarnation=incarnation)
        if self.is_dynamically_assigned:
            self.retire()

    # Periodic work

    def tick(self, now_us: int) -> None:
        """Advance the claims' clock, then do the periodic work of the current state.

        Time in which the process was suspended doesn't count toward `votes_from_us`.
        """
        passed_us = now_us - self.ticked_us
        self.ticked_us = now_us
        self.registers.claims.advance(passed_us)
        if passed_us > MAX_TICK_STEP_US and self.votes_from_us:
            self.votes_from_us += passed_us - MAX_TICK_STEP_US
        self.departure.tick(now_us)
        self.succession.tick(now_us)
        if self.is_voting:
            return self._tick_voting(now_us)
        if self.state is ReplicaState.SPARE:
            return self.assignment.tick(now_us)
        if self.is_recovering:
            self.departure.query_outcome(now_us)
            self.recovery.tick(now_us)

    def _tick_voting(self, now_us: int) -> None:
        self.instances.tick(now_us)
        newest = self.directory.replicas()[self.replica_id][1]
        if newest > self.incarnation:
            return self._on_newer_incarnation(newest)
        if self.registers.claims.is_sweep_due(now_us):
            records = {"clock_us": self.clock_us, **self.registers.drop_expired_claims()}
            self.node.ports.storage.write(records, _ignore)

    def _write(self, record: ReplicaRecord, done: Callable[[bool], None]) -> None:
        self.node.ports.storage.write(record.as_items(), done)
