"""Brings the accepted values of the other replicas to a recovering one.

Each of the others is first asked to record the new incarnation, which fences the older ones, and is
read only then, page by page; so what it accepts for an older instance later can't be missed.

| peer | message or event | what it does | next |
| --- | --- | --- | --- |
| FENCING | `EpochRecorded` | asks for the first page | READING |
| FENCING | `EpochRecorded`, after a hand-over | counts it, and reads nothing | RECORDED |
| READING | `StatePage` that was asked for | merges and syncs it | STORING |
| READING | `StatePage` of another start than the report's | all that was read is void | |
| STORING | synced, and it was the last page | that replica is read | |
| STORING | synced, and more pages follow | asks for the next one | READING |
| STORING | the disk refuses it | | |
| any | resend timeout | announces again, or asks for the page again | |

What stands in no row is ignored: an answer that comes twice, or belongs to an earlier begin.

Invariant: a replica is read only after it synced the new incarnation
(`test_a_replica_is_read_only_after_it_recorded_the_newcomer_so_no_late_vote_counts`).
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, Protocol

from linkhaven.runtime import Node

from .recovery_messages import (
    EpochAnnouncement,
    EpochRecorded,
    PageRequest,
    RegisterCopy,
    StatePage,
)
from .succession import Succession


class PeerState(Enum):
    """How far a recovering replica is with one of the others."""

    FENCING = "fencing"
    """It was asked to record the new incarnation, and so to refuse the older ones."""

    READING = "reading"
    """The page after `cursor` was asked for."""

    STORING = "storing"
    """Its page is being synced here."""

    RECORDED = "recorded"
    """It recorded the incarnation and, after a hand-over, needn't be read."""


class PeerTransfer:
    """The transfer of one other replica's state to this one."""

    __slots__ = ("state", "cursor", "start")

    def __init__(self, start: str | None) -> None:
        """`start`: the process start that the replica reported; None where it reported nothing."""
        self.state = PeerState.FENCING
        self.cursor = ""
        self.start = start

    def read_after(self, cursor: str) -> None:
        """Wait for the page that comes after this key."""
        self.state = PeerState.READING
        self.cursor = cursor

    def expects(self, page: StatePage) -> bool:
        """Whether this page is the one that was asked for."""
        return self.state is PeerState.READING and self.cursor == page.after


class Directory(Protocol):
    """Who runs as which replica, as membership knows it."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """Address and newest incarnation of each replica."""


class ReceivingReplica(Protocol):
    """The replica that the state is brought to."""

    replica_id: str
    directory: Directory
    incarnation: int

    def narrow_claims(self, are_open: bool) -> None:
        """Keep claims open only if they are there, too."""

    def merge(self, registers: Mapping[str, RegisterCopy]) -> dict[str, Any]:
        """Take in the highest ballots of another replica; gives the records to write."""


class TransferListener(Protocol):
    """Hears how the transfer goes; recovery does."""

    def on_incarnation_recorded(self) -> None:
        """One more replica recorded the incarnation, and needn't be read."""

    def on_peer_read(self) -> None:
        """One more replica is read to its end, and all of it is synced."""

    def on_transfer_void(self) -> None:
        """A replica started anew while it was read: pages of two starts don't make one state."""

    def on_storage_refused(self) -> None:
        """What was read couldn't be synced."""


class StateTransfer:
    """Owns how far each other replica is fenced and read, in memory only."""

    __slots__ = (
        "node",
        "replica",
        "succession",
        "listener",
        "start",
        "peers",
        "num_remaining",
        "is_bootstrap",
        "is_reading",
        "progress_us",
    )

    def __init__(
        self,
        node: Node,
        replica: ReceivingReplica,
        succession: Succession,
        listener: TransferListener,
        start: str,
    ) -> None:
        """`start`: this process start, which names the transfer. A hand-over reads pages, too."""
        self.node = node
        self.replica = replica
        self.succession = succession
        self.listener = listener
        self.start = start
        self.peers: dict[str, PeerTransfer] = {}
        self.num_remaining: dict[str, int] = {}
        self.is_bootstrap = False
        self.is_reading = True
        self.progress_us = node.now_us()
        node.register_handler(EpochRecorded, self.on_epoch_recorded)
        node.register_handler(StatePage, self.on_state_page)

    def begin(
        self, starts: Mapping[str, str | None], *, is_bootstrap: bool, is_reading: bool
    ) -> None:
        """Fence these replicas, each known by the process start that it reported, then read them.

        `is_bootstrap`: they are asked to follow into a new beginning of the whole group.
        `is_reading` False: the state came by a hand-over, and they only record the incarnation.
        """
        self.peers = {name: PeerTransfer(start) for name, start in starts.items()}
        self.is_bootstrap = is_bootstrap
        self.is_reading = is_reading
        self.progress_us = self.node.now_us()

    def end(self) -> None:
        """Read nothing more; a page that is being synced counts for nothing."""
        self.peers = {}

    def restart(self) -> None:
        """Forget what was read, since recovery begins again."""
        self.peers = {}
        self.num_remaining = {}
        self.progress_us = self.node.now_us()

    def num_recorded(self) -> int:
        """How many replicas recorded the incarnation of a hand-over."""
        return sum(peer.state is PeerState.RECORDED for peer in self.peers.values())

    def remaining_keys(self) -> dict[str, int | None]:
        """For each replica that is still read, how many keys come after its last page."""
        return {name: self.num_remaining.get(name) for name in self.peers}

    def send_to_peers(self) -> None:
        """Send again whatever each replica that is still to be read hasn't answered."""
        for name, (address, _) in self.replica.directory.replicas().items():
            peer = self.peers.get(name)
            if peer is None:
                continue
            if peer.state is PeerState.READING:
                self._send_page_request(address, peer.cursor)
            elif peer.state is PeerState.FENCING:
                self._send_epoch_announcement(address, peer)

    def _send_epoch_announcement(self, address: str, peer: PeerTransfer) -> None:
        announcement = EpochAnnouncement(
            replica_id=self.replica.replica_id,
            incarnation=self.replica.incarnation,
            start=self.start,
            bootstrap_start=peer.start if self.is_bootstrap else None,
        )
        self.node.send(address, announcement)

    def _send_page_request(self, address: str, cursor: str) -> None:
        request = PageRequest(
            replica_id=self.replica.replica_id, transfer=self.start, after=cursor, since=0
        )
        self.node.send(address, request)

    def on_epoch_recorded(self, message: EpochRecorded) -> None:
        """Read a replica once it refuses our older incarnations, or count it after a hand-over."""
        peer = self.peers.get(message.replica_id)
        is_current = message.incarnation == self.replica.incarnation
        if peer is None or peer.state is not PeerState.FENCING or not is_current:
            return
        self.progress_us = self.node.now_us()
        if not self.is_reading:
            peer.state = PeerState.RECORDED
            return self.listener.on_incarnation_recorded()
        peer.read_after("")
        self._send_page_request(message.reply_to, peer.cursor)

    def on_state_page(self, page: StatePage) -> None:
        """Merge and sync one page, then ask for the next; a hand-over reads by the same pages."""
        if self.succession.expects(page):
            return self.succession.on_state_page(page)
        peer = self.peers.get(page.replica_id)
        if peer is None or page.transfer != self.start or not peer.expects(page):
            return
        if peer.start not in (None, page.start):
            return self.listener.on_transfer_void()
        peer.state = PeerState.STORING
        self.num_remaining[page.replica_id] = page.num_remaining
        self.progress_us = self.node.now_us()
        self._store_page(page, peer)

    def _store_page(self, page: StatePage, peer: PeerTransfer) -> None:
        """Ask for the next page only once this one is synced; `peers` tells a newer begin."""
        peers, replica = self.peers, self.replica

        def on_stored(is_kept: bool) -> None:
            if self.peers is not peers:
                return
            if not is_kept:
                return self.listener.on_storage_refused()
            if page.next_cursor is not None:
                peer.read_after(page.next_cursor)
                return self._send_page_request(page.reply_to, peer.cursor)
            peers.pop(page.replica_id, None)
            replica.narrow_claims(page.are_claims_open)
            self.listener.on_peer_read()

        self.node.ports.storage.write(replica.merge(page.registers), on_stored)
