"""What members of the fleet tell each other about who exists and who is down."""

import msgspec

from linkhaven.runtime import PROTOCOL_VERSION, Message

UNTOLD_VERSION = 0
"""The version of a member that says none: it is from before versions stood in the hello."""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One member as another one tells of it; a list on the wire, newer fields at its end."""

    name: str
    incarnation: int
    """Which start of the process this is; higher ones replace lower ones."""

    address: str
    kind: str
    """`router` or `registry`."""

    zone: str
    replica_id: str
    """The seat of the core that it has, or an empty text."""

    replica_incarnation: int
    mark: int
    """The highest version of the plan that it holds."""

    is_up: bool


class Hello(Message, tag="hello", frozen=True):
    """A member that wants to be known, or to know if another one runs; `Members` answers it."""

    member: MemberRecord = msgspec.field(name="fellow")
    version: int = UNTOLD_VERSION
    """The sender's `PROTOCOL_VERSION`."""


class MemberList(Message, tag="members", frozen=True):
    """Members that the sender knows."""

    members: list[MemberRecord] = msgspec.field(name="fellows")
    is_asking: bool = False
    """Whether the sender wants to be told the same in return."""


class MemberListDigest(Message, tag="digest", frozen=True):
    """The sender and a hash of the members it knows; whose hash differs answers with `Members`."""

    member: MemberRecord = msgspec.field(name="fellow")
    digest: str


class Heartbeat(Message, tag="beat", frozen=True):
    """The heartbeat of a member, to those that watch it."""

    member: MemberRecord = msgspec.field(name="fellow")


class Suspicion(Message, tag="verdict", frozen=True):
    """A watcher's word on whether a member is down."""

    about: str
    incarnation: int
    is_down: bool


class Leave(Message, tag="bye", frozen=True):
    """The sender stops and wants to be watched no longer."""


class SuspicionQuery(Message, tag="doubt", frozen=True):
    """Asks a watcher for its verdict again: another holds up whom the sender holds down."""

    about: str
    incarnation: int


class Departures(Message, tag="left", frozen=True):
    """Members that the sender heard say `Bye`, told to one that still counts them in."""

    members: list[tuple[str, int]] = msgspec.field(name="fellows")
    """Name and incarnation of each."""


def make_hello(record):
    """The hello of a member with this record, in this version."""
    return Hello(record, PROTOCOL_VERSION)
