"""The role balancer: assigns prefill and decode roles to the runners of each pool.

There are two kinds of role change:

- A planned change follows the ratio search. Only a few run at a time in a pool, routers are
  notified before the order is sent, and a dwell time follows. It is dropped if the pool has lost a
  runner since the decision, or if it would leave the runner's current role vacant.
- A change that fills a vacant role is ordered at once, without dwell time and, for decode, without
  notice to the routers. Skipping the notice is safe because without a decode runner no prompt that
  was read in the pool can be decoded. A prefill request that still reaches the runner is rejected
  as not executed (421, or 503 during the switch), like any work for a role that the runner
  doesn't have.

The decisions are in `role_decisions.py`, the orders in flight in `role_orders.py`.
"""

from typing import Any

from linkhaven.configuration import ConfigurationSnapshot, PoolSettings
from linkhaven.leases import Lease
from linkhaven.runner import Runner
from linkhaven.runner.roster import DECODE, PREFILL
from linkhaven.runtime import Node

from .role_change import RoleChange
from .role_decisions import (
    NOTICE_US,
    RATIO_INTERVAL_US,
    VACANCY_WAIT_US,
    ChangeProgress,
    concurrent_changes,
    is_still_valid,
    least_busy,
    notice_for_vacancy_us,
    progress_of,
    vacancy_bound_us,
)
from .role_orders import OrderClient, OrderPermission, RoleOrders
from .role_pools import ROLES, PoolRoles, RunnerPool
from .runner_discovery import RunnerDiscovery
from .traffic_demand import TrafficDemand
from .vacant_roles import VacantRoleMonitor

COUNT_INTERVAL_US = 50_000
"""How often the roles are counted while the runner list is unchanged."""

NO_POOL_SETTINGS = PoolSettings()
"""The settings of a pool that the configuration doesn't name."""


class RoleBalancer:
    """Counts, fills and balances the roles of all pools while this node holds the lease.

    Owns the state of the pools. Invariant: no required role is vacant beyond its bound while a
    healthy runner could take it (`VacantRoleMonitor`, `tests/test_vacant_roles.py`).
    """

    __slots__ = (
        "node",
        "lease",
        "runner_discovery",
        "snapshot",
        "pools",
        "demand",
        "permission",
        "orders",
        "monitor",
        "counted_us",
        "counted_change",
    )

    def __init__(
        self,
        node: Node,
        lease: Lease,
        runner_discovery: RunnerDiscovery,
        client: OrderClient,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """Register the tick; no order is sent before the lease is won."""
        self.node = node
        self.lease = lease
        self.runner_discovery = runner_discovery
        self.snapshot = snapshot
        self.pools: dict[str | None, RunnerPool] = {}
        self.demand = TrafficDemand(node)
        self.permission = OrderPermission(node, lease)
        self.orders = RoleOrders(node, lease, self.permission, client, snapshot)
        self.monitor = VacantRoleMonitor(node.ports)
        self.counted_us = 0
        self.counted_change: int | None = None
        node.tick_handlers.append(self.tick)

    def on_lease_won(self, role: str) -> None:
        """Discard the state of an earlier lease and start the wait for other holders' orders."""
        self.permission.on_lease_won()
        self._reset()

    def on_lease_lapsed(self, role: str) -> None:
        """Drop all changes that were decided under this lease, so that none is ordered later."""
        self._reset()

    def _reset(self) -> None:
        self.pools = {}
        self.orders.clear()
        self.counted_change = None

    def as_record(self) -> dict[str, Any]:
        """The number of orders sent and the vacancies, as GET /v1/standing shows them."""
        record = self.monitor.as_record(self.pools.values(), self.node.now_us())
        return {"orders": self.orders.sent, **record}

    def tick(self, now_us: int) -> None:
        """Count roles, fill vacant ones, advance the changes, and balance the ratio when due."""
        if not self.lease.is_held() or not self.runner_discovery.is_ready():
            return
        if self.snapshot.configuration is None:
            return
        self.orders.forget_switched(now_us)
        self._count_roles(now_us)
        may_order = self.permission.may_order(now_us)
        for pool in list(self.pools.values()):
            if may_order:
                self._fill_vacancies(pool, now_us)
            self._check_vacancies(pool, may_order, now_us)
        for change in list(self.orders.changes.values()):
            self._advance(change, now_us)
        if may_order:
            for pool in list(self.pools.values()):
                self._balance_if_due(pool, now_us)

    def _count_roles(self, now_us: int) -> None:
        """Count the runners by role: at each change of the runner list, else periodically."""
        newest_change = self.runner_discovery.runner_list.delta.last_record_change
        is_changed = newest_change != self.counted_change
        if not is_changed and now_us - self.counted_us < COUNT_INTERVAL_US:
            return
        self.counted_us = now_us
        self.counted_change = newest_change
        counted: dict[str | None, PoolRoles] = {name: PoolRoles() for name in self.pools}
        health = self.runner_discovery.health
        for runner in self.runner_discovery.runners.values():
            roles = counted.setdefault(runner.pool, PoolRoles())
            roles.add(runner, health, self.orders.changes.get(runner.name))
        for name, roles in counted.items():
            self.pools.setdefault(name, RunnerPool(name)).update(roles, now_us)

    def _configuration(self) -> Any:
        """The configuration in force; `tick` returns early while there is none."""
        return self.snapshot.configuration

    def _is_balanced(self) -> bool:
        """Whether role balancing is enabled: a deployment may fix the roles itself."""
        return bool(self._configuration().placement.is_balancing_enabled)

    def _check_vacancies(self, pool: RunnerPool, may_order: bool, now_us: int) -> None:
        for role in ROLES:
            if may_order and pool.needs(role, self._is_balanced()):
                self.monitor.check(pool, role, self._vacancy_bound_us(pool, role), now_us)
            else:
                self.monitor.end(pool, role)

    def _vacancy_bound_us(self, pool: RunnerPool, role: str) -> int:
        configuration = self._configuration()
        settings = configuration.pools.get(pool.name, NO_POOL_SETTINGS)
        deadlines_us = [kind.deadline_us for kind in configuration.kinds.values()]
        report_us = self.node.bounds.report_us
        return vacancy_bound_us(role, settings.role_switch_us, deadlines_us, report_us)

    def _fill_vacancies(self, pool: RunnerPool, now_us: int) -> None:
        for role in (DECODE, PREFILL):
            if not pool.needs(role, self._is_balanced()):
                continue
            if pool.must_fill(role, VACANCY_WAIT_US, now_us):
                self._fill_role(pool, role, now_us)

    def _fill_role(self, pool: RunnerPool, role: str, now_us: int) -> None:
        """Order a runner to a vacant role, or expedite a planned change to that role."""
        notice_us = notice_for_vacancy_us(role)
        in_flight = self.orders.in_pool(pool.name)
        begun = [change for change in in_flight if change.role == role]
        if begun:
            for change in begun:
                change.notice_us = min(change.notice_us, notice_us)
                change.min_healthy = None
            return
        if now_us < pool.next_fill_us:
            return
        for change in in_flight:
            if not change.is_ordered():
                self._drop(change)
        runner = next(iter(least_busy(pool.roles, role, 1)), None)
        if runner is None:
            return
        pool.observed = pool.roles.counts()
        self.orders.begin(RoleChange(runner, role, now_us, notice_us))

    def _balance_if_due(self, pool: RunnerPool, now_us: int) -> None:
        if self.orders.in_pool(pool.name):
            return
        if now_us - pool.ratio_checked_us < RATIO_INTERVAL_US or now_us < pool.dwell_until_us:
            return
        pool.ratio_checked_us = now_us
        self._balance_ratio(pool, now_us)

    def _balance_ratio(self, pool: RunnerPool, now_us: int) -> None:
        """Run the ratio search, if all runners of the pool have reported and none is switching."""
        roles, settings = pool.roles, self._configuration().placement
        if roles.unreported or any(roles.arriving.values()):
            return
        pool.observed = roles.counts()
        if (
            not settings.is_balancing_enabled
            or not roles.healthy[DECODE]
            or roles.healthy_count() == 1
        ):
            return
        total = sum(other.roles.healthy_count() for other in self.pools.values())
        demand = self.demand.for_share(roles.healthy_count() / total, now_us)
        wanted = pool.desired_prefill(*demand, settings, now_us)
        missing = wanted - len(roles.healthy[PREFILL])
        if missing:
            self._plan_changes(pool, PREFILL if missing > 0 else DECODE, abs(missing), now_us)

    def _plan_changes(self, pool: RunnerPool, role: str, wanted: int, now_us: int) -> None:
        """Begin as many of the wanted changes as may run concurrently."""
        count = concurrent_changes(wanted, pool.roles.healthy_count())
        min_healthy = pool.roles.healthy_count() - count + 1
        for runner in least_busy(pool.roles, role, count):
            change = RoleChange(runner, role, now_us, NOTICE_US, min_healthy)
            if is_still_valid(change, runner, self.pools.get(change.pool), self._is_balanced()):
                self.orders.begin(change)

    def begin_change(self, runner: Runner, role: str, now_us: int) -> None:
        """Begin a planned change of this runner regardless of the ratio search."""
        self._count_roles(now_us)
        pool = self.pools[runner.pool]
        self.orders.begin(RoleChange(runner, role, now_us, NOTICE_US, pool.roles.healthy_count()))

    def _advance(self, change: RoleChange, now_us: int) -> None:
        """Take the next step of a change, by what its runner last reported."""
        runner: Any = self.runner_discovery.runners.get(change.name)
        progress = progress_of(change, runner, now_us)
        if progress is ChangeProgress.RUNNER_LOST:
            self._on_runner_lost(change, now_us)
        elif progress is ChangeProgress.TO_ORDER:
            self._order_if_due(change, runner, now_us)
        elif progress is ChangeProgress.COMPLETE:
            self.orders.mark_switched(runner, now_us)
            self._finish(change, now_us)
        elif progress is ChangeProgress.REFUSED:
            self._on_refused(change, now_us)
        elif progress is ChangeProgress.EXPIRED:
            self._finish(change, now_us)

    def _order_if_due(self, change: RoleChange, runner: Runner, now_us: int) -> None:
        pool = self.pools.get(change.pool)
        if not is_still_valid(change, runner, pool, self._is_balanced()):
            self._drop(change)
        elif now_us - change.announced_us >= change.notice_us:
            self.send_order(change, runner, now_us)

    def send_order(self, change: RoleChange, runner: Runner, now_us: int) -> None:
        """Send the order of a change; if a quorum has to record the intent first, start that."""
        pool = self.pools.get(change.pool)
        observed = pool.observed if pool is not None else {}
        self.orders.send(change, runner, observed, now_us, lambda: self._on_order_announced(change))

    def _on_order_announced(self, change: RoleChange) -> None:
        """Advance the change, unless it ended or became invalid while the quorum was asked."""
        is_pending = self.orders.changes.get(change.name) is change and not change.is_ordered()
        if is_pending and change.name in self.runner_discovery.runners:
            self._advance(change, self.node.now_us())

    def _drop(self, change: RoleChange) -> None:
        self.orders.end(change)
        self.counted_change = None

    def _on_refused(self, change: RoleChange, now_us: int) -> None:
        """End the change, and wait `RATIO_INTERVAL_US` before the next order to fill a vacancy."""
        self._finish(change, now_us)
        pool = self.pools.get(change.pool)
        if pool is not None:
            pool.next_fill_us = now_us + RATIO_INTERVAL_US

    def _on_runner_lost(self, change: RoleChange, now_us: int) -> None:
        """End the change of a lost runner, and restart the vacancy timer of the role."""
        pool = self.pools.get(change.pool)
        if pool is not None:
            self.monitor.end(pool, change.role)
        self._finish(change, now_us)

    def _finish(self, change: RoleChange, now_us: int) -> None:
        """End a change, completed or not, and start the dwell time of its pool."""
        self._drop(change)
        pool = self.pools.get(change.pool)
        if pool is not None:
            dwell_us = self._configuration().placement.balancing_dwell_us
            pool.dwell_until_us = now_us + dwell_us
