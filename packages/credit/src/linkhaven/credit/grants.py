"""The outstanding grants of one allowance, with an incrementally updated sum."""

from collections import deque

RECOUNT_INTERVAL_US = 500_000
"""How often the sum is recounted, so that rounding errors don't accumulate."""


class Grant:
    """A share of an allowance at one router, until it expires or a later one replaces it."""

    __slots__ = ("router", "number", "amount", "expires_us")

    def __init__(self, router, number, amount, expires_us):
        """`number` increases with each grant; `expires_us` is by the allocator's clock."""
        self.router = router
        self.number = number
        self.amount = amount
        self.expires_us = expires_us


class OutstandingGrants:
    """The grants of one allowance by router, and the most that routers can hold in total.

    Invariant: the sum counts each router's largest grant, since the router may hold any of its
    grants until it reports a later one
    (`test_the_incremental_sum_equals_a_full_recount`).
    """

    __slots__ = ("by_router", "largest", "total", "expiring", "recounted_us")

    def __init__(self, now_us):
        """Start without grants."""
        self.by_router = {}
        self.largest = {}
        self.total = 0.0
        self.expiring = deque()
        self.recounted_us = now_us

    def __len__(self):
        """Return the number of routers that may hold a grant."""
        return len(self.by_router)

    def confirm(self, router, number, amount, expires_us, now_us):
        """Process a router's report of the grant that it holds, which ends its earlier ones.

        A grant that isn't known here was given by an earlier holder of the lease and is added.
        """
        self._expire(now_us)
        grants = self.by_router.get(router, ())
        if any(grant.number == number for grant in grants):
            grants[:] = [grant for grant in grants if grant.number >= number]
            self._update_router(router)
        elif amount > 0:
            self.add(router, number, amount, expires_us)

    def add(self, router, number, amount, expires_us):
        """Add a grant that is sent to a router."""
        grant = Grant(router, number, amount, expires_us)
        self.by_router.setdefault(router, []).append(grant)
        self.expiring.append(grant)
        self._update_router(router)

    def amount_of_others(self, router, now_us):
        """Return the most that all routers other than this one can hold now."""
        self._expire(now_us)
        return self.total - self.largest.get(router, 0.0)

    def _update_router(self, router):
        grants = self.by_router[router]
        largest = max((grant.amount for grant in grants), default=0.0)
        self.total += largest - self.largest.get(router, 0.0)
        if grants:
            self.largest[router] = largest
            return
        del self.by_router[router]
        self.largest.pop(router, None)

    def _expire(self, now_us):
        while self.expiring and self.expiring[0].expires_us <= now_us:
            router = self.expiring.popleft().router
            grants = self.by_router.get(router)
            if grants is not None:
                grants[:] = [grant for grant in grants if grant.expires_us > now_us]
                self._update_router(router)
        if now_us - self.recounted_us >= RECOUNT_INTERVAL_US:
            self.recounted_us = now_us
            self.total = sum(self.largest.values())
