"""The messages of this package, with the wire name of each field.

A watch request and its response contain optional sections of other packages (demand, shares, runner
list and so on). Sections aren't typed here: each is an entry of the message map, under the name
that its package defines, and is passed on unchanged.
"""

from collections.abc import Mapping
from typing import Any

from msgspec import UNSET, Struct, UnsetType, field

from linkhaven.runtime import Message

from .records import Record

WATCH_REQUEST, WATCH_RESPONSE = "ask", "news"
"""The message kinds of a watch on the wire."""

Sections = dict[str, Any]
"""A watch message as sent, including the sections of other packages."""


class BlobDelivery(Message, tag="bodies", frozen=True):
    """Packed blobs by digest, sent ahead of an accept that names them or in response."""

    blobs: dict[str, str] = field(name="bodies")


class BlobRequest(Message, tag="want_bodies", frozen=True):
    """Requests the blobs with these digests; the response contains those that the node has."""

    digests: list[str]


class WatchRequest(Struct, frozen=True, kw_only=True):
    """A router's poll of one replica, answered when there is a newer version or its hold ends.

    `heard_version`, `wants_document`, `held_digest` and `hold_us` are missing in requests of
    routers of an earlier version: they are sent each document whole and held for the usual time.
    """

    reply_to: str = field(name="back")
    id: str
    version: int = field(name="mark")
    """The version in force at the router."""

    heard_version: int | UnsetType = field(default=UNSET, name="heard")
    """The highest version that the router knows of."""

    wants_document: bool | UnsetType = field(default=UNSET, name="wants_plan")
    """Whether this replica is to send the document."""

    known: dict[str, int]
    """The newest incarnation of each replica that the router knows."""

    held_digest: str | UnsetType = field(default=UNSET, name="holds")
    """The digest of the router's document, which may be the base of changes."""

    hold_us: int | UnsetType = UNSET
    """How long the replica may hold the poll, if not for the usual time."""


class WatchResponse(Struct, frozen=True, kw_only=True):
    """A replica's response to a poll.

    A newer document is sent in one of three ways: as changes to the router's document, as a packed
    blob, or, by a replica of an earlier version, inside the record. A replica that isn't the
    router's source sends only its digest.
    """

    id: str
    replica_id: str = field(name="seat")
    incarnation: int
    is_current: bool
    """Whether the replica knows that no newer version is in force."""

    version: int = field(name="mark")
    known: dict[str, int]
    digest: str | UnsetType = UNSET
    record: dict[str, Any] | UnsetType = field(default=UNSET, name="plan")
    packed: str | UnsetType = field(default=UNSET, name="body")
    base_digest: str | UnsetType = field(default=UNSET, name="base")
    packed_changes: str | UnsetType = field(default=UNSET, name="changes")


def read_watch_request(message: Mapping[str, Any]) -> WatchRequest:
    """Return the request in a message map; raises KeyError if a required field is missing."""
    return WatchRequest(
        reply_to=message["back"],
        id=message["id"],
        version=message["mark"],
        heard_version=message.get("heard", UNSET),
        wants_document=message.get("wants_plan", UNSET),
        known=message["known"],
        held_digest=message.get("holds", UNSET),
        hold_us=message.get("hold_us", UNSET),
    )


def read_watch_response(message: Mapping[str, Any]) -> WatchResponse:
    """Return the response in a message map; raises KeyError if a required field is missing."""
    return WatchResponse(
        id=message["id"],
        replica_id=message["seat"],
        incarnation=message["incarnation"],
        is_current=message["is_current"],
        version=message["mark"],
        known=message["known"],
        digest=message.get("digest", UNSET),
        record=message.get("plan", UNSET),
        packed=message.get("body", UNSET),
        base_digest=message.get("base", UNSET),
        packed_changes=message.get("changes", UNSET),
    )


def begin_watch_request(
    request_id: str,
    version: int,
    heard_version: int,
    wants_document: bool,
    known: dict[str, int],
    held_digest: str | None,
    hold_us: int | None,
) -> Sections:
    """Return a request without sections; fields that are None are left out."""
    fields: Sections = {
        "id": request_id,
        "mark": version,
        "heard": heard_version,
        "wants_plan": wants_document,
        "known": known,
    }
    if held_digest is not None:
        fields["holds"] = held_digest
    if hold_us is not None:
        fields["hold_us"] = hold_us
    return fields


def begin_watch_response(
    request_id: str,
    replica_id: str,
    incarnation: int,
    is_current: bool,
    version: int,
    known: dict[str, int],
) -> Sections:
    """Return a response without document and sections."""
    return {
        "id": request_id,
        "seat": replica_id,
        "incarnation": incarnation,
        "is_current": is_current,
        "mark": version,
        "known": known,
    }


def add_digest(response: Sections, digest: str) -> None:
    """Add the digest of the document in force."""
    response["digest"] = digest


def add_blob(response: Sections, record: Record, packed: str) -> None:
    """Add a published record and its packed document."""
    response["body"] = packed
    response["plan"] = record


def add_changes(response: Sections, record: Record, base_digest: str, changes: str) -> None:
    """Add a published record and the packed changes from the base to its document."""
    response["base"], response["changes"] = base_digest, changes
    response["plan"] = record


def add_whole_record(response: Sections, record: Record) -> None:
    """Add a record with its document included, for a router of an earlier version."""
    response["plan"] = record
