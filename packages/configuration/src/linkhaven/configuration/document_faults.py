"""Faults of a document, each with the path of its field, and the error that reports them.

The error is `plan_invalid`; its remedy (`linkhaven.api.errors`) is to correct each listed place.
"""

from typing import TypedDict

from linkhaven.api import ServiceError


class DocumentFault(TypedDict):
    """One fault, as an entry of the error's `places`."""

    place: str
    """The path to the field, its names separated by `/`; `.` for the whole document."""

    fault: str


def document_invalid(*faults: DocumentFault) -> ServiceError:
    """Return the error for a document with these faults."""
    return ServiceError("plan_invalid", places=list(faults))


def document_invalid_at(place: str, fault: str) -> ServiceError:
    """Return the error for a document with one fault."""
    return document_invalid({"place": place, "fault": fault})


class FaultCollector:
    """Collects the faults of one document, so that one error reports all of them."""

    __slots__ = ("faults",)

    def __init__(self) -> None:
        """Start without faults."""
        self.faults: list[DocumentFault] = []

    def add(self, place: str, fault: str) -> None:
        """Add one fault."""
        self.faults.append({"place": place, "fault": fault})

    def raise_if_any(self) -> None:
        """Raise ServiceError `plan_invalid` with all faults, if there are any."""
        if self.faults:
            raise document_invalid(*self.faults)
