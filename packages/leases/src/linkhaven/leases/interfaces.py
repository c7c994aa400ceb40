"""What a lease needs of the node around it, and whom it tells of its events."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from linkhaven.consensus import Outcome, UpdateAction


class LeaseListener(Protocol):
    """Hears when this node begins and ends to play a role."""

    def on_lease_won(self, role: str) -> None:
        """This node holds the lease under a new fencing token."""

    def on_lease_lapsed(self, role: str) -> None:
        """This node no longer holds the lease: nothing more may be done under its token."""


class NullLeaseListener:
    """Listens to no event of a lease."""

    __slots__ = ()

    def on_lease_won(self, role: str) -> None:
        """Do nothing."""

    def on_lease_lapsed(self, role: str) -> None:
        """Do nothing."""


class LiveIncarnations(Protocol):
    """Knows which start of each node runs; the membership does."""

    def live_incarnation(self, name: str) -> int | None:
        """Return the node's running incarnation, 0 where it is down, None where it is unknown."""


class Proposer(Protocol):
    """Changes a register by a read-modify-write that a majority of the replicas commits."""

    def propose(
        self,
        key: str,
        step: Callable[[Any], tuple[UpdateAction, Any]],
        done: Callable[[Outcome, Any], None],
        *,
        is_patient: bool = ...,
    ) -> None:
        """Apply `step` to the register's value, then call `done` with the outcome and the value."""


class Register(Protocol):
    """What one replica holds for a key."""

    value: Any


class Replica(Protocol):
    """This node's replica of the registers."""

    is_voting: bool
    votes_from_us: int

    def register_state(self, key: str) -> Register:
        """Return the register of a key; its value is None where it was never written."""


class ShardOwnership(Protocol):
    """Tells which shards of tenants this node counts for.

    Invariant: `is_owned` is true at no two nodes at the same time for one shard
    (`tests/test_quorum_lease_safety.py`), as long as each asks it with its own time of now.
    """

    @property
    def num_shards(self) -> int:
        """Into how many shards the tenants are divided: see `shard_of`."""

    def is_owned(self, shard: int, now_us: int) -> bool:
        """Whether this node may count for the shard now; ask at each use."""

    def epoch_of(self, shard: int) -> int:
        """How often this node has won the shard: what was counted in an earlier epoch is void."""

    def owner_address(self, shard: int) -> str | None:
        """Who holds the shard as far as this node knows, None where it knows of nobody."""


class ShardListener(Protocol):
    """Hears which shards this node begins and ends to count for."""

    def on_shard_won(self, shard: int) -> None:
        """This node owns the shard, in a new epoch."""

    def on_shard_lost(self, shard: int) -> None:
        """This node no longer owns the shard."""


class ShardVotingReplica(Protocol):
    """This node's replica, as the leases on shards see it."""

    replica_id: str
    replica_ids: tuple[str, ...]
    majority: int
    incarnation: int

    @property
    def is_voting(self) -> bool:
        """Whether it gives votes."""

    def all_incarnations(self) -> dict[str, int]:
        """The newest incarnation of each replica that it knows, with its own."""


class ShardReplicaDirectory(Protocol):
    """Which members are the replicas, and which of them are up; the membership."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """The address and the newest incarnation of each replica."""

    def replica_members(self) -> Mapping[str, Any]:
        """The newest member that is known to be each replica, be it down."""
