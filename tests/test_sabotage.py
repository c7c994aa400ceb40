"""Each protective mechanism is disabled in turn: its rule must then break.

This shows that the runs that pass with the mechanism do cause the failure that it protects from.
"""

import pytest

from linkhaven.configuration import (
    ConfigurationSnapshot,
    ConfigurationWatcher,
    decode_configuration,
)
from linkhaven.consensus import Replica
from linkhaven.consensus.replica_state import ReplicaState
from linkhaven.controller.claim_admission import ClaimAdmission
from linkhaven.controller.role_change import RoleChange
from linkhaven.controller.runner_health import RunnerHealth
from linkhaven.credit import QuotaAllocator, RetryBudget
from linkhaven.leases import Lease
from linkhaven.router.attempts import Attempts
from linkhaven.router.chain import FilterChain
from linkhaven.router.keys import IdempotencyKeys
from linkhaven.router.relay import Relay
from linkhaven.router.request import Request
from linkhaven.runner import Roster, RunnerClient
from linkhaven.stage.fleet import LICENSING, SimFleet
from linkhaven.stage.scenario import Scenario
from linkhaven.stage.standins import StandInRunner

SECOND = 1_000_000


def forget_one_time(monkeypatch):
    fail = Attempts.fail

    def forgetful(self, request, runner, error, has_begun):
        request.has_begun = False
        fail(self, request, runner, error, has_begun)

    monkeypatch.setattr(Attempts, "fail", forgetful)


def crash_under_checks(fleet_of):
    scenario = fleet_of("licensing", 2)
    scenario.fleet.mix = {"entitlement-check": (1.0, 300, 8)}
    scenario.load(2, 40.0)
    for name in ("runner-3", "runner-4", "runner-5"):
        scenario.fault("crash_runner", name)
        scenario.load(1)
    scenario.close().end(calm_s=3)
    return scenario


def let_keys_pass(monkeypatch):
    monkeypatch.setattr(IdempotencyKeys, "claim", lambda self, request, go_on: go_on(request))


def one_key_through_two_routers(fleet_of):
    scenario = fleet_of("licensing", 3)
    routers = [host.address for host in scenario.fleet.routers.values()]
    for place in range(4):
        for router in routers[:2]:
            scenario.fleet.ask("entitlement-check", [router], key=f"key-{place}")
        scenario.load(0.2)
    return scenario.close().end(calm_s=2)


def grant_keys_from_an_empty_core(monkeypatch):
    monkeypatch.setattr(ClaimAdmission, "_have_enough_handed_over", lambda self, now_us: True)
    monkeypatch.setattr(ClaimAdmission, "on_claims", lambda self, message: None)


def use_keys_again_after_the_core_was_lost(fleet_of):
    scenario = fleet_of("licensing", 20).load(1)
    fleet = scenario.fleet
    routers = [host.address for host in fleet.routers.values()]
    for place in range(20):
        fleet.ask("entitlement-check", [routers[place % 7]], key=f"once-{place}")
    scenario.load(2)
    for host in fleet.registries.values():
        host.kill()
        host.disk.wipe()
    for host in fleet.registries.values():
        host.start()
    for turn in range(12):
        for place in range(20):
            fleet.ask("entitlement-check", [routers[(place + turn) % 7]], key=f"once-{place}")
        scenario.load(1)
    return scenario.close().end(calm_s=3)


def trust_any_plan(monkeypatch):
    monkeypatch.setattr(
        ConfigurationWatcher, "is_fresh", lambda self: self.snapshot.configuration is not None
    )
    monkeypatch.setattr("linkhaven.runner.Roster.is_fresh", lambda self: True)


def put_while_a_router_is_cut_off(fleet_of):
    scenario = fleet_of("licensing", 4).load(2)
    scenario.fault("cut_router_from_core", "edge-2").fault("burst_plans").load(6)
    return scenario.close().end(calm_s=3)


def spend_freely(monkeypatch):
    monkeypatch.setattr(
        RetryBudget, "spend", lambda self, reason, reserve=0.0, cost=1, pool=None: True
    )


def break_every_stream(fleet_of):
    scenario = fleet_of("licensing", 5).load(2, 10.0)
    return scenario.fault("garble_streams", "end").load(6).close().end(calm_s=3)


def keep_a_shot_at_every_router(monkeypatch):
    def apply_grant(self, attempts, number, expires_us):
        self.grant_expires_us = 1 << 60
        self.default_bucket.resize(0.0, 1.0, self.node.now_us())

    monkeypatch.setattr(RetryBudget, "apply_grant", apply_grant)


def fail_after_a_crowd_at_more_routers_than_planned(fleet_of):
    scenario = fleet_of("licensing", 21, routers=18).load(6, 40.0)
    fleet = scenario.fleet
    fleet.settle()
    fleet.world.run_for(11 * SECOND)
    scenario.fault("garble_streams", "end")
    for host in list(fleet.routers.values()) * 2:
        fleet.ask("seat-question", [host.address])
        fleet.world.run_for(50_000)
    fleet.world.run_for(3 * SECOND)
    return scenario.close().end(calm_s=3)


def overlook_leaving(monkeypatch):
    monkeypatch.setattr(RunnerHealth, "on_leaving", lambda self, runner: None)


def leave_slowly(fleet_of):
    scenario = fleet_of("licensing", 6).load(2, 16.0)
    return scenario.fault("replace_runner", "runner-4").load(8).close().end(calm_s=3)


def relay_anything(monkeypatch):
    def on_piece(self, piece):
        self.request.written = piece.number
        self.attempts.node.relay_piece(self.request, piece, 4, self.attempts.node.now_us())

    monkeypatch.setattr(Relay, "on_piece", on_piece)


def skip_pieces(fleet_of):
    scenario = fleet_of("licensing", 7).load(2)
    return scenario.fault("garble_streams", "skip").load(4).close().end(calm_s=3)


def refuse_what_was_begun(monkeypatch):
    monkeypatch.setattr(
        Attempts, "_with_unknown_outcome", lambda self, error: type(error)("no_runner")
    )


def share_without_counting(monkeypatch):
    monkeypatch.setattr(
        QuotaAllocator, "_unallocated", lambda self, group, router, total_rate, now_us: total_rate
    )
    monkeypatch.setattr(
        QuotaAllocator,
        "_rate_for",
        lambda self, group, router, allowance, now_us: allowance.rate / 2,
    )


def plain_load(fleet_of):
    return fleet_of("licensing", 8).load(10).close().end(calm_s=3)


def vote_from_an_empty_disk(monkeypatch):
    tick = Replica.tick

    def hasty(self, now_us):
        if self.is_empty and self.state is ReplicaState.RECOVERING and now_us > 3 * SECOND:
            return self.recovery._raise_incarnation([])
        tick(self, now_us)

    monkeypatch.setattr(Replica, "tick", hasty)


def lose_a_seat_that_alone_shared_the_put(fleet_of):
    scenario = fleet_of("licensing", 9)
    fleet = scenario.fleet
    fleet.registries["c"].kill()
    fleet.put_plan(fleet.plan, 1, "a")
    fleet.world.run_for(2 * SECOND)
    fleet.registries["b"].kill()
    fleet.registries["b"].disk.wipe()
    for host in fleet.routers.values():
        host.kill()
    fleet.registries["a"].freeze()
    fleet.registries["c"].start()
    fleet.registries["b"].start()
    fleet.world.run_for(8 * SECOND)
    fleet.operators[0].node.show(fleet.registries["c"].address, lambda status, document: None)
    fleet.world.run_for(4 * SECOND)
    return scenario


def forget_grants(monkeypatch):
    monkeypatch.setattr(Lease, "is_held", lambda self: self.fencing_token is not None)
    monkeypatch.setattr(Lease, "_lapse", lambda self: None)


def send_order_now(registry, phase):
    """Order runner-3 to change its phase, which the routers were not told before."""
    runner = registry.runner_discovery.runners["runner-3"]
    now_us = registry.now_us()
    registry.role_balancer.lease.announcement.announced_us = now_us
    registry.role_balancer.send_order(RoleChange(runner, phase, now_us), runner, now_us)


def sleep_over_an_order(fleet_of):
    scenario = fleet_of("licensing", 12).load(1)
    world = scenario.fleet.world

    def stewards():
        return [
            host
            for host in scenario.fleet.registries.values()
            if not host.is_frozen and host.node.leases["steward"].is_held()
        ]

    old = stewards()[0]
    runner = old.node.runner_discovery.runners["runner-3"]
    old.node.role_balancer.begin_change(runner, "prefill", world.now_us)
    world.run_for(300_000)
    old.freeze()
    world.wait_for(stewards)
    world.run_for(SECOND)
    new = stewards()[0].node.role_balancer
    new.begin_change(new.runner_discovery.runners["runner-4"], "prefill", world.now_us)
    world.run_for(3 * SECOND)
    old.wake()
    send_order_now(old.node, "prefill")
    return scenario.load(3).close().end(calm_s=3)


def trusting(fleet_of, seed, rate):
    return fleet_of("licensing", seed, runner_given={"is_trusting": True}).load(2, rate)


def use_any_memory(monkeypatch):
    monkeypatch.setattr(RunnerClient, "is_answer_to", lambda self, request, runner, document: True)


def mix_up_handles_of(how):
    def run(fleet_of):
        scenario = trusting(fleet_of, 13, 12.0)
        return scenario.fault("garble_streams", how).load(4).close().end(calm_s=3)

    return run


def take_any_image(monkeypatch):
    def take(self, value):
        if value is None:
            return
        self.value, self.version, self.highest_version = value, value["mark"], value["mark"]
        self.configuration = decode_configuration(value["plan"])

    monkeypatch.setattr(ConfigurationSnapshot, "take", take)
    monkeypatch.setattr(ConfigurationSnapshot, "observe_version", lambda self, version: None)
    monkeypatch.setattr(ConfigurationWatcher, "_is_source", lambda self, seat, now_us: True)


def hear_a_slow_seat_during_a_burst(fleet_of):
    scenario = trusting(fleet_of, 14, 60.0)
    scenario.fault("slow_seat", "b", 450_000)
    for _ in range(4):
        scenario.fault("burst_plans").load(0.5)
    return scenario.close().end(calm_s=1)


def overlook_a_runners_word(monkeypatch):
    monkeypatch.setattr(Roster, "note_leaving", lambda self, runner: None)


def leave_by_own_word(fleet_of):
    scenario = fleet_of("licensing", 15).load(2, 12.0)
    return scenario.fault("leave_unlisted", "runner-4").load(5).close().end(calm_s=3)


def take_orders_for_any_start(monkeypatch):
    find_fault = StandInRunner._find_fault

    def overlook(self, order):
        return find_fault(self, {**order, "incarnation": self.incarnation})

    monkeypatch.setattr(StandInRunner, "_find_fault", overlook)


def order_a_runner_that_restarts(fleet_of):
    scenario = fleet_of("licensing", 16).load(1)
    fleet, world = scenario.fleet, scenario.fleet.world

    def steward():
        return next(
            (host for host in fleet.registries.values() if host.node.leases["steward"].is_held()),
            None,
        )

    old, runner = steward(), fleet.runners["runner-3"]
    lease = old.node.leases["steward"]
    world.cut([old.name], [host.name for host in fleet.registries.values()])
    world.run_until(lease.expires_us - 20_000)
    world.slow[(old.name, runner.name)] = 1_300_000
    send_order_now(old.node, "prefill")
    world.run_for(200_000)
    assert world.wait_for(steward, SECOND, 10_000)
    new = steward().node
    new.runner_discovery.runners.setdefault(
        "runner-3", old.node.runner_discovery.runners["runner-3"]
    )
    send_order_now(new, "decode")
    world.run_for(100_000)
    runner.kill()
    runner.start()
    world.run_for(2 * SECOND)
    world.heal()
    return scenario.load(3).end(calm_s=3)


def forget_deadlines(monkeypatch):
    monkeypatch.setattr(
        Request, "deadline_us", property(lambda self: 1 << 60, lambda self, value: None)
    )


def mute_every_runner(fleet_of):
    scenario = fleet_of("licensing", 17).load(2)
    return scenario.fault("mute_runners").load(40).close().end(calm_s=3)


def believe_any_end(monkeypatch):
    monkeypatch.setattr(
        Relay, "on_done", lambda self, piece: self.attempts.node.end_done(self.request)
    )


def end_early(fleet_of):
    scenario = fleet_of("licensing", 18).load(2)
    return scenario.fault("garble_streams", "early").load(4).close().end(calm_s=3)


def leave_duties_vacant(monkeypatch):
    ask = Lease._request

    def renew_only(self, now_us, token, renewal):
        if self.fencing_token is not None:
            ask(self, now_us, token, renewal)

    monkeypatch.setattr(Lease, "_request", renew_only)
    monkeypatch.setattr(Lease, "is_holder_suspected", lambda self: False)


def lose_the_roster_holder(fleet_of):
    scenario = fleet_of("licensing", 19).load(2)
    seat = next(
        seat
        for seat, host in scenario.fleet.registries.items()
        if host.node.leases["roster"].is_held()
    )
    return scenario.fault("empty_core", seat).load(3).close().end(calm_s=20)


CASES = [
    (use_any_memory, mix_up_handles_of("request"), "memory_is_never_shared"),
    (use_any_memory, mix_up_handles_of("shot"), "memory_is_never_shared"),
    (take_any_image, hear_a_slow_seat_during_a_burst, "marks_never_go_back"),
    (overlook_a_runners_word, leave_by_own_word, "leaving_runners_get_no_work"),
    (take_orders_for_any_start, order_a_runner_that_restarts, "one_holder_orders"),
    (forget_deadlines, mute_every_runner, "every_caller_hears_back"),
    (believe_any_end, end_early, "streams_are_whole"),
    (leave_duties_vacant, lose_the_roster_holder, "work_is_served_again"),
    (forget_grants, sleep_over_an_order, "one_holder_orders"),
    (forget_one_time, crash_under_checks, "one_time_work_runs_once"),
    (
        grant_keys_from_an_empty_core,
        use_keys_again_after_the_core_was_lost,
        "one_time_work_runs_once",
    ),
    (let_keys_pass, one_key_through_two_routers, "one_time_work_runs_once"),
    (trust_any_plan, put_while_a_router_is_cut_off, "plans_are_in_force"),
    (spend_freely, break_every_stream, "extra_shots_keep_to_the_budget"),
    (
        keep_a_shot_at_every_router,
        fail_after_a_crowd_at_more_routers_than_planned,
        "extra_shots_keep_to_the_budget",
    ),
    (overlook_leaving, leave_slowly, "leaving_runners_get_no_work"),
    (relay_anything, skip_pieces, "streams_are_whole"),
    (refuse_what_was_begun, crash_under_checks, "a_refusal_means_not_done"),
    (share_without_counting, plain_load, "shares_stay_within_the_allowance"),
    (vote_from_an_empty_disk, lose_a_seat_that_alone_shared_the_put, "acknowledged_plans_survive"),
]


def make(deployment, seed, **given):
    return Scenario(deployment, seed, **given)


@pytest.mark.parametrize(
    "sabotage, run, rule",
    CASES,
    ids=[f"{case[0].__name__}-{place}" for place, case in enumerate(CASES)],
)
def test_a_rule_breaks_without_its_mechanism_and_holds_with_it(monkeypatch, sabotage, run, rule):
    with monkeypatch.context() as patch:

        def make_sabotaged(deployment, seed, **given):
            scenario = make(deployment, seed, **given)
            sabotage(patch)
            return scenario

        assert rule in run(make_sabotaged).breaches()
    assert run(make).breaches() == {}


@pytest.mark.parametrize("how", ["skip", "repeat", "foreign", "end", "early", "request"])
def test_a_garbled_stream_is_cut_off_and_breaks_no_rule(how):
    scenario = Scenario("licensing", 10).load(1)
    scenario.fault("garble_streams", how).load(4)
    scenario.close().end(calm_s=3)
    assert scenario.breaches() == {}
    codes = scenario.summary()["codes"]
    assert codes.get("stream_broken") or codes.get("runner_lost") or codes.get("extra_spent")


def test_a_full_queue_and_a_busy_node_refuse_at_once():
    fleet = SimFleet(LICENSING, 11).start()
    router = fleet.routers["edge-1"]
    router.node.max_requests = 3
    asked = [fleet.ask("audit-digest", [router.address]) for _ in range(8)]
    fleet.world.run_for(100_000)
    assert [one.code for one in asked if one.code] == ["too_busy"] * 5


def test_a_filter_that_raises_answers_and_ends_the_chain():
    from linkhaven.api import ServiceError

    codes, requests_passed_on = [], []

    def refuse(request):
        raise ServiceError("queue_full")

    class FilteredRequest:
        next_filter = 0

    FilterChain(
        [refuse, requests_passed_on.append], lambda request, error: codes.append(error.code)
    ).run(FilteredRequest())
    assert (codes, requests_passed_on) == (["queue_full"], [])
