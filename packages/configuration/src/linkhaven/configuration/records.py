"""The record that the consensus register holds for the configuration, and its stored field names.

A record is kept as the mapping it was decoded to and is never modified: fields written by a newer
version of this program are preserved, and nodes of both versions can read it. Only this module and
`history` use the stored field names.

| stored name | name in the code, and meaning |
| --- | --- |
| `mark` | `version`: the number of changes, 1 for the first |
| `put_id` | `update_id`: id of the newest change, given by its sender or by the store |
| `revision` | the sender's revision number of the source text in force, 0 without one |
| `bodies` | the digests of the blobs: the document and, if there is one, the source text |
| `overlay` | changes by native commands on top of a source text (`overlay.py`) |
| `taken` | `history`: the newest committed updates (`history.py`) |
| `plan`, `document` | the document and the source text themselves, in an expanded record |

Records written before blobs were stored separately have no `bodies` and contain the document and
the source text themselves.

The *document* is the configuration in the native format. The *source text* is what an operator sent
over the platform interface, byte for byte; the document was derived from it. An *expanded record*
contains both.
"""

from collections.abc import Mapping
from typing import Any, TypedDict

Record = Mapping[str, Any]
"""A record as it was decoded; the table above lists its fields."""

REGISTER_KEY = "plan"
"""The register key under which the record is stored."""

DOCUMENT_BLOB, SOURCE_BLOB = "plan", "document"
"""The names of a record's blobs in `bodies`."""

SHOWN_FIELDS = ("mark", "put_id", "plan", "document", "revision", "overlay")
"""Fields of an expanded record that `GET /v1/plan` returns; history and digests aren't shown."""

SOURCE_TEXT, TENANTS = "document", "tenants"
"""The field name of the source text in a record, and of the tenants in a document."""

EMPTY_SHOWN_RECORD: dict[str, Any] = {"mark": 0, "put_id": None, "plan": None}
"""What `GET /v1/plan` returns before the first update."""

PUBLISHED_FIELDS = ("mark", "put_id", "revision", "overlay")
"""Fields of a record that a watcher keeps, besides the digest of its document."""


class Overlay(TypedDict):
    """Changes by native commands on top of a source text, as stored (`overlay.py`)."""

    groups: dict[str, dict]
    """Groups in document form; each replaces the document's group of that name or is added."""

    kinds: dict[str, str]
    """For kinds of the document, by name: the group to which the kind is attached instead."""


NO_OVERLAY: Overlay = {"groups": {}, "kinds": {}}


def overlay_of(record: Record | None) -> Overlay:
    """Return the overlay of a record, an empty one if it has none."""
    return (record or {}).get("overlay") or NO_OVERLAY


def version_of(record: Record | None) -> int:
    """Return the version of a record, 0 if there is no record."""
    return record["mark"] if record else 0


def update_id_of(record: Record) -> str:
    """Return the id of the newest change."""
    return record["put_id"]


def revision_of(record: Record | None) -> int:
    """Return the sender's revision number of the source text in force, 0 without one."""
    return (record or {}).get("revision") or 0


def has_blobs(record: Record) -> bool:
    """Whether the record names its blobs by digest; one of an earlier version contains them."""
    return "bodies" in record


def digests_of(record: Record | None) -> list[str]:
    """Return the digests of all blobs that a record names; empty if it contains its parts."""
    return list(((record or {}).get("bodies") or {}).values())


def document_digest_of(record: Record) -> str:
    """Return the digest of the record's document; raises KeyError if it names no blobs."""
    return record["bodies"][DOCUMENT_BLOB]


def source_digest_of(record: Record) -> str | None:
    """Return the digest of the record's source text, None if it has none."""
    return record["bodies"].get(SOURCE_BLOB)


def document_of(record: Record) -> dict:
    """Return the document of an expanded record, or of one that contains its parts."""
    return record["plan"]


def source_text_of(record: Record) -> str | None:
    """Return the source text of an expanded record, or of one that contains its parts."""
    return record.get("document")


def with_document(record: Record, document: dict) -> dict[str, Any]:
    """Return the record with its document included, as snapshots store it."""
    return {**record, "plan": document}


def without_document(record: Record) -> dict[str, Any]:
    """Return the record without its document, as the register stores it."""
    return {name: record[name] for name in record if name != "plan"}


def expanded_record(record: Record, document: dict, source_text: str | None) -> dict[str, Any]:
    """Return the record with its document and source text included."""
    return {**record, "plan": document, "document": source_text}


def new_record(
    version: int,
    update_id: str,
    digests: dict[str, str],
    revision: int,
    overlay: Overlay,
    history: list[list],
) -> dict[str, Any]:
    """Return the record of a change, as the register stores it."""
    return {
        "mark": version,
        "put_id": update_id,
        "bodies": digests,
        "revision": revision,
        "overlay": overlay,
        "taken": history,
    }


def published_record(record: Record, document_digest: str) -> dict[str, Any]:
    """Return the part of a record that watchers are sent; the document is sent as a blob."""
    return {
        "mark": record["mark"],
        "put_id": record["put_id"],
        "revision": revision_of(record),
        "overlay": overlay_of(record),
        "bodies": {DOCUMENT_BLOB: document_digest},
    }


def published_record_of_earlier(record: Record, document_digest: str) -> dict[str, Any]:
    """Return the published form of a record that a node of an earlier version sent whole."""
    published = {name: record[name] for name in PUBLISHED_FIELDS if name in record}
    return {**published, "bodies": {DOCUMENT_BLOB: document_digest}}


def shown_record(record: Record, effective_document: dict) -> dict[str, Any]:
    """Return the form of an expanded record that operators see, with the overlay applied.

    A source text with tenants contains their API keys and is shown to its sender only.
    """
    shown = {name: record[name] for name in SHOWN_FIELDS if name in record}
    if effective_document.get(TENANTS) is not None:
        shown.pop(SOURCE_TEXT, None)
    shown["plan"] = effective_document
    return shown
