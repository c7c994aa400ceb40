"""Succession of a spare to a departing replica: it votes only once it has read the whole state.

| state | message or event | what it does | next |
| --- | --- | --- | --- |
| IDLE | `HandoverOffer`, on a spare | syncs the offer, reads page by page | READING |
| IDLE | any message about its last hand-over | sends the outcome | IDLE |
| READING | last `StatePage` | probes whether the other replicas can be reached | PROBING |
| PROBING | `ReachabilityReply` of f voting replicas | sends `SuccessorReady` | READY |
| READY | `HandoverSeal` | reads what changed since the first page | READING_REST |
| READING_REST | last `StatePage` | syncs replica id and incarnation in one write | SYNCING |
| SYNCING | synced | votes once a majority has recorded its incarnation | IDLE |
| SYNCING | the disk refuses | is a spare again | IDLE |
| READING to READING_REST | timeout, `HandoverQuery` | is a spare again, sends the outcome | IDLE |

Messages and events without a row in the current state are ignored.

Invariant: the outcome "not taken" is sent only for a hand-over that was agreed to and synced, and
that hand-over is never taken later (`test_a_successor_that_gave_up_never_takes_over_later`).
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
"""Interval at which unanswered messages are sent again."""

SILENCE_TIMEOUT_US = 2_000_000
"""How long a hand-over may go on without progress before it is given up."""

READING_EVENT = 1211


class SuccessionState(Enum):
    """The progress of a spare from the offer of a hand-over to its takeover."""

    IDLE = "idle"
    READING = "reading"
    PROBING = "probing"
    READY = "ready"
    READING_REST = "reading_rest"
    SYNCING = "syncing"


class SucceedingReplica(Protocol):
    """The replica of the succeeding node, which is a spare at first."""

    replica_id: str
    majority: int
    directory: Any

    @property
    def is_voting(self) -> bool:
        """Whether the replica votes now."""

    def may_learn(self) -> bool:
        """Whether this node is a spare that may read the state of a departing replica."""

    def learn(self) -> None:
        """Start to read a departing replica's state; no other replica is assigned meanwhile."""

    def merge(self, registers: Mapping[str, RegisterCopy]) -> dict[str, Any]:
        """Merge copies of registers from another replica; return the records to write."""

    def take_over(
        self, seal: HandoverSeal, handover: HandoverRecord, done: Callable[[bool], None]
    ) -> None:
        """Become the next instance of the departing replica, in one write."""

    def begin_with_state(self, wait_us: int) -> None:
        """Have the others record the new instance, then vote; on leases `wait_us` later."""

    def retire(self) -> None:
        """Become a spare."""


class Succession:
    """The succeeding side of a hand-over; owns `last_handover`, which is stored on disk."""

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
        """`last_handover`: the stored record of the last hand-over that this node agreed to."""
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
        """Whether a hand-over is in progress; no other replica is assigned meanwhile."""
        return self.state is not SuccessionState.IDLE

    def remaining_keys(self) -> dict[str, int | None]:
        """Return the number of keys still to be read, by the departing replica's address."""
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
        """Return the hand-over that is in progress, or the last one that ended."""
        assert self.last_handover is not None, "no hand-over was agreed to"
        return self.last_handover

    def _is_last_handover(self, handover_id: str) -> bool:
        return self.last_handover is not None and self.last_handover.handover_id == handover_id

    # Reading while the departing replica votes

    def on_handover_offer(self, offer: HandoverOffer) -> None:
        """Agree to a hand-over: sync the offer, then start to read.

        The record allows this node to answer queries about the hand-over after a restart. If the
        last hand-over is offered again, it has ended here, and its outcome is sent instead.
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

        def on_synced(is_synced: bool) -> None:
            if self.last_handover is not handover or self.state is not SuccessionState.READING:
                return
            if not is_synced:
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
        """Whether this page is the one that was requested."""
        return (
            self.state in (SuccessionState.READING, SuccessionState.READING_REST)
            and self._is_last_handover(page.transfer)
            and page.after == self.cursor
            and page.since == self.since
        )

    def on_state_page(self, page: StatePage) -> None:
        """Sync one page, then request the next; give up if the departing replica was restarted."""
        if self.departing_start not in (None, page.start):
            return self._give_up()
        self.departing_start = page.start
        self.progress_us = self.node.now_us()
        if not page.after:
            self.change_count = page.change_count
        self.cursor = None
        self.num_remaining = page.num_remaining
        handover = self.last_handover

        def on_synced(is_synced: bool) -> None:
            if self.last_handover is not handover or self.cursor is not None:
                return
            if not is_synced:
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

    # Probing the replicas that must record the new instance

    def _send_probes(self) -> None:
        """Probe the other replicas.

        A successor that can't reach those that must record it couldn't vote after the seal.
        """
        self.sent_us = self.node.now_us()
        probe = ReachabilityProbe(handover_id=self._handover().handover_id)
        for address, _ in self.replica.directory.replicas().values():
            if address != self.departing_address:
                self.node.send(address, probe)

    def on_reachability_probe(self, probe: ReachabilityProbe) -> None:
        """Answer the probe of a successor, if this replica votes."""
        if self.replica.is_voting:
            reply = ReachabilityReply(
                handover_id=probe.handover_id, replica_id=self.replica.replica_id
            )
            self.node.send(probe.reply_to, reply)

    def on_reachability_reply(self, reply: ReachabilityReply) -> None:
        """Become ready once enough replicas to record the new instance have answered."""
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
        """Read what the departing replica accepted since the first page; it has stopped voting."""
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

        def on_synced(is_synced: bool) -> None:
            if self.state is not SuccessionState.SYNCING:
                return
            if not is_synced:
                handover.is_taken = False
                return self._give_up()
            self._reset()
            self.replica.begin_with_state(seal.wait_us)

        self.replica.take_over(seal, handover, on_synced)

    def on_handover_query(self, query: HandoverQuery) -> None:
        """Send the outcome to a restarted departing replica; give up a hand-over in progress."""
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
        """Send the outcome to the departing replica, since the new instance votes now."""
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
        """Send unanswered messages again; give up if the departing replica doesn't answer."""
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
