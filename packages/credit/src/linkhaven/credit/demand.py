"""The routers' demand for one allowance, with an incrementally updated sum."""

RECOUNT_RATIO = 1e-6
"""A sum below this fraction of its largest value is recounted to remove rounding errors."""


class RouterDemands:
    """The newest demand of each router that reported recently, and their sum.

    Grants depend on the ratios of demands. So when the sum is so small relative to its largest
    value that rounding errors matter, it is recounted
    (`test_demand_that_falls_to_nothing_keeps_its_ratios`).
    """

    __slots__ = ("by_router", "total", "largest_total", "timeout_us")

    def __init__(self, timeout_us):
        """The demand of a router expires after `timeout_us` without a report."""
        self.by_router = {}
        self.total = 0.0
        self.largest_total = 0.0
        self.timeout_us = timeout_us

    def record(self, router, amount, now_us):
        """Record a router's newest demand; `now_us` must not decrease between calls."""
        previous_amount, _ = self.by_router.pop(router, (0.0, 0))
        self.by_router[router] = (amount, now_us)
        self._add_to_total(amount - previous_amount)

    def _add_to_total(self, amount):
        self.total += amount
        self.largest_total = max(self.largest_total, self.total)
        if self.total < self.largest_total * RECOUNT_RATIO:
            self.total = self.largest_total = sum(self.amounts())

    def expire(self, now_us):
        """Drop the routers that timed out; the table is in order of their last report."""
        while self.by_router:
            router = next(iter(self.by_router))
            amount, received_us = self.by_router[router]
            if now_us - received_us < self.timeout_us:
                return
            del self.by_router[router]
            self._add_to_total(-amount)

    def amounts(self):
        """Return the demands of all routers."""
        return [amount for amount, _ in self.by_router.values()]

    def amount_of(self, router):
        """Return a router's demand, or None if it didn't report recently."""
        entry = self.by_router.get(router)
        return None if entry is None else entry[0]
