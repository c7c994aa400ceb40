"""Messages by which a departing replica replicates what it accepted, with their encoding.

`BallotPage` is answered by `MissingValues`, and that by `LateAccepts`, until nothing is missing.
"""

from typing import Any

import msgspec

from linkhaven.runtime import Message

from .recovery_messages import Ballot


class BallotPage(Message, frozen=True, tag="holders_page"):
    """The accepted ballots of one page of a departing replica's registers."""

    round_number: int = msgspec.field(name="round")
    after: str
    """The page cursor: the last key of the previous page, "" for the first page."""

    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    ballots: dict[str, Ballot]


class MissingValues(Message, frozen=True, tag="holders_lack"):
    """The registers of a page that the sender has under a lower ballot or not at all."""

    replica_id: str = msgspec.field(name="seat")
    round_number: int = msgspec.field(name="round")
    after: str
    missing: list[str] = msgspec.field(name="lacking")
    preempted: list[str] = msgspec.field(name="stuck")
    """Missing, and the sender has promised a higher ballot, so it would refuse a late accept."""


class LateAccepts(Message, frozen=True, tag="holders_late"):
    """The missing values, each with the ballot under which it was accepted."""

    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    registers: dict[str, tuple[Ballot, Any]] = msgspec.field(name="cells")
