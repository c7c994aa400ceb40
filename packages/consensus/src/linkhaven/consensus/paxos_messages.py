"""Messages of the two Paxos rounds, and the one place that spells them on the wire.

A proposer sends `Prepare`, then `Accept`, then `Chosen`; an acceptor answers the first two with
`Promise` and `Accepted` (Lamport, Paxos Made Simple, 2.2). A refusal is an answer of the same kind
whose `is_yes` is false, with its reason.

A field that only some answers have is UNSET in the others, and then not written.
"""

from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from linkhaven.runtime import Message

Ballot = list[Any]
"""Number and node name of a proposal; ballots compare element by element."""

PREEMPTED = "ballot"
"""The reason of a refusal: the acceptor promised a higher ballot, which `highest` names."""

OTHER_REPLICA = "seat"
"""The reason of a refusal: the message is meant for another replica than the one it reached."""

OLD_INCARNATION = "incarnation"
"""The reason of a refusal: the proposer knows an older instance of a replica than the acceptor."""

LEASES_WAIT = "grant"
"""The reason of a refusal: leases that an earlier instance voted for may still run."""

NO_CLAIMS = "claims"
"""The reason of a refusal: no further one-time claim can be kept, or none yet."""

DISK_REFUSED = "disk"
"""The reason of a refusal: the vote could not be synced."""


class Request(Message, frozen=True, kw_only=True):
    """What `Prepare` and `Accept` have in common."""

    id: str
    """Names the proposal at its proposer, through all its attempts."""

    key: str
    ballot: Ballot
    replica_id: str = msgspec.field(name="seat")
    """The replica that is asked."""

    incarnation: int
    """The incarnation of that replica that the proposer knows."""

    known_incarnations: dict[str, int] = msgspec.field(name="known")
    """The newest incarnation of each replica that the proposer knows."""


class Prepare(Request, frozen=True, kw_only=True, tag="prepare"):
    """Asks for a promise to accept nothing under a lower ballot (phase 1a)."""

    own_accepted: Ballot | None = msgspec.field(name="held", default=None)
    """The ballot that the proposer's own replica accepted last: its value needn't be sent."""


class Accept(Request, frozen=True, kw_only=True, tag="accept"):
    """Asks to accept a value under a promised ballot (phase 2a)."""

    value: Any


class Answer(Message, frozen=True, kw_only=True):
    """What `Promise` and `Accepted` have in common."""

    id: str
    ballot: Ballot
    is_yes: bool
    replica_id: str = msgspec.field(name="seat")
    incarnation: int
    known_incarnations: dict[str, int] = msgspec.field(name="known", default_factory=dict)
    reason: str | UnsetType = msgspec.field(name="why", default=UNSET)
    """Why it refuses; a replica that doesn't vote names its state."""

    highest: Ballot | UnsetType = UNSET
    """The ballot that it promised, where the proposal is preempted."""


class Promise(Answer, frozen=True, kw_only=True, tag="promise"):
    """Promises a ballot, or refuses to (phase 1b)."""

    accepted: Ballot | None | UnsetType = UNSET
    """The ballot that the acceptor accepted last; UNSET in a refusal."""

    value: Any | UnsetType = UNSET
    """The value that it accepted last; None where the proposer holds it, UNSET in a refusal."""


class Accepted(Answer, frozen=True, kw_only=True, tag="accepted"):
    """Accepted a value, or refuses to (phase 2b)."""


class Chosen(Message, frozen=True, kw_only=True, tag="chosen"):
    """A majority accepted this ballot of a key: its value is chosen."""

    key: str
    ballot: Ballot
