"""A whole deployment as real processes on loopback, and a bounded load against it."""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

from linkhaven.api import ServiceError
from linkhaven.wire import EventLoop
from linkhaven.wire.console import call_json
from linkhaven.wire.settings import split_address

from .checkers import acknowledged_plans_survive, every_caller_hears_back, streams_are_whole
from .fleet import LICENSING, Deployment, make_prompt, percentile, summarise
from .people import Caller
from .tenants import TenantPopulation

READY_S = 60
STOP_S = 20


class FleetProcess:
    """One process of the fleet. Its log is kept, and its numbered events can be waited for."""

    __slots__ = ("name", "process", "lines", "seen", "thread")

    def __init__(self, name, command, log_path):
        self.name = name
        self.lines = []
        self.seen = threading.Condition()
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.thread = threading.Thread(target=self._read, args=(log_path,), daemon=True)
        self.thread.start()

    def _read(self, log_path):
        with open(log_path, "a", encoding="utf-8") as log:
            for line in self.process.stderr:
                log.write(line)
                with self.seen:
                    self.lines.append(line)
                    self.seen.notify_all()
            log.flush()
        with self.seen:
            self.lines.append("")
            self.seen.notify_all()

    def count(self, number):
        """How many events of a number it has logged."""
        return sum(1 for line in self.lines if f"LH{number} " in line)

    def wait_event(self, number, seconds=READY_S, times=1):
        """Wait until an event was logged `times` times. Raises RuntimeError if it wasn't in time,
        or if the process ended before."""
        with self.seen:
            is_seen = self.seen.wait_for(
                lambda: self.count(number) >= times or self.process.poll() is not None, seconds
            )
        if not is_seen or self.count(number) < times:
            raise RuntimeError(
                f"{self.name} did not report event {number}: {''.join(self.lines[-5:])}"
            )

    def stop(self):
        """Ask the process to stop, with SIGTERM."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    def wait_end(self):
        """Wait for its end and return its exit code; kill it after STOP_S."""
        try:
            return self.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()


class LoopbackFleet:
    """A whole deployment as processes on loopback, for tests. Nothing else here starts
    processes."""

    __slots__ = (
        "deployment",
        "folder",
        "port",
        "processes",
        "registries",
        "routers",
        "runners",
        "platform",
        "seeds",
        "runner_words",
        "given",
        "core_settings",
    )

    def __init__(self, deployment, folder, port, runner_words=(), core_settings=None):
        """Uses up to a hundred ports from `port` on; settings, data and logs go to `folder`."""
        self.core_settings = core_settings or {}
        self.runner_words = runner_words
        self.given = {}
        self.deployment = deployment
        self.folder = folder
        self.port = port
        self.processes = {}
        self.registries = {}
        self.routers = {}
        self.runners = {}
        self.platform = self._address(90)
        self.seeds = [self._address(place + 1) for place in range(3)]

    def _address(self, place):
        return f"127.0.0.1:{self.port + place}"

    def _run(self, name, program, *words):
        command = [os.path.join(os.path.dirname(sys.executable), program), *words]
        self.given[name] = (program, words)
        self.processes[name] = FleetProcess(name, command, os.path.join(self.folder, f"{name}.log"))

    def run_again(self, name):
        """Start a process again with the command it had."""
        program, words = self.given[name]
        self._run(name, program, *words)

    def _write_settings(self, name, settings):
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=2)
        return path

    def _serve(self, name, program, settings):
        self._run(name, program, "serve", "--settings", self._write_settings(name, settings))

    def listed_address(self, name, address, zone):
        """The address under which the platform lists a runner."""
        return address

    def runner_options(self, name):
        """More command-line options for one runner."""
        return []

    def start(self):
        """Start all processes and wait until every core replica votes."""
        zones = self.deployment.zones
        listed = []
        for place in range(self.deployment.runners):
            name, address = f"runner-{place + 1}", self._address(60 + place)
            phase = "prefill" if place < self.deployment.prefills else "decode"
            self.runners[name] = address
            zone = zones[place % len(zones)]
            self._run(
                name,
                "linkhaven-stage",
                "runner",
                "--name",
                name,
                "--http",
                address,
                "--phase",
                phase,
                *self.runner_words,
                *self.runner_options(name),
            )
            listed += ["--runner", f"{name}={self.listed_address(name, address, zone)}={zone}"]
        self._run("platform", "linkhaven-stage", "platform", "--http", self.platform, *listed)
        for place, seat in enumerate("abc"):
            name = f"core-{seat}"
            self.registries[name] = self._address(11 + place)
            self._serve(
                name,
                "linkhaven-registry",
                {
                    "name": name,
                    "zone": zones[place % len(zones)],
                    "lines": self.seeds[place],
                    "http": self.registries[name],
                    "seeds": self.seeds,
                    "seat": seat,
                    "platform": self.platform,
                    "data": os.path.join(self.folder, f"{name}-data"),
                    **self.core_settings.get(name, {}),
                },
            )
        for place in range(self.deployment.routers):
            name = f"edge-{place + 1}"
            self.routers[name] = self._address(41 + place)
            self._serve(
                name,
                "linkhaven-router",
                {
                    "name": name,
                    "zone": zones[place % len(zones)],
                    "lines": self._address(21 + place),
                    "http": self.routers[name],
                    "seeds": self.seeds,
                },
            )
        for name in self.registries:
            self.processes[name].wait_event(1202)
        return self

    def put_plan(self, plan, expect):
        """Put a plan that replaces the one of mark `expect`, at any registry that takes it.

        Raises ServiceError if the put may have been done or another plan won, RuntimeError if no
        registry answers.
        """
        for address in [*self.registries.values()] * 3:
            try:
                return call_json(
                    address,
                    "PUT",
                    "/v1/plan",
                    {"expect": expect, "put_id": f"fleet-{expect}", "plan": plan},
                )
            except ServiceError as error:
                if error.done != "no" or error.code == "mark_conflict":
                    raise
        raise RuntimeError("no registry took the plan")

    def wait_ready(self):
        """Wait until every router accepts requests."""
        for name in self.routers:
            self.processes[name].wait_event(2003)

    def kill(self, name):
        """Kill a process and wait for its end."""
        self.processes[name].process.kill()
        self.processes[name].process.wait()

    def freeze(self, name):
        """Stop a process with SIGSTOP."""
        self.processes[name].process.send_signal(signal.SIGSTOP)

    def wake(self, name):
        """Resume a process with SIGCONT."""
        if self.processes[name].process.poll() is None:
            self.processes[name].process.send_signal(signal.SIGCONT)

    def stop(self):
        """Stop all processes and return their exit codes by name."""
        for name in self.processes:
            self.wake(name)
        order = [*self.routers, *self.registries, "platform", *self.runners]
        for name in order:
            if name in self.processes:
                self.processes[name].stop()
        return {name: self.processes[name].wait_end() for name in order if name in self.processes}


class LoadRun:
    """A bounded load of callers in one event loop, against routers on real sockets."""

    __slots__ = (
        "deployment",
        "routers",
        "rate",
        "seconds",
        "dice",
        "caller",
        "loop",
        "prompts",
        "end_us",
        "stop_us",
        "left",
        "record",
        "only",
        "keyed",
        "tenants",
    )

    def __init__(
        self, deployment, routers, rate, seconds, seed, record=None, only=None, tenants=None
    ):
        """`tenants`: the senders, if not the deployment's usual tenants with their first keys.
        `only`: the one kind to send."""
        self.deployment = deployment
        self.routers = list(routers)
        self.rate = rate
        self.seconds = seconds
        self.dice = random.Random(seed)
        self.prompts = {}
        self.record = record or (lambda kind, /, **facts: None)
        self.only = only
        self.tenants = tenants
        if tenants is None and deployment.tenants:
            self.tenants = TenantPopulation(deployment.tenants)
        self.left = 0
        self.keyed = 0
        self.loop = EventLoop("callers", None, None, self._build, level="warning")

    def _build(self, ports, incarnation):
        self.caller = Caller(
            "callers", "", ports, self.record, self.deployment.kinds, on_end=self._note_end
        )
        self.caller.tick_handlers.append(self._watch)
        return self.caller

    def run(self):
        """Run the load until all requests have ended, at most 75 s longer than `seconds`; return
        its summary."""
        now_us = self.loop.timer.now_us()
        self.end_us = now_us + self.seconds * 1_000_000
        self.stop_us = self.end_us + 75_000_000
        self._next()
        self.loop.run()
        return summarise(list(self.caller.asked.values()), self.deployment.kinds)

    def _pick(self):
        if self.only:
            return self.only
        kinds, shares = zip(
            *((kind, share) for kind, (share, _, _) in self.deployment.mix.items()), strict=True
        )
        return self.dice.choices(kinds, shares)[0]

    def _next(self):
        if self.loop.timer.now_us() >= self.end_us:
            return
        kind = self._pick()
        _, prompt_tokens, answer_tokens = self.deployment.mix[kind]
        tokens = int(prompt_tokens * self.dice.choice((0.5, 0.75, 1.0, 1.25, 1.5)))
        prompt = self.prompts.setdefault(tokens, make_prompt(tokens))
        self.dice.shuffle(self.routers)
        self.left += 1
        key = None
        if not self.deployment.kinds[kind].get("repeatable", True):
            self.keyed += 1
            key = f"form-{self.keyed}"
        self.caller.ask(
            kind, prompt, answer_tokens, self.routers[:3], key, credentials=self._credentials()
        )
        self.loop.timer.call_in(self._gap_us(), self._next)

    def _credentials(self):
        """The identity of the next request; None where there are no tenants."""
        return self.tenants.pick(self.dice) if self.tenants else None

    def _gap_us(self):
        """Time until the next request, in us."""
        return int(self.dice.expovariate(self.rate) * 1_000_000) + 1

    def _note_end(self, asked):
        self.left -= 1

    def _watch(self, now_us):
        if now_us >= self.stop_us or now_us >= self.end_us and not self.left:
            self.loop.stop()


def time_call(address, path, document):
    """Microseconds to the first bytes and to the end of one streamed answer.

    Raises RuntimeError if the answer is no complete stream.
    """
    host, port = split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=20)
    begun_ns = time.perf_counter_ns()
    conn.request("POST", path, json.dumps(document), {"content-type": "application/json"})
    answer = conn.getresponse()
    first = answer.read1(65_536)
    first_us = (time.perf_counter_ns() - begun_ns) // 1_000
    rest = answer.read()
    whole_us = (time.perf_counter_ns() - begun_ns) // 1_000
    conn.close()
    if answer.status != 200 or b"event: done" not in first + rest:
        raise RuntimeError(f"{address}{path} answered {answer.status}: {(first + rest)[-300:]}")
    return first_us, whole_us


def measure_overhead(folder, port, count):
    """Time pairs of calls, directly to a runner and through a router, on an otherwise idle
    fleet."""
    mini = Deployment(
        "mini", ("one",), 1, 1, 0, LICENSING.groups, LICENSING.kinds, LICENSING.mix, 1.0
    )
    fleet = LoopbackFleet(mini, folder, port, ("--fast",))
    prompt, pairs = make_prompt(400), []
    try:
        fleet.start()
        fleet.put_plan(mini.plan(), 0)
        fleet.wait_ready()
        router, runner = fleet.routers["edge-1"], fleet.runners["runner-1"]
        for number in range(count + 10):
            ask = {
                "request": f"direct-{number}",
                "shot": 1,
                "mark": 1,
                "one_time": False,
                "prompt": prompt,
                "answer_tokens": 40,
            }
            straight = time_call(runner, "/v1/decode", ask)
            routed = time_call(
                router,
                "/v1/requests",
                {"kind": "seat-question", "prompt": prompt, "answer_tokens": 40},
            )
            if number >= 10:
                pairs.append((straight, routed))
    finally:
        fleet.stop()
    row = {"pairs": len(pairs)}
    for place, name in enumerate(("first_piece", "whole")):
        gaps = [routed[place] - straight[place] for straight, routed in pairs]
        row[name] = {
            "straight_us_median": percentile([straight[place] for straight, _ in pairs], 0.5),
            "routed_us_median": percentile([routed[place] for _, routed in pairs], 0.5),
            "added_us_median": percentile(gaps, 0.5),
            "added_us_p90": percentile(gaps, 0.9),
        }
    return row


def plan_faults(fleet, run, seconds):
    """Kill a core machine, a router and a runner at a quarter, a half and three quarters of the
    load; restart each an eighth of the load later."""
    share_us = seconds * 1_000_000 // 4
    for place, name in enumerate(("core-b", "edge-1", "runner-5")):
        at_us = (place + 1) * share_us
        run.loop.timer.call_in(at_us, lambda name=name: fleet.kill(name))
        run.loop.timer.call_in(at_us + share_us // 2, lambda name=name: fleet.run_again(name))


def plan_freezes(fleet, run, steps):
    """Schedule `steps` of (second, action, process); they are recorded as in the simulated
    world."""
    kinds = {"freeze": "frozen", "wake": "woken", "kill": "killed"}

    def apply(action, name):
        getattr(fleet, action)(name)
        if action in kinds:
            run.record(kinds[action], node=name, address=fleet.routers.get(name))

    for second, action, name in steps:
        run.loop.timer.call_in(
            int(second * 1_000_000), lambda action=action, name=name: apply(action, name)
        )


def judge_callers(record, kinds):
    """Breaches of the rules that can be judged from the callers' side alone."""
    deadlines = {kind: terms["deadline_us"] for kind, terms in kinds.items()}
    found = {}
    for checker in (every_caller_hears_back, streams_are_whole, acknowledged_plans_survive):
        breaches = list(checker(record, deadlines=deadlines))
        if breaches:
            found[checker.__name__] = breaches[:5]
    return found


def run_fleet(deployment, folder, port, rate, seconds, seed, has_faults=False):
    """Start a deployment, put its plan, run a load, stop it, and return a summary with breaches and
    exit codes."""
    record = []
    os.makedirs(folder, exist_ok=True)
    fleet = LoopbackFleet(deployment, folder, port)
    begun = time.monotonic()
    try:
        fleet.start()
        fleet.put_plan(deployment.plan(), 0)
        fleet.wait_ready()
        ready_s = time.monotonic() - begun
        run = LoadRun(
            deployment,
            fleet.routers.values(),
            rate,
            seconds,
            seed,
            lambda kind, /, **facts: record.append((run.loop.timer.now_us(), kind, facts)),
        )
        if has_faults:
            plan_faults(fleet, run, seconds)
        summary = run.run()
    finally:
        codes = fleet.stop()
    summary["broken_rules"] = judge_callers(record, deployment.kinds)
    return {
        "deployment": deployment.name,
        "seed": seed,
        "rate": rate,
        "seconds": seconds,
        "ready_s": round(ready_s, 1),
        **summary,
        "exit_codes": sorted(set(codes.values())),
    }
