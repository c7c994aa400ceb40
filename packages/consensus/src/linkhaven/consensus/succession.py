"""How a spare succeeds a departing replica: it reads first, and votes only with the whole state.

| state | message or event | what it does | next |
| --- | --- | --- | --- |
| IDLE | `HandoverOffer`, and it is a spare | syncs the offer, reads page by page | READING |
| IDLE | `HandoverOffer`, `HandoverSeal`, `HandoverQuery` of its last one | outcome | IDLE |
| READING | last `StatePage` | probes whether the other replicas hear it | PROBING |
| PROBING | `ReachabilityReply` of f replicas that vote | says that it is ready | READY |
| READY | `HandoverSeal` | reads what changed since the first page | READING_REST |
| READING_REST | last `StatePage` | syncs replica, incarnation and state in one write | SYNCING |
| SYNCING | synced | it has a disk; once the others recorded it, it votes | IDLE |
| SYNCING | the disk refuses | a spare again | IDLE |
| READING to READING_REST | silence, or `HandoverQuery` | a spare again, says so | IDLE |

What stands in no row of its state is ignored.

Invariant: it answers "not taken" only to a hand-over that it accepted and synced, and never takes
that one later (`test_a_successor_that_gave_up_never_takes_over_later`).
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, Protocol

from linkhaven.runtime import Node

from .handover_messages import (
    HandoverOffer,
    HandoverOutcome,
    HandoverQuery,
    HandoverSeal,
    ReachabilityProbe,
    ReachabilityReply,
    SuccessorReady,
)
from .recovery_messages import PageRequest, RegisterCopy, StatePage
from .replica_records import HandoverRecord, ReplicaRecord

RESEND_INTERVAL_US = 100_000
SILENCE_TIMEOUT_US = 2_000_000

READING_EVENT = 1211


class SuccessionState(Enum):
    """Where a spare stands between the offer of a replica and its first vote."""

    IDLE = "idle"
    READING = "reading"
    PROBING = "probing"
    READY = "ready"
    READING_REST = "reading_rest"
    SYNCING = "syncing"


class SucceedingReplica(Protocol):
    """The replica to be, on a node that is a spare."""

    replica_id: str
    majority: int
    directory: Any

    @property
    def is_voting(self) -> bool:
        """Whether it votes now."""

    def may_learn(self) -> bool:
        """Whether it is a spare that may read a departing replica."""

    def learn(self) -> None:
        """Read a departing replica, and take no other replica meanwhile."""

    def merge(self, registers: Mapping[str, RegisterCopy]) -> dict[str, Any]:
        """Take in the highest ballots of another replica; gives the records to write."""

    def take_over(
        self, seal: HandoverSeal, handover: HandoverRecord, done: Callable[[bool], None]
    ) -> None:
        """Become the next instance of the departing replica, in one write."""

    def begin_with_state(self, wait_us: int) -> None:
        """Have the others record the new instance, then vote."""

    def retire(self) -> None:
        """Become a spare."""


class Succession:
    """The succeeding side of a hand-over; it owns `last_handover`, which is on disk."""

    __slots__ = (
        "node",
        "replica",
        "state",
        "last_handover",
        "departing_address",
        "cursor",
        "since",
        "change_count",
        "num_remaining",
        "departing_start",
        "seal",
        "progress_us",
        "sent_us",
        "reached",
    )

    def __init__(
        self, node: Node, replica: SucceedingReplica, last_handover: HandoverRecord | None
    ) -> None:
        """`last_handover`: the last one that this disk agreed to, and how it ended."""
        self.node = node
        self.replica = replica
        self.last_handover = last_handover
        self.seal: HandoverSeal | None = None
        self._reset()
        node.register_handler(HandoverOffer, self.on_handover_offer)
        node.register_handler(HandoverSeal, self.on_handover_seal)
        node.register_handler(HandoverQuery, self.on_handover_query)
        node.register_handler(ReachabilityProbe, self.on_reachability_probe)
        node.register_handler(ReachabilityReply, self.on_reachability_reply)

    def is_active(self) -> bool:
        """Whether a hand-over is under way; it takes no other replica meanwhile."""
        return self.state is not SuccessionState.IDLE

    def remaining_keys(self) -> dict[str, int | None]:
        """The departing replica's address and how many keys come after its last page."""
        if not self.departing_address:
            return {}
        return {self.departing_address: self.num_remaining}

    def _reset(self) -> None:
        self.state = SuccessionState.IDLE
        self.departing_address = ""
        self.cursor: str | None = ""
        self.since = self.change_count = 0
        self.num_remaining: int | None = None
        self.departing_start: str | None = None
        self.reached: set[str] = set()
        self.progress_us = self.sent_us = 0

    def _handover(self) -> HandoverRecord:
        """The hand-over that is under way, or that ended last."""
        assert self.last_handover is not None, "no hand-over was agreed to"
        return self.last_handover

    def _is_last_handover(self, handover_id: str) -> bool:
        return self.last_handover is not None and self.last_handover.handover_id == handover_id

    # reading while the departing replica votes

    def on_handover_offer(self, offer: HandoverOffer) -> None:
        """Begin to read; the offer is synced first, so that it can be answered for after a restart.

        An offer that comes again was given up here, or taken: it is answered, not taken up.
        """
        if not self.replica.may_learn() or self.is_active():
            return
        if self._is_last_handover(offer.handover_id):
            return self._send_outcome(offer.reply_to)
        self._reset()
        self.state = SuccessionState.READING
        self.replica.learn()
        self.departing_address = offer.reply_to
        handover = self.last_handover = HandoverRecord(offer.handover_id, is_taken=False)
        self.progress_us = self.node.now_us()
        self.node.ports.log(READING_EVENT, seat=offer.replica_id, leaver=offer.sender)

        def on_synced(is_kept: bool) -> None:
            if self.last_handover is not handover or self.state is not SuccessionState.READING:
                return
            if not is_kept:
                return self._give_up()
            self._send_page_request("")

        self.node.ports.storage.write(ReplicaRecord(handover=handover).as_items(), on_synced)

    def _send_page_request(self, cursor: str) -> None:
        self.sent_us = self.node.now_us()
        self.cursor = cursor
        request = PageRequest(
            replica_id="",
            transfer=self._handover().handover_id,
            after=cursor,
            since=self.since,
        )
        self.node.send(self.departing_address, request)

    def expects(self, page: StatePage) -> bool:
        """Whether this page is the one that was asked for."""
        return (
            self.state in (SuccessionState.READING, SuccessionState.READING_REST)
            and self._is_last_handover(page.transfer)
            and page.after == self.cursor
            and page.since == self.since
        )

    def on_state_page(self, page: StatePage) -> None:
        """Sync one page, then ask for the next; pages of two starts don't make one state."""
        if self.departing_start not in (None, page.start):
            return self._give_up()
        self.departing_start = page.start
        self.progress_us = self.node.now_us()
        if not page.after:
            self.change_count = page.change_count
        self.cursor = None
        self.num_remaining = page.num_remaining
        handover = self.last_handover

        def on_synced(is_kept: bool) -> None:
            if self.last_handover is not handover or self.cursor is not None:
                return
            if not is_kept:
                return self._give_up()
            if page.next_cursor is None:
                return self._on_last_page()
            self._send_page_request(page.next_cursor)

        self.node.ports.storage.write(self.replica.merge(page.registers), on_synced)

    def _on_last_page(self) -> None:
        if self.state is SuccessionState.READING_REST:
            return self._take_over()
        self.state = SuccessionState.PROBING
        self._send_probes()

    # being heard by those that must record it

    def _send_probes(self) -> None:
        """Who can't reach those that must record it would leave the replica without a vote."""
        self.sent_us = self.node.now_us()
        probe = ReachabilityProbe(handover_id=self._handover().handover_id)
        for address, _ in self.replica.directory.replicas().values():
            if address != self.departing_address:
                self.node.send(address, probe)

    def on_reachability_probe(self, probe: ReachabilityProbe) -> None:
        """A voting replica answers a successor to be."""
        if self.replica.is_voting:
            reply = ReachabilityReply(
                handover_id=probe.handover_id, replica_id=self.replica.replica_id
            )
            self.node.send(probe.reply_to, reply)

    def on_reachability_reply(self, reply: ReachabilityReply) -> None:
        """Be ready once enough replicas to record it hear it, and are heard."""
        is_awaited = self.state is SuccessionState.PROBING
        if not is_awaited or not self._is_last_handover(reply.handover_id):
            return
        self.reached.add(reply.replica_id)
        if len(self.reached) < self.replica.majority - 1:
            return
        self.state = SuccessionState.READY
        self.progress_us = self.node.now_us()
        self._send_ready()

    def _send_ready(self) -> None:
        self.sent_us = self.node.now_us()
        ready = SuccessorReady(handover_id=self._handover().handover_id)
        self.node.send(self.departing_address, ready)

    def on_handover_seal(self, seal: HandoverSeal) -> None:
        """The departing replica votes no more: read what it accepted since the first page."""
        if not self._is_last_handover(seal.handover_id):
            return
        if self.state is SuccessionState.IDLE:
            return self._send_outcome(seal.reply_to)
        if self.state is not SuccessionState.READY:
            return
        self.state = SuccessionState.READING_REST
        self.seal = seal
        self.since = self.change_count + 1
        self.progress_us = self.node.now_us()
        self._send_page_request("")

    def _take_over(self) -> None:
        seal, handover = self.seal, self._handover()
        assert seal is not None, "only a sealed hand-over is read to its end"
        self.state = SuccessionState.SYNCING
        handover.is_taken = True

        def on_synced(is_kept: bool) -> None:
            if self.state is not SuccessionState.SYNCING:
                return
            if not is_kept:
                handover.is_taken = False
                return self._give_up()
            self._reset()
            self.replica.begin_with_state(seal.wait_us)

        self.replica.take_over(seal, handover, on_synced)

    def on_handover_query(self, query: HandoverQuery) -> None:
        """The departing replica was started again, and asks how it ended; so it can't go on."""
        if not self._is_last_handover(query.handover_id):
            return
        if self.state is SuccessionState.SYNCING:
            return
        if self.is_active():
            return self._give_up()
        self._send_outcome(query.reply_to)

    def _send_outcome(self, address: str) -> None:
        handover = self._handover()
        outcome = HandoverOutcome(handover_id=handover.handover_id, is_taken=handover.is_taken)
        self.node.send(address, outcome)

    def on_replica_voting(self) -> None:
        """The new instance votes: the departing one may go."""
        handover = self.last_handover
        if handover is not None and handover.is_taken and self.seal is not None:
            self._send_outcome(self.seal.reply_to)

    def _give_up(self) -> None:
        address = self.departing_address
        self._reset()
        self.replica.retire()
        if address:
            self._send_outcome(address)

    def tick(self, now_us: int) -> None:
        """Send again what was not answered; give up a departing replica that fell silent."""
        if self.state in (SuccessionState.IDLE, SuccessionState.SYNCING):
            return
        if now_us - self.progress_us >= SILENCE_TIMEOUT_US:
            return self._give_up()
        if now_us - self.sent_us < RESEND_INTERVAL_US:
            return
        if self.state is SuccessionState.PROBING:
            return self._send_probes()
        if self.state is SuccessionState.READY:
            return self._send_ready()
        if self.cursor is not None:
            self._send_page_request(self.cursor)
