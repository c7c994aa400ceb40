"""Reading time over tokens as a straight line, from sums that can be added up over routers."""

FORGET = 0.97
"""What an earlier sample still counts after a further one."""

SPREAD = 4.0
"""How many times the least size the most must be to tell base and rate apart."""

SPREAD_LEAST = 0.5
"""The same of samples that are only known as sums: their squared relative spread."""

PARTS = ("count", "x", "y", "xx", "xy")
SCALE = 1_000_000_000
"""Sums go to other routers in billionths, as whole numbers, so that they can be subtracted."""


class LineFit:
    """Least squares with older samples fading out; each sample weighs by its relative error."""

    __slots__ = (*PARTS, "least", "most")

    def __init__(self):
        """Nothing was seen yet."""
        self.least = self.most = None
        self.count = self.x = self.y = self.xx = self.xy = 0.0

    def note(self, tokens, span_us, share=1.0):
        """Take a read of `tokens` that took `span_us`; `share`: how much of a sample it counts."""
        weight = share / max(1.0, span_us)
        sample = (1.0, tokens, span_us, tokens * tokens, tokens * span_us)
        for name, part in zip(PARTS, sample, strict=True):
            setattr(self, name, getattr(self, name) * FORGET + weight * part)
        self.least = tokens if self.least is None else min(self.least * 1.02 + 1, tokens)
        self.most = tokens if self.most is None else max(self.most * 0.98, tokens)

    def as_row(self):
        """Return the sums as whole numbers."""
        return [round(getattr(self, name) * SCALE) for name in PARTS]

    def plus(self, row):
        """Return a fit of these samples and those that `row` sums up."""
        both = LineFit()
        for name, part in zip(PARTS, row, strict=True):
            setattr(both, name, getattr(self, name) + part / SCALE)
        return both

    def line(self):
        """Return (base_us, us a token), or None before sizes were seen that tell them apart."""
        spread = self.count * self.xx - self.x * self.x
        if self.x <= 0 or spread <= 0 or not self._differ_enough(spread):
            return None
        slope = (self.count * self.xy - self.x * self.y) / spread
        base = (self.y - slope * self.x) / self.count
        return (max(0.0, base), slope) if slope > 0 else None

    def _differ_enough(self, spread):
        if self.least is None:
            return spread >= SPREAD_LEAST * self.x * self.x
        return self.most >= SPREAD * max(1, self.least)

    def rough_line(self):
        """Return a line through 0, or None before any read was seen: all time is the rate's."""
        return (0.0, self.y / self.x) if self.x > 0 else None
