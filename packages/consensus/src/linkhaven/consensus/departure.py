"""How a voting member leaves: it hands its acceptor state to a spare, or makes sure that the
others hold all.

| state | event | next |
| --- | --- | --- |
| STAYING | begin | CHOOSING |
| CHOOSING | a spare is known | OFFERING: offer the seat, go on voting |
| CHOOSING | no spare is known | HOLDING: compare with the other members, go on voting |
| OFFERING | the successor has read all pages | SEALING: it votes no more, and syncs the seal |
| OFFERING | no page asked for in PATIENCE_US | CHOOSING, without this spare |
| SEALING | the seal is synced | SEALED: tell the successor, answer its last pages |
| SEALING | the disk refuses the seal | CHOOSING: nothing was told yet, so it votes again |
| SEALED | the successor votes | GONE, as an empty spare |
| SEALED | the successor gave up | CHOOSING once it votes again, after an ordinary rejoin |
| HOLDING | a majority without it holds all | PAUSED: it votes no more, compares the rest |
| PAUSED | a majority without it holds all | GONE |
| PAUSED | a member falls silent | HOLDING: it votes again |
| any | `bounds.drain_us` have passed | GONE |

Invariant: what a successor votes with holds everything that the leaving member ever voted for,
since the pages after
the seal are read when it votes no more
(`test_what_only_the_leaver_and_one_other_hold_is_with_the_successor`).
Invariant: a sealed member counts as one that lost its disk, also after a restart, unless its
successor says that it
never took the seat (`test_a_sealed_member_that_starts_again_counts_as_one_without_a_disk`)."""

from enum import Enum

from .recovery import REJOINING, VOTING, WAITING

RESEND_US = 100_000
PATIENCE_US = 1_500_000
TRY_AGAIN_US = 2_000_000


class DepartureState(Enum):
    """Where a member stands on its way out."""

    STAYING = "staying"
    CHOOSING = "choosing"
    OFFERING = "offering"
    SEALING = "sealing"
    SEALED = "sealed"
    HOLDING = "holding"
    PAUSED = "paused"
    GONE = "gone"


class Departure:
    """The leaving side of a hand-over, and of a departure without a successor."""

    __slots__ = (
        "node",
        "replica",
        "holders",
        "state",
        "handover",
        "successor",
        "tried",
        "began_us",
        "moved_us",
        "sent_us",
        "on_gone",
        "asked_us",
    )

    def __init__(self, node, replica, holders):
        """`holders` compares this member with the others when no spare is there."""
        self.node = node
        self.replica = replica
        self.holders = holders
        self.state = DepartureState.STAYING
        self.handover = None
        self.successor = None
        self.tried = {}
        self.began_us = self.moved_us = self.sent_us = self.asked_us = 0
        self.on_gone = None
        node.map_handlers.update(handover_ready=self.on_ready, handover_fate=self.on_fate)

    def begin(self, on_gone):
        """Leave; `on_gone` is called once, when the process may end."""
        self.on_gone = on_gone
        self.began_us = self.node.now_us()
        self.state = DepartureState.CHOOSING
        self.node.ports.clock.call_in(self.node.bounds.drain_us, self._go_at_bound)
        self._choose(self.began_us)

    def _go_at_bound(self):
        """By a timer of its own: a tick after the bound would be late by up to a tick."""
        if self.state in (DepartureState.STAYING, DepartureState.GONE):
            return
        if self.node.now_us() - self.began_us >= self.node.bounds.drain_us:
            self._go()

    def tick(self, now_us):
        """Send again what was not answered."""
        if self.state in (DepartureState.STAYING, DepartureState.GONE):
            return
        if self.state == DepartureState.CHOOSING:
            return self._choose(now_us)
        if self.state == DepartureState.OFFERING and now_us - self.moved_us >= PATIENCE_US:
            return self._give_up_successor()
        if self.state in (DepartureState.HOLDING, DepartureState.PAUSED):
            return self._watch_holders(now_us)
        if now_us - self.sent_us >= RESEND_US:
            self._send_again(now_us)

    def _choose(self, now_us):
        """A rejoin in progress is waited for; who holds no votes has nothing to hand over."""
        replica = self.replica
        if replica.sealed is None and replica.state not in (VOTING, REJOINING, WAITING):
            return self._go()
        if not replica.is_voting:
            return self._leave_if_alone()
        spares = self._spares()
        if spares:
            return self._offer(spares[0], now_us)
        self._hold(now_us)

    def _spares(self):
        if not self.replica.is_learned:
            return []
        spares = [
            member
            for member in self.replica.directory.live_members("registry")
            if not member.replica_id and not self._was_tried(member.name)
        ]
        return sorted(spares, key=lambda member: member.name)

    def _was_tried(self, name):
        """A spare that gave up, or fell silent, may be well again later."""
        return name in self.tried and self.node.now_us() - self.tried[name] < TRY_AGAIN_US

    def _leave_if_alone(self):
        if self._is_alone():
            self._go()

    def _is_alone(self):
        """So many others left in order that no majority remains without this member: there's
        nobody to wait for."""
        holders = self.replica.directory.replica_members()
        left = [
            replica_id
            for replica_id, member in holders.items()
            if replica_id != self.replica.replica_id and member.has_left
        ]
        known = [replica_id for replica_id in holders if replica_id != self.replica.replica_id]
        return len(known) - len(left) < self.replica.majority

    def _offer(self, spare, now_us):
        self.state = DepartureState.OFFERING
        self.successor = (spare.name, spare.address)
        self.handover = f"{self.replica.rejoin.start}/{self.replica.incarnation}/{now_us}"
        self.moved_us = now_us
        self.node.ports.log(1210, seat=self.replica.replica_id, successor=spare.name)
        self._send_again(now_us)

    def _send_again(self, now_us):
        self.sent_us = now_us
        if self.state == DepartureState.OFFERING:
            self._tell_successor("handover_offer")
        elif self.state == DepartureState.SEALED:
            self._send_sealed()

    def _tell_successor(self, say, **facts):
        replica = self.replica
        self.node.send_untyped(
            self.successor[1],
            say,
            id=self.handover,
            seat=replica.replica_id,
            incarnation=replica.incarnation,
            **facts,
        )

    def _give_up_successor(self):
        self.tried[self.successor[0]] = self.node.now_us()
        self.state = DepartureState.CHOOSING

    def note_browse(self, asked):
        """The successor goes on reading."""
        if asked == self.handover:
            self.moved_us = self.node.now_us()

    def on_ready(self, message):
        """The successor has read every page: seal, so that the rest is final."""
        if self.state != DepartureState.OFFERING or message["id"] != self.handover:
            return
        if not self.replica.is_voting:
            self.state = DepartureState.CHOOSING
            return
        self.state = DepartureState.SEALING
        self.replica.seal(
            {"id": self.handover, "name": self.successor[0], "address": self.successor[1]},
            self._on_seal,
        )

    def _on_seal(self, is_kept):
        if self.state != DepartureState.SEALING:
            return
        if not is_kept:
            return self._give_up_successor()
        self.state = DepartureState.SEALED
        self._send_again(self.node.now_us())

    def _send_sealed(self):
        replica = self.replica
        self._tell_successor(
            "handover_sealed",
            known=replica.known_incarnations,
            clock_us=replica.clock_us,
            are_claims_open=replica.are_claims_open,
            occupants=replica.occupants.records,
            wait_us=max(0, replica.votes_from_us - self.node.now_us()),
        )

    def ask_fate(self, now_us):
        """A sealed member that was started again asks whether its successor took the seat."""
        if now_us - self.asked_us < RESEND_US:
            return
        self.asked_us = now_us
        sealed = self.replica.sealed
        self.node.send_untyped(sealed["address"], "handover_ask", id=sealed["id"])

    def on_fate(self, message):
        """The successor took the seat, or says that it never will."""
        sealed = self.replica.sealed
        if sealed is None or message["id"] != sealed["id"]:
            return
        if message["is_taken"]:
            self.replica.retire()
            return self._go()
        self.tried[sealed["name"]] = self.node.now_us()
        if self.replica.rejoin.notes is None:
            self.replica.unseal()
        if self.state == DepartureState.SEALED:
            self.state = DepartureState.CHOOSING

    def _hold(self, now_us):
        self.state = DepartureState.HOLDING
        self.moved_us = now_us
        self.holders.begin_round(is_final=False)

    def _watch_holders(self, now_us):
        if self._is_alone():
            return self._go()
        if self.state == DepartureState.HOLDING and (not self.replica.is_voting or self._spares()):
            self.state = DepartureState.CHOOSING
            return
        if self.holders.is_held_without_us():
            return self._end_round(now_us)
        if self.state == DepartureState.PAUSED and now_us - self.moved_us >= PATIENCE_US:
            self.replica.resume()
            return self._hold(now_us)
        self.holders.tick(now_us)

    def _end_round(self, now_us):
        if self.state == DepartureState.PAUSED:
            return self._go()
        self.state = DepartureState.PAUSED
        self.moved_us = now_us
        self.replica.pause()
        self.holders.begin_round(is_final=True)

    def _go(self):
        self.state = DepartureState.GONE
        on_gone, self.on_gone = self.on_gone, None
        if on_gone is not None:
            on_gone()
