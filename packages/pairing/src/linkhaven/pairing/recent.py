"""The mean of what was seen lately, kept so that it can be added up over routers."""

HALF_LIFE_US = 1_000_000
"""After this long a sample counts half."""

LEAST_COUNT = 0.1
"""With less than this left of all samples nothing is known."""

SCALE = 1_000
"""Counts go to other routers in thousandths, as whole numbers, so that their sums stay exact."""


class RecentMean:
    """A decayed count and sum."""

    __slots__ = ("count", "total", "noted_us")

    def __init__(self):
        """Nothing was seen yet."""
        self.count = self.total = 0.0
        self.noted_us = 0

    def _fade(self, now_us):
        share = 0.5 ** ((now_us - self.noted_us) / HALF_LIFE_US)
        self.noted_us = now_us
        self.count *= share
        self.total *= share

    def note(self, value, now_us):
        """Take one sample."""
        self._fade(now_us)
        self.count += 1
        self.total += value

    def as_row(self, now_us):
        """Return count and sum as whole numbers."""
        self._fade(now_us)
        return [round(self.count * SCALE), round(self.total)]

    def with_others(self, row, now_us):
        """Return the mean of these samples and those that `row` sums up; 0 where there are none."""
        self._fade(now_us)
        count, total = (row[0] / SCALE, row[1]) if row else (0.0, 0.0)
        count += self.count
        return (total + self.total) / count if count > LEAST_COUNT else 0.0
