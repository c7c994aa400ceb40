FORGET = 0.97
SPREAD = 4.0


class LineFit:
    """Reading time over tokens as a straight line, least squares with older samples fading out; None until there are
    samples of sizes that differ enough to tell the base from the rate."""

    __slots__ = ("count", "x", "y", "xx", "xy", "least", "most")

    def __init__(self):
        self.count = self.x = self.y = self.xx = self.xy = 0.0
        self.least = self.most = None

    def note(self, tokens, span_us):
        weight = 1.0 / max(1.0, span_us)
        for name, part in (
            ("count", weight),
            ("x", weight * tokens),
            ("y", weight * span_us),
            ("xx", weight * tokens * tokens),
            ("xy", weight * tokens * span_us),
        ):
            setattr(self, name, getattr(self, name) * FORGET + part)
        self.least = tokens if self.least is None else min(self.least * 1.02 + 1, tokens)
        self.most = tokens if self.most is None else max(self.most * 0.98, tokens)

    def line(self):
        """(base_us, us a token), or None."""
        if self.count <= 0 or self.most < SPREAD * max(1, self.least):
            return None
        spread = self.count * self.xx - self.x * self.x
        if spread <= 0:
            return None
        slope = (self.count * self.xy - self.x * self.y) / spread
        base = (self.y - slope * self.x) / self.count
        if slope <= 0:
            return None
        return max(0.0, base), slope
