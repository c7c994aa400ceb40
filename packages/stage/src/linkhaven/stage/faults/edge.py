"""Faults of routers, whole zones, clocks, and the links between machines."""

from .base import SECOND, FaultsBase

YEAR_US = 365 * 24 * 3600 * SECOND


class EdgeFaults(FaultsBase):
    """Routers, whole zones, clocks, and the links between machines."""

    __slots__ = ()

    def kill_router(self, name=None, restart=True):
        """Kill a router; it restarts when the fault closes, unless `restart` is False."""
        host = self.fleet.routers[name or self.pick(self.fleet.routers)]
        host.kill()
        return host.start if restart else None

    def kill_many_routers(self, count=None):
        """Kill all routers but two, or `count` of them."""
        names = self.pick_some(self.fleet.routers, count or len(self.fleet.routers) - 2)
        return self._kill_all([self.fleet.routers[name] for name in names])

    def kill_many(self):
        """Kill half the routers, a core machine and a runner at once."""
        fleet = self.fleet
        routers = self.pick_some(fleet.routers, len(fleet.routers) // 2)
        return self._kill_all(
            [
                *[fleet.routers[name] for name in routers],
                fleet.registries[self.pick(fleet.registries)],
                fleet.runners[self.pick(fleet.runners)],
            ]
        )

    def restart_fleet(self):
        """Kill every process of ours and every runner at once."""
        return self._kill_all(
            [host for host in self._hosts().values() if host is not self.fleet.platform]
        )

    def roll_routers(self, pause_s=2):
        """Restart every router, one after another."""

        def restart(name):
            host = self.fleet.routers[name]
            host.kill()
            self.world.after(SECOND // 2, lambda: host.start() if host.node is None else None)

        self._each_in_turn(sorted(self.fleet.routers), pause_s * SECOND, restart)

    def freeze_router(self, name=None):
        """Freeze a router."""
        host = self.fleet.routers[name or self.pick(self.fleet.routers)]
        host.freeze()
        return host.wake

    def kill_zone(self, zone=None):
        """Kill all machines of a zone: its core machine, routers and runners."""
        return self._kill_all(self._in_zone(zone or self.pick(self.fleet.deployment.zones)))

    def freeze_zone(self, zone=None):
        """Freeze all machines of a zone."""
        hosts = self._in_zone(zone or self.pick(self.fleet.deployment.zones))
        for host in hosts:
            host.freeze()
        return lambda: [host.wake() for host in hosts]

    def cut_zone(self, zone=None):
        """One zone loses its links to all others; callers still reach its routers."""
        zone = zone or self.pick(self.fleet.deployment.zones)
        hosts = self._hosts()
        inside = [name for name, host in hosts.items() if host.zone == zone]
        self.world.cut(inside, [name for name in hosts if name not in inside])
        return self.world.heal

    def jump_clock(self, name=None, jump_us=5 * SECOND):
        """Move one machine's monotonic clock forward."""
        nodes = {
            **self.fleet.routers,
            **{host.name: host for host in self.fleet.registries.values()},
        }
        host = nodes[name or self.pick(nodes)]
        host.skew_us += jump_us

    def jump_clocks(self):
        """Move the clocks of several machines at once: monotonic clocks forward; wall clocks
        forward, back or by a year, on nodes, runners and the platform. A router and a runner
        restart with those clocks."""
        hosts, dice = self._hosts(), self.world.dice
        for name in self.pick_some(hosts, len(hosts) // 2):
            hosts[name].wall_skew_us += dice.choice(
                (30 * SECOND, -30 * SECOND, YEAR_US, -self.world.now_us // 2)
            )
        for name in self.pick_some(
            [*self.fleet.routers, *[host.name for host in self.fleet.registries.values()]], 4
        ):
            hosts[name].skew_us += dice.choice((SECOND // 2, 2 * SECOND, 7 * SECOND, 40 * SECOND))
        router, runner = (
            self.fleet.routers[self.pick(self.fleet.routers)],
            self.fleet.runners[self.pick(self.fleet.runners)],
        )
        router.wall_skew_us = runner.wall_skew_us = -3_600 * SECOND
        return self._kill_all([router, runner])

    def cut_router(self, name=None):
        """Cut a router off from all machines; callers still reach it."""
        self.world.cut([name or self.pick(self.fleet.routers)], self._inside())
        return self.world.heal

    def cut_router_one_way(self, name=None):
        """A router receives nothing, while what it sends arrives."""
        name = name or self.pick(self.fleet.routers)
        for other in self._inside():
            if other != name:
                self.world.cuts.add((other, name))
        return self.world.heal

    def cut_router_from_core(self, name=None):
        """A router loses the core and the other routers, and still reaches runners and callers."""
        name = name or self.pick(self.fleet.routers)
        runners = [*self.fleet.runners, name]
        self.world.cut([name], [other for other in self._inside() if other not in runners])
        return self.world.heal

    def slow_nodes(self, extra_us=250_000):
        """Delay and jitter on every link between our machines, except links to runners."""
        names = [name for name in self._inside() if name not in self.fleet.runners]
        for name in names:
            for other in names:
                self.world.slow[(name, other)] = extra_us
        return self.world.heal
