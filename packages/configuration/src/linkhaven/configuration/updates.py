"""The interface of configuration updates, common to native commands and operators' texts."""

from typing import Protocol

from linkhaven.api import ServiceError

from .history import UpdateKey
from .records import Overlay, Record


class Contents:
    """The contents of a record that an update produces."""

    __slots__ = ("document", "source_text", "revision", "overlay")

    def __init__(
        self, document: dict, source_text: str | None, revision: int, overlay: Overlay
    ) -> None:
        """`source_text` is None if none is in force; native commands don't change `revision`."""
        self.document = document
        self.source_text = source_text
        self.revision = revision
        self.overlay = overlay


class RecordReader(Protocol):
    """Reads the parts of records whose blobs are here; implemented by the blob store."""

    def document_of(self, record: Record) -> dict:
        """Return the document of a record."""

    def source_text_of(self, record: Record) -> str | None:
        """Return the source text of a record, None if it has none."""

    def expanded(self, record: Record) -> dict:
        """Return the record with its document and source text included."""


class ConfigurationUpdate(Protocol):
    """One update: its identity, whether a record accepts it, and the contents it produces."""

    @property
    def key(self) -> UpdateKey:
        """The key of the update in the history."""

    @property
    def digest(self) -> str:
        """The digest of what was submitted."""

    @property
    def expected(self) -> int:
        """The version or revision that the update expects to be in force."""

    @property
    def needs_blobs(self) -> bool:
        """Whether the contents of the record before it are needed to apply it."""

    @property
    def update_id(self) -> str:
        """The id of the update in logs and in the record."""

    def is_committed(self, record: Record | None) -> bool:
        """Whether this same update was committed before."""

    def rejection(self, record: Record | None) -> ServiceError | None:
        """Return why it can't be committed on this record, None if it can."""

    def contents(self, record: Record | None, reader: RecordReader) -> Contents:
        """Return the updated contents of the record; raises ServiceError if they aren't valid."""
