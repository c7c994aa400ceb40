"""What waits for blobs that aren't here yet, and which of those are asked for."""

from collections.abc import Callable, Iterable

PENDING_MOST = 32
"""Operations that wait at a time; the oldest is given up for a new one beyond that."""

PENDING_TIMEOUT_US = 2_000_000
"""How long an operation waits for its blobs."""


class PendingOperation:
    """An operation that goes on once its blobs are here, or is given up at a time."""

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
    """A blob that is asked for: of whom first, and when it was last."""

    __slots__ = ("hint", "requested_us", "attempts")

    def __init__(self, hint: str | None) -> None:
        """`hint`: the address of a node that likely has it, None where none is known."""
        self.hint = hint
        self.requested_us: int | None = None
        self.attempts = 0


class PendingBlobs:
    """The operations that wait, and the blobs that they want; it sends nothing itself."""

    __slots__ = ("operations", "wanted")

    def __init__(self) -> None:
        """Nothing waits yet."""
        self.operations: list[PendingOperation] = []
        self.wanted: dict[str, WantedBlob] = {}

    def add(self, operation: PendingOperation, missing: Iterable[str], hint: str | None) -> None:
        """Have an operation wait, and want its missing blobs."""
        if len(self.operations) >= PENDING_MOST:
            self.operations.pop(0).give_up()
        self.operations.append(operation)
        for digest in missing:
            self.want(digest, hint)

    def want(self, digest: str, hint: str | None = None) -> None:
        """Want a blob, unless it is wanted already."""
        if digest not in self.wanted:
            self.wanted[digest] = WantedBlob(hint)

    def on_stored(self, digest: str) -> None:
        """Want a blob no more, as it is here now."""
        self.wanted.pop(digest, None)

    def digests(self) -> set[str]:
        """Return all blobs that operations wait for, also those of them that are here."""
        return {digest for operation in self.operations for digest in operation.digests}

    def take_ready(self, has_blob: Callable[[str], bool]) -> list[PendingOperation]:
        """Return the operations whose blobs are all here; they wait no more."""
        ready = [one for one in self.operations if all(map(has_blob, one.digests))]
        self.operations = [one for one in self.operations if one not in ready]
        return ready

    def take_late(self, now_us: int) -> list[PendingOperation]:
        """Return the operations whose time is over; they wait no more."""
        late = [one for one in self.operations if now_us >= one.until_us]
        self.operations = [one for one in self.operations if one not in late]
        return late

    def forget_unneeded(self, needed: set[str]) -> None:
        """Want only blobs that are needed still."""
        self.wanted = {digest: one for digest, one in self.wanted.items() if digest in needed}
