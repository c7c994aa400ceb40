"""Lost contact with the routers: a node that no router reaches must not hold a singleton role."""

from collections.abc import Mapping
from typing import Protocol

from linkhaven.configuration import WatchServer
from linkhaven.membership import Membership
from linkhaven.runtime import Node

UNPOLLED_MARGIN_US = 700_000
"""How long beyond two watch requests' holds no router may ask."""


class HeldLease(Protocol):
    """A lease that can be let go of."""

    def step_down(self) -> None:
        """Let the lease lapse and stand back for another candidate; nothing where it isn't held."""


class RouterContactMonitor:
    """Steps down from all roles where routers run, but none asks this node any more.

    The roles serve routers: a holder that is cut off from them, though not from the other
    replicas, would keep its leases for ever and serve nobody.
    """

    __slots__ = ("node", "watch_server", "membership", "leases")

    def __init__(
        self,
        node: Node,
        watch_server: WatchServer,
        membership: Membership,
        leases: Mapping[str, HeldLease],
    ) -> None:
        """Watch from the start."""
        self.node = node
        self.watch_server = watch_server
        self.membership = membership
        self.leases = leases

    def tick(self, now_us: int) -> None:
        """Step down once the last watch request is too old."""
        unpolled_us = now_us - self.watch_server.polled_us
        if unpolled_us < 2 * self.node.bounds.news_hold_us + UNPOLLED_MARGIN_US:
            return
        if not self.membership.live_members("router"):
            return
        for lease in self.leases.values():
            lease.step_down()
