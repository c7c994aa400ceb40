"""What every update of the configuration has, whichever way it came in."""

from typing import Protocol

from linkhaven.api import ServiceError

from .history import UpdateKey
from .records import Overlay, Record


class Contents:
    """What an update puts in force."""

    __slots__ = ("document", "source_text", "revision", "overlay")

    def __init__(
        self, document: dict, source_text: str | None, revision: int, overlay: Overlay
    ) -> None:
        """Where our own command made it, `source_text` is None and `revision` unchanged."""
        self.document = document
        self.source_text = source_text
        self.revision = revision
        self.overlay = overlay


class RecordReader(Protocol):
    """Opens records whose blobs are here; the blob store is one."""

    def document_of(self, record: Record) -> dict:
        """Return the document of a record."""

    def source_text_of(self, record: Record) -> str | None:
        """Return the source text of a record, None where it has none."""

    def expanded(self, record: Record) -> dict:
        """Return the record with both parts in it."""


class ConfigurationUpdate(Protocol):
    """One update: how it is known, whether a record takes it, and what it makes of the record."""

    @property
    def key(self) -> UpdateKey:
        """What the history knows the update by."""

    @property
    def digest(self) -> str:
        """The digest of what was submitted."""

    @property
    def expected(self) -> int:
        """The version or revision that it builds on."""

    @property
    def needs_blobs(self) -> bool:
        """Whether it changes parts of the record before it."""

    @property
    def update_id(self) -> str:
        """What the update is called in logs and in the record."""

    def is_committed(self, record: Record | None) -> bool:
        """Whether this very update was committed before."""

    def rejection(self, record: Record | None) -> ServiceError | None:
        """Return why it can't be committed on this record; None where it may be."""

    def contents(self, record: Record | None, reader: RecordReader) -> Contents:
        """Return what it makes of the record; raises ServiceError where it doesn't fit."""
