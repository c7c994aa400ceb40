"""Token bucket: a level that fills at a constant rate up to a capacity."""

from .units import US_PER_SECOND

NO_RATE_WAIT_US = 10_000_000
"""The wait that a bucket without a rate returns; the caller checks again after it."""


class TokenBucket:
    """A token bucket that fills at `rate` tokens per second, up to `capacity` tokens.

    Callers spend tokens by subtracting from `level`. It may fall below zero, since work in progress
    is charged afterwards; the debt is paid off at the rate.
    """

    __slots__ = ("rate", "capacity", "level", "refilled_us")

    def __init__(self, rate, capacity, now_us, level=None):
        """Start full, or at `level` tokens if given."""
        self.rate = rate
        self.capacity = capacity
        self.level = capacity if level is None else level
        self.refilled_us = now_us

    def refill(self, now_us):
        """Add the tokens gained since the last refill; return the level.

        A backward clock jump adds nothing.
        """
        elapsed_us = now_us - self.refilled_us
        if elapsed_us > 0:
            self.level = min(self.capacity, self.level + self.rate * elapsed_us / US_PER_SECOND)
            self.refilled_us = now_us
        return self.level

    def resize(self, rate, capacity, now_us):
        """Change the rate and capacity; tokens above the capacity are lost."""
        self.refill(now_us)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def wait_us(self, cost, now_us):
        """Return the time in microseconds until the bucket holds `cost` tokens, 0 if it does."""
        level = self.refill(now_us)
        if level >= cost:
            return 0
        if self.rate <= 0:
            return NO_RATE_WAIT_US
        return int((cost - level) / self.rate * US_PER_SECOND) + 1
