"""What an operator's document would change in the one in force, in human-readable form."""

from collections.abc import Iterator
from typing import Any, TypedDict


class DocumentDifference(TypedDict):
    """One differing field, as `plan diff` shows it; a value is None if the field is absent."""

    place: str
    held: Any
    wanted: Any


def diff_documents(held: dict, wanted: dict, prefix: str = "") -> Iterator[DocumentDifference]:
    """Yield each place where two documents differ, with both values, sorted by name."""
    for name in sorted({*held, *wanted}):
        place = f"{prefix}{name}"
        old, new = held.get(name), wanted.get(name)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            yield from diff_documents(old, new, f"{place}/")
        else:
            yield {"place": place, "held": old, "wanted": new}
