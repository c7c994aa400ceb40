"""Records on disk about the replica itself, other instances and hand-overs, and their encoding."""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

HANDOVER_RECORD = "offer"
"""The key of the record of the last hand-over."""

CONTROLLER_KIND, ROUTER_KIND = "registry", "router"
"""Membership's names for controllers, which may become replicas, and routers."""


class ReplicaInstance(msgspec.Struct, array_like=True, frozen=True):
    """The last recorded instance of a replica: the node that ran as it."""

    incarnation: int
    start: str
    """The id of the node's process start; "" if only its membership record is known."""

    name: str
    """The node's name; "" for a contact of the first start, of which only the address is known."""

    address: str


class HandoverRecord(msgspec.Struct):
    """The last hand-over that this node agreed to, and whether it took over."""

    handover_id: str = msgspec.field(name="id")
    is_taken: bool


class SealRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A departing replica was sealed for a successor, and doesn't vote under this incarnation."""

    handover_id: str = msgspec.field(name="id")
    successor_name: str = msgspec.field(name="name")
    successor_address: str = msgspec.field(name="address")
    incarnation: int


class ReplicaRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The replica's own records, as one write: UNSET leaves a record unchanged, None deletes it."""

    replica_id: str | UnsetType = msgspec.field(default=UNSET, name="seat")
    incarnation: int | UnsetType = UNSET
    known_incarnations: dict[str, int] | UnsetType = msgspec.field(default=UNSET, name="known")
    clock_us: int | UnsetType = UNSET
    """Total run time of all instances of this replica, by which claims expire."""

    is_partial: bool | None | UnsetType = UNSET
    """Whether the registers on this disk are not all that the replica accepted."""

    seal: SealRecord | None | UnsetType = msgspec.field(default=UNSET, name="sealed")
    are_claims_open: bool | UnsetType = UNSET
    instances: dict[str, ReplicaInstance] | UnsetType = msgspec.field(
        default=UNSET, name="occupants"
    )
    handover: HandoverRecord | UnsetType = msgspec.field(default=UNSET, name=HANDOVER_RECORD)

    def as_items(self) -> dict[str, Any]:
        """Return the records to write, by their keys on disk."""
        return msgspec.to_builtins(self)

    @classmethod
    def load(cls, stored: Mapping[str, Any]) -> "ReplicaRecord":
        """Read the replica's own records from all records on disk."""
        return msgspec.convert(stored, cls)


OWN_RECORDS = tuple(
    field.encode_name
    for field in msgspec.structs.fields(ReplicaRecord)
    if field.encode_name != HANDOVER_RECORD
)
"""The keys of these records on disk, without that of the last hand-over, which a spare keeps."""
