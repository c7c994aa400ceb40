"""The committed updates that a record remembers, so that a resubmitted one is answered as before.

A sender whose answer was lost submits the same update again, also after others were committed on
top of it. The record therefore carries one small row for each update, newest last: the version
that it got, its key, the digest of what was submitted, and the sender's revision in force after
it. Versions and revisions only rise, so the oldest row says how far back the history knows
everything. Test: `test_without_the_history_a_winner_that_is_sent_late_is_refused`.
"""

import hashlib
import json
from typing import Any

from .records import Record, revision_of, version_of

KEPT_UPDATES = 128
"""Rows that a record keeps: each vote carries them all."""

DIGEST_DIGITS = 24
UPDATE_DIGEST_DIGITS = 16
HISTORY_FIELD = "taken"

UpdateKey = int | str
"""What an update is known by: the revision of a source text, or the id of one of our commands."""


def digest_of(text: str) -> str:
    """Return the name of a text by its content, in hexadecimal digits of SHA-256."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]


def digest_of_update(text: str) -> str:
    """Tell two updates under one key apart; shorter, since each vote carries many."""
    return digest_of(text)[:UPDATE_DIGEST_DIGITS]


def digest_of_json(document: Any) -> str:
    """Return the same of a document in JSON, however its members are ordered."""
    return digest_of_update(json.dumps(document, sort_keys=True, separators=(",", ":")))


class CommittedUpdate:
    """One update that was acknowledged, or may have been."""

    __slots__ = ("version", "key", "digest", "revision")

    def __init__(self, version: int, key: UpdateKey, digest: str, revision: int) -> None:
        """`revision` is the sender's number of the source text that is in force after it."""
        self.version = version
        self.key = key
        self.digest = digest
        self.revision = revision

    def as_row(self) -> list:
        """Return the update as the record keeps it, as short as it can be."""
        if self.key == self.revision:
            return [self.version, self.key, self.digest]
        return [self.version, self.key, self.digest, self.revision]


def read_row(version: int, key: Any, digest: str, revision: int | None = None) -> CommittedUpdate:
    """Read the fields of a row that `as_row` wrote."""
    return CommittedUpdate(version, key, digest, key if revision is None else revision)


def has_history(record: Record) -> bool:
    """Whether a record keeps a history; one of an earlier version of this program doesn't."""
    return HISTORY_FIELD in record


def read_history(record: Record | None) -> list[CommittedUpdate]:
    """Return the updates that a record remembers, oldest first."""
    return [read_row(*row) for row in (record or {}).get(HISTORY_FIELD, ())]


def extend_history(record: Record | None, update: CommittedUpdate) -> list[list]:
    """Return the rows of the record that the update makes of this one."""
    rows = (record or {}).get(HISTORY_FIELD, [])
    return [*rows, update.as_row()][-KEPT_UPDATES:]


def find_update(record: Record | None, key: UpdateKey) -> CommittedUpdate | None:
    """Return the update as it was committed, None where the history has no row of it."""
    return next((update for update in read_history(record) if update.key == key), None)


def knows_version(record: Record | None, version: int) -> bool:
    """Whether the history tells which update, if any, got this version."""
    if record is None:
        return True
    history = read_history(record)
    return version >= (history[0].version if history else version_of(record) + 1)


def knows_revision(record: Record | None, revision: int) -> bool:
    """Whether a source text under this number that isn't in the history surely wasn't committed."""
    if record is None:
        return True
    history = read_history(record)
    if history and history[0].version == 1:
        return True
    oldest = history[0].revision if history else revision_of(record)
    return revision > oldest
