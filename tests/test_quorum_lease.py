"""Quorum leases on shards, step by step in simulated controllers."""

import statistics
from itertools import pairwise

import pytest

from linkhaven.leases import ShardOwnership, shard_of
from linkhaven.leases.quorum_lease_messages import ShardLeaseRequest, ShardLeaseVote
from linkhaven.leases.quorum_lease_times import LEASE_US, LeaseTimes, promise_duration_us
from linkhaven.leases.quorum_lease_voter import ReplicaInstance, ShardVoter
from linkhaven.leases.shards import preference_order
from linkhaven.runtime import Bounds
from linkhaven.stage.shard_leases import LeaseWorld, Machine
from linkhaven.stage.shard_leases.takeover import FAULTS, measure_takeovers
from linkhaven.stage.shard_leases.world import TICK_US

MS = 1_000
SECOND_US = 1_000_000
SHARDS = range(5)
SETTLE_US = 6 * SECOND_US
NUM_SEEDS = 50


def settled_world(seed=1, num_replicas=5):
    """Return a world whose shards are all owned by their preferred replicas."""
    world = LeaseWorld(seed, num_replicas, are_clocks_alike=True)
    world.run(SETTLE_US)
    return world


def machine_of(world, replica_id):
    return next(one for one in world.machines if one.replica.replica_id == replica_id)


def owner_of(world, shard):
    (owner,) = world.owners_of(shard)
    return owner


def count_at(world, shard):
    return [machine.name for machine in world.owners_of(shard)]


# without faults


def test_each_shard_is_owned_by_its_preferred_replica_and_all_know_it():
    world = settled_world()
    for shard in SHARDS:
        owner = owner_of(world, shard)
        assert owner.replica.replica_id == preference_order(shard, "abcde")[0]
        known = {machine.leases.owner_address(shard) for machine in world.machines}
        assert known == {owner.address}


def test_a_lease_that_is_renewed_stays_in_its_epoch():
    world = settled_world()
    epochs = {shard: owner_of(world, shard).leases.epoch_of(shard) for shard in SHARDS}
    world.run(20 * SECOND_US)
    assert {shard: owner_of(world, shard).leases.epoch_of(shard) for shard in SHARDS} == epochs


def test_shard_leases_implement_shard_ownership():
    leases: ShardOwnership = settled_world().machines[0].leases
    assert leases.num_shards == 5
    assert [leases.epoch_of(shard) >= 0 for shard in SHARDS] == [True] * 5


def test_every_version_puts_a_tenant_in_the_same_shard():
    shards = [shard_of(f"tenant-{number}", 5) for number in range(10)]
    assert shards == [2, 3, 2, 3, 1, 3, 3, 4, 0, 3]


def test_a_replica_that_goes_moves_only_its_own_shards():
    before = {shard: preference_order(shard, "abcde") for shard in range(50)}
    for shard, order in before.items():
        assert preference_order(shard, "abde") == [one for one in order if one != "c"]


def test_shards_are_spread_over_the_replicas():
    preferred = [preference_order(shard, "abcde")[0] for shard in range(1_000)]
    assert all(150 < preferred.count(replica_id) < 250 for replica_id in "abcde")


def test_nothing_is_sent_while_no_tenant_has_a_limit():
    world = LeaseWorld(1)
    for machine in world.machines:
        machine.is_needed = False
    world.run(SETTLE_US)
    assert world.num_sent == 0


def test_five_replicas_send_no_more_than_documented():
    world = settled_world()
    sent, size = world.num_sent, world.bytes_sent
    world.run(10 * SECOND_US)
    assert (world.num_sent - sent) / 10 < 270
    assert (world.bytes_sent - size) / 10 < 60_000


def test_bounds_that_are_shorter_than_the_lease_hold():
    assert LeaseTimes(Bounds()).lease_us == LEASE_US
    short = LeaseTimes(Bounds(lease_us=300_000))
    assert (short.lease_us, short.renew_us) == (300_000, 90_000)
    assert short.abstention_us == promise_duration_us(LEASE_US)


# voters


def request_of(start, round_number=1, shards=(0,), lease_us=LEASE_US):
    return ShardLeaseRequest(
        sender=start,
        reply_to=f"{start}:1",
        replica_id="a",
        incarnation=1,
        start=start,
        round=round_number,
        lease_us=lease_us,
        shards=list(shards),
    )


def run_until(voter, now_us):
    """Run the voter's ticks until `now_us`."""
    while voter.time.observed_us < now_us:
        voter.count_elapsed(min(now_us, voter.time.observed_us + TICK_US))


def voter_from(now_us):
    voter = ShardVoter(5, promise_duration_us(LEASE_US), now_us - promise_duration_us(LEASE_US))
    voter.observe_instance(ReplicaInstance("v", 1))
    run_until(voter, now_us)
    return voter


def vote_at(voter, request, now_us):
    run_until(voter, now_us)
    return voter.vote(request, {})


def granted(voter, request, now_us):
    vote = vote_at(voter, request, now_us)
    return None if vote is None else vote.granted


def test_a_voter_abstains_for_a_whole_promise_and_longer_for_a_new_incarnation():
    voter = ShardVoter(5, promise_duration_us(LEASE_US), 0)
    voter.observe_instance(ReplicaInstance("v", 1))
    assert granted(voter, request_of("x"), promise_duration_us(LEASE_US) - 1) is None
    assert granted(voter, request_of("x"), promise_duration_us(LEASE_US)) == [0]
    later_us = 10 * SECOND_US
    run_until(voter, later_us)
    voter.observe_instance(None)
    assert granted(voter, request_of("x", 2), later_us) is None
    voter.observe_instance(ReplicaInstance("v", 1))
    assert granted(voter, request_of("x", 2), later_us) == [0]
    voter.observe_instance(ReplicaInstance("v", 2))
    assert granted(voter, request_of("x", 3), later_us + promise_duration_us(LEASE_US) - 1) is None


def test_a_voter_refuses_while_a_promise_runs_and_names_its_holder():
    voter = voter_from(0)
    assert granted(voter, request_of("x"), 0) == [0]
    vote = vote_at(voter, request_of("y", shards=(0, 1)), promise_duration_us(LEASE_US) - 1)
    assert vote.granted == [1]
    assert [(one.shard, one.name, one.address) for one in vote.holders] == [(0, "x", "x:1")]
    assert granted(voter, request_of("y"), promise_duration_us(LEASE_US)) == [0]


def test_a_clock_jump_ends_no_promise_before_its_lease():
    voter = voter_from(0)
    assert granted(voter, request_of("x"), 0) == [0]
    leap_us = 40 * SECOND_US
    voter.count_elapsed(leap_us)
    assert granted(voter, request_of("y"), leap_us + LEASE_US) == []
    assert granted(voter, request_of("y"), leap_us + promise_duration_us(LEASE_US)) == [0]


def test_another_start_of_the_same_node_is_another_holder():
    voter = voter_from(0)
    assert granted(voter, request_of("x/1"), 0) == [0]
    assert granted(voter, request_of("x/2"), 1) == []


def test_a_request_that_comes_late_or_twice_shortens_no_promise():
    voter = voter_from(0)
    granted(voter, request_of("x", 2), 1_000)
    granted(voter, request_of("x", 1, lease_us=1_000), 2_000)
    run_until(voter, 1_000 + promise_duration_us(LEASE_US) - 1)
    assert voter.holder_of(0) is not None


def test_a_lease_longer_than_the_abstention_covers_is_refused():
    assert granted(voter_from(0), request_of("x", lease_us=LEASE_US + 1), 0) is None


def test_a_shard_that_does_not_exist_is_not_promised():
    assert granted(voter_from(0), request_of("x", shards=(-1, 5, 4)), 0) == [4]


# votes and epochs


def test_a_late_vote_counts_from_the_sending_of_its_round(monkeypatch):
    world = settled_world()
    owner = owner_of(world, 0)
    votes = []
    hear = Machine.hear

    def keep_votes(self, line):
        is_kept = self is owner and b'"shard_vote"' in line
        return votes.append(line) if is_kept else hear(self, line)

    monkeypatch.setattr(Machine, "hear", keep_votes)
    world.run(LEASE_US - 200 * MS)
    assert owner.owns(0) and votes
    lease = owner.leases.candidate.leases[0]
    sent_us = max(one.sent_us for one in owner.leases.candidate.rounds.values())
    assert sent_us <= owner.now_us() - 20 * MS
    for line in votes:
        hear(owner, line)
    assert lease.expires_us == sent_us + LEASE_US


def test_a_shard_that_was_lost_in_between_is_won_in_another_epoch():
    world = settled_world()
    owner = owner_of(world, 0)
    epoch = owner.leases.epoch_of(0)
    for machine in world.machines:
        machine.is_needed = machine is owner
    world.split([owner])
    world.run(2 * SECOND_US)
    assert not owner.owns(0)
    world.heal()
    world.run(2 * SECOND_US)
    assert owner.owns(0) and owner.leases.epoch_of(0) == epoch + 1
    events = [what for _, what, shard in owner.events if shard == 0]
    assert events[-3:] == ["won", "lost", "won"]


def test_a_resumed_owner_owns_nothing_before_it_renewed():
    world = settled_world()
    owner = owner_of(world, 0)
    owner.freeze()
    world.run(LEASE_US)
    owner.is_frozen = False
    assert not owner.owns(0)


def test_a_vote_for_an_earlier_start_of_the_process_is_ignored():
    world = LeaseWorld(1, are_clocks_alike=True)
    world.run(LEASE_US)
    machine = machine_of(world, "a")
    candidate = machine.leases.candidate
    world.split([machine])
    machine.directory.members.update(machine_of(world, "b").directory.members)
    world.run(200 * MS)
    number = max(candidate.rounds)
    shards = candidate.rounds[number].shards
    for start, is_owned in (("m1/0", False), (candidate.start, True)):
        for replica_id in "bcde":
            vote = ShardLeaseVote(
                sender="m9",
                reply_to="10.0.0.9:7000",
                replica_id=replica_id,
                incarnation=1,
                known_incarnations={},
                start=start,
                round=number,
                granted=shards,
                holders=[],
            )
            machine.node.dispatch(vote)
        assert machine.owns(shards[0]) is is_owned


def test_a_vote_is_void_once_another_voter_knows_a_newer_incarnation():
    world = settled_world(num_replicas=3)
    owner = owner_of(world, 0)
    others = [machine for machine in world.machines if machine is not owner]
    for machine in (owner, others[1]):
        machine.replica.record(others[0].replica.replica_id, 2)
    others[1].end()
    world.run(SECOND_US)
    assert world.owners_of(0) == []


# faults


@pytest.mark.parametrize("fault", FAULTS)
def test_a_shard_has_another_owner_soon_after_a_fault_of_its_owner(fault):
    takeovers = [one for seed in range(NUM_SEEDS) for one in measure_takeovers(fault, seed)]
    taken_us = [takeover.taken_us for takeover in takeovers]
    assert max(takeover.unowned_us for takeover in takeovers) < SECOND_US
    assert max(taken_us) < SECOND_US
    assert statistics.median(taken_us) < 700 * MS


@pytest.mark.parametrize("seed", range(10))
def test_a_core_in_two_halves_keeps_every_shard_with_the_majority(seed):
    world = settled_world(seed)
    minority = world.random.sample(world.machines, 2)
    world.split(minority)
    world.run(SECOND_US)
    for _ in range(30):
        world.run(100 * MS)
        for shard in SHARDS:
            assert owner_of(world, shard) not in minority


@pytest.mark.parametrize("seed", range(10))
def test_two_of_five_may_go_at_once(seed):
    world = settled_world(seed)
    for machine in world.random.sample(world.machines, 2):
        machine.end()
    world.run(SECOND_US)
    assert all(world.owners_of(shard) for shard in SHARDS)


def test_without_a_majority_nobody_owns_a_shard():
    world = settled_world()
    for machine in world.machines[:3]:
        machine.end()
    world.run(LEASE_US)
    for _ in range(30):
        world.run(100 * MS)
        assert not any(world.owners_of(shard) for shard in SHARDS)


def test_a_node_that_shuts_down_leaves_its_shards_within_two_ticks():
    world = settled_world()
    owner = owner_of(world, 0)
    done = []
    owner.leases.release(lambda: done.append(True))
    assert done and not owner.owns(0)
    world.run(150 * MS)
    assert owner_of(world, 0) is not owner


def test_a_replica_that_stops_voting_gives_its_shards_up():
    world = settled_world()
    owner = owner_of(world, 0)
    owner.replica.is_voting = False
    world.run(300 * MS)
    assert owner_of(world, 0) is not owner


def test_an_owner_of_all_hands_shards_back_one_a_second():
    world = LeaseWorld(1, are_clocks_alike=True)
    for machine in world.machines[1:]:
        machine.is_needed = False
    world.run(4 * SECOND_US)
    assert all(owner_of(world, shard) is world.machines[0] for shard in SHARDS)
    for machine in world.machines[1:]:
        machine.is_needed = True
    world.run(40 * SECOND_US)
    for shard in SHARDS:
        assert owner_of(world, shard).replica.replica_id == preference_order(shard, "abcde")[0]
    won_us = sorted(
        when_us
        for machine in world.machines[1:]
        for when_us, what, _ in machine.events
        if what == "won"
    )
    pauses_us = [later - earlier for earlier, later in pairwise(won_us)]
    assert len(won_us) == 4 and min(pauses_us) >= 900 * MS


def test_a_planned_handover_leaves_a_shard_without_an_owner_for_a_few_ms_only():
    world = settled_world()
    owner = owner_of(world, 0)
    replica = owner.replica
    owner.end()
    world.run(2 * SECOND_US)
    owner.start(replica.replica_id, replica.incarnation + 1)
    owner.replica.is_voting = True
    unowned_us = 0
    for _ in range(8_000):
        world.run(MS)
        unowned_us += MS * (not world.owners_of(0))
    assert owner.owns(0) and unowned_us <= 20 * MS


def test_an_owner_that_receives_nothing_does_not_block_others_from_the_shard():
    world = settled_world()
    owner = owner_of(world, 0)
    world.cut([one for one in world.machines if one is not owner], [owner])
    world.run(SECOND_US)
    for _ in range(50):
        world.run(100 * MS)
        assert owner_of(world, 0) is not owner
