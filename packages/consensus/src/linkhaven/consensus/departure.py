"""Departure of a voting replica: it hands over to a spare, or replicates its state to the others.

| state | message or event | what it does | next |
| --- | --- | --- | --- |
| STAYING | `begin` | | CHOOSING |
| CHOOSING | a spare is known | offers it the hand-over, goes on voting | OFFERING |
| CHOOSING | no spare is known | compares with the others, goes on voting | REPLICATING |
| OFFERING | `SuccessorReady` | stops voting, syncs the seal | SEALING |
| OFFERING | no page request for `SILENCE_TIMEOUT_US` | rejects this spare | CHOOSING |
| SEALING | the seal is synced | sends `HandoverSeal`, serves the last pages | SEALED |
| SEALING | the disk refuses the seal | votes again, as no seal was sent | CHOOSING |
| SEALED | `HandoverOutcome`: taken | becomes an empty spare | DEPARTED |
| SEALED | `HandoverOutcome`: never taken | votes again after an ordinary recovery | CHOOSING |
| REPLICATING | a majority without it has all | stops voting, compares the rest | PAUSED |
| REPLICATING | a spare is known, or it doesn't vote anymore | | CHOOSING |
| PAUSED | a majority without it has all | | DEPARTED |
| PAUSED | not done after `SILENCE_TIMEOUT_US` | votes again | REPLICATING |
| any | `Bounds.drain_us` have passed | | DEPARTED |

Messages and events without a row in the current state are ignored.

Invariant: a successor votes only with everything that the departing replica ever accepted, since
the last pages are read after the seal, when the departing replica has stopped voting
(`test_a_successor_has_what_only_the_departing_replica_and_one_other_accepted`).
Invariant: a sealed replica counts as one that lost its disk, also after a restart, unless its
successor says that it never took over
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
"""Interval at which unanswered messages are sent again."""

SILENCE_TIMEOUT_US = 1_500_000
"""How long a hand-over, or the last round of replication, may go on without progress."""

REJECTED_SPARE_RETRY_US = 2_000_000
"""Time after which a spare that gave up or didn't answer is offered a hand-over again."""

OFFERED_EVENT = 1210


class DepartureState(Enum):
    """The progress of a departure; the values are written to `GET /v1/core`."""

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
        """Total run time of all instances of the replica, by which claims expire."""

    votes_from_us: int
    is_dynamically_assigned: bool
    are_claims_open: bool
    seal_record: SealRecord | None

    @property
    def is_voting(self) -> bool:
        """Whether the replica votes now."""

    @property
    def is_recovering(self) -> bool:
        """Whether the replica recovers, or waits for an operator to allow that."""

    def seal(self, record: SealRecord, done: Callable[[bool], None]) -> None:
        """Stop voting under this incarnation, also after a restart."""

    def unseal(self) -> None:
        """Remove the seal, since the successor never votes, and recover from the complete disk."""

    def pause(self) -> None:
        """Stop voting until `resume`; not recorded on disk."""

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
        """`replication` replicates this replica's state to the others if there is no spare."""
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
        """Start to depart; `on_departed` is called once, when the process may exit."""
        self.on_departed = on_departed
        self.began_us = self.node.now_us()
        self.state = DepartureState.CHOOSING
        self.node.ports.clock.call_in(self.node.bounds.drain_us, self.on_drain_timeout)
        self._choose(self.began_us)

    def _is_under_way(self) -> bool:
        return self.state not in (DepartureState.STAYING, DepartureState.DEPARTED)

    def on_drain_timeout(self) -> None:
        """End the departure at `Bounds.drain_us`; a timer, since `tick` could be a tick late."""
        is_due = self.node.now_us() - self.began_us >= self.node.bounds.drain_us
        if self._is_under_way() and is_due:
            self._finish()

    def _finish(self) -> None:
        self.state = DepartureState.DEPARTED
        on_departed, self.on_departed = self.on_departed, None
        if on_departed is not None:
            on_departed()

    def tick(self, now_us: int) -> None:
        """Choose a spare, reject one that doesn't answer, or send unanswered messages again."""
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

    # Choosing a successor

    def _choose(self, now_us: int) -> None:
        """Offer a hand-over to a spare, or replicate to the others if there is none.

        A recovery in progress is waited for. A replica that neither votes nor recovers has nothing
        to hand over, and departs at once.
        """
        replica = self.replica
        is_sealed = replica.seal_record is not None
        if not is_sealed and not replica.is_voting and not replica.is_recovering:
            return self._finish()
        if not replica.is_voting:
            return self._finish() if self._is_majority_gone() else None
        spares = self._spares()
        if spares:
            return self._offer(spares[0], now_us)
        self._begin_replication(now_us)

    def _spares(self) -> list[Any]:
        if not self.replica.is_dynamically_assigned:
            return []
        spares = [
            member
            for member in self.replica.directory.live_members(CONTROLLER_KIND)
            if not member.replica_id and not self._was_rejected(member.name)
        ]
        return sorted(spares, key=lambda member: member.name)

    def _was_rejected(self, name: str) -> bool:
        """Whether a spare gave up or didn't answer recently; it may be available again later."""
        rejected_us = self.rejected_us.get(name)
        return (
            rejected_us is not None and self.node.now_us() - rejected_us < REJECTED_SPARE_RETRY_US
        )

    def _is_majority_gone(self) -> bool:
        """Whether so many others left that there is no majority without this replica.

        Then no hand-over or replication can complete, and waiting is useless.
        """
        members = self.replica.directory.replica_members()
        others = [member for name, member in members.items() if name != self.replica.replica_id]
        return sum(not member.has_left for member in others) < self.replica.majority

    # Departure with a successor

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
        """Record that the successor requested another page."""
        if transfer == self.handover_id:
            self.progress_us = self.node.now_us()

    def on_successor_ready(self, ready: SuccessorReady) -> None:
        """Seal this replica: the successor has read every page, and the rest is final now."""
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

    def _on_seal_synced(self, is_synced: bool) -> None:
        if self.state is not DepartureState.SEALING:
            return
        if not is_synced:
            return self._reject_successor()
        self.state = DepartureState.SEALED
        self._resend(self.node.now_us())

    def query_outcome(self, now_us: int) -> None:
        """Ask the successor for the outcome, after a restart of this sealed replica."""
        seal = self.replica.seal_record
        if seal is None or now_us - self.queried_us < RESEND_INTERVAL_US:
            return
        self.queried_us = now_us
        self.node.send(seal.successor_address, HandoverQuery(handover_id=seal.handover_id))

    def on_handover_outcome(self, outcome: HandoverOutcome) -> None:
        """Retire if the successor took over; otherwise recover, since it never will."""
        seal = self.replica.seal_record
        if seal is None or outcome.handover_id != seal.handover_id:
            return
        if outcome.is_taken:
            self.replica.retire()
            return self._finish()
        self.rejected_us[seal.successor_name] = self.node.now_us()
        # A restarted replica that already reads the others goes on as one without a disk.
        if not self.recovery.is_rebuilding:
            self.replica.unseal()
        if self.state is DepartureState.SEALED:
            self.state = DepartureState.CHOOSING

    # Departure without a successor

    def _begin_replication(self, now_us: int) -> None:
        self.state = DepartureState.REPLICATING
        self.progress_us = now_us
        self.replication.begin_round(is_final=False)

    def _check_replication(self, now_us: int) -> None:
        if self._is_majority_gone():
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
        """Depart after the final round, or pause and begin it.

        The replica is paused because values accepted during the final round would be missed.
        """
        if self.state is DepartureState.PAUSED:
            return self._finish()
        self.state = DepartureState.PAUSED
        self.progress_us = now_us
        self.replica.pause()
        self.replication.begin_round(is_final=True)
