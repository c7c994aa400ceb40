"""Operations that wait for missing blobs, and the blobs to request."""

from collections.abc import Callable, Iterable

MAX_PENDING_OPERATIONS = 32
"""Bound of waiting operations; at the bound the oldest is given up for a new one."""

PENDING_TIMEOUT_US = 2_000_000
"""How long an operation waits for its blobs before it is given up."""


class PendingOperation:
    """An operation that resumes once its blobs are here, or is given up at `until_us`."""

    __slots__ = ("digests", "resume", "give_up", "until_us")

    def __init__(
        self,
        digests: list[str],
        resume: Callable[[], None],
        give_up: Callable[[], None],
        until_us: int,
    ) -> None:
        """Exactly one of `resume` and `give_up` is called, once."""
        self.digests = digests
        self.resume = resume
        self.give_up = give_up
        self.until_us = until_us


class WantedBlob:
    """A blob to request: whom to ask first, when it was last requested and how often."""

    __slots__ = ("hint", "requested_us", "attempts")

    def __init__(self, hint: str | None) -> None:
        """`hint` is the address of a node that likely has it, None if none is known."""
        self.hint = hint
        self.requested_us: int | None = None
        self.attempts = 0


class PendingBlobs:
    """Owns the waiting operations and the wanted blobs; `blob_exchange.py` sends the requests."""

    __slots__ = ("operations", "wanted")

    def __init__(self) -> None:
        """Start without operations."""
        self.operations: list[PendingOperation] = []
        self.wanted: dict[str, WantedBlob] = {}

    def add(self, operation: PendingOperation, missing: Iterable[str], hint: str | None) -> None:
        """Add an operation and mark its missing blobs as wanted."""
        if len(self.operations) >= MAX_PENDING_OPERATIONS:
            self.operations.pop(0).give_up()
        self.operations.append(operation)
        for digest in missing:
            self.want(digest, hint)

    def want(self, digest: str, hint: str | None = None) -> None:
        """Mark a blob as wanted, if it isn't already."""
        if digest not in self.wanted:
            self.wanted[digest] = WantedBlob(hint)

    def on_blob_stored(self, digest: str) -> None:
        """Drop a blob from the wanted ones, as it is here now."""
        self.wanted.pop(digest, None)

    def digests(self) -> set[str]:
        """Return all blobs that operations wait for, including those already here."""
        return {digest for operation in self.operations for digest in operation.digests}

    def take_ready(self, has_blob: Callable[[str], bool]) -> list[PendingOperation]:
        """Remove and return the operations whose blobs are all here."""
        ready = [
            operation for operation in self.operations if all(map(has_blob, operation.digests))
        ]
        self.operations = [operation for operation in self.operations if operation not in ready]
        return ready

    def take_expired(self, now_us: int) -> list[PendingOperation]:
        """Remove and return the operations whose time is over."""
        expired = [operation for operation in self.operations if now_us >= operation.until_us]
        self.operations = [operation for operation in self.operations if operation not in expired]
        return expired

    def drop_unneeded(self, needed: set[str]) -> None:
        """Keep only wanted blobs that are still needed."""
        self.wanted = {digest: wanted for digest, wanted in self.wanted.items() if digest in needed}
