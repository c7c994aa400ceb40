"""What a replica keeps on disk about instances and hand-overs, as its bytes stand there."""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

HANDOVER_RECORD = "offer"
"""The key of the record of the last hand-over."""

CONTROLLER_KIND, ROUTER_KIND = "registry", "router"
"""How membership spells the kinds of nodes that may become a replica and that ask one."""


class ReplicaInstance(msgspec.Struct, array_like=True, frozen=True):
    """The node that ran last as a replica, as far as it is recorded."""

    incarnation: int
    start: str
    """Its process start; "" where only its membership record is known."""

    name: str
    """Its node name; "" for the contact of a first start, which is known by address only."""

    address: str


class HandoverRecord(msgspec.Struct):
    """The last hand-over that this disk agreed to take, and how it ended."""

    handover_id: str = msgspec.field(name="id")
    is_taken: bool


class SealRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A departing replica gave its vote away under this incarnation."""

    handover_id: str = msgspec.field(name="id")
    successor_name: str = msgspec.field(name="name")
    successor_address: str = msgspec.field(name="address")
    incarnation: int


class ReplicaRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The records of one write about the replica itself; what is unset stays as it is.

    None removes a record.
    """

    replica_id: str | UnsetType = msgspec.field(default=UNSET, name="seat")
    incarnation: int | UnsetType = UNSET
    known_incarnations: dict[str, int] | UnsetType = msgspec.field(default=UNSET, name="known")
    clock_us: int | UnsetType = UNSET
    """Time lived through by all instances of this replica, by which claims expire."""

    is_partial: bool | None | UnsetType = UNSET
    """The registers on this disk are not all that the replica accepted."""

    seal: SealRecord | None | UnsetType = msgspec.field(default=UNSET, name="sealed")
    are_claims_open: bool | UnsetType = UNSET
    instances: dict[str, ReplicaInstance] | UnsetType = msgspec.field(
        default=UNSET, name="occupants"
    )
    handover: HandoverRecord | UnsetType = msgspec.field(default=UNSET, name=HANDOVER_RECORD)

    def as_items(self) -> dict[str, Any]:
        """Keys and values as the disk takes them."""
        return msgspec.to_builtins(self)

    @classmethod
    def load(cls, stored: Mapping[str, Any]) -> "ReplicaRecord":
        """Take the replica's own records out of all that a disk holds."""
        return msgspec.convert(stored, cls)


OWN_RECORDS = tuple(
    field.encode_name
    for field in msgspec.structs.fields(ReplicaRecord)
    if field.encode_name != HANDOVER_RECORD
)
"""The keys of these records on disk, but for the hand-over, for which a spare answers, too."""
