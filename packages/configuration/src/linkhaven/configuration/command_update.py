"""Updates by our own commands: each names the version that it builds on, as a compare-and-set.

| record | command | answer |
| --- | --- | --- |
| any | committed before, with the same digest | acknowledged as before |
| any | another command was committed under its id | `put_id_used` |
| at the expected version | | committed |
| beyond | may have been committed before the history begins | `put_unknown` |
| elsewhere | | `mark_conflict` |
"""

from collections.abc import Callable

from linkhaven.api import ServiceError

from .history import find_update, has_history, knows_version
from .records import Record, update_id_of, version_of
from .updates import Contents, RecordReader

MakeContents = Callable[[Record | None, RecordReader], Contents]
"""Returns what a command makes of a record; raises ServiceError where it doesn't fit."""


class CommandUpdate:
    """One update by a command; see `ConfigurationUpdate`."""

    __slots__ = ("expected", "key", "digest", "make_contents", "needs_blobs")

    def __init__(
        self,
        expected: int,
        update_id: str,
        digest: str,
        make_contents: MakeContents,
        needs_blobs: bool,
    ) -> None:
        """`expected`: the version that the command builds on; `digest`: of all that it says."""
        self.expected = expected
        self.key = update_id
        self.digest = digest
        self.make_contents = make_contents
        self.needs_blobs = needs_blobs

    @property
    def update_id(self) -> str:
        """What the update is called in logs and in the record: as its sender calls it."""
        return self.key

    def is_committed(self, record: Record | None) -> bool:
        """Whether this very update was committed before.

        In a record of an earlier version of this program, which kept no history, its id tells.
        """
        committed = find_update(record, self.key)
        if committed is not None:
            return committed.digest == self.digest
        return record is not None and not has_history(record) and update_id_of(record) == self.key

    def rejection(self, record: Record | None) -> ServiceError | None:
        """Return why it can't be committed on this record; None where it may be."""
        version = version_of(record)
        if find_update(record, self.key) is not None:
            return ServiceError("put_id_used", put_id=self.key)
        if version == self.expected:
            return None
        if self.expected < version and not knows_version(record, self.expected + 1):
            return ServiceError("put_unknown", put_id=self.key)
        return ServiceError("mark_conflict", expect=self.expected, mark=version)

    def contents(self, record: Record | None, reader: RecordReader) -> Contents:
        """Return what it makes of the record; raises ServiceError where it doesn't fit."""
        return self.make_contents(record, reader)
