"""Tests of point 1 of docs/control.md: a member is cut off from the others for twenty seconds."""

import json

import pytest

from linkhaven.consensus import Promise
from linkhaven.consensus.majority_monitor import MajorityMonitor
from linkhaven.controller.quorum_contact import QuorumContact
from linkhaven.controller.status import ANSWER_TIMEOUT_US
from linkhaven.leases import Lease
from linkhaven.router import RouterNode
from linkhaven.runtime import Bounds, Call
from linkhaven.stage.control import judge_cut
from linkhaven.stage.core import SimCore
from linkhaven.stage.cutcourse import (
    ANY,
    BOTH,
    HOLDER,
    IN,
    LAST_TO_ACT,
    OUT,
    PLAN,
    CutCourse,
)
from linkhaven.stage.fleet import LICENSING, SimFleet
from linkhaven.stage.orders import TAKEN, History
from linkhaven.stage.world import REFUSAL, RESET, SILENT, Host

SECOND = 1_000_000
TICK_US = 50_000
ROUND_US = 20_000
WHO = (ANY, LAST_TO_ACT, HOLDER)
CASES = [
    (seats, direction, how, WHO[(place + seats) % 3])
    for seats in (3, 5)
    for place, (direction, how) in enumerate(
        (direction, how) for direction in (BOTH, OUT, IN) for how in (SILENT, RESET, REFUSAL)
    )
]


@pytest.mark.parametrize("seats, direction, how, who", CASES)
def test_a_member_cut_off_confirms_nothing_refuses_nothing_and_answers_at_once(
    seats, direction, how, who
):
    course = CutCourse(seats + len(how), seats, who, direction, how).run(who)
    assert judge_cut(course) == {}
    history = History(course.operators.calls)
    others = [result for result in history.orders(TAKEN) if result.member != course.lone]
    assert len(others) >= 6
    assert [result.revision for result in history.reads(TAKEN)[-seats:]] == [course.newest] * seats


def confirm_alone(monkeypatch):
    cut = CutCourse._cut

    def cut_and_forget_the_majority(self):
        cut(self)
        self.core.machines[self.lone].node.proposer.majority = 1

    monkeypatch.setattr(CutCourse, "_cut", cut_and_forget_the_majority)


def wait_for_the_deadline(monkeypatch):
    monkeypatch.setattr(MajorityMonitor, "silence_bound_us", lambda self: None)


def ignore_silence_of_the_majority(monkeypatch):
    monkeypatch.setattr(MajorityMonitor, "silence_bound_us", lambda self: self.silent_us)


def serve_without_quorum_contact(monkeypatch):
    monkeypatch.setattr(QuorumContact, "is_held", lambda self: True)


def ignore_lease_expiry(monkeypatch):
    monkeypatch.setattr(Lease, "is_held", lambda self: self.fencing_token is not None)
    monkeypatch.setattr(Lease, "_lapse", lambda self: None)


@pytest.mark.parametrize(
    "sabotage, breach",
    [
        (confirm_alone, "not_unclear"),
        (wait_for_the_deadline, "late"),
        (ignore_silence_of_the_majority, "late_though_known"),
        (serve_without_quorum_contact, "current"),
        (ignore_lease_expiry, "duties"),
    ],
)
def test_each_mechanism_against_a_cut_is_needed(monkeypatch, sabotage, breach):
    sabotage(monkeypatch)
    assert breach in judge_cut(CutCourse(4, 3, HOLDER, BOTH, SILENT).run(HOLDER))


def add_router(core, name, bounds):
    """Return a router that is configured with the addresses of all core members."""
    seeds = [host.address for host in core.machines.values()]

    def build(host, ports):
        return RouterNode(
            host.name, host.address, ports, host.zone, seeds, host.starts, bounds=bounds
        )

    return Host(core.world, name, "z", f"10.1.0.{len(core.world.hosts)}:7000", build)


def core_with_plan(seats, seed=1):
    core = SimCore(seed, seats=seats).bootstrap(3, seats - 3)
    assert core.wait_voting(seats)
    core.world.run_for(3 * SECOND)
    assert core.put(0, 4, "text", PLAN)[0][0] is None
    core.world.run_for(SECOND)
    return core


def start_a_router_at_a_cut_off_member(seats):
    """Start a router that reaches only a member which is cut off from the others.

    Returns the router's node and the core.
    """
    core = core_with_plan(seats)
    others = [name for name in core.machines if name != "core-1"]
    core.world.cut(["core-1"], others)
    assert core.put(4, 9, "later", PLAN, "core-2")[0][0] is None
    core.world.run_for(Bounds().contact_us)
    router = add_router(core, "edge-1", Bounds(plan_stale_us=None, seats=seats))
    core.world.cut(["edge-1"], others)
    router.start()
    core.world.run_for(15 * SECOND)
    return router.node, core


@pytest.mark.parametrize("seats", [3, 5])
def test_a_fresh_router_is_not_given_an_old_configuration_by_a_member_that_is_cut_off(seats):
    router, core = start_a_router_at_a_cut_off_member(seats)
    assert (router.snapshot.configuration, router.is_ready()) == (None, False)
    core.world.heal()
    assert core.world.wait_for(lambda: router.snapshot.version == 2, 2 * SECOND, TICK_US)


def test_without_contact_a_fresh_router_is_given_an_old_configuration(monkeypatch):
    serve_without_quorum_contact(monkeypatch)
    router, _ = start_a_router_at_a_cut_off_member(3)
    assert router.snapshot.version == 1


@pytest.mark.parametrize("direction", [BOTH, OUT, IN])
@pytest.mark.parametrize("stale_us", [None, 1_500_000])
def test_a_router_cut_off_from_the_core_goes_on_or_closes_as_its_bounds_say(stale_us, direction):
    core = core_with_plan(3)
    router = add_router(core, "edge-1", Bounds(plan_stale_us=stale_us))
    router.start()
    assert core.world.wait_for(lambda: router.node.watcher.is_fresh(), 5 * SECOND, TICK_US)
    names = list(core.machines)
    if direction in (BOTH, OUT):
        core.world.cut(["edge-1"], names, both=False)
    if direction in (BOTH, IN):
        core.world.cut(names, ["edge-1"], both=False)
    core.world.run_for(SECOND)
    assert core.put(4, 9, "later", PLAN)[0][0] is None
    core.world.run_for((stale_us or 20 * SECOND) + 2 * TICK_US)
    assert router.node.watcher.is_fresh() == (stale_us is None)
    assert router.node.snapshot.version == 1
    core.world.heal()
    assert core.world.wait_for(lambda: router.node.snapshot.version == 2, SECOND, TICK_US)
    assert core.world.wait_for(lambda: router.node.watcher.is_fresh(), SECOND, TICK_US)


class RecordedCall(Call):
    """A call to a node's HTTP interface that records its answer and duration."""

    __slots__ = ("world", "status", "headers_out", "document", "took_us", "begun_us")

    def __init__(self, world, method, path, document=None):
        super().__init__(method, path, {}, json.dumps(document).encode() if document else b"")
        self.world = world
        self.status = None
        self.begun_us = world.now_us

    def answer(self, status, headers, body):
        self.is_ended = True
        self.status, self.headers_out, self.document = status, headers, json.loads(body)
        self.took_us = self.world.now_us - self.begun_us


def call(core, name, method, path, document=None):
    pending = RecordedCall(core.world, method, path, document)
    core.machines[name].node.serve(pending)
    core.world.wait_for(lambda: pending.is_ended, 5 * SECOND, ROUND_US)
    return pending


PUT = {"expect": 1, "put_id": "p", "plan": PLAN}
LATER_US = Bounds().majority_timeout_us // 3 + 2 * TICK_US
CALLS = [
    ("GET", "/v1/plan", None, 503, LATER_US),
    ("PUT", "/v1/plan", PUT, 503, LATER_US),
    ("PUT", "/v1/groups/g", {"expect": 1, "put_id": "q", "group": {}}, 503, LATER_US),
    ("GET", "/v1/groups", None, 200, 0),
    ("GET", "/v1/core", None, 200, ANSWER_TIMEOUT_US + 2 * TICK_US),
    ("GET", "/v1/standing", None, 200, 0),
    ("POST", "/v1/core/restore", None, 409, 0),
]


@pytest.mark.parametrize("seats", [3, 5])
@pytest.mark.parametrize("direction", [BOTH, OUT, IN])
def test_every_call_has_its_answer_at_a_member_that_hears_no_majority(seats, direction):
    core = core_with_plan(seats)
    others = [name for name in core.machines if name != "core-1"]
    if direction in (BOTH, OUT):
        core.world.cut(["core-1"], others, both=False)
    if direction in (BOTH, IN):
        core.world.cut(others, ["core-1"], both=False)
    core.world.run_for(Bounds().lease_us + SECOND)
    first = call(core, "core-1", "GET", "/v1/plan")
    assert first.status == 503 and first.took_us <= Bounds().majority_timeout_us + 2 * TICK_US
    for method, path, document, status, most_us in CALLS:
        answer = call(core, "core-1", method, path, document)
        assert (path, answer.status) == (path, status) and answer.took_us <= most_us
        if status == 503:
            assert answer.headers_out["retry-after"] == "1"
            assert answer.document["detail"]["why"] == "no_majority"
    standing = call(core, "core-1", "GET", "/v1/standing").document
    assert standing["is_current"] is False
    leases = call(core, "core-1", "GET", "/v1/core").document["duties"]
    assert not any(lease["held"] for lease in leases.values())


@pytest.mark.parametrize("seats", [3, 5])
def test_an_order_that_is_cut_off_between_the_rounds_is_unclear_at_once(seats):
    core = core_with_plan(seats)
    others = [name for name in core.machines if name != "core-1"]
    proposer = core.machines["core-1"].node.proposer
    handle_promise = proposer.node.handlers[Promise]

    def cut_after(message):
        handle_promise(message)
        if any(change.has_sent_accept for change in proposer.proposals.values()):
            core.world.cut(["core-1"], others, how=RESET)

    proposer.node.handlers[Promise] = cut_after
    answer = call(core, "core-1", "PUT", "/v1/plan", PUT)
    assert (answer.status, answer.document["code"]) == (504, "put_unknown")
    assert answer.document["done"] == "unknown" and answer.headers_out["retry-after"] == "1"
    assert answer.took_us <= Bounds().majority_timeout_us + 3 * TICK_US


def test_a_key_is_not_granted_by_a_router_that_hears_no_majority():
    fleet = SimFleet(LICENSING, 7, routers=2).start()
    fleet.world.run_for(3 * SECOND)
    cores = [host.name for host in fleet.registries.values()]
    fleet.world.cut(["edge-1"], cores)
    request = fleet.ask("entitlement-check", [fleet.routers["edge-1"].address], key="k")
    fleet.world.run_for(4 * SECOND)
    assert (request.how, request.code) == ("refused", "claim_unavailable")


def test_an_order_succeeds_where_both_rounds_take_longer_than_an_attempt():
    core = core_with_plan(3)
    for one in core.machines:
        for other in core.machines:
            if one != other:
                core.world.slow[(one, other)] = 120_000
    assert core.put(4, 9, "later", PLAN, "core-1")[0][0] is None


def test_a_slow_answer_is_no_silence_and_shows_that_a_majority_can_be_reached():
    core = core_with_plan(3)
    names = list(core.machines)
    core.world.cut(["core-1"], names)
    assert core.put(4, 9, "later", PLAN, "core-1")[0][0].code == "core_unready"
    core.world.heal()
    for name in names[1:]:
        core.world.slow[("core-1", name)] = core.world.slow[(name, "core-1")] = 100_000
    proposer = core.machines["core-1"].node.proposer
    assert proposer.is_cut_off
    core.put(4, 9, "later", PLAN, "core-1")
    assert core.world.wait_for(lambda: not proposer.is_cut_off, SECOND, TICK_US)
    assert core.put(4, 9, "later", PLAN, "core-1")[0][0] is None


def test_a_member_suspended_beyond_the_silence_bound_still_reads_pending_answers():
    core = core_with_plan(3)
    host = core.machines["core-1"]
    answers = core.put(4, 9, "later", PLAN, "core-1", wait=False)
    host.freeze()
    core.world.run_for(SECOND)
    host.wake()
    core.world.run_for(SECOND)
    assert answers and answers[0][0] is None
