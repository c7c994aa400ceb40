"""Runs of one large simulated fleet, with a configuration change and failures."""

import time

import psutil

from ..fleet import percentile
from .hollow import SECOND, HollowFleet

MAX_READY_US = 60 * SECOND
MAX_CONVERGENCE_US = 20 * SECOND
STEP_US = 100_000
ROUTERS_PER_RACK = 16


def rss_mb():
    """Resident memory of this process in MiB."""
    return round(psutil.Process().memory_info().rss / 1_048_576, 1)


class LargeRun:
    """One simulated fleet of a given shape: started, measured, reconfigured, then with failures.

    A machine, a rack and a zone fail in turn. Each step reports its simulated and real duration and
    the resident memory.
    """

    __slots__ = ("shape", "report", "fleet", "begun", "at_us")

    def __init__(self, shape, seed, report):
        self.shape = shape
        self.report = report
        self.begun = time.monotonic()
        rss = rss_mb()
        self.fleet = HollowFleet(shape, seed)
        self.at_us = 0
        self._report_step("built", **shape.as_record(), rss_before_mb=rss)

    def _report_step(self, step, **facts):
        now = time.monotonic()
        world_us = self.fleet.world.now_us
        self.report(
            {
                "step": step,
                "simulated_s": round((world_us - self.at_us) / SECOND, 1),
                "real_s": round(now - self.begun, 1),
                "rss_mb": rss_mb(),
                **facts,
            }
        )
        self.begun, self.at_us = now, world_us

    def run(self, seconds, has_failures):
        """Runs all steps; failures only if `has_failures`."""
        fleet = self.fleet
        try:
            fleet.start()
        except AssertionError as fault:
            return self._report_step("not ready", why=str(fault), **self._count_views())
        self._report_step("ready", **self._count_views())
        if self.shape.rate:
            fleet.load(self.shape.rate)
            fleet.world.run_for(2 * SECOND)
        told = fleet.measure(seconds)
        for role, figures in told.items():
            self._report_step(
                "measured", role=role, **{name: round(value, 1) for name, value in figures.items()}
            )
        for role in told:
            if role != "runner":
                self._report_step(
                    "channels", role=role, **dict(list(fleet.channels(role).items())[:6])
                )
        self._measure_configuration_change()
        if not has_failures:
            return
        routers, runners = list(fleet.routers.values()), list(fleet.runners.values())
        self._fail_hosts("machine", routers[-1:])
        self._fail_hosts(
            "rack", [*routers[1 : 1 + ROUTERS_PER_RACK], *runners[1 : 1 + 2 * ROUTERS_PER_RACK]]
        )
        zone = fleet.deployment.zones[-1]
        self._fail_hosts(
            "zone",
            [host for host in [*routers, *runners] if host.zone == zone and host.node is not None],
        )

    def _count_views(self):
        hosts = [host for host in self.fleet.routers.values() if host.node is not None]
        counts = [len(host.node.membership.live_members("router")) + 1 for host in hosts]
        seen = [len(host.node.roster.open_runners()) for host in hosts]
        return {
            "routers_up": len(hosts),
            "open_routers": sum(host.node.may_start() for host in hosts),
            "live_seen": [min(counts), max(counts)],
            "open_runners_seen": [min(seen), max(seen)],
        }

    def _measure_configuration_change(self):
        """Measures the time from an operator's put until each router has the new configuration."""
        fleet, world = self.fleet, self.fleet.world
        held = {
            host.name: host.node.snapshot.value
            for host in fleet.routers.values()
            if host.node is not None
        }
        begun_us, delays = world.now_us, []
        fleet.change_configuration()
        while held and world.now_us < begun_us + MAX_CONVERGENCE_US:
            world.run_for(10_000)
            for name in [
                name
                for name, value in held.items()
                if fleet.routers[name].node.snapshot.value is not value
            ]:
                del held[name]
                delays.append((world.now_us - begun_us) / 1_000)
        self._report_step(
            "configuration",
            without_it=len(held),
            acked=len(fleet.acked),
            **{f"p{int(share * 100)}_ms": percentile(delays, share) for share in (0.5, 0.99)},
            max_ms=max(delays, default=None),
        )

    def _fail_hosts(self, what, hosts):
        """Kills hosts; measures until every other router sees them as down or no longer open."""
        fleet, world = self.fleet, self.fleet.world
        dead = {host.name for host in hosts}
        for host in hosts:
            host.kill()
        begun_us = world.now_us
        left = [host for host in fleet.routers.values() if host.node is not None]
        told = {"routers": None, "runners": None}
        while None in told.values() and world.now_us < begun_us + MAX_CONVERGENCE_US:
            world.run_for(STEP_US)
            now_ms = (world.now_us - begun_us) // 1_000
            if told["routers"] is None and not any(self._sees_router(host, dead) for host in left):
                told["routers"] = now_ms
            if told["runners"] is None and not any(self._sees_runner(host, dead) for host in left):
                told["runners"] = now_ms
        self._report_step(
            f"lost a {what}", machines=len(hosts), gone_everywhere_ms=told, **self._count_views()
        )

    def _sees_router(self, host, dead):
        return any(other.name in dead for other in host.node.membership.live_members("router"))

    def _sees_runner(self, host, dead):
        return any(other.name in dead for other in host.node.roster.open_runners())
