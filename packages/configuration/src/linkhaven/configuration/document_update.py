"""An order to change the document of another door, and whether it may be taken."""

from linkhaven.api import ServiceError

from .history import find_update, knows_revision


class DocumentUpdate:
    """One order: a whole document, or a patch of the one in force.

    `base` and `revision` are its sender's numbers of the document that it builds on and of the one
    that it makes; `digest` tells it from another order under the same number. `make(held)` gives
    the document and its plan; where `needs_bodies`, `held` is the document in force. `document` is
    the text of a whole one, None of a patch.
    """

    __slots__ = ("base", "revision", "digest", "make", "needs_blobs", "document")

    def __init__(self, base, revision, digest):
        """Say what is ordered by `make`, next."""
        self.base = base
        self.revision = revision
        self.digest = digest
        self.make = None
        self.needs_blobs = False
        self.document = None

    @property
    def put_id(self):
        """Return the id of the change in logs and in the register."""
        return f"revision-{self.revision}"

    def is_taken(self, value):
        """Whether it was taken before; also by a version of this program that kept no history."""
        taken = find_update(value, self.revision)
        if taken is not None:
            return taken.digest == self.digest
        return (
            value is not None
            and self.document is not None
            and value.get("revision") == self.revision
            and value.get("document") == self.document
        )

    def refusal(self, value):
        """Return why it isn't taken, where the history has no row of it; None where it may be."""
        held = (value or {}).get("revision") or 0
        if held == self.base:
            return self._refusal_as_old(held)
        is_found = find_update(value, self.revision) is not None
        may_be_taken = self.base < self.revision <= held and not is_found
        if may_be_taken and not knows_revision(value, self.revision):
            return ServiceError("put_unknown", put_id=self.put_id)
        return ServiceError("revision_conflict", base=self.base, revision=held)

    def _refusal_as_old(self, held):
        if self.revision > held:
            return None
        return ServiceError("revision_old", given=self.revision, revision=held)
