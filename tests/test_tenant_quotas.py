"""Quotas of tenants: the bound over all routers holds, and no tenant below it is refused."""

from types import SimpleNamespace

import pytest
from quota_world import (
    SECOND,
    Ownership,
    QuotaFleet,
    allowed,
    limit,
    tenants_of_shards,
    worst_excess,
)

from linkhaven.credit.quota_slices import QuotaSlice, TenantMeter
from linkhaven.credit.tenant_bucket import TenantBucket, capacity_of, slice_life_us
from linkhaven.credit.tenant_quota import TenantQuotas
from linkhaven.runtime import Bounds

HOT = next(iter(tenants_of_shards(1, 1, 1)))
"""A tenant of shard 0."""

BOUNDS = Bounds()


def fleet_with(seed, rate=20, burst=10, others=7, **given):
    tenants = tenants_of_shards(1 + others, rate, burst)
    return QuotaFleet(seed, tenants, **given)


# buckets and meters


@pytest.mark.parametrize("rate", [0.2, 1, 7.5, 40, 1_000])
@pytest.mark.parametrize("burst", [0, 1, 25, 400])
def test_the_capacity_of_a_bucket_never_exceeds_what_the_bound_leaves(rate, burst):
    tenant = limit(rate, burst)
    spent_in_a_window = rate * (BOUNDS.quota_window_us + slice_life_us(BOUNDS)) / SECOND
    assert spent_in_a_window + capacity_of(tenant, BOUNDS) <= allowed(tenant) + 1e-6


def test_a_bucket_of_a_new_owner_begins_empty_and_grants_no_more_than_its_level():
    bucket = TenantBucket(1, limit(10, 5), BOUNDS, won_us=0, now_us=0)
    assert bucket.take(4, 2, 0) == 0
    assert bucket.take(4, 2, 350_000) == 3
    assert bucket.is_settling
    assert bucket.retry_wait_us(350_000) == pytest.approx(50_000, abs=2)


def test_a_new_owner_is_settling_until_a_full_bucket_would_be_spent():
    bucket = TenantBucket(1, limit(10, 5), BOUNDS, won_us=0, now_us=0)
    denied = []
    for step in range(60):
        moment_us = step * 50_000
        if not bucket.take(1, 0, moment_us):
            denied.append((moment_us, bucket.is_settling))
    assert denied[0] == (0, True)
    over = [moment_us for moment_us, is_settling in denied if not is_settling]
    assert SECOND < over[0] < 2 * SECOND
    assert all(moment_us in over for moment_us, _ in denied if moment_us >= over[0])


def test_a_tenant_below_its_limit_is_not_denied_while_owners_change():
    fleet = fleet_with(16, rate=6, burst=6, others=0)
    fleet.world.run_for(5 * SECOND)
    fleet.load(HOT, 4, 20)
    for _ in range(4):
        fleet.world.run_for(4 * SECOND)
        host = next(host for host in fleet.owners if host.name == fleet.leases.holders[0])
        host.kill()
        fleet.world.after(SECOND, host.start)
    fleet.world.run_for(5 * SECOND)
    assert set(fleet.codes(HOT)) <= {"quota_unknown"}
    assert fleet.served(HOT) > 0.6 * fleet.asked[HOT]


def test_tokens_that_nobody_waits_for_are_not_granted_from_a_low_level():
    bucket = TenantBucket(1, limit(10, 10), BOUNDS, won_us=0, now_us=0)
    half = bucket.bucket.capacity / 2
    moment_us = int(half / 10 * SECOND)
    assert bucket.take(1, 5, moment_us) == 1
    full_us = moment_us + 10 * SECOND
    assert bucket.take(1, 5, full_us) == 6


def test_a_lowered_limit_takes_what_the_bucket_holds_above_it():
    bucket = TenantBucket(1, limit(100, 50), BOUNDS, won_us=0, now_us=10 * SECOND)
    bucket.apply_limit(limit(2, 1), BOUNDS, 10 * SECOND)
    assert bucket.take(1_000, 0, 10 * SECOND) == int(capacity_of(limit(2, 1), BOUNDS))


def test_denied_routers_are_told_to_retry_at_different_times():
    bucket = TenantBucket(1, limit(20, 0), BOUNDS, won_us=0, now_us=0)
    places = [bucket.retry_wait_us(0) for _ in range(3)]
    assert places == sorted(set(places))
    assert [bucket.retry_wait_us(0) for _ in range(10)][-1] <= 250_000


def test_a_token_that_is_given_back_after_its_slice_ended_is_not_spent_again():
    meter = TenantMeter(HOT, 0)
    meter.add_slice(1, 100)
    spent = meter.live_slice(50)
    spent.spent += 1
    assert meter.live_slice(60) is None
    meter.give_back(spent, 100)
    assert meter.live_slice(100) is None
    spent.spent += 1
    meter.give_back(spent, 70)
    assert meter.live_slice(80) is spent


# bound and refusals without faults


def test_a_tenant_at_fifty_times_its_usual_stays_within_its_bound():
    fleet = fleet_with(1)
    fleet.load(HOT, 50 * 12, 12)
    fleet.world.run_for(13 * SECOND)
    assert worst_excess(fleet.arrivals, HOT, fleet.tenants[HOT]) <= 0
    assert fleet.served(HOT) > 0.95 * 20 * 12
    assert set(fleet.codes(HOT)) == {"quota_spent"}
    assert not fleet.violations() and not fleet.faults()


@pytest.mark.parametrize(
    "num_routers", [None, 2, 1], ids=["all routers", "two routers", "one router"]
)
@pytest.mark.parametrize("rate,burst", [(20, 10), (1, 4), (0.4, 1), (150, 60)])
def test_a_tenant_within_its_limit_is_refused_nothing(rate, burst, num_routers):
    fleet = fleet_with(2, rate, burst, others=0)
    fleet.world.run_for(30 * SECOND)
    fleet.load_within(HOT, rate, burst, 30, fleet.routers[:num_routers] if num_routers else None)
    fleet.world.run_for(32 * SECOND)
    assert fleet.asked[HOT] > 0.6 * rate * 30
    assert fleet.refusals == []
    assert fleet.served(HOT) == fleet.asked[HOT]


def test_a_hot_tenant_takes_nothing_from_the_others():
    shares = []
    for factor in (1, 50):
        fleet = fleet_with(3)
        fleet.world.run_for(2 * SECOND)
        for name in fleet.tenants:
            fleet.load(name, 12 * (factor if name == HOT else 1), 10)
        fleet.world.run_for(11 * SECOND)
        shares.append({name: fleet.served(name) / fleet.asked[name] for name in fleet.tenants})
    without_overload, hot = shares
    assert all(
        without_overload[name] - hot[name] <= 0.02 for name in without_overload if name != HOT
    )


def test_a_request_that_was_never_sent_leaves_its_token_to_the_next():
    fleet = fleet_with(4, rate=0.5, burst=1, others=0)
    fleet.world.run_for(30 * SECOND)
    quotas = fleet.routers[0].node.quotas
    held = []
    quotas.resume = held.append
    fleet.send_one(HOT, fleet.routers[:1])
    fleet.world.run_for(SECOND // 10)
    assert len(held) == 1
    quotas.give_back(held[0])
    requests_before = quotas.counts.requests
    fleet.send_one(HOT, fleet.routers[:1])
    assert (quotas.counts.requests, quotas.counts.spent, quotas.counts.given_back) == (
        requests_before,
        2,
        1,
    )


def test_requests_that_are_held_go_on_in_the_order_in_which_they_came():
    fleet = fleet_with(17, others=0)
    fleet.world.run_for(3 * SECOND)
    router = fleet.routers[0].node
    went_on = []
    router.quotas.resume = lambda request: went_on.append(request.id)
    for _ in range(6):
        fleet.send_one(HOT, fleet.routers[:1])
    fleet.world.run_for(SECOND // 10)
    assert went_on == [f"{router.name}-{serial}" for serial in range(1, 7)]


def test_a_flooding_tenant_holds_no_more_requests_than_it_could_be_granted():
    fleet = fleet_with(18, rate=2, burst=3)
    fleet.world.cut([host.name for host in fleet.routers], [host.name for host in fleet.owners])
    for _ in range(200):
        fleet.send_one(HOT, fleet.routers[:1])
    other = next(name for name in fleet.tenants if name != HOT)
    fleet.send_one(other, fleet.routers[:1])
    meters = fleet.routers[0].node.quotas.meters
    assert len(meters[HOT].waiting) <= capacity_of(fleet.tenants[HOT], BOUNDS) + 1
    assert len(meters[other].waiting) == 1
    assert fleet.codes(HOT)["quota_spent"] == 200 - len(meters[HOT].waiting)
    assert fleet.codes(other) == {}


# changed limits


def test_a_lowered_limit_binds_a_window_after_it_is_in_force():
    fleet = fleet_with(5, rate=100, burst=50)
    fleet.load(HOT, 300, 20)
    fleet.world.run_for(6 * SECOND)
    lowered = {**fleet.tenants, HOT: limit(3, 2)}
    fleet.put_limits(lowered)
    in_force_us = fleet.world.now_us + 500_000
    fleet.world.run_for(14 * SECOND)
    assert (
        worst_excess(fleet.arrivals, HOT, lowered[HOT], in_force_us + BOUNDS.quota_window_us) <= 0
    )


def test_a_raised_limit_is_granted_at_once():
    fleet = fleet_with(6, rate=2, burst=1)
    fleet.load(HOT, 60, 12)
    fleet.world.run_for(5 * SECOND)
    fleet.put_limits({**fleet.tenants, HOT: limit(100, 50)}, within_us=1)
    fleet.world.run_for(SECOND // 2)
    refused, served = len(fleet.refusals), fleet.served(HOT)
    fleet.world.run_for(5 * SECOND)
    assert len(fleet.refusals) == refused
    assert fleet.served(HOT) - served > 200


def test_a_limit_that_is_raised_at_the_owner_last_is_granted_soon():
    fleet = fleet_with(19, rate=0.05, burst=1, others=0)
    fleet.load(HOT, 30, 12)
    fleet.world.run_for(5 * SECOND)
    raised = {HOT: limit(100, 50)}
    for host in fleet.routers:
        fleet._take_limits(host.name, raised)
    fleet.world.run_for(SECOND)
    for host in fleet.owners:
        fleet._take_limits(host.name, raised)
    fleet.world.run_for(SECOND)
    refused = len(fleet.refusals)
    fleet.world.run_for(4 * SECOND)
    assert len(fleet.refusals) == refused


def test_requests_held_when_their_tenant_becomes_unlimited_go_on():
    fleet = fleet_with(7)
    fleet.world.cut([host.name for host in fleet.routers], [host.name for host in fleet.owners])
    for _ in range(5):
        fleet.send_one(HOT)
    fleet.put_limits({**fleet.tenants, HOT: limit(0)}, within_us=1)
    fleet.world.run_for(SECOND)
    assert fleet.served(HOT) == 5 and not fleet.refusals
    fleet.put_limits({**fleet.tenants, HOT: limit(1, 1)}, within_us=1)
    fleet.world.run_for(SECOND)
    fleet.send_one(HOT)
    fleet.world.run_for(SECOND)
    assert fleet.codes(HOT) == {"quota_unknown": 1}


# failing owners


def test_without_an_owner_requests_fail_early_with_quota_unknown():
    fleet = fleet_with(8)
    for host in fleet.owners:
        host.kill()
    fleet.load(HOT, 12, 3)
    fleet.world.run_for(4 * SECOND)
    assert set(fleet.codes(HOT)) <= {"quota_unknown", "quota_spent"}
    assert fleet.codes(HOT)["quota_unknown"] > 25
    assert fleet.served(HOT) == 0


def test_after_an_owner_dies_tenants_below_their_limit_are_not_denied():
    fleet = fleet_with(9)
    for name in fleet.tenants:
        fleet.load(name, 12, 16)
    fleet.world.run_for(5 * SECOND)
    next(host for host in fleet.owners if host.name == fleet.leases.holders[0]).kill()
    fleet.world.run_for(3 * SECOND)
    before = len(fleet.refusals)
    fleet.world.run_for(8 * SECOND)
    assert {code for _, code, _ in fleet.refusals} <= {"quota_unknown"}
    assert before > 0 and len(fleet.refusals) == before


def test_a_controller_that_is_not_the_owner_passes_requests_on():
    fleet = fleet_with(10, others=0)
    fleet.world.run_for(3 * SECOND)
    shard_owner = fleet.leases.holders[0]
    others = [host.address for host in fleet.owners if host.name != shard_owner]
    fleet.preferred_address = lambda shard: others[0]
    fleet.controller_addresses = lambda: others
    fleet.send_one(HOT)
    fleet.world.run_for(SECOND // 20)
    assert fleet.served(HOT) == 1


def test_routers_that_are_cut_off_from_the_core_ask_through_others():
    fleet = fleet_with(14, owners=5)
    fleet.world.run_for(2 * SECOND)
    cut = fleet.routers[:6]
    fleet.world.cut([host.name for host in cut], [host.name for host in fleet.owners])
    for name in fleet.tenants:
        fleet.load(name, 12, 10, cut)
    fleet.world.run_for(2 * SECOND)
    asked, served = fleet.asked.total(), len(fleet.arrivals)
    fleet.world.run_for(6 * SECOND)
    assert len(fleet.arrivals) - served > 0.97 * (fleet.asked.total() - asked)
    fleet.world.heal()
    fleet.world.run_for(2 * SECOND)
    relayed = sum(host.node.quotas.relay.relayed.__len__() for host in fleet.routers)
    fleet.world.run_for(2 * SECOND)
    assert relayed > 0 and not any(host.node.quotas.unresponsive for host in cut)
    assert not fleet.faults() and not fleet.violations()


def test_a_hot_tenant_is_held_to_its_limit_through_other_routers_too():
    fleet = fleet_with(15, others=0)
    fleet.load(HOT, 400, 12)
    fleet.world.run_for(3 * SECOND)
    cut = [host.name for host in fleet.routers[:6]]
    fleet.world.cut(cut, [host.name for host in fleet.owners])
    fleet.world.run_for(5 * SECOND)
    fleet.world.heal()
    fleet.world.run_for(5 * SECOND)
    assert worst_excess(fleet.arrivals, HOT, fleet.tenants[HOT]) <= 0
    assert fleet.served(HOT) > 0.9 * 20 * 12


# bound under faults


class Faults:
    """Random faults of all kinds, about one per second, each undone within seconds."""

    def __init__(self, fleet):
        self.fleet, self.world, self.rng = fleet, fleet.world, fleet.rng
        self.cores = [host.name for host in fleet.owners]
        self.edges = [host.name for host in fleet.routers]

    def spread_over(self, seconds):
        faults = [
            lambda: self.restart(self.rng.choice(self.fleet.owners)),
            lambda: self.freeze(self.rng.choice(self.fleet.owners)),
            lambda: self.restart(self.rng.choice(self.fleet.routers)),
            lambda: self.freeze(self.rng.choice(self.fleet.routers)),
            self.halve,
            self.cut_routers,
            self.slow_links,
        ]
        for _ in range(seconds):
            self.world.after(self.rng.randrange(seconds * SECOND), self.rng.choice(faults))

    def restart(self, host):
        def come_back():
            if host.node is None:
                host.start()

        if host.node is not None:
            host.kill()
            self.world.after(self.rng.randrange(200_000, 3 * SECOND), come_back)

    def freeze(self, host):
        host.freeze()
        self.world.after(self.rng.randrange(100_000, 4 * SECOND), host.wake)

    def halve(self):
        left = set(self.rng.sample(self.cores, len(self.cores) // 2))
        left |= set(self.rng.sample(self.edges, len(self.edges) // 2))
        how = self.rng.choice(["silent", "reset", "refusal"])
        self.world.cut(left, {*self.cores, *self.edges} - left, how=how)
        self.world.after(self.rng.randrange(SECOND, 4 * SECOND), self.world.heal)

    def cut_routers(self):
        near = self.rng.sample(self.edges, len(self.edges) // 2)
        how = self.rng.choice(["silent", "reset"])
        self.world.cut(near, self.cores, both=self.rng.random() < 0.5, how=how)
        self.world.after(self.rng.randrange(SECOND, 4 * SECOND), self.world.heal)

    def slow_links(self):
        for core in self.cores:
            for edge in self.edges:
                self.world.slow[(core, edge)] = self.rng.randrange(3 * SECOND)
        self.world.after(self.rng.randrange(SECOND, 3 * SECOND), self.world.slow.clear)


def run_with_faults(seed, seconds=20, owners=3, **given):
    fleet = fleet_with(seed, owners=owners, **given)
    names = list(fleet.tenants)
    fleet.load(HOT, 50 * 12, seconds)
    fleet.load(names[1], 100, seconds)
    for name in names[2:]:
        fleet.load(name, 12, seconds)
    Faults(fleet).spread_over(seconds)
    fleet.world.run_for((seconds + 6) * SECOND)
    return fleet


def excesses(fleet):
    return {name: worst_excess(fleet.arrivals, name, fleet.tenants[name]) for name in fleet.tenants}


@pytest.mark.parametrize("seed", range(100, 112))
def test_the_bound_holds_under_kills_cuts_freezes_and_late_messages(seed):
    fleet = run_with_faults(seed, owners=3 if seed % 2 else 5, routers=8)
    assert max(excesses(fleet).values()) <= 0
    assert not fleet.violations() and not fleet.faults()
    assert fleet.served(HOT) > 20


# sabotages: without each mechanism the bound is broken


def late_responses():
    """Responses are delayed for some seconds and then arrive together, under overload."""
    fleet = fleet_with(11, others=0)
    fleet.load(HOT, 400, 14)
    fleet.world.run_for(3 * SECOND)
    owners, routers = ([host.name for host in hosts] for hosts in (fleet.owners, fleet.routers))
    fleet.world.cut(owners, routers, both=False)
    fleet.world.run_for(5 * SECOND)
    fleet.world.heal()
    fleet.world.run_for(8 * SECOND)
    return worst_excess(fleet.arrivals, HOT, fleet.tenants[HOT])


def test_slices_that_live_from_the_response_on_break_the_bound(monkeypatch):
    assert late_responses() <= 0
    take_grant = TenantQuotas._apply_grant

    def take_from_now(self, grant, sent, owner):
        take_grant(
            self,
            grant,
            SimpleNamespace(number=sent.number, sent_us=self.node.now_us(), is_relayed=False),
            owner,
        )

    monkeypatch.setattr(TenantQuotas, "_apply_grant", take_from_now)
    monkeypatch.setattr(TenantQuotas, "_drop_expired_requests", lambda self, now_us: None)
    assert late_responses() > 0


def test_slices_that_are_spent_after_their_end_break_the_bound(monkeypatch):
    assert late_responses() <= 0
    monkeypatch.setattr(QuotaSlice, "may_spend", lambda self, now_us: self.spent < self.count)
    monkeypatch.setattr(TenantQuotas, "_drop_expired_requests", lambda self, now_us: None)

    def take_late(self, message):
        sent = self.sent.get(message.number)
        for grant in message.grants:
            self.meters[grant.tenant].add_slice(grant.granted, sent.sent_us + grant.life_us)
            self._apply_grant(grant, sent, message.reply_to)

    monkeypatch.setattr(TenantQuotas, "on_quota_response", take_late)
    assert late_responses() > 0


def owners_in_turn():
    """The owner dies repeatedly, under overload."""
    fleet = fleet_with(12, rate=20, burst=100, others=0)
    fleet.load(HOT, 400, 14)
    fleet.world.run_for(4 * SECOND)
    for _ in range(4):
        holder = fleet.leases.holders[0]
        host = next(host for host in fleet.owners if host.name == holder)
        host.kill()
        fleet.world.after(SECOND, host.start)
        fleet.world.run_for(2 * SECOND)
    fleet.world.run_for(4 * SECOND)
    return worst_excess(fleet.arrivals, HOT, fleet.tenants[HOT])


def test_a_new_owner_that_starts_with_a_full_bucket_breaks_the_bound(monkeypatch):
    assert owners_in_turn() <= 0
    begin = TenantBucket.__init__

    def begin_full(self, epoch, tenant, bounds, won_us, now_us):
        begin(self, epoch, tenant, bounds, won_us, now_us)
        self.bucket.level = self.bucket.capacity

    monkeypatch.setattr(TenantBucket, "__init__", begin_full)
    assert owners_in_turn() > 0


def halved_core():
    """The owner of the shard and half of the routers are partitioned from the rest."""
    fleet = fleet_with(13, others=0)
    fleet.load(HOT, 400, 14)
    fleet.world.run_for(4 * SECOND)
    holder = fleet.leases.holders[0]
    near = [holder, *(host.name for host in fleet.routers[::2])]
    far = [host.name for host in [*fleet.owners, *fleet.routers] if host.name not in near]
    fleet.world.cut(near, far)
    fleet.world.run_for(12 * SECOND)
    return worst_excess(fleet.arrivals, HOT, fleet.tenants[HOT])


def test_two_owners_of_a_shard_break_the_bound(monkeypatch):
    assert halved_core() <= 0
    monkeypatch.setattr(Ownership, "is_owned", lambda self, shard, now_us: shard in self.until_us)
    assert halved_core() > 0
