"""Role orders in flight: when this node may send them, their outcome, and notices to routers.

Invariant: no order of an earlier lease holder reaches a runner after an order of a later holder. A
holder sends orders only while it holds the lease, after a quorum recorded that it will act, and
once any earlier holder can no longer act. Each order carries the lease's fencing token, and a
runner rejects one with a lower token than it has seen
(`test_an_order_with_an_old_fencing_token_is_refused_by_the_runner`).
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.api import ServiceError
from linkhaven.configuration import ConfigurationSnapshot
from linkhaven.leases import Lease
from linkhaven.runner import Runner
from linkhaven.runtime import Node

from .role_change import ChangeState, RoleChange
from .singleton_roles import ROLE_BALANCER

SWITCHED_MEMORY_US = 5_000_000
"""How long routers are sent the new role of a runner that has completed a switch."""


class OrderClient(Protocol):
    """Sends orders to runners."""

    def order_phase(self, runner: Runner, order: dict[str, Any], done: Any) -> Any:
        """Order this incarnation of a runner to a role; `done` gets an error or the answer."""


class OrderPermission:
    """Permits orders only once at least one lease has passed since another holder's last order.

    Orders are also withheld for `post_pause_hold_us` after a pause of this process, since its view
    of the runners is outdated then.
    """

    __slots__ = ("node", "lease", "won_us", "paused_us")

    def __init__(self, node: Node, lease: Lease) -> None:
        """Start without a won lease, as if this process had not been paused."""
        self.node = node
        self.lease = lease
        self.won_us = 0
        self.paused_us = -node.bounds.post_pause_hold_us
        node.late_tick_handlers.append(self.on_late_tick)

    def on_lease_won(self) -> None:
        """Start the wait: another holder may have sent orders until now."""
        self.won_us = self.node.now_us()

    def on_late_tick(self, now_us: int) -> None:
        """Remember that this process was paused until now."""
        self.paused_us = now_us

    def may_order(self, now_us: int) -> bool:
        """Whether an order may be sent.

        At once if no announcement of another holder was seen for long enough; otherwise
        `orders_after_us` after the lease was won, and at least one lease if there was an earlier
        holder, even if that one released it.
        """
        if now_us - self.paused_us < self.node.bounds.post_pause_hold_us:
            return False
        if self.lease.are_others_idle():
            return True
        least_us = self.lease.lease_us if self.lease.is_succession else 0
        return now_us - self.won_us >= max(self.node.bounds.orders_after_us, least_us)


class RoleOrders:
    """Owns the role changes in flight and those just completed, by runner name.

    `switched`: new role and time of completion. `serial` increases with each change that routers
    must learn of. `sent`: how many orders were sent.
    """

    __slots__ = (
        "node",
        "lease",
        "permission",
        "client",
        "snapshot",
        "changes",
        "switched",
        "serial",
        "sent",
    )

    def __init__(
        self,
        node: Node,
        lease: Lease,
        permission: OrderPermission,
        client: OrderClient,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """Start without any change in flight."""
        self.node = node
        self.lease = lease
        self.permission = permission
        self.client = client
        self.snapshot = snapshot
        self.changes: dict[str, RoleChange] = {}
        self.switched: dict[str, tuple[str, int]] = {}
        self.serial = 0
        self.sent = 0

    def clear(self) -> None:
        """Drop all changes, as at the start or end of a lease."""
        self.changes = {}
        self.switched = {}

    def begin(self, change: RoleChange) -> None:
        """Add a change; routers are notified of it from now on."""
        self.changes[change.name] = change
        self.serial += 1

    def end(self, change: RoleChange) -> None:
        """Remove a change that ended or was dropped, and let routers know."""
        del self.changes[change.name]
        self.serial += 1

    def mark_switched(self, runner: Runner, now_us: int) -> None:
        """Record that the runner has its new role."""
        self.switched[runner.name] = (runner.phase, now_us)

    def forget_switched(self, now_us: int) -> None:
        """Forget completed switches that the runners' reports have told the routers of by now."""
        for name, (_, switched_us) in list(self.switched.items()):
            if now_us - switched_us > SWITCHED_MEMORY_US:
                del self.switched[name]

    def in_pool(self, pool: str | None) -> list[RoleChange]:
        """The changes in flight in one pool."""
        return [change for change in self.changes.values() if change.pool == pool]

    def add_watch_sections(self, response: dict[str, Any]) -> None:
        """Add the runners that are changing or have just changed to a watch response."""
        if self.lease.is_held():
            response[ROLE_BALANCER] = {
                "fence": self.lease.fencing_token,
                "serial": self.serial,
                "changing": list(self.changes),
                "settled": {name: role for name, (role, _) in self.switched.items()},
            }

    def send(
        self,
        change: RoleChange,
        runner: Runner,
        observed: dict[str, Any],
        now_us: int,
        on_announced: Callable[[], None],
    ) -> None:
        """Send the order with the lease's fencing token, if this node holds it and may order.

        A quorum first records that an order follows, so that a successor knows of it. In that case
        nothing is sent yet and `on_announced` is called once the record is made. `observed`: the
        inputs of the decision, for the log.
        """
        if not self.lease.is_held() or not self.permission.may_order(now_us):
            return
        if not self.lease.may_act():
            self.lease.announce_action(on_announced)
            return
        self.lease.consume_action()
        change.state = ChangeState.ORDERED
        change.ordered_us = now_us
        token = self.lease.fencing_token

        def done(error: ServiceError | None, document: Any, has_begun: bool) -> None:
            if error is not None:
                change.state = ChangeState.REFUSED
                self.node.ports.log(1502, runner=runner.name, code=error.code)
                self.lease.observe_fencing_token(error.detail.get("fence", 0))

        self.sent += 1
        self.node.ports.log(1501, runner=runner.name, phase=change.role, fence=token, **observed)
        order = {
            "phase": change.role,
            "fence": token,
            "mark": self.snapshot.version,
            "holder": self.node.name,
            "incarnation": runner.incarnation,
        }
        self.client.order_phase(runner, order, done)
