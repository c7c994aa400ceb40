"""Adapter between the explorer and the real nodes; the only module that touches their internals.

It builds nodes, reads their messages, sends them requests and inspects their state. Renames in the
nodes need to be followed only here.
"""

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
SKIPPED_FIELDS = frozenset(
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
    """A positive vote (promise or accept) as a seat sends it."""

    __slots__ = ("replica_id", "epoch", "change", "ballot", "is_accept")

    def __init__(self, replica_id, epoch, change, ballot, is_accept):
        self.replica_id = replica_id
        self.epoch = epoch
        self.change = change
        self.ballot = ballot
        self.is_accept = is_accept


class CoreNode(Node):
    """The register alone: real proposer, acceptor with recovery, configuration commands and one
    lease.

    The membership only maps seats to members; as its timers aren't run, it never judges a member
    to have failed.
    """

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
        """Starts a planned departure; calls `done` when the process may end."""
        self.replica.departure.begin(done)

    def _hear_retired(self):
        self.blobs.on_replica_retired()

    def _hear_votes(self):
        if self.lease is not None and not self.replica.votes_from_us:
            self.lease.allow_election_now()


def build_core(seats, has_duty, contacts):
    """A builder of nodes with the register alone; a contact bootstraps the core at its
    first start.
    """
    begun = set()

    def build(machine, ports):
        is_first = machine.address in contacts and machine.address not in begun
        begun.add(machine.address)
        bounds = Bounds(seats=seats)
        node = CoreNode(
            machine.name, machine.address, ports, bounds, has_duty, contacts if is_first else ()
        )
        exchange_member_records(machine, node)
        return node

    return build


def exchange_member_records(machine, node):
    """Introduces a starting node and the running ones to each other, in place of hello messages."""
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
    """A builder of whole core members; a contact bootstraps the core at its first start."""
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
    """The positive vote in a message, or None."""
    is_accept = VOTES.get(message["say"])
    if is_accept is None or not message["is_yes"]:
        return None
    ballot = tuple(message["ballot"])
    return Vote(message["seat"], message["incarnation"], message["id"], ballot, is_accept)


def sealed_epoch(machine):
    """The epoch up to which the seal on the machine's disk ended its votes; None without a seal."""
    seal = machine.disk.synced.get("sealed")
    return seal and seal["incarnation"]


def proposal_in(message):
    """Change, key, ballot and value of an accept message; None for other messages."""
    if message["say"] != "accept":
        return None
    return message["id"], message["key"], tuple(message["ballot"]), message["value"]


def mark_of(key, value):
    """The mark of a plan value, or None; a duty's fence is checked when the duty is won instead."""
    return value["mark"] if key == PLAN_KEY and value else None


def order_in(value):
    """The operator's update that a value came from: its revision and the digest of its document."""
    newest = read_history(value)[-1]
    return newest.revision, newest.digest


def order_of(revision, document):
    """The same identity for an update as it is sent."""
    return revision, digest_of_update(document)


def fence_won(number, facts):
    """Duty and fence of a log event that reports a won lease, else None."""
    return (facts["duty"], facts["fence"]) if number == LEASE_WON else None


def _newest_occupants(world):
    """For each seat the machine with a node that holds it under the highest epoch."""
    newest = {}
    for machine in world.machines.values():
        if machine.node is None or not machine.node.replica.replica_id:
            continue
        held = newest.get(machine.node.replica.replica_id)
        if held is None or machine.node.replica.incarnation > held.node.replica.incarnation:
            newest[machine.node.replica.replica_id] = machine
    return newest


def held_marks(world):
    """The mark of the last accepted plan, for each seat whose newest holder votes now."""
    seats = [machine.node.replica for machine in _newest_occupants(world).values()]
    return [
        (replica.register_state(PLAN_KEY).value or {"mark": 0})["mark"]
        for replica in seats
        if replica.is_voting
    ]


def voting_seats(world):
    """The seats whose newest holder votes, isn't frozen and has no cut link."""
    cut = {name for link in world.cuts for name in link}
    return {
        seat
        for seat, machine in _newest_occupants(world).items()
        if machine.runs and machine.node.replica.is_voting and machine.name not in cut
    }


def seat_of(machine):
    """The seat that a machine holds, by its node or else by its disk."""
    if machine.node is not None:
        return machine.node.replica.replica_id
    return machine.disk.synced.get("seat", "")


def is_voting(machine):
    """Whether the machine runs a node that votes."""
    return machine.node is not None and machine.node.replica.is_voting


def put(machine, base, revision, document, done):
    """Sends an operator's update to a member; the response goes to done(code, detail, value)."""

    def end(error, value):
        done(error and error.code, error and error.detail, value)

    machine.node.configuration_store.put_document(base, revision, document, PLAN, end)


def read(machine, done):
    """Sends an operator's read to a member; the response goes to done(code, value)."""
    machine.node.configuration_store.read_record(
        lambda error, value: done(error and error.code, value)
    )


def leave(machine, done):
    """Starts a planned departure; calls `done` when the process may end."""
    machine.node.drain(done)


def is_stale_answer(machine, message):
    """Whether delivering a vote response can't change anything any more.

    Nothing waits for its ballot, it brings no newer epoch, and the target isn't cut off, so that it
    doesn't learn of a reachable majority either. Ballots only rise, so a stale answer stays stale.
    """
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
    """The state of an object as nested tuples, for hashing.

    Timestamps are relative to `now_us`, so that runs that differ only in their start times are
    equal. Functions are left out: the update or message that a callback belongs to determines what
    it does.
    """
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
    """Name and value of each slot; a nonzero timestamp (`*_us`) is given relative to `now_us`."""
    names = [name for kind in type(thing).__mro__ for name in getattr(kind, "__slots__", ())]
    for name in names:
        if name in SKIPPED_FIELDS or name.startswith("__") or not hasattr(thing, name):
            continue
        value = getattr(thing, name)
        is_moment = name.endswith("_us") and type(value) is int and value
        yield name, value - now_us if is_moment else canonical(value, now_us, met)
