"""No two nodes own a shard at the same time; disabling any one mechanism breaks that."""

import pytest

from linkhaven.leases import quorum_lease_voter
from linkhaven.leases.quorum_lease_candidate import ShardCandidate, ShardLease
from linkhaven.leases.quorum_lease_rounds import LeaseRound
from linkhaven.leases.quorum_lease_times import ElapsedTime
from linkhaven.leases.quorum_lease_voter import ShardVoter
from linkhaven.stage.shard_leases import TwoOwnersError, Walk

SECOND_US = 1_000_000
WALK_US = 20 * SECOND_US
NUM_SOUND_SEEDS = 30
MOST_SEEDS = 200


def no_abstention(monkeypatch):
    """A replica votes at once, ignoring promises from before its start."""
    observe = ShardVoter.observe_instance

    def observe_without_abstention(self, instance):
        observe(self, instance)
        self.votes_from_us = 0

    monkeypatch.setattr(ShardVoter, "observe_instance", observe_without_abstention)


def negative_drift_margin(monkeypatch):
    """A promise ends before the lease that rests on it."""
    monkeypatch.setattr(
        quorum_lease_voter, "promise_duration_us", lambda lease_us: lease_us * 9 // 10
    )


def no_drift_margin(monkeypatch):
    """A promise is as long as the lease, while clocks drift."""
    monkeypatch.setattr(quorum_lease_voter, "promise_duration_us", lambda lease_us: lease_us)


def clock_jumps_counted(monkeypatch):
    """A voter counts clock jumps as elapsed time."""

    def by_clock(self, now_us):
        self.elapsed_us += now_us - self.observed_us
        self.observed_us = now_us

    monkeypatch.setattr(ElapsedTime, "count_elapsed", by_clock)


def counted_from_the_response(monkeypatch):
    """An owner measures its lease from the arrival of the votes."""
    hold = ShardCandidate._hold

    def hold_from_now(self, lease, expires_us, now_us):
        hold(self, lease, now_us + self.times.lease_us, now_us)

    monkeypatch.setattr(ShardCandidate, "_hold", hold_from_now)


def not_checked_at_each_use(monkeypatch):
    """An owner continues until a tick handles the expiry of its lease."""
    monkeypatch.setattr(ShardLease, "is_owned", lambda self, now_us: self.state.value == "owner")


def votes_counted_twice(monkeypatch):
    """A vote that arrives twice counts twice."""
    add = LeaseRound.add

    def add_twice(self, vote):
        for by_replica in self.granted.values():
            known = by_replica.pop(vote.replica_id, None)
            if known is not None:
                by_replica[f"{vote.replica_id}+{len(by_replica)}"] = known
        add(self, vote)

    monkeypatch.setattr(LeaseRound, "add", add_twice)
    monkeypatch.setattr(
        LeaseRound, "num_granted", lambda self, shard, newest: len(self.granted[shard])
    )


def incarnation_not_checked(monkeypatch):
    """The vote of a replaced instance counts like its successor's."""
    monkeypatch.setattr(LeaseRound, "_newest_of", lambda self, replica_id, newest: 0)


def voters_knowledge_not_used(monkeypatch):
    """An older instance's vote is void only if the candidate itself knows a newer one."""
    monkeypatch.setattr(
        LeaseRound, "_newest_of", lambda self, replica_id, newest: newest[replica_id]
    )


def release_without_round(monkeypatch):
    """A late release ends the promise of a later round."""
    on_release = ShardVoter.on_release

    def end_all_promises(self, release):
        on_release(self, release)
        for shard in release.shards:
            promise = self.promises.get(shard)
            if promise is not None and promise.start == release.start:
                promise.expires_us = min(promise.expires_us, self.time.elapsed_us)

    monkeypatch.setattr(ShardVoter, "on_release", end_all_promises)


def released_rounds_counted(monkeypatch):
    """Votes of a round count even after its shards were released."""
    release = ShardCandidate._release

    def release_without_marking(self, shards, now_us, successor=""):
        release(self, shards, now_us, successor)
        for shard in shards:
            self.leases[shard].released_round = 0

    monkeypatch.setattr(ShardCandidate, "_release", release_without_marking)


def promise_to_any_requester(monkeypatch):
    """A voter promises a shard again while an earlier promise is in force."""

    def promise_again(self, shard, request):
        self.promises.pop(shard, None)
        return promise(self, shard, request)

    promise = ShardVoter._promise
    monkeypatch.setattr(ShardVoter, "_promise", promise_again)


SABOTAGES = (
    no_abstention,
    negative_drift_margin,
    no_drift_margin,
    clock_jumps_counted,
    counted_from_the_response,
    not_checked_at_each_use,
    votes_counted_twice,
    incarnation_not_checked,
    voters_knowledge_not_used,
    release_without_round,
    released_rounds_counted,
    promise_to_any_requester,
)


def first_breach(seeds):
    """Return the first seed whose random walk has two owners of a shard, or None."""
    for seed in seeds:
        try:
            Walk(seed).go(WALK_US)
        except TwoOwnersError:
            return seed
    return None


@pytest.mark.parametrize("seed", range(NUM_SOUND_SEEDS))
def test_no_two_nodes_own_a_shard_in_seeded_walks_through_faults(seed):
    Walk(seed).go(WALK_US)


@pytest.mark.parametrize("sabotage", SABOTAGES, ids=lambda sabotage: sabotage.__name__)
def test_a_mechanism_of_the_leases_that_is_taken_out_gives_two_owners(sabotage, monkeypatch):
    sabotage(monkeypatch)
    assert first_breach(range(MOST_SEEDS)) is not None
