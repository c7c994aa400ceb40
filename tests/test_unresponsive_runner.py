"""Runners that owe a router bytes and send none: avoided at once, their work retried elsewhere.

Also: a fault while a request is started ends that request only, and runner discovery asks a runner
for its report as soon as a router reports it as silent.
"""

from collections import deque
from types import SimpleNamespace

import pytest

from linkhaven.configuration import RequestKind
from linkhaven.controller.runner_discovery import RunnerDiscovery
from linkhaven.pairing import NO_BOUND_US
from linkhaven.router.attempts import Attempts
from linkhaven.router.request import DECODING, QUEUED, READING, Request
from linkhaven.runner import Roster


def ignore(*arguments, **facts):
    return None


OBSERVER = SimpleNamespace(on_runner_list_ready=lambda: None, on_runner_list_outdated=lambda: None)


class Logged:
    def __init__(self):
        self.events = []

    def __call__(self, number, **facts):
        self.events.append((number, facts))


def queued(id, tokens=100, **kind):
    request = Request(id, SimpleNamespace(is_begun=False), 0)
    options = {"max_attempts": 2, **kind}
    request.kind = RequestKind("g", 1_000_000, NO_BOUND_US, deadline_us=8_000_000, **options)
    request.prompt_tokens = tokens
    request.deadline_us = 8_000_000
    request.state = QUEUED
    return request


class QueueNode:
    """A stand-in for a router: its queue, and how each of its requests ended."""

    def __init__(self):
        self.ended = {}
        self.queue = deque()
        self.tick_handlers = []
        self.queue_limits_us = {}
        self.bounds = SimpleNamespace(hold_share=None, retry_least_us=1_000_000)
        self.ports = SimpleNamespace(log=Logged())

    def now_us(self):
        return 5

    def may_start(self):
        return True

    def end_with_error(self, request, error):
        self.ended[request.id] = error.done
        if request.state == QUEUED:
            self.queue.remove(request)


class FailingPolicy:
    """A policy that raises while choosing if `fault` says so; else it chooses the only runner."""

    def __init__(self, fault):
        self.fault = fault

    def choose_decode(self, without=(), source=None, tokens=0, pool=None):
        if self.fault == "choosing":
            raise AttributeError("choosing")
        return SimpleNamespace(name="runner-1", phase="decode")

    begin_prefill = begin_decode = ignore


class FailingClient:
    prefill_counts_as_begun = False

    def __init__(self, fault):
        self.fault = fault

    def decode(self, runner, request, handle, handler):
        if self.fault == "sending":
            raise KeyError("sending")


@pytest.mark.parametrize(
    "fault, done, is_out", [("choosing", "no", False), ("sending", "unknown", True)]
)
def test_a_fault_while_a_request_is_started_ends_only_that_request(fault, done, is_out):
    node = QueueNode()
    attempts = Attempts(node, FailingPolicy(fault), FailingClient(fault), SimpleNamespace(), None)
    request = queued("r-1", tokens=0)
    node.queue.append(request)
    assert attempts.begin(request) is is_out
    assert node.ended == {"r-1": done}
    assert node.ports.log.events[0][0] == 1005
    assert fault in node.ports.log.events[0][1]["fault"]
    attempts.placement.fault = attempts.runner_client.fault = None
    assert attempts.begin(queued("r-2", tokens=0))
    assert "r-2" not in node.ended


class Router:
    """A stand-in for a router with a manual clock and fixed bounds."""

    def __init__(self):
        self.us = 10_000_000
        self.tick_handlers = []
        self.held = []
        self.bounds = SimpleNamespace(
            roster_stale_us=None,
            hold_share=None,
            poll_us=500_000,
            report_us=1_000_000,
            unresponsive_after_us=1_200_000,
        )
        self.ports = SimpleNamespace(log=Logged())
        self.requests = SimpleNamespace(rows=lambda: list(self.held))

    def now_us(self):
        return self.us

    def may_start(self):
        return True


def record(name, phase="decode", **more):
    return {
        "name": name,
        "address": f"{name}:1",
        "zone": "north",
        "incarnation": 1,
        "pool": "p",
        "slots": 8,
        "phase": phase,
        "queued": 0,
        "running": 0,
        "kv_used": 0,
        "kv_total": 9,
        "is_leaving": False,
        "is_listed": True,
        "is_dark": False,
        "is_switching": False,
        "is_changing": False,
        "mark": 0,
        "fence": 0,
        "age_us": 0,
        **more,
    }


def apply_list(roster, serial, *records):
    roster.take(
        {"fence": 1, "serial": serial, "age_us": 0, "runners": list(records)}, roster.node.now_us()
    )


class Failing(Attempts):
    __slots__ = ("failed",)

    def fail(self, request, runner, error, has_begun):
        self.failed.append(request.id)


class Fleet:
    """The attempts of one router at two decode runners and a prefill runner.

    Failed requests are recorded in `failed` instead of retried.
    """

    def __init__(self, prefill_us=0):
        self.node = Router()
        self.roster = Roster(self.node)
        apply_list(self.roster, 1, record("d-1"), record("d-2"), record("p-1", "prefill"))
        self.retry_budget = SimpleNamespace(covers=lambda cost, pool=None: cost <= self.budget)
        self.budget = 2
        pairing = SimpleNamespace(
            estimator=SimpleNamespace(prefill_us=lambda tokens, runner: prefill_us),
            load=SimpleNamespace(
                queued_tokens=lambda runner: 0, prefill_wait_us=lambda runner: prefill_us
            ),
            open_runners=lambda pool=None: self.roster.open_runners(),
        )
        self.attempts = Failing(
            self.node,
            pairing,
            SimpleNamespace(prefill_counts_as_begun=False),
            self.roster,
            self.retry_budget,
        )
        self.failed = self.attempts.failed = []

    def sent(self, id, name="d-1", state=DECODING, written=3, **kind):
        request = queued(id, **{"is_resumable": True, **kind})
        request.state, request.runner, request.written = state, self.roster.runners[name], written
        request.has_begun = state == DECODING
        request.prefill_attempts = 1
        request.progress_us = self.node.us
        self.node.held.append(request)
        return request

    def run_for(self, span_us):
        end_us = self.node.us + span_us
        while self.node.us < end_us:
            self.node.us += 50_000
            self.attempts.tick(self.node.us)

    def open(self):
        return [runner.name for runner in self.roster.open_runners()]


def test_a_runner_that_owes_bytes_gets_no_new_work_until_its_first_byte():
    fleet = Fleet()
    fleet.sent("r-1")
    fleet.run_for(600_000)
    assert fleet.open() == ["d-1", "d-2", "p-1"]
    fleet.run_for(100_000)
    assert fleet.open() == ["d-2", "p-1"]
    assert [told[:3] for told in fleet.roster.evidence_rows()] == [["d-1", 1, "silent"]]
    fleet.roster.note_alive(fleet.roster.runners["d-1"])
    assert fleet.open() == ["d-1", "d-2", "p-1"]
    assert [told[:3] for told in fleet.roster.evidence_rows()] == [["d-1", 1, "alive"]]


def test_a_prefill_runner_is_given_the_time_of_its_queue():
    fleet = Fleet(prefill_us=1_000_000)
    fleet.sent("r-1", "p-1", READING)
    apply_list(fleet.roster, 2, record("d-1"), record("p-1", "prefill"), record("p-2", "prefill"))
    fleet.run_for(1_600_000)
    assert "p-1" in fleet.open()
    fleet.run_for(100_000)
    assert "p-1" not in fleet.open()


def test_a_byte_of_any_stream_keeps_a_runner_in_use():
    fleet = Fleet()
    fleet.sent("r-1")
    for _ in range(12):
        fleet.run_for(300_000)
        fleet.roster.note_alive(fleet.roster.runners["d-1"])
        assert "d-1" in fleet.open()


def test_the_only_runner_of_its_role_stays_in_use():
    fleet = Fleet()
    fleet.sent("r-1", "p-1", READING)
    fleet.run_for(2_000_000)
    assert "p-1" in fleet.open()


def test_a_silent_runner_without_pending_requests_returns_to_use():
    fleet = Fleet()
    fleet.sent("r-1")
    fleet.run_for(700_000)
    fleet.node.held.clear()
    fleet.run_for(1_600_000)
    assert "d-1" in fleet.open()


def test_a_silent_stream_stays_at_a_runner_that_is_responsive():
    fleet = Fleet()
    fleet.sent("r-1")
    fleet.run_for(3_900_000)
    assert fleet.failed == []


@pytest.mark.parametrize(
    "state, name, kind, is_tried",
    [
        (DECODING, "d-1", {}, True),
        (READING, "p-1", {}, True),
        (READING, "p-1", {"is_idempotent": False, "is_resumable": False}, True),
        (DECODING, "d-1", {"is_idempotent": False, "is_resumable": False}, False),
        (DECODING, "d-1", {"is_resumable": False}, False),
    ],
)
def test_requests_of_an_unresponsive_runner_are_retried_after_a_second(state, name, kind, is_tried):
    fleet = Fleet()
    fleet.sent(
        "r-1", name, state, written=3 if state == DECODING else 0, **{"max_attempts": 4, **kind}
    )
    fleet.roster.runners[name].is_unresponsive = True
    fleet.run_for(950_000)
    assert fleet.failed == []
    fleet.run_for(50_000)
    assert fleet.failed == (["r-1"] if is_tried else [])


@pytest.mark.parametrize("change", ["no budget", "no other", "it speaks", "held"])
def test_a_stream_that_can_not_be_resumed_elsewhere_stays(change):
    fleet = Fleet()
    request = fleet.sent("r-1")
    runner = fleet.roster.runners["d-1"]
    runner.is_unresponsive = True
    fleet.run_for(500_000)
    if change == "no budget":
        fleet.budget = 0
    elif change == "no other":
        fleet.roster.runners["d-2"].is_unresponsive = True
    elif change == "it speaks":
        fleet.roster.note_alive(runner)
    else:
        request.is_held = True
    fleet.run_for(900_000)
    assert fleet.failed == []


class Reports:
    def __init__(self):
        self.asked = []

    def report(self, address, done):
        self.asked.append(done)
        return SimpleNamespace(abandon=lambda: None)

    def list_runners(self, address, done):
        done(
            None,
            {
                "runners": [
                    {
                        "name": "d-1",
                        "address": "d-1:1",
                        "zone": "north",
                        "incarnation": 1,
                        "state": "serving",
                        "pool": "p",
                        "phase": "decode",
                    },
                ]
            },
            True,
        )


@pytest.mark.parametrize("is_answered, is_unresponsive", [(True, False), (False, True)])
def test_a_runner_silent_to_a_router_is_asked_at_once_and_unresponsive_without_an_answer(
    is_answered, is_unresponsive
):
    node, desk = Router(), Reports()
    runner_discovery = RunnerDiscovery(
        node, desk, "list", [SimpleNamespace(is_held=lambda: True)], OBSERVER
    )

    def run_for(span_us):
        for _ in range(span_us // 10_000):
            node.us += 10_000
            runner_discovery.tick(node.us)

    run_for(20_000)
    report = record("d-1")
    desk.asked.pop()(None, report, True)
    run_for(300_000)
    assert desk.asked == []
    runner_discovery.on_evidence({"evidence": [["d-1", 1, "silent", 0]]})
    assert len(desk.asked) == 1
    run_for(200_000)
    if is_answered:
        desk.asked.pop()(None, report, True)
    run_for(350_000)
    assert runner_discovery.runners["d-1"].is_unresponsive is is_unresponsive


def test_evidence_older_than_the_last_report_is_ignored():
    node, desk = Router(), Reports()
    runner_discovery = RunnerDiscovery(
        node, desk, "list", [SimpleNamespace(is_held=lambda: True)], OBSERVER
    )
    runner_discovery.tick(node.us)
    while desk.asked:
        desk.asked.pop()(None, record("d-1"), True)
    runner_discovery.on_evidence({"evidence": [["d-1", 1, "silent", 1_000]]})
    assert desk.asked == []


def test_asking_whether_the_list_is_ready_does_not_suppress_its_announcement():
    """A poll between the last report and the next tick asks whether the list is ready."""
    node, desk, announced = Router(), Reports(), []
    observer = SimpleNamespace(on_runner_list_ready=lambda: announced.append(node.us))
    runner_discovery = RunnerDiscovery(
        node, desk, "list", [SimpleNamespace(is_held=lambda: True)], observer
    )
    runner_discovery.tick(node.us)
    desk.asked.pop()(None, record("d-1"), True)
    assert runner_discovery.is_ready()
    assert runner_discovery.is_ready()
    node.us += 10_000
    runner_discovery.tick(node.us)
    assert announced == [node.us]
    node.us += 10_000
    runner_discovery.tick(node.us)
    assert len(announced) == 1
