"""Leases on shards in simulated controllers with real membership, replicas and replacement."""

import pytest

from linkhaven.configuration import digest_api_key
from linkhaven.stage.core import SimCore
from linkhaven.stage.cutcourse import PLAN

MS = 1_000
SECOND_US = 1_000_000
SAMPLE_US = 5 * MS
LIMITED = {**PLAN, "tenants": {"t": {"keys": [digest_api_key("k")], "rate": 5, "burst": 1}}}
UNLIMITED = {**PLAN, "tenants": {"t": {"keys": [digest_api_key("k")]}}}


class ShardCore:
    """Controllers whose owners of shards are sampled every `SAMPLE_US`."""

    def __init__(self, seed, seats=5, plan=LIMITED):
        self.core = SimCore(seed, seats=seats).bootstrap(3, seats - 3)
        self.world = self.core.world
        self.seats = seats
        assert self.core.wait_voting(seats)
        (told,) = self.core.put(0, 1, "text", plan)
        assert told[0] is None, told
        self.num_samples = 0
        self.breaches = []
        self._sample()
        self.world.run_for(6 * SECOND_US)

    def running(self):
        machines = self.core.machines.values()
        return [host for host in machines if host.node and not host.is_frozen]

    def owners_of(self, shard):
        return [
            host.name
            for host in self.running()
            if host.node.shard_leases.is_owned(shard, host.node.now_us())
        ]

    def owners(self):
        return [self.owners_of(shard) for shard in range(self.seats)]

    def _sample(self):
        self.num_samples += 1
        for shard, names in enumerate(self.owners()):
            if len(names) > 1:
                self.breaches.append((self.world.now_us, shard, names))
        self.world.after(SAMPLE_US, self._sample)

    def add_spare(self):
        place = len(self.world.hosts) + 1
        host = self.core.add(f"core-{place}", f"10.0.0.{place}:7000")
        host.start()
        return host

    def owner_of(self, shard):
        (name,) = self.owners_of(shard)
        return self.core.machines[name]

    def are_all_owned(self):
        return all(len(names) == 1 for names in self.owners())


@pytest.mark.parametrize("seats", [3, 5])
def test_a_core_with_limited_tenants_owns_every_shard_and_shows_it(seats):
    core = ShardCore(1, seats)
    assert core.are_all_owned() and not core.breaches
    for host in core.running():
        rows = host.node.node_status.facts()["tenant_shards"]
        assert [row["shard"] for row in rows] == list(range(seats))
        for row in rows:
            owner = core.owner_of(row["shard"])
            assert row["owner"] == owner.address and row["held"] == (owner is host)


@pytest.mark.parametrize("plan", [PLAN, UNLIMITED], ids=["no tenants", "no limits"])
def test_a_core_without_limited_tenants_asks_for_no_shard_and_shows_none(plan):
    core = ShardCore(1, plan=plan)
    for host in core.running():
        assert host.node.shard_leases.candidate.round_number == 0
        assert "tenant_shards" not in host.node.node_status.facts()


def test_shards_are_given_up_once_no_tenant_has_a_limit_any_more():
    core = ShardCore(1)
    core.core.put(1, 2, "text 2", UNLIMITED)
    core.world.run_for(SECOND_US)
    assert not any(core.owners())


def test_wins_and_losses_are_logged():
    core = ShardCore(1)
    owner = core.owner_of(0)
    epoch = owner.node.shard_leases.epoch_of(0)
    logged = [
        (number, facts)
        for _, name, number, facts in core.world.events
        if name == owner.name and number == 1403
    ]
    assert (1403, {"shard": 0, "epoch": epoch}) in logged


def test_a_controller_that_is_told_to_stop_leaves_its_shards_at_once():
    core = ShardCore(1)
    host = core.owner_of(0)
    host.node.drain(host.kill)
    core.world.run_for(400 * MS)
    assert core.are_all_owned() and core.owner_of(0) is not host
    core.world.run_for(6 * SECOND_US)
    assert not core.breaches


@pytest.mark.parametrize("seed", range(1, 5))
def test_a_replaced_controller_that_wakes_owns_no_shard_beside_its_successor(seed):
    core = ShardCore(seed, 3)
    old = core.owner_of(seed % 3)
    core.add_spare()
    old.freeze()
    core.world.run_for(8 * SECOND_US)
    assert core.are_all_owned()
    old.wake()
    core.world.run_for(5 * SECOND_US)
    assert core.are_all_owned() and not core.breaches


@pytest.mark.parametrize("seed", range(1, 5))
def test_two_halves_that_each_have_an_instance_of_one_replica_are_no_two_majorities(seed):
    core = ShardCore(seed, 3)
    old = core.owner_of(seed % 3)
    first, second = [host for host in core.running() if host is not old]
    spare = core.add_spare()
    old.freeze()
    core.world.run_for(8 * SECOND_US)
    assert spare.node.replica.is_voting
    core.world.cut([first.name, old.name], [second.name, spare.name])
    old.wake()
    for _ in range(30):
        core.world.run_for(100 * MS)
        owners = {name for names in core.owners() for name in names}
        assert core.num_samples and not core.breaches
    assert owners <= {second.name, spare.name} and core.are_all_owned()


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_two_controllers_own_a_shard_while_members_go_and_come(seed):
    core = ShardCore(seed, 5)
    core.add_spare()
    rng = core.world.dice
    for _ in range(12):
        hosts = core.running()
        host = hosts[rng.randrange(len(hosts))]
        fault = rng.randrange(4)
        if fault == 0:
            host.freeze()
            core.world.after(rng.randrange(3 * SECOND_US), host.wake)
        elif fault == 1:
            others = [one.name for one in hosts if one is not host]
            core.world.cut([host.name], others, both=bool(rng.randrange(2)))
        elif fault == 2:
            host.kill()
            core.world.after(rng.randrange(1, 3 * SECOND_US), host.start)
        else:
            core.world.heal()
        core.world.run_for(rng.randrange(100 * MS, 2 * SECOND_US))
    core.world.heal()
    core.world.run_for(10 * SECOND_US)
    assert not core.breaches and core.are_all_owned()
