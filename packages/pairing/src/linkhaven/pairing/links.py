SMOOTHING = 0.3
ZONE_SMOOTHING = 0.1
HALF_US = 10_000_000
GRACE_US = 10_000
CLEARLY = 2.0
FACTOR_AT_MOST = 1_000.0


class LinkSlowdowns:
    """How much slower than the plan says the links between runners are, by pair where there are samples, else by pair
    of zones; without samples it goes back to what the plan says."""

    __slots__ = ("now_us", "pairs", "zones")

    def __init__(self, now_us):
        self.now_us = now_us
        self.pairs = {}
        self.zones = {}

    def note(self, source, target, planned_us, seen_us):
        """Answers the sample when fellows should hear of it: a link that is, or was taken for, clearly slow."""
        factor = min(FACTOR_AT_MOST, max(1.0, (seen_us - GRACE_US) / max(1, planned_us)))
        pair, zones = (source.name, target.name), (source.zone, target.zone)
        is_news = max(factor, self._read(self.pairs, pair)) >= CLEARLY
        self.learn(pair, zones, factor)
        return (pair, zones, factor) if is_news else None

    def learn(self, pair, zones, factor):
        self._learn(self.pairs, pair, factor, SMOOTHING)
        self._learn(self.zones, zones, factor, ZONE_SMOOTHING)

    def factor(self, source, target):
        pair = (source.name, target.name)
        if pair in self.pairs:
            return self._read(self.pairs, pair)
        return self._read(self.zones, (source.zone, target.zone))

    def _learn(self, table, key, factor, smoothing):
        held = self._read(table, key)
        table[key] = (held + smoothing * (factor - held), self.now_us())

    def _read(self, table, key):
        held = table.get(key)
        if held is None:
            return 1.0
        factor, noted_us = held
        return 1.0 + (factor - 1.0) * 0.5 ** ((self.now_us() - noted_us) / HALF_US)

    def forget(self, names):
        """Drops what concerns runners that are gone."""
        for pair in [pair for pair in self.pairs if not names.issuperset(pair)]:
            del self.pairs[pair]
