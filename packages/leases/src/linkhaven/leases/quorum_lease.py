"""Quorum leases on shards of tenants: which controller grants the quotas of which tenants.

A node owns a shard for a short time by the promises of a majority of the replicas, which are kept
in memory only (PaxosLease: Trencseni, Gazso and Reinhardt, "PaxosLease: Diskless Paxos for
Leases", 2012). Unlike the leases on singleton roles (`lease.py`) they provide no fencing token, and
another node takes over within a second.

| message | from | to | handled by |
| --- | --- | --- | --- |
| `ShardLeaseRequest` | a candidate or owner | all other replicas | `ShardVoter.vote` |
| `ShardLeaseVote` | a voting replica | the requester | `ShardCandidate.on_vote` |
| `ShardLeaseRelease` | a node that gives shards up | all other replicas | `ShardVoter.on_release` |

Invariant: no two nodes own a shard at the same time, whatever messages are lost, late or duplicate,
and whichever nodes are frozen, partitioned, restarted or replaced
(`tests/test_quorum_lease_safety.py`, which also disables each mechanism in turn; docs/quotas.md
shows it for replacement). It assumes that clocks drift apart by less than `DRIFT_SHARE`.
"""

from collections.abc import Callable

import msgspec

from linkhaven.runtime import Node

from .interfaces import ShardListener, ShardReplicaDirectory, ShardVotingReplica
from .quorum_lease_candidate import ShardCandidate
from .quorum_lease_electorate import Electorate
from .quorum_lease_messages import ShardLeaseRelease, ShardLeaseRequest, ShardLeaseVote
from .quorum_lease_times import LeaseTimes
from .quorum_lease_voter import ShardVoter


class ShardStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One shard as one node reports it to operators."""

    shard: int
    owner: str | None
    """The address of the node that owns the shard, None if this node knows of none."""

    is_owned: bool = msgspec.field(name="held")
    """Whether this node owns the shard."""

    epoch: int
    """How often this node has won the shard since its start."""


class NullShardListener:
    """A `ShardListener` that ignores all events."""

    __slots__ = ()

    def on_shard_won(self, shard: int) -> None:
        """Do nothing."""

    def on_shard_lost(self, shard: int) -> None:
        """Do nothing."""


class ShardLeases:
    """This node as a voter on the leases of all shards and as a candidate for them.

    Implements `ShardOwnership`. It requests shards only while this node's replica votes and
    `is_needed` returns True, that is, while a tenant has a limit; it votes in any case.
    """

    __slots__ = ("node", "electorate", "voter", "candidate", "is_needed", "is_stopped")

    def __init__(
        self,
        node: Node,
        start: str,
        replica: ShardVotingReplica,
        directory: ShardReplicaDirectory,
        is_needed: Callable[[], bool],
        listener: ShardListener,
    ) -> None:
        """Create as many shards as replicas; `start` identifies this start of the process."""
        times = LeaseTimes(node.bounds)
        self.node = node
        self.electorate = Electorate(replica, directory)
        self.voter = ShardVoter(len(replica.replica_ids), times.abstention_us, node.now_us())
        self.candidate = ShardCandidate(node, start, times, self.electorate, self.voter, listener)
        self.is_needed = is_needed
        self.is_stopped = False
        node.register_handler(ShardLeaseRequest, self.on_shard_lease_request)
        node.register_handler(ShardLeaseVote, self.on_shard_lease_vote)
        node.register_handler(ShardLeaseRelease, self.on_shard_lease_release)
        node.tick_handlers.append(self.tick)

    # ownership

    @property
    def num_shards(self) -> int:
        """The number of shards that the tenants are divided into."""
        return self.voter.num_shards

    def is_owned(self, shard: int, now_us: int) -> bool:
        """Whether this node owns the shard at `now_us`."""
        return self.candidate.leases[shard].is_owned(now_us)

    def epoch_of(self, shard: int) -> int:
        """Return how often this node has won the shard."""
        return self.candidate.leases[shard].epoch

    def owner_address(self, shard: int) -> str | None:
        """Return the address to which this node's voter promised the shard, usually its owner."""
        if self.is_owned(shard, self.node.now_us()):
            return self.node.address
        promise = self.voter.holder_of(shard)
        return promise.address if promise is not None else None

    def status(self) -> list[ShardStatus]:
        """Return the state of each shard as far as this node knows."""
        now_us = self.node.now_us()
        return [
            ShardStatus(
                shard=shard,
                owner=self.owner_address(shard),
                is_owned=self.is_owned(shard, now_us),
                epoch=self.epoch_of(shard),
            )
            for shard in range(self.num_shards)
        ]

    # events

    def tick(self, now_us: int) -> None:
        """Request and renew leases, or release all that this node doesn't need."""
        self._observe(now_us)
        if self.is_stopped or not self.voter.is_voting or not self.is_needed():
            return self.candidate.release_all(now_us)
        self.candidate.tick(now_us)

    def _observe(self, now_us: int) -> None:
        self.voter.count_elapsed(now_us)
        self.voter.observe_instance(self.electorate.own_instance())

    def on_shard_lease_request(self, request: ShardLeaseRequest) -> None:
        """Answer with this node's vote, if it may vote."""
        self._observe(self.node.now_us())
        vote = self.voter.vote(request, self.electorate.newest_incarnations())
        if vote is not None:
            self.node.send(request.reply_to, vote)

    def on_shard_lease_vote(self, vote: ShardLeaseVote) -> None:
        """Count a vote."""
        if not self.is_stopped:
            self.candidate.on_vote(vote, self.node.now_us())

    def on_shard_lease_release(self, release: ShardLeaseRelease) -> None:
        """End the sender's promises, and request shards that are released to this replica."""
        now_us = self.node.now_us()
        self._observe(now_us)
        self.voter.on_release(release)
        if self._is_successor(release):
            self.candidate.request_now(release.shards, now_us)

    def _is_successor(self, release: ShardLeaseRelease) -> bool:
        if self.is_stopped or not self.voter.is_voting or not self.is_needed():
            return False
        return release.successor == self.electorate.replica.replica_id

    def release(self, done: Callable[[], None]) -> None:
        """Release all shards at shutdown and request none any more, then call `done`.

        Doesn't wait for acknowledgements: if a release is lost, a successor waits for the rest of
        the lease.
        """
        self.is_stopped = True
        self.candidate.release_all(self.node.now_us())
        done()
