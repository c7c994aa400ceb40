"""Transfer of the other replicas' accepted values to a recovering replica.

Each of the others is first asked to record the new incarnation, which fences the older ones, and is
read page by page only afterwards. So it can't accept anything that is based on the vote of an older
instance after it was read.

| peer | message or event | what it does | next |
| --- | --- | --- | --- |
| FENCING | `EpochRecorded` | requests the first page | READING |
| FENCING | `EpochRecorded`, after a hand-over | counts it, and reads nothing | RECORDED |
| READING | `StatePage` that was requested | merges and syncs it | STORING |
| READING | `StatePage` of another start than the report's | recovery starts over | |
| STORING | synced, and it was the last page | the replica is read completely | |
| STORING | synced, and more pages follow | requests the next one | READING |
| STORING | the disk refuses it | recovery starts over | |
| any | resend interval | announces or requests the page again | |

Anything else is ignored, such as duplicates and answers to an earlier attempt.

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
    """The progress of the transfer from one of the other replicas."""

    FENCING = "fencing"
    """It was asked to record the new incarnation, and so to refuse the older ones."""

    READING = "reading"
    """The page after `cursor` was requested."""

    STORING = "storing"
    """A received page is being synced to this replica's disk."""

    RECORDED = "recorded"
    """It recorded the incarnation; after a hand-over it isn't read."""


class PeerTransfer:
    """The transfer of one other replica's state to this one."""

    __slots__ = ("state", "cursor", "start")

    def __init__(self, start: str | None) -> None:
        """`start`: the process start that the replica reported; None if it reported nothing."""
        self.state = PeerState.FENCING
        self.cursor = ""
        self.start = start

    def read_after(self, cursor: str) -> None:
        """Wait for the page that comes after this key."""
        self.state = PeerState.READING
        self.cursor = cursor

    def expects(self, page: StatePage) -> bool:
        """Whether this page is the one that was requested."""
        return self.state is PeerState.READING and self.cursor == page.after


class Directory(Protocol):
    """Addresses and incarnations of the replicas; implemented by the membership."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """Return address and newest incarnation of each replica."""


class ReceivingReplica(Protocol):
    """The replica that receives the state."""

    replica_id: str
    directory: Directory
    incarnation: int

    def close_claims_unless(self, are_open: bool) -> None:
        """Close claims if they are closed at a replica whose state was read."""

    def merge(self, registers: Mapping[str, RegisterCopy]) -> dict[str, Any]:
        """Merge copies of registers from another replica; return the records to write."""


class TransferListener(Protocol):
    """Callbacks of a state transfer; implemented by recovery."""

    def on_incarnation_recorded(self) -> None:
        """Called when another replica recorded the incarnation after a hand-over."""

    def on_peer_read(self) -> None:
        """Called when another replica is read completely and all its pages are synced."""

    def on_transfer_void(self) -> None:
        """Called when a replica was restarted while it was read, so its pages can't be combined."""

    def on_storage_refused(self) -> None:
        """Called when a page couldn't be synced to disk."""


class StateTransfer:
    """Fences and reads the other replicas; owns the progress for each, in memory only."""

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
        """`start`: the id of this process start, which identifies the transfer.

        `succession` gets the pages of a hand-over, which come as the same message type.
        """
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
        """Fence the replicas in `starts`, then read them.

        `starts`: the process start that each replica reported, None if it reported nothing.
        `is_bootstrap`: the replicas are asked to join a bootstrap of the group.
        `is_reading`: False after a hand-over, where they only record the incarnation.
        """
        self.peers = {name: PeerTransfer(start) for name, start in starts.items()}
        self.is_bootstrap = is_bootstrap
        self.is_reading = is_reading
        self.progress_us = self.node.now_us()

    def end(self) -> None:
        """Stop reading; a page that is being synced is ignored."""
        self.peers = {}

    def restart(self) -> None:
        """Discard all progress, since recovery starts over."""
        self.peers = {}
        self.num_remaining = {}
        self.progress_us = self.node.now_us()

    def num_recorded(self) -> int:
        """Return how many other replicas recorded the incarnation of a hand-over."""
        return sum(peer.state is PeerState.RECORDED for peer in self.peers.values())

    def remaining_keys(self) -> dict[str, int | None]:
        """Return the number of keys still to be read of each replica; None if not yet known."""
        return {name: self.num_remaining.get(name) for name in self.peers}

    def send_to_peers(self) -> None:
        """Send the pending announcement or page request to each replica still to be read."""
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
        """Start to read a replica that recorded the incarnation, or count it after a hand-over."""
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
        """Merge and sync one page, then request the next; pages of a hand-over are passed on."""
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
        """Sync a page, then request the next one.

        The result is ignored if `peers` was replaced meanwhile, which is how a newer attempt is
        detected.
        """
        peers, replica = self.peers, self.replica

        def on_stored(is_synced: bool) -> None:
            if self.peers is not peers:
                return
            if not is_synced:
                return self.listener.on_storage_refused()
            if page.next_cursor is not None:
                peer.read_after(page.next_cursor)
                return self._send_page_request(page.reply_to, peer.cursor)
            peers.pop(page.replica_id, None)
            replica.close_claims_unless(page.are_claims_open)
            self.listener.on_peer_read()

        self.node.ports.storage.write(replica.merge(page.registers), on_stored)
