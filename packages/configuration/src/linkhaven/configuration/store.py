"""Reads the newest configuration from the consensus register and commits updates to it.

An update is a compare-and-set of the whole record in one Paxos proposal (Lamport, Paxos Made
Simple, 2.2): the proposer reads the newest value from a majority and calls back here to get the
next value.

| outcome of the proposal | meaning | result |
| --- | --- | --- |
| `chosen` | the updated record, or one that already contains the update, is chosen | the version |
| `stopped` | the update can't be committed on the record that was found | its rejection |
| `unknown` | may still be chosen: the sender resubmits the update unchanged | `put_unknown` |
| other | no majority answered, nothing was accepted | `core_unready` |
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.api import ServiceError
from linkhaven.consensus import Outcome, UpdateAction

from .blobs import name_blobs
from .document_update import MakeDocument, patch_update, replacement
from .history import CommittedUpdate, extend_history, find_update
from .records import (
    REGISTER_KEY,
    Record,
    digests_of,
    new_record,
    version_of,
)
from .snapshot import ConfigurationSnapshot
from .updates import ConfigurationUpdate, Contents

FETCH_ATTEMPTS = 3
"""How often an update is proposed if blobs that it depends on are missing here."""

RETRY_AFTER_US = 1_000_000
"""The retry delay that is returned if an update can't be decided now."""

ReadDone = Callable[[ServiceError | None, Any], Any]
"""Called once, with an error and None, or with None and the result."""


class EventLog(Protocol):
    """Logs events by their numbers in `linkhaven.api.events`."""

    def log(self, number: int, **facts: Any) -> None:
        """Log one event."""


class StoreNode(Protocol):
    """What the store requires of its node."""

    ports: EventLog


class Register(Protocol):
    """The proposer of the consensus register."""

    def propose(
        self, key: str, update: Callable[[Any], tuple[str, Any]], on_result: Callable, /
    ) -> None:
        """Propose what `update` returns for the newest value; call `on_result(outcome, value)`."""

    def read(self, key: str, on_result: Callable, /) -> None:
        """Call `on_result(outcome, value)` with the newest value that a majority has accepted."""


class Blobs(Protocol):
    """What the configuration store requires of the blob store."""

    def has(self, record: Record) -> bool:
        """Whether all blobs that the record names are here."""

    def document_of(self, record: Record) -> dict:
        """Return the document of a record whose blobs are here."""

    def source_text_of(self, record: Record) -> str | None:
        """Return the source text of a record whose blobs are here."""

    def expanded(self, record: Record) -> dict:
        """Return the record with its document and source text included."""

    def with_document(self, record: Record) -> dict:
        """Return the record with its document included."""


class Exchange(Protocol):
    """Fetches blobs and sends them to the replicas."""

    def fetch_blobs(self, record: Record, on_fetched: Callable[[bool], Any]) -> None:
        """Fetch missing blobs of a record; call `on_fetched` with whether all are here."""

    def send_texts(self, texts: list[str]) -> None:
        """Store texts and send them to all replicas, ahead of the accept that names them."""


class CommitResult:
    """The result of a committed update, also of one that was committed before."""

    __slots__ = ("version", "key")

    def __init__(self, version: int, key: int | str) -> None:
        """`key` is the sender's revision number, or the id of its command."""
        self.version = version
        self.key = key


def missing_blobs_error() -> ServiceError:
    """Return the error for a newest record whose blobs can't be fetched now."""
    return ServiceError(
        "core_unready", done="no", retry_us=RETRY_AFTER_US, why="no seat gave the body of the plan"
    )


class Commit:
    """The commit of one update, with retries while blobs are missing."""

    __slots__ = ("store", "update", "on_result", "attempts_left", "missing")

    def __init__(
        self, store: "ConfigurationStore", update: ConfigurationUpdate, on_result: ReadDone
    ) -> None:
        """`on_result(error, result)` is called once, with a `CommitResult` on success."""
        self.store = store
        self.update = update
        self.on_result = on_result
        self.attempts_left = FETCH_ATTEMPTS
        self.missing: Record | None = None

    def start(self) -> None:
        """Propose the update on the newest record."""
        self.missing = None
        self.store.proposer.propose(REGISTER_KEY, self._apply, self._on_outcome)

    def _apply(self, record: Record | None) -> tuple[str, Any]:
        """Return the action and value for the record; called in each round of the proposal."""
        if self.update.is_committed(record):
            return UpdateAction.KEEP, None
        rejection = self.update.rejection(record)
        if rejection is not None:
            return UpdateAction.STOP, rejection
        blobs = self.store.blobs
        if self.update.needs_blobs and record is not None and not blobs.has(record):
            self.missing = record
            return UpdateAction.STOP, missing_blobs_error()
        try:
            contents = self.update.contents(record, blobs)
        except ServiceError as error:
            return UpdateAction.STOP, error
        return UpdateAction.SET, self._next_record(record, contents)

    def _next_record(self, record: Record | None, contents: Contents) -> dict[str, Any]:
        """Return the updated record, after sending its new blobs to all replicas.

        Blobs are sent ahead of the accept, so that replicas have them when they vote.
        """
        update = self.update
        digests, texts = name_blobs(contents.document, contents.source_text)
        known = digests_of(record)
        self.store.exchange.send_texts(
            [text for digest, text in texts.items() if digest not in known]
        )
        version = version_of(record) + 1
        committed = CommittedUpdate(version, update.key, update.digest, contents.revision)
        history = extend_history(record, committed)
        return new_record(
            version, update.update_id, digests, contents.revision, contents.overlay, history
        )

    def _on_outcome(self, outcome: str, value: Any) -> None:
        if outcome == Outcome.STOPPED and self.missing is not None and value.code == "core_unready":
            return self.store.exchange.fetch_blobs(self.missing, self._on_fetched)
        self.store.log_outcome(outcome, value, self.update)
        if outcome != Outcome.CHOSEN:
            return self.on_result(self._error_of(outcome, value), None)
        self.store.publish(value)
        committed = find_update(value, self.update.key)
        version = committed.version if committed is not None else version_of(value)
        self.on_result(None, CommitResult(version, self.update.key))

    def _on_fetched(self, has_all: bool) -> None:
        self.attempts_left -= 1
        if not has_all or self.attempts_left == 0:
            return self.on_result(missing_blobs_error(), None)
        self.start()

    def _error_of(self, outcome: str, value: Any) -> ServiceError:
        if outcome == Outcome.STOPPED:
            return value
        if outcome == Outcome.UNKNOWN:
            return ServiceError(
                "put_unknown", retry_us=RETRY_AFTER_US, put_id=self.update.update_id
            )
        return ServiceError("core_unready", retry_us=RETRY_AFTER_US, why=value)


class ConfigurationStore:
    """Reads and writes the configuration that a majority of the replicas has accepted.

    It owns no state: the register holds the record, the blob store the blobs, and the snapshot what
    this node knows to be in force. Each record that is read or committed here is published to the
    snapshot.
    """

    __slots__ = ("node", "proposer", "blobs", "exchange", "snapshot")

    def __init__(
        self,
        node: StoreNode,
        proposer: Register,
        blobs: Blobs,
        exchange: Exchange,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """`node` logs events; the other parameters are the parts described above."""
        self.node = node
        self.proposer = proposer
        self.blobs = blobs
        self.exchange = exchange
        self.snapshot = snapshot

    def read_record(self, on_result: ReadDone) -> None:
        """Call `on_result(error, record)` with the expanded record that a majority has accepted.

        The record is None before the first update. If its blobs can't be fetched, the result is
        an error: a record is never shown in part.
        """

        def on_read(outcome: str, record: Any) -> None:
            if outcome != Outcome.CHOSEN:
                error = ServiceError("core_unready", done="no", retry_us=RETRY_AFTER_US, why=record)
                return on_result(error, None)
            if record is None:
                return on_result(None, None)
            self.exchange.fetch_blobs(record, lambda has_all: on_fetched(has_all, record))

        def on_fetched(has_all: bool, record: Record) -> None:
            if not has_all:
                return on_result(missing_blobs_error(), None)
            self.publish(record)
            on_result(None, self.blobs.expanded(record))

        self.proposer.read(REGISTER_KEY, on_read)

    def commit(self, update: ConfigurationUpdate, on_result: ReadDone) -> None:
        """Commit an update; call `on_result(error, result)` once, see `Commit`."""
        Commit(self, update, on_result).start()

    def put_document(
        self, base: int, revision: int, source_text: str, document: dict, on_result: ReadDone
    ) -> None:
        """Commit an operator's source text as replacement of the one of revision `base`."""
        self.commit(replacement(base, revision, source_text, document), on_result)

    def patch_document(
        self, base: int, revision: int, patch: str, merge: MakeDocument, on_result: ReadDone
    ) -> None:
        """Commit a patch of the source text of revision `base`.

        `merge(source_text)` returns the next text and its document, or raises ServiceError; the
        argument is None if no text is in force.
        """
        self.commit(patch_update(base, revision, patch, merge), on_result)

    def publish(self, record: Record) -> None:
        """Put a chosen record into the snapshot as soon as its document is here.

        The node that made an update has the document; one that was sent it again may not.
        """
        if not self.snapshot.is_newer(record):
            return

        def on_fetched(has_all: bool) -> None:
            if has_all:
                self.snapshot.take(self.blobs.with_document(record))

        self.exchange.fetch_blobs(record, on_fetched)

    def log_outcome(self, outcome: str, value: Any, update: ConfigurationUpdate) -> None:
        """Log the outcome of an update."""
        log = self.node.ports.log
        if outcome == Outcome.CHOSEN:
            log(1301, mark=version_of(value), put_id=update.update_id)
        elif outcome == Outcome.STOPPED:
            log(1302, expect=update.expected, code=value.code)
        elif outcome == Outcome.UNKNOWN:
            log(1303, expect=update.expected, put_id=update.update_id)
