"""Balances prefill and decode: orders runners' roles so that each pool has both in a fitting ratio.

Two kinds of change. A planned one follows the ratio search: few at a time in a pool, routers told
before the order leaves, a dwell after it, and dropped where the pool lost a runner since it was
decided on or the role it takes from would be vacant. One that fills a vacancy comes at once,
without dwell and, for decode, without notice to the routers. That is safe since nothing read can be
decoded there before: a read that still reaches the runner is refused as not executed (421, or 503
while it switches), as is any work sent to a runner whose role the sender took wrongly.

Decisions are in `role_decisions.py`, orders in flight in `role_orders.py`.
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
    VACANCY_WAIT_US,
    WEIGH_INTERVAL_US,
    ChangeProgress,
    changes_at_once,
    least_busy,
    notice_for_vacancy,
    progress_of,
    still_stands,
    vacancy_bound_us,
)
from .role_orders import OrderClient, OrderPermission, RoleOrders
from .role_pools import ROLES, PoolRoles, RunnerPool
from .runner_discovery import RunnerDiscovery
from .traffic_demand import TrafficDemand
from .vacant_roles import VacantRoleMonitor

SURVEY_INTERVAL_US = 50_000
"""How often the roles are counted while nothing is known to have changed."""

NO_POOL_SETTINGS = PoolSettings()
"""Of a pool that the configuration doesn't name."""


class RoleBalancer:
    """Runs the round of the role balancer while its lease is held.

    Owns what is known of the pools. Invariant: no needed role is vacant beyond its bound while a
    sound runner could play it (`VacantRoleMonitor`, `tests/test_vacant_roles.py`).
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
        "surveyed_us",
        "surveyed_change",
    )

    def __init__(
        self,
        node: Node,
        lease: Lease,
        runner_discovery: RunnerDiscovery,
        client: OrderClient,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """Stand ready to order; nothing is ordered before the lease is won."""
        self.node = node
        self.lease = lease
        self.runner_discovery = runner_discovery
        self.snapshot = snapshot
        self.pools: dict[str | None, RunnerPool] = {}
        self.demand = TrafficDemand(node)
        self.permission = OrderPermission(node, lease)
        self.orders = RoleOrders(node, lease, self.permission, client, snapshot)
        self.monitor = VacantRoleMonitor(node.ports)
        self.surveyed_us = 0
        self.surveyed_change: int | None = None
        node.systems.append(self.tick)

    # the lease

    def on_lease_won(self, role: str) -> None:
        """Nothing of an earlier lease counts."""
        self.permission.on_lease_won()
        self._forget()

    def on_lease_lapsed(self, role: str) -> None:
        """Nothing that was decided on under this lease is ordered any more."""
        self._forget()

    def _forget(self) -> None:
        self.pools = {}
        self.orders.clear()
        self.surveyed_change = None

    def as_record(self) -> dict[str, Any]:
        """For the standing."""
        record = self.monitor.as_record(self.pools.values(), self.node.now_us())
        return {"orders": self.orders.sent, **record}

    # the round

    def tick(self, now_us: int) -> None:
        """Count the roles, fill vacant ones, work off changes, weigh the ratio when due."""
        if not self.lease.is_held() or not self.runner_discovery.is_ready():
            return
        if self.snapshot.configuration is None:
            return
        self.orders.forget_settled(now_us)
        self._survey(now_us)
        may_order = self.permission.may_order(now_us)
        for pool in list(self.pools.values()):
            if may_order:
                self._fill_vacancies(pool, now_us)
            self._check_vacancies(pool, may_order, now_us)
        for change in list(self.orders.changes.values()):
            self._advance(change, now_us)
        if may_order:
            for pool in list(self.pools.values()):
                self._weigh_if_due(pool, now_us)

    def _survey(self, now_us: int) -> None:
        """Count who plays what: at each change of the list, else after a while."""
        newest_change = self.runner_discovery.list.delta.newest
        is_changed = newest_change != self.surveyed_change
        if not is_changed and now_us - self.surveyed_us < SURVEY_INTERVAL_US:
            return
        self.surveyed_us = now_us
        self.surveyed_change = newest_change
        counted: dict[str | None, PoolRoles] = {name: PoolRoles() for name in self.pools}
        health = self.runner_discovery.health
        for runner in self.runner_discovery.runners.values():
            roles = counted.setdefault(runner.pool, PoolRoles())
            roles.add(runner, health, self.orders.changes.get(runner.name))
        for name, roles in counted.items():
            self.pools.setdefault(name, RunnerPool(name)).take(roles, now_us)

    def _configuration(self) -> Any:
        """The configuration in force; the round runs only where there is one."""
        return self.snapshot.configuration

    def _is_balanced(self) -> bool:
        """Whether roles are balanced at all: a deployment may fix them itself."""
        return bool(self._configuration().placement.is_balancing_enabled)

    # vacant roles

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
        """Order somebody to a vacant role, or hasten a change that was planned to it."""
        notice_us = notice_for_vacancy(role)
        in_flight = self.orders.of_pool(pool.name)
        begun = [change for change in in_flight if change.role == role]
        if begun:
            for change in begun:
                change.notice_us = min(change.notice_us, notice_us)
                change.members = None
            return
        if now_us < pool.fill_from_us:
            return
        for change in in_flight:
            if not change.is_ordered():
                self._drop(change)
        runner = next(iter(least_busy(pool.now, role, 1)), None)
        if runner is None:
            return
        pool.observed = pool.now.counts()
        self.orders.begin(RoleChange(runner, role, now_us, notice_us))

    # the ratio

    def _weigh_if_due(self, pool: RunnerPool, now_us: int) -> None:
        if self.orders.of_pool(pool.name):
            return
        if now_us - pool.weighed_us < WEIGH_INTERVAL_US or now_us < pool.dwell_until_us:
            return
        pool.weighed_us = now_us
        self._weigh(pool, now_us)

    def _weigh(self, pool: RunnerPool, now_us: int) -> None:
        """Weigh the ratio, once each runner of the pool has reported and none is switching."""
        roles, settings = pool.now, self._configuration().placement
        if roles.unreported or any(roles.arriving.values()):
            return
        pool.observed = roles.counts()
        if (
            not settings.is_balancing_enabled
            or not roles.sound[DECODE]
            or roles.healthy_count() == 1
        ):
            return
        all_members = sum(other.now.healthy_count() for other in self.pools.values())
        demand = self.demand.of_share(roles.healthy_count() / all_members, now_us)
        wanted = pool.wanted_prefill(*demand, settings, now_us)
        missing = wanted - len(roles.sound[PREFILL])
        if missing:
            self._plan_changes(pool, PREFILL if missing > 0 else DECODE, abs(missing), now_us)

    def _plan_changes(self, pool: RunnerPool, role: str, wanted: int, now_us: int) -> None:
        """Begin some of the changes that are wanted."""
        count = changes_at_once(wanted, pool.now.healthy_count())
        members = pool.now.healthy_count() - count + 1
        for runner in least_busy(pool.now, role, count):
            change = RoleChange(runner, role, now_us, NOTICE_US, members)
            if still_stands(change, runner, self.pools.get(change.pool), self._is_balanced()):
                self.orders.begin(change)

    def begin_change(self, runner: Runner, role: str, now_us: int) -> None:
        """Begin a planned change of this runner, whatever the ratio search says."""
        self._survey(now_us)
        pool = self.pools[runner.pool]
        self.orders.begin(RoleChange(runner, role, now_us, NOTICE_US, pool.now.healthy_count()))

    # one change

    def _advance(self, change: RoleChange, now_us: int) -> None:
        """Do what is due about a change."""
        runner: Any = self.runner_discovery.runners.get(change.name)
        progress = progress_of(change, runner, now_us)
        if progress is ChangeProgress.RUNNER_LOST:
            self._on_runner_lost(change, now_us)
        elif progress is ChangeProgress.TO_ORDER:
            self._order_if_due(change, runner, now_us)
        elif progress is ChangeProgress.COMPLETE:
            self.orders.settle(runner, now_us)
            self._finish(change, now_us)
        elif progress is ChangeProgress.REFUSED:
            self._on_refused(change, now_us)
        elif progress is ChangeProgress.EXPIRED:
            self._finish(change, now_us)

    def _order_if_due(self, change: RoleChange, runner: Runner, now_us: int) -> None:
        pool = self.pools.get(change.pool)
        if not still_stands(change, runner, pool, self._is_balanced()):
            self._drop(change)
        elif now_us - change.announced_us >= change.notice_us:
            self.send_order(change, runner, now_us)

    def send_order(self, change: RoleChange, runner: Runner, now_us: int) -> None:
        """Send the order of a change, or have a quorum record first that it follows."""
        pool = self.pools.get(change.pool)
        observed = pool.observed if pool is not None else {}
        self.orders.send(change, runner, observed, now_us, lambda: self._on_order_announced(change))

    def _on_order_announced(self, change: RoleChange) -> None:
        """Meanwhile the change may be over, or not stand any more."""
        is_pending = self.orders.changes.get(change.name) is change and not change.is_ordered()
        if is_pending and change.name in self.runner_discovery.runners:
            self._advance(change, self.node.now_us())

    def _drop(self, change: RoleChange) -> None:
        self.orders.end(change)
        self.surveyed_change = None

    def _on_refused(self, change: RoleChange, now_us: int) -> None:
        """The next order to fill a vacancy comes a while later."""
        self._finish(change, now_us)
        pool = self.pools.get(change.pool)
        if pool is not None:
            pool.fill_from_us = now_us + WEIGH_INTERVAL_US

    def _on_runner_lost(self, change: RoleChange, now_us: int) -> None:
        """Its runner leaves or is unresponsive: whoever waited for the role waits anew."""
        pool = self.pools.get(change.pool)
        if pool is not None:
            self.monitor.end(pool, change.role)
        self._finish(change, now_us)

    def _finish(self, change: RoleChange, now_us: int) -> None:
        """It is over, well or not; the ratio of its pool rests for the dwell."""
        self._drop(change)
        pool = self.pools.get(change.pool)
        if pool is not None:
            dwell_us = self._configuration().placement.balancing_dwell_us
            pool.dwell_until_us = now_us + dwell_us
