"""The simulated core: real time, the network between the machines, and the check of the invariant.

A run is a function of the seed. Each machine has its own clock, which runs slightly faster or
slower than real time. Lines are delayed, lost, duplicated and reordered as configured.
"""

import heapq
import random
from collections.abc import Callable

from .machine import Machine

TICK_US = 20_000
HEARTBEAT_US = 250_000
ONE_WAY_US = 1_000
REPLICA_NAMES = ("a", "b", "c", "d", "e", "f", "g")
RATE_PPM = 20_000
"""Most by which a clock runs fast or slow; two clocks differ by less than the drift margin."""


class TwoOwnersError(Exception):
    """Two machines would act as owner of one shard at the same time."""


class LeaseWorld:
    """Machines (initially one for each replica), the network between them, and real time."""

    __slots__ = (
        "seed",
        "random",
        "replica_ids",
        "now_us",
        "machines",
        "queue",
        "serial",
        "cuts",
        "loss",
        "doubling",
        "delay_us",
        "num_sent",
        "bytes_sent",
    )

    def __init__(self, seed: int = 1, seats: int = 5, are_clocks_alike: bool = False) -> None:
        """Starts all replicas at once, on a network without faults."""
        self.seed = seed
        self.random = random.Random(seed)
        self.replica_ids = REPLICA_NAMES[:seats]
        self.now_us = 0
        self.machines: list[Machine] = []
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.doubling = 0.0
        self.delay_us = 2 * ONE_WAY_US
        self.num_sent = self.bytes_sent = 0
        for replica_id in self.replica_ids:
            machine = self.add_machine(0 if are_clocks_alike else None)
            machine.start(replica_id, 1)
            machine.replica.is_voting = True
        self._heartbeat()

    def add_machine(self, rate_ppm: int | None = None) -> Machine:
        """Adds a machine without a process; its clock rate is random unless given."""
        number = len(self.machines) + 1
        if rate_ppm is None:
            rate_ppm = self.random.choice((-RATE_PPM, 0, RATE_PPM))
        machine = Machine(self, f"m{number}", f"10.0.0.{number}:7000", rate_ppm)
        self.machines.append(machine)
        self.call_in(self.random.randrange(TICK_US), lambda: self._tick(machine))
        return machine

    # Time

    def call_in(self, delay_us: int, action: Callable[[], None]) -> None:
        """Runs `action` after `delay_us` of real time."""
        self.serial += 1
        heapq.heappush(self.queue, (self.now_us + delay_us, self.serial, action))

    def run(self, span_us: int) -> None:
        """Advances real time by `span_us`."""
        until_us = self.now_us + span_us
        while self.queue and self.queue[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self.queue)
            action()
        self.now_us = until_us

    def _tick(self, machine: Machine) -> None:
        machine.tick()
        self.call_in(TICK_US, lambda: self._tick(machine))

    # Network

    def is_cut(self, source: Machine, target: Machine) -> bool:
        """Whether the link from `source` to `target` is cut."""
        return (source.name, target.name) in self.cuts

    def send(self, source: Machine, address: str, line: bytes) -> None:
        """Sends a line, which may be lost or duplicated."""
        self.num_sent += 1
        self.bytes_sent += len(line)
        target = next((machine for machine in self.machines if machine.address == address), None)
        if target is None or self.random.random() < self.loss:
            return
        for _ in range(1 + (self.random.random() < self.doubling)):
            delay_us = self.random.randrange(ONE_WAY_US, self.delay_us + 1)
            self.call_in(delay_us, lambda: self._deliver(source, target, line))

    def _deliver(self, source: Machine, target: Machine, line: bytes) -> None:
        if not self.is_cut(source, target):
            target.hear(line)

    def _heartbeat(self) -> None:
        """Models membership without its messages: reachable machines learn of each other."""
        self.call_in(HEARTBEAT_US, self._heartbeat)
        for source in self.machines:
            for target in self.machines:
                if source.runs and target.runs and not self.is_cut(source, target):
                    self._introduce(source, target)

    def _introduce(self, source: Machine, target: Machine) -> None:
        replica = source.replica
        if replica.replica_id:
            target.directory.on_heard(
                replica.replica_id, source.address, replica.incarnation, self.now_us
            )

    # Network partitions

    def cut(self, sources: list[Machine], targets: list[Machine]) -> None:
        """Cuts the link from each source to each target, in this direction only."""
        self.cuts |= {(one.name, other.name) for one in sources for other in targets}

    def split(self, side: list[Machine]) -> None:
        """Cuts all links between `side` and the other machines, both ways."""
        others = [machine for machine in self.machines if machine not in side]
        self.cut(side, others)
        self.cut(others, side)

    def heal(self) -> None:
        """Restores all links."""
        self.cuts.clear()

    # Invariant

    def owners_of(self, shard: int) -> list[Machine]:
        """The machines that would act as owner of a shard now."""
        return [machine for machine in self.machines if machine.owns(shard)]

    def check(self, name: str) -> None:
        """Raises TwoOwnersError if two machines own a shard after an event at machine `name`."""
        for shard in range(len(self.replica_ids)):
            owners = self.owners_of(shard)
            if len(owners) > 1:
                names = [machine.name for machine in owners]
                raise TwoOwnersError(f"shard {shard} at {self.now_us} us, after {name}: {names}")
