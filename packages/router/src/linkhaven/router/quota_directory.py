"""Addresses of the controllers that grant quota tokens, and of routers that can relay to them."""

from collections.abc import Sequence

from linkhaven.leases.shards import preference_order
from linkhaven.membership import Member, Membership


class QuotaDirectory:
    """The live controllers, and which of them is preferred for each shard of tenants."""

    __slots__ = ("membership", "addresses", "order", "relays", "revision")

    def __init__(self, membership: Membership) -> None:
        """Read the membership at the first query."""
        self.membership = membership
        self.addresses: dict[str, str] = {}
        self.order: dict[int, str] = {}
        self.relays: list[str] = []
        self.revision: int | None = None

    def controller_addresses(self) -> Sequence[str]:
        """The addresses of the live replicas, or of all where none seems to be up."""
        self._refresh()
        return list(self.addresses.values())

    def preferred_address(self, shard: int) -> str | None:
        """The address of the live replica that is preferred as the owner of a shard."""
        self._refresh()
        if shard not in self.order and self.addresses:
            preferred = preference_order(shard, self.addresses)[0]
            self.order[shard] = self.addresses[preferred]
        return self.order.get(shard)

    def relay_addresses(self) -> Sequence[str]:
        """The other live routers, this router's zone first; the order differs between routers."""
        self._refresh()
        return self.relays

    def _refresh(self) -> None:
        revision = self.membership.table.revision
        if self.revision == revision:
            return
        self.revision = revision
        members = self.membership.replica_members()
        live = {name: member for name, member in members.items() if member.is_up}
        listed = live or members
        self.addresses = {name: listed[name].address for name in sorted(listed)}
        self.order = {}
        self.relays = [member.address for member in self._routers_by_distance()]

    def _routers_by_distance(self) -> list[Member]:
        me = self.membership.me
        routers = {member.name: member for member in self.membership.live_members("router")}
        shuffled = preference_order(0, (f"{me.name}/{name}" for name in routers))
        ordered = [routers[key.removeprefix(f"{me.name}/")] for key in shuffled]
        return sorted(ordered, key=lambda member: member.zone != me.zone)
