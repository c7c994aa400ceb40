"""Transfers blobs between the controller nodes.

A proposer sends the blobs of a new record to each replica once, right before the accept that names
them. A node that lacks a blob requests it, first from the sender of the record, then from each
replica in turn.

| message | condition | action |
| --- | --- | --- |
| `BlobRequest` | this node has any of the blobs | they are sent back |
| `BlobRequest` | this node has none of them | ignored: the requester tries the next replica |
| `BlobDelivery` | a text matches its digest | kept; operations with all their blobs resume |
| `BlobDelivery` | any other blob | dropped and logged; it is requested again |
"""

from collections.abc import Callable
from typing import Any, Protocol

from msgspec import UNSET

from .blobs import BlobStore
from .messages import BlobDelivery, BlobRequest
from .pending_blobs import PENDING_TIMEOUT_US, PendingBlobs, PendingOperation, WantedBlob
from .records import Record, digests_of

REQUEST_RETRY_US = 100_000
"""Time without a response after which a blob is requested from the next replica."""


class ExchangeNode(Protocol):
    """What the exchange requires of its node."""

    address: str
    tick_handlers: list[Callable[[int], None]]

    def now_us(self) -> int:
        """Return this node's monotonic time."""

    def send(self, address: str, message: Any, /) -> None:
        """Send a message; delivery isn't guaranteed."""

    def register_handler(self, message_type: Any, handler: Callable[[Any], None], /) -> None:
        """Register the handler of messages of a type."""


class Directory(Protocol):
    """The addresses of the replicas."""

    def replicas(self) -> dict[str, tuple[str, int]]:
        """Return the address and incarnation of each replica, by replica id."""


class BlobExchange:
    """Sends, requests and receives blobs, and resumes the operations that wait for them."""

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
        node.tick_handlers.append(self.on_tick)

    def when_available(
        self,
        digests: list[str],
        resume: Callable[[], None],
        give_up: Callable[[], None],
        hint: str | None = None,
    ) -> None:
        """Call `resume` once all blobs are here, or `give_up` after `PENDING_TIMEOUT_US`.

        `resume` is called immediately if none is missing; `give_up` is called early if too many
        operations wait. `hint` is the address of a node that likely has the blobs.
        """
        missing = [digest for digest in digests if not self.blobs.has_blob(digest)]
        if not missing:
            return resume()
        now_us = self.node.now_us()
        operation = PendingOperation(digests, resume, give_up, now_us + PENDING_TIMEOUT_US)
        self.pending.add(operation, missing, hint)
        self._send_requests(now_us)

    def fetch_blobs(self, record: Record, on_fetched: Callable[[bool], Any]) -> None:
        """Fetch missing blobs of a record; call `on_fetched` with whether all are here."""
        self.when_available(digests_of(record), lambda: on_fetched(True), lambda: on_fetched(False))

    def send_texts(self, texts: list[str]) -> None:
        """Store texts that were made on this node and send them to each replica."""
        blobs = {digest: self.blobs.packed[digest] for digest in map(self.blobs.put, texts)}
        for address, _ in self.directory.replicas().values():
            if blobs and address != self.node.address:
                self.node.send(address, BlobDelivery(blobs=blobs))

    def _send_requests(self, now_us: int) -> None:
        digests_by_address: dict[str, list[str]] = {}
        for digest, wanted in self.pending.wanted.items():
            last_us = wanted.requested_us
            if last_us is not None and now_us - last_us < REQUEST_RETRY_US:
                continue
            next_address = self._address_to_ask(wanted)
            wanted.requested_us = now_us
            wanted.attempts += 1
            if next_address is not None:
                digests_by_address.setdefault(next_address, []).append(digest)
        for address, digests in digests_by_address.items():
            self.node.send(address, BlobRequest(digests=digests))

    def _address_to_ask(self, wanted: WantedBlob) -> str | None:
        """Return the address to ask next: the hint first, then each replica in turn."""
        if wanted.attempts == 0 and wanted.hint not in (None, self.node.address):
            return wanted.hint
        others = [
            address
            for address, _ in self.directory.replicas().values()
            if address != self.node.address
        ]
        return others[wanted.attempts % len(others)] if others else None

    def on_blob_request(self, message: BlobRequest) -> None:
        """Send back those of the requested blobs that are here."""
        packed = self.blobs.packed
        blobs = {digest: packed[digest] for digest in message.digests if digest in packed}
        if blobs and message.reply_to is not UNSET:
            self.node.send(message.reply_to, BlobDelivery(blobs=blobs))

    def on_blob_delivery(self, message: BlobDelivery) -> None:
        """Store the blobs and resume operations whose blobs are now all here."""
        for digest, packed in message.blobs.items():
            self.blobs.take(digest, packed)
        for operation in self.pending.take_ready(self.blobs.has_blob):
            operation.resume()

    def on_tick(self, now_us: int) -> None:
        """Give up operations whose time is over; request blobs that are still needed."""
        accepted = self.blobs.accepted_digests()
        for digest in accepted:
            if not self.blobs.has_blob(digest):
                self.pending.want(digest)
        for operation in self.pending.take_expired(now_us):
            operation.give_up()
        self.pending.drop_unneeded({*accepted, *self.pending.digests()})
        self._send_requests(now_us)
