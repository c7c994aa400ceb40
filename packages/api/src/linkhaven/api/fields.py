"""Trafaret checks of single fields, for settings, configurations and what-if questions."""

from typing import Any

import trafaret as t

NAME = t.Regexp(r"^[a-z0-9][a-z0-9-]{0,63}\Z")
"""The format of names of nodes, groups, kinds and other configured items."""


def integer(gte: int | None = None, lte: int | None = None) -> t.Call:
    """Return a check for an integer from `gte` to `lte`; it refuses True and False."""

    def check(value: Any) -> Any:
        if type(value) is not int:
            return t.DataError("is not a whole number")
        if gte is not None and value < gte:
            return t.DataError(f"is below {gte}")
        if lte is not None and value > lte:
            return t.DataError(f"is above {lte}")
        return value

    return t.Call(check)


def number(gt: float | None = None, gte: float | None = None, lte: float | None = None) -> t.Call:
    """Return a check for a number above `gt`, or from `gte`, up to `lte`; it refuses NaN.

    At most one of the lower bounds `gt` and `gte` may be given.
    """

    def check(value: Any) -> Any:
        if type(value) not in (int, float) or value != value:
            return t.DataError("is not a number")
        if gt is not None and value <= gt:
            return t.DataError(f"is not above {gt}")
        if gte is not None and value < gte:
            return t.DataError(f"is not at least {gte}")
        if lte is not None and value > lte:
            return t.DataError(f"is above {lte}")
        return value

    return t.Call(check)


def flatten_faults(fault: Any, place: str = ".") -> list[dict[str, str]]:
    """Return the faults of a checked document as a flat list, each with its `place` (a path)."""
    if isinstance(fault, t.DataError):
        fault = fault.as_dict()
    if not isinstance(fault, dict):
        return [{"place": place, "fault": str(fault)}]
    if set(fault) <= {"key", "value"}:
        return [found for inner in fault.values() for found in flatten_faults(inner, place)]
    places = []
    for key, inner in fault.items():
        places += flatten_faults(inner, str(key) if place == "." else f"{place}/{key}")
    return places
