"""Plays the runs of the recorded transcripts, and hooks into the code to record them.

This module alone follows when something that it uses is renamed. The recordings in `recordings/`
come from 6c079fa and are never written again for a rename.

`python tests/recorded_world.py RUN` prints a run's transcript. To find the cause of a failing test,
run it on this tree and on one at 6c079fa, with PYTHONPATH set to either, and compare the output.

An entry of a transcript is (time, kind, contents), all of it text that left or reached a process:

| kind | contents |
| --- | --- |
| `line/<say>` | sender, receiver, a message between members: see `line_text` |
| `disk/<key, up to its first />` | node, the keys and values of one write |
| `event/<number>` | node, the facts of a log event; of a fault (1005) only their names |
| `call/<method> <path>` | client, server, headers and body of an HTTP request |
| `head/<status> <method> <path>`, `data/...`, `end/...`, `cut/...` | the response, in order |
| `told` | the result that an operator of a simulated core got |
"""

import json
import sys
from contextlib import contextmanager

from linkhaven.configuration import CommitResult
from linkhaven.platform.operator import OperatorApi
from linkhaven.runtime import ResponseHandler
from linkhaven.stage import world
from linkhaven.stage.changecourse import (
    ALL_KILLED,
    ALL_POWERLESS,
    NEW,
    RESTARTED,
    WIPED,
    WOKEN,
    ChangeCourse,
)
from linkhaven.stage.core import SimCore
from linkhaven.stage.cutcourse import BOTH, HOLDER, IN, LAST_TO_ACT, PLAN, CutCourse
from linkhaven.stage.explore import world as explored
from linkhaven.stage.explore.report import walk_seed
from linkhaven.stage.faults import Faults
from linkhaven.stage.fleet import ARCHIVE, LICENSING, SimFleet
from linkhaven.stage.racecourse import RaceCourse
from linkhaven.stage.replacecourse import HELD_NEWEST, KILLED, PLANNED, ReplaceCourse

SECOND = 1_000_000
FAULT = 1005
TYPED = {
    *("beat", "bodies", "books", "bye", "contact", "contact_ask", "digest", "doubt", "explained"),
    *("hello", "left", "link", "members", "shun", "verdict", "want_bodies", "want_explain"),
    *("want_image", "want_keys"),
}
"""Kinds of messages that had a type at 6c079fa; their fields are compared in their order."""

IGNORING_HANDLER = ResponseHandler(*[lambda *arguments: None] * 4)


class Transcript:
    """Everything that left or reached a process, in order; recorded before the hooked code runs."""

    def __init__(self):
        self.entries = []
        self.lines = []

    def add(self, now_us, kind, *contents):
        self.entries.append(f"{now_us}\t{kind}\t" + "\t".join(map(text_of, contents)))

    def record_line(self, network, address, message):
        line = world.write_line(message)
        self._add_line(network.host.world.now_us, network.host.name, address, line)

    def _add_line(self, now_us, name, address, line):
        kind = json.loads(line)["say"]
        self.lines.append((kind, line.decode()))
        self.add(now_us, f"line/{kind}", name, address, line_text(kind, line))

    def record_write(self, disk, items, done):
        self.add(disk.world.now_us, kind_of_write(items), disk.host.name, sorted_items(items))

    def record_event(self, host, number, **facts):
        recorded_facts = list(facts) if number == FAULT else facts
        self.add(host.world.now_us, f"event/{number}", host.name, recorded_facts)

    def record_call(self, conn, method, path, headers, body):
        server = conn.server.name if conn.server else "nobody"
        kind = f"call/{method} {stem_of(path)}"
        self.add(conn.world.now_us, kind, conn.client.name, server, path, headers, body)

    def record_head(self, call, status, headers):
        self._record_response(f"head {status}", call, status, headers)

    def record_data(self, call, data):
        self._record_response("data", call, data)

    def record_end(self, call):
        self._record_response("end", call)

    def record_cut(self, call):
        self._record_response("cut", call)

    def _record_response(self, part, call, *contents):
        if not call.is_ended:
            conn, kind = call.conn, f"{part}/{call.method} {stem_of(call.path)}"
            self.add(conn.world.now_us, kind, conn.server.name, conn.client.name, *contents)

    def record_explored_line(self, machines, machine, address, message):
        self._add_line(machines.now_us, machine.name, address, explored.write_line(message))

    def record_explored_write(self, disk, items, done):
        self.add("", kind_of_write(items), sorted_items(items))

    def record_explored_event(self, ports, number, **facts):
        recorded_facts = list(facts) if number == FAULT else facts
        self.add(ports.now_us(), f"event/{number}", ports.machine.name, recorded_facts)


HOOKS = [
    (world.SimNetwork, "send", Transcript.record_line),
    (world.SimDisk, "write", Transcript.record_write),
    (world.Host, "_log", Transcript.record_event),
    (world.Conn, "connect", Transcript.record_call),
    (world.SimCall, "begin", Transcript.record_head),
    (world.SimCall, "write", Transcript.record_data),
    (world.SimCall, "finish", Transcript.record_end),
    (world.SimCall, "cut", Transcript.record_cut),
    (explored.World, "send", Transcript.record_explored_line),
    (explored.ExploredDisk, "write", Transcript.record_explored_write),
    (explored.MachinePorts, "log", Transcript.record_explored_event),
]


def text_of(content):
    """Return the text as it was sent; facts are in the order in which they were given."""
    if isinstance(content, bytes):
        return content.decode()
    return content if isinstance(content, str) else json.dumps(content, ensure_ascii=False)


def line_text(kind, line):
    """Return the bytes of a message as they are compared.

    Kinds that had no type at 6c079fa were maps. A type that replaces a map writes the same fields
    in another order, so these are sorted by name.
    """
    if kind in TYPED:
        return line
    return json.dumps(json.loads(line), sort_keys=True, ensure_ascii=False)


def stem_of(path):
    """Return the first parts of a call's path, which have no names in them."""
    return "/".join(path.partition("?")[0].split("/")[:3])


def kind_of_write(items):
    return "disk/" + "+".join(sorted({key.partition("/")[0] for key in items}))


def sorted_items(items):
    """Sort the keys of one write: they are one transaction, in which their order has no effect."""
    return dict(sorted(items.items()))


def hooked(transcript, inner, record):
    def call(self, *arguments, **facts):
        record(transcript, self, *arguments, **facts)
        return inner(self, *arguments, **facts)

    return call


@contextmanager
def recorded():
    """Record all that the simulated worlds carry into the transcript, while the context is open."""
    transcript = Transcript()
    kept = [(owner, name, getattr(owner, name)) for owner, name, _ in HOOKS]
    for owner, name, record in HOOKS:
        setattr(owner, name, hooked(transcript, getattr(owner, name), record))
    try:
        yield transcript
    finally:
        for owner, name, inner in kept:
            setattr(owner, name, inner)


def add_calls(transcript, course):
    """Add the results that the operators of a simulated core got, after its course."""
    for result in course.operators.calls:
        order = result.order and [result.order.base, result.order.revision, result.order.document]
        facts = [result.member, order, result.sent_us, result.outcome, result.code, result.revision]
        transcript.add(result.ended_us, "told", [*facts, result.document])


def cut_course(seed, seats, who, direction, how):
    def run(transcript):
        add_calls(transcript, CutCourse(seed, seats, who, direction, how).run(who))

    return run


def race_course(seed, seats, racers):
    def run(transcript):
        course = RaceCourse(seed, seats, racers).run(1)
        course.send_late()
        add_calls(transcript, course)

    return run


def replace_course(seed, seats, how, what, share, repair_us):
    def run(transcript):
        course = ReplaceCourse(seed, seats).run(how, what, share, repair_us)
        course.last_reads()
        add_calls(transcript, course)

    return run


def change_course(seed, seats, changes, legs):
    def run(transcript):
        add_calls(transcript, ChangeCourse(seed, seats, changes).run(legs))

    return run


def walk(seed, steps):
    def run(transcript):
        walk_seed(seed, steps)

    return run


def membership(seed):
    """Five replicas with spares: members leave, hand over, lose their disk and join late."""

    def run(transcript):
        core = SimCore(seed, seats=5).bootstrap(3, 2)
        core.wait_voting(5)
        core.add("spare-1").start()
        core.world.run_for(2 * SECOND)
        transcript.add(core.world.now_us, "told", _plain(core.put(0, 1, "text 1", PLAN)))
        for name in ("core-2", "core-4"):
            host = core.machines[name]
            host.node.drain(host.kill)
            core.world.run_for(6 * SECOND)
        core.machines["core-1"].kill()
        core.machines["core-1"].disk.wipe()
        core.world.run_for(2 * SECOND)
        core.machines["core-1"].start()
        core.world.run_for(4 * SECOND)
        core.machines["core-3"].kill()
        core.world.run_for(8 * SECOND)
        core.add("late-1").start()
        core.world.run_for(6 * SECOND)
        transcript.add(core.world.now_us, "told", _plain(core.put(1, 2, "text 2", PLAN)))
        transcript.add(core.world.now_us, "told", _plain([core.read()]))

    return run


def _plain(results):
    return [[error and error.code, _as_recorded(value)] for error, value in results]


def _as_recorded(value):
    """Return the result of a commit as the map that it was when the recordings were taken."""
    if isinstance(value, CommitResult):
        return {"mark": value.version, "revision": value.key}
    return value


def fleet(deployment, seed, steps, rate=None):
    """A whole fleet under load; a step is a fault's name, its targets and its duration (s)."""

    def run(transcript):
        stage = SimFleet(deployment, seed).start()
        faults = Faults(stage)
        stage.load(rate)
        stage.world.run_for(2 * SECOND)
        for name, targets, duration_s in steps:
            faults.begin(name, *targets)
            stage.world.run_for(int(duration_s * SECOND))
            faults.close()
            stage.world.run_for(SECOND)
        stage.settle()

    return run


CORE_STEPS = [
    ("kill_core", (), 4),
    ("empty_core", (), 5),
    ("cut_core", (), 4),
    ("lossy_core", (), 2),
    ("freeze_holder", (), 4),
    ("exchange_awake_core", (), 4),
    ("full_disk_in_a_rejoin", (), 3),
    ("slow_disks", (), 2),
    ("restart_core", (), 2),
]
EDGE_STEPS = [
    ("kill_router", (), 3),
    ("cut_router_from_core", (), 4),
    ("cut_zone", (), 4),
    ("jump_clocks", (), 3),
    ("restart_fleet", (), 4),
    ("freeze_router", (), 2),
]
RUNNER_STEPS = [
    ("crash_runner", (), 3),
    ("replace_runner", (), 6),
    ("fail_hand_overs", (), 2),
    ("late_reports", (), 3),
    ("garble_streams", (), 2),
    ("lapse_handles", (), 2),
    ("cut_platform_from_holder", (), 4),
]
PEOPLE_STEPS = [
    ("break_conns", (), 2),
    ("collide_plans", (), 3),
    ("crowd", (), 4),
    ("swing_mix", (), 8),
    ("burst_plans", (), 3),
    ("remove_group", (), 4),
]
GROUP = {"credit": {"tokens": 100_000, "period_us": 10 * SECOND}, "weight": 1.0}
KIND = {**LICENSING.kinds["seat-question"], "group": "new"}
ROUTE = {
    "name": "r-1",
    "hostname": "a.example",
    "path_prefix": "/a/",
    "route_type": "unsafe",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "priority": 2,
    "target_service": "pool-1",
    "max_attempts": 1,
}
DOCUMENT = {
    "revision": 4,
    "route_rules": [ROUTE, {**ROUTE, "name": "r-2", "path_prefix": "/b/"}],
    "services": [
        {"name": "pool-1", "health_path": "/health", "max_connections": 360, "protocol": "h1"},
        {"name": "pool-2", "health_path": "/health", "max_connections": 20, "protocol": "h1"},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
}
REPLACE, UPDATE, DESCRIBE = (f"/Configuration.{what}" for what in ("Replace", "Update", "Describe"))
OPERATOR_CALLS = [
    ("GET", DESCRIBE, 0, None),
    ("POST", UPDATE, 0, {"revision": 3, "upserts": {}, "removals": {}}),
    ("POST", REPLACE, 0, DOCUMENT),
    ("POST", REPLACE, 0, DOCUMENT),
    ("POST", REPLACE, 0, {**DOCUMENT, "services": []}),
    ("POST", REPLACE, 4, {**DOCUMENT, "revision": 5, "route_rules": [ROUTE]}),
    ("POST", REPLACE, 4, {**DOCUMENT, "revision": 6}),
    ("POST", REPLACE, "x", DOCUMENT),
    ("POST", REPLACE, 5, {"revision": 7}),
    (
        "POST",
        UPDATE,
        5,
        {
            "revision": 8,
            "upserts": {"route_rules": [{**ROUTE, "name": "r-3", "path_prefix": "/c/"}]},
        },
    ),
    ("POST", UPDATE, 8, {"revision": 9, "removals": {"services": ["pool-2"]}}),
    ("POST", UPDATE, 9, {"revision": 10, "removals": {"route_rules": ["unheard"]}}),
    ("POST", UPDATE, 9, {"revision": 10, "upserts": {"others": []}}),
    ("GET", DESCRIBE, 0, None),
    ("GET", REPLACE, 0, None),
]
TOUR = [
    ("core", "GET", "/v1/core", None),
    ("core", "GET", "/v1/groups", None),
    ("core", "GET", "/v1/standing", None),
    ("core", "GET", "/v1/plan", None),
    ("core", "POST", "/v1/core/restore", {}),
    ("core", "GET", "/v1/nothing", None),
    ("core", "DELETE", "/v1/plan", None),
    ("core", "PUT", "/v1/plan", {"expect": 0, "put_id": "t-1", "plan": {"groups": 1}}),
    ("core", "PUT", "/v1/plan", {"expect": 0, "put_id": "t-2", "plan": LICENSING.plan()}),
    ("core", "PUT", "/v1/plan", {"expect": 1, "put_id": "t-3", "plan": LICENSING.plan()}),
    ("core", "PUT", "/v1/plan", {"expect": 1, "put_id": "t-3", "plan": LICENSING.plan()}),
    ("core", "PUT", "/v1/plan", {}),
    ("core", "POST", "/v1/plan/check", LICENSING.plan()),
    ("core", "POST", "/v1/plan/check", {"groups": {"g": {}}, "kinds": {"k": 1}}),
    (
        "core",
        "PATCH",
        "/v1/plan",
        {"expect": 2, "put_id": "t-4", "upserts": {"groups": {"x": GROUP}}},
    ),
    ("core", "PATCH", "/v1/plan", {"expect": 2, "put_id": "t-5", "upserts": {"groups": {"y": 1}}}),
    ("core", "PUT", "/v1/groups/new", {"expect": 3, "put_id": "t-6", "group": GROUP}),
    ("core", "PUT", "/v1/groups/new", {"expect": 1, "put_id": "t-7", "group": GROUP}),
    ("core", "PUT", "/v1/kinds/new", {"expect": 4, "put_id": "t-8", "kind": KIND}),
    ("core", "DELETE", "/v1/kinds/new", {"expect": 5, "put_id": "t-9"}),
    ("core", "DELETE", "/v1/groups/new", {"expect": 6, "put_id": "t-10"}),
    ("core", "DELETE", "/v1/groups/seats", {"expect": 7, "put_id": "t-11"}),
    ("core", "GET", "/v1/plan", None),
    ("edge", "GET", "/v1/standing", None),
    ("edge", "GET", "/v1/explain/callers-1", None),
    ("edge", "GET", "/v1/explain/REQUEST", None),
    ("edge-2", "GET", "/v1/explain/REQUEST", None),
    ("edge", "POST", "/v1/requests", {"kind": "unheard", "prompt": "p", "answer_tokens": 3}),
    ("edge", "POST", "/v1/requests", {"kind": "seat-question"}),
    ("edge", "POST", "/v1/requests", {"kind": "seat-question", "prompt": "p", "answer_tokens": 3}),
    ("edge", "GET", "/v1/plan", None),
    ("platform", "GET", "/v1/runners", None),
    ("runner", "GET", "/v1/report", None),
    ("runner", "POST", "/v1/prefill", {}),
]


def tour(seed):
    """Every path of the native interface, with valid and invalid requests, one after the other."""

    def run(transcript):
        stage = SimFleet(LICENSING, seed).start()
        hosts = {
            "core": stage.registries["a"],
            "edge": stage.routers["edge-1"],
            "edge-2": stage.routers["edge-2"],
            "platform": stage.platform,
            "runner": stage.runners["runner-1"],
        }
        edge = [hosts["edge"].address]
        asked = stage.ask("entitlement-check", edge, key="form-1")
        stage.ask("entitlement-check", edge, key="form-1")
        stage.world.run_for(SECOND)
        for place, method, path, document in TOUR:
            body = b"" if document is None else json.dumps(document).encode()
            network = stage.operators[0].node.ports.network
            path = path.replace("REQUEST", asked.request or "none")
            network.open(hosts[place].address, method, path, {}, body, IGNORING_HANDLER)
            stage.world.run_for(SECOND // 2)
        stage.settle()

    return run


def operators(seed):
    """Every path of the platform's operator API, with valid and invalid requests, at a core."""

    def run(transcript):
        core = SimCore(seed).bootstrap(3)
        core.wait_voting(3)
        core.world.run_for(2 * SECOND)
        for host in core.machines.values():
            api = OperatorApi(host.node.configuration_store, 0.2, 10)
            for method, path in {(call[0], call[1]) for call in OPERATOR_CALLS}:
                host.node.routes[method, path] = api.serve
        sender = world.Host(core.world, "operator", "z", "10.8.1.1:1", lambda host, ports: ports)
        network = world.SimNetwork(sender)
        hosts = list(core.machines.values())
        for index, (method, path, base, document) in enumerate(OPERATOR_CALLS):
            body = b"" if document is None else json.dumps(document).encode()
            address = hosts[index % 3].address
            network.open(address, method, path, {"base-version": str(base)}, body, IGNORING_HANDLER)
            core.world.run_for(SECOND // 2)

    return run


def sealed(seed):
    """A member is killed right after it sealed its replica, and is restarted.

    The restart comes while its successor is frozen, while it is cut off from its successor, and
    with the whole core, which has lost one disk.
    """

    def run(transcript):
        for case in ("frozen", "cut", "all"):
            core = SimCore(seed).bootstrap(3)
            core.wait_voting(3)
            core.add("spare-1").start()
            core.world.run_for(2 * SECOND)
            transcript.add(core.world.now_us, "told", _plain(core.put(0, 3, "text 3", PLAN)))
            leaver, hosts = core.machines["core-2"], list(core.machines.values())
            leaver.node.drain(lambda: None)
            core.world.wait_for(lambda disk=leaver.disk: "sealed" in disk.synced, 3 * SECOND, 100)
            lost = hosts if case == "all" else [leaver]
            for host in lost:
                host.kill()
            if case == "frozen":
                core.machines["spare-1"].freeze()
            if case == "cut":
                core.world.cut(["core-2"], ["spare-1"])
            if case == "all":
                core.machines["core-1"].disk.wipe()
            for host in lost:
                host.start()
            core.world.run_for(SECOND)
            core.machines["spare-1"].wake()
            core.world.heal()
            core.world.run_for(6 * SECOND)
            transcript.add(core.world.now_us, "told", _plain([core.read()]))

    return run


def losses(seed):
    """Losses of disks and of messages.

    Two disks are lost and a replica is restored by an operator; all disks are lost while routers
    hold the configuration; a member misses a departure message; a message is malformed.
    """

    def run(transcript):
        stage = SimFleet(LICENSING, seed).start()
        cores, network = stage.registries, world.SimNetwork(stage.operators[0])
        for seat in "ab":
            cores[seat].kill()
            cores[seat].disk.wipe()
        cores["a"].start()
        stage.world.run_for(8 * SECOND)
        for seat in "ca":
            network.open(
                cores[seat].address, "POST", "/v1/core/restore", {}, b"{}", IGNORING_HANDLER
            )
        stage.world.run_for(2 * SECOND)
        cores["b"].start()
        stage.world.run_for(6 * SECOND)
        for host in cores.values():
            host.kill()
            host.disk.wipe()
        for host in cores.values():
            host.start()
        stage.world.run_for(20 * SECOND)
        network.open(cores["a"].address, "GET", "/v1/plan", {}, b"", IGNORING_HANDLER)
        network.open(cores["a"].address, "GET", "/v1/core", {}, b"", IGNORING_HANDLER)
        names = ["callers", *stage.routers, *[host.name for host in cores.values()]]
        stage.world.cut(["edge-3"], names)
        stage.routers["edge-2"].node.drain(stage.routers["edge-2"].kill)
        stage.world.run_for(2 * SECOND // 3)
        stage.world.heal()
        network.send(cores["a"].address, {"say": "beat", "name": "x", "back": "10.8.1.1:1"})
        cores["b"].disk.is_full = True
        stage.put_plan(stage.plan, 1)
        stage.world.run_for(3 * SECOND)
        cores["b"].disk.mend()
        stage.world.run_for(2 * SECOND)

    return run


RUNS = {
    "cut-3": cut_course(11, 3, LAST_TO_ACT, BOTH, world.SILENT),
    "cut-5": cut_course(12, 5, HOLDER, IN, world.REFUSAL),
    "race-3": race_course(13, 3, 4),
    "race-5": race_course(14, 5, 8),
    "replace-planned": replace_course(15, 3, PLANNED, "wipe_new", 0.5, 1_000_000),
    "replace-killed": replace_course(16, 5, KILLED, "second_planned", 0.9, 3_000_000),
    "replace-newest": replace_course(17, 3, HELD_NEWEST, "second_new", 0.1, 1_000_000),
    "changes-3": change_course(18, 3, 6, (NEW, WIPED, RESTARTED, ALL_KILLED)),
    "changes-5": change_course(19, 5, 4, (WOKEN, ALL_POWERLESS, WIPED, NEW)),
    "membership": membership(20),
    "fleet-core": fleet(LICENSING, 23, CORE_STEPS),
    "fleet-edge": fleet(LICENSING, 24, EDGE_STEPS),
    "fleet-runners": fleet(ARCHIVE, 25, RUNNER_STEPS),
    "fleet-people": fleet(LICENSING, 26, PEOPLE_STEPS),
    "tour": tour(27),
    "operators": operators(28),
    "sealed": sealed(29),
    "losses": losses(30),
    "walk-1": walk(21, 400),
    "walk-2": walk(22, 400),
}


def play(name):
    """Return the entries of one run."""
    return played(name).entries


def played(name):
    """Return the transcript of one run: its entries, and its messages as they were sent."""
    with recorded() as transcript:
        RUNS[name](transcript)
    return transcript


def main():
    """Print the entries of one run."""
    print("\n".join(play(sys.argv[1])))


if __name__ == "__main__":
    main()
