"""How a voting replica departs: it hands its state to a spare, or sees that the others have it.

| state | message or event | what it does | next |
| --- | --- | --- | --- |
| STAYING | `begin` | | CHOOSING |
| CHOOSING | a spare is known | offers its place, goes on voting | OFFERING |
| CHOOSING | no spare is known | compares with the others, goes on voting | REPLICATING |
| OFFERING | `SuccessorReady` | votes no more, syncs the seal | SEALING |
| OFFERING | no page asked for in `SILENCE_TIMEOUT_US` | goes on without this spare | CHOOSING |
| SEALING | the seal is synced | seals the hand-over, answers the last pages | SEALED |
| SEALING | the disk refuses the seal | nothing was said yet, so it votes again | CHOOSING |
| SEALED | `HandoverOutcome`: taken | an empty spare from now on | DEPARTED |
| SEALED | `HandoverOutcome`: never taken | votes again after an ordinary recovery | CHOOSING |
| REPLICATING | a majority without it has all | votes no more, compares the rest | PAUSED |
| REPLICATING | a spare is known, or it votes no more | | CHOOSING |
| PAUSED | a majority without it has all | | DEPARTED |
| PAUSED | a replica falls silent for `SILENCE_TIMEOUT_US` | votes again | REPLICATING |
| any | `Bounds.drain_us` have passed | | DEPARTED |

What stands in no row of its state is ignored.

Invariant: what a successor votes with has everything that the departing replica ever accepted,
since the pages after the seal are read when it votes no more
(`test_what_only_the_departing_replica_and_one_other_accepted_is_with_the_successor`).
Invariant: a sealed replica counts as one that lost its disk, also after a restart, unless its
successor says that it never took its place
(`test_a_sealed_replica_that_starts_again_counts_as_one_without_a_disk`).
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from linkhaven.runtime import Node

from .handover_messages import (
    HandoverOffer,
    HandoverOutcome,
    HandoverQuery,
    HandoverSeal,
    SuccessorReady,
)
from .recovery import Recovery
from .replica_instances import ReplicaInstances
from .replica_records import CONTROLLER_KIND, SealRecord
from .replication_check import ReplicationCheck

RESEND_INTERVAL_US = 100_000
SILENCE_TIMEOUT_US = 1_500_000
REJECTED_SPARE_RETRY_US = 2_000_000
"""A spare that gave up is offered the place again after this."""

OFFERED_EVENT = 1210


class DepartureState(Enum):
    """Where a replica stands on its way out; the values stand in `GET /v1/core`."""

    STAYING = "staying"
    CHOOSING = "choosing"
    OFFERING = "offering"
    SEALING = "sealing"
    SEALED = "sealed"
    REPLICATING = "holding"
    PAUSED = "paused"
    DEPARTED = "gone"


class DepartingReplica(Protocol):
    """The replica that departs."""

    replica_id: str
    majority: int
    directory: Any
    incarnation: int
    known_incarnations: dict[str, int]

    @property
    def clock_us(self) -> int:
        """Time lived through by all instances of the replica."""

    votes_from_us: int
    is_learned: bool
    are_claims_open: bool
    seal_record: SealRecord | None

    @property
    def is_voting(self) -> bool:
        """Whether it votes now."""

    @property
    def is_recovering(self) -> bool:
        """Whether it recovers, or waits for an operator to let it."""

    def seal(self, record: SealRecord, done: Callable[[bool], None]) -> None:
        """Vote no more under this incarnation, also after a restart."""

    def unseal(self) -> None:
        """Recover with the disk as it is, since no successor votes."""

    def pause(self) -> None:
        """Vote no more until `resume`, in this process only."""

    def resume(self) -> None:
        """Vote again after `pause`."""

    def retire(self) -> None:
        """Become a spare."""


class Departure:
    """The departing side of a hand-over, and of a departure without a successor."""

    __slots__ = (
        "node",
        "replica",
        "instances",
        "recovery",
        "replication",
        "state",
        "handover_id",
        "successor",
        "rejected_us",
        "began_us",
        "progress_us",
        "sent_us",
        "queried_us",
        "on_departed",
    )

    def __init__(
        self,
        node: Node,
        replica: DepartingReplica,
        instances: ReplicaInstances,
        recovery: Recovery,
        replication: ReplicationCheck,
    ) -> None:
        """`replication` compares this replica with the others where no spare is there."""
        self.node = node
        self.replica = replica
        self.instances = instances
        self.recovery = recovery
        self.replication = replication
        self.state = DepartureState.STAYING
        self.handover_id = ""
        self.successor = ("", "")
        self.rejected_us: dict[str, int] = {}
        self.began_us = self.progress_us = self.sent_us = self.queried_us = 0
        self.on_departed: Callable[[], None] | None = None
        node.register_handler(SuccessorReady, self.on_successor_ready)
        node.register_handler(HandoverOutcome, self.on_handover_outcome)

    def begin(self, on_departed: Callable[[], None]) -> None:
        """Depart; `on_departed` is called once, when the process may end."""
        self.on_departed = on_departed
        self.began_us = self.node.now_us()
        self.state = DepartureState.CHOOSING
        self.node.ports.clock.call_in(self.node.bounds.drain_us, self.on_drain_timeout)
        self._choose(self.began_us)

    def _is_under_way(self) -> bool:
        return self.state not in (DepartureState.STAYING, DepartureState.DEPARTED)

    def on_drain_timeout(self) -> None:
        """Go, by a timer of its own: a tick after the bound would be late by up to a tick."""
        is_due = self.node.now_us() - self.began_us >= self.node.bounds.drain_us
        if self._is_under_way() and is_due:
            self._finish()

    def _finish(self) -> None:
        self.state = DepartureState.DEPARTED
        on_departed, self.on_departed = self.on_departed, None
        if on_departed is not None:
            on_departed()

    def tick(self, now_us: int) -> None:
        """Choose again, give up who is silent, or send again what was not answered."""
        if not self._is_under_way():
            return
        if self.state is DepartureState.CHOOSING:
            return self._choose(now_us)
        is_silent = now_us - self.progress_us >= SILENCE_TIMEOUT_US
        if self.state is DepartureState.OFFERING and is_silent:
            return self._reject_successor()
        if self.state in (DepartureState.REPLICATING, DepartureState.PAUSED):
            return self._check_replication(now_us)
        if now_us - self.sent_us >= RESEND_INTERVAL_US:
            self._resend(now_us)

    # choosing

    def _choose(self, now_us: int) -> None:
        """A recovery in progress is waited for; who gives no votes has nothing to hand over."""
        replica = self.replica
        is_sealed = replica.seal_record is not None
        if not is_sealed and not replica.is_voting and not replica.is_recovering:
            return self._finish()
        if not replica.is_voting:
            return self._finish() if self._is_alone() else None
        spares = self._spares()
        if spares:
            return self._offer(spares[0], now_us)
        self._begin_replication(now_us)

    def _spares(self) -> list[Any]:
        if not self.replica.is_learned:
            return []
        spares = [
            member
            for member in self.replica.directory.live_members(CONTROLLER_KIND)
            if not member.replica_id and not self._was_rejected(member.name)
        ]
        return sorted(spares, key=lambda member: member.name)

    def _was_rejected(self, name: str) -> bool:
        """A spare that gave up, or fell silent, may be well again later."""
        rejected_us = self.rejected_us.get(name)
        return (
            rejected_us is not None and self.node.now_us() - rejected_us < REJECTED_SPARE_RETRY_US
        )

    def _is_alone(self) -> bool:
        """So many others left in order that no majority remains without this replica.

        Then there's nobody to wait for.
        """
        members = self.replica.directory.replica_members()
        others = [member for name, member in members.items() if name != self.replica.replica_id]
        return sum(not member.has_left for member in others) < self.replica.majority

    # with a successor

    def _offer(self, spare: Any, now_us: int) -> None:
        self.state = DepartureState.OFFERING
        self.successor = (spare.name, spare.address)
        self.handover_id = f"{self.recovery.start}/{self.replica.incarnation}/{now_us}"
        self.progress_us = now_us
        self.node.ports.log(OFFERED_EVENT, seat=self.replica.replica_id, successor=spare.name)
        self._resend(now_us)

    def _resend(self, now_us: int) -> None:
        self.sent_us = now_us
        if self.state is DepartureState.OFFERING:
            self._send_offer()
        elif self.state is DepartureState.SEALED:
            self._send_seal()

    def _send_offer(self) -> None:
        offer = HandoverOffer(
            handover_id=self.handover_id,
            replica_id=self.replica.replica_id,
            incarnation=self.replica.incarnation,
        )
        self.node.send(self.successor[1], offer)

    def _send_seal(self) -> None:
        replica = self.replica
        seal = HandoverSeal(
            handover_id=self.handover_id,
            replica_id=replica.replica_id,
            incarnation=replica.incarnation,
            known_incarnations=replica.known_incarnations,
            clock_us=replica.clock_us,
            are_claims_open=replica.are_claims_open,
            instances=self.instances.records,
            wait_us=max(0, replica.votes_from_us - self.node.now_us()),
        )
        self.node.send(self.successor[1], seal)

    def _reject_successor(self) -> None:
        self.rejected_us[self.successor[0]] = self.node.now_us()
        self.state = DepartureState.CHOOSING

    def on_transfer_progress(self, transfer: str) -> None:
        """Note that the successor goes on reading."""
        if transfer == self.handover_id:
            self.progress_us = self.node.now_us()

    def on_successor_ready(self, ready: SuccessorReady) -> None:
        """The successor has read every page: seal this replica, so that the rest is final."""
        if self.state is not DepartureState.OFFERING or ready.handover_id != self.handover_id:
            return
        if not self.replica.is_voting:
            self.state = DepartureState.CHOOSING
            return
        self.state = DepartureState.SEALING
        name, address = self.successor
        record = SealRecord(
            handover_id=self.handover_id,
            successor_name=name,
            successor_address=address,
            incarnation=self.replica.incarnation,
        )
        self.replica.seal(record, self._on_seal_synced)

    def _on_seal_synced(self, is_kept: bool) -> None:
        if self.state is not DepartureState.SEALING:
            return
        if not is_kept:
            return self._reject_successor()
        self.state = DepartureState.SEALED
        self._resend(self.node.now_us())

    def query_outcome(self, now_us: int) -> None:
        """A sealed replica that was started again asks whether its successor took its place."""
        seal = self.replica.seal_record
        if seal is None or now_us - self.queried_us < RESEND_INTERVAL_US:
            return
        self.queried_us = now_us
        self.node.send(seal.successor_address, HandoverQuery(handover_id=seal.handover_id))

    def on_handover_outcome(self, outcome: HandoverOutcome) -> None:
        """The successor took this replica's place, or says that it never will."""
        seal = self.replica.seal_record
        if seal is None or outcome.handover_id != seal.handover_id:
            return
        if outcome.is_taken:
            self.replica.retire()
            return self._finish()
        self.rejected_us[seal.successor_name] = self.node.now_us()
        # A start that already reads the others goes on as one without a disk.
        if not self.recovery.is_rebuilding:
            self.replica.unseal()
        if self.state is DepartureState.SEALED:
            self.state = DepartureState.CHOOSING

    # without a successor

    def _begin_replication(self, now_us: int) -> None:
        self.state = DepartureState.REPLICATING
        self.progress_us = now_us
        self.replication.begin_round(is_final=False)

    def _check_replication(self, now_us: int) -> None:
        if self._is_alone():
            return self._finish()
        is_replicating = self.state is DepartureState.REPLICATING
        if is_replicating and (not self.replica.is_voting or self._spares()):
            self.state = DepartureState.CHOOSING
            return
        if self.replication.is_replicated():
            return self._end_round(now_us)
        is_silent = now_us - self.progress_us >= SILENCE_TIMEOUT_US
        if self.state is DepartureState.PAUSED and is_silent:
            self.replica.resume()
            return self._begin_replication(now_us)
        self.replication.tick(now_us)

    def _end_round(self, now_us: int) -> None:
        """Pause before the last round: what is accepted while it runs would be missed."""
        if self.state is DepartureState.PAUSED:
            return self._finish()
        self.state = DepartureState.PAUSED
        self.progress_us = now_us
        self.replica.pause()
        self.replication.begin_round(is_final=True)
