"""Messages between the replicas of the core, and between these and the routers.

The names on the wire are bound to the code's names here, and nowhere else.
"""

from typing import Any

from msgspec import Struct, field

from linkhaven.runtime import Message


class QuorumContactRequest(Message, tag="contact_ask", frozen=True):
    """A voting replica asks another one whether it can be reached, and votes too."""

    sent_us: int
    """When it was asked, by the asker's own clock."""


class QuorumContactResponse(Message, tag="contact", frozen=True):
    """A replica that votes answers `QuorumContactRequest`."""

    replica: str = field(name="seat")
    incarnation: int
    sent_us: int
    """As in the request."""

    version: int = field(name="mark")
    """The newest version of the configuration that it knows chosen."""


class ConfigurationRequest(Message, tag="want_image", frozen=True):
    """A replica that holds an older configuration than a router asks it for its own."""


class ConfigurationResponse(Message, tag="image", frozen=True):
    """The configuration that a router holds, in answer to `ConfigurationRequest`."""

    record: dict[str, Any] = field(name="value")
    """The register's value that the router was given, kept whole, whatever version wrote it."""

    blob: str = field(name="body")
    """The packed document, whose digest the record has."""

    def __post_init__(self) -> None:
        """Refuse a record without a version at the edge."""
        if type(self.record.get("mark")) is not int:
            raise ValueError("the plan's mark is no whole number")

    @property
    def version(self) -> int:
        """The configuration's version, which only rises."""
        return self.record["mark"]


class ClaimsRequest(Message, tag="want_keys", frozen=True):
    """A replica that began empty asks a router for a page of the one-time claims that it won."""

    start: str
    """Names this start of the replica; answers to an earlier one are passed over."""

    offset: int = field(name="place")
    """How many claims of the router the replica has already."""


class ClaimsResponse(Message, tag="keys", frozen=True):
    """A page of one-time claims, in answer to `ClaimsRequest`."""

    start: str
    offset: int = field(name="place")
    claims: list[tuple[str, str]] = field(name="keys")
    """The register's key of each claim with the request that won it."""

    is_last: bool
    routers: list[tuple[str, str]] = []
    """Name and address of each router that this one holds for failed; it may only be cut off. A
    router of an earlier version doesn't say."""


class MemberStatus(Struct, frozen=True):
    """How a member of the core stands, by its own word."""

    replica: str | None = field(name="seat")
    state: str = field(name="standing")
    incarnation: int
    address: str
    learning: dict[str, Any] | None
    """Whom it still reads, and how many records are left there; None where it reads nobody."""

    leaving: str | None
    """How far its hand-over is; None while it doesn't shut down."""


class MemberStatusRequest(Message, tag="core_ask", frozen=True):
    """A member that was asked for the status of the core asks another one for its part."""

    id: int


class MemberStatusResponse(Message, tag="core_told", frozen=True):
    """Answers `MemberStatusRequest`."""

    id: int
    member: MemberStatus
