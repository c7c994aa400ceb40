"""Messages by which a spare learns which node runs as which replica, as on the wire."""

import msgspec

from linkhaven.runtime import Message


class InstancesQuery(Message, frozen=True, tag="occupants"):
    """A spare asks a replica who runs as which replica."""


class InstanceStatus(msgspec.Struct, array_like=True, frozen=True):
    """Who ran last as a replica, and whether it is gone for long enough to be replaced."""

    name: str
    address: str
    is_vacant: bool


class InstancesReport(Message, frozen=True, tag="occupants_told"):
    """What one voting replica recorded of all."""

    replica_id: str = msgspec.field(name="seat")
    instances: dict[str, InstanceStatus] = msgspec.field(name="table")
