"""An exponentially decayed mean that can be summed over routers."""

HALF_LIFE_US = 1_000_000
"""The half-life of a sample's weight."""

MIN_COUNT = 0.1
"""Below this total weight the mean counts as unknown."""

SCALE = 1_000
"""Counts are exchanged in thousandths, as integers, so that their sums are exact."""


class RecentMean:
    """A decayed count and sum."""

    __slots__ = ("count", "total", "noted_us")

    def __init__(self):
        """Start without samples."""
        self.count = self.total = 0.0
        self.noted_us = 0

    def _decay(self, now_us):
        share = 0.5 ** ((now_us - self.noted_us) / HALF_LIFE_US)
        self.noted_us = now_us
        self.count *= share
        self.total *= share

    def note(self, value, now_us):
        """Add one sample."""
        self._decay(now_us)
        self.count += 1
        self.total += value

    def as_row(self, now_us):
        """Return count and sum as integers."""
        self._decay(now_us)
        return [round(self.count * SCALE), round(self.total)]

    def with_others(self, row, now_us):
        """Return the mean of these samples and those summed up in `row`, or 0 without any."""
        self._decay(now_us)
        count, total = (row[0] / SCALE, row[1]) if row else (0.0, 0.0)
        count += self.count
        return (total + self.total) / count if count > MIN_COUNT else 0.0
