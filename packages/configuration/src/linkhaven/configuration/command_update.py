"""Updates by native commands; each names the version that it expects, as a compare-and-set.

| version of the record | command | result |
| --- | --- | --- |
| any | already committed, with the same digest | acknowledged again with the same result |
| any | another command was committed with its id | `put_id_used` |
| the expected one | | committed |
| newer | may have been committed before the history begins | `put_unknown` |
| any other | | `mark_conflict` |
"""

from collections.abc import Callable

from linkhaven.api import ServiceError

from .history import covers_version, find_update, has_history
from .records import Record, update_id_of, version_of
from .updates import Contents, RecordReader

MakeContents = Callable[[Record | None, RecordReader], Contents]
"""Returns the contents of a record after a command; raises ServiceError if it isn't valid."""


class CommandUpdate:
    """One update by a native command; see `ConfigurationUpdate`."""

    __slots__ = ("expected", "key", "digest", "make_contents", "needs_blobs")

    def __init__(
        self,
        expected: int,
        update_id: str,
        digest: str,
        make_contents: MakeContents,
        needs_blobs: bool,
    ) -> None:
        """`expected` is the version that the command expects, `digest` that of its content."""
        self.expected = expected
        self.key = update_id
        self.digest = digest
        self.make_contents = make_contents
        self.needs_blobs = needs_blobs

    @property
    def update_id(self) -> str:
        """The id of the update in logs and in the record, as given by its sender."""
        return self.key

    def is_committed(self, record: Record | None) -> bool:
        """Whether this same update was committed before.

        Records of an earlier version of this program have no history; there the id decides.
        """
        committed = find_update(record, self.key)
        if committed is not None:
            return committed.digest == self.digest
        return record is not None and not has_history(record) and update_id_of(record) == self.key

    def rejection(self, record: Record | None) -> ServiceError | None:
        """Return why it can't be committed on this record, None if it can."""
        version = version_of(record)
        if find_update(record, self.key) is not None:
            return ServiceError("put_id_used", put_id=self.key)
        if version == self.expected:
            return None
        if self.expected < version and not covers_version(record, self.expected + 1):
            return ServiceError("put_unknown", put_id=self.key)
        return ServiceError("mark_conflict", expect=self.expected, mark=version)

    def contents(self, record: Record | None, reader: RecordReader) -> Contents:
        """Return the updated contents of the record; raises ServiceError if they aren't valid."""
        return self.make_contents(record, reader)
