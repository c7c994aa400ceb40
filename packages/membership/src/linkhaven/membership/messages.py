"""The messages of the membership protocol, and the one place that binds them to the wire.

A tag or a `name` given here is the spelling on the wire; the code uses the fields' own names.
"""

import msgspec

from linkhaven.runtime import PROTOCOL_VERSION, Message

UNKNOWN_VERSION = 0
"""The version of a member that says none: it is from before versions stood in the hello."""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One member as another one knows it; a list on the wire, newer fields at its end."""

    name: str
    incarnation: int
    """Which start of the process this is; higher ones replace lower ones."""

    address: str
    kind: str
    """`router` or `registry`."""

    zone: str
    replica_id: str
    """The replica of the core that it is, or an empty text."""

    replica_incarnation: int
    configuration_version: int
    """The highest version of the configuration that it holds."""

    is_up: bool


class DepartedMember(msgspec.Struct, frozen=True, array_like=True):
    """A member that left; a list on the wire."""

    name: str
    incarnation: int


class Hello(Message, tag="hello", frozen=True):
    """A member joins, or asks whether another one runs; `MemberList` answers it."""

    member: MemberRecord = msgspec.field(name="fellow")
    protocol_version: int = msgspec.field(default=UNKNOWN_VERSION, name="version")


class MemberList(Message, tag="members", frozen=True):
    """Members that the sender knows."""

    members: list[MemberRecord] = msgspec.field(name="fellows")
    wants_reply: bool = msgspec.field(default=False, name="is_asking")
    """Whether the sender wants the receiver's list in return."""


class MemberListDigest(Message, tag="digest", frozen=True):
    """The sender and a hash of the members it knows; whose hash differs answers `MemberList`."""

    member: MemberRecord = msgspec.field(name="fellow")
    digest: str


class Heartbeat(Message, tag="beat", frozen=True):
    """A member runs; sent to those that watch it."""

    member: MemberRecord = msgspec.field(name="fellow")


class Suspicion(Message, tag="verdict", frozen=True):
    """A watcher suspects a member, or no longer does."""

    member_name: str = msgspec.field(name="about")
    incarnation: int
    is_suspected: bool = msgspec.field(name="is_down")


class SuspicionQuery(Message, tag="doubt", frozen=True):
    """Asks a watcher for its suspicion again: another holds up whom the sender holds failed."""

    member_name: str = msgspec.field(name="about")
    incarnation: int


class Leave(Message, tag="bye", frozen=True):
    """The sender stops on purpose."""


class Departures(Message, tag="left", frozen=True):
    """Members that the sender heard leave, sent to one that still lists them."""

    members: list[DepartedMember] = msgspec.field(name="fellows")


def make_hello(record: MemberRecord) -> Hello:
    """Return the hello of a member with this record, in this version."""
    return Hello(record, PROTOCOL_VERSION)
