"""Messages by which a spare learns which node runs as which replica, with their encoding."""

import msgspec

from linkhaven.runtime import Message


class InstancesQuery(Message, frozen=True, tag="occupants"):
    """A spare asks a replica which node runs as which replica."""


class InstanceStatus(msgspec.Struct, array_like=True, frozen=True):
    """The last node of a replica, and whether it has been absent long enough to be replaced."""

    name: str
    address: str
    is_vacant: bool


class InstancesReport(Message, frozen=True, tag="occupants_told"):
    """The last node of each replica, as one voting replica has recorded it."""

    replica_id: str = msgspec.field(name="seat")
    instances: dict[str, InstanceStatus] = msgspec.field(name="table")
