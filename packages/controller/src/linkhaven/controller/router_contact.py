"""Detects lost contact with the routers: an unreachable node must not hold a singleton role."""

from collections.abc import Mapping
from typing import Protocol

from linkhaven.configuration import WatchServer
from linkhaven.membership import Membership
from linkhaven.runtime import Node

UNPOLLED_MARGIN_US = 700_000
"""How long beyond two long-poll holds a node may go without a watch request."""


class HeldLease(Protocol):
    """A lease that can be given up in favor of another candidate."""

    def step_down(self) -> None:
        """Let the lease lapse and defer to another candidate; no effect if it isn't held."""


class RouterContactMonitor:
    """Steps down from all roles if routers are live but none of them sends watch requests here.

    The roles serve the routers. A holder that is partitioned from the routers but not from the
    other replicas would otherwise keep its leases forever without serving anyone.
    """

    __slots__ = ("node", "watch_server", "membership", "leases")

    def __init__(
        self,
        node: Node,
        watch_server: WatchServer,
        membership: Membership,
        leases: Mapping[str, HeldLease],
    ) -> None:
        """Monitor watch requests at `watch_server`, and give up `leases` when they stop."""
        self.node = node
        self.watch_server = watch_server
        self.membership = membership
        self.leases = leases

    def tick(self, now_us: int) -> None:
        """Step down if the last watch request is too old."""
        unpolled_us = now_us - self.watch_server.polled_us
        if unpolled_us < 2 * self.node.bounds.long_poll_hold_us + UNPOLLED_MARGIN_US:
            return
        if not self.membership.live_members("router"):
            return
        for lease in self.leases.values():
            lease.step_down()
