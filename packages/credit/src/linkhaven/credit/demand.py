"""What the routers want of one allowance, with a sum that is kept up to date."""

RECOUNT_RATIO = 1e-6
"""A sum below this part of its largest value is counted anew: rounding errors might show."""


class RouterDemands:
    """The newest demand of each router that was heard lately, and their sum.

    Grants go by the ratios of the demands. So once the sum is so small beside what it was that
    rounding might show, it is counted anew
    (`test_demand_that_falls_to_nothing_keeps_its_ratios`).
    """

    __slots__ = ("by_router", "total", "largest_total", "timeout_us")

    def __init__(self, timeout_us):
        """A router that wasn't heard for `timeout_us` wants nothing."""
        self.by_router = {}
        self.total = 0.0
        self.largest_total = 0.0
        self.timeout_us = timeout_us

    def record(self, router, amount, now_us):
        """Take a router's newest demand; calls come in the order of time."""
        previous_amount, _ = self.by_router.pop(router, (0.0, 0))
        self.by_router[router] = (amount, now_us)
        self._add_to_total(amount - previous_amount)

    def _add_to_total(self, amount):
        self.total += amount
        self.largest_total = max(self.largest_total, self.total)
        if self.total < self.largest_total * RECOUNT_RATIO:
            self.total = self.largest_total = sum(self.amounts())

    def expire(self, now_us):
        """Drop the routers that timed out; the first in the table were heard longest ago."""
        while self.by_router:
            router = next(iter(self.by_router))
            amount, heard_us = self.by_router[router]
            if now_us - heard_us < self.timeout_us:
                return
            del self.by_router[router]
            self._add_to_total(-amount)

    def amounts(self):
        """Return the demands of all routers."""
        return [amount for amount, _ in self.by_router.values()]

    def amount_of(self, router):
        """Return a router's demand, or None if it wasn't heard lately."""
        entry = self.by_router.get(router)
        return None if entry is None else entry[0]
