"""Messages of the two Paxos rounds, with their encoding on the wire.

A proposer sends `Prepare`, then `Accept`, then `Chosen`; an acceptor answers the first two with
`Promise` and `Accepted` (Lamport, Paxos Made Simple, 2.2). A refusal is an answer of the same type
whose `is_yes` is false, with a reason.

A field that applies only to some answers is UNSET in the others, and not encoded.
"""

from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from linkhaven.runtime import Message

Ballot = list[Any]
"""A counter and the proposer's node name; ballots are compared element by element."""

PREEMPTED = "ballot"
"""Reason of a refusal: the acceptor promised a higher ballot, given in `highest`."""

OTHER_REPLICA = "seat"
"""Reason of a refusal: the message is addressed to another replica than the one it reached."""

OLD_INCARNATION = "incarnation"
"""Reason of a refusal: the acceptor knows a newer instance of a replica than the proposer."""

LEASES_WAIT = "grant"
"""Reason of a refusal: leases that an earlier instance voted for may not have expired yet."""

NO_CLAIMS = "claims"
"""Reason of a refusal: the replica has no room for another claim, or accepts none yet."""

DISK_REFUSED = "disk"
"""Reason of a refusal: the vote could not be synced to disk."""


class Request(Message, frozen=True, kw_only=True):
    """The common fields of `Prepare` and `Accept`."""

    id: str
    """Identifies the proposal at its proposer; the same for all its attempts."""

    key: str
    ballot: Ballot
    replica_id: str = msgspec.field(name="seat")
    """The replica that the request is addressed to."""

    incarnation: int
    """The newest incarnation of that replica that the proposer knows."""

    known_incarnations: dict[str, int] = msgspec.field(name="known")
    """The newest incarnation of each replica that the proposer knows."""


class Prepare(Request, frozen=True, kw_only=True, tag="prepare"):
    """Asks for a promise to accept nothing under a lower ballot (phase 1a)."""

    own_accepted: Ballot | None = msgspec.field(name="held", default=None)
    """The ballot that the proposer's own replica accepted last; its value needn't be returned."""


class Accept(Request, frozen=True, kw_only=True, tag="accept"):
    """Asks to accept a value under a promised ballot (phase 2a)."""

    value: Any


class Answer(Message, frozen=True, kw_only=True):
    """The common fields of `Promise` and `Accepted`."""

    id: str
    ballot: Ballot
    is_yes: bool
    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    known_incarnations: dict[str, int] = msgspec.field(name="known", default_factory=dict)
    reason: str | UnsetType = msgspec.field(name="why", default=UNSET)
    """The reason of a refusal; the replica's state if it doesn't vote."""

    highest: Ballot | UnsetType = UNSET
    """The promised ballot, if the proposal is preempted."""


class Promise(Answer, frozen=True, kw_only=True, tag="promise"):
    """Promises a ballot, or refuses it (phase 1b)."""

    accepted: Ballot | None | UnsetType = UNSET
    """The ballot that the acceptor accepted last; UNSET in a refusal."""

    value: Any | UnsetType = UNSET
    """The value that it accepted last; None if the proposer has it, UNSET in a refusal."""


class Accepted(Answer, frozen=True, kw_only=True, tag="accepted"):
    """Accepts a value, or refuses it (phase 2b)."""


class Chosen(Message, frozen=True, kw_only=True, tag="chosen"):
    """A majority accepted this ballot of a key: its value is chosen."""

    key: str
    ballot: Ballot
