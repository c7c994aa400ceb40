"""The membership of one node: the interface of this package, which builds the protocol's parts."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from linkhaven.runtime import Node

from .failure_detector import FailureDetector
from .gossip import Gossip
from .joining import Joining
from .member import Member
from .member_table import MemberTable
from .messages import (
    Departures,
    Heartbeat,
    Hello,
    Leave,
    MemberList,
    MemberListDigest,
    Suspicion,
    SuspicionQuery,
)
from .record_merge import RecordMerge, VersionListener
from .replica_directory import ReplicaAddress, ReplicaDirectory


class Membership:
    """The members that one node knows: `me` is this node, `peers` has all others by name.

    To be used from the node's thread only. Nothing is stored on disk: a restarted node learns the
    members from its seeds.
    """

    __slots__ = (
        "node",
        "me",
        "peers",
        "table",
        "directory",
        "detector",
        "joining",
        "gossip",
    )

    def __init__(
        self,
        node: Node,
        kind: str,
        zone: str,
        seeds: Iterable[str],
        incarnation: int,
        replica_id: str = "",
        current_version: Callable[[], int] = lambda: 0,
        on_configuration_version: VersionListener = lambda version, member: None,
    ) -> None:
        """Start with the addresses of the seeds only, and register with the node.

        `current_version` returns the configuration version that this node has;
        `on_configuration_version` is called with that of a member each time a record of it is
        merged.
        """
        self.node = node
        self.me = Member(node.name, incarnation)
        self.me.address, self.me.kind, self.me.zone = node.address, kind, zone
        self.me.replica_id = replica_id
        self.table = MemberTable(self.me, current_version)
        self.peers = self.table.peers
        self.directory = ReplicaDirectory(self.table)
        merge = RecordMerge(node, self.table, self.directory, on_configuration_version)
        self.detector = FailureDetector(node, self.table, merge)
        self.joining = Joining(node, self.table, merge, seeds)
        self.gossip = Gossip(node, self.table, merge, self.detector, self.joining)
        node.register_handler(Hello, self.joining.on_hello)
        node.register_handler(Leave, self.joining.on_leave)
        node.register_handler(Departures, self.joining.on_departures)
        node.register_handler(MemberList, self.gossip.on_member_list)
        node.register_handler(MemberListDigest, self.gossip.on_member_list_digest)
        node.register_handler(Heartbeat, self.detector.on_heartbeat)
        node.register_handler(Suspicion, self.detector.on_suspicion)
        node.register_handler(SuspicionQuery, self.detector.on_suspicion_query)
        node.tick_handlers.append(self.tick)
        node.late_tick_handlers.append(self.detector.on_late_tick)
        node.sender_listeners.append(self.detector.on_any_message)

    def tick(self, now_us: int) -> None:
        """Run the failure detector and gossip, each at its own interval."""
        self.detector.tick(now_us)
        self.gossip.tick(now_us)

    def live_members(self, kind: str | None = None) -> list[Member]:
        """Return the other live members, of one kind if given; don't change the list."""
        return self.table.live_members(kind)

    def live_incarnation(self, name: str) -> int | None:
        """Return a member's incarnation, 0 if it is down, None if it is unknown."""
        member = self.peers.get(name)
        if member is None:
            return None
        return member.incarnation if member.is_up else 0

    def peer_rows(self) -> list[list[Any]]:
        """Return the record of each peer as a list, in the field order of `MemberRecord`."""
        return [msgspec.to_builtins(member.to_record()) for member in self.peers.values()]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses of seeds."""
        self.joining.add_seeds(addresses)

    def send_leave(self) -> None:
        """Tell all live members that this node stops."""
        self.joining.send_leave()

    def replicas(self) -> dict[str, ReplicaAddress]:
        """Return each replica's address and newest incarnation; don't change the table."""
        return self.directory.replicas()

    def replica_members(self) -> dict[str, Member]:
        """Return the newest known member for each replica id, whether it is up or not."""
        return self.directory.replica_members()

    def learn_incarnations(self, known: Mapping[str, int]) -> None:
        """Learn incarnations by replica id; what was learned is never lowered."""
        self.directory.learn_incarnations(known)

    def restore_replica(self, replica_id: str, incarnation: int) -> None:
        """Set this node's replica and incarnation as read from its disk."""
        self.directory.restore_own(replica_id, incarnation)

    def announce_replica(self, replica_id: str, incarnation: int) -> None:
        """Set which replica this node is now, if any, and tell every live member at once."""
        self.directory.set_own(replica_id, incarnation)
        self.table.refresh_own_version()
        for member in self.live_members():
            self.node.send(member.address, MemberList([self.me.to_record()]))
