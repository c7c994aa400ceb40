"""One controller of the simulated core: its clock, and the real lease code over a stub replica."""

import random
from collections.abc import Callable
from typing import Any

from linkhaven.leases import ShardLeases
from linkhaven.runtime import Bounds, Message, Node, Ports, write_line

CLOCK_SCALE = 1_000_000
"""Denominator of clock rates: a clock gains `rate_ppm` microseconds in this many real ones."""

FAILED_AFTER_US = 1_000_000
"""A member not heard from for this long is considered down."""

CLOCKS_BEGIN_WITHIN_US = 1_000_000_000


class KnownMember:
    """The newest member of a replica, as a machine's membership knows it."""

    __slots__ = ("address", "incarnation", "is_up", "heard_us")

    def __init__(self, address: str, incarnation: int, heard_us: int) -> None:
        """Creates the record of a member just heard from."""
        self.address = address
        self.incarnation = incarnation
        self.is_up = True
        self.heard_us = heard_us


class StubReplica:
    """The part of a replica that the lease code uses: its identity and whether it votes."""

    __slots__ = ("replica_id", "replica_ids", "majority", "incarnation", "is_voting", "known")

    def __init__(self, replica_id: str, replica_ids: tuple[str, ...], incarnation: int) -> None:
        """Creates a replica that doesn't vote yet."""
        self.replica_id = replica_id
        self.replica_ids = replica_ids
        self.majority = len(replica_ids) // 2 + 1
        self.incarnation = incarnation
        self.is_voting = False
        self.known: dict[str, int] = {}

    def all_incarnations(self) -> dict[str, int]:
        """The recorded incarnations of other replicas and its own."""
        return {**self.known, self.replica_id: self.incarnation}

    def record(self, replica_id: str, incarnation: int) -> None:
        """Records durably that this incarnation of a replica replaces older ones."""
        self.known[replica_id] = max(incarnation, self.known.get(replica_id, 0))


class StubDirectory:
    """The membership as one machine knows it."""

    __slots__ = ("members",)

    def __init__(self) -> None:
        """Creates a directory without members."""
        self.members: dict[str, KnownMember] = {}

    def replicas(self) -> dict[str, tuple[str, int]]:
        """The address and newest incarnation of each replica."""
        return {name: (member.address, member.incarnation) for name, member in self.members.items()}

    def replica_members(self) -> dict[str, KnownMember]:
        """The newest member of each replica."""
        return self.members

    def on_heard(self, replica_id: str, address: str, incarnation: int, now_us: int) -> None:
        """Marks a member as heard from; older incarnations are ignored."""
        known = self.members.get(replica_id)
        if known is None or incarnation > known.incarnation:
            self.members[replica_id] = KnownMember(address, incarnation, now_us)
        elif incarnation == known.incarnation:
            known.is_up, known.heard_us = True, now_us

    def fail_silent(self, now_us: int) -> None:
        """Marks members not heard from for `FAILED_AFTER_US` as down."""
        for member in self.members.values():
            if now_us - member.heard_us >= FAILED_AFTER_US:
                member.is_up = False


class Machine:
    """A controller machine: a clock and, unless it is down, a process."""

    __slots__ = (
        "world",
        "name",
        "address",
        "rate_ppm",
        "clock_offset_us",
        "is_frozen",
        "starts",
        "inbox",
        "is_needed",
        "replica",
        "directory",
        "node",
        "leases",
        "events",
    )

    def __init__(self, world: Any, name: str, address: str, rate_ppm: int) -> None:
        """Creates a machine without a process; `rate_ppm`: how much faster its clock
        runs than real time.
        """
        self.world = world
        self.name = name
        self.address = address
        self.rate_ppm = rate_ppm
        self.clock_offset_us = world.random.randrange(CLOCKS_BEGIN_WITHIN_US)
        self.is_frozen = False
        self.starts = 0
        self.inbox: list[bytes] = []
        self.is_needed = True
        self.replica: StubReplica | None = None
        self.directory = StubDirectory()
        self.node: Node | None = None
        self.leases: ShardLeases | None = None
        self.events: list[tuple[int, str, int]] = []

    # Process

    def start(self, replica_id: str, incarnation: int) -> None:
        """Starts a process as this incarnation of the replica, which doesn't vote yet."""
        self.starts += 1
        self.is_frozen = False
        self.inbox = []
        own_start = self.starts
        ports = Ports(
            clock=self,
            network=MachineNetwork(self),
            storage=None,
            random=random.Random(f"{self.world.seed}/{self.name}/{own_start}"),
            log=lambda number, **facts: None,
        )
        known = self.replica.known if self.replica is not None else {}
        self.replica = StubReplica(replica_id, self.world.replica_ids, incarnation)
        self.replica.known = known
        self.directory = StubDirectory()
        self.directory.on_heard(replica_id, self.address, incarnation, self.world.now_us)
        self.node = Node(self.name, self.address, ports, Bounds(seats=len(self.world.replica_ids)))
        self.leases = ShardLeases(
            self.node,
            f"{self.name}/{own_start}",
            self.replica,
            self.directory,
            is_needed=lambda: self.is_needed,
            listener=self,
        )

    def end(self) -> None:
        """Kills the process."""
        self.node = None
        self.leases = None
        self.is_frozen = False
        self.inbox = []

    @property
    def runs(self) -> bool:
        """Whether the process exists and isn't frozen."""
        return self.node is not None and not self.is_frozen

    def freeze(self) -> None:
        """Suspends the process; lines sent to it wait in its inbox."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Resumes the process, which reads the waiting lines."""
        self.is_frozen = False
        waiting, self.inbox = self.inbox, []
        for line in waiting:
            self.hear(line)

    def hear(self, line: bytes) -> None:
        """Receives a line from the network."""
        if self.node is None:
            return
        if self.is_frozen:
            self.inbox.append(line)
            return
        message = self.node.read_line(line)
        if message is not None:
            self.node.dispatch(message)
        self.world.check(self.name)

    def tick(self) -> None:
        """Runs one iteration of the event loop."""
        if self.node is None or self.is_frozen:
            return
        self.directory.fail_silent(self.world.now_us)
        self.node.tick()
        self.world.check(self.name)

    # Clock

    def now_us(self) -> int:
        """The machine's monotonic time."""
        elapsed_us = self.world.now_us
        return self.clock_offset_us + elapsed_us + elapsed_us * self.rate_ppm // CLOCK_SCALE

    def call_in(self, delay_us: int, action: Callable[[], None], /) -> None:
        """Not supported: the lease code sets no timers."""
        raise NotImplementedError

    # Shard ownership

    def owns(self, shard: int) -> bool:
        """Whether the machine would act as owner of the shard now."""
        if self.leases is None or self.is_frozen:
            return False
        return self.leases.is_owned(shard, self.now_us())

    def on_shard_won(self, shard: int) -> None:
        """Records that the shard was won, with the time."""
        self.events.append((self.world.now_us, "won", shard))

    def on_shard_lost(self, shard: int) -> None:
        """Records that the shard was lost, with the time."""
        self.events.append((self.world.now_us, "lost", shard))


class MachineNetwork:
    """The network as seen by one process of a machine."""

    __slots__ = ("machine", "start")

    def __init__(self, machine: Machine) -> None:
        """Creates the network port of the machine's current process."""
        self.machine = machine
        self.start = machine.starts

    def send(self, address: str, message: Message) -> None:
        """Sends a line, unless the process has ended."""
        if self.start == self.machine.starts and self.machine.node is not None:
            self.machine.world.send(self.machine, address, write_line(message))

    def reconnect(self, address: str) -> None:
        """Has no effect: lines here don't queue behind earlier ones."""

    def open(self, *call: Any) -> Any:
        """Not supported: the lease code makes no HTTP calls."""
        raise NotImplementedError
