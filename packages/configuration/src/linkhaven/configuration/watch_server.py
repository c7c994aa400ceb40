"""The replica's side of a watch: long polls of routers, held until there is a newer version.

Only a router that requests the document from this replica is sent it, as changes to the document
that the router has if these are smaller. All other responses contain the version and the digest,
which confirm that the configuration is in force.

| event | action on a poll | response |
| --- | --- | --- |
| it arrives, and a newer version is in force | answered at once | version and document |
| it arrives, and no version is newer | held until one of the following | |
| a newer version comes into force | answered | version and document |
| a section is urgent, after `MIN_LONG_HOLD_US` of a long hold | answered | version and sections |
| its hold is over, or `answer_all` | answered | version and sections |
| the router polls again | replaced | none |

A replica that isn't current (it doesn't vote, knows of a newer version, lacks the document, or has
lost contact with a majority) answers with `is_current` false, which confirms nothing.
"""

from collections.abc import Callable
from typing import Any, Protocol

from cachetools import LRUCache
from msgspec import UNSET

from linkhaven.consensus import Outcome
from linkhaven.runtime import read_json

from .blobs import BlobStore
from .changes import diff_of
from .messages import (
    WATCH_REQUEST,
    WATCH_RESPONSE,
    Sections,
    WatchRequest,
    add_blob,
    add_changes,
    add_digest,
    add_whole_record,
    begin_watch_response,
    read_watch_request,
)
from .packing import open_blob, pack_blob
from .records import REGISTER_KEY, Record, published_record, version_of
from .snapshot import ConfigurationSnapshot

READ_RETRY_US = 100_000
"""The minimum time between two register reads of a replica that may be behind."""

MIN_LONG_HOLD_US = 100_000
"""The minimum hold of a poll with a long hold, also if a section is urgent."""

CHANGES_CACHE_SIZE = 16
"""Pairs of documents whose packed changes are cached, since many routers request them."""


class ServerNode(Protocol):
    """What the server requires of its node."""

    bounds: Any
    ports: Any
    map_handlers: dict[str, Callable[[dict[str, Any]], None]]
    tick_handlers: list[Callable[[int], None]]

    def now_us(self) -> int:
        """Return this node's monotonic time."""

    def send_untyped(self, address: str, say: str, **facts: Any) -> None:
        """Send a message as a map."""


class WatchedReplica(Protocol):
    """The replica of this node, with the record that it accepted last."""

    directory: Any
    replica_id: Any
    incarnation: int

    @property
    def is_voting(self) -> bool:
        """Whether it may vote now."""

    def register_state(self, key: str, /) -> Any:
        """Return the state of the register with this key; `value` was accepted last."""

    def is_known_chosen(self, key: str, /) -> bool:
        """Whether the value accepted last is known to be chosen."""

    def all_incarnations(self) -> dict[str, int]:
        """Return the newest known incarnation of each replica, by replica id."""


class RegisterReader(Protocol):
    """Reads the consensus register; implemented by the proposer."""

    def read(self, key: str, on_result: Callable[[str, Any], None], /) -> None:
        """Call `on_result(outcome, value)` with the newest value that a majority has accepted."""


class QuorumContact(Protocol):
    """Recent contact with a majority of the replicas."""

    def is_held(self) -> bool:
        """Whether a majority of the replicas has answered recently."""


class ServerSections(Protocol):
    """The controller's sections in watch messages, for its other parts."""

    def on_watch_request(self, message: Sections) -> None:
        """Process the sections of a request when it arrives."""

    def add_watch_sections(self, request: Sections, response: Sections) -> None:
        """Add sections to a response."""

    def is_watch_urgent(self, request: Sections) -> bool:
        """Whether a section for this router can't wait for the end of a long hold."""


class Poll:
    """One held poll; `until_us` is the end of its hold, `urgent_us` that of its minimum hold."""

    __slots__ = ("request", "message", "until_us", "urgent_us")

    def __init__(self, request: WatchRequest, message: Sections, now_us: int, hold_us: int) -> None:
        """`message` is the request as received, with its sections."""
        self.request = request
        self.message = message
        self.until_us = now_us + hold_us
        self.urgent_us = now_us + min(MIN_LONG_HOLD_US, hold_us)


class WatchServer:
    """Owns the held polls, one for each router; its state isn't persistent."""

    __slots__ = (
        "node",
        "replica",
        "proposer",
        "snapshot",
        "blobs",
        "contact",
        "sections",
        "polls",
        "polled_us",
        "is_reading",
        "read_us",
        "changes",
    )

    def __init__(
        self,
        node: ServerNode,
        replica: WatchedReplica,
        proposer: RegisterReader,
        snapshot: ConfigurationSnapshot,
        blobs: BlobStore,
        contact: QuorumContact,
        sections: ServerSections,
    ) -> None:
        """Register the handler of requests and the timer."""
        self.node = node
        self.replica = replica
        self.proposer = proposer
        self.snapshot = snapshot
        self.blobs = blobs
        self.contact = contact
        self.sections = sections
        self.polls: dict[str, Poll] = {}
        self.polled_us = node.now_us()
        self.is_reading = False
        self.read_us = 0
        self.changes: LRUCache = LRUCache(CHANGES_CACHE_SIZE)
        node.map_handlers[WATCH_REQUEST] = self.on_watch_request
        node.tick_handlers.append(self.on_tick)

    # State of this replica

    def _record(self) -> Record | None:
        return self.replica.register_state(REGISTER_KEY).value

    def held_version(self) -> int:
        """Return the version that this replica accepted last."""
        return version_of(self._record())

    def is_current(self) -> bool:
        """Whether the record of this replica may be sent to routers as the one in force.

        It must be the newest known, and a majority must have answered recently: otherwise a newer
        one could be in force. Test: the sabotage `serve_without_contact`.
        """
        return self._is_newest_known() and self.contact.is_held()

    def _is_newest_known(self) -> bool:
        return (
            self.replica.is_voting
            and self.replica.is_known_chosen(REGISTER_KEY)
            and self.snapshot.highest_version <= self.held_version()
            and self.blobs.has(self._record())
        )

    # Polls

    def on_watch_request(self, message: Sections) -> None:
        """Hold a poll, or answer it at once if a newer version is in force."""
        now_us = self.polled_us = self.node.now_us()
        request = read_watch_request(message)
        self.replica.directory.learn_incarnations(request.known)
        self.sections.on_watch_request(message)
        usual_us = self.node.bounds.long_poll_hold_us
        hold_us = usual_us if request.hold_us is UNSET else request.hold_us
        poll = Poll(request, message, now_us, hold_us)
        if request.version > self.held_version():
            self.snapshot.observe_version(request.version)
        self.polls[request.reply_to] = poll
        if self._has_newer_for(request):
            self._answer(poll)

    def _has_newer_for(self, request: WatchRequest) -> bool:
        if not self.is_current():
            return False
        known = request.version
        if request.wants_document is False and request.heard_version is not UNSET:
            known = max(known, request.heard_version)
        return self.held_version() > known

    def answer_waiting(self) -> None:
        """Answer the held polls of routers with an older version than the one in force."""
        for poll in list(self.polls.values()):
            if self._has_newer_for(poll.request):
                self._answer(poll)

    def answer_all(self) -> None:
        """Answer all held polls now, also without a newer version."""
        for poll in list(self.polls.values()):
            self._answer(poll)

    def shorten_holds(self) -> None:
        """End long holds within `long_poll_hold_us`, each at a random time.

        Routers that were answered together would go on polling together, and would place requests
        by the same load data at the same time.
        """
        now_us, usual_us = self.node.now_us(), self.node.bounds.long_poll_hold_us
        for poll in self.polls.values():
            if poll.request.hold_us is not UNSET:
                soon_us = now_us + self.node.ports.random.randrange(usual_us)
                poll.until_us = min(poll.until_us, soon_us)

    def on_tick(self, now_us: int) -> None:
        """Answer polls whose hold is over; read the register if this replica may be behind."""
        if not self._is_newest_known() and self.replica.is_voting:
            self._read(now_us)
        for poll in list(self.polls.values()):
            if now_us >= poll.until_us or self._is_urgent(poll, now_us):
                self._answer(poll)

    def _is_urgent(self, poll: Poll, now_us: int) -> bool:
        """Whether a poll with a long hold must be answered before its end."""
        return (
            poll.request.hold_us is not UNSET
            and now_us >= poll.urgent_us
            and self.sections.is_watch_urgent(poll.message)
        )

    # Responses

    def _answer(self, poll: Poll) -> None:
        request = poll.request
        if self.polls.get(request.reply_to) is poll:
            del self.polls[request.reply_to]
        is_current = self.is_current()
        record = self._record()
        response = begin_watch_response(
            request.id,
            self.replica.replica_id,
            self.replica.incarnation,
            is_current,
            version_of(record),
            self.replica.all_incarnations(),
        )
        if is_current and record and version_of(record) > request.version:
            self._add_document(request, record, response)
        self.sections.add_watch_sections(poll.message, response)
        self.node.send_untyped(request.reply_to, WATCH_RESPONSE, **response)

    def _add_document(self, request: WatchRequest, record: Record, response: Sections) -> None:
        if request.wants_document is UNSET:
            return add_whole_record(response, self.blobs.with_document(record))
        digest, packed = self.blobs.packed_document(record)
        add_digest(response, digest)
        if not request.wants_document:
            return
        published = published_record(record, digest)
        base = request.held_digest
        changes = None if base is UNSET else self._packed_changes(base, digest)
        if base is UNSET or changes is None:
            add_blob(response, published, packed)
        else:
            add_changes(response, published, base, changes)

    def _packed_changes(self, base: str, digest: str) -> str | None:
        """Return the packed changes between two documents, None if the whole isn't larger."""
        if not self.blobs.has_blob(base):
            return None
        key = (base, digest)
        if key not in self.changes:
            packed, whole = self.blobs.packed[base], self.blobs.packed[digest]
            old, new = read_json(open_blob(base, packed)), read_json(open_blob(digest, whole))
            changes = pack_blob(diff_of(old, new).write())
            self.changes[key] = changes if len(changes) < len(whole) else None
        return self.changes[key]

    # Register reads

    def _read(self, now_us: int) -> None:
        """Read the record in force from a majority; one read at a time."""
        if self.is_reading or now_us - self.read_us < READ_RETRY_US:
            return
        self.is_reading = True
        self.read_us = now_us
        self.proposer.read(REGISTER_KEY, self._on_read)

    def _on_read(self, outcome: str, record: Any) -> None:
        self.is_reading = False
        if outcome != Outcome.CHOSEN:
            return
        if self.snapshot.is_newer(record) and self.blobs.has_document(record):
            self.snapshot.take(self.blobs.with_document(record))
        self.answer_waiting()
