"""The history of committed updates in a record, which makes resubmitted updates idempotent.

A sender that didn't get the response submits the same update again, possibly after others were
committed on top of it. The record therefore contains one small row for each update, newest last:
its version, its key, the digest of what was submitted, and the sender's revision in force after it.
Versions and revisions only increase, so the history is complete from its oldest row on.
Test: `test_without_the_history_a_winner_that_is_sent_late_is_refused`.
"""

import hashlib
import json
from typing import Any

from .records import Record, revision_of, version_of

KEPT_UPDATES = 128
"""The number of rows in a record; bounded, since each vote contains all of them."""

DIGEST_DIGITS = 24
UPDATE_DIGEST_DIGITS = 16
HISTORY_FIELD = "taken"

UpdateKey = int | str
"""The key of an update: the revision of a source text, or the id of a native command."""


def digest_of(text: str) -> str:
    """Return the first `DIGEST_DIGITS` hexadecimal digits of a text's SHA-256."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]


def digest_of_update(text: str) -> str:
    """Return the digest that tells updates with one key apart.

    It is shorter than that of a blob, since each vote contains many of them.
    """
    return digest_of(text)[:UPDATE_DIGEST_DIGITS]


def digest_of_json(document: Any) -> str:
    """Return `digest_of_update` of a JSON document, independent of the order of its members."""
    return digest_of_update(json.dumps(document, sort_keys=True, separators=(",", ":")))


class CommittedUpdate:
    """One committed update; its sender may or may not have received the response."""

    __slots__ = ("version", "key", "digest", "revision")

    def __init__(self, version: int, key: UpdateKey, digest: str, revision: int) -> None:
        """`revision` is the sender's revision number of the source text in force after it."""
        self.version = version
        self.key = key
        self.digest = digest
        self.revision = revision

    def as_row(self) -> list:
        """Return the update as it is stored; the revision is left out if it equals the key."""
        if self.key == self.revision:
            return [self.version, self.key, self.digest]
        return [self.version, self.key, self.digest, self.revision]


def read_row(version: int, key: Any, digest: str, revision: int | None = None) -> CommittedUpdate:
    """Return the update of a row that `as_row` returned."""
    return CommittedUpdate(version, key, digest, key if revision is None else revision)


def has_history(record: Record) -> bool:
    """Whether a record has a history; one of an earlier version of this program hasn't."""
    return HISTORY_FIELD in record


def read_history(record: Record | None) -> list[CommittedUpdate]:
    """Return the updates in the history of a record, oldest first."""
    return [read_row(*row) for row in (record or {}).get(HISTORY_FIELD, ())]


def extend_history(record: Record | None, update: CommittedUpdate) -> list[list]:
    """Return the history rows of the record that follows this one by the update."""
    rows = (record or {}).get(HISTORY_FIELD, [])
    return [*rows, update.as_row()][-KEPT_UPDATES:]


def find_update(record: Record | None, key: UpdateKey) -> CommittedUpdate | None:
    """Return the update with this key from the history, None if it isn't there."""
    return next((update for update in read_history(record) if update.key == key), None)


def covers_version(record: Record | None, version: int) -> bool:
    """Whether the history is complete for this version."""
    if record is None:
        return True
    history = read_history(record)
    return version >= (history[0].version if history else version_of(record) + 1)


def covers_revision(record: Record | None, revision: int) -> bool:
    """Whether a source text of this revision that isn't in the history was never committed."""
    if record is None:
        return True
    history = read_history(record)
    if history and history[0].version == 1:
        return True
    oldest = history[0].revision if history else revision_of(record)
    return revision > oldest
