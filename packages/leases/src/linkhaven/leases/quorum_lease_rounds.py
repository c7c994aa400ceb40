"""Vote counting for one round of requests, by replica.

Invariants:

- Each replica has one vote, however often it arrives (`votes_counted_twice` in
  `tests/test_quorum_lease_safety.py`).
- A vote counts only if it is from the newest incarnation of its replica that this node or a voter
  of the round knows (`incarnation_not_checked` there).
"""

from collections.abc import Mapping

from .quorum_lease_messages import ShardLeaseVote


class LeaseRound:
    """One request for shards: when it was sent, and each replica's answer."""

    __slots__ = ("number", "sent_us", "shards", "granted", "holders", "known_incarnations")

    def __init__(self, number: int, sent_us: int, shards: list[int]) -> None:
        """Start a round that is about to be sent; `sent_us` is before any voter receives it."""
        self.number = number
        self.sent_us = sent_us
        self.shards = shards
        self.granted: dict[int, dict[str, int]] = {shard: {} for shard in shards}
        self.holders: dict[int, dict[str, str]] = {shard: {} for shard in shards}
        self.known_incarnations: dict[str, int] = {}

    def add(self, vote: ShardLeaseVote) -> None:
        """Record a replica's answer with its incarnation."""
        for replica_id, incarnation in vote.known_incarnations.items():
            known = self.known_incarnations.get(replica_id, 0)
            self.known_incarnations[replica_id] = max(known, incarnation)
        for shard in vote.granted:
            by_replica = self.granted.get(shard, {})
            known = by_replica.get(vote.replica_id, 0)
            by_replica[vote.replica_id] = max(known, vote.incarnation)
        for holder in vote.holders:
            self.holders.get(holder.shard, {})[vote.replica_id] = holder.name

    def num_granted(self, shard: int, newest: Mapping[str, int]) -> int:
        """Return how many replicas granted a shard; `newest` has this node's known incarnations."""
        return sum(
            incarnation >= self._newest_of(replica_id, newest)
            for replica_id, incarnation in self.granted[shard].items()
            if replica_id in newest
        )

    def num_for_rivals(self, shard: int, last_holder: str) -> int:
        """Return how many replicas refused a shard for a candidate other than its last holder.

        A refusal for the last holder only means that the shard isn't free yet: promises to
        it expire at all replicas at about this time.
        """
        return sum(name != last_holder for name in self.holders[shard].values())

    def _newest_of(self, replica_id: str, newest: Mapping[str, int]) -> int:
        return max(newest[replica_id], self.known_incarnations.get(replica_id, 0))
