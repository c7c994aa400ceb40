"""The only module of the explorer that touches the insides of the real nodes: how one is built, what its
messages say, how it is asked, and what it holds. A rename in the nodes is followed here."""

from enum import Enum

from linkhaven.configuration import (
    BlobExchange,
    BlobGuard,
    BlobStore,
    ConfigurationCommands,
    ConfigurationSnapshot,
    ConfigurationStore,
    PendingBlobs,
)
from linkhaven.configuration.history import digest_of_update, read_history
from linkhaven.consensus import Proposer, RegisterTable, Replica
from linkhaven.controller import ControllerNode
from linkhaven.leases import Lease, NullLeaseListener
from linkhaven.membership import Membership
from linkhaven.membership.messages import MemberList
from linkhaven.runtime import Bounds, Node

SEATS = ("a", "b", "c", "d", "e")
PLAN = {
    "groups": {"g": {}},
    "kinds": {"k": {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}},
}
DUTY = "roster"
LEASE_WON = 1401
PLAN_KEY = "plan"
VOTES = {"promise": False, "accepted": True}
REFUSED_CODES = ("revision_conflict", "revision_old")
UNCLEAR_CODE = "put_unknown"
SKIPPED = frozenset(
    (
        "ports",
        "bounds",
        "map_handlers",
        "handlers",
        "reader",
        "routes",
        "tick_handlers",
        "sender_listeners",
        "late_tick_handlers",
        "random",
    )
)


class Vote:
    """A yes of a seat, as it leaves it."""

    __slots__ = ("replica_id", "epoch", "change", "ballot", "is_accept")

    def __init__(self, replica_id, epoch, change, ballot, is_accept):
        self.replica_id = replica_id
        self.epoch = epoch
        self.change = change
        self.ballot = ballot
        self.is_accept = is_accept


class CoreNode(Node):
    """The register alone: proposer, acceptor with its rejoin, operators' desk and one duty, all real. The ring
    only says who has which seat: it judges nobody, as its timers aren't called."""

    __slots__ = (
        "membership",
        "registers",
        "proposer",
        "replica",
        "snapshot",
        "blobs",
        "blob_exchange",
        "configuration_store",
        "lease",
    )

    def __init__(self, name, address, ports, bounds, has_duty, contacts):
        super().__init__(name, address, ports, bounds)
        self.membership = Membership(
            self, "registry", "z", [], ports.clock.now_us() + ports.clock.start
        )
        self.tick_handlers.remove(self.membership.tick)
        self.registers = RegisterTable.load(self)
        self.proposer = Proposer(self, self.membership)
        seats = SEATS[: bounds.seats]
        self.replica = Replica(
            self,
            None,
            seats,
            self.membership,
            self.registers,
            on_voting_started=self._hear_votes,
            on_retired=self._hear_retired,
        )
        self.snapshot = ConfigurationSnapshot()
        pending = PendingBlobs()
        self.blobs = BlobStore(self, self.replica, pending)
        self.blob_exchange = BlobExchange(self, self.membership, self.blobs, pending)
        BlobGuard(self, self.replica, self.blobs, self.blob_exchange)
        self.configuration_store = ConfigurationStore(
            self, self.proposer, self.blobs, self.blob_exchange, self.snapshot
        )
        ConfigurationCommands(self, self.configuration_store)
        self.lease = None
        if has_duty:
            listener = NullLeaseListener()
            self.lease = Lease(self, DUTY, self.proposer, self.replica, self.membership, listener)
        if contacts and self.replica.is_empty and not self.replica.replica_id:
            self.replica.bootstrap(seats[contacts.index(address)], contacts)

    def drain(self, done):
        """Departs; `done` hears when the process may end."""
        self.replica.departure.begin(done)

    def _hear_retired(self):
        self.blobs.on_replica_retired()

    def _hear_votes(self):
        if self.lease is not None and not self.replica.votes_from_us:
            self.lease.allow_election_now()


def build_core(seats, has_duty, contacts):
    """Builds the register alone, the whole of it at its first start."""
    begun = set()

    def build(machine, ports):
        is_first = machine.address in contacts and machine.address not in begun
        begun.add(machine.address)
        bounds = Bounds(seats=seats)
        node = CoreNode(
            machine.name, machine.address, ports, bounds, has_duty, contacts if is_first else ()
        )
        introduce(machine, node)
        return node

    return build


def introduce(machine, node):
    """What hellos would bring about: who starts knows the others that run, and they know it."""
    others = [
        other
        for other in machine.world.machines.values()
        if other is not machine and other.node is not None
    ]
    for other in others:
        node.membership.gossip.on_member_list(
            MemberList([other.node.membership.me.to_record()], sender=other.name)
        )
        other.node.membership.gossip.on_member_list(
            MemberList([node.membership.me.to_record()], sender=node.name)
        )


def build_registry(seats, contacts, **bounds):
    """Builds the whole core member: ring, register, occupants, duties, desks."""
    begun = set()

    def build(machine, ports):
        is_first = machine.address in contacts and machine.address not in begun
        begun.add(machine.address)
        seeds = [
            other.address for other in machine.world.machines.values() if other is not machine
        ][:seats]
        return ControllerNode(
            machine.name,
            machine.address,
            ports,
            "z",
            seeds or list(contacts),
            ports.clock.now_us() + machine.starts,
            None,
            "10.9.0.1:80",
            Bounds(seats=seats, recovery_wait_us=1_000_000, bootstrap=is_first, **bounds),
            contacts=contacts if is_first else (),
        )

    return build


def vote_in(message):
    """The vote that a message carries, if it is a yes."""
    is_accept = VOTES.get(message["say"])
    if is_accept is None or not message["is_yes"]:
        return None
    ballot = tuple(message["ballot"])
    return Vote(message["seat"], message["incarnation"], message["id"], ballot, is_accept)


def sealed_epoch(machine):
    """The epoch under which the machine's disk says that it votes no more; None where it has no seal."""
    seal = machine.disk.synced.get("sealed")
    return seal and seal["incarnation"]


def proposal_in(message):
    """Change, key, ballot and value of an accept."""
    if message["say"] != "accept":
        return None
    return message["id"], message["key"], tuple(message["ballot"]), message["value"]


def mark_of(key, value):
    """The number of the plan that a value is; a duty's number is its fence, which is checked as it is won."""
    return value["mark"] if key == PLAN_KEY and value else None


def order_in(value):
    """Which operator's order a value came from: its number and the digest of its document."""
    newest = read_history(value)[-1]
    return newest.revision, newest.digest


def order_of(revision, document):
    """The same of an order as it is sent."""
    return revision, digest_of_update(document)


def fence_won(number, facts):
    """Duty and fence, where a log event says that a duty was won."""
    return (facts["duty"], facts["fence"]) if number == LEASE_WON else None


def _newest_occupants(world):
    """For each seat the running machine that has it under the highest epoch."""
    newest = {}
    for machine in world.machines.values():
        if machine.node is None or not machine.node.replica.replica_id:
            continue
        held = newest.get(machine.node.replica.replica_id)
        if held is None or machine.node.replica.incarnation > held.node.replica.incarnation:
            newest[machine.node.replica.replica_id] = machine
    return newest


def held_marks(world):
    """For each seat whose newest occupant votes now, the mark of the plan that it accepted last."""
    seats = [machine.node.replica for machine in _newest_occupants(world).values()]
    return [
        (replica.register_state(PLAN_KEY).value or {"mark": 0})["mark"]
        for replica in seats
        if replica.is_voting
    ]


def voting_seats(world):
    """The seats whose newest occupant votes, is given turns and is cut off from nobody."""
    cut = {name for link in world.cuts for name in link}
    return {
        seat
        for seat, machine in _newest_occupants(world).items()
        if machine.runs and machine.node.replica.is_voting and machine.name not in cut
    }


def seat_of(machine):
    """The seat that a machine has, by its node or else by its disk."""
    if machine.node is not None:
        return machine.node.replica.replica_id
    return machine.disk.synced.get("seat", "")


def is_voting(machine):
    """Whether the machine's node gives votes."""
    return machine.node is not None and machine.node.replica.is_voting


def put(machine, base, revision, document, done):
    """An operator's order at a member; done(code, detail, value) hears its answer."""

    def end(error, value):
        done(error and error.code, error and error.detail, value)

    machine.node.configuration_store.put_document(base, revision, document, PLAN, end)


def read(machine, done):
    """An operator's read at a member; done(code, value) hears its answer."""
    machine.node.configuration_store.read_record(
        lambda error, value: done(error and error.code, value)
    )


def leave(machine, done):
    """A planned leaving: releases its duties and says goodbye."""
    machine.node.drain(done)


def is_dead(machine, message):
    """Whether delivering an answer could change nothing any more: nobody waits for its ballot, and it brings no
    news of epochs or of a majority that can be reached. Ballots only rise, so such a message stays dead."""
    if message["say"] not in VOTES or machine is None:
        return False
    if machine.node.proposer.is_cut_off:
        return False
    marks = machine.node.membership.directory.incarnations
    if any(epoch > marks.get(seat, 0) for seat, epoch in message["known"].items()):
        return False
    change = machine.node.proposer.proposals.get(message["id"])
    return change is None or message["ballot"] < change.ballot


def canonical(thing, now_us, met=None):
    """Everything that an object holds, as nested tuples; moments count from now, so that two runs that differ
    only in when they began look alike. Functions are left out: what a callback will do is told by the order or
    message that it belongs to."""
    if thing is None or isinstance(thing, (str, int, float, bool)):
        return thing
    if isinstance(thing, (list, tuple)) or type(thing).__name__ == "deque":
        return tuple([canonical(one, now_us, met) for one in thing])
    if isinstance(thing, (set, frozenset)):
        return tuple(sorted((canonical(one, now_us, met) for one in thing), key=repr))
    met = {} if met is None else met
    if isinstance(thing, dict):
        return tuple(
            sorted(
                ((repr(key), canonical(value, now_us, met)) for key, value in thing.items()),
                key=lambda row: row[0],
            )
        )
    if isinstance(thing, Enum):
        return (type(thing).__name__, thing.value)
    if callable(thing):
        return "function"
    if id(thing) in met:
        return ("met", met[id(thing)])
    met[id(thing)] = len(met)
    return (type(thing).__name__, tuple(_fields(thing, now_us, met)))


def _fields(thing, now_us, met):
    """Name and value of each slot; a moment that was set, as what is left until it or has passed since."""
    names = [name for kind in type(thing).__mro__ for name in getattr(kind, "__slots__", ())]
    for name in names:
        if name in SKIPPED or name.startswith("__") or not hasattr(thing, name):
            continue
        value = getattr(thing, name)
        is_moment = name.endswith("_us") and type(value) is int and value
        yield name, value - now_us if is_moment else canonical(value, now_us, met)
