"""A simulated fleet of real nodes in one process, with meters around their ports."""

import gc

from linkhaven.configuration.history import KEPT_UPDATES
from linkhaven.controller import SINGLETON_ROLES

from ..fleet import Deployment, SimFleet
from ..standins import Speeds
from ..world import Conn, Host, SimDisk, World
from .heap import heap_bytes
from .meter import ChannelStats, Meter, is_data

SECOND = 1_000_000
FAST_RUNNER = {"prefill_rate": 400_000, "read_base_us": 200, "step_us": 2_000, "step_each_us": 10}
MAX_HEAP_SAMPLES = 3
HOUR_TOKENS = 10**12
SETTLE_US, STEP_US = 5_000_000, 2_000


class Shape:
    """Size and load of a fleet: `rate` in requests a second, `configurations` a minute."""

    __slots__ = (
        "routers",
        "runners",
        "groups",
        "kinds",
        "rate",
        "configurations",
        "zones",
        "answer_tokens",
    )

    BASE = {
        "routers": 8,
        "runners": 16,
        "groups": 8,
        "kinds": 8,
        "rate": 8,
        "configurations": 0,
        "zones": 2,
        "answer_tokens": 40,
    }

    def __init__(self, **given):
        unknown = set(given) - set(self.BASE)
        if unknown:
            raise TypeError(f"no such numbers: {sorted(unknown)}")
        for name, value in {**self.BASE, **given}.items():
            setattr(self, name, value)

    def as_record(self):
        return {name: getattr(self, name) for name in self.__slots__}

    def deployment(self):
        groups = {
            f"group-{place}": {
                "credit": {"tokens": HOUR_TOKENS, "period_us": 10 * SECOND},
                "weight": 1.0,
            }
            for place in range(self.groups)
        }
        kinds = {
            f"kind-{place}": {
                "group": f"group-{place % self.groups}",
                "ttft_us": 2 * SECOND,
                "tpot_us": 60_000,
                "deadline_us": 30 * SECOND,
                "prompt_tokens": 4_000,
                "answer_tokens": 400,
                "resumable": True,
            }
            for place in range(self.kinds)
        }
        mix = {kind: (1 / self.kinds, 200, self.answer_tokens) for kind in kinds}
        zones = tuple(f"zone-{place}" for place in range(self.zones))
        return Deployment(
            "hollow",
            zones,
            self.routers,
            self.runners,
            max(1, self.runners // 3),
            groups,
            kinds,
            mix,
            float(self.rate or 1),
        )


class AckedRecord(list):
    """An event record that keeps only acknowledgements, which the fleet itself reads."""

    def append(self, row):
        if row[1] == "acked":
            super().append(row)


class HollowFleet(SimFleet):
    """A simulated fleet of real nodes in one process, each behind a meter."""

    __slots__ = ("meter", "shape", "puts", "acked", "unacked")

    def __init__(self, shape, seed):
        self.meter = Meter()
        self.shape = shape
        self.puts = 0
        self.acked = []
        self.unacked = []
        deployment = shape.deployment()
        plan = deployment.plan(taichi={"search": False})
        super().__init__(deployment, seed, Speeds(**FAST_RUNNER), plan=plan)
        self.world.record = AckedRecord()

    def _host(self, name, zone, address, build, disk=None):
        return super()._host(
            name, zone, address, lambda host, ports: self.meter.wrap(host, ports, build), disk
        )

    def change_configuration(self):
        """Puts the next configuration, which changes the weight of the first group."""
        self.puts += 1
        first, begun_us = next(iter(self.plan["groups"])), self.world.now_us
        groups = {
            **self.plan["groups"],
            first: {**self.plan["groups"][first], "weight": 1.0 + self.puts / 1000},
        }
        self.plan = {**self.plan, "groups": groups}

        def done(status, document):
            held = self.acked if status == 200 else self.unacked
            held.append((begun_us, self.world.now_us, status))

        self.put_plan(self.plan, self.puts, done=done)

    def fill_history(self):
        """Makes as many changes as the history keeps, so that further ones no longer grow it."""
        for _ in range(KEPT_UPDATES):
            self.change_configuration()
            self.world.wait_for(self._has_answers, SETTLE_US, STEP_US)
        if len(self.acked) < KEPT_UPDATES:
            raise RuntimeError(f"only {len(self.acked)} of {KEPT_UPDATES} changes were taken")
        self.acked, self.unacked = [], []

    def _has_answers(self):
        return len(self.acked) + len(self.unacked) == self.puts

    def plan_changes(self, seconds):
        """Schedules the configuration changes of a window, evenly spread."""
        count = int(self.shape.configurations * seconds / 60)
        for place in range(count):
            self.world.after(
                (2 * place + 1) * seconds * SECOND // (2 * count), self.change_configuration
            )

    def roles(self):
        """The running hosts of each role; singleton roles by their current lease holder."""
        roles = {"router": [host for host in self.routers.values() if host.node is not None]}
        for role in SINGLETON_ROLES:
            roles[role] = [
                host
                for host in self.registries.values()
                if host.node is not None and host.node.leases[role].is_held()
            ]
        roles["runner"] = [host for host in self.runners.values() if host.node is not None]
        return roles

    def heap_of(self, host):
        """Heap bytes of a host's node, without the simulation around it."""
        return heap_bytes(host.node.node, (World, Host, Conn, SimDisk, Meter, ChannelStats))

    def measure(self, seconds):
        """Runs a window of simulated time; returns the mean figures of each role."""
        gc.collect()
        gc.freeze()
        self.meter.reset()
        self.plan_changes(seconds)
        self.world.run_for(seconds * SECOND)
        told = {
            role: self._figures(role, hosts, seconds)
            for role, hosts in self.roles().items()
            if hosts
        }
        gc.unfreeze()
        return told

    def _figures(self, role, hosts, seconds):
        rows = [self._figures_of(self.meter.tally_of(host), seconds) for host in hosts]
        figures = {name: sum(row[name] for row in rows) / len(rows) for name in rows[0]}
        if role == "runner":
            return {
                name: value
                for name, value in figures.items()
                if not name.startswith(("cpu", "data_cpu", "written", "turn"))
            }
        sampled = hosts[:MAX_HEAP_SAMPLES]
        figures["heap_bytes"] = sum(self.heap_of(host) for host in sampled) / len(sampled)
        if hosts[0].disk is not None:
            figures["disk_bytes"] = sum(len(str(host.disk.synced)) for host in hosts) / len(hosts)
        return figures

    def _figures_of(self, tally, seconds):
        figures = {}
        for name, table in (("sent", tally.sent), ("heard", tally.heard)):
            for prefix, wanted in (("", False), ("data_", True)):
                rows = [row for channel, row in table.items() if is_data(channel) == wanted]
                figures[f"{prefix}{name}_messages"] = sum(row[0] for row in rows) / seconds
                figures[f"{prefix}{name}_bytes"] = sum(row[1] for row in rows) / seconds
        for prefix, wanted in (("", False), ("data_", True)):
            spent_ns = sum(
                spent for channel, spent in tally.spent_ns.items() if is_data(channel) == wanted
            )
            figures[f"{prefix}cpu_us"] = spent_ns / 1_000 / seconds
        turns = sorted(tally.turns_ns)
        figures["turn_p99_us"] = turns[int(len(turns) * 0.99)] / 1_000 if turns else 0.0
        figures["written_messages"], figures["written_bytes"] = (
            amount / seconds for amount in tally.written
        )
        return figures

    def channels(self, role):
        """Messages, bytes and processor time of a role's first host by channel, most time first."""
        hosts = self.roles()[role]
        tally = self.meter.tally_of(hosts[0])
        names = {*tally.sent, *tally.heard, *tally.spent_ns}
        rows = {
            name: {
                "sent": tally.sent.get(name, [0, 0]),
                "heard": tally.heard.get(name, [0, 0]),
                "cpu_us": tally.spent_ns.get(name, 0) // 1_000,
            }
            for name in names
        }
        return dict(sorted(rows.items(), key=lambda item: -item[1]["cpu_us"]))
