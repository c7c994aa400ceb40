"""Messages of recovery and state transfer, and the one place that spells them on the wire.

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
    """A recovering replica asks another one how it stands."""

    replica_id: str = msgspec.field(name="seat")
    """The replica that the sender recovers as."""

    start: str = msgspec.field(name="asked")
    """The sender's process start, so that an answer to an earlier start isn't taken."""


class ReplicaStateReport(Message, frozen=True, tag="rejoin_state"):
    """How a replica stands, and what it knows of the one that asks."""

    replica_id: str = msgspec.field(name="seat")
    queried_by: str = msgspec.field(name="for_seat")
    """The replica that asked."""

    queried_start: str = msgspec.field(name="asked")
    """The process start that asked."""

    is_voting: bool
    is_empty: bool
    """Its disk can't be built on: lost, read in part, or fenced by a hand-over."""

    incarnation: int
    known_incarnations: dict[str, int] = msgspec.field(name="known")
    """The newest incarnation of each replica that it knows."""

    start: str
    """Its own process start."""

    recorded_name: str = msgspec.field(name="occupant")
    """The node that it recorded last as the asking replica; "" where none."""

    is_taken: bool
    """Whether another node than the asking one runs as the asking replica."""


class EpochAnnouncement(Message, frozen=True, tag="rejoin_note"):
    """A replica asks another one to record its new incarnation, which fences the older ones."""

    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    start: str
    bootstrap_start: str | None = msgspec.field(name="genesis")
    """Set where the sender found every replica empty and starts the group anew: the process start
    that it met at the receiver."""


class EpochRecorded(Message, frozen=True, tag="rejoin_noted"):
    """A replica has synced the announced incarnation and accepts nothing under older ones."""

    replica_id: str = msgspec.field(name="seat")
    incarnation: int


class PageRequest(Message, frozen=True, tag="rejoin_browse"):
    """Asks for the next page of a replica's registers, in the order of their keys."""

    replica_id: str = msgspec.field(name="seat")
    """The replica that the sender recovers as; "" for a successor that has none yet."""

    transfer: str = msgspec.field(name="asked")
    """Names the transfer: the reader's process start, or the id of the hand-over."""

    after: str
    """The page cursor: the last key of the page before, "" for the first page."""

    since: int
    """Only registers that changed at this change count or later."""


class StatePage(Message, frozen=True, tag="rejoin_page"):
    """One page of a replica's registers."""

    replica_id: str = msgspec.field(name="seat")
    start: str
    """The sender's process start: pages of two starts don't make one state."""

    transfer: str = msgspec.field(name="asked")
    after: str
    since: int
    change_count: int = msgspec.field(name="version")
    """The sender's change count when the first page was asked for."""

    num_remaining: int = msgspec.field(name="left")
    """How many keys come after this page."""

    next_cursor: str | None = msgspec.field(name="last")
    """The cursor of the next page; None where this is the last one."""

    are_claims_open: bool
    registers: dict[str, RegisterCopy] = msgspec.field(name="cells")
