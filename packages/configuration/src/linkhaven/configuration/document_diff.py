"""What an operator's document would change in the one in force, for people to read."""

from collections.abc import Iterator
from typing import Any, TypedDict


class DocumentDifference(TypedDict):
    """One field that differs, as `plan diff` shows it; None where it isn't there."""

    place: str
    held: Any
    wanted: Any


def diff_documents(held: dict, wanted: dict, prefix: str = "") -> Iterator[DocumentDifference]:
    """Give each place where two documents differ, with both values, in the order of names."""
    for name in sorted({*held, *wanted}):
        place = f"{prefix}{name}"
        old, new = held.get(name), wanted.get(name)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            yield from diff_documents(old, new, f"{place}/")
        else:
            yield {"place": place, "held": old, "wanted": new}
