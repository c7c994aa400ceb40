"""The orders that were taken, as the register's value remembers them.

An order whose answer was lost is sent again as it was, also after other changes were made on top
of it. The value of the plan key therefore carries one small row for each change, newest last: the
mark that the change got, its order, the digest of what was ordered, and the sender's revision that
was in force after it. Marks and revisions only rise, so the oldest row says how far back the
history knows everything."""

import hashlib
import json

KEPT_UPDATES = 128
DIGEST_DIGITS = 24
ORDER_DIGITS = 16


def digest_of(text):
    """A name for a text that no other text has."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]


def digest_of_update(text):
    """Tells two orders under one number or id apart; shorter, since each vote carries many."""
    return digest_of(text)[:ORDER_DIGITS]


def digest_of_json(document):
    """The same of a document in JSON, however its members are ordered."""
    return digest_of_update(json.dumps(document, sort_keys=True, separators=(",", ":")))


class CommittedUpdate:
    """One change that was acknowledged, or may have been.

    `order` is what its sender calls it: the number of a document, or the id of a put of our own."""

    __slots__ = ("mark", "order", "digest", "revision")

    def __init__(self, mark, order, digest, revision):
        """`revision` is the sender's number of the document that is in force after it."""
        self.mark = mark
        self.order = order
        self.digest = digest
        self.revision = revision

    def as_row(self):
        """As short as it can be: each vote carries all rows."""
        if self.order == self.revision:
            return [self.mark, self.order, self.digest]
        return [self.mark, self.order, self.digest, self.revision]


def read_row(mark, order, digest, revision=None):
    """What as_row wrote."""
    return CommittedUpdate(mark, order, digest, order if revision is None else revision)


def read_history(value):
    """The orders that a value of the plan key remembers, oldest first."""
    return [read_row(*row) for row in (value or {}).get("taken", ())]


def extend_history(value, taken):
    """The rows of the next value: those of the value before it and the order that it takes."""
    rows = (value or {}).get("taken", [])
    return [*rows, taken.as_row()][-KEPT_UPDATES:]


def find_update(value, order):
    """The order as it was taken, or None where the history has no row of it."""
    return next((taken for taken in read_history(value) if taken.order == order), None)


def knows_version(value, mark):
    """Whether the history tells which order, if any, got this mark."""
    if value is None:
        return True
    history = read_history(value)
    return mark >= (history[0].mark if history else value["mark"] + 1)


def knows_revision(value, revision):
    """Whether a document under this number that is not in the history was surely never taken."""
    if value is None:
        return True
    history = read_history(value)
    if history and history[0].mark == 1:
        return True
    oldest = history[0].revision if history else value.get("revision") or 0
    return revision > oldest
