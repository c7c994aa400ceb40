"""The voter's side of the quorum leases on shards: one promise per shard, in memory only.

| message | VOTING | ABSTAINING, or no voting replica |
| --- | --- | --- |
| `ShardLeaseRequest` | promises free shards and the sender's own, names other holders | no answer |
| `ShardLeaseRelease` | ends the sender's promises of that round and earlier ones | the same |

Time is the elapsed time of this process as `ElapsedTime` counts it, not the clock's.

A replica is VOTING a full abstention after this process first saw it vote under its incarnation.
Until then promises of an earlier process, or of an earlier instance of the replica, may still be in
force; none are on disk (PaxosLease: Trencseni, Gazso and Reinhardt, 2012, section 4).

Invariants:

- A promise ends no sooner than the lease that rests on it (`negative_drift_margin` in
  `tests/test_quorum_lease_safety.py`).
- A clock jump ends no promise early (`clock_jumps_counted` there).
- No vote is given within an abstention of the start (`no_abstention` there).
- A release ends only promises of rounds that its sender no longer counts (`release_without_round`).
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .quorum_lease_messages import (
    ShardHolder,
    ShardLeaseRelease,
    ShardLeaseRequest,
    ShardLeaseVote,
)
from .quorum_lease_times import LEASE_US, ElapsedTime, promise_duration_us


class ReplicaInstance(NamedTuple):
    """A replica ID and its incarnation."""

    replica_id: str
    incarnation: int


class ShardPromise:
    """One voter's promise of one shard: its holder, highest round and expiry."""

    __slots__ = ("name", "address", "replica_id", "start", "round", "expires_us")

    def __init__(self, request: ShardLeaseRequest, expires_us: int) -> None:
        """Promise the shard to the request's sender."""
        self.name = request.sender
        self.address = request.reply_to
        self.replica_id = request.replica_id
        self.start = request.start
        self.round = request.round
        self.expires_us = expires_us

    def renew(self, request: ShardLeaseRequest, expires_us: int) -> None:
        """Extend the promise; a late or duplicate request never shortens it."""
        self.round = max(self.round, request.round)
        self.expires_us = max(self.expires_us, expires_us)


class ShardVoter:
    """The promises of this node as a voting replica."""

    __slots__ = (
        "time",
        "num_shards",
        "abstention_us",
        "instance",
        "is_voting",
        "votes_from_us",
        "promises",
        "releases",
    )

    def __init__(self, num_shards: int, abstention_us: int, now_us: int) -> None:
        """Start without promises and without a voting replica."""
        self.time = ElapsedTime(now_us)
        self.num_shards = num_shards
        self.abstention_us = abstention_us
        self.instance: ReplicaInstance | None = None
        self.is_voting = False
        self.votes_from_us = 0
        self.promises: dict[int, ShardPromise] = {}
        self.releases: dict[int, tuple[str, int]] = {}

    def count_elapsed(self, now_us: int) -> None:
        """Count the elapsed time; called at each tick and before each message."""
        self.time.count_elapsed(now_us)

    def observe_instance(self, instance: ReplicaInstance | None) -> None:
        """Note the replica that this node votes as, None if it doesn't vote."""
        self.is_voting = instance is not None
        if instance is None or instance == self.instance:
            return
        self.instance = instance
        self.votes_from_us = self.time.elapsed_us + self.abstention_us

    def may_vote(self) -> bool:
        """Whether this node votes and its abstention is over."""
        return self.is_voting and self.time.elapsed_us >= self.votes_from_us

    def vote(self, request: ShardLeaseRequest, known: Mapping[str, int]) -> ShardLeaseVote | None:
        """Promise the requested shards that are free; None if this node may not vote at all."""
        if self.instance is None or not self.may_vote() or request.lease_us > LEASE_US:
            return None
        requested = [shard for shard in request.shards if 0 <= shard < self.num_shards]
        granted = [shard for shard in requested if self._promise(shard, request)]
        return ShardLeaseVote(
            replica_id=self.instance.replica_id,
            incarnation=self.instance.incarnation,
            known_incarnations=dict(known),
            start=request.start,
            round=request.round,
            granted=granted,
            holders=list(self._holders(set(requested) - set(granted))),
        )

    def _promise(self, shard: int, request: ShardLeaseRequest) -> bool:
        if self._is_released(shard, request):
            return False
        expires_us = self.time.elapsed_us + promise_duration_us(request.lease_us)
        promise = self.promises.get(shard)
        if promise is not None and promise.start == request.start:
            promise.renew(request, expires_us)
            return True
        if promise is not None and self.time.elapsed_us < promise.expires_us:
            return False
        self.promises[shard] = ShardPromise(request, expires_us)
        return True

    def _is_released(self, shard: int, request: ShardLeaseRequest) -> bool:
        """Whether the sender has released this round: the release overtook the request."""
        start, round_number = self.releases.get(shard, ("", 0))
        return start == request.start and request.round <= round_number

    def _holders(self, shards: Iterable[int]) -> Iterable[ShardHolder]:
        for shard in sorted(shards):
            promise = self.holder_of(shard)
            if promise is not None:
                yield ShardHolder(shard, promise.name, promise.address)

    def on_release(self, release: ShardLeaseRelease) -> None:
        """End the sender's promises, except those of rounds sent after this release."""
        for shard in release.shards:
            self.releases[shard] = (release.start, release.round)
            promise = self.promises.get(shard)
            if promise is None or promise.start != release.start:
                continue
            if promise.round <= release.round:
                promise.expires_us = min(promise.expires_us, self.time.elapsed_us)

    def holder_of(self, shard: int) -> ShardPromise | None:
        """Return the promise of a shard that is in force, or None."""
        promise = self.promises.get(shard)
        if promise is None or self.time.elapsed_us >= promise.expires_us:
            return None
        return promise

    def free_duration_us(self, shard: int) -> int:
        """Return for how long the shard was free and this node could vote; negative until then."""
        promise = self.promises.get(shard)
        expires_us = promise.expires_us if promise is not None else 0
        return self.time.elapsed_us - max(self.votes_from_us, expires_us)

    def last_promise(self, shard: int) -> ShardPromise | None:
        """Return the last promise of a shard, even if it is over; None if none was given."""
        return self.promises.get(shard)
