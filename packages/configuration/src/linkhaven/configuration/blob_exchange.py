"""Brings blobs to where they are needed, between the nodes of the core.

A proposer sends the blobs of a new record to each replica once, right before the accept that names
them. Whoever lacks one asks for it: first whoever sent the record, then each replica in turn.

| message | met with | then |
| --- | --- | --- |
| `BlobRequest` | any of the blobs here | they are sent back |
| `BlobRequest` | none of them here | nothing: the asker tries the next replica |
| `BlobDelivery` | blobs whose text fits their digest | kept; operations that have all now resume |
| `BlobDelivery` | any other | dropped and logged; it is asked for again |
"""

from collections.abc import Callable
from typing import Any, Protocol

from msgspec import UNSET

from .blobs import BlobStore
from .messages import BlobDelivery, BlobRequest
from .pending_blobs import PENDING_TIMEOUT_US, PendingBlobs, PendingOperation, WantedBlob
from .records import Record, digests_of

REQUEST_AGAIN_US = 100_000
"""After how long without the blob the next replica is asked."""


class ExchangeNode(Protocol):
    """What the exchange needs of its node."""

    address: str
    systems: list[Callable[[int], None]]

    def now_us(self) -> int:
        """Return this node's monotonic time."""

    def send(self, address: str, message: Any, /) -> None:
        """Send a message; nothing says whether it arrives."""

    def register_handler(self, message_type: Any, handler: Callable[[Any], None], /) -> None:
        """Have messages of a type handed to a handler."""


class Directory(Protocol):
    """Where the replicas are."""

    def replicas(self) -> dict[str, tuple[str, int]]:
        """Return the address and incarnation of each replica, by its id."""


class BlobExchange:
    """Sends, asks for and receives blobs, and resumes what waits for them."""

    __slots__ = ("node", "directory", "blobs", "pending")

    def __init__(
        self, node: ExchangeNode, directory: Directory, blobs: BlobStore, pending: PendingBlobs
    ) -> None:
        """Register the handlers of the messages and the timer."""
        self.node = node
        self.directory = directory
        self.blobs = blobs
        self.pending = pending
        node.register_handler(BlobRequest, self.on_blob_request)
        node.register_handler(BlobDelivery, self.on_blob_delivery)
        node.systems.append(self.on_tick)

    def when_here(
        self,
        digests: list[str],
        resume: Callable[[], None],
        give_up: Callable[[], None],
        hint: str | None = None,
    ) -> None:
        """Call `resume` now, or as soon as all blobs have come, else `give_up` after a time.

        `hint` is the address of a node that likely has them.
        """
        missing = [digest for digest in digests if not self.blobs.has_blob(digest)]
        if not missing:
            return resume()
        now_us = self.node.now_us()
        operation = PendingOperation(digests, resume, give_up, now_us + PENDING_TIMEOUT_US)
        self.pending.add(operation, missing, hint)
        self._send_requests(now_us)

    def gather(self, record: Record, on_gathered: Callable[[bool], Any]) -> None:
        """Call `on_gathered` with whether all blobs that the record names are here."""
        self.when_here(digests_of(record), lambda: on_gathered(True), lambda: on_gathered(False))

    def send_texts(self, texts: list[str]) -> None:
        """Keep texts that were made here and send them to each replica."""
        blobs = {digest: self.blobs.packed[digest] for digest in map(self.blobs.put, texts)}
        for address, _ in self.directory.replicas().values():
            if blobs and address != self.node.address:
                self.node.send(address, BlobDelivery(blobs=blobs))

    def _send_requests(self, now_us: int) -> None:
        asked: dict[str, list[str]] = {}
        for digest, wanted in self.pending.wanted.items():
            last_us = wanted.requested_us
            if last_us is not None and now_us - last_us < REQUEST_AGAIN_US:
                continue
            source = self._source_of(wanted)
            wanted.requested_us = now_us
            wanted.attempts += 1
            if source is not None:
                asked.setdefault(source, []).append(digest)
        for address, digests in asked.items():
            self.node.send(address, BlobRequest(digests=digests))

    def _source_of(self, wanted: WantedBlob) -> str | None:
        """Return whom to ask next: the hint first, then each replica in turn."""
        if wanted.attempts == 0 and wanted.hint not in (None, self.node.address):
            return wanted.hint
        others = [
            address
            for address, _ in self.directory.replicas().values()
            if address != self.node.address
        ]
        return others[wanted.attempts % len(others)] if others else None

    def on_blob_request(self, message: BlobRequest) -> None:
        """Send those of the blobs that are here."""
        packed = self.blobs.packed
        blobs = {digest: packed[digest] for digest in message.digests if digest in packed}
        if blobs and message.reply_to is not UNSET:
            self.node.send(message.reply_to, BlobDelivery(blobs=blobs))

    def on_blob_delivery(self, message: BlobDelivery) -> None:
        """Keep the blobs, and resume what waited for them."""
        for digest, packed in message.blobs.items():
            self.blobs.take(digest, packed)
        for operation in self.pending.take_ready(self.blobs.has_blob):
            operation.resume()

    def on_tick(self, now_us: int) -> None:
        """Give up what waited too long, and ask again for what is needed still."""
        accepted = self.blobs.accepted_digests()
        for digest in accepted:
            if not self.blobs.has_blob(digest):
                self.pending.want(digest)
        for operation in self.pending.take_late(now_us):
            operation.give_up()
        self.pending.forget_unneeded({*accepted, *self.pending.digests()})
        self._send_requests(now_us)
