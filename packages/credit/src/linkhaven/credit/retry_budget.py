"""The retry budget of one router: how many attempts beyond the first its requests may make.

Each request earns a fraction of an attempt. Earnings are capped at the attempts that the quota
allocator granted this router of the fleet's margin; without a grant nothing is kept. Each pool of
runners has its own budget. So over any time span the fleet spends on a pool at most
`attempts_per_request` x its requests + `margin_attempts`, however many routers run
(`test_more_routers_than_the_plan_counts_breach_neither_budget_nor_allowance`).
"""

from linkhaven.configuration import Configuration

from .messages import DemandReport, write_fields
from .token_bucket import TokenBucket

RECENT_US = 3_000_000
"""How long requests and wanted retries count as demand."""

MAX_WANTED_RETRIES = 4
"""The most attempts that recently wanted retries add to the demand."""


class RetryBudget:
    """Token buckets of attempts, one for each pool of runners.

    Attempts earned by one pool's requests aren't spent on another
    (`test_what_requests_of_one_pool_earn_is_not_spent_on_another`).
    """

    __slots__ = (
        "node",
        "attempts_per_request",
        "default_bucket",
        "buckets",
        "spent",
        "refused",
        "grant_number",
        "grant_expires_us",
        "wanted_us",
        "earned_us",
        "refused_us",
    )

    def __init__(self, node):
        """Start empty and without a grant."""
        self.node = node
        self.attempts_per_request = 0.0
        self.default_bucket = TokenBucket(0.0, 0.0, node.now_us())
        self.buckets = {None: self.default_bucket}
        self.spent = {}
        self.refused = 0
        self.grant_number = 0
        self.grant_expires_us = 0
        self.wanted_us = []
        self.earned_us = None
        self.refused_us = None
        node.tick_handlers.append(self.tick)

    # configuration, grants and reports

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration; buckets of removed pools are dropped."""
        self.attempts_per_request = configuration.retry_budget.attempts_per_request
        pools = configuration.pools
        for pool in [pool for pool in self.buckets if pool is not None and pool not in pools]:
            del self.buckets[pool]

    def apply_grant(self, attempts, number, expires_us):
        """Apply a grant of whole attempts, unless a later one is held."""
        if number <= self.grant_number:
            return
        self.grant_number = number
        self.grant_expires_us = expires_us
        self._resize(attempts, self.node.now_us())

    def tick(self, now_us):
        """Expire the grant, and with it the attempts earned under it."""
        if now_us >= self.grant_expires_us and self.default_bucket.capacity:
            self._resize(0.0, now_us)

    def _resize(self, attempts, now_us):
        for bucket in self.buckets.values():
            bucket.resize(0.0, attempts, now_us)

    def demand_report(self):
        """Return, as wire fields, this router's demand for the margin.

        One attempt if there are recent requests, and one more for each recently wanted retry.
        """
        now_us = self.node.now_us()
        self.wanted_us = [at_us for at_us in self.wanted_us if now_us - at_us < RECENT_US]
        has_requests = self._is_recent(self.earned_us, now_us)
        is_granted = now_us < self.grant_expires_us
        report = DemandReport(
            wanted=has_requests + min(MAX_WANTED_RETRIES, len(self.wanted_us)),
            rate=self.default_bucket.capacity if is_granted else 0,
            grant=self.grant_number,
        )
        return write_fields(report)

    # requests

    def earn(self, pool=None):
        """Count a request of a pool, which earns a fraction of an attempt."""
        self.earned_us = self.node.now_us()
        self.tick(self.earned_us)
        bucket = self._bucket_of(pool)
        bucket.level = min(bucket.capacity, bucket.level + self.attempts_per_request)

    def covers(self, cost, pool=None):
        """Whether a pool's budget covers `cost` attempts."""
        return self._bucket_of(pool).level >= cost

    def spend(self, reason, reserve=0.0, cost=1, pool=None):
        """Spend `cost` attempts if at least `reserve` remain; return whether they were spent.

        Spending without a reserve counts as demand.
        """
        now_us = self.node.now_us()
        self.tick(now_us)
        if not reserve:
            self.wanted_us.append(now_us)
        bucket = self._bucket_of(pool)
        if bucket.level < cost + reserve:
            self.refused += 1
            self.refused_us = now_us
            return False
        bucket.level -= cost
        self.spent[reason] = self.spent.get(reason, 0) + cost
        return True

    def reserve_for_retries(self):
        """Return the attempts that moves of running requests must leave over for retries."""
        return max(0.0, (self.default_bucket.capacity - 1) / 2)

    def was_refused_recently(self):
        """Whether an attempt was refused recently because the budget didn't cover it."""
        return self._is_recent(self.refused_us, self.node.now_us())

    def _is_recent(self, at_us, now_us):
        return at_us is not None and now_us - at_us < RECENT_US

    def _bucket_of(self, pool):
        bucket = self.buckets.get(pool)
        if bucket is None:
            capacity = self.default_bucket.capacity
            bucket = TokenBucket(0.0, capacity, self.node.now_us(), level=0.0)
            self.buckets[pool] = bucket
        return bucket
