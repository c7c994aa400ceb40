"""Weighted linear regression of prefill time over tokens, by sums that routers can add up."""

DECAY = 0.97
"""The factor by which the weight of earlier samples decays with each new one."""

MIN_SIZE_RATIO = 4.0
"""The ratio of largest to smallest size that is needed to separate base and rate."""

MIN_RELATIVE_SPREAD = 0.1
"""The squared relative spread that is needed where only sums of the samples are known."""

PARTS = ("count", "x", "y", "xx", "xy")
"""The sums of a fit, in the order of a row; x is tokens and y microseconds."""

SCALE = 1_000_000_000
"""Sums are exchanged in billionths, as integers, so that they can be subtracted exactly."""


class LineFit:
    """Least squares over decaying samples, weighted so that relative errors count alike."""

    __slots__ = (*PARTS, "min_tokens", "max_tokens")

    def __init__(self):
        """Start without samples."""
        self.min_tokens = self.max_tokens = None
        self.count = self.x = self.y = self.xx = self.xy = 0.0

    def note(self, tokens, span_us, share=1.0):
        """Add a prefill of `tokens` that took `span_us`, with a weight of `share` samples."""
        weight = share / max(1.0, span_us)
        sample = (1.0, tokens, span_us, tokens * tokens, tokens * span_us)
        for name, part in zip(PARTS, sample, strict=True):
            setattr(self, name, getattr(self, name) * DECAY + weight * part)
        self.min_tokens = (
            tokens if self.min_tokens is None else min(self.min_tokens * 1.02 + 1, tokens)
        )
        self.max_tokens = tokens if self.max_tokens is None else max(self.max_tokens * 0.98, tokens)

    def as_row(self):
        """Return the sums as integers."""
        return [round(getattr(self, name) * SCALE) for name in PARTS]

    def plus(self, row):
        """Return a fit of these samples and those summed up in `row`."""
        both = LineFit()
        for name, part in zip(PARTS, row, strict=True):
            setattr(both, name, getattr(self, name) + part / SCALE)
        return both

    def line(self):
        """Return (base_us, us per token), or None while sizes are too alike to separate them."""
        spread = self.count * self.xx - self.x * self.x
        if self.x <= 0 or spread <= 0 or not self._differ_enough(spread):
            return None
        slope = (self.count * self.xy - self.x * self.y) / spread
        base = (self.y - slope * self.x) / self.count
        return (max(0.0, base), slope) if slope > 0 else None

    def _differ_enough(self, spread):
        if self.min_tokens is None:
            return spread >= MIN_RELATIVE_SPREAD * self.x * self.x
        return self.max_tokens >= MIN_SIZE_RATIO * max(1, self.min_tokens)

    def rough_line(self):
        """Return a line through 0, which has no base, or None without samples."""
        return (0.0, self.y / self.x) if self.x > 0 else None
