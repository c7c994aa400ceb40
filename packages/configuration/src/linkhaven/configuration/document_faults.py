"""What is wrong with a document, by place, and the error that says so.

The error is `plan_invalid`, and its remedy (`linkhaven.api.errors`) is to mend each place listed.
"""

from typing import TypedDict

from linkhaven.api import ServiceError


class DocumentFault(TypedDict):
    """One fault, as the error's `places` list it."""

    place: str
    """The path of names to the field, with `/` between them; `.` for the whole document."""

    fault: str


def document_invalid(*faults: DocumentFault) -> ServiceError:
    """Return the error for a document with these faults."""
    return ServiceError("plan_invalid", places=list(faults))


def document_invalid_at(place: str, fault: str) -> ServiceError:
    """Return the error for a document with one fault."""
    return document_invalid({"place": place, "fault": fault})


class FaultCollector:
    """Collects the faults of one document, so that all of them are told at once."""

    __slots__ = ("faults",)

    def __init__(self) -> None:
        """Nothing is wrong yet."""
        self.faults: list[DocumentFault] = []

    def add(self, place: str, fault: str) -> None:
        """Note one fault."""
        self.faults.append({"place": place, "fault": fault})

    def raise_if_any(self) -> None:
        """Raise ServiceError `plan_invalid` with all faults, if there are any."""
        if self.faults:
            raise document_invalid(*self.faults)
