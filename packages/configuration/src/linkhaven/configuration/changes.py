"""The difference between two documents, which routers are sent instead of the whole document.

Changes are sent with the digest of their result, which the receiver checks: a document without the
expected digest is never taken, whatever fault caused the difference.
Test: `test_changes_with_a_wrong_result_are_dropped_and_the_whole_is_requested`.
"""

from typing import Any

import msgspec
from msgspec import field

from linkhaven.runtime import read_json, write_json

PARTS = ("groups", "kinds", "pools")
"""Fields of a document whose items are compared one by one; others are sent whole."""


class DocumentChanges(msgspec.Struct, frozen=True):
    """The changes that turn one document into another, with their wire names."""

    upserts: dict[str, dict]
    """By part: the items to set, by name."""

    removals: dict[str, list[str]]
    """By part: the names of items to remove."""

    replaced_fields: dict[str, Any] = field(name="rest")
    """Other fields of the document to set, by name."""

    dropped_fields: list[str] = field(name="gone")

    def write(self) -> str:
        """Return the text that `read_changes` reads."""
        return write_json(msgspec.to_builtins(self)).decode()


def read_changes(text: str) -> DocumentChanges:
    """Read what `write` returned; raises ValidationError or ServiceError for other input."""
    return msgspec.convert(read_json(text), DocumentChanges)


def diff_of(old: dict[str, Any], new: dict[str, Any]) -> DocumentChanges:
    """Return the changes that turn the document `old` into `new`."""
    upserts: dict[str, dict] = {}
    removals: dict[str, list[str]] = {}
    for part in PARTS:
        old_items, new_items = old.get(part), new.get(part)
        if old_items is None or new_items is None:
            continue
        changed = {name: item for name, item in new_items.items() if old_items.get(name) != item}
        dropped = [name for name in old_items if name not in new_items]
        if changed:
            upserts[part] = changed
        if dropped:
            removals[part] = dropped
    replaced_fields = {
        name: value
        for name, value in new.items()
        if (name not in PARTS or name not in old) and old.get(name) != value
    }
    dropped_fields = [name for name in old if name not in new]
    return DocumentChanges(upserts, removals, replaced_fields, dropped_fields)


def apply_changes(document: dict[str, Any], changes: DocumentChanges) -> dict[str, Any]:
    """Return the document with the changes applied; the argument isn't modified."""
    changed = {
        name: value for name, value in document.items() if name not in changes.dropped_fields
    }
    changed.update(changes.replaced_fields)
    for part in {*changes.upserts, *changes.removals}:
        removed = set(changes.removals.get(part, ()))
        remaining = {
            name: item for name, item in changed.get(part, {}).items() if name not in removed
        }
        changed[part] = {**remaining, **changes.upserts.get(part, {})}
    return changed
