"""Router side of the news: one open ask at every seat, and the body of a plan from one of them.

The plan is confirmed as of the sending of the asks that a majority of seats has answered. The body
comes from the nearest seat that answers; the others name it by its digest. Where the nearest is
silent or behind for `body_wait_us` after another seat has told of a newer plan, one that told of it
is asked at once."""

import hashlib
from functools import lru_cache

import msgspec

from linkhaven.api import ServiceError
from linkhaven.runtime import read_json

from .changes import apply_changes, read_changes
from .history import digest_of
from .long_poll import LongPollHold
from .packing import BlobMismatchError, open_blob, open_packed, pack_blob, write_document

LATE_US = 350_000
TOLD = ("mark", "put_id", "revision", "overlay")
DUTY_PARTS = ("roster", "steward", "shares")


@lru_cache(maxsize=1024)
def spread(name, seat):
    """Where a seat stands in one router's order of seats that are equally near."""
    return hashlib.blake2b(f"{name}/{seat}".encode(), digest_size=4).digest()


def apart(value):
    """A value that a seat of an earlier version told whole: as it is told now, and its body."""
    text = write_document(value["plan"])
    told = {name: value[name] for name in TOLD if name in value}
    return {**told, "bodies": {"plan": digest_of(text)}}, pack_blob(text)


class Told:
    """The ask at one seat, and what its answers confirmed."""

    __slots__ = ("id", "sent_us", "hold_us", "asked", "confirmed_us", "incarnation", "quiet_us")

    def __init__(self, now_us):
        self.id = None
        self.sent_us = 0
        self.hold_us = 0
        self.asked = None
        self.confirmed_us = None
        self.incarnation = 0
        self.quiet_us = now_us


class Lacking:
    """A plan that seats have told of and whose body has not come yet."""

    __slots__ = ("mark", "digest", "tellers", "tried", "ask_us")

    def __init__(self, mark, digest, ask_us):
        self.mark = mark
        self.digest = digest
        self.tellers = {}
        self.tried = set()
        self.ask_us = ask_us


class ConfigurationWatcher:
    """What a router knows of the plan in force, and as of when."""

    __slots__ = (
        "node",
        "directory",
        "snapshot",
        "majority",
        "told",
        "serial",
        "facts",
        "on_news",
        "confirmed_us",
        "lacking",
        "held",
        "pace",
        "is_pressed",
        "takes_changes",
    )

    def __init__(self, node, directory, snapshot, majority=None, count_routers=lambda: 1):
        """Hears news and asks for more from here on."""
        self.node = node
        self.directory = directory
        self.snapshot = snapshot
        self.majority = majority or node.bounds.seats // 2 + 1
        self.told = {}
        self.serial = 0
        self.facts = []
        self.on_news = []
        self.confirmed_us = None
        self.lacking = None
        self.held = None
        self.pace = LongPollHold(node.bounds, count_routers)
        self.is_pressed = lambda: False
        self.takes_changes = True
        node.map_handlers["news"] = self.on_watch_response
        node.systems.append(self.tick)

    def is_fresh(self):
        """Whether the plan held here may be served by now."""
        if self.snapshot.configuration is None:
            return False
        stale_us = self.node.bounds.plan_stale_us
        if stale_us is None:
            return True
        if self.snapshot.is_behind or self.confirmed_us is None:
            return False
        return self.node.now_us() - self.confirmed_us <= stale_us

    def packed_configuration(self):
        """The value and the packed body that the image was taken from; None before there was one."""
        if self.held is None:
            return None
        value, body = self.held
        if body is None:
            body = pack_blob(write_document(self.snapshot.value["plan"]))
            self.held = (value, body)
        return value, body

    # Asking

    def _ask(self, seat, place, now_us, wants_plan=None):
        told = self.told.get(seat)
        if told is None:
            told = self.told[seat] = Told(now_us)
        self.serial += 1
        told.id = f"{self.serial}"
        told.sent_us = now_us
        told.asked = place
        told.hold_us = self.pace.hold_us(seat, self.is_pressed(), now_us)
        if wants_plan is None:
            wants_plan = self._is_source(seat, now_us)
        if wants_plan and self.lacking is not None:
            self.lacking.tried.add(seat)
        facts = {
            "id": told.id,
            "mark": self.snapshot.version,
            "heard": self.lacking.mark if self.lacking is not None else self.snapshot.version,
            "wants_plan": wants_plan,
            "known": {
                seat: incarnation for seat, (_, incarnation) in self.directory.replicas().items()
            },
        }
        if wants_plan and self.held is not None and self.takes_changes:
            facts["holds"] = self.held[0]["bodies"]["plan"]
        if told.hold_us != self.node.bounds.news_hold_us:
            facts["hold_us"] = told.hold_us
        for add in self.facts:
            add(facts, seat)
        self.node.send_untyped(place[0], "ask", **facts)

    def _is_source(self, seat, now_us):
        """Whether this seat's answers are to bring the body: the nearest that isn't silent."""
        seats = self._by_nearness()
        answering = [other for other in seats if not self._is_silent(other, now_us)]
        return seat == (answering or seats)[0]

    def _is_silent(self, seat, now_us):
        told = self.told.get(seat)
        if told is None:
            return False
        longest_us = max(self.node.bounds.news_hold_us, told.hold_us) + LATE_US
        return now_us - told.quiet_us > longest_us

    def _by_nearness(self):
        """Seats in this router's zone come first; beyond that routers spread over the seats."""
        zone, name = self.directory.me.zone, self.node.name
        holders = self.directory.replica_members()
        return sorted(holders, key=lambda seat: (holders[seat].zone != zone, spread(name, seat)))

    def tick(self, now_us):
        """Asks again where an answer is overdue, and elsewhere for a body that doesn't come."""
        is_pressed = self.is_pressed()
        for seat, place in self.directory.replicas().items():
            told = self.told.get(seat)
            if told is None or self._is_due(seat, told, place, is_pressed, now_us):
                self._ask(seat, place, now_us)
        self._chase(now_us)

    def _is_due(self, seat, told, place, is_pressed, now_us):
        """No answer is awaited from the seat, or none can come any more, or it would come late."""
        if told.id is None or now_us - told.sent_us > told.hold_us + LATE_US:
            return True
        least_us = self.node.bounds.news_hold_us
        if told.hold_us == least_us or now_us - told.sent_us < least_us:
            return False
        if told.asked != place:
            return True
        return is_pressed and self.pace.hold_us(seat, True, now_us) < told.hold_us

    def _chase(self, now_us):
        lacking, seats = self.lacking, self.directory.replicas()
        if lacking is None or now_us < lacking.ask_us:
            return
        lacking.ask_us = now_us + self.node.bounds.body_wait_us
        tellers = [seat for seat in self._by_nearness() if seat in lacking.tellers]
        if not tellers:
            return
        untried = [seat for seat in tellers if seat not in lacking.tried]
        if not untried:
            lacking.tried.clear()
        seat = (untried or tellers)[0]
        self._ask(seat, seats[seat], now_us, wants_plan=True)

    # Hearing

    def on_watch_response(self, message):
        """The answer to the ask that is open at this seat; any other is late and says nothing."""
        told = self.told.get(message["seat"])
        if told is None or told.id != message["id"]:
            return
        now_us = self.node.now_us()
        told.quiet_us = now_us
        self.directory.learn_incarnations(message["known"])
        known = self.directory.replicas().get(message["seat"])
        is_newest = known is not None and known[1] <= message["incarnation"]
        if is_newest and message["is_current"]:
            self._on_current_configuration(message, told)
        for hear in self.on_news:
            hear(message, told.sent_us)
        told.id = None
        self.pace.note_news(message["seat"], message, DUTY_PARTS, now_us)
        if known is not None:
            self._ask(message["seat"], known, now_us)

    def _on_current_configuration(self, message, told):
        mark = message["mark"]
        self.snapshot.observe_version(mark)
        if "changes" in message:
            self._take_changes(message["plan"], message["base"], message["changes"])
        elif "body" in message:
            self._take_body(message["plan"], message["body"])
        elif "plan" in message:
            self._take_body(*apart(message["plan"]))
        if mark > self.snapshot.version:
            return self._note_lacking(message, told)
        if mark == self.snapshot.version and self._is_other_body(message):
            return
        self._confirm_at(told, told.sent_us, message["incarnation"])

    def _take_body(self, value, body):
        digest = value["bodies"]["plan"]
        try:
            plan = read_json(open_blob(digest, body))
        except BlobMismatchError as fault:
            return self.node.ports.log(1304, digest=digest, why=str(fault))
        self._take_plan(value, plan, body)

    def _take_changes(self, value, base, packed):
        """Take the changes to the plan held here; whatever doesn't lead to the plan of its digest
        is dropped, and the whole is asked for. Test: `test_changes_that_lead_elsewhere_...`.
        """
        digest = value["bodies"]["plan"]
        try:
            if self.held is None or self.held[0]["bodies"]["plan"] != base:
                raise BlobMismatchError(f"the plan held here isn't {base}")
            changes = read_changes(open_packed(packed))
            plan = apply_changes(self.snapshot.value["plan"], changes)
            if digest_of(write_document(plan)) != digest:
                raise BlobMismatchError(f"the changes don't lead to the plan named {digest}")
        except (BlobMismatchError, msgspec.ValidationError, ServiceError) as fault:
            self.takes_changes = False
            return self.node.ports.log(1304, digest=digest, why=str(fault))
        self._take_plan(value, plan, None)

    def _take_plan(self, value, plan, body):
        if not self.snapshot.take({**value, "plan": plan}):
            return
        self.held = (value, body)
        self.takes_changes = True
        digest = value["bodies"]["plan"]
        lacking = self.lacking
        if lacking is None or lacking.mark > self.snapshot.version:
            return
        self.lacking = None
        if lacking.mark == self.snapshot.version:
            self._confirm_tellers(lacking, digest)

    def _confirm_tellers(self, lacking, digest):
        for seat, (named, sent_us, incarnation) in lacking.tellers.items():
            if named == digest:
                self._confirm_at(self.told[seat], sent_us, incarnation)

    def _note_lacking(self, message, told):
        now_us = self.node.now_us()
        lacking, mark = self.lacking, message["mark"]
        if lacking is not None and mark < lacking.mark:
            return
        if lacking is None or mark > lacking.mark:
            ask_us = now_us + self.node.bounds.body_wait_us
            lacking = self.lacking = Lacking(mark, message.get("digest"), ask_us)
        lacking.tellers[message["seat"]] = (
            message.get("digest"),
            told.sent_us,
            message["incarnation"],
        )

    def _is_other_body(self, message):
        """Two seats that name two bodies for one mark: never while the register keeps its promise."""
        if "digest" not in message or self.held is None:
            return False
        held = self.held[0]["bodies"]["plan"]
        if message["digest"] == held:
            return False
        self.node.ports.log(
            1305, mark=message["mark"], seat=message["seat"], named=message["digest"]
        )
        return True

    def _confirm_at(self, told, sent_us, incarnation):
        told.confirmed_us = max(told.confirmed_us or sent_us, sent_us)
        told.incarnation = incarnation
        self._confirm()

    def _confirm(self):
        seats = self.directory.replicas()
        sent = sorted(
            (
                told.confirmed_us
                for seat, told in self.told.items()
                if told.confirmed_us is not None
                and seat in seats
                and told.incarnation >= seats[seat][1]
            ),
            reverse=True,
        )
        if len(sent) >= self.majority:
            self.confirmed_us = sent[self.majority - 1]
