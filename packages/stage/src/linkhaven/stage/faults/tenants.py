"""Faults about tenants: keys revoked, added and moved, limits lowered, and a tenant that sends too
much."""

from collections.abc import Callable

from .base import SECOND
from .edge import EdgeFaults
from .people import PeopleFaults

Close = Callable[[], None]

HOT_FACTOR = 10.0
LOWERED_SHARE = 0.1
STRANGER_SHARE = 0.3
LARGE_TENANTS = 2
LOWERED_FOR_US = 10 * SECOND
"""Counted from the end of the fault, as a lower limit applies only one window after it is in
force."""


class TenantFaults(EdgeFaults, PeopleFaults):
    """Changes of the tenants in the configuration, and of what their clients send.

    Only for a fleet whose deployment has tenants. Changes of keys stay when the fault closes;
    limits and loads are restored.
    """

    __slots__ = ()

    def _tenant(self, name: str | None) -> str:
        return name or self.pick(self.fleet.tenants.profiles)

    def _large_tenant(self, name: str | None) -> str:
        """One of the largest tenants with a limit, whose load has the most effect."""
        profiles = [one for one in self.fleet.tenants.profiles.values() if one.requests_per_s]
        profiles.sort(key=lambda profile: -profile.share)
        return name or self.pick([profile.name for profile in profiles[:LARGE_TENANTS]])

    def _put_tenants(self) -> None:
        """Put the fleet's configuration with the tenants as they are now, until it is
        acknowledged."""
        self.fleet.plan = {**self.fleet.plan, "tenants": self.fleet.tenants.document()}
        self._restore()

    def revoke_key(self, name: str | None = None) -> None:
        """Revoke a tenant's oldest key; its clients go on using it."""
        self.fleet.tenants.revoke_key(self._tenant(name))
        self._put_tenants()

    def revoke_keys(self, count: int = 4, pause_us: int = 700_000) -> None:
        """Revoke keys one after another, each before the last change is in force everywhere."""

        def revoke(left: int) -> None:
            self.revoke_key()
            if left > 1:
                self.world.after(pause_us, lambda: revoke(left - 1))

        revoke(count)

    def add_key(self, name: str | None = None) -> None:
        """Add a key to a tenant, which uses it at once."""
        self.fleet.tenants.add_key(self._tenant(name))
        self._put_tenants()

    def move_key(self, name: str | None = None) -> None:
        """Move a key from one tenant to another, in one version."""
        source = self._tenant(name)
        others = [other for other in self.fleet.tenants.profiles if other != source]
        self.fleet.tenants.move_key(source, self.pick(others))
        self._put_tenants()

    def revoke_key_behind_a_cut(self) -> Close:
        """Revoke a key while a router has lost the core, and callers still reach it."""
        close: Close = self.cut_router_from_core()
        self.revoke_key()
        return close

    def revoke_key_at_a_frozen_router(self) -> Close:
        """Revoke a key while a router is frozen; it wakes with requests waiting."""
        close: Close = self.freeze_router()
        self.revoke_key()
        return close

    def lower_limit(self, name: str | None = None) -> Close:
        """Lower a tenant's limit far below what it sends, until LOWERED_FOR_US after the fault
        closes."""
        tenants, name = self.fleet.tenants, self._large_tenant(name)
        before = tenants.limits[name]
        sent_per_s = self.fleet.rate * tenants.profiles[name].share
        tenants.set_limit(name, sent_per_s * LOWERED_SHARE, 1)
        self._put_tenants()

        def restore() -> None:
            tenants.set_limit(name, *before)
            self._put_tenants()

        return lambda: self.world.after(LOWERED_FOR_US, restore)

    def hot_tenant(self, name: str | None = None, factor: float = HOT_FACTOR) -> Close:
        """One tenant sends `factor` times its usual load."""
        tenants, name = self.fleet.tenants, self._large_tenant(name)
        tenants.set_load(name, factor)
        return lambda: tenants.set_load(name, 1.0)

    def strangers(self, share: float = STRANGER_SHARE) -> Close:
        """Callers without a key, or with one that no tenant holds, that name a tenant
        themselves."""
        tenants = self.fleet.tenants
        tenants.stranger_share = share

        def leave() -> None:
            tenants.stranger_share = 0.0

        return leave
