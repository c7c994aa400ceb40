"""The router's side of a watch: one open long poll at each replica.

The version in force is confirmed as of the send time of the polls that a majority of the replicas
has answered. The document comes from the source, which is the nearest responsive replica; the
others only send its digest. If the source is silent or behind for `blob_wait_us` after another
replica has named a newer version, a replica that named it is polled for the document.

| state of a poll | event | action |
| --- | --- | --- |
| none sent | tick | sent |
| open | its response | processed, and the next poll is sent |
| open | another response | dropped: it belongs to an earlier poll |
| open | tick, hold and `RESPONSE_GRACE_US` are over | sent again |
| open, long hold | tick, the replica moved, or the hold would now be shorter | sent again |

| current response | version here | action |
| --- | --- | --- |
| contains the document | older | taken if it has its digest; replicas that named it confirm it |
| names a newer version | older | the document is missing: requested from replicas that named it |
| names the same version and digest | same | confirmed by this replica |
| names another digest | same | logged (1305), confirms nothing |
"""

import hashlib
from collections.abc import Callable
from functools import lru_cache
from typing import Any, Protocol

from msgspec import UNSET

from .confirmation import MajorityConfirmation
from .long_poll import LongPollHold
from .messages import (
    WATCH_REQUEST,
    WATCH_RESPONSE,
    Sections,
    WatchResponse,
    begin_watch_request,
    read_watch_response,
)
from .received import ReceivedConfiguration
from .records import Record
from .snapshot import ConfigurationSnapshot

RESPONSE_GRACE_US = 350_000
"""How long after the end of its hold a response may arrive before the poll is sent again."""

LEASE_HOLDER_SECTIONS = ("roster", "steward", "shares")
"""Sections that only lease holders send, by their names on the wire."""


class WatcherNode(Protocol):
    """What the watcher requires of its node."""

    name: str
    bounds: Any
    ports: Any
    map_handlers: dict[str, Callable[[dict[str, Any]], None]]
    tick_handlers: list[Callable[[int], None]]

    def now_us(self) -> int:
        """Return this node's monotonic time."""

    def send_untyped(self, address: str, say: str, **facts: Any) -> None:
        """Send a message as a map."""


class ReplicaDirectory(Protocol):
    """The addresses and zones of the replicas."""

    me: Any

    def replicas(self) -> dict[str, tuple[str, int]]:
        """Return the address and incarnation of each replica, by replica id."""

    def replica_members(self) -> dict[str, Any]:
        """Return the cluster member that runs each replica, by replica id."""

    def learn_incarnations(self, known: dict[str, int], /) -> None:
        """Record newer incarnations of replicas."""


class WatcherSections(Protocol):
    """The router's sections in watch messages, for its other parts."""

    def add_watch_sections(self, request: Sections, replica_id: str) -> None:
        """Add sections to a poll of a replica."""

    def needs_larger_share(self) -> bool:
        """Whether this router waits for a larger share than it has."""

    def on_watch_response(self, response: Sections, sent_us: int) -> None:
        """Process the sections of a response to a poll that was sent at `sent_us`."""


@lru_cache(maxsize=1024)
def rendezvous_rank(router: str, replica_id: str) -> bytes:
    """Return the sort key of a replica among equally near ones, for one router.

    Rendezvous hashing (highest random weight; Thaler & Ravishankar, 1998) spreads the routers over
    the replicas.
    """
    return hashlib.blake2b(f"{router}/{replica_id}".encode(), digest_size=4).digest()


class ReplicaPoll:
    """The poll at one replica; `request_id` is None while no poll is open."""

    __slots__ = ("request_id", "sent_us", "hold_us", "destination", "answered_us")

    def __init__(self, now_us: int) -> None:
        """Start without an open poll."""
        self.request_id: str | None = None
        self.sent_us = 0
        self.hold_us = 0
        self.destination: tuple[str, int] | None = None
        """The address and incarnation of the replica that it was sent to."""

        self.answered_us = now_us
        """When the replica last responded; before that, when it was first polled."""


class MissingDocument:
    """A newer version that replicas have named and whose document hasn't arrived yet."""

    __slots__ = ("version", "named_by", "tried", "request_us")

    def __init__(self, version: int, request_us: int) -> None:
        """`request_us` is when to request it from a replica that named it."""
        self.version = version
        self.named_by: dict[str, tuple[str | None, int, int]] = {}
        """By replica: the digest that it named, when its poll was sent, and its incarnation."""

        self.tried: set[str] = set()
        self.request_us = request_us


class ConfigurationWatcher:
    """Owns the open polls and the missing document; its state isn't persistent."""

    __slots__ = (
        "node",
        "directory",
        "snapshot",
        "sections",
        "polls",
        "serial",
        "confirmation",
        "missing",
        "received",
        "hold",
    )

    def __init__(
        self,
        node: WatcherNode,
        directory: ReplicaDirectory,
        snapshot: ConfigurationSnapshot,
        sections: WatcherSections,
        majority: int,
        count_routers: Callable[[], int],
    ) -> None:
        """Register the handler of responses and the timer.

        `count_routers()` returns the number of running routers, see `LongPollHold`.
        """
        self.node = node
        self.directory = directory
        self.snapshot = snapshot
        self.sections = sections
        self.polls: dict[str, ReplicaPoll] = {}
        self.serial = 0
        self.confirmation = MajorityConfirmation(majority)
        self.missing: MissingDocument | None = None
        self.received = ReceivedConfiguration(node.ports, snapshot)
        self.hold = LongPollHold(node.bounds, count_routers)
        node.map_handlers[WATCH_RESPONSE] = self.on_watch_response
        node.tick_handlers.append(self.on_tick)

    # Freshness

    def has_confirmation(self) -> bool:
        """Whether a majority has confirmed any version since the start."""
        return self.confirmation.confirmed_us is not None

    def is_fresh(self) -> bool:
        """Whether requests may be served by the configuration here.

        If `plan_stale_us` is set, a majority must have confirmed it within that time.
        """
        if self.snapshot.configuration is None:
            return False
        stale_us = self.node.bounds.plan_stale_us
        return stale_us is None or self.is_newest_within(stale_us)

    def is_confirmed_within(self, age_us: int) -> bool:
        """Whether a majority has confirmed the version as of at most `age_us` ago."""
        confirmed_us = self.confirmation.confirmed_us
        return confirmed_us is not None and self.node.now_us() - confirmed_us <= age_us

    def is_newest_within(self, age_us: int) -> bool:
        """Whether it was confirmed within `age_us` and no newer version is known."""
        return not self.snapshot.is_behind and self.is_confirmed_within(age_us)

    def packed_configuration(self) -> tuple[Record, str] | None:
        """Return the published record and its packed document, None before the first."""
        return self.received.packed_configuration()

    # Polls

    def _poll(
        self,
        replica_id: str,
        destination: tuple[str, int],
        now_us: int,
        wants_document: bool | None = None,
    ) -> None:
        """Send a poll; `wants_document` None requests the document if the replica is the source."""
        poll = self.polls.get(replica_id)
        if poll is None:
            poll = self.polls[replica_id] = ReplicaPoll(now_us)
        self.serial += 1
        poll.request_id = f"{self.serial}"
        poll.sent_us = now_us
        poll.destination = destination
        is_short = self.sections.needs_larger_share()
        poll.hold_us = self.hold.hold_us(replica_id, is_short, now_us)
        if wants_document is None:
            wants_document = self._is_source(replica_id, now_us)
        if wants_document and self.missing is not None:
            self.missing.tried.add(replica_id)
        fields = self._request_fields(poll, wants_document)
        self.sections.add_watch_sections(fields, replica_id)
        self.node.send_untyped(destination[0], WATCH_REQUEST, **fields)

    def _request_fields(self, poll: ReplicaPoll, wants_document: bool) -> Sections:
        version, missing = self.snapshot.version, self.missing
        may_build = wants_document and self.received.accepts_changes
        usual_us = self.node.bounds.long_poll_hold_us
        return begin_watch_request(
            poll.request_id or "",
            version,
            version if missing is None else missing.version,
            wants_document,
            {name: incarnation for name, (_, incarnation) in self.directory.replicas().items()},
            self.received.digest() if may_build else None,
            None if poll.hold_us == usual_us else poll.hold_us,
        )

    def _is_source(self, replica_id: str, now_us: int) -> bool:
        """Whether this replica is to send the document: the nearest that isn't silent."""
        nearest = self._by_nearness()
        answering = [other for other in nearest if not self._is_silent(other, now_us)]
        return replica_id == (answering or nearest)[0]

    def _is_silent(self, replica_id: str, now_us: int) -> bool:
        poll = self.polls.get(replica_id)
        if poll is None:
            return False
        longest_us = max(self.node.bounds.long_poll_hold_us, poll.hold_us) + RESPONSE_GRACE_US
        return now_us - poll.answered_us > longest_us

    def _by_nearness(self) -> list[str]:
        """Return the replicas in this router's zone first, then the others."""
        zone, name = self.directory.me.zone, self.node.name
        members = self.directory.replica_members()
        return sorted(
            members, key=lambda other: (members[other].zone != zone, rendezvous_rank(name, other))
        )

    def on_tick(self, now_us: int) -> None:
        """Repeat overdue polls, and request a missing document from another replica."""
        is_short = self.sections.needs_larger_share()
        for replica_id, destination in self.directory.replicas().items():
            poll = self.polls.get(replica_id)
            if poll is None or self._is_due(replica_id, poll, destination, is_short, now_us):
                self._poll(replica_id, destination, now_us)
        self._request_missing(now_us)

    def _is_due(
        self,
        replica_id: str,
        poll: ReplicaPoll,
        destination: tuple[str, int],
        is_short: bool,
        now_us: int,
    ) -> bool:
        """Whether no poll is open, or its response is overdue, can't arrive or would be late."""
        if poll.request_id is None or now_us - poll.sent_us > poll.hold_us + RESPONSE_GRACE_US:
            return True
        usual_us = self.node.bounds.long_poll_hold_us
        if poll.hold_us == usual_us or now_us - poll.sent_us < usual_us:
            return False
        if poll.destination != destination:
            return True
        return is_short and self.hold.hold_us(replica_id, True, now_us) < poll.hold_us

    def _request_missing(self, now_us: int) -> None:
        """Request the missing document from the next replica that named it, when it is time."""
        missing, replicas = self.missing, self.directory.replicas()
        if missing is None or now_us < missing.request_us:
            return
        missing.request_us = now_us + self.node.bounds.blob_wait_us
        named_by = [name for name in self._by_nearness() if name in missing.named_by]
        if not named_by:
            return
        untried = [name for name in named_by if name not in missing.tried]
        if not untried:
            missing.tried.clear()
        replica_id = (untried or named_by)[0]
        self._poll(replica_id, replicas[replica_id], now_us, wants_document=True)

    # Responses

    def on_watch_response(self, message: Sections) -> None:
        """Process the response to the open poll at a replica; drop any other."""
        response = read_watch_response(message)
        replica_id = response.replica_id
        poll = self.polls.get(replica_id)
        if poll is None or poll.request_id != response.id:
            return
        now_us = self.node.now_us()
        poll.answered_us = now_us
        self.directory.learn_incarnations(response.known)
        destination = self.directory.replicas().get(replica_id)
        is_newest = destination is not None and destination[1] <= response.incarnation
        if is_newest and response.is_current:
            self._on_current_response(response, poll.sent_us)
        self.sections.on_watch_response(message, poll.sent_us)
        poll.request_id = None
        self.hold.note_response(replica_id, message, LEASE_HOLDER_SECTIONS, now_us)
        if destination is not None:
            self._poll(replica_id, destination, now_us)

    def _on_current_response(self, response: WatchResponse, sent_us: int) -> None:
        self.snapshot.observe_version(response.version)
        if self._take_document(response):
            self._on_document_taken()
        if response.version > self.snapshot.version:
            return self._note_missing(response, sent_us)
        if response.version == self.snapshot.version and self._has_other_digest(response):
            return
        self._confirm(response.replica_id, sent_us, response.incarnation)

    def _take_document(self, response: WatchResponse) -> bool:
        """Take the document in a response, if any; return whether it is in force now."""
        record = response.record
        if record is UNSET:
            return False
        if response.packed_changes is not UNSET and response.base_digest is not UNSET:
            return self.received.take_changes(record, response.base_digest, response.packed_changes)
        if response.packed is not UNSET:
            return self.received.take_blob(record, response.packed)
        return self.received.take_whole_record(record)

    def _on_document_taken(self) -> None:
        """Clear the missing document; replicas that named the digest in force confirm it."""
        missing = self.missing
        if missing is None or missing.version > self.snapshot.version:
            return
        self.missing = None
        if missing.version == self.snapshot.version:
            digest = self.received.digest()
            for replica_id, (named, sent_us, incarnation) in missing.named_by.items():
                if named == digest:
                    self._confirm(replica_id, sent_us, incarnation)

    def _note_missing(self, response: WatchResponse, sent_us: int) -> None:
        missing, version = self.missing, response.version
        if missing is not None and version < missing.version:
            return
        if missing is None or version > missing.version:
            request_us = self.node.now_us() + self.node.bounds.blob_wait_us
            missing = self.missing = MissingDocument(version, request_us)
        digest = None if response.digest is UNSET else response.digest
        missing.named_by[response.replica_id] = (digest, sent_us, response.incarnation)

    def _has_other_digest(self, response: WatchResponse) -> bool:
        """Whether a replica names another digest for the version that is in force here.

        This can't happen while the register chooses one value for each version.
        """
        held_digest = self.received.digest()
        if response.digest is UNSET or held_digest is None or response.digest == held_digest:
            return False
        self.node.ports.log(
            1305, mark=response.version, seat=response.replica_id, named=response.digest
        )
        return True

    def _confirm(self, replica_id: str, sent_us: int, incarnation: int) -> None:
        self.confirmation.add(replica_id, sent_us, incarnation, self.directory.replicas())
