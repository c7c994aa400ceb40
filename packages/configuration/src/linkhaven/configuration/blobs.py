"""The blobs of this node: documents and source texts by the digest of their content.

A record names its blobs by digest and is small, so votes carry little. Blobs are stored apart from
the votes, in memory and, at a replica, on its disk under `body/<digest>`.

Invariant: no vote is on the disk before the blobs that its record names. `write_ahead` is called
before the vote is written, in the same turn, and the disk keeps the writes of one turn together or
not at all. Test: `test_without_its_mechanism_a_vote_for_a_blob_that_isnt_synced_is_found`.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from linkhaven.runtime import read_json

from .history import digest_of
from .packing import BlobMismatchError, open_blob, pack_blob, write_document
from .records import (
    DOCUMENT_BLOB,
    REGISTER_KEY,
    SOURCE_BLOB,
    Record,
    digests_of,
    document_digest_of,
    document_of,
    expanded_record,
    has_blobs,
    source_digest_of,
    source_text_of,
    with_document,
)

DISK_PREFIX = "body/"

MAX_CACHED_BLOBS = 24
"""Blobs in memory beyond which those go that no record, write or operation needs, oldest first."""


class Disk(Protocol):
    """The records of this node on its disk."""

    def load(self) -> dict[str, Any]:
        """Return all records, as they were at the start."""

    def write(self, records: dict[str, Any], on_synced: Callable[[bool], None], /) -> None:
        """Write records, None deletes one; those of one turn are synced together or not at all."""


class StorePorts(Protocol):
    """What the blob store needs of its node's ports."""

    storage: Disk

    def log(self, number: int, **facts: Any) -> None:
        """Log one event."""


class StoreNode(Protocol):
    """What the blob store needs of its node."""

    ports: StorePorts


class RegisterState(Protocol):
    """What a replica accepted last under one key."""

    value: Any


class Replica(Protocol):
    """The replica of this node; it may be none yet, and then has accepted nothing."""

    def register_state(self, key: str, /) -> RegisterState:
        """Return the state of a key."""


class PendingDigests(Protocol):
    """The operations that wait for blobs."""

    def on_blob_stored(self, digest: str) -> None:
        """A blob is here now."""

    def digests(self) -> set[str]:
        """Return all blobs that operations wait for, also those of them that are here."""


def name_blobs(document: dict, source_text: str | None) -> tuple[dict[str, str], dict[str, str]]:
    """Return the digest of each part of a record, and the text of each digest."""
    texts = {DOCUMENT_BLOB: write_document(document)}
    if source_text is not None:
        texts[SOURCE_BLOB] = source_text
    digests = {part: digest_of(text) for part, text in texts.items()}
    return digests, {digests[part]: text for part, text in texts.items()}


class BlobStore:
    """Owns the blobs in memory and on disk; it sends nothing (`blob_exchange.py` does).

    `packed` holds the blobs in memory, packed, oldest first; `synced` and `writing` say which of
    them the disk has, and which are on their way there.
    """

    __slots__ = ("node", "replica", "pending", "packed", "synced", "writing")

    def __init__(self, node: StoreNode, replica: Replica, pending: PendingDigests) -> None:
        """Load what the disk has; a blob that isn't the one of its digest is left out."""
        self.node = node
        self.replica = replica
        self.pending = pending
        self.packed: OrderedDict[str, str] = OrderedDict()
        self.synced: set[str] = set()
        self.writing: set[str] = set()
        self._load()

    def _load(self) -> None:
        for key, packed in self.node.ports.storage.load().items():
            if key.startswith(DISK_PREFIX) and self.take(key[len(DISK_PREFIX) :], packed):
                self.synced.add(key[len(DISK_PREFIX) :])

    def on_replica_retired(self) -> None:
        """A retired replica deletes all its records; what is being written counts for nothing."""
        self.synced.clear()
        self.writing.clear()

    # reading records

    def has_blob(self, digest: str) -> bool:
        """Whether a blob is in memory."""
        return digest in self.packed

    def has(self, record: Record | None) -> bool:
        """Whether all blobs that the record names are here."""
        return all(digest in self.packed for digest in digests_of(record))

    def has_document(self, record: Record | None) -> bool:
        """Whether the record's document is here, be it in the record itself as formerly."""
        if record is None or not has_blobs(record):
            return record is not None
        return document_digest_of(record) in self.packed

    def packed_document(self, record: Record) -> tuple[str, str]:
        """Return the digest of the record's document, and the document packed. It must be here."""
        if has_blobs(record):
            digest = document_digest_of(record)
            return digest, self.packed[digest]
        text = write_document(document_of(record))
        return digest_of(text), pack_blob(text)

    def document_of(self, record: Record) -> dict:
        """Return the document of a record. It must be here."""
        if not has_blobs(record):
            return document_of(record)
        return read_json(self.text_of(document_digest_of(record)))

    def source_text_of(self, record: Record) -> str | None:
        """Return the source text of a record, None where it has none. It must be here."""
        if not has_blobs(record):
            return source_text_of(record)
        digest = source_digest_of(record)
        return None if digest is None else self.text_of(digest)

    def expanded(self, record: Record) -> dict:
        """Return the record with both parts in it. They must be here."""
        return expanded_record(record, self.document_of(record), self.source_text_of(record))

    def with_document(self, record: Record) -> dict:
        """Return the record with its document in it, as a snapshot takes it. It must be here."""
        return with_document(record, self.document_of(record))

    def text_of(self, digest: str) -> str:
        """Return the text of a blob that is here."""
        return open_blob(digest, self.packed[digest])

    # taking blobs

    def put(self, text: str) -> str:
        """Keep a text that was made here; return its digest."""
        digest = digest_of(text)
        if digest not in self.packed:
            self._keep(digest, pack_blob(text))
        return digest

    def take(self, digest: str, packed: str) -> bool:
        """Keep a blob that came from elsewhere; return whether it is the one of its digest."""
        if digest in self.packed:
            return True
        try:
            open_blob(digest, packed)
        except BlobMismatchError as error:
            self.node.ports.log(1304, digest=digest, why=str(error))
            return False
        self._keep(digest, packed)
        return True

    def _keep(self, digest: str, packed: str) -> None:
        self.packed[digest] = packed
        self.pending.on_blob_stored(digest)
        if len(self.packed) > MAX_CACHED_BLOBS:
            self._evict({digest, *self.accepted_digests(), *self.writing, *self.pending.digests()})

    def _evict(self, needed: set[str]) -> None:
        for other in list(self.packed):
            if len(self.packed) <= MAX_CACHED_BLOBS:
                return
            if other not in needed:
                del self.packed[other]

    def accepted_digests(self) -> list[str]:
        """Return the blobs of the record that this node's replica accepted last."""
        return digests_of(self.replica.register_state(REGISTER_KEY).value)

    # the disk

    def write_ahead(self, digests: Iterable[str]) -> None:
        """Write the blobs that the disk lacks, and delete those that no vote names any more.

        Called before a vote that names the blobs is written, in the same turn.
        """
        lacking = [digest for digest in digests if digest not in {*self.synced, *self.writing}]
        dropped = self.synced.difference(digests, self.accepted_digests())
        if not lacking and not dropped:
            return
        self.writing.update(lacking)
        self.synced.difference_update(dropped)
        records: dict[str, str | None] = {f"{DISK_PREFIX}{digest}": None for digest in dropped}
        records.update({f"{DISK_PREFIX}{digest}": self.packed[digest] for digest in lacking})

        def on_synced(is_kept: bool) -> None:
            # A replica that retired meanwhile has cleared `writing`: its write counts for nothing.
            written = self.writing.intersection(lacking)
            self.writing.difference_update(written)
            if is_kept:
                self.synced.update(written)

        self.node.ports.storage.write(records, on_synced)
