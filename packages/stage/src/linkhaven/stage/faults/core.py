from .base import SECOND, FaultsBase

REJOINED_S = 6


class CoreFaults(FaultsBase):
    """Core machines, their disks, and the links among them."""

    __slots__ = ()

    def _seat(self, seat):
        return self.fleet.registries[seat or self.pick(self.fleet.registries)]

    def kill_core(self, seat=None):
        return self._kill_all([self._seat(seat)])

    def freeze_core(self, seat=None):
        host = self._seat(seat)
        host.freeze()
        return host.wake

    def freeze_holder(self, role="steward"):
        for host in self.fleet.registries.values():
            if host.node and host.node.leases[role].is_held():
                host.freeze()
                return host.wake
        return None

    def freeze_seat_in_a_put(self, seat=None, after_us=None):
        """A seat freezes while a put is in its first or second round."""
        host = self._seat(seat)
        fleet, mark = self.fleet, self.fleet.acked_mark()
        fleet.put_plan(fleet.plan, mark, None, 0)
        self.world.after(after_us or self.world.dice.randrange(500, 12_000), host.freeze)
        return host.wake

    def empty_core(self, seat=None):
        """A core machine is lost; another takes its seat, empty, at a new address."""
        seat = seat or self.pick(self.fleet.registries)
        host = self.fleet.registries[seat]
        host.kill()
        self.world.after(SECOND, lambda: self._put_in_seat(seat, host.zone))

    def exchange_seeds(self, pause_s=REJOINED_S):
        """The seed machines, which are the core's, are exchanged one after another; settings follow."""

        def exchange(seat):
            fleet = self.fleet
            old = fleet.registries[seat]
            old.kill()
            new = self._put_in_seat(seat, old.zone)
            fleet.seeds[:] = [new.address if seed == old.address else seed for seed in fleet.seeds]

        self._each_in_turn(sorted(self.fleet.registries), pause_s * SECOND, exchange)

    def exchange_awake_core(self, seat=None):
        """A frozen core machine is replaced, then wakes beside its successor."""
        seat = seat or self.pick(self.fleet.registries)
        old = self.fleet.registries[seat]
        old.freeze()
        self._put_in_seat(seat, old.zone)
        self.fleet.former.append(old)
        return old.wake

    def lossy_core(self, seat=None, loses=8):
        host = self._seat(seat)
        host.disk.loses = loses
        host.kill()

        def come_back():
            host.disk.loses = 0
            if host.node is None:
                host.start()

        return come_back

    def restart_core(self):
        return self._kill_all(self.fleet.registries.values())

    def full_disk(self, seat=None):
        disk = self._seat(seat).disk
        disk.is_full = True
        return disk.mend

    def full_disk_in_a_rejoin(self, seat=None):
        """A seat starts again on a disk that is full until the fault closes."""
        host = self._seat(seat)
        host.kill()
        host.disk.is_full = True
        host.start()
        return host.disk.mend

    def stall_disk(self, seat=None):
        disk = self._seat(seat).disk
        disk.is_stalled = True
        return disk.mend

    def stall_disk_in_a_put(self, seat=None):
        fleet = self.fleet
        fleet.put_plan(fleet.plan, fleet.acked_mark(), None, 0)
        return self.stall_disk(seat)

    def slow_disk(self, seat=None):
        disk = self._seat(seat).disk
        disk.sync_us = 300_000
        return disk.mend

    def slow_disks(self):
        """Every core disk at once."""
        disks = [host.disk for host in self.fleet.registries.values()]
        for disk in disks:
            disk.sync_us = 120_000
        return lambda: [disk.mend() for disk in disks]

    def cut_core(self, seat=None):
        """The core is cut in two, and the edge with it: a third goes with the lone seat."""
        lone = self._seat(seat).name
        names = sorted(self.fleet.routers)
        side = names[: len(names) // 3]
        rest = [name for name in self._inside() if name != lone and name not in side]
        self.world.cut([lone, *side], rest)
        return self.world.heal

    def cut_core_from_edge(self):
        """The edge keeps one seat; the two others keep each other, the platform and the runners."""
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
        lone = self._seat(seat).name
        self.world.cut(
            [lone], [host.name for host in self.fleet.registries.values() if host.name != lone]
        )
        return self.world.heal

    def cut_seat_from_edge(self, seat=None):
        self.world.cut([self._seat(seat).name], list(self.fleet.routers))
        return self.world.heal

    def cut_seats_one_way(self):
        """One seat hears another, and is not heard by it."""
        source, target = self.pick_some([host.name for host in self.fleet.registries.values()], 2)
        self.world.cuts.add((source, target))
        return self.world.heal

    def slow_seat(self, seat=None, extra_us=400_000):
        """What one seat sends comes late, and jitters."""
        name = self._seat(seat).name
        for other in self._inside():
            if other != name:
                self.world.slow[(name, other)] = extra_us
        return self.world.heal
