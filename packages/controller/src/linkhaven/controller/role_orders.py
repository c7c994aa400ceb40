"""Orders of roles in flight: who may order when, what was ordered, and what routers are told.

Invariant: no order reaches a runner after a later holder's. A holder orders only while its lease is
held, after a quorum recorded that it will act, and only once any earlier holder can act no more;
the order carries the lease's fencing token, and a runner refuses one with a lower token than it has
seen (`test_an_order_with_an_old_fencing_token_is_refused_by_the_runner`).
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

SETTLED_MEMORY_US = 5_000_000
"""How long routers are told which role a runner has just taken up."""


class OrderClient(Protocol):
    """Sends orders to runners."""

    def order_phase(self, runner: Runner, order: dict[str, Any], done: Any) -> Any:
        """Order a role of this incarnation of a runner; `done` gets an error or the answer."""


class OrderPermission:
    """Whether a lease lies between another holder's last order and now.

    After a pause of this process nothing is ordered for a while either: what it knows is old.
    """

    __slots__ = ("node", "lease", "won_us", "paused_us")

    def __init__(self, node: Node, lease: Lease) -> None:
        """Nothing is permitted before the lease is won."""
        self.node = node
        self.lease = lease
        self.won_us = 0
        self.paused_us = -node.bounds.thaw_us
        node.on_late.append(self.on_late_tick)

    def on_lease_won(self) -> None:
        """Another holder may have ordered until now."""
        self.won_us = self.node.now_us()

    def on_late_tick(self, now_us: int) -> None:
        """This process was paused."""
        self.paused_us = now_us

    def may_order(self, now_us: int) -> bool:
        """Whether an order may be sent.

        At once where no announcement of another holder was seen for long enough, else a lease
        after the lease was won; also where the former holder released it.
        """
        if now_us - self.paused_us < self.node.bounds.thaw_us:
            return False
        if self.lease.are_others_idle():
            return True
        least_us = self.lease.lease_us if self.lease.is_succession else 0
        return now_us - self.won_us >= max(self.node.bounds.orders_after_us, least_us)


class RoleOrders:
    """Owns the changes in flight, and those that were just completed, by the runner's name.

    `serial` rises with each change that routers must know of. `sent`: how many orders were sent.
    """

    __slots__ = (
        "node",
        "lease",
        "permission",
        "client",
        "snapshot",
        "changes",
        "settled",
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
        """Nothing is in flight."""
        self.node = node
        self.lease = lease
        self.permission = permission
        self.client = client
        self.snapshot = snapshot
        self.changes: dict[str, RoleChange] = {}
        self.settled: dict[str, tuple[str, int]] = {}
        self.serial = 0
        self.sent = 0

    def clear(self) -> None:
        """Nothing of an earlier lease counts."""
        self.changes = {}
        self.settled = {}

    def begin(self, change: RoleChange) -> None:
        """Routers are told of it from now on."""
        self.changes[change.name] = change
        self.serial += 1

    def end(self, change: RoleChange) -> None:
        """It is over, or dropped: routers are told that the runner stays what it is."""
        del self.changes[change.name]
        self.serial += 1

    def settle(self, runner: Runner, now_us: int) -> None:
        """The runner plays its new role."""
        self.settled[runner.name] = (runner.phase, now_us)

    def forget_settled(self, now_us: int) -> None:
        """By now the reports that routers have of these runners name the role."""
        for name, (_, settled_us) in list(self.settled.items()):
            if now_us - settled_us > SETTLED_MEMORY_US:
                del self.settled[name]

    def of_pool(self, pool: str | None) -> list[RoleChange]:
        """The changes in flight in one pool."""
        return [change for change in self.changes.values() if change.pool == pool]

    def add_watch_facts(self, response: dict[str, Any]) -> None:
        """Which runners are changing, and which have just changed."""
        if self.lease.is_held():
            response[ROLE_BALANCER] = {
                "fence": self.lease.fencing_token,
                "serial": self.serial,
                "changing": list(self.changes),
                "settled": {name: role for name, (role, _) in self.settled.items()},
            }

    def send(
        self,
        change: RoleChange,
        runner: Runner,
        observed: dict[str, Any],
        now_us: int,
        on_announced: Callable[[], None],
    ) -> None:
        """Send the order under the lease's fencing token, if the lease is held and may order.

        A quorum records first that an order follows, so that a successor knows of it; then
        `on_announced` is called to send it. `observed`: what it was decided by, for the log.
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
