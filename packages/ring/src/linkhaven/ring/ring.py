import hashlib
from bisect import bisect_left
from functools import lru_cache

from msgspec.structs import astuple

from linkhaven.clockwork import PROTOCOL_VERSION, Table

from .messages import (
    Beat,
    Bye,
    Hello,
    MemberRecord,
    Members,
    MembersDigest,
    Verdict,
    hello_of,
)

WATCHERS = 3
GOSSIP_US = 1_000_000
WHOLE_EVERY = 10
SEEK_US = 100_000
SEEK_FOR_US = 5_000_000
FORGET_US = 60_000_000


@lru_cache(maxsize=4096)
def place_of(name):
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Fellow:
    __slots__ = (
        "name",
        "address",
        "kind",
        "zone",
        "seat",
        "seat_incarnation",
        "incarnation",
        "mark",
        "heard_us",
        "spoke_us",
        "probed_us",
        "verdicts",
        "is_up",
        "down_us",
        "has_left",
        "version",
    )

    def __init__(self, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.address = self.kind = self.zone = self.seat = ""
        self.seat_incarnation = 0
        self.mark = 0
        self.heard_us = None
        self.spoke_us = None
        self.probed_us = None
        self.verdicts = {}
        self.is_up = True
        self.down_us = 0
        self.has_left = False
        self.version = None

    def as_member(self):
        """What others are told of this member."""
        return MemberRecord(*self.as_record())

    def as_record(self):
        return [
            self.name,
            self.incarnation,
            self.address,
            self.kind,
            self.zone,
            self.seat,
            self.seat_incarnation,
            self.mark,
            self.is_up,
        ]


class Ring:
    """Who exists: hello to the seeds, beats to the watchers that the ring names, verdicts by most of them."""

    __slots__ = (
        "node",
        "me",
        "seeds",
        "fellows",
        "beat_us",
        "gossip_us",
        "on_standing",
        "on_mark",
        "mark_of",
        "seat_marks",
        "order",
        "watcher_names",
        "watched",
        "live_by_kind",
        "seat_table",
        "seat_key",
        "digest",
        "gossips",
        "raises_own",
        "sought_us",
        "seek_until_us",
    )

    def __init__(self, node, kind, zone, seeds, incarnation, seat="", mark_of=lambda: 0):
        self.node = node
        self.seeds = list(seeds)
        self.fellows = Table()
        self.me = Fellow(node.name, incarnation)
        self.me.address, self.me.kind, self.me.zone, self.me.seat = node.address, kind, zone, seat
        self.mark_of = mark_of
        self.on_standing = []
        self.on_mark = []
        self.seat_marks = {}
        self.seat_table = self.seat_key = self.digest = None
        self.gossips = 0
        self._forget_order()
        self.raises_own = True
        self.beat_us = self.gossip_us = self.sought_us = 0
        self.seek_until_us = node.now_us() + SEEK_FOR_US
        node.on_message(Hello, self.on_hello)
        node.on_message(Members, self.on_members)
        node.on_message(MembersDigest, self.on_members_digest)
        node.on_message(Beat, self.on_beat)
        node.on_message(Verdict, self.on_verdict)
        node.on_message(Bye, self.on_bye)
        node.systems.append(self.tick)
        node.on_late.append(self.wake)
        node.on_hear.append(self.note_speaker)

    def note_speaker(self, name):
        fellow = self.fellows.get(name)
        if fellow is not None:
            fellow.spoke_us = self.node.now_us()

    def _forget_order(self):
        """Who is up or has left changed: what was worked out from that is worked out anew."""
        self.order = None
        self.watched = None
        self.digest = None
        self.watcher_names = {}
        self.live_by_kind = {}

    def live(self, kind=None):
        """Those that are up and have not left; the caller must not change the list."""
        found = self.live_by_kind.get(kind)
        if found is None:
            found = self.live_by_kind[kind] = [
                fellow
                for fellow in self.fellows.values()
                if fellow.is_up and not fellow.has_left and kind in (None, fellow.kind)
            ]
        return found

    def add_seeds(self, addresses):
        self.seeds += [
            address
            for address in addresses
            if address and address not in self.seeds and address != self.node.address
        ]

    def sit(self, seat, seat_incarnation):
        """This node took a seat, or left it: a new incarnation in the ring, told to everyone at once."""
        self.raises_own = False
        self.me.incarnation += 1
        self.me.seat, self.me.seat_incarnation = seat, seat_incarnation
        self.me.mark = self.mark_of()
        self.seat_table = None
        if seat:
            self.learn_seats({seat: seat_incarnation})
        for fellow in self.live():
            self.node.send(fellow.address, Members([self.me.as_member()]))

    def seats(self):
        """Each seat's address and newest incarnation; the caller must not change the table."""
        key = (self.me.seat, self.me.seat_incarnation, self.me.incarnation)
        if self.seat_table is None or self.seat_key != key:
            self.seat_key = key
            self.seat_table = {
                seat: (fellow.address, max(fellow.seat_incarnation, self.seat_marks.get(seat, 0)))
                for seat, fellow in self.seat_holders().items()
            }
        return self.seat_table

    def seat_holders(self):
        found = {}
        for fellow in [self.me, *self.fellows.values()]:
            if not fellow.seat:
                continue
            held = found.get(fellow.seat)
            if held is None or self._outranks(fellow, held):
                found[fellow.seat] = fellow
        return found

    def _outranks(self, fellow, held):
        if fellow.seat_incarnation != held.seat_incarnation:
            return fellow.seat_incarnation > held.seat_incarnation
        return fellow.incarnation > held.incarnation

    def learn_seats(self, known):
        for seat, incarnation in known.items():
            if incarnation > self.seat_marks.get(seat, 0):
                self.seat_marks[seat] = incarnation
                self.seat_table = None
        if (
            self.raises_own
            and self.me.seat in known
            and known[self.me.seat] > self.me.seat_incarnation
        ):
            self.me.seat_incarnation = self.seat_marks[self.me.seat]

    def watchers_of(self, name):
        """The next names on the ring after this one's place, of those that are up."""
        found = self.watcher_names.get(name)
        if found is None:
            found = self.watcher_names[name] = self._find_watchers(name)
        return found

    def _find_watchers(self, name):
        if self.order is None:
            names = [fellow.name for fellow in self.live()]
            self.order = sorted((place_of(other), other) for other in (*names, self.node.name))
        start = bisect_left(self.order, (place_of(name), name))
        found = []
        for step in range(len(self.order)):
            other = self.order[(start + step) % len(self.order)][1]
            if other != name:
                found.append(other)
            if len(found) == WATCHERS:
                break
        return found

    def on_hello(self, message):
        """Take the sender in, and tell it all members."""
        fellow = self._take(message.fellow, is_first_hand=True)
        if fellow is not None:
            self._note_version(fellow, message.version)
        self.node.send(message.reply_to, Members(self._records()))

    def _note_version(self, fellow, version):
        """A member of another version is logged once for each of its starts."""
        if fellow.version == version:
            return
        fellow.version = version
        if version != PROTOCOL_VERSION:
            self.node.ports.log(1103, fellow=fellow.name, version=version, own=PROTOCOL_VERSION)

    def _records(self):
        self.me.mark = self.mark_of()
        return [
            self.me.as_member(),
            *(fellow.as_member() for fellow in self.fellows.values() if not fellow.has_left),
        ]

    def on_members(self, message):
        """Take in what the sender knows; only what it says of itself is first-hand."""
        for record in message.fellows:
            self._take(record, is_first_hand=record.name == message.sender)
        if message.is_asking:
            self.node.send(message.reply_to, Members(self._records()))

    def _members_digest(self):
        """A hash of who is up, in which start and on which seat; equal lists need no telling."""
        key = (self.me.incarnation, self.me.seat, self.me.seat_incarnation)
        if self.digest is None or self.digest[0] != key:
            rows = sorted(
                f"{fellow.name} {fellow.incarnation} {fellow.address} {fellow.seat} "
                f"{fellow.seat_incarnation}"
                for fellow in (self.me, *self.live())
            )
            told = hashlib.blake2b("\n".join(rows).encode(), digest_size=8).hexdigest()
            self.digest = (key, told)
        return self.digest[1]

    def on_members_digest(self, message):
        """Whose list differs is told the whole of this one, and tells its own."""
        self._take(message.fellow, is_first_hand=True)
        if message.digest != self._members_digest():
            self.node.send(message.reply_to, Members(self._records(), is_asking=True))

    def on_beat(self, message):
        """The sender runs, whatever this node's verdict was."""
        fellow = self._take(message.fellow, is_first_hand=True)
        if fellow is None:
            return
        fellow.heard_us = self.node.now_us()
        if fellow.verdicts.get(self.node.name):
            self._judge(fellow, False)

    def _take(self, record, is_first_hand):
        name, incarnation, address, kind, zone, seat, seat_incarnation, mark, is_up = astuple(
            record
        )
        if name == self.node.name:
            if incarnation > self.me.incarnation:
                self.me.incarnation = incarnation + 1
            return None
        fellow = self.fellows.get(name)
        if fellow is not None and incarnation < fellow.incarnation:
            return None
        if fellow is None or incarnation > fellow.incarnation:
            if fellow is None and not is_first_hand and not is_up:
                return None
            is_known = fellow is not None
            if is_known and fellow.address == address:
                self.node.ports.wire.renew(address)
            fellow = self.fellows[name] = Fellow(name, incarnation)
            self._forget_order()
            self._set_facts(fellow, address, kind, zone, seat)
            fellow.seat_incarnation = seat_incarnation
            self.node.ports.log(1101, fellow=name, incarnation=incarnation, is_known=is_known)
            self._spread(fellow)
        if is_first_hand:
            self._set_facts(fellow, address, kind, zone, seat)
            if fellow.has_left:
                fellow.has_left = False
                self._forget_order()
        if seat_incarnation > fellow.seat_incarnation:
            fellow.seat_incarnation = seat_incarnation
            self.seat_table = self.digest = None
        if seat:
            self.learn_seats({seat: fellow.seat_incarnation})
        if mark > fellow.mark:
            fellow.mark = mark
        for hear in self.on_mark:
            hear(mark, fellow)
        return fellow

    def _set_facts(self, fellow, address, kind, zone, seat):
        facts = (address, kind, zone, seat)
        if facts == (fellow.address, fellow.kind, fellow.zone, fellow.seat):
            return
        fellow.address, fellow.kind, fellow.zone, fellow.seat = facts
        self.seat_table = self.digest = None
        self.live_by_kind = {}

    def _spread(self, fellow):
        for hear in self.on_standing:
            hear(fellow)

    def _judge(self, fellow, is_down):
        fellow.verdicts[self.node.name] = is_down
        for other in self.live():
            self.node.send(other.address, Verdict(fellow.name, fellow.incarnation, is_down))
        self._weigh(fellow)

    def on_verdict(self, message):
        """Weigh a watcher's word on the start of a member that it names."""
        fellow = self.fellows.get(message.about)
        if fellow is None or fellow.incarnation != message.incarnation:
            return
        fellow.verdicts[message.sender] = message.is_down
        self._weigh(fellow)

    def _weigh(self, fellow):
        watchers = [
            name for name in self.watchers_of(fellow.name) if self._is_heard_from(name, fellow)
        ]
        against = sum(1 for watcher in watchers if fellow.verdicts.get(watcher))
        is_up = against * 2 <= len(watchers)
        if is_up == fellow.is_up:
            return
        fellow.is_up = is_up
        self._forget_order()
        fellow.down_us = 0 if is_up else self.node.now_us()
        self.node.ports.log(
            1101 if is_up else 1102, fellow=fellow.name, incarnation=fellow.incarnation
        )
        self._spread(fellow)

    def _is_heard_from(self, name, about):
        if name == self.node.name or name in about.verdicts:
            return True
        now_us = self.node.now_us()
        watcher = self.fellows[name]
        if watcher.spoke_us is not None and now_us - watcher.spoke_us <= self.node.terms.missed_us:
            return True
        if watcher.probed_us is None or (watcher.spoke_us or 0) > watcher.probed_us:
            watcher.probed_us = now_us
            self.node.send(watcher.address, hello_of(self.me.as_member()))
            return True
        return now_us - watcher.probed_us <= self.node.terms.missed_us

    def on_bye(self, message):
        """The sender stopped on purpose."""
        fellow = self.fellows.get(message.sender)
        if fellow is None:
            return
        fellow.has_left = True
        fellow.is_up = False
        self._forget_order()
        fellow.down_us = self.node.now_us()
        self._spread(fellow)

    def say_bye(self):
        for fellow in self.live():
            self.node.send(fellow.address, Bye())

    def wake(self, now_us):
        for fellow in self.fellows.values():
            fellow.heard_us = None
        self.beat_us = 0

    def tick(self, now_us):
        if now_us - self.beat_us >= self.node.terms.beat_us:
            self.beat_us = now_us
            self._beat()
            self._watch(now_us)
        if now_us - self.gossip_us >= GOSSIP_US:
            self.gossip_us = now_us
            self._gossip(now_us)
        elif (
            now_us < self.seek_until_us and now_us - max(self.gossip_us, self.sought_us) >= SEEK_US
        ):
            self._seek(now_us)

    def _seek(self, now_us):
        """Seeds start at about the same time as this node: those that weren't there are asked again soon."""
        self.sought_us = now_us
        self.me.mark = self.mark_of()
        for seed in self._missing_seeds():
            self.node.send(seed, hello_of(self.me.as_member()))

    def _missing_seeds(self):
        known = {fellow.address for fellow in self.live()}
        return [seed for seed in self.seeds if seed not in known and seed != self.node.address]

    def _beat(self):
        self.me.mark = self.mark_of()
        beat = Beat(self.me.as_member())
        for name in self.watchers_of(self.node.name):
            self.node.send(self.fellows[name].address, beat)

    def _watch(self, now_us):
        watched = self._find_watched()
        for fellow in self.fellows.rows():
            if fellow.has_left or fellow.name not in watched:
                fellow.heard_us = None
                continue
            if fellow.heard_us is None:
                fellow.heard_us = now_us
            if now_us - fellow.heard_us > self.node.terms.missed_us and not fellow.verdicts.get(
                self.node.name
            ):
                self._judge(fellow, True)
        for fellow in self.fellows.rows():
            if fellow.is_up and fellow.verdicts and any(fellow.verdicts.values()):
                self._weigh(fellow)

    def _find_watched(self):
        """The names that this node watches, until it hears of a change."""
        if self.watched is None:
            self.watched = {
                name for name in self.fellows if self.node.name in self.watchers_of(name)
            }
        return self.watched

    def _gossip(self, now_us):
        self.me.mark = self.mark_of()
        for seed in self._missing_seeds():
            self.node.send(seed, hello_of(self.me.as_member()))
        fellows = self.live() or self.fellows.rows()
        if fellows:
            self._tell_list(fellows[self.node.ports.dice.randrange(len(fellows))])
        self._call_downs(now_us)

    def _tell_list(self, other):
        """The list's digest; now and then the list itself, for what the digest leaves out."""
        self.gossips += 1
        if self.gossips % WHOLE_EVERY == 1:
            self.node.send(other.address, Members(self._records(), is_asking=True))
            return
        digest = MembersDigest(self.me.as_member(), self._members_digest())
        self.node.send(other.address, digest)

    def _call_downs(self, now_us):
        downs = [fellow for fellow in self.fellows.values() if not fellow.is_up]
        for fellow in downs:
            if now_us - fellow.down_us > FORGET_US:
                self.fellows.drop(fellow.name)
                self._forget_order()
                self.seat_table = None
        if downs:
            other = downs[self.node.ports.dice.randrange(len(downs))]
            self.node.send(other.address, hello_of(self.me.as_member()))
