"""Faults of core machines, their disks and the links among them."""

from .base import SECOND, FaultsBase

REJOINED_S = 6  # by then a machine in a new seat has rejoined


class CoreFaults(FaultsBase):
    """Core machines, their disks, and the links among them."""

    __slots__ = ()

    def _seat(self, seat):
        return self.fleet.registries[seat or self.pick(self.fleet.registries)]

    def kill_core(self, seat=None):
        """Kill a core machine; it restarts with its disk."""
        return self._kill_all([self._seat(seat)])

    def freeze_core(self, seat=None):
        """Freeze a core machine."""
        host = self._seat(seat)
        host.freeze()
        return host.wake

    def freeze_holder(self, role="steward"):
        """Freeze the core machine that holds a role."""
        for host in self.fleet.registries.values():
            if host.node and host.node.leases[role].is_held():
                host.freeze()
                return host.wake
        return None

    def freeze_seat_in_a_put(self, seat=None, after_us=None):
        """Freeze a core machine while a put is in its first or second round of messages."""
        host = self._seat(seat)
        fleet, mark = self.fleet, self.fleet.acked_mark()
        fleet.put_plan(fleet.plan, mark, None, 0)
        self.world.after(after_us or self.world.dice.randrange(500, 12_000), host.freeze)
        return host.wake

    def empty_core(self, seat=None):
        """Lose a core machine with its disk; an empty one takes its seat at a new address."""
        seat = seat or self.pick(self.fleet.registries)
        host = self.fleet.registries[seat]
        host.kill()
        self.world.after(SECOND, lambda: self._put_in_seat(seat, host.zone))

    def exchange_seeds(self, pause_s=REJOINED_S):
        """Replace the seed machines, which are the core's, one after another; the settings
        follow."""

        def exchange(seat):
            fleet = self.fleet
            old = fleet.registries[seat]
            old.kill()
            new = self._put_in_seat(seat, old.zone)
            fleet.seeds[:] = [new.address if seed == old.address else seed for seed in fleet.seeds]

        self._each_in_turn(sorted(self.fleet.registries), pause_s * SECOND, exchange)

    def exchange_awake_core(self, seat=None):
        """Replace a frozen core machine, which then wakes beside its successor."""
        seat = seat or self.pick(self.fleet.registries)
        old = self.fleet.registries[seat]
        old.freeze()
        self._put_in_seat(seat, old.zone)
        self.fleet.former.append(old)
        return old.wake

    def lossy_core(self, seat=None, loses=8):
        """Kill a core machine whose disk loses its last `loses` acknowledged writes."""
        host = self._seat(seat)
        host.disk.loses = loses
        host.kill()

        def come_back():
            host.disk.loses = 0
            if host.node is None:
                host.start()

        return come_back

    def restart_core(self):
        """Kill all core machines at once; they restart with their disks."""
        return self._kill_all(self.fleet.registries.values())

    def full_disk(self, seat=None):
        """A core disk is full: its writes fail."""
        disk = self._seat(seat).disk
        disk.is_full = True
        return disk.mend

    def full_disk_in_a_rejoin(self, seat=None):
        """Restart a core machine on a disk that is full until the fault closes."""
        host = self._seat(seat)
        host.kill()
        host.disk.is_full = True
        host.start()
        return host.disk.mend

    def stall_disk(self, seat=None):
        """A core disk's syncs don't return."""
        disk = self._seat(seat).disk
        disk.is_stalled = True
        return disk.mend

    def stall_disk_in_a_put(self, seat=None):
        """A core disk's syncs stop returning while a put is under way."""
        fleet = self.fleet
        fleet.put_plan(fleet.plan, fleet.acked_mark(), None, 0)
        return self.stall_disk(seat)

    def slow_disk(self, seat=None):
        """A core disk takes 300 ms for each sync."""
        disk = self._seat(seat).disk
        disk.sync_us = 300_000
        return disk.mend

    def slow_disks(self):
        """All core disks take 120 ms for each sync."""
        disks = [host.disk for host in self.fleet.registries.values()]
        for disk in disks:
            disk.sync_us = 120_000
        return lambda: [disk.mend() for disk in disks]

    def cut_core(self, seat=None):
        """Split the core, and the edge with it: a third of the routers stays with the lone seat."""
        lone = self._seat(seat).name
        names = sorted(self.fleet.routers)
        side = names[: len(names) // 3]
        rest = [name for name in self._inside() if name != lone and name not in side]
        self.world.cut([lone, *side], rest)
        return self.world.heal

    def cut_core_from_edge(self):
        """Routers reach only one seat; the two others reach each other, the platform and the
        runners."""
        lone = self._seat(None).name
        pair = [host.name for host in self.fleet.registries.values() if host.name != lone]
        self.world.cut(pair, [lone, *self.fleet.routers])
        return self.world.heal

    def cut_core_apart(self):
        """No seat reaches another; all reach the edge."""
        names = [host.name for host in self.fleet.registries.values()]
        self.world.cut(names, names)
        return self.world.heal

    def cut_seat_from_seats(self, seat=None):
        """One seat loses the other seats, and still reaches the rest."""
        lone = self._seat(seat).name
        self.world.cut(
            [lone], [host.name for host in self.fleet.registries.values() if host.name != lone]
        )
        return self.world.heal

    def cut_seat_from_edge(self, seat=None):
        """One seat loses all routers."""
        self.world.cut([self._seat(seat).name], list(self.fleet.routers))
        return self.world.heal

    def cut_seats_one_way(self):
        """One seat receives from another, which doesn't receive from it."""
        source, target = self.pick_some([host.name for host in self.fleet.registries.values()], 2)
        self.world.cuts.add((source, target))
        return self.world.heal

    def slow_seat(self, seat=None, extra_us=400_000):
        """Messages of one seat are delayed by `extra_us` and jitter."""
        name = self._seat(seat).name
        for other in self._inside():
            if other != name:
                self.world.slow[(name, other)] = extra_us
        return self.world.heal
