"""Interfaces of the leases: their dependencies on the node, and listeners to their events."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from linkhaven.consensus import Outcome, UpdateAction


class LeaseListener(Protocol):
    """Receives the start and end of this node's lease on a role."""

    def on_lease_won(self, role: str) -> None:
        """Called when this node holds the lease under a new fencing token."""

    def on_lease_lapsed(self, role: str) -> None:
        """Called when this node no longer holds the lease and must not act under its token."""


class NullLeaseListener:
    """A `LeaseListener` that ignores all events."""

    __slots__ = ()

    def on_lease_won(self, role: str) -> None:
        """Do nothing."""

    def on_lease_lapsed(self, role: str) -> None:
        """Do nothing."""


class LiveIncarnations(Protocol):
    """Provides the running incarnation of each node; implemented by the membership."""

    def live_incarnation(self, name: str) -> int | None:
        """Return the node's running incarnation, 0 if it is down, None if it is unknown."""


class Proposer(Protocol):
    """Updates a register by a read-modify-write that a majority of the replicas commits."""

    def propose(
        self,
        key: str,
        step: Callable[[Any], tuple[UpdateAction, Any]],
        done: Callable[[Outcome, Any], None],
        *,
        is_patient: bool = ...,
    ) -> None:
        """Apply `step` to the register's value, then call `done` with the outcome and value."""


class Register(Protocol):
    """The state of one key at one replica."""

    value: Any


class Replica(Protocol):
    """This node's replica of the registers."""

    is_voting: bool
    """Whether the replica votes."""

    votes_from_us: int
    """When the replica may vote on leases at the earliest, by the node's clock."""

    def register_state(self, key: str) -> Register:
        """Return the register of a key; its value is None if it was never written."""


class ShardOwnership(Protocol):
    """Tells which shards of tenants this node owns, and so grants quotas for.

    Invariant: `is_owned` is never true at two nodes at the same time for one shard
    (`tests/test_quorum_lease_safety.py`), as long as each passes its own current time.
    """

    @property
    def num_shards(self) -> int:
        """The number of shards that the tenants are divided into; see `shard_of`."""

    def is_owned(self, shard: int, now_us: int) -> bool:
        """Whether this node owns the shard at `now_us`; must be checked at each use."""

    def epoch_of(self, shard: int) -> int:
        """Return how often this node has won the shard; state of an earlier epoch is void."""

    def owner_address(self, shard: int) -> str | None:
        """Return the address of the shard's owner, None if this node knows of none."""


class ShardListener(Protocol):
    """Receives the start and end of this node's ownership of shards."""

    def on_shard_won(self, shard: int) -> None:
        """Called when this node owns the shard, in a new epoch."""

    def on_shard_lost(self, shard: int) -> None:
        """Called when this node no longer owns the shard."""


class ShardVotingReplica(Protocol):
    """The interface of this node's replica that the leases on shards use."""

    replica_id: str
    replica_ids: tuple[str, ...]
    majority: int
    incarnation: int

    @property
    def is_voting(self) -> bool:
        """Whether the replica votes."""

    def all_incarnations(self) -> dict[str, int]:
        """Return the newest known incarnation of each replica, including this one."""


class ShardReplicaDirectory(Protocol):
    """Provides which members are replicas and which are up; implemented by the membership."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """Return the address and the newest incarnation of each replica."""

    def replica_members(self) -> Mapping[str, Any]:
        """Return the newest member known as each replica, even if it is down."""
