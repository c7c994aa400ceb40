"""Grants of one allowance and demands for it: incremental sums equal a full recount."""

import random

import pytest

from linkhaven.credit.demand import RouterDemands
from linkhaven.credit.grants import OutstandingGrants

SECOND = 1_000_000
LEASE_US = 3 * SECOND


class RecountedGrants:
    """A reference implementation of `OutstandingGrants` that recounts all grants at each call."""

    def __init__(self):
        self.held = {}

    def confirm(self, router, number, amount, expires_us, now_us):
        held = self.held.setdefault(router, [])
        held[:] = [grant for grant in held if grant[2] > now_us]
        if any(other == number for other, _, _ in held):
            held[:] = [grant for grant in held if grant[0] >= number]
        elif amount > 0:
            held.append((number, amount, expires_us))

    def add(self, router, number, amount, expires_us):
        self.held.setdefault(router, []).append((number, amount, expires_us))

    def amount_of_others(self, router, now_us):
        return sum(
            max((amount for _, amount, expires_us in held if expires_us > now_us), default=0.0)
            for other, held in self.held.items()
            if other != router
        )


def test_the_incremental_sum_equals_a_full_recount():
    for seed in range(30):
        rng, now_us = random.Random(seed), SECOND
        incremental, recounted, number, newest = OutstandingGrants(now_us), RecountedGrants(), 0, {}
        for _ in range(400):
            now_us += rng.randrange(300_000)
            router = f"router-{rng.randrange(12)}"
            if rng.random() < 0.3:
                held = (router, newest.get(router, 0) - rng.randrange(3), rng.random() * 100)
                for grants in (incremental, recounted):
                    grants.confirm(*held, now_us + LEASE_US, now_us)
            out = incremental.amount_of_others(router, now_us)
            assert out == pytest.approx(recounted.amount_of_others(router, now_us), abs=1e-6)
            number, rate = number + 1, rng.random() * 100
            newest[router] = number
            for grants in (incremental, recounted):
                grants.add(router, number, rate, now_us + LEASE_US)
        now_us += 2 * LEASE_US
        assert incremental.amount_of_others("nobody", now_us) == 0.0
        assert len(incremental) == 0


def test_shares_granted_from_what_is_left_never_sum_above_the_whole():
    for seed in range(30):
        rng, now_us, total = random.Random(seed), SECOND, 1000.0
        grants, held, number = OutstandingGrants(now_us), {}, 0
        for _ in range(600):
            now_us += rng.randrange(100_000)
            router = f"router-{rng.randrange(20)}"
            left = total - grants.amount_of_others(router, now_us)
            rate, number = max(0.0, min(left, rng.random() * 400)), number + 1
            grants.add(router, number, rate, now_us + LEASE_US)
            if rng.random() < 0.8:
                held[router] = (rate, now_us + LEASE_US)
                grants.confirm(router, number, rate, now_us + LEASE_US, now_us)
            spent = sum(amount for amount, expires_us in held.values() if expires_us > now_us)
            assert spent <= total * (1 + 1e-9)


def test_demand_of_routers_without_reports_expires():
    demand = RouterDemands(5 * SECOND)
    demand.record("router-1", 10.0, SECOND)
    demand.record("router-2", 30.0, 2 * SECOND)
    demand.record("router-1", 20.0, 3 * SECOND)
    demand.expire(6 * SECOND)
    assert demand.total == 50.0
    assert (demand.amount_of("router-1"), demand.amount_of("router-2")) == (20.0, 30.0)
    demand.expire(7 * SECOND)
    assert (demand.total, demand.amount_of("router-2")) == (20.0, None)
    demand.expire(8 * SECOND)
    assert (demand.total, demand.amount_of("router-1")) == (0.0, None)


def test_a_demand_that_ended_leaves_nothing_behind():
    """A remaining rounding error would cut the even shares of an idle fleet to a fifth."""
    demand = RouterDemands(LEASE_US)
    rng = random.Random(5)
    for _ in range(200):
        for router in range(7):
            demand.record(router, rng.random() * 1_000, SECOND)
    for router in range(7):
        demand.record(router, 0.0, SECOND)
    assert demand.total == 0.0
    demand.record(3, 8.5, SECOND)
    assert demand.total == 8.5
    demand.expire(SECOND + LEASE_US)
    assert (demand.total, demand.by_router) == (0.0, {})


def test_demand_that_falls_to_nothing_keeps_its_ratios():
    rng = random.Random(3)
    demand, latest = RouterDemands(5 * SECOND), {}
    for step in range(4_000):
        router = f"router-{rng.randrange(7)}"
        amount = 0.0 if step > 3_900 else rng.random() * 1e6 * 0.98**step
        latest[router] = amount
        demand.record(router, amount, SECOND)
        assert demand.total == pytest.approx(sum(latest.values()), rel=1e-6, abs=0)
    assert demand.total == 0.0
