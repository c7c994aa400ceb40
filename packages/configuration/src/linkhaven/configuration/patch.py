"""Patches that add, replace and remove named items of a document.

A patch names the parts of a document that it changes. Each part contains items with unique names,
either as a list of items with a `name` field or as a mapping from names to items. Items that the
patch doesn't name keep their content and order; a replaced item keeps its position, and a new item
is added at the end. The document passed in is never modified.

Each function that reads or applies a patch raises ServiceError `plan_invalid` with the place of
each fault, and then changes nothing. Tests: tests/test_patch.py.
"""

from collections.abc import Collection, Sequence
from typing import Any

import msgspec

from .document_faults import FaultCollector

NAME = "name"
UPSERTS, REMOVALS = "upserts", "removals"


class Patch(msgspec.Struct, frozen=True):
    """By part: the items to add or to replace, by name, and the names to remove."""

    upserts: dict[str, dict[str, dict]]
    removals: dict[str, list[str]]

    def changed_parts(self) -> list[str]:
        """Return the names of all parts that are changed."""
        return sorted({*self.upserts, *self.removals})


# Reading a patch


def read_list_patch(document: dict[str, Any]) -> Patch:
    """Read a patch whose upserts are lists of items with a `name` field."""
    faults = FaultCollector()
    upserts = {
        part: _read_items(part, items, faults)
        for part, items in _read_parts(document, UPSERTS, faults).items()
    }
    removals = _read_removals(document, faults)
    faults.raise_if_any()
    return Patch(upserts, removals)


def read_mapping_patch(document: dict[str, Any]) -> Patch:
    """Read a patch whose upserts are mappings from names to items."""
    faults = FaultCollector()
    upserts = _read_parts(document, UPSERTS, faults)
    for part, items in upserts.items():
        if not isinstance(items, dict):
            faults.add(f"{UPSERTS}/{part}", "is not a mapping of names to items")
    removals = _read_removals(document, faults)
    faults.raise_if_any()
    return Patch(upserts, removals)


def _read_parts(document: dict[str, Any], field: str, faults: FaultCollector) -> dict[str, Any]:
    parts = document.get(field)
    if parts is None:
        return {}
    if not isinstance(parts, dict):
        faults.add(field, "is not a mapping of parts")
        return {}
    return parts


def _read_items(part: str, items: Any, faults: FaultCollector) -> dict[str, dict]:
    if not isinstance(items, list):
        faults.add(f"{UPSERTS}/{part}", "is not a list of items")
        return {}
    named: dict[str, dict] = {}
    for index, item in enumerate(items):
        name = item.get(NAME) if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            faults.add(f"{UPSERTS}/{part}/{index}", "lacks a name")
        elif name in named:
            faults.add(f"{UPSERTS}/{part}/{name}", "stands twice")
        else:
            named[name] = item
    return named


def _read_removals(document: dict[str, Any], faults: FaultCollector) -> dict[str, list[str]]:
    return {
        part: _read_names(part, names, faults)
        for part, names in _read_parts(document, REMOVALS, faults).items()
    }


def _read_names(part: str, names: Any, faults: FaultCollector) -> list[str]:
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        faults.add(f"{REMOVALS}/{part}", "is not a list of names")
        return []
    for name in {name for name in names if names.count(name) > 1}:
        faults.add(f"{REMOVALS}/{part}/{name}", "stands twice")
    return names


# Applying a patch


def apply_to_lists(
    document: dict[str, Any], patch: Patch, known_parts: Collection[str]
) -> dict[str, Any]:
    """Return the document with the patch applied to its lists of named items.

    `known_parts` may be patched even if the document lacks them.
    """
    faults = FaultCollector()
    patched = dict(document)
    for part in patch.changed_parts():
        items: Any = document.get(part, [] if part in known_parts else None)
        if not _is_list_of_named(items):
            faults.add(part, "is no list of named items")
            continue
        _check_names(patch, part, {item[NAME] for item in items}, faults)
        patched[part] = _patched_list(items, patch, part)
    faults.raise_if_any()
    return patched


def apply_to_mappings(
    document: dict[str, Any], patch: Patch, known_parts: Sequence[str]
) -> dict[str, Any]:
    """Return the document with the patch applied to its mappings from names to items.

    Only `known_parts` may be patched.
    """
    faults = FaultCollector()
    patched = dict(document)
    for part in patch.changed_parts():
        if part not in known_parts:
            faults.add(part, f"is none of {', '.join(known_parts)}")
            continue
        items = document.get(part, {})
        _check_names(patch, part, items, faults)
        removed = patch.removals.get(part, ())
        remaining = {name: item for name, item in items.items() if name not in removed}
        patched[part] = {**remaining, **patch.upserts.get(part, {})}
    faults.raise_if_any()
    return patched


def _check_names(
    patch: Patch, part: str, existing: Collection[str], faults: FaultCollector
) -> None:
    """Add faults for items both upserted and removed, and for removals of missing items."""
    upserts = patch.upserts.get(part, {})
    for name in patch.removals.get(part, ()):
        if name in upserts:
            faults.add(f"{REMOVALS}/{part}/{name}", "is in the upserts, too")
        elif name not in existing:
            faults.add(f"{REMOVALS}/{part}/{name}", "isn't there")


def _is_list_of_named(items: Any) -> bool:
    return isinstance(items, list) and all(
        isinstance(item, dict) and NAME in item for item in items
    )


def _patched_list(items: list[dict], patch: Patch, part: str) -> list[dict]:
    upserts = patch.upserts.get(part, {})
    removed = set(patch.removals.get(part, ()))
    remaining = [item for item in items if item[NAME] not in removed]
    replaced = [upserts.get(item[NAME], item) for item in remaining]
    remaining_names = {item[NAME] for item in remaining}
    added = [item for name, item in upserts.items() if name not in remaining_names]
    return replaced + added
