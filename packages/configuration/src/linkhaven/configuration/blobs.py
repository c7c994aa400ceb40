"""The blobs of this node: documents and source texts, addressed by the digest of their content.

A record names its blobs by digest, which keeps records and votes small. Blobs are stored separately
from the votes, in memory and, at a replica, on disk under `body/<digest>`.

Invariant: no vote is on disk before the blobs that its record names. `write_ahead` is called before
the vote is written, in the same turn, and the disk syncs the writes of one turn together or not at
all. Test: `test_without_its_mechanism_a_vote_for_a_blob_that_isnt_synced_is_found`.
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
"""The prefix of a blob's key on disk."""

MAX_CACHED_BLOBS = 24
"""Blobs in memory; beyond it, blobs that nothing needs are evicted, oldest first.

Needed are blobs of the accepted record, of running writes and of waiting operations.
"""


class Disk(Protocol):
    """The stored records of this node."""

    def load(self) -> dict[str, Any]:
        """Return all records, as they were on disk at the start."""

    def write(self, records: dict[str, Any], on_synced: Callable[[bool], None], /) -> None:
        """Write records (None deletes one); those of one turn are synced all or none."""


class StorePorts(Protocol):
    """What the blob store requires of its node's ports."""

    storage: Disk

    def log(self, number: int, **facts: Any) -> None:
        """Log one event."""


class StoreNode(Protocol):
    """What the blob store requires of its node."""

    ports: StorePorts


class RegisterState(Protocol):
    """The value that a replica accepted last for one key."""

    value: Any


class Replica(Protocol):
    """The replica of this node; before the node has a replica, nothing is accepted."""

    def register_state(self, key: str, /) -> RegisterState:
        """Return the state of a key."""


class PendingDigests(Protocol):
    """The operations that wait for blobs."""

    def on_blob_stored(self, digest: str) -> None:
        """Note that a blob is here now."""

    def digests(self) -> set[str]:
        """Return all blobs that operations wait for, including those already here."""


def name_blobs(document: dict, source_text: str | None) -> tuple[dict[str, str], dict[str, str]]:
    """Return the digest of each blob of a record by its name, and each text by its digest."""
    texts = {DOCUMENT_BLOB: write_document(document)}
    if source_text is not None:
        texts[SOURCE_BLOB] = source_text
    digests = {part: digest_of(text) for part, text in texts.items()}
    return digests, {digests[part]: text for part, text in texts.items()}


class BlobStore:
    """Owns the blobs in memory and on disk; `blob_exchange.py` sends and requests them.

    `packed` holds the packed blobs in memory, oldest first; `synced` has the digests of those on
    disk, `writing` of those being written.
    """

    __slots__ = ("node", "replica", "pending", "packed", "synced", "writing")

    def __init__(self, node: StoreNode, replica: Replica, pending: PendingDigests) -> None:
        """Load the blobs on disk, except those whose text doesn't match their digest."""
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
        """Forget what is on disk: a retired replica deletes all its records.

        Writes that are still running are ignored when they finish.
        """
        self.synced.clear()
        self.writing.clear()

    # Reading

    def has_blob(self, digest: str) -> bool:
        """Whether a blob is in memory."""
        return digest in self.packed

    def has(self, record: Record | None) -> bool:
        """Whether all blobs that the record names are here."""
        return all(digest in self.packed for digest in digests_of(record))

    def has_document(self, record: Record | None) -> bool:
        """Whether the record's document is here, as a blob or in a record of an earlier version."""
        if record is None or not has_blobs(record):
            return record is not None
        return document_digest_of(record) in self.packed

    def packed_document(self, record: Record) -> tuple[str, str]:
        """Return the digest of the record's document and the packed document. It must be here."""
        if has_blobs(record):
            digest = document_digest_of(record)
            return digest, self.packed[digest]
        text = write_document(document_of(record))
        return digest_of(text), pack_blob(text)

    def document_of(self, record: Record) -> dict:
        """Return the document of a record, which must be here."""
        if not has_blobs(record):
            return document_of(record)
        return read_json(self.text_of(document_digest_of(record)))

    def source_text_of(self, record: Record) -> str | None:
        """Return the source text of a record, None if it has none. It must be here."""
        if not has_blobs(record):
            return source_text_of(record)
        digest = source_digest_of(record)
        return None if digest is None else self.text_of(digest)

    def expanded(self, record: Record) -> dict:
        """Return the record with its document and source text included. They must be here."""
        return expanded_record(record, self.document_of(record), self.source_text_of(record))

    def with_document(self, record: Record) -> dict:
        """Return the record with its document included, as snapshots store it. It must be here."""
        return with_document(record, self.document_of(record))

    def text_of(self, digest: str) -> str:
        """Return the text of a blob that is here."""
        return open_blob(digest, self.packed[digest])

    # Storing

    def put(self, text: str) -> str:
        """Store a text that was made on this node; return its digest."""
        digest = digest_of(text)
        if digest not in self.packed:
            self._keep(digest, pack_blob(text))
        return digest

    def take(self, digest: str, packed: str) -> bool:
        """Store a packed blob from disk or another node; return whether it matches its digest."""
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
        """Return the digests of the record that this node's replica accepted last."""
        return digests_of(self.replica.register_state(REGISTER_KEY).value)

    # Disk

    def write_ahead(self, digests: Iterable[str]) -> None:
        """Write the blobs that aren't on disk, and delete those that no vote names any more.

        Must be called before a vote that names the blobs is written, in the same turn.
        """
        missing = [digest for digest in digests if digest not in {*self.synced, *self.writing}]
        dropped = self.synced.difference(digests, self.accepted_digests())
        if not missing and not dropped:
            return
        self.writing.update(missing)
        self.synced.difference_update(dropped)
        records: dict[str, str | None] = {f"{DISK_PREFIX}{digest}": None for digest in dropped}
        records.update({f"{DISK_PREFIX}{digest}": self.packed[digest] for digest in missing})

        def on_synced(is_synced: bool) -> None:
            # If the replica retired meanwhile, `writing` was cleared and this write is ignored.
            written = self.writing.intersection(missing)
            self.writing.difference_update(written)
            if is_synced:
                self.synced.update(written)

        self.node.ports.storage.write(records, on_synced)
