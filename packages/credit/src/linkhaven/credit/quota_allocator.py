"""The quota allocator: divides each allowance over the routers while it holds its lease.

The lease is on the role `bursar`. Routers report their demand and the grants that they hold
(`DemandReport`); each response grants rates and a share of the retry budget (`AllocatedShares`).
"""

from .demand import RouterDemands
from .grants import OutstandingGrants
from .messages import AllocatedGrant, AllocatedShares, read_demand, write_fields
from .units import US_PER_SECOND

DEMAND_TIMEOUT_US = 5_000_000
"""The demand of a router that didn't report for this long counts as 0."""

GRANT_NUMBERS_PER_FENCE = 1_000_000_000
"""A grant's number is the fencing token of its lease times this, plus a serial number."""

RETRY_BUDGET = "retry budget"
"""Key of the retry budget among the groups; no name of a group contains a space."""

UNCLAIMED_INTERVAL_US = 250_000
"""How often the attempts that no router wants are recounted."""

ROUNDING_RATIO = 1e-9
"""The fraction of an allowance that is never granted, so that float rounding can't exceed it."""

EVEN_SHARE = 0.2
"""The fraction of an allowance that is divided evenly over the routers."""

DEMAND_SHARE = 0.8
"""The fraction of an allowance that is divided in proportion to demand."""


class QuotaAllocator:
    """Divides each group's allowance, and the margin of the retry budget, over the routers.

    Invariant: the grants that routers may hold never sum above the allowance. A grant counts until
    it expires or its router reports a later one
    (`test_shares_granted_from_what_is_left_never_sum_above_the_whole`).
    """

    __slots__ = (
        "node",
        "lease",
        "snapshot",
        "elected_us",
        "grants",
        "demands",
        "serial",
        "unclaimed",
        "unclaimed_counted_us",
    )

    def __init__(self, node, lease, snapshot):
        """Allocate while `lease` is held, by the configuration in `snapshot`."""
        self.node = node
        self.lease = lease
        self.snapshot = snapshot
        self.elected_us = None
        self.grants = {}
        self.demands = {}
        self.serial = 0
        self.unclaimed = 0
        self.unclaimed_counted_us = None

    # the lease

    def on_lease_won(self, role):
        """Start without grants: routers report those of earlier holders, or they expire."""
        self.elected_us = self.node.now_us()
        self.grants = {}
        self.demands = {}
        self.unclaimed_counted_us = None

    def on_lease_lapsed(self, role):
        """Stop granting."""
        self.elected_us = None

    def _is_settling(self, now_us):
        """Whether a router may still hold an unreported grant of an earlier lease holder."""
        return self.lease.fencing_token > 1 and now_us - self.elected_us < self.node.bounds.lease_us

    # demand reports

    def on_watch_request(self, request):
        """Record the demand reports of a router's watch request."""
        if self.elected_us is None:
            return
        now_us = self.node.now_us()
        router = request["name"]
        for group, fields in request.get("credit", {}).items():
            self._record(group, router, read_demand(fields), now_us)
        if "extra" in request:
            self._record(RETRY_BUDGET, router, read_demand(request["extra"]), now_us)

    def _record(self, name, router, report, now_us):
        self._demands_for(name).record(router, report.wanted, now_us)
        expires_us = now_us + self.node.bounds.lease_us
        grants = self._grants_of(name, now_us)
        grants.confirm(router, report.grant, report.rate, expires_us, now_us)

    def _demands_for(self, name):
        demands = self.demands.get(name)
        if demands is None:
            demands = self.demands[name] = RouterDemands(DEMAND_TIMEOUT_US)
        return demands

    def _grants_of(self, name, now_us):
        grants = self.grants.get(name)
        if grants is None:
            grants = self.grants[name] = OutstandingGrants(now_us)
        return grants

    # grants

    def add_shares(self, request, response):
        """Add the grants to the response to a router's watch request, if the lease is held."""
        if (
            self.elected_us is None
            or not self.lease.is_held()
            or self.snapshot.configuration is None
        ):
            return
        now_us = self.node.now_us()
        rates = self._grant_rates(request, now_us)
        shares = AllocatedShares(self.lease.fencing_token, rates)
        if "extra" in request:
            extra = self._grant_attempts(request["name"], read_demand(request["extra"]), now_us)
            shares = AllocatedShares(self.lease.fencing_token, rates, extra)
        response["shares"] = write_fields(shares)

    def _grant_rates(self, request, now_us):
        """Return the grants of the groups that the router reported demand for."""
        router, groups = request["name"], self.snapshot.configuration.groups
        rates = {}
        for name, fields in request.get("credit", {}).items():
            allowance = groups[name].allowance if name in groups else None
            if allowance is None:
                continue
            if self._is_settling(now_us):
                rate = read_demand(fields).rate
            else:
                rate = self._rate_for(name, router, allowance, now_us)
            if rate > 0:
                rates[name] = self._grant(name, router, rate, now_us)
        return rates

    def _grant_attempts(self, router, report, now_us):
        attempts = report.rate
        if not self._is_settling(now_us):
            margin = self.snapshot.configuration.retry_budget.margin_attempts
            attempts = self._attempts_for(router, margin, now_us)
        return self._grant(RETRY_BUDGET, router, attempts, now_us)

    def _grant(self, name, router, amount, now_us):
        self.serial += 1
        number = self.lease.fencing_token * GRANT_NUMBERS_PER_FENCE + self.serial
        expires_us = now_us + self.node.bounds.lease_us
        self._grants_of(name, now_us).add(router, number, amount, expires_us)
        return AllocatedGrant(amount, number)

    # rates of groups, in tokens per second

    def _rate_for(self, group, router, allowance, now_us):
        """Return a router's rate by demand, at least the minimum share, at most what is left."""
        demands = self._demands_for(group)
        demands.expire(now_us)
        demand = demands.amount_of(router)
        if demand is None:
            return 0.0
        share = even_share = 1 / len(demands.by_router)
        if demands.total > 0:
            share = EVEN_SHARE * even_share + DEMAND_SHARE * demand / demands.total
        total_rate = allowance.tokens * US_PER_SECOND / allowance.period_us
        rate = total_rate * max(share, self.snapshot.configuration.min_allowance_share)
        return max(0.0, min(rate, self._unallocated(group, router, total_rate, now_us)))

    def _unallocated(self, group, router, total_rate, now_us):
        """Return the rate that no other router can hold."""
        held_by_others = self._grants_of(group, now_us).amount_of_others(router, now_us)
        return total_rate - held_by_others - total_rate * ROUNDING_RATIO

    # retry budget, in whole attempts, because fractions can't be spent

    def _attempts_for(self, router, margin, now_us):
        """Return a router's attempts of the margin.

        At least one for a router with requests, more if it wants retries, and one for an idle
        router if no other router wants it.
        """
        demands = self._demands_for(RETRY_BUDGET)
        demands.expire(now_us)
        demand = demands.amount_of(router)
        if demand:
            attempts = self._proportional_attempts(demand, demands.total, margin)
        else:
            attempts = 1 if self._unclaimed_attempts(demands, margin, now_us) > 0 else 0
        grants = self._grants_of(RETRY_BUDGET, now_us)
        unallocated = int(margin - grants.amount_of_others(router, now_us))
        return max(0, min(attempts, unallocated))

    def _proportional_attempts(self, demand, total_demand, margin):
        return max(1, int(margin * demand / total_demand))

    def _unclaimed_attempts(self, demands, margin, now_us):
        """Return the attempts that no router wants, recounted at each interval.

        Between recounts the outstanding grants limit what is granted of them.
        """
        counted_us = self.unclaimed_counted_us
        if counted_us is None or now_us - counted_us >= UNCLAIMED_INTERVAL_US:
            self.unclaimed_counted_us = now_us
            self.unclaimed = margin - sum(
                self._proportional_attempts(demand, demands.total, margin)
                for demand in demands.amounts()
                if demand
            )
        return self.unclaimed
