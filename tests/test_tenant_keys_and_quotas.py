"""Edge cases of tenants' API keys and quotas, found in the review of issue 49.

Each test is named after the behaviour that its fault broke.
"""

import pytest
from keyed_router import KEY, OTHER_KEY, TENANTS, KeyedRouter, configuration
from quota_world import QuotaFleet, allowed, limit, worst_excess
from test_failure_detector import NAMES, MembershipNetwork, sent_by

import linkhaven.runtime.node as runtime_node
from linkhaven.api import ServiceError
from linkhaven.configuration.validation import decode_configuration
from linkhaven.credit.tenant_bucket import capacity_of, grant_rate, slice_life_us
from linkhaven.credit.tenant_quota import TenantQuotas
from linkhaven.membership.messages import Hello
from linkhaven.platform import names
from linkhaven.platform.translation import translate_configuration
from linkhaven.router import request as states
from linkhaven.runtime import Bounds

TENANT, OTHER = "school", "institute"
SECOND = 1_000_000


def test_refusals_that_give_tokens_back_do_not_recurse():
    """Their key was revoked while they waited for a token: each gives its token back at once."""
    fleet = QuotaFleet(1, {TENANT: limit(300, 400)}, routers=1)
    (router,) = fleet.routers
    quotas, turned_away = router.node.quotas, []

    def turn_away(request):
        turned_away.append(request)
        quotas.give_back(request)

    quotas.resume = turn_away
    router.do(lambda: [router.node.serve_tenant(TENANT) for _ in range(400)])
    fleet.world.run_for(SECOND)
    assert len(turned_away) == 400
    assert not quotas.meters[TENANT].waiting
    assert quotas.counts.given_back == quotas.counts.spent


def test_a_token_request_in_flight_at_a_freeze_is_sent_again():
    """After a freeze the event loop first handles its backlog, which drops old token requests."""
    fleet = QuotaFleet(1, {TENANT: limit(20, 10), OTHER: limit(20, 10)}, routers=1)
    (router,) = fleet.routers
    owners = [owner.name for owner in fleet.owners]
    fleet.world.cut([router.name], owners)
    router.do(lambda: router.node.serve_tenant(TENANT))
    fleet.world.run_for(10_000)
    router.do(lambda: router.node.serve_tenant(OTHER))
    router.freeze()
    fleet.world.run_for(SECOND)
    router.wake()
    fleet.world.heal()
    fleet.world.run_for(SECOND)
    router.do(lambda: router.node.serve_tenant(TENANT))
    fleet.world.run_for(SECOND)
    assert fleet.served(TENANT) == 1


LIMITED = {"rate_per_s": 1, "burst_size": 0}


def queued_requests(world, count):
    """Send requests with one key that stay queued, since no runner is open."""
    for runner in world.node.roster.runners.values():
        runner.is_switching = True
    calls = [world.ask(KEY, id=f"r-{place}", wait_us=2_000) for place in range(count)]
    assert {request.state for request in world.node.requests.rows()} == {states.QUEUED}
    return calls


def test_waiting_requests_count_against_the_limit_of_the_new_tenant_of_their_key():
    limited = {"name": "t-2", "api_keys": [OTHER_KEY], **LIMITED}
    world = KeyedRouter(tenants=(TENANTS[0], limited))
    world.run(20 * SECOND)
    calls = queued_requests(world, 60)
    moved = {**limited, "api_keys": [OTHER_KEY, KEY]}
    world.put([{"name": "t-1", "api_keys": []}, moved], wait=False)
    world.run(300_000)
    world.list_runners()
    world.run(300_000)
    tenants = {call.headers[names.TENANT] for call in world.sent}
    assert tenants == {"t-2"}
    assert len(world.sent) == world.node.tenant_quotas.counts.spent <= 20
    assert {call.code() for call in calls if call.status} == {"quota_spent"}


def test_the_token_of_a_request_whose_key_moved_returns_to_the_former_tenant():
    """The tenant has one token, which is free for its next request then."""
    world = KeyedRouter(tenants=({**TENANTS[0], **LIMITED}, TENANTS[1]))
    world.run(20 * SECOND)
    queued_requests(world, 1)
    given_back = world.node.tenant_quotas.counts.given_back
    world.put(
        [{"name": "t-1", "api_keys": ["key-new"], **LIMITED}, {"name": "t-2", "api_keys": [KEY]}],
        wait=False,
    )
    world.run(100_000)
    meter = world.node.tenant_quotas.meters["t-1"]
    assert world.node.tenant_quotas.counts.given_back == given_back + 1
    assert sum(each.spent for each in meter.slices) == 0
    world.list_runners()
    world.run(100_000)
    assert [call.headers[names.TENANT] for call in world.sent] == ["t-2"]


@pytest.mark.parametrize("overage", [0, 0.01, 0.1])
@pytest.mark.parametrize("slack", [0, 2, 20])
@pytest.mark.parametrize("rate, burst", [(1, 0), (7.5, 3), (400, 25)])
def test_the_bound_is_kept_however_narrow_it_is(overage, slack, rate, burst):
    bounds, tenant = Bounds(quota_overage=overage, quota_slack=slack), limit(rate, burst)
    span_us = bounds.quota_window_us + slice_life_us(bounds)
    granted = grant_rate(tenant, bounds) * span_us / SECOND + capacity_of(tenant, bounds)
    assert granted <= allowed(tenant, bounds) + 1e-6


def test_a_deployment_without_overage_serves_its_limited_tenants(monkeypatch):
    """Slices of tokens must stay valid for longer than their way to the router takes."""
    bounds, tenant = Bounds(quota_overage=0), limit(20, 10)
    monkeypatch.setattr(runtime_node, "Bounds", lambda: bounds)
    fleet = QuotaFleet(1, {TENANT: tenant, OTHER: tenant})
    fleet.load(TENANT, 10, 10)
    fleet.load(OTHER, 200, 10)
    fleet.world.run_for(11 * SECOND)
    assert fleet.served(TENANT) > 0.95 * fleet.asked[TENANT]
    most = worst_excess(fleet.arrivals, OTHER, tenant) + allowed(tenant)
    assert 0.8 * allowed(tenant, bounds) < most <= allowed(tenant, bounds)


@pytest.mark.parametrize(
    "tenant",
    [
        {"name": "t-1\n", "api_keys": [KEY]},
        {"name": "t-1", "api_keys": [KEY], "rate_per_s": float("inf")},
        {"name": "t-1", "api_keys": [KEY], "rate_per_s": 10**400},
        {"name": "t-1", "api_keys": [KEY], "rate_per_s": 1, "burst_size": float("inf")},
    ],
)
def test_a_tenant_that_could_never_be_served_is_refused(tenant):
    """A line end can't stand in a header, nor an infinite limit in JSON."""
    with pytest.raises(ServiceError) as refused:
        decode_configuration(translate_configuration(configuration([tenant]), 0.2, 10))
    assert refused.value.code == "plan_invalid"


def test_a_dropped_token_request_does_not_report_its_controller_again(monkeypatch):
    """The timeout reported it half a second earlier; the controller may have answered since."""
    fleet = QuotaFleet(1, {TENANT: limit(20, 10), OTHER: limit(20, 10)}, routers=1)
    (router,) = fleet.routers
    quotas = router.node.quotas
    fleet.world.cut([router.name], [owner.name for owner in fleet.owners])
    router.do(lambda: router.node.serve_tenant(TENANT))
    fleet.world.run_for(600_000)
    fleet.world.heal()
    quotas.unresponsive.clear()
    noted = []
    monkeypatch.setattr(
        TenantQuotas, "_note_unresponsive", lambda _, address: noted.append(address)
    )
    router.do(lambda: router.node.serve_tenant(OTHER))
    fleet.world.run_for(10_000)
    assert noted == [] and fleet.served(OTHER) == 1


def test_a_restart_with_a_clock_set_back_gets_a_higher_incarnation_at_once():
    """This holds also if the seed has just sent a full member list to another member."""
    net = MembershipNetwork(NAMES)
    seed, started = net.memberships[NAMES[0]], net.memberships[NAMES[1]]
    seed.joining.list_sent_us = net.now_us
    known = seed.peers[NAMES[1]].incarnation
    seed.peers[NAMES[1]].incarnation = known + 5
    net.sent.clear()
    seed.joining.on_hello(sent_by(NAMES[1], Hello(started.me.to_record())))
    assert started.me.incarnation > known + 5


def test_a_key_that_isnt_ascii_is_recognized():
    """Headers are bytes, while the operator's keys are UTF-8 text."""
    world = KeyedRouter(tenants=({"name": "t-1", "api_keys": ["clé-un"]},))
    world.ask("clé-un".encode().decode("latin-1"))
    assert [call.headers[names.TENANT] for call in world.sent] == ["t-1"]
    assert world.ask("clé-un", id="r-2").status == 401


def test_an_unreadable_key_is_refused_without_being_shown():
    tenant = {"name": "t-1", "api_keys": ["\ud800secret"]}
    with pytest.raises(ServiceError) as refused:
        translate_configuration(configuration([tenant]), 0.2, 10)
    assert refused.value.code == "plan_invalid"
    assert "secret" not in str(refused.value.as_document())
