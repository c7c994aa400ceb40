"""Runs one seed: starts the fleet, its load, operators and faults, and judges the records."""

import json
import os
import signal
import time

import msgspec

from ..loopback import LoadRun
from ..tenants import TenantPopulation
from .fleet import SoakFleet
from .hot_tenant import HotTenant
from .injector import Injector
from .invalid_changes import InvalidChanger
from .judge import judge_soak, required_end_us
from .operators import PlanChanger, TenantChanger
from .records import Record
from .relay import now_us
from .schedule import SECOND_US, draw_schedule, process_roles

REQUESTS_PER_S = 5
"""Requests per second that one decode runner can serve alone, with some reserve."""

ONE_TIME_SHARE = 0.65
"""Share of requests that may run only once. It is high, as these reveal work that ran twice and
wrong refusals."""

STRANGER_SHARE = 0.05
"""Share of requests without a key or with an unknown one, if the deployment has tenants."""

OPERATOR_S = 30.0
READ_ATTEMPTS = 20
READ_PAUSE_S = 0.25
MAX_EXTENSION_US = 60 * SECOND_US
"""How much longer than requested a load may last when processes are slow to start."""

FIRST_PUT = "fleet-0"
"""The put id that `LoopbackFleet.put_plan` uses for the first plan."""

SCHEDULE_FILE = "schedule.json"
RECORD_FILE = "record.jsonl"
VERDICT_FILE = "verdict.json"


class Result(msgspec.Struct):
    """The result of one seed, as written to verdict.json."""

    deployment: str
    seed: int
    folder: str
    is_held: bool
    breaches: dict[str, list[str]]
    faults: int
    skipped: int
    asked: int
    served: int
    plans: int
    windows: int
    windows_after: int
    least_share: float | None
    lost_answers: int
    wall_s: float


class SoakLoad(LoadRun):
    """A load that lasts until service after the last fault can be judged."""

    __slots__ = ("injector", "begun_us", "reported_dead", "hot_tenant")

    def __init__(self, deployment, routers, seconds, seed, record, injector, tenants=None):
        """Like `LoadRun`, at the soak's request rate."""
        super().__init__(
            deployment, routers, REQUESTS_PER_S, seconds, seed, record, tenants=tenants
        )
        self.hot_tenant = None
        if tenants:
            self.hot_tenant = HotTenant(tenants, self.loop.timer, record, seed, seconds)
        self.injector = injector
        self.reported_dead = set()
        self.begun_us = 0

    def run(self):
        """Run until the load has ended and each caller has its answer or has timed out."""
        self.begun_us = now_us()
        self.injector.begin(self.loop.timer)
        if self.hot_tenant:
            self.hot_tenant.begin()
        return super().run()

    def _pick(self):
        """Choose a request kind: mostly one-time work, within the deployment's mix."""
        kinds = self.deployment.kinds
        is_one_time = self.dice.random() < ONE_TIME_SHARE
        mix = {
            kind: share
            for kind, (share, _, _) in self.deployment.mix.items()
            if kinds[kind].get("repeatable", True) is not is_one_time
        }
        return self.dice.choices(list(mix), list(mix.values()))[0]

    def _gap_us(self):
        """Even spacing, so that each time window has requests to judge."""
        if self.tenants:
            return int(SECOND_US / (self.rate * self.tenants.load_factor))
        return SECOND_US // self.rate

    def is_interrupted(self):
        """Whether a signal ended the load; the event loop handles signals itself while it runs."""
        return now_us() < self.stop_us and (now_us() < self.end_us or self.left > 0)

    def _watch(self, now_us):
        for name in set(self.injector.find_dead()) - self.reported_dead:
            self.reported_dead.add(name)
            self.record("died", node=name)
        if now_us < self.end_us:
            self._extend(now_us)
        super()._watch(now_us)

    def _extend(self, now_us):
        """Extend the load while faults remain, as their ends may come later than planned."""
        if self.injector.is_over():
            return
        planned_us = self.begun_us + self.seconds * SECOND_US
        self.end_us = min(max(planned_us, required_end_us(now_us)), planned_us + MAX_EXTENSION_US)
        self.stop_us = self.end_us + 75 * SECOND_US


class SoakRun:
    """One seed of a deployment, in a folder of its own."""

    __slots__ = (
        "deployment",
        "seed",
        "seconds",
        "folder",
        "record",
        "fleet",
        "roles",
        "schedule",
        "tenants",
    )

    def __init__(self, deployment, seed, seconds, folder, port, sabotage=None):
        """Draw the schedule, write it to the folder and start the relay thread only.

        `sabotage` names a mechanism to disable in the nodes, to check that the judge finds it.
        """
        self.deployment = deployment
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.record = Record()
        self.roles = process_roles(deployment)
        self.schedule = draw_schedule(seed, deployment, seconds)
        self.tenants = None
        if deployment.tenants:
            self.tenants = TenantPopulation(deployment.tenants)
            self.tenants.stranger_share = STRANGER_SHARE
        os.makedirs(folder, exist_ok=True)
        self._write(SCHEDULE_FILE, msgspec.json.encode(self.schedule))
        self.fleet = SoakFleet(deployment, folder, port, seed, sabotage)

    def run(self):
        """Run and judge the seed; all processes are stopped even if an error occurs."""
        begun = time.monotonic()
        injector = Injector(self.fleet, self.roles, self.schedule, self.record.note)
        lost = 0
        handlers = {number: signal.getsignal(number) for number in (signal.SIGINT, signal.SIGTERM)}
        try:
            totals = self._run_fleet(injector)
            lost = sum(relay.lost for relay in self.fleet.relays.values())
        finally:
            for number, handler in handlers.items():
                signal.signal(number, handler)
            codes = self.fleet.stop()
        record = self.record.merged(self.fleet.record_paths)
        verdict = judge_soak(record, self.roles, self.deployment.kinds, self._read_logs(), codes)
        self._write(RECORD_FILE, b"\n".join(msgspec.json.encode(entry) for entry in record))
        result = Result(
            deployment=self.deployment.name,
            seed=self.seed,
            folder=self.folder,
            is_held=not verdict.breaches,
            breaches=verdict.breaches,
            faults=len(self.schedule) - injector.skipped,
            skipped=injector.skipped,
            asked=totals["asked"],
            served=totals["served"],
            plans=sum(1 for _, kind, _ in record if kind == "acked"),
            windows=len(verdict.windows),
            windows_after=sum(window.is_after_faults for window in verdict.windows),
            least_share=verdict.least_share(),
            lost_answers=lost,
            wall_s=round(time.monotonic() - begun, 1),
        )
        self._write(VERDICT_FILE, json.dumps(msgspec.to_builtins(result), indent=2).encode())
        return result

    def _run_fleet(self, injector):
        self.fleet.start()
        mark = self._put_first_plan()
        self.fleet.wait_ready()
        operators = self._operators(mark)
        load = SoakLoad(
            self.deployment,
            self.fleet.calls_addresses(self.roles.edges),
            self.seconds,
            self.seed,
            self.record.note,
            injector,
            self.tenants,
        )
        for operator in operators:
            operator.start()
        self.record.note("load_begun")
        try:
            totals = load.run()
        finally:
            for operator in operators:
                operator.stop_event.set()
        if load.is_interrupted():
            raise KeyboardInterrupt
        self.record.entries.append((load.end_us, "load_ended", {}))
        for operator in operators:
            if not operator.finish(OPERATOR_S):
                self.record.note("operator_stuck")
        self._read_back(operators[0])
        return totals

    def _operators(self, mark):
        """The operator that changes the plan, one whose changes are all invalid, and one more that
        changes any tenants."""
        arguments = (self.fleet.calls_addresses(self.roles.cores), self.deployment, mark)
        operators = [PlanChanger(*arguments, self.record.note, self.tenants)]
        operators.append(InvalidChanger(*arguments[:2], self.record.note, operators[0], self.seed))
        if self.tenants:
            operators.append(TenantChanger(*arguments, self.record.note, self.tenants, self.seed))
        return operators

    def _put_first_plan(self):
        plan = self.deployment.plan()
        self.record.note("put", put_id=FIRST_PUT, expect=0, plan=plan)
        mark = self.fleet.put_plan(plan, 0)["mark"]
        self.record.note("acked", put_id=FIRST_PUT, mark=mark)
        return mark

    def _read_back(self, operator):
        """Read the plan from every core replica at the end."""
        for seat in self.roles.cores:
            address = self.fleet.registries[seat]
            for _ in range(READ_ATTEMPTS):
                if operator.read(address, seat=seat):
                    break
                time.sleep(READ_PAUSE_S)
            else:
                self.record.note("unread", seat=seat)

    def _read_logs(self):
        logs = {}
        for name in self.fleet.processes:
            with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8") as file:
                logs[name] = file.read()
        return logs

    def _write(self, name, data):
        with open(os.path.join(self.folder, name), "wb") as file:
            file.write(data)
