"""The members that are replicas of the core, and the newest incarnation of each replica."""

from collections.abc import Mapping
from typing import NamedTuple

from .member import Member
from .member_table import MemberTable


class ReplicaAddress(NamedTuple):
    """The address of a replica of the core, and its newest known incarnation."""

    address: str
    incarnation: int


class ReplicaDirectory:
    """The replicas of the core, as reported by the members.

    Invariant: a learned incarnation is never forgotten or lowered, so messages to a replica name
    its newest known incarnation, whichever of its instances answers
    (`test_a_learned_incarnation_of_a_replica_is_never_lowered`).
    """

    __slots__ = (
        "table",
        "incarnations",
        "adopts_learned_incarnation",
        "replica_cache",
        "cache_key",
    )

    def __init__(self, table: MemberTable) -> None:
        """Start without replicas; a member without a disk adopts the incarnation others know."""
        self.table = table
        self.incarnations: dict[str, int] = {}
        self.adopts_learned_incarnation = True
        self.replica_cache: dict[str, ReplicaAddress] = {}
        self.cache_key: tuple[int, str, int, int] | None = None

    def replicas(self) -> dict[str, ReplicaAddress]:
        """Return each replica's address and newest incarnation; don't change the table."""
        me = self.table.me
        key = (self.table.revision, me.replica_id, me.replica_incarnation, me.incarnation)
        if self.cache_key != key:
            self.cache_key = key
            self.replica_cache = {
                replica_id: ReplicaAddress(
                    member.address,
                    max(member.replica_incarnation, self.incarnations.get(replica_id, 0)),
                )
                for replica_id, member in self.replica_members().items()
            }
        return self.replica_cache

    def replica_members(self) -> dict[str, Member]:
        """Return the newest known member for each replica id, whether it is up or not."""
        found: dict[str, Member] = {}
        for member in [self.table.me, *self.table.peers.values()]:
            if not member.replica_id:
                continue
            known = found.get(member.replica_id)
            if known is None or self._is_newer(member, known):
                found[member.replica_id] = member
        return found

    def _is_newer(self, member: Member, other: Member) -> bool:
        if member.replica_incarnation != other.replica_incarnation:
            return member.replica_incarnation > other.replica_incarnation
        return member.incarnation > other.incarnation

    def learn_incarnations(self, known: Mapping[str, int]) -> None:
        """Learn incarnations by replica id; what was learned is never lowered."""
        for replica_id, incarnation in known.items():
            if incarnation > self.incarnations.get(replica_id, 0):
                self.incarnations[replica_id] = incarnation
                self.cache_key = None
        me = self.table.me
        if (
            self.adopts_learned_incarnation
            and me.replica_id in known
            and known[me.replica_id] > me.replica_incarnation
        ):
            me.replica_incarnation = self.incarnations[me.replica_id]

    def restore_own(self, replica_id: str, incarnation: int) -> None:
        """Set this node's replica and incarnation as read from its disk."""
        self.adopts_learned_incarnation = False
        self.table.me.replica_id = replica_id
        self.table.me.replica_incarnation = incarnation

    def set_own(self, replica_id: str, incarnation: int) -> None:
        """Set which replica this node is now, if any, and raise this member's incarnation."""
        self.restore_own(replica_id, incarnation)
        self.table.me.incarnation += 1
        self.cache_key = None
        if replica_id:
            self.learn_incarnations({replica_id: incarnation})
