"""Core side of the news: what a seat tells the routers that ask it.

The body of a plan goes with the news only to a router that asks this seat for it, as the changes
to the plan that the router holds where these are shorter; every other answer carries the mark and
the digest, which say that the plan is in force."""

from cachetools import LRUCache

from linkhaven.runtime import read_json

from .changes import diff_of
from .overlay import overlay_of
from .packing import open_blob, pack_blob

READ_US = 100_000
URGENT_US = 100_000

KEPT_CHANGES = 16
"""The changes between so many pairs of plans are kept packed, since many routers ask for them."""

KEY = "plan"


class Poll:
    """One open ask of a router: what it holds, what it heard of, whether it wants the body here.

    `holds`: the digest of the plan that changes may build on, None where it wants the whole.

    A router of an earlier version says neither of the last two, and is sent every plan whole."""

    __slots__ = (
        "back",
        "id",
        "mark",
        "heard",
        "wants_plan",
        "holds",
        "is_of_earlier",
        "facts",
        "until_us",
        "urgent_us",
    )

    def __init__(self, message, until_us, urgent_us):
        self.back = message["back"]
        self.id = message["id"]
        self.mark = message["mark"]
        self.heard = message.get("heard", message["mark"])
        self.is_of_earlier = "wants_plan" not in message
        self.wants_plan = message.get("wants_plan", True)
        self.holds = message.get("holds")
        self.facts = message
        self.until_us = until_us
        self.urgent_us = urgent_us


class WatchServer:
    """Holds each router's ask until there is something to tell or a hold runs out."""

    __slots__ = (
        "node",
        "replica",
        "proposer",
        "snapshot",
        "blobs",
        "polls",
        "extras",
        "is_urgent",
        "on_ask",
        "is_reading",
        "read_us",
        "polled_us",
        "has_contact",
        "changes",
    )

    def __init__(self, node, replica, proposer, snapshot, blobs):
        self.node = node
        self.replica = replica
        self.proposer = proposer
        self.snapshot = snapshot
        self.blobs = blobs
        self.polls = {}
        self.extras = []
        self.is_urgent = lambda facts: False
        self.on_ask = []
        self.is_reading = False
        self.read_us = 0
        self.polled_us = node.now_us()
        self.has_contact = lambda: True
        self.changes = LRUCache(KEPT_CHANGES)
        node.map_handlers["ask"] = self.on_watch_request
        node.systems.append(self.tick)

    def on_watch_request(self, message):
        now_us = self.polled_us = self.node.now_us()
        self.replica.directory.learn_incarnations(message["known"])
        for hear in self.on_ask:
            hear(message)
        hold_us = message.get("hold_us", self.node.bounds.news_hold_us)
        ask = Poll(message, now_us + hold_us, now_us + min(URGENT_US, hold_us))
        if message["mark"] > self.held_version():
            self.snapshot.observe_version(message["mark"])
        self.polls[ask.back] = ask
        if self._has_news(ask):
            self._answer(ask)

    def _value(self):
        return self.replica.register_state(KEY).value

    def held_version(self):
        value = self._value()
        return value["mark"] if value else 0

    def is_current(self):
        """Whether what this seat holds may be handed out: it is the newest known, and a majority was heard lately."""
        return self._is_newest_known() and self.has_contact()

    def _is_newest_known(self):
        return (
            self.replica.is_voting
            and self.replica.is_known_chosen(KEY)
            and self.snapshot.highest_version <= self.held_version()
            and self.blobs.has(self._value())
        )

    def _has_news(self, ask):
        if not self.is_current():
            return False
        known = ask.mark if ask.wants_plan else max(ask.mark, ask.heard)
        return self.held_version() > known

    def answer_waiting(self):
        for ask in list(self.polls.values()):
            if self._has_news(ask):
                self._answer(ask)

    def shorten_holds(self):
        """Ends long holds soon, each at its own moment: answered together, routers would go on
        asking together, and place by the same news at the same time."""
        now_us, usual_us = self.node.now_us(), self.node.bounds.news_hold_us
        for ask in self.polls.values():
            if "hold_us" in ask.facts:
                soon_us = now_us + self.node.ports.random.randrange(usual_us)
                ask.until_us = min(ask.until_us, soon_us)

    def answer_all(self):
        for ask in list(self.polls.values()):
            self._answer(ask)

    def _answer(self, ask):
        if self.polls.get(ask.back) is ask:
            del self.polls[ask.back]
        is_current = self.is_current()
        value = self._value()
        facts = {
            "id": ask.id,
            "seat": self.replica.replica_id,
            "incarnation": self.replica.incarnation,
            "is_current": is_current,
            "mark": self.held_version(),
            "known": self.replica.all_incarnations(),
        }
        if is_current and value and value["mark"] > ask.mark:
            self._add_plan(ask, value, facts)
        for extra in self.extras:
            extra(ask.facts, facts)
        self.node.send_untyped(ask.back, "news", **facts)

    def _add_plan(self, ask, value, facts):
        if ask.is_of_earlier:
            facts["plan"] = self.blobs.with_document(value)
            return
        facts["digest"], packed = self.blobs.packed_document(value)
        if not ask.wants_plan:
            return
        changes = self._changes(ask.holds, facts["digest"])
        if changes is None:
            facts["body"] = packed
        else:
            facts["base"], facts["changes"] = ask.holds, changes
        facts["plan"] = {
            "mark": value["mark"],
            "put_id": value["put_id"],
            "revision": value.get("revision") or 0,
            "overlay": overlay_of(value),
            "bodies": {"plan": facts["digest"]},
        }

    def _changes(self, held, newest):
        """Return the packed changes from one plan to another, None where the whole is no longer."""
        if held is None or held not in self.blobs.packed:
            return None
        key = (held, newest)
        if key not in self.changes:
            packed, whole = self.blobs.packed[held], self.blobs.packed[newest]
            old, new = read_json(open_blob(held, packed)), read_json(open_blob(newest, whole))
            changes = pack_blob(diff_of(old, new).write())
            self.changes[key] = changes if len(changes) < len(whole) else None
        return self.changes[key]

    def tick(self, now_us):
        if not self._is_newest_known() and self.replica.is_voting:
            self._read(now_us)
        for ask in list(self.polls.values()):
            if now_us >= ask.until_us or self._is_urgent(ask, now_us):
                self._answer(ask)

    def _is_urgent(self, ask, now_us):
        """Whether a router that asked for a long hold has to hear something before its end."""
        return "hold_us" in ask.facts and now_us >= ask.urgent_us and self.is_urgent(ask.facts)

    def _read(self, now_us):
        if self.is_reading or now_us - self.read_us < READ_US:
            return
        self.is_reading = True
        self.read_us = now_us

        def done(outcome, value):
            self.is_reading = False
            if outcome != "chosen":
                return
            if self.snapshot.is_newer(value) and self.blobs.has_document(value):
                self.snapshot.take(self.blobs.with_document(value))
            self.answer_waiting()

        self.proposer.read(KEY, done)
