"""Messages between routers about the records of requests."""

from typing import Any

from linkhaven.runtime import Message


class WantExplanation(Message, tag="want_explain", frozen=True):
    """Asks the router that served a request for its record."""

    request: str


class Explanation(Message, tag="explained", frozen=True):
    """The record of a request, in answer to `WantExplanation`."""

    request: str
    record: dict[str, Any] | None
    """As `explain` shows it, or None where the router no longer keeps it."""
