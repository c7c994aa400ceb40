"""How a spare takes over the seat of a member that leaves: it learns first, and votes only with
the whole state.

| state | event | next |
| --- | --- | --- |
| IDLE | offer, and it is a spare | LEARNING: read the voting member page by page |
| LEARNING | last page | PROBING: ask the others whether they hear it |
| PROBING | f others that vote have answered | READY: ask for the seal |
| READY | seal | TAKING: read what changed since the first page |
| TAKING | last page | KEEPING: sync seat, incarnation and state in one write |
| KEEPING | synced | IDLE: an occupant with a disk; once the others recorded it, it votes |
| KEEPING | the disk refuses | IDLE: a spare again |
| LEARNING, PROBING, READY, TAKING | silence for PATIENCE_US | IDLE: a spare again, and says so |

Invariant: it answers "not taken" only to a hand-over that it accepted and synced, and never takes
that one later
(`test_a_successor_that_gave_up_never_takes_the_seat_later`)."""

from enum import Enum

from .recovery import LEARNING, SPARE

RESEND_US = 100_000
PATIENCE_US = 2_000_000


class SuccessionState(Enum):
    """Where a spare stands between the offer of a seat and its first vote."""

    IDLE = "idle"
    LEARNING = "learning"
    PROBING = "probing"
    READY = "ready"
    TAKING = "taking"
    KEEPING = "keeping"


class Succession:
    """The taking side of a hand-over."""

    __slots__ = (
        "node",
        "replica",
        "state",
        "offer",
        "leaver",
        "cursor",
        "since",
        "version",
        "left",
        "start",
        "terms",
        "moved_us",
        "sent_us",
        "reached",
    )

    def __init__(self, node, replica, offer):
        """`offer`: the last hand-over that this disk agreed to, and how it ended."""
        self.node = node
        self.replica = replica
        self.offer = offer
        self.terms = None
        self._reset()
        node.map_handlers.update(
            handover_offer=self.on_offer,
            handover_sealed=self.on_sealed,
            handover_ask=self.on_ask,
            handover_probe=self.on_probe,
            handover_reached=self.on_reached,
        )

    def is_learning(self):
        """Whether a hand-over is under way; it takes no other seat meanwhile."""
        return self.state != SuccessionState.IDLE

    def _reset(self):
        self.state = SuccessionState.IDLE
        self.leaver = None
        self.cursor = ""
        self.since = self.version = 0
        self.left = None
        self.start = None
        self.reached = set()
        self.moved_us = self.sent_us = 0

    def on_offer(self, message):
        """Begin to learn; the offer is synced first, so that it can be answered for after a
        restart."""
        replica = self.replica
        if replica.state != SPARE or self.state != SuccessionState.IDLE:
            return
        if self.offer is not None and self.offer["id"] == message["id"]:
            return self._send_fate(message["back"])
        self._reset()
        self.state = SuccessionState.LEARNING
        replica.state = LEARNING
        self.leaver = message["back"]
        self.offer = {"id": message["id"], "is_taken": False}
        self.moved_us = self.node.now_us()
        self.node.ports.log(1211, seat=message["seat"], leaver=message["name"])
        offer = self.offer

        def go_on(is_kept):
            if self.offer is not offer or self.state != SuccessionState.LEARNING:
                return
            if not is_kept:
                return self._give_up()
            self._send_browse()

        self.node.ports.storage.write({"offer": offer}, go_on)

    def _send_browse(self):
        self.sent_us = self.node.now_us()
        self.node.send_untyped(
            self.leaver,
            "rejoin_browse",
            seat="",
            asked=self.offer["id"],
            after=self.cursor,
            since=self.since,
        )

    def expects(self, message):
        """Whether this page is the one that is waited for."""
        return (
            self.state in (SuccessionState.LEARNING, SuccessionState.TAKING)
            and message["asked"] == self.offer["id"]
            and message["after"] == self.cursor
            and message["since"] == self.since
        )

    def on_page(self, message):
        """Keep one page, and ask for the next."""
        if self.start not in (None, message["start"]):
            return self._give_up()
        self.start = message["start"]
        self.moved_us = self.node.now_us()
        if not message["after"]:
            self.version = message["version"]
        self.cursor = None
        self.left = message["left"]
        offer = self.offer

        def go_on(is_kept):
            if self.offer is not offer or self.cursor is not None:
                return
            if not is_kept:
                return self._give_up()
            if message["last"] is None:
                return self._end_of_pages()
            self.cursor = message["last"]
            self._send_browse()

        self.node.ports.storage.write(self.replica.merge(message["cells"]), go_on)

    def _end_of_pages(self):
        if self.state == SuccessionState.TAKING:
            return self._take()
        self.state = SuccessionState.PROBING
        self._send_probes()

    def _send_probes(self):
        """Who can't reach those that must record it would leave the seat without a vote."""
        self.sent_us = self.node.now_us()
        for address, _ in self.replica.directory.replicas().values():
            if address != self.leaver:
                self.node.send_untyped(address, "handover_probe", id=self.offer["id"])

    def on_probe(self, message):
        """A voting member answers a successor to be."""
        if self.replica.is_voting:
            self.node.send_untyped(
                message["back"], "handover_reached", id=message["id"], seat=self.replica.replica_id
            )

    def on_reached(self, message):
        """Enough others to record it hear it, and are heard."""
        if self.state != SuccessionState.PROBING or message["id"] != self.offer["id"]:
            return
        self.reached.add(message["seat"])
        if len(self.reached) < self.replica.majority - 1:
            return
        self.state = SuccessionState.READY
        self.moved_us = self.node.now_us()
        self._send_ready()

    def _send_ready(self):
        self.sent_us = self.node.now_us()
        self.node.send_untyped(self.leaver, "handover_ready", id=self.offer["id"])

    def on_sealed(self, message):
        """The leaving member votes no more: read what it voted for since."""
        if self.offer is None or message["id"] != self.offer["id"]:
            return
        if self.state == SuccessionState.IDLE:
            return self._send_fate(message["back"])
        if self.state != SuccessionState.READY:
            return
        self.state = SuccessionState.TAKING
        self.terms = message
        self.since, self.cursor = self.version + 1, ""
        self.moved_us = self.node.now_us()
        self._send_browse()

    def _take(self):
        self.state = SuccessionState.KEEPING
        self.offer["is_taken"] = True

        def go_on(is_kept):
            if self.state != SuccessionState.KEEPING:
                return
            if not is_kept:
                self.offer["is_taken"] = False
                return self._give_up()
            terms = self.terms
            self._reset()
            self.replica.begin_moved(terms["wait_us"])

        self.replica.take_over(self.terms, self.offer, go_on)

    def on_ask(self, message):
        """The leaving member was started again, and asks how it ended."""
        if self.offer is None or message["id"] != self.offer["id"]:
            return
        if self.state == SuccessionState.KEEPING:
            return
        if self.state != SuccessionState.IDLE:
            return self._give_up()
        self._send_fate(message["back"])

    def _send_fate(self, address):
        self.node.send_untyped(
            address, "handover_fate", id=self.offer["id"], is_taken=self.offer["is_taken"]
        )

    def tell_taken(self):
        """It votes: the leaving member may go."""
        if self.offer is not None and self.offer["is_taken"] and self.terms is not None:
            self._send_fate(self.terms["back"])

    def _give_up(self):
        leaver = self.leaver
        self._reset()
        self.replica.retire()
        if leaver is not None:
            self._send_fate(leaver)

    def tick(self, now_us):
        """Send again what was not answered; give up a leaving member that fell silent."""
        if self.state in (SuccessionState.IDLE, SuccessionState.KEEPING):
            return
        if now_us - self.moved_us >= PATIENCE_US:
            return self._give_up()
        if now_us - self.sent_us < RESEND_US:
            return
        if self.state == SuccessionState.PROBING:
            return self._send_probes()
        if self.state == SuccessionState.READY:
            return self._send_ready()
        if self.cursor is not None:
            self._send_browse()
