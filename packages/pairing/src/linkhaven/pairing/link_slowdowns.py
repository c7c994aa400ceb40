"""Measured slowdowns of the links between runners."""

SMOOTHING = 0.3
"""The weight of a new sample of a pair of runners."""

ZONE_SMOOTHING = 0.1
"""The weight of a new sample of a pair of zones."""

HALF_LIFE_US = 10_000_000
"""The half-life with which a slowdown returns to 1."""

GRACE_US = 10_000
"""This much delay of a transfer is not attributed to the link."""

SLOW_FACTOR = 2.0
"""From this slowdown on a link counts as slow and other routers are told."""

MAX_FACTOR = 1_000.0
"""The upper bound of a sample's slowdown."""


class LinkSlowdowns:
    """How much slower than planned the links between runners are.

    Slowdowns are kept by pair of runners and by pair of zones, which is the fallback. Without new
    samples they decay to 1, the plan's bandwidth.
    """

    __slots__ = ("now_us", "pairs", "zones")

    def __init__(self, now_us):
        self.now_us = now_us
        self.pairs = {}
        self.zones = {}

    def note(self, source, target, planned_us, seen_us):
        """Learn from a transfer; return a sample for the other routers, or None.

        They are told of a link that is slow, or was until now.
        """
        factor = min(MAX_FACTOR, max(1.0, (seen_us - GRACE_US) / max(1, planned_us)))
        pair, zones = (source.name, target.name), (source.zone, target.zone)
        is_news = max(factor, self._decayed(self.pairs, pair)) >= SLOW_FACTOR
        self.learn(pair, zones, factor)
        return (pair, zones, factor) if is_news else None

    def learn(self, pair, zones, factor):
        """Learn a slowdown that this router or another one measured."""
        self._learn(self.pairs, pair, factor, SMOOTHING)
        self._learn(self.zones, zones, factor, ZONE_SMOOTHING)

    def factor(self, source, target):
        """Return the slowdown of the link between two runners; 1 is as planned."""
        pair = (source.name, target.name)
        if pair in self.pairs:
            return self._decayed(self.pairs, pair)
        return self._decayed(self.zones, (source.zone, target.zone))

    def _learn(self, table, key, factor, smoothing):
        known = self._decayed(table, key)
        table[key] = (known + smoothing * (factor - known), self.now_us())

    def _decayed(self, table, key):
        entry = table.get(key)
        if entry is None:
            return 1.0
        factor, noted_us = entry
        return 1.0 + (factor - 1.0) * 0.5 ** ((self.now_us() - noted_us) / HALF_LIFE_US)

    def forget(self, names):
        """Drop the pairs of runners that are not among `names`."""
        for pair in [pair for pair in self.pairs if not names.issuperset(pair)]:
            del self.pairs[pair]
