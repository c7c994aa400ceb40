"""What a watcher has received: the published record and its packed document."""

from typing import Any, Protocol

import msgspec

from linkhaven.api import ServiceError
from linkhaven.runtime import read_json

from .changes import apply_changes, read_changes
from .history import digest_of
from .packing import BlobMismatchError, open_blob, open_packed, pack_blob, write_document
from .records import (
    Record,
    document_digest_of,
    document_of,
    published_record_of_earlier,
    with_document,
)
from .snapshot import ConfigurationSnapshot


class EventLog(Protocol):
    """Logs events by their numbers in `linkhaven.api.events`."""

    def log(self, number: int, **facts: Any) -> None:
        """Log one event."""


class ReceivedConfiguration:
    """Owns the published record that the snapshot was taken from, and its packed document.

    Invariant: a document is taken only if it has the digest that its record names, however it was
    sent.
    Test: `test_a_router_rejects_a_corrupted_blob_and_gets_it_from_another_replica`.
    """

    __slots__ = ("ports", "snapshot", "record", "packed", "accepts_changes")

    def __init__(self, ports: EventLog, snapshot: ConfigurationSnapshot) -> None:
        """`snapshot` is what received configurations are put into."""
        self.ports = ports
        self.snapshot = snapshot
        self.record: Record | None = None
        self.packed: str | None = None
        """None if the document came as changes: it is packed on demand."""

        self.accepts_changes = True
        """False after changes that gave another digest, until a whole document was taken."""

    def digest(self) -> str | None:
        """Return the digest of the document in force here, None before the first."""
        return None if self.record is None else document_digest_of(self.record)

    def packed_configuration(self) -> tuple[Record, str] | None:
        """Return the record and its packed document, None before the first."""
        if self.record is None:
            return None
        if self.packed is None:
            self.packed = pack_blob(write_document(document_of(self.snapshot.value or {})))
        return self.record, self.packed

    def take_blob(self, record: Record, packed: str) -> bool:
        """Take a whole packed document; return whether it is in force now."""
        digest = document_digest_of(record)
        try:
            document = read_json(open_blob(digest, packed))
        except BlobMismatchError as error:
            self.ports.log(1304, digest=digest, why=str(error))
            return False
        return self._take(record, document, packed)

    def take_whole_record(self, record: Record) -> bool:
        """Take a record that includes its document, from a replica of an earlier version."""
        text = write_document(document_of(record))
        return self.take_blob(published_record_of_earlier(record, digest_of(text)), pack_blob(text))

    def take_changes(self, record: Record, base_digest: str, packed_changes: str) -> bool:
        """Apply changes to the document here; return whether their result is in force now.

        If the result doesn't have the record's digest, it is dropped and the next poll requests the
        whole document.
        Test: `test_changes_with_a_wrong_result_are_dropped_and_the_whole_is_requested`.
        """
        digest = document_digest_of(record)
        try:
            document = self._changed_document(digest, base_digest, packed_changes)
        except (BlobMismatchError, msgspec.ValidationError, ServiceError) as error:
            self.accepts_changes = False
            self.ports.log(1304, digest=digest, why=str(error))
            return False
        return self._take(record, document, None)

    def _changed_document(self, digest: str, base_digest: str, packed_changes: str) -> dict:
        if self.snapshot.value is None or self.digest() != base_digest:
            raise BlobMismatchError(f"the document in force isn't the base {base_digest}")
        changes = read_changes(open_packed(packed_changes))
        document = apply_changes(document_of(self.snapshot.value), changes)
        if digest_of(write_document(document)) != digest:
            raise BlobMismatchError(f"the changed document doesn't have the digest {digest}")
        return document

    def _take(self, record: Record, document: dict, packed: str | None) -> bool:
        if not self.snapshot.take(with_document(record, document)):
            return False
        self.record = record
        self.packed = packed
        self.accepts_changes = True
        return True
