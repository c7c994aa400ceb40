"""Tenants in a simulated fleet: faults of keys and limits, and sabotages of each mechanism."""

import pytest

from linkhaven.api import ServiceError
from linkhaven.credit.tenant_quota import TenantQuotas
from linkhaven.leases import shard_of
from linkhaven.router import native
from linkhaven.router.authentication import Authenticator
from linkhaven.runner import adapter
from linkhaven.stage.faults import TENANT_FAULTS
from linkhaven.stage.scenario import Scenario
from linkhaven.stage.sweep import draw_course
from linkhaven.stage.tenants import MADE_UP_TENANT, Credentials


def play(fault, seed=1, held_s=6, rate=None):
    scenario = Scenario("licensing-tenants", seed).load(2, rate)
    return scenario.fault(fault).load(held_s).close().end(calm_s=17)


@pytest.mark.parametrize("fault", TENANT_FAULTS)
def test_no_rule_is_broken_by_faults_of_tenants(fault):
    scenario = play(fault)
    assert scenario.breaches() == {}
    assert scenario.summary()["served"] > 100


def test_clients_made_up_names_and_used_revoked_keys_in_these_runs():
    scenario = play("revoke_keys")
    assert scenario.summary()["codes"]["api_key_unknown"] > 10
    asked = scenario.fleet.caller.node.asked.values()
    assert any(one.credentials.made_up_tenant == MADE_UP_TENANT for one in asked)


def pass_the_key_on(monkeypatch):
    read_key = native.take_api_key
    shown = {}

    def remember(headers):
        shown["key"] = key = read_key(headers)
        return key

    def add_key(self, request):
        return {**headers_of(self, request), "x-debug": str(shown.get("key"))}

    headers_of = adapter.RunnerClient._headers_of
    monkeypatch.setattr(native, "take_api_key", remember)
    monkeypatch.setattr(adapter.RunnerClient, "_headers_of", add_key)


def name_no_tenant(monkeypatch):
    monkeypatch.setattr(
        adapter.RunnerClient, "_headers_of", lambda self, request: dict(adapter.HEADERS)
    )


def name_what_the_client_says(monkeypatch):
    monkeypatch.setattr(
        adapter.RunnerClient,
        "_headers_of",
        lambda self, request: {
            **adapter.HEADERS,
            adapter.TENANT: request.call.headers.get(adapter.TENANT) or request.tenant,
        },
    )


def let_any_key_in(monkeypatch):
    authenticate = Authenticator.authenticate

    def lenient(self, kind, key_digest):
        try:
            return authenticate(self, kind, key_digest)
        except Exception:
            return None

    monkeypatch.setattr(Authenticator, "authenticate", lenient)


def keep_the_first_index_of_keys(monkeypatch):
    apply = Authenticator.apply_configuration

    def apply_once(self, configuration):
        if self.tenants_by_digest is None:
            apply(self, configuration)

    monkeypatch.setattr(Authenticator, "apply_configuration", apply_once)


def ask_for_no_quota(monkeypatch):
    monkeypatch.setattr(TenantQuotas, "admit", lambda self, request: True)


def deny_everybody(monkeypatch):
    def deny(self, request):
        if request.tenant is not None:
            raise ServiceError("quota_spent", retry_us=1_000_000, tenant=request.tenant)
        return True

    monkeypatch.setattr(TenantQuotas, "admit", deny)


CASES = [
    (ask_for_no_quota, "hot_tenant", "tenants_keep_to_their_limits"),
    (ask_for_no_quota, "lower_limit", "tenants_keep_to_their_limits"),
    (deny_everybody, "add_key", "tenants_within_their_limits_are_served"),
    (pass_the_key_on, "add_key", "runners_see_no_keys"),
    (name_no_tenant, "add_key", "runners_see_the_holder_of_the_key"),
    (name_what_the_client_says, "add_key", "runners_see_the_holder_of_the_key"),
    (let_any_key_in, "strangers", "unknown_keys_run_nothing"),
    (keep_the_first_index_of_keys, "revoke_key", "revoked_keys_run_nothing"),
    (keep_the_first_index_of_keys, "add_key", "keys_in_force_are_accepted"),
    (keep_the_first_index_of_keys, "move_key", "runners_see_the_holder_of_the_key"),
]


@pytest.mark.parametrize(
    "sabotage, fault, rule", CASES, ids=[f"{case[0].__name__}-{case[1]}" for case in CASES]
)
def test_a_rule_about_tenants_breaks_without_its_mechanism(monkeypatch, sabotage, fault, rule):
    sabotage(monkeypatch)
    assert rule in play(fault, rate=16.0 if fault == "lower_limit" else None).breaches()


def test_tenant_faults_are_drawn_only_for_deployments_with_tenants():
    drawn = {
        deployment: {
            name for seed in range(200) for name, _, _ in draw_course(deployment, seed)["faults"]
        }
        for deployment in ("licensing", "licensing-tenants")
    }
    assert drawn["licensing"].isdisjoint(TENANT_FAULTS)
    assert drawn["licensing-tenants"] >= set(TENANT_FAULTS)


def owner_of(fleet, tenant):
    """Return the seat of the controller that grants a tenant's quota."""
    for seat, host in fleet.registries.items():
        leases = host.node.shard_leases
        if leases.is_owned(shard_of(tenant, leases.num_shards), fleet.world.now_us):
            return seat
    raise AssertionError(f"nobody owns the shard of {tenant}")


def ask_at_each_router(fleet, tenant):
    credentials = Credentials(tenant, fleet.tenants.configured_keys[tenant][0])
    return [
        fleet.ask("seat-question", [host.address], credentials=credentials)
        for host in fleet.routers.values()
    ]


def test_a_limit_that_is_raised_ends_the_waits_that_a_new_owner_told_under_the_low_one():
    """A new owner under a limit of one request per 20 s told routers to wait that long."""
    tenant = "institute"
    scenario = Scenario("licensing-tenants", 1).load(1)
    fleet = scenario.fleet
    fleet.stop_load()
    original_limit = fleet.tenants.limits[tenant]
    fleet.tenants.set_limit(tenant, 0.05, 1)
    scenario.faults._put_tenants()
    fleet.world.run_for(2_000_000)
    fleet.registries[owner_of(fleet, tenant)].kill()
    fleet.world.run_for(5_000_000)
    ask_at_each_router(fleet, tenant)
    fleet.world.run_for(1_000_000)
    fleet.tenants.set_limit(tenant, *original_limit)
    scenario.faults._put_tenants()
    fleet.world.run_for(4_000_000)
    asked = ask_at_each_router(fleet, tenant)
    fleet.settle()
    assert [one.code for one in asked] == [None] * len(asked)
