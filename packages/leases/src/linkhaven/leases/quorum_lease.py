"""Quorum leases on shards of tenants: which controller counts for which tenants.

A node owns a shard for a short time by the promises of a majority of the replicas, held in memory
without a disk (PaxosLease: Trencseni, Gazso and Reinhardt, "PaxosLease: Diskless Paxos for
Leases", 2012). Unlike the leases on singleton roles (`lease.py`) no fencing token comes out of it,
and another node takes over within a second.

| message | from | to | handled by |
| --- | --- | --- | --- |
| `ShardLeaseRequest` | who asks or renews | all other replicas | `ShardVoter.vote` |
| `ShardLeaseVote` | a voting replica | who asked | `ShardCandidate.on_vote` |
| `ShardLeaseRelease` | who gives shards up | all other replicas | `ShardVoter.on_release` |

Invariant: no two nodes own a shard at the same time, whatever messages are lost, late or doubled,
and whichever nodes are frozen, cut off, restarted or replaced (`tests/test_quorum_lease_safety.py`,
with a sabotage of each mechanism; why replacement holds too: docs/quotas.md). It rests on clocks
that measure spans alike, within `DRIFT_SHARE`.
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
    """One shard as an operator sees it at one node."""

    shard: int
    owner: str | None
    """The address of the node that counts for it, None where this node knows of none."""

    is_owned: bool = msgspec.field(name="held")
    """Whether this node counts for it."""

    epoch: int
    """How often this node has won it since its start."""


class NullShardListener:
    """Listens to no event of a shard."""

    __slots__ = ()

    def on_shard_won(self, shard: int) -> None:
        """Do nothing."""

    def on_shard_lost(self, shard: int) -> None:
        """Do nothing."""


class ShardLeases:
    """This node as a voter on the leases of all shards, and as a candidate for them.

    It implements `ShardOwnership`. It asks for shards only while this node's replica votes and
    `is_needed` says that there is something to count; it votes for others all the same.
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
        """There are as many shards as replicas; `start` names this start of the process."""
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
        node.systems.append(self.tick)

    # what counting asks

    @property
    def num_shards(self) -> int:
        """Into how many shards the tenants are divided."""
        return self.voter.num_shards

    def is_owned(self, shard: int, now_us: int) -> bool:
        """Whether this node may count for the shard now."""
        return self.candidate.leases[shard].is_owned(now_us)

    def epoch_of(self, shard: int) -> int:
        """How often this node has won the shard."""
        return self.candidate.leases[shard].epoch

    def owner_address(self, shard: int) -> str | None:
        """To whom this node's voter has promised the shard: most often its owner."""
        if self.is_owned(shard, self.node.now_us()):
            return self.node.address
        promise = self.voter.holder_of(shard)
        return promise.address if promise is not None else None

    def status(self) -> list[ShardStatus]:
        """Who owns each shard, as far as this node knows."""
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

    # what happens to it

    def tick(self, now_us: int) -> None:
        """Ask and renew, or give up what this node has no use for."""
        self._observe(now_us)
        if self.is_stopped or not self.voter.is_voting or not self.is_needed():
            return self.candidate.release_all(now_us)
        self.candidate.tick(now_us)

    def _observe(self, now_us: int) -> None:
        self.voter.count_elapsed(now_us)
        self.voter.observe_instance(self.electorate.own_instance())

    def on_shard_lease_request(self, request: ShardLeaseRequest) -> None:
        """Answer with this node's vote, where it has one."""
        self._observe(self.node.now_us())
        vote = self.voter.vote(request, self.electorate.newest_incarnations())
        if vote is not None:
            self.node.send(request.reply_to, vote)

    def on_shard_lease_vote(self, vote: ShardLeaseVote) -> None:
        """Count it."""
        if not self.is_stopped:
            self.candidate.on_vote(vote, self.node.now_us())

    def on_shard_lease_release(self, release: ShardLeaseRelease) -> None:
        """Free the shards, and ask for those that are released to this replica."""
        now_us = self.node.now_us()
        self._observe(now_us)
        self.voter.on_release(release)
        if self._is_successor(release):
            self.candidate.ask_now(release.shards, now_us)

    def _is_successor(self, release: ShardLeaseRelease) -> bool:
        if self.is_stopped or not self.voter.is_voting or not self.is_needed():
            return False
        return release.successor == self.electorate.replica.replica_id

    def release(self, done: Callable[[], None]) -> None:
        """The node shuts down: its shards are free at once, and it asks for none any more.

        Nothing need be waited for: a release that is lost costs a successor the rest of the lease.
        """
        self.is_stopped = True
        self.candidate.release_all(self.node.now_us())
        done()
