"""Tables of rows by name, and the token bucket."""

MICROSECONDS = 1_000_000
NO_RATE_WAIT_US = 10_000_000
"""What a bucket without a rate tells to wait before asking again."""


class Table(dict):
    """Rows by name, in the order in which they came."""

    __slots__ = ()

    def rows(self):
        """The rows as they are now; the table may change while they are gone through."""
        return list(self.values())

    def drop(self, key):
        """Take a row out, and give it; None where there is none."""
        return self.pop(key, None)


class Bucket:
    """A token bucket: `rate` tokens a second, `size` at most."""

    __slots__ = ("rate", "size", "level", "filled_us")

    def __init__(self, rate, size, now_us, level=None):
        """Full at first where no level is told."""
        self.rate = rate
        self.size = size
        self.level = size if level is None else level
        self.filled_us = now_us

    def fill(self, now_us):
        """The level now; a clock that went back adds nothing."""
        passed_us = now_us - self.filled_us
        if passed_us > 0:
            self.level = min(self.size, self.level + self.rate * passed_us / MICROSECONDS)
            self.filled_us = now_us
        return self.level

    def resize(self, rate, size, now_us):
        """Go on with another rate and size; what is above the size is lost."""
        self.fill(now_us)
        self.rate = rate
        self.size = size
        self.level = min(self.level, size)

    def wait_us(self, cost, now_us):
        """How long until the bucket holds `cost` tokens."""
        level = self.fill(now_us)
        if level >= cost:
            return 0
        if self.rate <= 0:
            return NO_RATE_WAIT_US
        return int((cost - level) / self.rate * MICROSECONDS) + 1
