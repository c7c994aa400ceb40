"""One group at one router: its queue, its token bucket, and measured rates."""

from collections import deque

from .messages import DemandReport, GroupUsage
from .token_bucket import TokenBucket
from .units import US_PER_SECOND

INITIAL_FILL_US = 1_000_000
"""The bucket's level at the first grant, as time at the granted rate."""

DEMAND_WINDOW_US = 2_000_000
"""The averaging window of the demand."""

SERVICE_WINDOW_US = 4_000_000
"""The averaging window of the service rate."""

MIN_SERVICE_RATE = 1.0
"""Tokens per second; the minimum of a measured service rate."""

NEGLIGIBLE_RATE = 0.01
"""Tokens per second; a demand of at most this counts as 0."""

QUEUE_DRAIN_S = 2
"""Queued tokens add to the wanted rate as if they were to be served within this many seconds."""

OVERTAKEABLE_SHARE = 0.25
"""The fraction of the time to its deadline during which requests of a higher rank may overtake a
queued request. It prevents a busy tenant of a high rank from starving others."""


class GroupAccount:
    """A group's queue, credit and measurements at one router.

    Without a granted rate the bucket keeps its level but isn't refilled, so that the rates of all
    routers never sum above the group's allowance.
    """

    __slots__ = (
        "name",
        "settings",
        "queue",
        "queued_tokens",
        "deficit",
        "bucket",
        "granted_rate",
        "grant_number",
        "grant_expires_us",
        "arrived_tokens",
        "demand_rate",
        "served_tokens",
        "service_rate",
        "was_backlogged",
        "spent_tokens",
        "refused_requests",
    )

    def __init__(self, name, now_us):
        """Start with an empty queue and no credit; `settings` must be set before use."""
        self.name = name
        self.settings = None
        self.queue = deque()
        self.queued_tokens = 0
        self.deficit = 0
        self.bucket = TokenBucket(0.0, 0.0, now_us)
        self.granted_rate = None
        self.grant_number = 0
        self.grant_expires_us = 0
        self.arrived_tokens = 0
        self.demand_rate = 0.0
        self.served_tokens = 0
        self.service_rate = None
        self.was_backlogged = False
        self.spent_tokens = 0
        self.refused_requests = 0

    # credit

    @property
    def is_limited(self):
        """Whether the group has an allowance."""
        return self.settings.allowance is not None

    def apply_grant(self, rate, number, expires_us, now_us):
        """Apply a grant of `rate` tokens per second, valid until `expires_us`."""
        if self.granted_rate is None:
            self.bucket.level = rate * INITIAL_FILL_US / US_PER_SECOND
            self.bucket.capacity = self.bucket.level
        self.granted_rate = rate
        self.grant_number = number
        self.grant_expires_us = expires_us
        self.update_bucket_rate(now_us)

    def has_grant(self, now_us):
        """Whether the group has a grant that hasn't expired."""
        return self.granted_rate is not None and now_us < self.grant_expires_us

    def update_bucket_rate(self, now_us):
        """Set the bucket's rate to the granted rate, or to 0 if the grant has expired."""
        if not self.is_limited:
            return
        if not self.has_grant(now_us):
            self.bucket.refill(now_us)
            self.bucket.rate = 0.0
            return
        allowance = self.settings.allowance
        rate = min(allowance.rate, self.granted_rate)
        if rate != self.bucket.rate:
            self.bucket.resize(rate, rate * allowance.period_s, now_us)

    def has_credit_for(self, request, now_us):
        """Whether the bucket covers the request's prompt, or is full if the prompt is larger."""
        if not self.is_limited:
            return True
        level = self.bucket.refill(now_us)
        capacity = self.bucket.capacity
        return capacity > 0 and level >= min(request.prompt_tokens, capacity)

    def charge(self, tokens):
        """Spend tokens; the bucket may fall below zero."""
        if self.is_limited:
            self.bucket.level -= tokens
        self.spent_tokens += tokens

    def credit_wait_us(self, tokens_ahead, tokens, now_us):
        """Estimate the microseconds until there is credit for a request and those before it.

        The estimate assumes this router's current rate.
        """
        if not self.is_limited:
            return 0
        allowance = self.settings.allowance
        if allowance.rate <= 0 or self.bucket.capacity <= 0:
            return allowance.period_us
        return self.bucket.wait_us(tokens_ahead + min(tokens, self.bucket.capacity), now_us)

    # queue

    def append(self, request, now_us):
        """Queue a request, and count its prompt and half of its longest answer as demand.

        It goes before requests of a lower rank and behind all of its own rank.
        """
        request.queued_us = now_us
        index = len(self.queue)
        while index and self._may_overtake(request, self.queue[index - 1], now_us):
            index -= 1
        self.queue.insert(index, request)
        self.queued_tokens += request.prompt_tokens
        self.arrived_tokens += request.prompt_tokens + request.answer_tokens // 2

    def _may_overtake(self, request, queued, now_us):
        """Whether a request may go before a queued one that still has time to its deadline."""
        if request.rank >= queued.rank:
            return False
        longest_us = (queued.deadline_us - queued.queued_us) * OVERTAKEABLE_SHARE
        return now_us - queued.queued_us < longest_us

    def remove(self, request):
        """Remove a request from the queue, if it is queued."""
        if request not in self.queue:
            return
        self.queue.remove(request)
        self.queued_tokens -= request.prompt_tokens

    def pop_served(self):
        """Remove the first request, which was started, from the queue and charge its prompt."""
        tokens = self.queue.popleft().prompt_tokens
        self.served_tokens += tokens
        self.queued_tokens -= tokens
        self.deficit -= tokens
        self.charge(tokens)

    def is_full_for(self, tokens):
        """Whether a prompt of `tokens` exceeds the queue's bounds; an empty queue takes any."""
        bounds = self.settings.queue
        if len(self.queue) >= bounds.requests:
            return True
        return bool(self.queue) and self.queued_tokens + tokens > bounds.tokens

    def queue_wait_us(self, initial_rate):
        """Estimate the time in microseconds to serve the queue at the measured service rate.

        `initial_rate` (tokens per second) is used until a rate was measured; 0 gives no wait.
        """
        rate = initial_rate
        if self.service_rate is not None:
            rate = max(self.service_rate, MIN_SERVICE_RATE)
        return int(self.queued_tokens / rate * US_PER_SECOND) if rate else 0

    # measurements

    def measure_demand(self, elapsed_us):
        """Update the average arrival rate of tokens; `elapsed_us` is since the last call."""
        weight = min(1.0, elapsed_us / DEMAND_WINDOW_US)
        arrival_rate = self.arrived_tokens * US_PER_SECOND / elapsed_us
        self.demand_rate += weight * (arrival_rate - self.demand_rate)
        self.arrived_tokens = 0

    def measure_service(self, elapsed_us, initial_rate):
        """Update the average service rate of tokens, while the queue was never empty."""
        if not self.queue:
            self.service_rate = None
        elif self.was_backlogged:
            measured_rate = self.served_tokens * US_PER_SECOND / elapsed_us
            previous_rate = initial_rate if self.service_rate is None else self.service_rate
            weight = min(1.0, elapsed_us / SERVICE_WINDOW_US)
            self.service_rate = previous_rate + weight * (measured_rate - previous_rate)
        self.was_backlogged = bool(self.queue)
        self.served_tokens = 0

    def is_idle(self):
        """Whether there is nothing left to measure: an empty queue and a negligible demand."""
        if self.queue or self.was_backlogged or self.demand_rate > NEGLIGIBLE_RATE:
            return False
        self.demand_rate = 0.0
        return True

    # reports

    def demand_report(self, now_us):
        """Return this router's demand for the group's allowance, and the grant that it holds."""
        return DemandReport(
            wanted=self.demand_rate + self.queued_tokens / QUEUE_DRAIN_S,
            rate=self.granted_rate if self.has_grant(now_us) else 0.0,
            grant=self.grant_number,
        )

    def usage(self):
        """Return the group's usage at this router, or None if there is none."""
        usage = GroupUsage(
            spent=self.spent_tokens,
            refused=self.refused_requests,
            waiting=len(self.queue),
            waiting_tokens=self.queued_tokens,
        )
        is_any = usage.spent or usage.refused or usage.waiting or usage.waiting_tokens
        return usage if is_any else None
