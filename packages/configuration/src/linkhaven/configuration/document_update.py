"""Updates by an operator on the platform interface: its source text is replaced or patched.

The operator numbers its texts itself. An update names its base revision and its new revision, as a
compare-and-set.

| revision of the record | update from `base` to `revision` | result |
| --- | --- | --- |
| any | already committed, with the same digest | acknowledged again with the same result |
| `base` | `revision` is higher | committed |
| `base` | `revision` isn't higher | `revision_old` |
| higher | `revision` may have been committed before the history begins | `put_unknown` |
| any other | | `revision_conflict` |
"""

from collections.abc import Callable

from linkhaven.api import ServiceError

from .history import covers_revision, digest_of_json, digest_of_update, find_update
from .records import Record, overlay_of, revision_of, source_text_of
from .updates import Contents, RecordReader
from .validation import decode_configuration

MakeDocument = Callable[[str | None], tuple[str, dict]]
"""Given the source text in force, returns the next one and the document derived from it."""


class DocumentUpdate:
    """One update of the source text; see `ConfigurationUpdate`.

    `source_text` is the text of a replacement, None for a patch. It identifies an update that was
    committed by an earlier version of this program, which kept no history.
    """

    __slots__ = ("expected", "key", "digest", "make_document", "needs_blobs", "source_text")

    def __init__(
        self,
        base: int,
        revision: int,
        digest: str,
        make_document: MakeDocument,
        needs_blobs: bool,
        source_text: str | None,
    ) -> None:
        """`base` and `revision` are the sender's revisions before and after the update."""
        self.expected = base
        self.key = revision
        self.digest = digest
        self.make_document = make_document
        self.needs_blobs = needs_blobs
        self.source_text = source_text

    @property
    def update_id(self) -> str:
        """The id of the update in logs and in the record."""
        return f"revision-{self.key}"

    def is_committed(self, record: Record | None) -> bool:
        """Whether this same update was committed before."""
        committed = find_update(record, self.key)
        if committed is not None:
            return committed.digest == self.digest
        return (
            record is not None
            and self.source_text is not None
            and revision_of(record) == self.key
            and source_text_of(record) == self.source_text
        )

    def rejection(self, record: Record | None) -> ServiceError | None:
        """Return why it can't be committed on this record, None if it can."""
        current = revision_of(record)
        if current == self.expected:
            if self.key > current:
                return None
            return ServiceError("revision_old", given=self.key, revision=current)
        if self._may_precede_history(record, current):
            return ServiceError("put_unknown", put_id=self.update_id)
        return ServiceError("revision_conflict", base=self.expected, revision=current)

    def _may_precede_history(self, record: Record | None, current: int) -> bool:
        """Whether it may have been committed before the record's history begins."""
        return (
            self.expected < self.key <= current
            and find_update(record, self.key) is None
            and not covers_revision(record, self.key)
        )

    def contents(self, record: Record | None, reader: RecordReader) -> Contents:
        """Return the updated contents of the record.

        Raises ServiceError `plan_invalid` if the document isn't valid.
        """
        current = reader.source_text_of(record) if self.needs_blobs and record else None
        source_text, document = self.make_document(current)
        decode_configuration(document)
        return Contents(document, source_text, self.key, overlay_of(record))


def replacement(base: int, revision: int, source_text: str, document: dict) -> DocumentUpdate:
    """Return the update that replaces the source text of revision `base`."""
    return DocumentUpdate(
        base,
        revision,
        digest_of_update(source_text),
        lambda current: (source_text, document),
        False,
        source_text,
    )


def patch_update(base: int, revision: int, patch: str, merge: MakeDocument) -> DocumentUpdate:
    """Return the update that patches the source text of revision `base`.

    `patch` is the text of the patch, which identifies it when it is submitted again.
    """
    return DocumentUpdate(base, revision, digest_of_json(["patch", patch]), merge, True, None)
