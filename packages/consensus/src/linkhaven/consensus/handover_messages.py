"""Messages of the hand-over between a departing replica and its successor, with their encoding.

The departing replica sends `HandoverOffer`, `HandoverSeal` and `HandoverQuery`; the successor sends
`SuccessorReady`, `HandoverOutcome` and, to the other replicas, `ReachabilityProbe`, which they
answer with `ReachabilityReply`.
"""

import msgspec

from linkhaven.runtime import Message

from .replica_records import ReplicaInstance


class HandoverOffer(Message, frozen=True, tag="handover_offer"):
    """A departing replica offers a hand-over to a spare."""

    handover_id: str = msgspec.field(name="id")
    replica_id: str = msgspec.field(name="seat")
    incarnation: int


class HandoverSeal(Message, frozen=True, tag="handover_sealed"):
    """The departing replica has stopped voting, so its state is final."""

    handover_id: str = msgspec.field(name="id")
    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    known_incarnations: dict[str, int] = msgspec.field(name="known")
    clock_us: int
    """The departing replica's clock of claims. The successor uses its own clock instead, so that no
    claim expires early; nodes of earlier versions reject a seal without this field."""

    are_claims_open: bool
    instances: dict[str, ReplicaInstance] = msgspec.field(name="occupants")
    wait_us: int
    """How long the successor doesn't vote on leases after its first vote."""


class HandoverQuery(Message, frozen=True, tag="handover_ask"):
    """A sealed replica asks for the outcome of its hand-over after a restart."""

    handover_id: str = msgspec.field(name="id")


class SuccessorReady(Message, frozen=True, tag="handover_ready"):
    """The successor has read every page and reaches a majority: the departing replica may seal."""

    handover_id: str = msgspec.field(name="id")


class HandoverOutcome(Message, frozen=True, tag="handover_fate"):
    """Whether the successor took over from the departing replica; False is final."""

    handover_id: str = msgspec.field(name="id")
    is_taken: bool


class ReachabilityProbe(Message, frozen=True, tag="handover_probe"):
    """The successor asks a voting replica for an answer, to see that it can be reached."""

    handover_id: str = msgspec.field(name="id")


class ReachabilityReply(Message, frozen=True, tag="handover_reached"):
    """The answer of a voting replica to `ReachabilityProbe`."""

    handover_id: str = msgspec.field(name="id")
    replica_id: str = msgspec.field(name="seat")
