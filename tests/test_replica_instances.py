"""Tests of which node runs as which replica: first starts, replacements and lost disks."""

import pytest
from msgspec.structs import replace

from linkhaven.consensus.recovery_messages import EpochAnnouncement
from linkhaven.router import RouterNode
from linkhaven.runtime import Bounds, write_json
from linkhaven.stage.core import SimCore
from linkhaven.stage.world import Host

SECOND = 1_000_000
PLAN = {
    "groups": {"g": {}},
    "kinds": {"k": {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}},
}


def started_core(seed=1, count=3, more=0, **bounds):
    core = SimCore(seed, **bounds).bootstrap(count, more)
    assert core.wait_voting(count + more, 10 * SECOND), core.voting()
    core.world.run_for(SECOND)
    return core


def put_revision(core, base, revision, name=None):
    error, value = core.put(base, revision, f"text {revision}", PLAN, name)[0]
    assert error is None, error
    assert value.key == revision


def read_revision(core, name=None):
    error, value = core.read(name)
    assert error is None, error
    return value["revision"]


def has_single_voters(core):
    """Whether no replica id has two voting nodes."""
    votes = [
        host.node.replica.replica_id
        for host in core.machines.values()
        if host.node and not host.is_frozen and host.node.replica.is_voting
    ]
    return len(votes) == len(set(votes))


def test_the_contacts_of_a_first_start_vote_at_once():
    core = SimCore(1).bootstrap()
    core.world.run_for(SECOND // 2)
    assert core.voting() == {"a": "core-1", "b": "core-2", "c": "core-3"}
    assert core.world.wait_for(
        lambda: any(host.node.leases["roster"].is_held() for host in core.machines.values()),
        2 * SECOND,
    )


def test_five_replicas_begin_with_three_contacts_and_assign_the_other_two():
    core = SimCore(2, seats=5).bootstrap(3, 2)
    core.world.run_for(SECOND // 2)
    assert {"a", "b", "c"} <= set(core.voting())
    assert core.wait_voting(5, 5 * SECOND)
    assert set(core.voting()) == set("abcde")
    put_revision(core, 0, 4)
    for name in ("core-1", "core-2"):
        core.machines[name].kill()
    put_revision(core, 4, 9, "core-4")
    assert read_revision(core, "core-5") == 9


def test_a_planned_replacement_makes_the_new_machine_a_replica_at_once():
    core = started_core(3)
    put_revision(core, 0, 3)
    core.add("core-9").start()
    core.world.run_for(3 * SECOND)
    new = core.machines["core-9"]
    assert new.node.replica.state == "spare"
    assert read_revision(core, "core-9") == 3
    old = core.machines["core-2"]
    old.node.drain(lambda: core.world.after(1_000, old.kill))
    assert core.world.wait_for(lambda: new.node.replica.is_voting, 2 * SECOND, 50_000)
    assert core.voting() == {"a": "core-1", "b": "core-9", "c": "core-3"}
    core.machines["core-1"].kill()
    put_revision(core, 3, 5, "core-9")


def test_an_unplanned_loss_is_made_good_by_a_spare_after_a_while():
    core = started_core(4)
    put_revision(core, 0, 3)
    core.machines["core-3"].kill()
    core.add("core-9").start()
    core.world.run_for(2 * SECOND)
    assert "c" not in core.voting()
    assert core.wait_voting(3, 5 * SECOND)
    assert core.voting()["c"] == "core-9"
    assert read_revision(core, "core-9") == 3


def test_a_returning_process_stays_the_replica_though_a_spare_is_there():
    core = started_core(5)
    core.add("core-9").start()
    core.world.run_for(SECOND)
    core.machines["core-3"].kill()
    core.world.run_for(SECOND)
    core.machines["core-3"].start()
    assert core.wait_voting(3, 3 * SECOND)
    core.world.run_for(5 * SECOND)
    assert core.voting()["c"] == "core-3"


def test_a_wiped_disk_at_the_old_address_becomes_the_same_replica():
    core = started_core(6)
    put_revision(core, 0, 3)
    lost = core.machines["core-2"]
    lost.kill()
    lost.disk.wipe()
    core.world.run_for(SECOND // 2)
    lost.start()
    assert core.wait_voting(3, 3 * SECOND)
    assert core.voting()["b"] == "core-2"
    core.machines["core-1"].kill()
    assert read_revision(core, "core-2") == 3


@pytest.mark.parametrize("seats, wiped", [(3, 0), (3, 1), (5, 0), (5, 1), (5, 2)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_are_killed_and_the_core_votes_again_within_two_seconds(seats, wiped, seed):
    core = started_core(seed, 3, seats - 3, seats=seats)
    put_revision(core, 0, 7)
    for host in core.machines.values():
        host.kill()
    for name in list(core.machines)[seed % 3 :][:wiped]:
        core.machines[name].disk.wipe()
    for host in core.machines.values():
        core.world.after(core.world.dice.randrange(500_000), host.start)
    core.world.run_for(SECOND // 2)
    assert core.wait_voting(seats // 2 + 1, 2 * SECOND), {
        name: host.node.replica.state for name, host in core.machines.items()
    }
    assert read_revision(core) == 7
    assert core.wait_voting(seats, 5 * SECOND), {
        name: host.node.replica.state for name, host in core.machines.items()
    }
    put_revision(core, 7, 8)


@pytest.mark.parametrize("seed", range(6))
def test_two_newcomers_never_vote_as_one_replica(seed):
    core = started_core(seed)
    put_revision(core, 0, 3)
    core.machines["core-3"].kill()
    core.add("core-8").start()
    core.add("core-9").start()
    core.world.cut(["core-8"], ["core-9"])
    for _ in range(160):
        core.world.run_for(SECOND // 20)
        assert has_single_voters(core)
    assert len(core.voting()) == 3, {
        name: host.node.replica.state for name, host in core.machines.items() if host.node
    }
    assert read_revision(core, core.voting()["c"]) == 3


def test_a_second_instance_is_not_recorded_at_the_same_incarnation():
    core = started_core(7)
    replica = core.machines["core-1"].node.replica
    first = EpochAnnouncement(
        replica_id="c",
        incarnation=9,
        start="x/1",
        sender="x",
        reply_to="10.0.0.8:7000",
        bootstrap_start=None,
    )
    other = replace(first, start="y/1", sender="y")
    assert replica.instances.record(first)
    assert not replica.instances.record(other)
    assert replica.instances.record(first)
    assert replica.instances.record(replace(other, incarnation=10))
    assert not replica.instances.record(first)


def test_a_frozen_instance_that_wakes_after_it_was_replaced_is_a_spare():
    core = started_core(8)
    put_revision(core, 0, 3)
    old = core.machines["core-2"]
    old.freeze()
    core.add("core-9").start()
    assert core.world.wait_for(lambda: core.machines["core-9"].node.replica.is_voting, 8 * SECOND)
    put_revision(core, 3, 4, "core-1")
    old.wake()
    core.world.run_for(3 * SECOND)
    assert old.node.replica.state == "spare"
    assert not [
        key for key in old.disk.synced if key.startswith("cell/") or key in ("seat", "incarnation")
    ]
    assert core.voting() == {"a": "core-1", "b": "core-9", "c": "core-3"}
    put_revision(core, 4, 6, "core-9")
    core.machines["core-1"].kill()
    assert core.world.wait_for(lambda: core.voting().get("a") == "core-2", 8 * SECOND)
    assert read_revision(core, "core-2") == 6


def test_a_dead_instance_that_returns_with_its_disk_after_it_was_replaced_is_a_spare():
    core = started_core(9)
    core.machines["core-2"].kill()
    core.add("core-9").start()
    assert core.world.wait_for(lambda: core.machines["core-9"].node.replica.is_voting, 8 * SECOND)
    core.machines["core-2"].start()
    core.world.run_for(3 * SECOND)
    assert core.machines["core-2"].node.replica.state == "spare"
    assert core.voting()["b"] == "core-9"


def add_router(core):
    seeds = [host.address for host in core.machines.values()]

    def build(host, ports):
        return RouterNode(
            host.name,
            host.address,
            ports,
            host.zone,
            seeds,
            host.wall_us() + host.starts,
            bounds=Bounds(**core.bounds),
        )

    router = Host(core.world, "router-1", "z", "10.5.0.1:7000", build)
    router.start()
    return router


def lose_all_disks(core, names=None):
    for name in names or core.machines:
        core.machines[name].kill()
        core.machines[name].disk.wipe()
    core.world.run_for(SECOND)


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_core_that_lost_all_disks_begins_anew_from_a_routers_snapshot(seed):
    core = started_core(seed)
    router = add_router(core)
    put_revision(core, 0, 7)
    core.world.run_for(2 * SECOND)
    assert router.node.snapshot.version == 1
    lose_all_disks(core)
    for host in core.machines.values():
        core.world.after(core.world.dice.randrange(SECOND), host.start)
    core.world.run_for(5 * SECOND)
    assert core.voting() == {}
    assert core.wait_voting(3, 10 * SECOND), {
        name: host.node.replica.state for name, host in core.machines.items()
    }
    assert has_single_voters(core)
    assert core.world.wait_for(lambda: read_revision_or_none(core) == 7, 5 * SECOND, 100_000)
    put_revision(core, 7, 9)
    core.world.run_for(10 * SECOND)
    assert set(core.voting()) == {"a", "b", "c"}


def read_revision_or_none(core):
    error, value = core.read()
    return value["revision"] if error is None and value else None


def test_a_core_begins_anew_only_with_as_many_machines_as_replicas():
    core = started_core(1)
    add_router(core)
    put_revision(core, 0, 7)
    core.world.run_for(SECOND)
    lose_all_disks(core)
    for name in ("core-1", "core-2"):
        core.machines[name].start()
    core.world.run_for(90 * SECOND)
    assert core.voting() == {}
    core.machines["core-3"].start()
    assert core.wait_voting(3, 12 * SECOND)


def test_spares_that_know_of_a_replica_never_begin_anew():
    core = started_core(1)
    add_router(core)
    put_revision(core, 0, 7)
    spares = [core.add(f"core-{number}") for number in (7, 8, 9)]
    for host in spares:
        host.start()
    core.world.run_for(2 * SECOND)
    core.world.cut([host.name for host in spares], ["core-1", "core-2", "core-3"])
    core.world.run_for(90 * SECOND)
    assert {host.node.replica.state for host in spares} == {"spare"}
    core.world.heal()
    core.world.run_for(3 * SECOND)
    assert core.voting() == {"a": "core-1", "b": "core-2", "c": "core-3"}
    assert read_revision(core) == 7


@pytest.mark.parametrize("say", ["prepare", "accept"])
def test_a_proposal_for_another_replica_at_this_address_neither_supersedes_nor_gets_a_vote(say):
    """Another replica ran at this address before, and a proposer that was away still uses it."""
    core = started_core(11)
    put_revision(core, 0, 3)
    replica = core.machines["core-2"].node.replica
    node = core.machines["core-2"].node
    line = write_json(
        {
            "say": say,
            "id": "x/1",
            "name": "core-1",
            "back": "10.0.0.1:7000",
            "key": "plan",
            "ballot": [900, "core-1"],
            "value": {"mark": 9},
            "seat": "c",
            "incarnation": replica.incarnation + 3,
            "known": {"a": 1, "b": 1, "c": replica.incarnation + 3},
        }
    )
    node.dispatch(node.read_line(line))
    assert replica.is_voting
    assert replica.register_state("plan").promise < [900, "core-1"]
    core.world.run_for(SECOND)
    assert core.voting() == {"a": "core-1", "b": "core-2", "c": "core-3"}
    assert replica.incarnation == 1
    assert read_revision(core) == 3
