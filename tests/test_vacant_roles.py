"""A pool with a healthy runner never stays without a prefill or a decode runner.

All runners of a role are lost by announced departure, by freezing ("dark"), by crash or by
replacement, while the core is up, has no power for two seconds, or has just restarted. The tests
bound the time from when the loss is detectable to the order that fills the role. Issue 23;
docs/findings-play.md, 6.
"""

import pytest
from pooled_fleet import POOL, POOLED, SLOTS, SPEEDS, PooledFleet

from linkhaven.controller import ControllerNode
from linkhaven.controller.role_change import RoleChange
from linkhaven.controller.role_decisions import NOTICE_US
from linkhaven.controller.runner_discovery import RETRY_INTERVAL_US
from linkhaven.controller.runner_health import UNANSWERED_US
from linkhaven.leases.observer import MARGIN_US, RANK_US
from linkhaven.runner.roster import DECODE, PREFILL
from linkhaven.runtime import Bounds
from linkhaven.stage.fleet import SECOND

MS = 1_000
STEP = 5 * MS
SEEDS = range(1, 5)
LOSSES = ("departure", "dark", "crash", "replacement")
LEASE_US = 3 * SECOND
POWER_OFF_US = 2 * SECOND
CANDIDATE_RANKS = 3
PREFILL_RUNNERS = 3
"""How many of five runners the ratio search assigns to prefill without traffic."""

BOUNDS = {
    "lease_us": LEASE_US,
    "orders_after_us": LEASE_US,
    "poll_us": 500 * MS,
    "report_us": SECOND,
    "post_pause_hold_us": 500 * MS,
}
"""The core's bounds as the users' platform sets them for a departure notice of 3 s."""

DETECTION_US = UNANSWERED_US + RETRY_INTERVAL_US
"""The time from an unanswered request to the confirmation that a runner is unresponsive."""


class RolesFleet(PooledFleet):
    """A pooled fleet whose core uses the platform's bounds."""

    __slots__ = ()

    def _build_registry(self, seat, seeds=None):
        def build(host, ports):
            return ControllerNode(
                host.name,
                host.address,
                ports,
                host.zone,
                seeds or self.seeds,
                host.wall_us() + host.starts,
                seat,
                self.platform.address,
                bounds=Bounds(**BOUNDS),
            )

        return build


def fleet(seed, search=True):
    """Start a fleet without traffic: three prefill and two decode runners; orders are permitted."""
    plan = POOLED.plan(pools={POOL: {"switch_us": SECOND}})
    plan["taichi"] = {"prefill_tokens_per_s": 0, "search": search, "dwell_us": 4 * SECOND}
    sim = RolesFleet(POOLED, seed, speeds=SPEEDS, plan=plan, runner_given={"kv_total": 403_000})
    sim.phases = {
        f"runner-{place}": PREFILL if place <= PREFILL_RUNNERS else DECODE
        for place in range(1, POOLED.runners + 1)
    }
    sim.world.is_tracing = True
    sim.start()
    assert sim.world.wait_for(lambda: may_order(sim), 12 * SECOND)
    sim.world.run_for(SECOND + sim.world.dice.randrange(SECOND))
    return sim


def holder(sim):
    return next(
        (
            host.node
            for host in sim.registries.values()
            if host.node and not host.is_still and host.node.leases["steward"].is_held()
        ),
        None,
    )


def may_order(sim):
    node = holder(sim)
    return node is not None and node.role_balancer.permission.may_order(sim.world.now_us)


def with_role(sim, phase):
    return [
        name
        for name, host in sim.runners.items()
        if host.node is not None and host.node.phase == phase
    ]


def lose_and_wait(sim, names, loss):
    """Lose the runners, and wait until a running core can detect it."""
    keys = [name.replace("-", "_") for name in names]
    if loss == "departure":
        sim.list_runners(**{key: "leaving" for key in keys})
        sim.world.run_for(sim.platform.node.lag_us + BOUNDS["poll_us"])
    elif loss == "replacement":
        for name in names:
            sim.runners[name].kill()
        sim.list_runners(**{key: "gone" for key in keys})
        sim.world.run_for(sim.platform.node.lag_us + BOUNDS["poll_us"])
    else:
        for name in names:
            fail_runner(sim.runners[name], loss)
        sim.world.run_for(Bounds(**BOUNDS).unresponsive_after_us + BOUNDS["report_us"])


def fail_runner(host, loss):
    if loss == "dark":
        host.freeze()
    else:
        host.kill()


def orders(sim, phase, since_us):
    return [
        at_us
        for at_us, _, number, facts in sim.world.events
        if number == 1501 and facts["phase"] == phase and at_us >= since_us
    ]


def holders_are_a_lease_apart(sim):
    """Whether any two orders of different holders are at least one lease apart."""
    sent = [(at_us, node) for at_us, node, number, _ in sim.world.events if number == 1501]
    return all(
        before == after or after_us - before_us >= LEASE_US
        for (before_us, before), (after_us, after) in zip(sent, sent[1:], strict=False)
    )


def violations(sim):
    return [event for event in sim.world.events if event[2] == 1901]


def wait_for_order(sim, phase, since_us, timeout_us):
    sim.world.wait_for(lambda: orders(sim, phase, since_us), timeout_us, STEP)
    sent = orders(sim, phase, since_us)
    assert sent, f"no order to {phase} within {timeout_us} us"
    return sent[0]


def cut_power(sim):
    for host in sim.registries.values():
        host.kill()


def restore_power(sim):
    for host in sim.registries.values():
        host.start()


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_vacant_decode_role_is_filled_as_soon_as_the_loss_is_known(seed, loss):
    sim = fleet(seed)
    start_us = sim.world.now_us
    lose_and_wait(sim, with_role(sim, DECODE), loss)
    known_us = sim.world.now_us
    sent_us = wait_for_order(sim, DECODE, start_us, 5 * SECOND)
    allowed_us = 50 * MS if loss in ("departure", "replacement") else DETECTION_US
    assert sent_us - known_us <= allowed_us
    sim.world.run_for(6 * SECOND)
    assert not violations(sim)


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_vacant_prefill_role_is_filled_after_the_routers_were_notified(seed, loss):
    sim = fleet(seed)
    start_us = sim.world.now_us
    lose_and_wait(sim, with_role(sim, PREFILL), loss)
    known_us = sim.world.now_us
    sent_us = wait_for_order(sim, PREFILL, start_us, 5 * SECOND)
    allowed_us = NOTICE_US + (50 * MS if loss in ("departure", "replacement") else DETECTION_US)
    assert sent_us - known_us <= allowed_us
    sim.world.run_for(6 * SECOND)
    assert not violations(sim)
    assert len(with_role(sim, DECODE)) >= 1


@pytest.mark.parametrize("second", LOSSES)
@pytest.mark.parametrize("first", LOSSES)
def test_a_role_whose_runners_are_lost_one_after_the_other_is_filled(first, second):
    sim = fleet(9)
    last, other = with_role(sim, DECODE)
    start_us = sim.world.now_us
    lose_and_wait(sim, [last], first)
    lose_and_wait(sim, [other], second)
    known_us = sim.world.now_us
    sent_us = wait_for_order(sim, DECODE, start_us, 5 * SECOND)
    assert sent_us - known_us <= DETECTION_US
    sim.world.run_for(6 * SECOND)
    assert not violations(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_role_is_filled_again_when_the_runner_that_filled_it_is_lost_too(seed):
    sim = fleet(seed)
    start_us = sim.world.now_us
    lose_and_wait(sim, with_role(sim, DECODE), "departure")
    wait_for_order(sim, DECODE, start_us, SECOND)
    sim.world.run_for(SECOND)
    replacements = [
        name for name in ("runner-1", "runner-2", "runner-3") if name in with_role(sim, DECODE)
    ]
    assert len(replacements) == 1
    again_us = sim.world.now_us
    left = {f"runner_{place}": "leaving" for place in (4, 5)}
    sim.list_runners(**left, **{replacements[0].replace("-", "_"): "leaving"})
    sim.world.run_for(sim.platform.node.lag_us + BOUNDS["poll_us"])
    known_us = sim.world.now_us
    sent_us = wait_for_order(sim, DECODE, again_us, 3 * SECOND)
    assert sent_us - known_us <= 50 * MS, "the order waited for the dwell time after the former one"


@pytest.mark.parametrize("seed", SEEDS)
def test_four_of_five_runners_leave_at_once(seed):
    """As in the incident in docs/incidents: only one prefill runner stays."""
    sim = fleet(seed)
    start_us = sim.world.now_us
    lose_and_wait(sim, ["runner-2", "runner-3", "runner-4", "runner-5"], "departure")
    known_us = sim.world.now_us
    assert wait_for_order(sim, DECODE, start_us, 3 * SECOND) - known_us <= 50 * MS
    sim.world.run_for(2 * SECOND)
    assert with_role(sim, DECODE) == ["runner-1", "runner-4", "runner-5"]
    assert not violations(sim)


@pytest.mark.parametrize("moment", ["before", "without power", "just back"])
@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_restarted_core_fills_a_vacant_role_within_two_leases(seed, loss, moment):
    """One lease and a margin until the lease is won, one more until the new holder may order."""
    sim = fleet(seed)
    lost = with_role(sim, DECODE)
    if moment == "before":
        lose_now(sim, lost, loss)
    cut_power(sim)
    if moment == "without power":
        lose_now(sim, lost, loss)
    sim.world.run_for(POWER_OFF_US)
    restore_power(sim)
    back_us = sim.world.now_us
    if moment == "just back":
        sim.world.run_for(100 * MS)
        lose_now(sim, lost, loss)
    win_timeout_us = LEASE_US + MARGIN_US + CANDIDATE_RANKS * RANK_US + 500 * MS
    assert sim.world.wait_for(lambda: holder(sim), win_timeout_us, STEP)
    won_us = sim.world.now_us
    sent_us = wait_for_order(sim, DECODE, back_us, 2 * LEASE_US)
    assert holders_are_a_lease_apart(sim)
    assert sent_us - won_us <= LEASE_US + 50 * MS
    sim.world.run_for(6 * SECOND)
    assert not violations(sim)


def lose_now(sim, names, loss):
    keys = [name.replace("-", "_") for name in names]
    if loss == "departure":
        return sim.list_runners(**{key: "leaving" for key in keys})
    for name in names:
        fail_runner(sim.runners[name], "crash" if loss == "replacement" else loss)
    if loss == "replacement":
        sim.list_runners(**{key: "gone" for key in keys})


def test_no_order_takes_the_last_decoder_that_stays():
    """One of two decoders begins to leave while the other's order waits for the notice to end."""
    sim = fleet(21, search=False)
    role_balancer = holder(sim).role_balancer
    start_us = sim.world.now_us
    sim.list_runners(runner_4="leaving")
    sim.world.run_for(sim.platform.node.lag_us)
    assert not role_balancer.runner_discovery.runners["runner-4"].is_leaving
    role_balancer.begin_change(
        role_balancer.runner_discovery.runners["runner-5"], PREFILL, sim.world.now_us
    )
    sim.world.run_for(3 * SECOND)
    assert role_balancer.runner_discovery.runners["runner-4"].is_leaving
    assert not orders(sim, PREFILL, start_us)
    assert not role_balancer.orders.changes


@pytest.mark.parametrize("loss", ["dark", "crash"])
def test_no_order_leaves_a_role_to_a_suspected_runner(loss):
    sim = fleet(22, search=False)
    role_balancer = holder(sim).role_balancer
    start_us = sim.world.now_us
    fail_runner(sim.runners["runner-4"], loss)
    sim.world.run_for(BOUNDS["report_us"])
    role_balancer.begin_change(
        role_balancer.runner_discovery.runners["runner-5"], PREFILL, sim.world.now_us
    )
    sim.world.run_for(3 * SECOND)
    assert not orders(sim, PREFILL, start_us)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_prefill_order_takes_the_last_decoder_while_both_roles_lose_runners(seed):
    """All prefill runners leave; during the notice of a prefill order all but one decoder leave."""
    sim = fleet(seed)
    role_balancer = holder(sim).role_balancer
    start_us = sim.world.now_us
    prefill_runners = with_role(sim, PREFILL)
    sim.list_runners(**{name.replace("-", "_"): "leaving" for name in prefill_runners})
    assert sim.world.wait_for(lambda: role_balancer.orders.changes, 2 * SECOND, STEP)
    left = {f"runner_{place}": "leaving" for place in (1, 2, 3, 4, 5)}
    chosen = next(iter(role_balancer.orders.changes))
    left[chosen.replace("-", "_")] = "serving"
    sim.list_runners(at_once=True, **left)
    sim.world.run_for(3 * SECOND)
    assert not orders(sim, PREFILL, start_us)
    assert sim.runners[chosen].node.phase == DECODE


def test_a_change_to_a_vacant_role_is_dropped_if_the_role_is_filled_again():
    sim = fleet(23)
    role_balancer = holder(sim).role_balancer
    start_us = sim.world.now_us
    runner = role_balancer.runner_discovery.runners["runner-1"]
    role_balancer.orders.changes[runner.name] = RoleChange(
        runner, DECODE, sim.world.now_us, NOTICE_US
    )
    sim.world.run_for(2 * SECOND)
    assert not orders(sim, DECODE, start_us)


class TwoPools(RolesFleet):
    """Runners 4 and 5 form another pool, where 4 is the prefill and 5 the decode runner."""

    __slots__ = ()

    def list_runners(self, at_once=False, **states):
        super().list_runners(at_once, **states)
        for record in self.platform.node.history[-1][1].values():
            is_other = record["name"] in ("runner-4", "runner-5")
            record.update(pool="other" if is_other else POOL, slots=SLOTS)


@pytest.mark.parametrize("loss", LOSSES)
def test_a_role_that_is_vacant_in_one_pool_only_is_filled_there(loss):
    plan = POOLED.plan(pools={POOL: {}, "other": {}})
    plan["taichi"] = {"prefill_tokens_per_s": 0}
    sim = TwoPools(POOLED, 31, speeds=SPEEDS, plan=plan, runner_given={"kv_total": 403_000})
    sim.phases = {
        "runner-1": PREFILL,
        "runner-2": DECODE,
        "runner-3": DECODE,
        "runner-4": PREFILL,
        "runner-5": DECODE,
    }
    sim.world.is_tracing = True
    sim.start()
    assert sim.world.wait_for(lambda: may_order(sim), 12 * SECOND)
    sim.world.run_for(SECOND)
    start_us = sim.world.now_us
    lose_and_wait(sim, ["runner-5"], loss)
    wait_for_order(sim, DECODE, start_us, 2 * SECOND)
    sim.world.run_for(SECOND)
    assert sim.runners["runner-4"].node.phase == DECODE
    assert sim.runners["runner-1"].node.phase == PREFILL


def test_a_role_that_stays_vacant_is_logged_and_counted_once():
    """Sabotage: the runners ignore all orders, so the decode role stays vacant."""
    sim = fleet(41)
    for host in sim.runners.values():
        host.node.routes[("POST", "/v1/phase")] = lambda call: call.answer_json(200, {})
    lose_and_wait(sim, with_role(sim, DECODE), "departure")
    sim.world.run_for(12 * SECOND)
    assert len(violations(sim)) == 1
    facts = violations(sim)[0][3]
    assert facts["invariant"] == "empty_side"
    assert facts["pool"] == POOL
    assert facts["phase"] == DECODE
    assert facts["for_us"] > facts["bound_us"]
    standing = holder(sim).role_balancer.as_record()
    assert standing["violations"] == {"empty_side": 1}
    assert standing["empty_sides_us"][f"{POOL}/{DECODE}"] > facts["bound_us"]
