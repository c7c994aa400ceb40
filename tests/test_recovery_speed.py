"""Tests of how soon replicas vote again, and runners and leases are known, after restarts."""

import pytest

from linkhaven.stage.core import SimCore
from linkhaven.stage.fleet import LICENSING, SimFleet

SECOND = 1_000_000
MS = 1_000
PLAN = {
    "groups": {"g": {}},
    "kinds": {"k": {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}},
}


def started_core(seed=1, count=3, **bounds):
    core = SimCore(seed, **bounds).bootstrap(count)
    assert core.wait_voting(count), core.voting()
    core.world.run_for(SECOND)
    return core


def events(core, number, since_us=0):
    return [entry for entry in core.world.events if entry[2] == number and entry[0] >= since_us]


def kill_all(core, gap_us=0):
    for host in core.machines.values():
        host.kill()
    core.world.run_for(SECOND)
    for place, host in enumerate(core.machines.values()):
        core.world.after(place * gap_us, host.start)
    core.world.run_for((len(core.machines) - 1) * gap_us + 1)


def holder_of(nodes, role):
    return next((host for host in nodes if host.node and host.node.leases[role].is_held()), None)


def test_a_page_that_is_being_synced_is_not_requested_again():
    core = started_core(1)
    assert core.put(0, 3, "text", PLAN)[0][0] is None
    host = core.machines["core-2"]
    host.kill()
    host.disk.sync_us = 300 * MS
    host.start()
    assert core.wait_voting(3)
    assert events(core, 1005) == []


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("gap_us", [0, 70 * MS, 190 * MS])
def test_after_all_were_killed_the_replicas_vote_soon_after_the_last_start(seed, gap_us):
    core = started_core(seed)
    kill_all(core, gap_us)
    assert core.world.wait_for(lambda: len(core.voting()) == 3, 200 * MS, 5 * MS), core.voting()


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_majority_with_disks_stops_waiting_once_the_wiped_replica_answers(seed):
    core = started_core(seed)
    assert core.put(0, 3, "text", PLAN)[0][0] is None
    core.machines["core-3"].disk.wipe()
    kill_all(core)
    assert core.world.wait_for(lambda: {"a", "b"} <= set(core.voting()), 300 * MS, 5 * MS), (
        core.voting()
    )
    assert core.wait_voting(3, 4 * SECOND)
    assert core.read()[1]["revision"] == 3


def test_a_silent_replica_is_waited_for_as_long_as_the_bounds_say():
    core = started_core(2)
    for host in core.machines.values():
        host.kill()
    core.world.run_for(SECOND)
    for name in ("core-1", "core-2"):
        core.machines[name].start()
    core.world.run_for(900 * MS)
    assert core.voting() == {}
    assert core.world.wait_for(lambda: len(core.voting()) == 2, 300 * MS, 5 * MS)


def test_a_core_that_starts_to_vote_publishes_the_runners_without_a_lease_holder():
    fleet = SimFleet(LICENSING, 5).start()
    world = fleet.world
    world.run_for(3 * SECOND)
    fleet.list_runners()
    for host in [*fleet.registries.values(), *fleet.routers.values()]:
        host.kill()
    world.run_for(SECOND)
    for host in [*fleet.registries.values(), *fleet.routers.values()]:
        host.start()

    def have_routers_caught_up():
        return all(
            host.node.roster.taken_us is not None and host.node.snapshot.configuration
            for host in fleet.routers.values()
        )

    assert world.wait_for(have_routers_caught_up, 600 * MS, 5 * MS)
    assert not any(host.node.leases["roster"].is_held() for host in fleet.registries.values())


@pytest.mark.parametrize("how", ["kill", "freeze"])
@pytest.mark.parametrize("seed", range(1, 7))
def test_the_list_of_runners_is_never_older_than_two_seconds(how, seed):
    fleet = SimFleet(LICENSING, seed).start()
    world = fleet.world
    world.run_for(3 * SECOND + seed * 160 * MS)
    holder = holder_of(fleet.registries.values(), "roster")
    holder.kill() if how == "kill" else holder.freeze()
    oldest_us = 0
    for _ in range(500):
        world.run_for(10 * MS)
        oldest_us = max(
            oldest_us,
            *(world.now_us - host.node.roster.taken_us for host in fleet.routers.values()),
        )
    assert oldest_us <= 2 * SECOND


def test_a_lease_holder_that_stops_releases_its_leases():
    core = started_core(4)
    assert core.world.wait_for(lambda: holder_of(core.machines.values(), "roster"), 8 * SECOND)
    core.world.run_for(2 * SECOND)
    old = holder_of(core.machines.values(), "roster")
    fences = {name: lease.record().fencing_token for name, lease in old.node.leases.items()}
    held_leases = {name for name, lease in old.node.leases.items() if lease.is_held()}
    left = []
    old.node.drain(lambda: left.append(core.world.now_us))
    assert core.world.wait_for(lambda: left, 200 * MS, 5 * MS)
    old.kill()
    others = [host for host in core.machines.values() if host is not old]
    assert core.world.wait_for(
        lambda: all(holder_of(others, name) for name in held_leases), 600 * MS, 5 * MS
    )
    for name in held_leases:
        assert holder_of(others, name).node.leases[name].fencing_token > fences[name]


def test_a_new_lease_holder_gives_no_orders_until_a_lease_time_has_passed():
    core = started_core(4)
    assert core.world.wait_for(lambda: holder_of(core.machines.values(), "steward"), 8 * SECOND)
    core.world.run_for(2 * SECOND)
    old = holder_of(core.machines.values(), "steward")
    old.node.drain(old.kill)
    others = [host for host in core.machines.values() if host is not old]
    assert core.world.wait_for(lambda: holder_of(others, "steward"), SECOND, 5 * MS)
    role_balancer = holder_of(others, "steward").node.role_balancer
    assert not role_balancer.permission.may_order(
        core.world.now_us + role_balancer.lease.lease_us - 20 * MS
    )
    assert role_balancer.permission.may_order(core.world.now_us + role_balancer.lease.lease_us)
