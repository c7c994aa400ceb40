"""Messages between the replicas of the core, and between replicas and routers.

The names in the wire format are mapped to the code's names here and nowhere else.
"""

from typing import Any

from msgspec import Struct, field

from linkhaven.runtime import Message


class QuorumContactRequest(Message, tag="contact_ask", frozen=True):
    """A voting replica asks another one whether it is reachable and votes too."""

    sent_us: int
    """The time of sending in microseconds, by the sender's own clock."""


class QuorumContactResponse(Message, tag="contact", frozen=True):
    """The answer of a voting replica to `QuorumContactRequest`."""

    replica: str = field(name="seat")
    incarnation: int
    sent_us: int
    """Copied from the request."""

    version: int = field(name="mark")
    """The newest version of the configuration that it knows to be chosen."""


class ConfigurationRequest(Message, tag="want_image", frozen=True):
    """A replica with an older configuration than a router requests the router's one."""


class ConfigurationResponse(Message, tag="image", frozen=True):
    """The configuration that a router holds, in answer to `ConfigurationRequest`."""

    record: dict[str, Any] = field(name="value")
    """The register's value as the router received it, unchanged, whichever release wrote it."""

    blob: str = field(name="body")
    """The packed document; the record contains its digest."""

    def __post_init__(self) -> None:
        """Reject a record without a version when the message is decoded."""
        if type(self.record.get("mark")) is not int:
            raise ValueError("the configuration record has no integer 'mark'")

    @property
    def version(self) -> int:
        """The configuration's version, which only increases."""
        return self.record["mark"]


class ClaimsRequest(Message, tag="want_keys", frozen=True):
    """A replica that started empty requests a page of the one-time claims that a router won."""

    start: str
    """Identifies this start of the replica; answers to an earlier start are ignored."""

    offset: int = field(name="place")
    """How many claims of the router the replica already has."""


class ClaimsResponse(Message, tag="keys", frozen=True):
    """A page of one-time claims, in answer to `ClaimsRequest`."""

    start: str
    offset: int = field(name="place")
    claims: list[tuple[str, str]] = field(name="keys")
    """The register key of each claim, and the request that won it."""

    is_last: bool
    routers: list[tuple[str, str]] = []
    """Name and address of each router that this one considers failed; it may only be partitioned.
    A router of an earlier version doesn't send this."""


class MemberStatus(Struct, frozen=True):
    """The status of a core member, as reported by itself."""

    replica: str | None = field(name="seat")
    state: str = field(name="standing")
    incarnation: int
    address: str
    learning: dict[str, Any] | None
    """How many records are left to read from which replicas; None if it reads from none."""

    leaving: str | None
    """The state of its hand-over; None unless it is shutting down."""


class MemberStatusRequest(Message, tag="core_ask", frozen=True):
    """A member that serves the status of the core requests the status of another member."""

    id: int


class MemberStatusResponse(Message, tag="core_told", frozen=True):
    """The answer to `MemberStatusRequest`."""

    id: int
    member: MemberStatus
