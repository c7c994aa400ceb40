"""The whole fleet as processes on real sockets: served calls, misuse, and faults under load."""

import base64
import hashlib
import http.client
import json
import os
import socket
import threading
import time

from linkhaven.api import ServiceError
from linkhaven.stage.fleet import LICENSING
from linkhaven.stage.loopback import LoadRun, LoopbackFleet, judge_callers, plan_freezes
from linkhaven.wire.console import call_json
from linkhaven.wire.settings import split_address

PORTS = (1, 2, 3, 11, 12, 13, *range(21, 28), *range(41, 48), *range(60, 65), 90)


QUESTION = b'{"kind": "seat-question", "prompt": "x"}'
MISUSES = [
    ((b'{"kind": "seat-question"', {}), (400, "bad_request")),
    ((b"\xff\xfe", {}), (400, "bad_request")),
    ((b'{"kind": "seat-question", "prompt": "x", "more": 1}', {}), (400, "bad_request")),
    ((b'{"kind": "nothing", "prompt": "x"}', {}), (422, "unknown_kind")),
    (
        (b'{"kind": "seat-question", "prompt": "' + b"x" * 100_000 + b'"}', {}),
        (422, "prompt_too_long"),
    ),
    ((b'{"kind": "seat-question", "prompt": "' + b"x" * 3_000_000 + b'"}', {}), (413, "too_large")),
    ((QUESTION, {"last-event-id": "nonsense"}), (400, "bad_resume")),
    ((QUESTION, {"last-event-id": "no-such-run:3"}), (409, "run_unknown")),
    (
        (b'{"kind": "entitlement-check", "prompt": "x"}', {"last-event-id": "run:3"}),
        (409, "not_resumable"),
    ),
]


def post(address, body, headers):
    """Return the status and code of the answer; retry while the router is briefly closed."""
    for _ in range(RESENDS_AT_MOST):
        status, document, retry_after = post_once(address, body, headers)
        if status != 503 or document["code"] not in CLOSED:
            break
        assert document["done"] == "no"
        time.sleep(float(retry_after))
    return status, document["code"]


def post_once(address, body, headers):
    host, port = split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=20)
    try:
        conn.request("POST", "/v1/requests", body, headers)
    except (BrokenPipeError, ConnectionResetError):
        pass
    answer = conn.getresponse()
    document = json.loads(answer.read())
    conn.close()
    return answer.status, document, answer.headers["retry-after"]


CLOSED = ("plan_stale", "roster_stale")
"""Codes of a router that could not confirm its configuration or runners in time, as happens on a
busy machine."""


def ask_once(address):
    """Send a request as a caller does; retry after the given time while the router is closed."""
    for _ in range(RESENDS_AT_MOST):
        status, body, headers = ask(address)
        if status != 503 or json.loads(body)["code"] not in CLOSED:
            break
        assert json.loads(body)["done"] == "no"
        time.sleep(float(headers["retry-after"]))
    assert b"event: done" in body, body
    return headers["request-id"]


def ask(address):
    host, port = split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=20)
    conn.request("POST", "/v1/requests", QUESTION)
    answer = conn.getresponse()
    body = answer.read()
    conn.close()
    return answer.status, body, answer.headers


def is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def find_ports(first):
    """Find a hundred free ports below those that the system hands out.

    Each test has a range of its own, and each process begins elsewhere in it, as tests and whole
    suites run in parallel.
    """
    own = first + os.getpid() % 25 * 100
    return next(
        base
        for base in range(own, own + 2_500, 100)
        if all(is_free(base + place) for place in PORTS)
    )


def test_the_whole_fleet_serves_on_real_sockets_and_stops_cleanly(tmp_path):
    fleet = LoopbackFleet(LICENSING, str(tmp_path), find_ports(16_000))
    try:
        fleet.start()
        fleet.put_plan(LICENSING.plan(), 0)
        fleet.wait_ready()
        summary = LoadRun(LICENSING, fleet.routers.values(), 5, 3, seed=1).run()
        codes_of_misuse = [post(fleet.routers["edge-1"], *misuse) for misuse, _ in MISUSES]
        explained = call_json(
            fleet.routers["edge-1"], "GET", f"/v1/explain/{ask_once(fleet.routers['edge-1'])}"
        )
    finally:
        codes = fleet.stop()
    assert summary["asked"] > 5
    assert summary["served"] == summary["asked"]
    assert set(codes.values()) == {0}
    assert codes_of_misuse == [code for _, code in MISUSES]
    assert explained["decisions"][0]["winner"]
    assert explained["outcome"] == "done"


RESENDS_AT_MOST = 10


def call_until_clear(addresses, method, document=None):
    """Call as an operator does: without a clear answer, send the same call to the next member.

    Only an unclear outcome (`unknown`) and a core without a majority (`core_unready`, which did
    nothing) are retried; any other refusal is raised.
    """
    for attempt in range(RESENDS_AT_MOST):
        try:
            return call_json(addresses[attempt % len(addresses)], method, "/v1/plan", document)
        except ServiceError as error:
            if error.done != "unknown" and error.code != "core_unready":
                raise
            last = error
    raise last


def put_on_newest(addresses, put_id, plan):
    """Put a plan on the newest mark, which an earlier put of unclear outcome may still raise."""
    mark = call_until_clear(addresses, "GET")["mark"]
    for _ in range(RESENDS_AT_MOST):
        document = {"expect": mark, "put_id": put_id, "plan": plan}
        try:
            return call_until_clear(addresses, "PUT", document)["mark"]
        except ServiceError as error:
            if error.code != "mark_conflict":
                raise
            mark = error.detail["mark"]
    raise AssertionError("every put met a newer mark")


class PlanPutter(threading.Thread):
    """Puts plans through core machines that run and records the acknowledged ones, until stopped."""

    def __init__(self, fleet, record):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.record = record
        self.mark = 1
        self.is_over = threading.Event()

    def run(self):
        serial = 0
        while not self.is_over.is_set():
            serial += 1
            document = {"expect": self.mark, "put_id": f"put-{serial}", "plan": LICENSING.plan()}
            try:
                acknowledged = call_json(
                    self.fleet.registries[("core-a", "core-c")[serial % 2]],
                    "PUT",
                    "/v1/plan",
                    document,
                )
            except ServiceError as error:
                self.mark = error.detail.get("mark", self.mark)
                continue
            self.mark = acknowledged["mark"]
            self.record("acked", mark=self.mark, put_id=f"put-{serial}")


def dense_name(text):
    """A name of the greatest length that does not compress, so that the disk fills."""
    raw = hashlib.sha512(text.encode()).digest() + hashlib.sha256(text.encode()).digest()
    return base64.urlsafe_b64encode(raw).decode()


def test_killed_frozen_and_full_processes_under_load_break_nothing(tmp_path):
    record = []
    fleet = LoopbackFleet(
        LICENSING,
        str(tmp_path),
        find_ports(24_000),
        core_settings={"core-c": {"data_bytes": 131_072}},
    )
    putter = PlanPutter(fleet, lambda kind, **facts: record.append((0, kind, facts)))
    try:
        fleet.start()
        fleet.put_plan(LICENSING.plan(), 0)
        fleet.wait_ready()
        run = LoadRun(
            LICENSING,
            fleet.routers.values(),
            6,
            9,
            2,
            lambda kind, /, **facts: record.append((run.loop.timer.now_us(), kind, facts)),
        )
        plan_freezes(
            fleet,
            run,
            [
                (0.5, "kill", "core-b"),
                (1.5, "run_again", "core-b"),
                (3.0, "freeze", "edge-1"),
                (3.5, "freeze", "runner-4"),
                (5.0, "wake", "edge-1"),
                (5.5, "wake", "runner-4"),
                (6.0, "freeze", "core-a"),
                (7.5, "wake", "core-a"),
            ],
        )
        putter.start()
        summary = run.run()
        putter.is_over.set()
        putter.join(30)
        fleet.processes["core-b"].wait_event(1202)
        kinds = LICENSING.plan()["kinds"]
        big = {
            **kinds,
            **{
                dense_name(f"{name}-{place}"): kind
                for place in range(300)
                for name, kind in kinds.items()
            },
        }
        able = [fleet.registries[name] for name in ("core-a", "core-b")]
        mark = put_on_newest(able, "big", LICENSING.plan(kinds=big))
        record.append((0, "acked", {"mark": mark, "put_id": "big"}))
        fleet.processes["core-c"].wait_event(1205)
        for name in ("core-a", "core-b"):
            shown = call_until_clear([fleet.registries[name]], "GET")
            record.append((0, "shown", {"mark": shown["mark"], "put_id": shown["put_id"]}))
    finally:
        putter.is_over.set()
        codes = fleet.stop()
    assert judge_callers(record, LICENSING.kinds) == {}
    assert len([facts for _, kind, facts in record if kind == "acked"]) > 10
    assert summary["served"] >= 0.7 * summary["asked"]
    assert set(codes.values()) == {0}
