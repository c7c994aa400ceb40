"""Seeded random walks through faults; a walk ends with `TwoOwnersError` if the invariant breaks.

Machines are frozen, killed, restarted, replaced and drained, links are cut one way or both ways,
and lines are lost, duplicated and delayed. Replica recovery is modelled only by its guarantee:
before an instance votes, as many others have recorded its incarnation as the real recovery needs.
A replaced machine runs on for a while and doesn't know of its successor.
"""

from collections.abc import Callable

from .machine import Machine
from .world import LeaseWorld

MAX_STEP_US = 120_000
MAX_RECORD_DELAY_US = 150_000
MAX_RECOVERY_US = 600_000
MAX_FORMER_RUN_US = 3_000_000
MAX_FREEZE_US = 1_500_000
DELAYS_US = (2_000, 2_000, 30_000, 300_000, 1_200_000)
MAX_CLOCK_STEP_US = 2_000_000
CLOCK_STEP_INTERVAL_US = 1_000_000
LOSSES = (0.0, 0.0, 0.1, 0.4)
DOUBLINGS = (0.0, 0.1, 0.5)
SEATS = (3, 3, 5)


class Recovery:
    """Recovery of one replica instance before its first vote."""

    __slots__ = ("walk", "machine", "start", "recorders", "needed", "is_restart")

    def __init__(self, walk: "Walk", machine: Machine) -> None:
        """A new machine needs a majority of voting others; a restarted one counts its
        own disk too.
        """
        is_restart = machine in walk.voted
        self.walk = walk
        self.machine = machine
        self.start = machine.starts
        self.recorders: set[str] = set()
        self.needed = machine.replica.majority - is_restart
        self.is_restart = is_restart

    def attempt(self) -> None:
        """Asks each reachable machine after a random delay, then votes or tries again."""
        world, machine = self.walk.world, self.machine
        if machine.starts != self.start or machine.node is None:
            return
        for other in world.machines:
            if other is not machine and other.replica is not None:
                delay_us = world.random.randrange(MAX_RECORD_DELAY_US)
                world.call_in(delay_us, lambda other=other: self._record_at(other))
        world.call_in(MAX_RECORD_DELAY_US, self._vote_or_repeat)

    def _record_at(self, other: Machine) -> None:
        world, machine = self.walk.world, self.machine
        is_reached = not world.is_cut(machine, other) and not world.is_cut(other, machine)
        if not is_reached or not other.runs or not machine.runs or other in self.walk.replaced:
            return
        own = machine.replica
        if other.replica.replica_id == own.replica_id:
            return
        if not other.replica.is_voting and not self.is_restart:
            return
        other.replica.record(own.replica_id, own.incarnation)
        self.recorders.add(other.replica.replica_id)
        for replica_id, incarnation in other.replica.known.items():
            own.record(replica_id, incarnation)

    def _vote_or_repeat(self) -> None:
        if self.machine.starts != self.start or self.machine.node is None:
            return
        if len(self.recorders) >= self.needed:
            self.machine.replica.is_voting = True
            self.walk.voted.add(self.machine)
        else:
            self.attempt()


class Walk:
    """One walk; `go` runs it."""

    __slots__ = ("world", "random", "voted", "replaced", "leapt_us", "num_faults")

    def __init__(self, seed: int) -> None:
        """Creates a core of three or five replicas, by the seed."""
        self.world = LeaseWorld(seed, seats=SEATS[seed % len(SEATS)])
        self.random = self.world.random
        self.voted = set(self.world.machines)
        self.replaced: set[Machine] = set()
        self.leapt_us: dict[Machine, int] = {}
        self.num_faults = 0

    def go(self, span_us: int) -> None:
        """Runs the walk for `span_us`; raises TwoOwnersError if the invariant breaks."""
        faults = self._faults()
        weights = [weight for _, weight in faults]
        until_us = self.world.now_us + span_us
        while self.world.now_us < until_us:
            self.world.run(self.random.randrange(1, MAX_STEP_US))
            (fault, _), *_ = self.random.choices(faults, weights)
            fault()
            self.num_faults += 1

    def _faults(self) -> list[tuple[Callable[[], None], int]]:
        return [
            (lambda: None, 60),
            (self.freeze, 4),
            (self.restart, 2),
            (self.replace, 2),
            (self.drain, 1),
            (self.leap_clock, 2),
            (self.cut_one_way, 3),
            (self.split, 3),
            (self.world.heal, 10),
            (self.disturb_network, 4),
            (self.calm_network, 6),
        ]

    def _any_current(self) -> Machine | None:
        """A random machine that runs as the newest instance of a replica."""
        current = [
            machine
            for machine in self.world.machines
            if machine.node is not None and machine not in self.replaced
        ]
        return self.random.choice(current) if current else None

    def _is_any_recovering(self) -> bool:
        """Whether a replica has no voting instance; no further one is replaced then."""
        current = [one for one in self.world.machines if one not in self.replaced]
        return not all(machine.replica.is_voting for machine in current)

    # Process faults

    def freeze(self) -> None:
        """Suspends a process for a while."""
        machine = self._any_current()
        if machine is None or machine.is_frozen:
            return
        start = machine.starts
        machine.freeze()

        def thaw() -> None:
            if machine.starts == start and machine.node is not None:
                machine.thaw()

        self.world.call_in(self.random.randrange(1, MAX_FREEZE_US), thaw)

    def restart(self) -> None:
        """Kills a process and restarts it with its disk, under the next incarnation."""
        machine = self._any_current()
        if machine is None or machine.replica.replica_id == "":
            return
        replica = machine.replica
        machine.end()

        def start() -> None:
            machine.start(replica.replica_id, replica.incarnation + 1)
            Recovery(self, machine).attempt()

        self.world.call_in(self.random.randrange(1, MAX_RECOVERY_US), start)

    def replace(self) -> None:
        """Has a new machine take over a replica while the former one runs on and ends later."""
        former = self._any_current()
        if former is None or not former.replica.is_voting or self._is_any_recovering():
            return
        self.replaced.add(former)
        replica = former.replica
        machine = self.world.add_machine()
        machine.start(replica.replica_id, replica.incarnation + 1)
        Recovery(self, machine).attempt()
        self.world.call_in(
            self.random.randrange(1, MAX_FORMER_RUN_US), lambda: self._remove(former)
        )

    def _remove(self, machine: Machine) -> None:
        machine.end()
        machine.replica.is_voting = False

    def drain(self) -> None:
        """Shuts a process down in a planned way: it votes until it ends, and is restarted."""
        machine = self._any_current()
        if machine is None or machine.is_frozen:
            return
        machine.leases.release(lambda: None)
        self.restart_later(machine)

    def restart_later(self, machine: Machine) -> None:
        """Ends and restarts the process after a random delay."""
        replica, start = machine.replica, machine.starts

        def end() -> None:
            if machine.starts != start or machine.node is None or machine in self.replaced:
                return
            machine.end()
            machine.start(replica.replica_id, replica.incarnation + 1)
            Recovery(self, machine).attempt()

        self.world.call_in(self.random.randrange(1, MAX_RECOVERY_US), end)

    def leap_clock(self) -> None:
        """Moves a machine's clock forward by a random step.

        A voter's margin covers one such step within the time of a promise.
        """
        machine = self._any_current()
        now_us = self.world.now_us
        if (
            machine is None
            or now_us - self.leapt_us.get(machine, -CLOCK_STEP_INTERVAL_US) < CLOCK_STEP_INTERVAL_US
        ):
            return
        self.leapt_us[machine] = now_us
        machine.clock_offset_us += self.random.randrange(MAX_CLOCK_STEP_US)

    # Network faults

    def cut_one_way(self) -> None:
        """Cuts the links from some machines to some others."""
        machines = self.world.machines
        sources = [machine for machine in machines if self.random.random() < 0.4]
        targets = [machine for machine in machines if self.random.random() < 0.4]
        self.world.cut(sources, targets)

    def split(self) -> None:
        """Splits the machines into two sides."""
        self.world.heal()
        self.world.split([one for one in self.world.machines if self.random.random() < 0.5])

    def disturb_network(self) -> None:
        """Starts losing, duplicating and delaying lines."""
        self.world.delay_us = self.random.choice(DELAYS_US)
        self.world.loss = self.random.choice(LOSSES)
        self.world.doubling = self.random.choice(DOUBLINGS)

    def calm_network(self) -> None:
        """Ends loss, duplication and extra delay."""
        self.world.delay_us = DELAYS_US[0]
        self.world.loss = self.world.doubling = 0.0
