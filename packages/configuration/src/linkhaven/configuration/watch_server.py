"""The side of a replica in a watch: long polls of routers, held until there is something newer.

A document goes only to a router that asks this replica for it, as the changes to the one that the
router holds where these are shorter. Every other response carries the version and the digest, which
say that the configuration is in force.

| a poll is | when | then |
| --- | --- | --- |
| answered at once | it comes, and a newer version is in force | version and document |
| held | it comes, and nothing is newer | until one of the following |
| answered | a newer version comes into force | version and document |
| answered | a long hold, after `MIN_LONG_HOLD_US`, and a section is urgent | version and sections |
| answered | its hold is over, or `answer_all` | version and sections |
| replaced | the router polls again | the older one is never answered |

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
"""The least time between two reads of the register by a replica that may be behind."""

MIN_LONG_HOLD_US = 100_000
"""How long a long poll is held at least, also where a section is urgent."""

CHANGES_CACHE_SIZE = 16
"""The changes between so many pairs of documents are kept packed: many routers ask for them."""


class ServerNode(Protocol):
    """What the server needs of its node."""

    bounds: Any
    ports: Any
    map_handlers: dict[str, Callable[[dict[str, Any]], None]]
    systems: list[Callable[[int], None]]

    def now_us(self) -> int:
        """Return this node's monotonic time."""

    def send_untyped(self, address: str, say: str, **facts: Any) -> None:
        """Send a message as a map."""


class WatchedReplica(Protocol):
    """The replica of this node, with the register's newest record."""

    directory: Any
    replica_id: Any
    incarnation: int

    @property
    def is_voting(self) -> bool:
        """Whether it may vote now."""

    def register_state(self, key: str, /) -> Any:
        """Return what was accepted last under a key."""

    def is_known_chosen(self, key: str, /) -> bool:
        """Whether that is known to be chosen."""

    def all_incarnations(self) -> dict[str, int]:
        """Return the incarnation of each replica, as it is known here."""


class RegisterReader(Protocol):
    """The proposer, as far as it reads."""

    def read(self, key: str, on_result: Callable[[str, Any], None], /) -> None:
        """Call `on_result(outcome, value)` with the newest value that a majority has accepted."""


class QuorumContact(Protocol):
    """Whether a majority of the replicas was heard from lately."""

    def is_held(self) -> bool:
        """Whether it was."""


class ServerSections(Protocol):
    """The other parts of a controller that talk with routers inside of watch messages."""

    def on_watch_request(self, message: Sections) -> None:
        """Take the sections of a request, as soon as it comes."""

    def add_watch_sections(self, request: Sections, response: Sections) -> None:
        """Add sections to a response."""

    def is_watch_urgent(self, request: Sections) -> bool:
        """Whether the router lacks something that can't wait for the end of a long hold."""


class Poll:
    """One poll that is held."""

    __slots__ = ("request", "message", "until_us", "urgent_us")

    def __init__(self, request: WatchRequest, message: Sections, now_us: int, hold_us: int) -> None:
        """`message` is the request as it came, with its sections."""
        self.request = request
        self.message = message
        self.until_us = now_us + hold_us
        self.urgent_us = now_us + min(MIN_LONG_HOLD_US, hold_us)


class WatchServer:
    """Owns the polls that are held, one a router; nothing of it outlives the process."""

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
        node.systems.append(self.on_tick)

    # what is in force

    def _record(self) -> Record | None:
        return self.replica.register_state(REGISTER_KEY).value

    def held_version(self) -> int:
        """Return the version that this replica accepted last."""
        return version_of(self._record())

    def is_current(self) -> bool:
        """Whether what this replica has may be handed out as in force.

        It is the newest known, and a majority was heard lately: without that a newer one could be
        in force. Test: the sabotage `serve_without_contact`.
        """
        return self._is_newest_known() and self.contact.is_held()

    def _is_newest_known(self) -> bool:
        return (
            self.replica.is_voting
            and self.replica.is_known_chosen(REGISTER_KEY)
            and self.snapshot.highest_version <= self.held_version()
            and self.blobs.has(self._record())
        )

    # polls

    def on_watch_request(self, message: Sections) -> None:
        """Hold a poll, or answer it where a newer version is in force."""
        now_us = self.polled_us = self.node.now_us()
        request = read_watch_request(message)
        self.replica.directory.learn_incarnations(request.known)
        self.sections.on_watch_request(message)
        usual_us = self.node.bounds.news_hold_us
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
        """Answer the polls for which a newer version is in force."""
        for poll in list(self.polls.values()):
            if self._has_newer_for(poll.request):
                self._answer(poll)

    def answer_all(self) -> None:
        """Answer all polls now, whatever there is to say."""
        for poll in list(self.polls.values()):
            self._answer(poll)

    def shorten_holds(self) -> None:
        """End long holds soon, each at its own moment.

        Answered together, routers would go on polling together, and place by the same figures at
        the same time.
        """
        now_us, usual_us = self.node.now_us(), self.node.bounds.news_hold_us
        for poll in self.polls.values():
            if poll.request.hold_us is not UNSET:
                soon_us = now_us + self.node.ports.random.randrange(usual_us)
                poll.until_us = min(poll.until_us, soon_us)

    def on_tick(self, now_us: int) -> None:
        """Answer polls whose hold is over, and read the register where this replica is behind."""
        if not self._is_newest_known() and self.replica.is_voting:
            self._read(now_us)
        for poll in list(self.polls.values()):
            if now_us >= poll.until_us or self._is_urgent(poll, now_us):
                self._answer(poll)

    def _is_urgent(self, poll: Poll, now_us: int) -> bool:
        """Whether a router that asked for a long hold must be told something before its end."""
        return (
            poll.request.hold_us is not UNSET
            and now_us >= poll.urgent_us
            and self.sections.is_watch_urgent(poll.message)
        )

    # responses

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
        """Return the packed changes between two documents, None where the whole is no longer."""
        if not self.blobs.has_blob(base):
            return None
        key = (base, digest)
        if key not in self.changes:
            packed, whole = self.blobs.packed[base], self.blobs.packed[digest]
            old, new = read_json(open_blob(base, packed)), read_json(open_blob(digest, whole))
            changes = pack_blob(diff_of(old, new).write())
            self.changes[key] = changes if len(changes) < len(whole) else None
        return self.changes[key]

    # reading the register

    def _read(self, now_us: int) -> None:
        """Learn from a majority what is in force; one read at a time."""
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
