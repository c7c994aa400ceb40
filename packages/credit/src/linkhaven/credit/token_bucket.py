"""The token bucket: a level that rises at a steady rate up to a capacity."""

from .units import MICROSECONDS

NO_RATE_WAIT_US = 10_000_000
"""The wait that a bucket without a rate names, after which to ask again."""


class TokenBucket:
    """A token bucket: `rate` tokens a second, `capacity` tokens at most.

    Whoever spends subtracts from `level`, which may fall below zero: work that is under way is
    charged after the fact, and the debt is paid off at the rate.
    """

    __slots__ = ("rate", "capacity", "level", "refilled_us")

    def __init__(self, rate, capacity, now_us, level=None):
        """Start full, or at `level` tokens where it is given."""
        self.rate = rate
        self.capacity = capacity
        self.level = capacity if level is None else level
        self.refilled_us = now_us

    def refill(self, now_us):
        """Add what came since the last refill; return the level.

        A clock that went back adds nothing.
        """
        elapsed_us = now_us - self.refilled_us
        if elapsed_us > 0:
            self.level = min(self.capacity, self.level + self.rate * elapsed_us / MICROSECONDS)
            self.refilled_us = now_us
        return self.level

    def resize(self, rate, capacity, now_us):
        """Continue with another rate and capacity; what exceeds the capacity is lost."""
        self.refill(now_us)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def wait_us(self, cost, now_us):
        """Return the time until the bucket holds `cost` tokens, 0 if it does."""
        level = self.refill(now_us)
        if level >= cost:
            return 0
        if self.rate <= 0:
            return NO_RATE_WAIT_US
        return int((cost - level) / self.rate * MICROSECONDS) + 1
