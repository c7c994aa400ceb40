"""Messages of recovery and state transfer, with their encoding on the wire.

A recovering replica sends `StateQuery`, `EpochAnnouncement` and `PageRequest`; the others answer
each with `ReplicaStateReport`, `EpochRecorded` and `StatePage`. `PageRequest` and `StatePage` also
serve the hand-over of a departing replica (`succession.py`).
"""

from typing import Any

import msgspec

from linkhaven.runtime import Message

from .paxos_messages import Ballot

RegisterCopy = tuple[Ballot, Ballot | None, Any]
"""Promised ballot, accepted ballot and accepted value of one register."""


class StateQuery(Message, frozen=True, tag="rejoin"):
    """A recovering replica asks another one for its state."""

    replica_id: str = msgspec.field(name="seat")
    """The replica that the sender recovers as."""

    start: str = msgspec.field(name="asked")
    """The id of the sender's process start, so that answers to an earlier start are ignored."""


class ReplicaStateReport(Message, frozen=True, tag="rejoin_state"):
    """The state of a replica, and what it knows of the one that sent the query."""

    replica_id: str = msgspec.field(name="seat")
    queried_by: str = msgspec.field(name="for_seat")
    """The replica that sent the query."""

    queried_start: str = msgspec.field(name="asked")
    """The process start that sent the query."""

    is_voting: bool
    is_empty: bool
    """Whether its disk can't be recovered from: lost, read in part, or sealed by a hand-over."""

    incarnation: int
    known_incarnations: dict[str, int] = msgspec.field(name="known")
    """The newest incarnation of each replica that the sender knows."""

    start: str
    """The id of the sender's process start."""

    recorded_name: str = msgspec.field(name="occupant")
    """The node last recorded as the replica that sent the query; "" if there is none."""

    is_taken: bool
    """Whether another node than the one that sent the query runs as that replica."""


class EpochAnnouncement(Message, frozen=True, tag="rejoin_note"):
    """A replica asks another one to record its new incarnation, which fences the older ones."""

    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    start: str
    bootstrap_start: str | None = msgspec.field(name="genesis")
    """Set if the sender found every replica empty and bootstraps the group: the process start that
    the receiver had reported to it."""


class EpochRecorded(Message, frozen=True, tag="rejoin_noted"):
    """A replica has synced the announced incarnation, and refuses requests that name older ones."""

    replica_id: str = msgspec.field(name="seat")
    incarnation: int


class PageRequest(Message, frozen=True, tag="rejoin_browse"):
    """Asks for the next page of a replica's registers, in the order of their keys."""

    replica_id: str = msgspec.field(name="seat")
    """The replica that the sender recovers as; "" for a successor that has none yet."""

    transfer: str = msgspec.field(name="asked")
    """Identifies the transfer: the reader's process start, or the id of the hand-over."""

    after: str
    """The page cursor: the last key of the previous page, "" for the first page."""

    since: int
    """Only registers whose last change has this change count or a higher one are sent."""


class StatePage(Message, frozen=True, tag="rejoin_page"):
    """One page of a replica's registers."""

    replica_id: str = msgspec.field(name="seat")
    start: str
    """The id of the sender's process start; pages of different starts must not be combined."""

    transfer: str = msgspec.field(name="asked")
    after: str
    since: int
    change_count: int = msgspec.field(name="version")
    """The sender's change count when the first page was requested."""

    num_remaining: int = msgspec.field(name="left")
    """The number of keys after this page."""

    next_cursor: str | None = msgspec.field(name="last")
    """The cursor of the next page; None if this is the last one."""

    are_claims_open: bool
    registers: dict[str, RegisterCopy] = msgspec.field(name="cells")
