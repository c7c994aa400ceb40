"""Messages of the hand-over between a departing replica and its successor, as on the wire.

The departing one sends `HandoverOffer`, `HandoverSeal` and `HandoverQuery`; the successor sends
`SuccessorReady`, `HandoverOutcome` and, to the other replicas, `ReachabilityProbe`, which they
answer with `ReachabilityReply`.
"""

import msgspec

from linkhaven.runtime import Message

from .replica_records import ReplicaInstance


class HandoverOffer(Message, frozen=True, tag="handover_offer"):
    """A departing replica offers its place to a spare."""

    handover_id: str = msgspec.field(name="id")
    replica_id: str = msgspec.field(name="seat")
    incarnation: int


class HandoverSeal(Message, frozen=True, tag="handover_sealed"):
    """The departing replica votes no more: what it has from here on is final."""

    handover_id: str = msgspec.field(name="id")
    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    known_incarnations: dict[str, int] = msgspec.field(name="known")
    clock_us: int
    """Time lived through by the departing replica. The successor counts by its own clock, so that
    no claim expires early; members of earlier versions refuse a seal without it."""

    are_claims_open: bool
    instances: dict[str, ReplicaInstance] = msgspec.field(name="occupants")
    wait_us: int
    """For how long the successor grants no lease after its first vote."""


class HandoverQuery(Message, frozen=True, tag="handover_ask"):
    """A sealed replica that was started again asks how its hand-over ended."""

    handover_id: str = msgspec.field(name="id")


class SuccessorReady(Message, frozen=True, tag="handover_ready"):
    """The successor has read every page and reaches a majority: the departing one may stop."""

    handover_id: str = msgspec.field(name="id")


class HandoverOutcome(Message, frozen=True, tag="handover_fate"):
    """Whether the successor took the departing replica's place; False is final."""

    handover_id: str = msgspec.field(name="id")
    is_taken: bool


class ReachabilityProbe(Message, frozen=True, tag="handover_probe"):
    """The successor asks a voting replica whether each hears the other."""

    handover_id: str = msgspec.field(name="id")


class ReachabilityReply(Message, frozen=True, tag="handover_reached"):
    """A voting replica hears the successor."""

    handover_id: str = msgspec.field(name="id")
    replica_id: str = msgspec.field(name="seat")
