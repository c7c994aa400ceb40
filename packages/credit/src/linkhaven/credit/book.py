from collections import deque

from linkhaven.clockwork import Bucket


class GroupBook:
    __slots__ = (
        "name",
        "queue",
        "queued_tokens",
        "deficit",
        "bucket",
        "share",
        "share_until_us",
        "grant",
        "arrived",
        "demand",
        "terms",
        "served",
        "pace",
        "is_busy",
        "spent",
        "refused",
    )

    def __init__(self, name, now_us):
        self.name = name
        self.queue = deque()
        self.queued_tokens = 0
        self.deficit = 0
        self.bucket = Bucket(0.0, 0.0, now_us)
        self.share = None
        self.share_until_us = 0
        self.grant = 0
        self.arrived = 0
        self.demand = 0.0
        self.terms = None
        self.served = 0
        self.pace = None
        self.is_busy = False
        self.spent = 0
        self.refused = 0

    def wait_us(self, pace_at_first):
        """How long the queue takes at the pace seen while it was never empty, which is first taken for this
        router's part of what all runners read."""
        pace = pace_at_first if self.pace is None else max(self.pace, 1.0)
        return int(self.queued_tokens / pace * 1_000_000) if pace else 0

    def credit_wait_us(self, ahead, tokens, now_us):
        """Until there is credit for what stands ahead and for this one, at the rate that this router has now."""
        if not self.is_capped:
            return 0
        if self.allowance <= 0 or self.bucket.size <= 0:
            return self.terms["credit"]["period_us"]
        return self.bucket.wait_us(ahead + min(tokens, self.bucket.size), now_us)

    @property
    def is_capped(self):
        return self.terms["credit"] is not None

    @property
    def period_s(self):
        return self.terms["credit"]["period_us"] / 1_000_000

    @property
    def allowance(self):
        return self.terms["credit"]["tokens"] / self.period_s
