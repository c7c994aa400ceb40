"""The record that the consensus register keeps for the configuration, and its names on the wire.

A record stays the map as which it was decoded, and is never altered: fields of a newer version of
this program survive in it, and members of both versions read it. Only this module and `history`
spell its names.

| name in the record | here |
| --- | --- |
| `mark` | `version`: counts the changes, 1 for the first |
| `put_id` | `update_id`: what the sender, or the store for it, calls the newest change |
| `revision` | the sender's own number of the source text in force, 0 where there is none |
| `bodies` | the digests of the blobs: of the document and, where there is one, the source text |
| `overlay` | what our own commands changed beside a source text (`overlay.py`) |
| `taken` | the newest committed updates (`history.py`) |
| `plan`, `document` | the document and the source text themselves: in an expanded record |

A record that was written before blobs stood apart has no `bodies`, and its parts in it.

The *document* is the configuration in our own form. The *source text* is what a foreign operator
sent, byte for byte, from which the document was made.
"""

from collections.abc import Mapping
from typing import Any, TypedDict

Record = Mapping[str, Any]
"""A record as it was decoded; see the table above."""

REGISTER_KEY = "plan"
"""The key of the register under which the record stands."""

DOCUMENT_BLOB, SOURCE_BLOB = "plan", "document"
"""The names of a record's blobs."""

SHOWN_FIELDS = ("mark", "put_id", "plan", "document", "revision", "overlay")
"""What `GET /v1/plan` shows of an expanded record; its history and digests stay inside."""

SOURCE_TEXT, TENANTS = "document", "tenants"
"""What an operator's text is called in a record, and the tenants in a document."""

NOTHING_SHOWN: dict[str, Any] = {"mark": 0, "put_id": None, "plan": None}
"""What `GET /v1/plan` shows before the first update."""

PUBLISHED_FIELDS = ("mark", "put_id", "revision", "overlay")
"""What a watcher keeps of a record, beside the digest of its document."""


class Overlay(TypedDict):
    """What our own commands changed beside a source text, as the record keeps it (`overlay.py`)."""

    groups: dict[str, dict]
    """Groups as in a document: they replace the document's of the same name, or are added."""

    kinds: dict[str, str]
    """The groups to which kinds of the document are attached, by the kinds' names."""


NO_OVERLAY: Overlay = {"groups": {}, "kinds": {}}


def overlay_of(record: Record | None) -> Overlay:
    """Return the overlay of a record; an empty one where it has none."""
    return (record or {}).get("overlay") or NO_OVERLAY


def version_of(record: Record | None) -> int:
    """Return the version of a record, 0 before the first."""
    return record["mark"] if record else 0


def update_id_of(record: Record) -> str:
    """Return what the newest change is called."""
    return record["put_id"]


def revision_of(record: Record | None) -> int:
    """Return the sender's number of the source text in force, 0 where there is none."""
    return (record or {}).get("revision") or 0


def has_blobs(record: Record) -> bool:
    """Whether the record names its parts by digest; one of an earlier version holds them itself."""
    return "bodies" in record


def digests_of(record: Record | None) -> list[str]:
    """Return the digests of all blobs that a record names; none for one that holds its parts."""
    return list(((record or {}).get("bodies") or {}).values())


def document_digest_of(record: Record) -> str:
    """Return the digest of the record's document; raises KeyError where it names no blobs."""
    return record["bodies"][DOCUMENT_BLOB]


def source_digest_of(record: Record) -> str | None:
    """Return the digest of the record's source text, None where it has none."""
    return record["bodies"].get(SOURCE_BLOB)


def document_of(record: Record) -> dict:
    """Return the document of an expanded record, or of one that holds its parts."""
    return record["plan"]


def source_text_of(record: Record) -> str | None:
    """Return the source text of an expanded record, or of one that holds its parts."""
    return record.get("document")


def with_document(record: Record, document: dict) -> dict[str, Any]:
    """Return the record with its document in it, as snapshots take it."""
    return {**record, "plan": document}


def without_document(record: Record) -> dict[str, Any]:
    """Return the record without the document in it, as the register takes it."""
    return {name: record[name] for name in record if name != "plan"}


def expanded_record(record: Record, document: dict, source_text: str | None) -> dict[str, Any]:
    """Return the record with both parts in it."""
    return {**record, "plan": document, "document": source_text}


def new_record(
    version: int,
    update_id: str,
    digests: dict[str, str],
    revision: int,
    overlay: Overlay,
    history: list[list],
) -> dict[str, Any]:
    """Return the record of a change, as the register keeps it."""
    return {
        "mark": version,
        "put_id": update_id,
        "bodies": digests,
        "revision": revision,
        "overlay": overlay,
        "taken": history,
    }


def published_record(record: Record, document_digest: str) -> dict[str, Any]:
    """Return what watchers are sent of a record; its document comes beside it as a blob."""
    return {
        "mark": record["mark"],
        "put_id": record["put_id"],
        "revision": revision_of(record),
        "overlay": overlay_of(record),
        "bodies": {DOCUMENT_BLOB: document_digest},
    }


def published_record_of_earlier(record: Record, document_digest: str) -> dict[str, Any]:
    """Return a record that a member of an earlier version sent whole, as it is published now."""
    published = {name: record[name] for name in PUBLISHED_FIELDS if name in record}
    return {**published, "bodies": {DOCUMENT_BLOB: document_digest}}


def shown_record(record: Record, effective_document: dict) -> dict[str, Any]:
    """Return what operators are shown of an expanded record, with the overlay applied.

    A source text with tenants has their API keys in it, and is shown to its sender only.
    """
    shown = {name: record[name] for name in SHOWN_FIELDS if name in record}
    if effective_document.get(TENANTS) is not None:
        shown.pop(SOURCE_TEXT, None)
    shown["plan"] = effective_document
    return shown
