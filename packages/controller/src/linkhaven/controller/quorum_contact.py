"""A core member's contact with a majority: without it, it calls nothing that it holds current.

| message | to | says |
| --- | --- | --- |
| `ContactAsk` | enough other seats, three times in `contact_us` | when it asked, by its own clock |
| `ContactAnswer` | who asked | this seat votes, its incarnation, the newest mark known chosen |

Invariant: `is_held` only while a majority of voting seats, this one among them, has answered asks
that were sent within `contact_us` (`tests/test_control_cuts.py`). Time is the asker's own,
counted from the sending, so neither a slow answer nor another's clock makes old contact look
new."""

from .messages import QuorumContactRequest, QuorumContactResponse

ASKS_IN_A_BOUND = 3


class QuorumContact:
    """Asks the other seats at a steady pace and remembers as of when a majority answered."""

    __slots__ = ("node", "seat", "directory", "snapshot", "answered_us", "asked_us")

    def __init__(self, node, seat, directory, snapshot):
        """Hear and answer from the start; ask only while this seat votes."""
        self.node = node
        self.seat = seat
        self.directory = directory
        self.snapshot = snapshot
        self.answered_us = {}
        self.asked_us = None
        node.on_message(QuorumContactRequest, self.on_ask)
        node.on_message(QuorumContactResponse, self.on_answer)
        node.systems.append(self.tick)

    def is_held(self):
        """Whether a majority answered what was asked within the bound."""
        since_us = self.node.now_us() - self.node.bounds.contact_us
        heard = sum(sent_us >= since_us for sent_us in self.answered_us.values())
        return heard + 1 >= self.seat.majority

    def on_ask(self, message):
        """Only a seat that votes is contact: what others hold may be old."""
        if not self.seat.is_voting:
            return
        answer = QuorumContactResponse(
            seat=self.seat.seat,
            incarnation=self.seat.incarnation,
            sent_us=message.sent_us,
            mark=self.snapshot.version,
        )
        self.node.send(message.reply_to, answer)

    def on_answer(self, message):
        """An older occupant of a seat is no contact."""
        seat = message.seat
        known = self.directory.seats().get(seat)
        if known is None or known[1] > message.incarnation or seat == self.seat.seat:
            return
        self.snapshot.observe_version(message.mark)
        held_us = self.answered_us.get(seat, message.sent_us)
        self.answered_us[seat] = max(held_us, message.sent_us)

    def tick(self, now_us):
        """Ask while this seat votes; a seat that stopped voting has no contact."""
        if not self.seat.is_voting:
            self.answered_us = {}
            self.asked_us = None
            return
        pace_us = self.node.bounds.contact_us // ASKS_IN_A_BOUND
        if self.asked_us is not None and now_us - self.asked_us < pace_us:
            return
        self._ask(now_us)
        self.asked_us = now_us

    def _ask(self, now_us):
        """As many as a majority needs, of those that answered last; all, where too few did."""
        addresses = {seat: address for seat, (address, _) in self.directory.seats().items()}
        others = self._after_own(addresses)
        last_us = self.asked_us or now_us
        answering = [seat for seat in others if self.answered_us.get(seat) == last_us]
        needed = self.seat.majority - 1
        for seat in answering[:needed] if len(answering) >= needed else others:
            self.node.send(addresses[seat], QuorumContactRequest(now_us))

    def _after_own(self, seats):
        """The other seats in the order of the ring of seats, so that each is asked by as many."""
        names = sorted(seats)
        own = names.index(self.seat.seat) if self.seat.seat in names else 0
        return [seat for seat in names[own:] + names[:own] if seat != self.seat.seat]
