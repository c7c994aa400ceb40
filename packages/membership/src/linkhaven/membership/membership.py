"""Who exists: a failure detector and the list of members, gossiped.

| message | in answer to | what it does here |
| --- | --- | --- |
| `Hello` | | takes the sender in, answers with all members |
| `Members` | `Hello`, `MembersDigest`, or asked for | takes all in |
| `MembersDigest` | | answers with all members where the list differs |
| `Beat` | | the sender runs; a verdict against it is taken back |
| `Verdict` | | a watcher's vote on whether a member is down |
| `Bye` | | the sender left on purpose |
| `Doubt` | `Members` | a watcher says its verdict again |
| `Left` | `Members` | members whose `Bye` was missed here are counted out |

No rule of safety rests on it: it informs operators, and says whom to ask. A member is down when
most of its watchers that can be heard from say so (`tests/test_coordination.py`).
"""

import hashlib
from bisect import bisect_left
from functools import lru_cache

from linkhaven.runtime import PROTOCOL_VERSION, Table

from .member import Member
from .messages import (
    Departures,
    Heartbeat,
    Hello,
    Leave,
    MemberList,
    MemberListDigest,
    Suspicion,
    SuspicionQuery,
    make_hello,
)

WATCHERS = 3
"""How many members watch each member."""

GOSSIP_US = 1_000_000
WHOLE_EVERY = 10
"""Each so many times the whole list is gossiped in place of its digest."""

SEEK_US = 100_000
SEEK_FOR_US = 5_000_000
"""So long after its start a node asks seeds that it misses each `SEEK_US`."""

FORGET_US = 60_000_000
"""A member that is down for this long is forgotten."""

PLACE_BYTES = 8
PLACES_KEPT = 4096


@lru_cache(maxsize=PLACES_KEPT)
def place_of(name):
    """A name's place on the hash ring."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=PLACE_BYTES).digest(), "big")


class Membership:
    """The members that one node knows, and its part in watching them.

    `on_standing` hears of each member that came, went up or went down; `on_mark` of the plan's
    version that a member holds. `fellows` has all others by name, `me` is this node.
    """

    __slots__ = (
        "node",
        "me",
        "seeds",
        "peers",
        "beat_us",
        "gossip_us",
        "on_standing",
        "on_mark",
        "mark_of",
        "replica_incarnations",
        "order",
        "watcher_names",
        "watched",
        "live_by_kind",
        "seat_table",
        "seat_key",
        "digest",
        "gossips",
        "adopts_learned_incarnation",
        "sought_us",
        "seek_until_us",
    )

    def __init__(self, node, kind, zone, seeds, incarnation, replica_id="", mark_of=lambda: 0):
        """Know nobody but the seeds' addresses; `mark_of` says this node's version of the plan."""
        self.node = node
        self.seeds = list(seeds)
        self.peers = Table()
        self.me = Member(node.name, incarnation)
        self.me.address, self.me.kind, self.me.zone, self.me.replica_id = (
            node.address,
            kind,
            zone,
            replica_id,
        )
        self.mark_of = mark_of
        self.on_standing = []
        self.on_mark = []
        self.replica_incarnations = {}
        self.seat_table = self.seat_key = self.digest = None
        self.gossips = 0
        self._forget_order()
        self.adopts_learned_incarnation = True
        self.beat_us = self.gossip_us = self.sought_us = 0
        self.seek_until_us = node.now_us() + SEEK_FOR_US
        node.register_handler(Hello, self.on_hello)
        node.register_handler(MemberList, self.on_members)
        node.register_handler(MemberListDigest, self.on_members_digest)
        node.register_handler(Heartbeat, self.on_beat)
        node.register_handler(Suspicion, self.on_verdict)
        node.register_handler(Leave, self.on_bye)
        node.register_handler(Departures, self.on_left)
        node.register_handler(SuspicionQuery, self.on_doubt)
        node.systems.append(self.tick)
        node.on_late.append(self.wake)
        node.sender_listeners.append(self.note_speaker)

    def note_speaker(self, name):
        """Whatever a member says tells that it runs."""
        member = self.peers.get(name)
        if member is not None:
            member.spoke_us = self.node.now_us()

    def _forget_order(self):
        """Who is up or has left changed: what was worked out from that is worked out anew."""
        self.order = None
        self.watched = None
        self.digest = None
        self.watcher_names = {}
        self.live_by_kind = {}

    def live_members(self, kind=None):
        """Those that are up and have not left; the caller must not change the list."""
        found = self.live_by_kind.get(kind)
        if found is None:
            found = self.live_by_kind[kind] = [
                member
                for member in self.peers.values()
                if member.is_up and not member.has_left and kind in (None, member.kind)
            ]
        return found

    def live_incarnation(self, name):
        """The running incarnation of a member, 0 where it is down, None where it is unknown."""
        member = self.peers.get(name)
        if member is None:
            return None
        return member.incarnation if member.is_up and not member.has_left else 0

    def add_seeds(self, addresses):
        """More addresses to say hello to."""
        self.seeds += [
            address
            for address in addresses
            if address and address not in self.seeds and address != self.node.address
        ]

    def announce_replica(self, replica_id, incarnation):
        """This node took a seat, or left it: a new incarnation, told to everyone at once."""
        self.adopts_learned_incarnation = False
        self.me.incarnation += 1
        self.me.replica_id, self.me.replica_incarnation = replica_id, incarnation
        self.me.mark = self.mark_of()
        self.seat_table = None
        if replica_id:
            self.learn_incarnations({replica_id: incarnation})
        for member in self.live_members():
            self.node.send(member.address, MemberList([self.me.as_member()]))

    def replicas(self):
        """Each seat's address and newest incarnation; the caller must not change the table."""
        key = (self.me.replica_id, self.me.replica_incarnation, self.me.incarnation)
        if self.seat_table is None or self.seat_key != key:
            self.seat_key = key
            self.seat_table = {
                replica_id: (
                    member.address,
                    max(member.replica_incarnation, self.replica_incarnations.get(replica_id, 0)),
                )
                for replica_id, member in self.replica_members().items()
            }
        return self.seat_table

    def replica_members(self):
        """The newest occupant that is known of each seat."""
        found = {}
        for member in [self.me, *self.peers.values()]:
            if not member.replica_id:
                continue
            held = found.get(member.replica_id)
            if held is None or self._outranks(member, held):
                found[member.replica_id] = member
        return found

    def _outranks(self, member, held):
        if member.replica_incarnation != held.replica_incarnation:
            return member.replica_incarnation > held.replica_incarnation
        return member.incarnation > held.incarnation

    def learn_incarnations(self, known):
        """Take in the newest incarnation of each seat that somebody knows."""
        for replica_id, incarnation in known.items():
            if incarnation > self.replica_incarnations.get(replica_id, 0):
                self.replica_incarnations[replica_id] = incarnation
                self.seat_table = None
        if (
            self.adopts_learned_incarnation
            and self.me.replica_id in known
            and known[self.me.replica_id] > self.me.replica_incarnation
        ):
            self.me.replica_incarnation = self.replica_incarnations[self.me.replica_id]

    def watchers_of(self, name):
        """The next names on the ring after this one's place, of those that are up."""
        found = self.watcher_names.get(name)
        if found is None:
            found = self.watcher_names[name] = self._find_watchers(name)
        return found

    def _find_watchers(self, name):
        if self.order is None:
            names = [member.name for member in self.live_members()]
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
        member = self._take(message.member, is_first_hand=True)
        if member is not None:
            self._note_version(member, message.version)
        self.node.send(message.reply_to, MemberList(self._records()))

    def _note_version(self, member, version):
        """A member of another version is logged once for each of its starts."""
        if member.version == version:
            return
        member.version = version
        if version != PROTOCOL_VERSION:
            self.node.ports.log(1103, fellow=member.name, version=version, own=PROTOCOL_VERSION)

    def _records(self):
        self.me.mark = self.mark_of()
        return [
            self.me.as_member(),
            *(member.as_member() for member in self.peers.values() if not member.has_left),
        ]

    def on_members(self, message):
        """Take in what the sender knows; only what it says of itself is first-hand."""
        gone = []
        for record in message.members:
            self._take(record, is_first_hand=record.name == message.sender)
            self._doubt(record)
            if self._has_left(record):
                gone.append((record.name, record.incarnation))
        if gone:
            self.node.send(message.reply_to, Departures(gone))
        if message.is_asking:
            self.node.send(message.reply_to, MemberList(self._records()))

    def _has_left(self, record):
        """Whether this node heard the bye of a member that another still counts in."""
        member = self.peers.get(record.name)
        return member is not None and member.has_left and member.incarnation >= record.incarnation

    def on_left(self, message):
        """A bye that this node missed: nobody watches who has left, so no verdict comes either."""
        for name, incarnation in message.members:
            member = self.peers.get(name)
            if member is not None and not member.has_left and member.incarnation <= incarnation:
                self._count_out(member)

    def _members_digest(self):
        """A hash of who is up, in which start and on which seat; equal lists need no telling."""
        key = (self.me.incarnation, self.me.replica_id, self.me.replica_incarnation)
        if self.digest is None or self.digest[0] != key:
            rows = sorted(
                f"{member.name} {member.incarnation} {member.address} {member.replica_id} "
                f"{member.replica_incarnation}"
                for member in (self.me, *self.live_members())
            )
            told = hashlib.blake2b("\n".join(rows).encode(), digest_size=PLACE_BYTES).hexdigest()
            self.digest = (key, told)
        return self.digest[1]

    def on_members_digest(self, message):
        """Whose list differs is told the whole of this one, and tells its own."""
        self._take(message.member, is_first_hand=True)
        if message.digest != self._members_digest():
            self.node.send(message.reply_to, MemberList(self._records(), is_asking=True))

    def on_beat(self, message):
        """The sender runs, whatever this node's verdict was."""
        member = self._take(message.member, is_first_hand=True)
        if member is None:
            return
        member.heard_us = self.node.now_us()
        if member.verdicts.get(self.node.name):
            self._judge(member, False)

    def _take(self, record, is_first_hand):
        """The member that a record is of, with what is new in it; None where it tells nothing."""
        if record.name == self.node.name:
            return self._outlive(record.incarnation)
        member = self.peers.get(record.name)
        if member is not None and record.incarnation < member.incarnation:
            return None
        if member is None or record.incarnation > member.incarnation:
            if member is None and not is_first_hand and not record.is_up:
                return None
            member = self._begin(record, member)
        if is_first_hand:
            self._set_facts(member, record)
            if member.has_left:
                member.has_left = False
                self._forget_order()
        self._raise_marks(member, record)
        return member

    def _outlive(self, incarnation):
        """Somebody knows a later start under this node's name: it goes above that."""
        if incarnation > self.me.incarnation:
            self.me.incarnation = incarnation + 1

    def _begin(self, record, before):
        """A member's new start; the connection to its former one may hang."""
        if before is not None and before.address == record.address:
            self.node.ports.network.renew(record.address)
        member = self.peers[record.name] = Member(record.name, record.incarnation)
        self._forget_order()
        self._set_facts(member, record)
        member.replica_incarnation = record.replica_incarnation
        self.node.ports.log(
            1101, fellow=member.name, incarnation=member.incarnation, is_known=before is not None
        )
        self._spread(member)
        return member

    def _raise_marks(self, member, record):
        if record.replica_incarnation > member.replica_incarnation:
            member.replica_incarnation = record.replica_incarnation
            self.seat_table = self.digest = None
        if record.replica_id:
            self.learn_incarnations({record.replica_id: member.replica_incarnation})
        member.mark = max(member.mark, record.mark)
        for hear in self.on_mark:
            hear(record.mark, member)

    def _set_facts(self, member, record):
        facts = (record.address, record.kind, record.zone, record.replica_id)
        if facts == (member.address, member.kind, member.zone, member.replica_id):
            return
        member.address, member.kind, member.zone, member.replica_id = facts
        self.seat_table = self.digest = None
        self.live_by_kind = {}

    def _spread(self, member):
        for hear in self.on_standing:
            hear(member)

    def _judge(self, member, is_down):
        member.verdicts[self.node.name] = is_down
        for other in self.live_members():
            self.node.send(other.address, Suspicion(member.name, member.incarnation, is_down))
        self._weigh(member)

    def on_verdict(self, message):
        """Weigh a watcher's word on the start of a member that it names."""
        member = self.peers.get(message.about)
        if member is None or member.incarnation != message.incarnation:
            return
        member.verdicts[message.sender] = message.is_down
        self._weigh(member)

    def _weigh(self, member):
        watchers = [
            name for name in self.watchers_of(member.name) if self._is_heard_from(name, member)
        ]
        against = sum(1 for watcher in watchers if member.verdicts.get(watcher))
        is_up = against * 2 <= len(watchers)
        if is_up == member.is_up:
            return
        member.is_up = is_up
        self._forget_order()
        member.down_us = 0 if is_up else self.node.now_us()
        self.node.ports.log(
            1101 if is_up else 1102, fellow=member.name, incarnation=member.incarnation
        )
        self._spread(member)

    def _is_heard_from(self, name, about):
        if name == self.node.name or name in about.verdicts:
            return True
        now_us = self.node.now_us()
        watcher = self.peers[name]
        if watcher.spoke_us is not None and now_us - watcher.spoke_us <= self.node.bounds.missed_us:
            return True
        if watcher.probed_us is None or (watcher.spoke_us or 0) > watcher.probed_us:
            watcher.probed_us = now_us
            self.node.send(watcher.address, make_hello(self.me.as_member()))
            return True
        return now_us - watcher.probed_us <= self.node.bounds.missed_us

    def _doubt(self, record):
        """Another holds for up whom this node holds for down: those who judged are asked again.

        A withdrawn verdict is told once, to those whom its teller then holds for up; who missed it
        would hold the verdict for as long as that start runs."""
        member = self.peers.get(record.name)
        if member is None or member.is_up or member.has_left or not record.is_up:
            return
        if member.incarnation != record.incarnation:
            return
        for name, is_down in member.verdicts.items():
            judge = self.peers.get(name)
            if is_down and judge is not None:
                self.node.send(judge.address, SuspicionQuery(member.name, member.incarnation))

    def on_doubt(self, message):
        """Say again what this node holds as a watcher; who watches no more has no verdict."""
        member = self.peers.get(message.about)
        if member is None or member.incarnation != message.incarnation:
            return
        is_watched = member.name in self._find_watched()
        is_down = is_watched and bool(member.verdicts.get(self.node.name))
        verdict = Suspicion(member.name, member.incarnation, is_down)
        self.node.send(message.reply_to, verdict)

    def on_bye(self, message):
        """The sender stopped on purpose."""
        member = self.peers.get(message.sender)
        if member is not None:
            self._count_out(member)

    def _count_out(self, member):
        member.has_left = True
        member.is_up = False
        self._forget_order()
        member.down_us = self.node.now_us()
        self._spread(member)

    def send_leave(self):
        """Tell all that this node stops."""
        for member in self.live_members():
            self.node.send(member.address, Leave())

    def wake(self, now_us):
        """After a pause of this process its silence tells nothing of others."""
        for member in self.peers.values():
            member.heard_us = None
        self.beat_us = 0

    def tick(self, now_us):
        """Beat, watch and gossip, each at its pace."""
        if now_us - self.beat_us >= self.node.bounds.beat_us:
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
        """Seeds may start a moment after this node: those not there are asked again soon."""
        self.sought_us = now_us
        self.me.mark = self.mark_of()
        for seed in self._missing_seeds():
            self.node.send(seed, make_hello(self.me.as_member()))

    def _missing_seeds(self):
        known = {member.address for member in self.live_members()}
        return [seed for seed in self.seeds if seed not in known and seed != self.node.address]

    def _beat(self):
        self.me.mark = self.mark_of()
        beat = Heartbeat(self.me.as_member())
        for name in self.watchers_of(self.node.name):
            self.node.send(self.peers[name].address, beat)

    def _watch(self, now_us):
        watched = self._find_watched()
        for member in self.peers.rows():
            if member.has_left or member.name not in watched:
                member.heard_us = None
                continue
            if member.heard_us is None:
                member.heard_us = now_us
            if now_us - member.heard_us > self.node.bounds.missed_us and not member.verdicts.get(
                self.node.name
            ):
                self._judge(member, True)
        for member in self.peers.rows():
            if member.is_up and member.verdicts and any(member.verdicts.values()):
                self._weigh(member)

    def _find_watched(self):
        """The names that this node watches, until it hears of a change."""
        if self.watched is None:
            self.watched = {name for name in self.peers if self.node.name in self.watchers_of(name)}
        return self.watched

    def _gossip(self, now_us):
        self.me.mark = self.mark_of()
        for seed in self._missing_seeds():
            self.node.send(seed, make_hello(self.me.as_member()))
        peers = self.live_members() or self.peers.rows()
        if peers:
            self._tell_list(peers[self.node.ports.random.randrange(len(peers))])
        self._call_downs(now_us)

    def _tell_list(self, other):
        """The list's digest; now and then the list itself, for what the digest leaves out."""
        self.gossips += 1
        if self.gossips % WHOLE_EVERY == 1:
            self.node.send(other.address, MemberList(self._records(), is_asking=True))
            return
        digest = MemberListDigest(self.me.as_member(), self._members_digest())
        self.node.send(other.address, digest)

    def _call_downs(self, now_us):
        downs = [member for member in self.peers.values() if not member.is_up]
        for member in downs:
            if now_us - member.down_us > FORGET_US:
                self.peers.drop(member.name)
                self._forget_order()
                self.seat_table = None
        if downs:
            other = downs[self.node.ports.random.randrange(len(downs))]
            self.node.send(other.address, make_hello(self.me.as_member()))
