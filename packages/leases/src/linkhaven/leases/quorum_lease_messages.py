"""Messages of the quorum leases on shards; each covers several shards of its sender."""

import msgspec

from linkhaven.runtime import Message


class ShardLeaseRequest(Message, frozen=True, kw_only=True, tag="shard_request"):
    """Requests a voter's promise of shards, or its renewal."""

    replica_id: str = msgspec.field(name="seat")
    """The candidate's replica."""

    incarnation: int
    """The incarnation of that replica."""

    start: str
    """Identifies the start of the candidate's process; a restarted process is another holder."""

    round: int
    """Increases with each request of this start."""

    lease_us: int
    """Duration of the candidate's lease, measured from before it sent this."""

    shards: list[int]


class ShardHolder(msgspec.Struct, frozen=True, array_like=True):
    """The node to which a voter has promised a shard; a list on the wire."""

    shard: int
    name: str
    address: str


class ShardLeaseVote(Message, frozen=True, kw_only=True, tag="shard_vote"):
    """A voter's answer to one `ShardLeaseRequest`."""

    replica_id: str = msgspec.field(name="seat")
    """The replica that voted."""

    incarnation: int
    known_incarnations: dict[str, int] = msgspec.field(name="known")
    """The newest incarnation of each replica that the voter knows; votes of older ones are void."""

    start: str
    """The `start` of the request; a vote for another start doesn't count."""

    round: int
    granted: list[int]
    holders: list[ShardHolder]
    """The holder of each shard that was refused."""


class ShardLeaseRelease(Message, frozen=True, kw_only=True, tag="shard_release"):
    """Gives up shards; the sender no longer counts votes of this round or an earlier one."""

    start: str
    round: int
    shards: list[int]
    successor: str = ""
    """The replica that should request the shards at once, in a planned rebalance; else empty."""
