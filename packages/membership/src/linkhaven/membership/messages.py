"""The messages of the membership protocol, and the only place that has their wire names.

A `tag` or a field's `name` is the spelling on the wire; the code uses the attributes' names.
"""

import msgspec

from linkhaven.runtime import PROTOCOL_VERSION, Message

UNKNOWN_VERSION = 0
"""The version of a member whose hello has none: it was built before the hello had that field."""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member as another one knows it; an array on the wire, so new fields go at the end."""

    name: str
    incarnation: int
    """The start of the process that this record describes; higher ones replace lower ones."""

    address: str
    kind: str
    """`router` or `registry`."""

    zone: str
    replica_id: str
    """The replica of the core that it is, or an empty string."""

    replica_incarnation: int
    configuration_version: int
    """The highest version of the configuration that it has."""

    is_up: bool


class DepartedMember(msgspec.Struct, frozen=True, array_like=True):
    """A member that left; an array on the wire."""

    name: str
    incarnation: int


class Hello(Message, tag="hello", frozen=True):
    """Announces a joining member, or probes another one; answered with `MemberList`."""

    member: MemberRecord = msgspec.field(name="fellow")
    protocol_version: int = msgspec.field(default=UNKNOWN_VERSION, name="version")


class MemberList(Message, tag="members", frozen=True):
    """The members that the sender knows, or some of them."""

    members: list[MemberRecord] = msgspec.field(name="fellows")
    wants_reply: bool = msgspec.field(default=False, name="is_asking")
    """Whether the sender wants the receiver's list in return."""


class MemberListDigest(Message, tag="digest", frozen=True):
    """The sender and the digest of its list; a receiver whose digest differs sends `MemberList`."""

    member: MemberRecord = msgspec.field(name="fellow")
    digest: str


class Heartbeat(Message, tag="beat", frozen=True):
    """Shows the sender's watchers that it is running."""

    member: MemberRecord = msgspec.field(name="fellow")


class Suspicion(Message, tag="verdict", frozen=True):
    """A watcher suspects a member, or withdraws its suspicion."""

    member_name: str = msgspec.field(name="about")
    incarnation: int
    is_suspected: bool = msgspec.field(name="is_down")


class SuspicionQuery(Message, tag="doubt", frozen=True):
    """Asks a watcher to repeat its vote: another node lists as up a member that failed here."""

    member_name: str = msgspec.field(name="about")
    incarnation: int


class Leave(Message, tag="bye", frozen=True):
    """Announces that the sender stops."""


class Departures(Message, tag="left", frozen=True):
    """Members that left, as far as the sender knows, for a receiver that still lists them."""

    members: list[DepartedMember] = msgspec.field(name="fellows")


def make_hello(record: MemberRecord) -> Hello:
    """Return the hello of the member with this record, with this build's protocol version."""
    return Hello(record, PROTOCOL_VERSION)
