"""The members that one node knows, and what is derived from them."""

import hashlib
from collections.abc import Callable

from linkhaven.runtime import Table

from .hash_ring import HashRing
from .member import Member
from .messages import MemberRecord

DIGEST_BYTES = 8


class MemberTable:
    """This node as `me`, and all other members by name in `peers`.

    Caches what is derived from them: the live members, the hash ring, the members that this node
    watches, and the digest. Code that changes a member must call `on_live_changed` or
    `on_facts_changed`, which invalidate the caches (`test_cached_tables_follow_each_change`).
    """

    __slots__ = (
        "me",
        "peers",
        "current_version",
        "revision",
        "live_by_kind",
        "hash_ring",
        "watched",
        "digest_key",
        "digest",
    )

    def __init__(self, me: Member, current_version: Callable[[], int]) -> None:
        """Start with this node only; `current_version` returns that of its configuration."""
        self.me = me
        self.peers: Table = Table()
        self.current_version = current_version
        self.revision = 0
        self.live_by_kind: dict[str | None, list[Member]] = {}
        self.hash_ring: HashRing | None = None
        self.watched: set[str] | None = None
        self.digest_key: tuple[int, str, int] | None = None
        self.digest = ""

    def on_live_changed(self) -> None:
        """Invalidate all caches: a member joined, failed, recovered, left or was forgotten."""
        self.hash_ring = None
        self.watched = None
        self.on_facts_changed()

    def on_facts_changed(self) -> None:
        """Invalidate caches of members' facts: an address, kind, zone or replica changed."""
        self.revision += 1
        self.digest_key = None
        self.live_by_kind = {}

    def live_members(self, kind: str | None = None) -> list[Member]:
        """Return the other live members, of one kind if given; don't change the list."""
        found = self.live_by_kind.get(kind)
        if found is None:
            found = self.live_by_kind[kind] = [
                member
                for member in self.peers.values()
                if member.is_up and kind in (None, member.kind)
            ]
        return found

    def watchers_of(self, name: str) -> list[str]:
        """Return the names of the members that watch this one; don't change the list."""
        if self.hash_ring is None:
            names = [member.name for member in self.live_members()]
            self.hash_ring = HashRing((*names, self.me.name))
        return self.hash_ring.watchers_of(name)

    def watched_names(self) -> set[str]:
        """Return the names of the members that this node watches."""
        if self.watched is None:
            own_name = self.me.name
            self.watched = {name for name in self.peers if own_name in self.watchers_of(name)}
        return self.watched

    def refresh_own_version(self) -> None:
        """Set this node's configuration version in its own record to the current one."""
        self.me.configuration_version = self.current_version()

    def records(self) -> list[MemberRecord]:
        """Return the records of this node and of all others that have not left."""
        self.refresh_own_version()
        present = [member.to_record() for member in self.peers.values() if not member.has_left]
        return [self.me.to_record(), *present]

    def list_digest(self) -> str:
        """Return a hash of the live members: their incarnations, addresses and replicas.

        Configuration versions are left out, as every change of the configuration would make the
        lists differ.
        """
        me = self.me
        key = (me.incarnation, me.replica_id, me.replica_incarnation)
        if self.digest_key != key:
            rows = sorted(
                f"{member.name} {member.incarnation} {member.address} {member.replica_id} "
                f"{member.replica_incarnation}"
                for member in (me, *self.live_members())
            )
            text = "\n".join(rows).encode()
            self.digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
            self.digest_key = key
        return self.digest
