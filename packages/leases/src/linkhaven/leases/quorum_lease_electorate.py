"""Which replicas vote on shard leases, and in which order they request a free shard."""

from .interfaces import ShardReplicaDirectory, ShardVotingReplica
from .quorum_lease_voter import ReplicaInstance
from .shards import preference_order


class Electorate:
    """The replicas as this node knows them; a stateless view of its replica and the directory."""

    __slots__ = ("replica", "directory")

    def __init__(self, replica: ShardVotingReplica, directory: ShardReplicaDirectory) -> None:
        """Combine this node's replica and the directory of all replicas."""
        self.replica = replica
        self.directory = directory

    @property
    def majority(self) -> int:
        """The number of replicas that must grant a lease."""
        return self.replica.majority

    def may_still_win(self, num_refused: int) -> bool:
        """Whether a majority may still grant a request that `num_refused` replicas refused."""
        return len(self.replica.replica_ids) - num_refused >= self.majority

    def own_instance(self) -> ReplicaInstance | None:
        """Return the replica that this node votes as, or None if it doesn't vote."""
        if not self.replica.is_voting:
            return None
        return ReplicaInstance(self.replica.replica_id, self.replica.incarnation)

    def other_addresses(self) -> list[str]:
        """Return the addresses of the other replicas."""
        return [
            address
            for replica_id, (address, _) in self.directory.replicas().items()
            if replica_id != self.replica.replica_id
        ]

    def newest_incarnations(self) -> dict[str, int]:
        """Return the newest known incarnation of each replica, 0 if none is known."""
        recorded = self.replica.all_incarnations()
        directory = self.directory.replicas()
        return {
            replica_id: max(recorded.get(replica_id, 0), directory.get(replica_id, ("", 0))[1])
            for replica_id in self.replica.replica_ids
        }

    def order_of(self, shard: int) -> list[str]:
        """Return the live replicas, including this one, in the order of their requests."""
        live = {
            replica_id
            for replica_id, member in self.directory.replica_members().items()
            if member.is_up
        }
        return preference_order(shard, live | {self.replica.replica_id})

    def rank_of(self, shard: int, last_holder: str) -> int:
        """Return how many replicas request a free shard first; its last holder goes last."""
        order = self.order_of(shard)
        return sorted(order, key=lambda replica_id: replica_id == last_holder).index(
            self.replica.replica_id
        )
