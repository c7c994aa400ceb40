"""A pool that has a sound runner is never left without somebody who reads and somebody who decodes.

Each side is emptied by departure in order, by dark runners, by crashes and by replacement, with the
core up, without power for two seconds and just back. What is measured is the time from when the
loss can be known to the order that covers it. Issue 23; docs/findings-play.md, 6.
"""

import pytest
from pooled_fleet import POOL, POOLED, SLOTS, SPEEDS, PooledFleet

from linkhaven.controller import ControllerNode
from linkhaven.controller.role_change import RoleChange
from linkhaven.controller.role_decisions import NOTICE_US
from linkhaven.controller.runner_discovery import PRESS_US
from linkhaven.controller.runner_health import UNANSWERED_US
from linkhaven.leases.observer import MARGIN_US, RANK_US
from linkhaven.runner.roster import DECODE, PREFILL
from linkhaven.runtime import Bounds
from linkhaven.stage.fleet import SECOND

MS = 1_000
STEP = 5 * MS
SEEDS = range(1, 5)
WAYS = ("departure", "dark", "crash", "replacement")
LEASE_US = 3 * SECOND
POWER_OFF_US = 2 * SECOND
SWITCHER_RANKS = 3
READERS = 3
"""What the ratio search wants of five runners while there is no traffic."""

BOUNDS = {
    "lease_us": LEASE_US,
    "orders_after_us": LEASE_US,
    "poll_us": 500 * MS,
    "report_us": SECOND,
    "thaw_us": 500 * MS,
}
"""The core's bounds as the users' platform gives them for a notice of three seconds."""

SURE_US = UNANSWERED_US + PRESS_US
"""From an unanswered ask to the certainty that a runner is dark."""


class RolesFleet(PooledFleet):
    """The pooled fleet whose core has the platform's bounds too."""

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
    """A quiet fleet of five runners, of which three read, and whose holder may order."""
    plan = POOLED.plan(pools={POOL: {"switch_us": SECOND}})
    plan["taichi"] = {"prefill_tokens_per_s": 0, "search": search, "dwell_us": 4 * SECOND}
    one = RolesFleet(POOLED, seed, speeds=SPEEDS, plan=plan, runner_given={"kv_total": 403_000})
    one.phases = {
        f"runner-{place}": PREFILL if place <= READERS else DECODE
        for place in range(1, POOLED.runners + 1)
    }
    one.world.is_tracing = True
    one.start()
    assert one.world.wait_for(lambda: may_order(one), 12 * SECOND)
    one.world.run_for(SECOND + one.world.dice.randrange(SECOND))
    return one


def holder(one):
    return next(
        (
            host.node
            for host in one.registries.values()
            if host.node and not host.is_still and host.node.leases["steward"].is_held()
        ),
        None,
    )


def may_order(one):
    node = holder(one)
    return node is not None and node.role_balancer.permission.may_order(one.world.now_us)


def playing(one, phase):
    return [
        name
        for name, host in one.runners.items()
        if host.node is not None and host.node.phase == phase
    ]


def lose(one, names, way):
    """Lose the runners; returns once it can be known to the core that is up."""
    keys = [name.replace("-", "_") for name in names]
    if way == "departure":
        one.list_runners(**{key: "leaving" for key in keys})
        one.world.run_for(one.platform.node.lag_us + BOUNDS["poll_us"])
    elif way == "replacement":
        for name in names:
            one.runners[name].kill()
        one.list_runners(**{key: "gone" for key in keys})
        one.world.run_for(one.platform.node.lag_us + BOUNDS["poll_us"])
    else:
        for name in names:
            strike(one.runners[name], way)
        one.world.run_for(Bounds(**BOUNDS).dark_us + BOUNDS["report_us"])


def strike(host, way):
    if way == "dark":
        host.freeze()
    else:
        host.kill()


def orders(one, phase, since_us):
    return [
        at_us
        for at_us, _, number, facts in one.world.events
        if number == 1501 and facts["phase"] == phase and at_us >= since_us
    ]


def is_a_lease_between_holders(one):
    """Whether a lease lies between any two orders of different holders (ONE)."""
    sent = [(at_us, node) for at_us, node, number, _ in one.world.events if number == 1501]
    return all(
        before == after or after_us - before_us >= LEASE_US
        for (before_us, before), (after_us, after) in zip(sent, sent[1:], strict=False)
    )


def violations(one):
    return [event for event in one.world.events if event[2] == 1901]


def wait_for_order(one, phase, since_us, most_us):
    one.world.wait_for(lambda: orders(one, phase, since_us), most_us, STEP)
    sent = orders(one, phase, since_us)
    assert sent, f"no order to {phase} within {most_us} us"
    return sent[0]


def cut_power(one):
    for host in one.registries.values():
        host.kill()


def restore_power(one):
    for host in one.registries.values():
        host.start()


# the core is up


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_decoding_side_is_covered_as_soon_as_that_is_known(seed, way):
    one = fleet(seed)
    began_us = one.world.now_us
    lose(one, playing(one, DECODE), way)
    known_us = one.world.now_us
    sent_us = wait_for_order(one, DECODE, began_us, 5 * SECOND)
    allowed_us = 50 * MS if way in ("departure", "replacement") else SURE_US
    assert sent_us - known_us <= allowed_us
    one.world.run_for(6 * SECOND)
    assert not violations(one)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_reading_side_is_covered_after_the_routers_were_told(seed, way):
    one = fleet(seed)
    began_us = one.world.now_us
    lose(one, playing(one, PREFILL), way)
    known_us = one.world.now_us
    sent_us = wait_for_order(one, PREFILL, began_us, 5 * SECOND)
    allowed_us = NOTICE_US + (50 * MS if way in ("departure", "replacement") else SURE_US)
    assert sent_us - known_us <= allowed_us
    one.world.run_for(6 * SECOND)
    assert not violations(one)
    assert len(playing(one, DECODE)) >= 1


@pytest.mark.parametrize("second", WAYS)
@pytest.mark.parametrize("first", WAYS)
def test_a_side_emptied_one_after_the_other_in_two_ways_is_covered(first, second):
    one = fleet(9)
    last, other = playing(one, DECODE)
    began_us = one.world.now_us
    lose(one, [last], first)
    lose(one, [other], second)
    known_us = one.world.now_us
    sent_us = wait_for_order(one, DECODE, began_us, 5 * SECOND)
    assert sent_us - known_us <= SURE_US
    one.world.run_for(6 * SECOND)
    assert not violations(one)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_runner_that_was_to_cover_a_side_is_lost_too(seed):
    one = fleet(seed)
    began_us = one.world.now_us
    lose(one, playing(one, DECODE), "departure")
    wait_for_order(one, DECODE, began_us, SECOND)
    one.world.run_for(SECOND)
    covering = [
        name for name in ("runner-1", "runner-2", "runner-3") if name in playing(one, DECODE)
    ]
    assert len(covering) == 1
    again_us = one.world.now_us
    left = {f"runner_{place}": "leaving" for place in (4, 5)}
    one.list_runners(**left, **{covering[0].replace("-", "_"): "leaving"})
    one.world.run_for(one.platform.node.lag_us + BOUNDS["poll_us"])
    known_us = one.world.now_us
    sent_us = wait_for_order(one, DECODE, again_us, 3 * SECOND)
    assert sent_us - known_us <= 50 * MS, "the dwell after the former order holds this one back"


@pytest.mark.parametrize("seed", SEEDS)
def test_four_of_five_leave_at_once(seed):
    """The day of docs/incidents: only a reader stays."""
    one = fleet(seed)
    began_us = one.world.now_us
    lose(one, ["runner-2", "runner-3", "runner-4", "runner-5"], "departure")
    known_us = one.world.now_us
    assert wait_for_order(one, DECODE, began_us, 3 * SECOND) - known_us <= 50 * MS
    one.world.run_for(2 * SECOND)
    assert playing(one, DECODE) == ["runner-1", "runner-4", "runner-5"]
    assert not violations(one)


# the core is without power, or just back


@pytest.mark.parametrize("moment", ["before", "without power", "just back"])
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_restarted_core_covers_an_empty_side_within_two_leases(seed, way, moment):
    """One lease and a margin until the duty is won, one more until its holder may order (ONE)."""
    one = fleet(seed)
    lost = playing(one, DECODE)
    if moment == "before":
        lose_at_once(one, lost, way)
    cut_power(one)
    if moment == "without power":
        lose_at_once(one, lost, way)
    one.world.run_for(POWER_OFF_US)
    restore_power(one)
    back_us = one.world.now_us
    if moment == "just back":
        one.world.run_for(100 * MS)
        lose_at_once(one, lost, way)
    won_most_us = LEASE_US + MARGIN_US + SWITCHER_RANKS * RANK_US + 500 * MS
    assert one.world.wait_for(lambda: holder(one), won_most_us, STEP)
    won_us = one.world.now_us
    sent_us = wait_for_order(one, DECODE, back_us, 2 * LEASE_US)
    assert is_a_lease_between_holders(one)
    assert sent_us - won_us <= LEASE_US + 50 * MS
    one.world.run_for(6 * SECOND)
    assert not violations(one)


def lose_at_once(one, names, way):
    keys = [name.replace("-", "_") for name in names]
    if way == "departure":
        return one.list_runners(**{key: "leaving" for key in keys})
    for name in names:
        strike(one.runners[name], "crash" if way == "replacement" else way)
    if way == "replacement":
        one.list_runners(**{key: "gone" for key in keys})


# what an order would leave


def test_no_order_takes_the_last_decoder_that_stays():
    """Of two decoders one begins to leave while the other's order waits for the routers."""
    one = fleet(21, search=False)
    role_balancer = holder(one).role_balancer
    began_us = one.world.now_us
    one.list_runners(runner_4="leaving")
    one.world.run_for(one.platform.node.lag_us)
    assert not role_balancer.runner_discovery.runners["runner-4"].is_leaving
    role_balancer.begin_change(
        role_balancer.runner_discovery.runners["runner-5"], PREFILL, one.world.now_us
    )
    one.world.run_for(3 * SECOND)
    assert role_balancer.runner_discovery.runners["runner-4"].is_leaving
    assert not orders(one, PREFILL, began_us)
    assert not role_balancer.orders.changes


@pytest.mark.parametrize("way", ["dark", "crash"])
def test_no_order_leaves_a_side_to_a_runner_that_is_suspect(way):
    one = fleet(22, search=False)
    role_balancer = holder(one).role_balancer
    began_us = one.world.now_us
    strike(one.runners["runner-4"], way)
    one.world.run_for(BOUNDS["report_us"])
    role_balancer.begin_change(
        role_balancer.runner_discovery.runners["runner-5"], PREFILL, one.world.now_us
    )
    one.world.run_for(3 * SECOND)
    assert not orders(one, PREFILL, began_us)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_order_to_read_takes_the_last_decoder_while_readers_and_decoders_leave(seed):
    """The readers leave; while routers are told of the order to read, all but one decoder leave."""
    one = fleet(seed)
    role_balancer = holder(one).role_balancer
    began_us = one.world.now_us
    readers = playing(one, PREFILL)
    one.list_runners(**{name.replace("-", "_"): "leaving" for name in readers})
    assert one.world.wait_for(lambda: role_balancer.orders.changes, 2 * SECOND, STEP)
    left = {f"runner_{place}": "leaving" for place in (1, 2, 3, 4, 5)}
    chosen = next(iter(role_balancer.orders.changes))
    left[chosen.replace("-", "_")] = "serving"
    one.list_runners(at_once=True, **left)
    one.world.run_for(3 * SECOND)
    assert not orders(one, PREFILL, began_us)
    assert one.runners[chosen].node.phase == DECODE


def test_an_order_that_covers_a_side_is_dropped_where_somebody_plays_it_again():
    one = fleet(23)
    role_balancer = holder(one).role_balancer
    began_us = one.world.now_us
    runner = role_balancer.runner_discovery.runners["runner-1"]
    role_balancer.orders.changes[runner.name] = RoleChange(
        runner, DECODE, one.world.now_us, NOTICE_US
    )
    one.world.run_for(2 * SECOND)
    assert not orders(one, DECODE, began_us)


# several pools


class TwoPools(RolesFleet):
    """Runners 4 and 5 serve another pool: 4 reads there and 5 decodes."""

    __slots__ = ()

    def list_runners(self, at_once=False, **states):
        super().list_runners(at_once, **states)
        for record in self.platform.node.history[-1][1].values():
            is_other = record["name"] in ("runner-4", "runner-5")
            record.update(pool="other" if is_other else POOL, slots=SLOTS)


@pytest.mark.parametrize("way", WAYS)
def test_a_side_that_is_empty_in_one_pool_only_is_covered_there(way):
    plan = POOLED.plan(pools={POOL: {}, "other": {}})
    plan["taichi"] = {"prefill_tokens_per_s": 0}
    one = TwoPools(POOLED, 31, speeds=SPEEDS, plan=plan, runner_given={"kv_total": 403_000})
    one.phases = {
        "runner-1": PREFILL,
        "runner-2": DECODE,
        "runner-3": DECODE,
        "runner-4": PREFILL,
        "runner-5": DECODE,
    }
    one.world.is_tracing = True
    one.start()
    assert one.world.wait_for(lambda: may_order(one), 12 * SECOND)
    one.world.run_for(SECOND)
    began_us = one.world.now_us
    lose(one, ["runner-5"], way)
    wait_for_order(one, DECODE, began_us, 2 * SECOND)
    one.world.run_for(SECOND)
    assert one.runners["runner-4"].node.phase == DECODE
    assert one.runners["runner-1"].node.phase == PREFILL


# the invariant


def test_a_side_that_stays_empty_is_logged_and_counted_once():
    """Sabotage: the runners take no order, so the decoding side stays empty."""
    one = fleet(41)
    for host in one.runners.values():
        host.node.routes[("POST", "/v1/phase")] = lambda call: call.answer_json(200, {})
    lose(one, playing(one, DECODE), "departure")
    one.world.run_for(12 * SECOND)
    assert len(violations(one)) == 1
    facts = violations(one)[0][3]
    assert facts["invariant"] == "empty_side"
    assert facts["pool"] == POOL
    assert facts["phase"] == DECODE
    assert facts["for_us"] > facts["bound_us"]
    standing = holder(one).role_balancer.as_record()
    assert standing["violations"] == {"empty_side": 1}
    assert standing["empty_sides_us"][f"{POOL}/{DECODE}"] > facts["bound_us"]
