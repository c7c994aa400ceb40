"""Quotas of tenants in a simulated fleet of real controllers, leases, routers and runners."""

from collections import Counter
from types import SimpleNamespace

import pytest
from pooled_fleet import POOL, POOLED, SPEEDS, PooledFleet
from quota_world import allowed, limit, worst_excess

from linkhaven.configuration import digest_api_key
from linkhaven.runtime import read_json
from linkhaven.stage.fleet import SECOND
from linkhaven.stage.people import Caller
from linkhaven.stage.standins import StandInRunner

TENANTS = tuple(f"institute-{number}" for number in range(6))
HOT = TENANTS[0]
RATE, BURST = 6, 4
BASE_RATE = 2.0
"""Requests per second of each tenant."""


class TenantCaller(Caller):
    """Sends each request with the API key of the current `tenant`."""

    __slots__ = ("tenant", "tenant_of")

    def _send(self, asked, routers):
        if asked.id not in self.tenant_of:
            self.tenant_of[asked.id] = self.tenant
        asked.headers["x-api-key"] = f"key-of-{self.tenant_of[asked.id]}"
        super()._send(asked, routers)


class CountingRunner(StandInRunner):
    """Records the tenant of each request that it receives."""

    __slots__ = ("arrivals", "world")

    def serve(self, call):
        if call.path in ("/v1/prefill", "/v1/decode"):
            request = read_json(call.body)["request"].partition("/")[0]
            tenant = call.headers.get("x-tenant")
            self.arrivals.setdefault(request, (tenant, call.sent_us, self.world.now_us))
        super().serve(call)


class TenantFleet(PooledFleet):
    """A fleet whose callers are tenants with limits."""

    __slots__ = ("arrivals",)

    def __init__(self, seed, rate=RATE):
        self.arrivals = {}
        plan = POOLED.plan(pools={POOL: {}}, tenants=self.tenants_of(rate))
        plan["taichi"] = {"prefill_tokens_per_s": 0, "search": False}
        super().__init__(POOLED, seed, speeds=SPEEDS, plan=plan, runner_given={"kv_total": 403_000})

    @staticmethod
    def tenants_of(rate):
        return {
            name: {"keys": [digest_api_key(f"key-of-{name}")], "rate": rate, "burst": BURST}
            for name in TENANTS
        }

    def _build_caller(self, host, ports):
        caller = TenantCaller(
            host.name,
            host.address,
            ports,
            self.world.note,
            self.deployment.kinds,
            on_end=lambda asked: None,
        )
        caller.tenant, caller.tenant_of = HOT, {}
        return caller

    def _build_runner(self, host, ports):
        place = int(host.name.rpartition("-")[2])
        phase = "prefill" if place <= self.deployment.prefills else "decode"
        runner = CountingRunner(
            host.name,
            host.address,
            ports,
            host.wall_us() + host.starts,
            phase,
            record=self.world.note,
            speeds=self.speeds,
            die=host.kill,
            **self.runner_given,
        )
        runner.arrivals, runner.world = self.arrivals, self.world
        return runner

    def load_tenant(self, tenant, rate, seconds):
        end_us = self.world.now_us + int(seconds * SECOND)

        def send():
            if self.world.now_us >= end_us:
                return
            self.caller.node.tenant = tenant
            self.ask(self._pick_kind(), tokens=600)
            self.world.after(int(self.load_dice.expovariate(rate) * SECOND) + 1, send)

        self.world.after(int(self.load_dice.expovariate(rate) * SECOND) + 1, send)

    def codes(self, tenant):
        asked, of = self.caller.node.asked, self.caller.node.tenant_of
        return Counter(each.code or each.how for each in asked.values() if of[each.id] == tenant)

    def served_share(self, tenant):
        codes = self.codes(tenant)
        return codes["done"] / codes.total()

    def excess(self, tenant):
        return worst_excess(self.arrivals.values(), tenant, limit(RATE, BURST))

    def owners(self):
        nodes = [host.node for host in self.registries.values() if host.node]
        return {
            shard: node.name
            for node in nodes
            for shard in range(node.shard_leases.num_shards)
            if node.shard_leases.is_owned(shard, node.now_us())
        }


def started(seed, rate=RATE):
    fleet = TenantFleet(seed, rate).start()
    fleet.world.is_tracing = True
    fleet.world.run_for(6 * SECOND)
    return fleet


def events(fleet, number):
    return [facts for _, _, which, facts in fleet.world.events if which == number]


def test_a_hot_tenant_of_the_whole_fleet_is_held_to_its_limit_and_harms_no_other():
    fleet = started(1)
    assert len(fleet.owners()) == 3
    for name in TENANTS:
        fleet.load_tenant(name, BASE_RATE * (50 if name == HOT else 1), 10)
    fleet.world.run_for(12 * SECOND)
    assert fleet.excess(HOT) <= 0
    assert fleet.codes(HOT)["done"] > 0.85 * RATE * 10
    assert fleet.codes(HOT)["quota_spent"] > 700
    assert all(fleet.served_share(name) >= 0.98 for name in TENANTS[1:])
    assert not events(fleet, 1903) and not events(fleet, 1005)


@pytest.mark.parametrize("seed", range(20, 24))
def test_the_bound_holds_while_owners_die_freeze_and_are_cut_off(seed):
    fleet = started(seed)
    for name in TENANTS:
        fleet.load_tenant(name, 60 if name == HOT else BASE_RATE, 24)
    seats = list(fleet.registries)
    fleet.load_dice.shuffle(seats)
    fleet.world.run_for(3 * SECOND)
    fleet.registries[seats[0]].kill()
    fleet.world.run_for(3 * SECOND)
    fleet.registries[seats[0]].start()
    fleet.world.run_for(4 * SECOND)
    fleet.registries[seats[1]].freeze()
    fleet.world.run_for(3 * SECOND)
    fleet.registries[seats[1]].wake()
    fleet.world.run_for(3 * SECOND)
    alone = fleet.registries[seats[2]].name
    near = [alone, *(host.name for host in list(fleet.routers.values())[::2])]
    others = [*fleet.registries.values(), *fleet.routers.values()]
    fleet.world.cut(near, [host.name for host in others if host.name not in near])
    fleet.world.run_for(4 * SECOND)
    fleet.world.heal()
    fleet.world.run_for(8 * SECOND)
    assert max(fleet.excess(name) for name in TENANTS) <= 0
    assert fleet.codes(HOT)["done"] > 40
    assert not events(fleet, 1903) and not events(fleet, 1005)


def test_below_their_limits_tenants_lose_nothing_while_nothing_fails():
    fleet = started(30)
    for name in TENANTS:
        fleet.load_tenant(name, 0.6 * RATE, 15)
    fleet.world.run_for(17 * SECOND)
    codes = sum((fleet.codes(name) for name in TENANTS), Counter())
    assert not {"quota_spent", "quota_unknown"} & set(codes)
    assert codes["done"] > 0.98 * codes.total()


def test_a_held_request_is_dropped_when_its_caller_disconnects():
    fleet = started(31)
    for host in fleet.registries.values():
        host.freeze()
    router = next(iter(fleet.routers.values()))
    fleet.caller.node.tenant = HOT
    asked = fleet.ask("question", routers=[router.address], tokens=600)
    fleet.world.run_for(30_000)
    assert len(router.node.tenant_quotas.meters[HOT].waiting) == 1
    fleet.caller.node.hang_up(asked)
    fleet.world.run_for(30_000)
    assert not router.node.requests and not router.node.tenant_quotas.meters[HOT].waiting


def test_a_key_that_is_taken_away_while_its_request_is_held_is_refused():
    fleet = started(32)
    router = next(iter(fleet.routers.values()))
    edge, core = [router.name], [host.name for host in fleet.registries.values()]
    fleet.world.cut(edge, core)
    fleet.caller.node.tenant = HOT
    asked = fleet.ask("question", routers=[router.address], tokens=600)
    fleet.world.run_for(30_000)
    configuration = router.node.snapshot.configuration
    rest = {name: tenant for name, tenant in configuration.tenants.items() if name != HOT}
    changed = type(configuration)(
        **{
            field: getattr(configuration, field)
            for field in configuration.__struct_fields__
            if field != "tenants"
        },
        tenants=rest,
    )
    router.node.snapshot.configuration = changed
    router.node._apply_configuration()
    fleet.world.run_for(30_000)
    assert asked.code in ("api_key_unknown", "api_key_unconfirmed")


def test_the_operator_sees_limits_use_and_owner_and_no_key():
    fleet = started(33)
    fleet.load_tenant(HOT, 60, 3)
    fleet.world.run_for(3 * SECOND)
    told = []
    call = SimpleNamespace(answer_json=lambda status, document: told.append(document))
    for host in fleet.registries.values():
        host.node.quota_owner.serve(call)
    rows = [document["tenants"][HOT] for document in told]
    own = [row for row in rows if row["granted"] is not None]
    assert len(own) == 1 and len({row["owner"] for row in rows}) == 1
    assert own[0]["granted"] > 3 and own[0]["denied"] > 50
    assert (own[0]["rate"], own[0]["burst"]) == (RATE, BURST)
    assert "key" not in str(told)
    assert allowed(limit(RATE, BURST)) > own[0]["granted"]
