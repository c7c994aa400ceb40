"""One router's share of one tenant's limit: slices of tokens that expire, and held requests.

Invariant: a token is spent before its slice expires, which is measured from when the slice was
requested, and no slice is spent beyond its count
(`test_slices_that_live_from_the_response_on_break_the_bound`).
"""

from collections import OrderedDict, deque
from typing import Any, Protocol

from .units import US_PER_SECOND

RATE_WINDOW_US = 2_000_000
"""The averaging window of the rate at which a tenant's requests arrive here."""

PREFETCH_SHARE = 0.5
"""The fraction of the expected use within a slice's lifetime that is requested in advance."""


class MeteredRequest(Protocol):
    """The attributes of a request that quotas use."""

    id: str
    tenant: str | None
    kind: Any
    """Its `ttft_us` is the latency target."""

    arrived_us: int
    quota_slice: Any
    """The `QuotaSlice` that its token came from, None if it has no token."""


class QuotaSlice:
    """Tokens of one tenant that this router may spend until `expires_us` by its own clock."""

    __slots__ = ("count", "spent", "expires_us")

    def __init__(self, count: int, expires_us: int) -> None:
        """Start with no token spent."""
        self.count = count
        self.spent = 0
        self.expires_us = expires_us

    def may_spend(self, now_us: int) -> bool:
        """Whether a token is left and the slice hasn't expired."""
        return self.spent < self.count and now_us < self.expires_us


class RecentRate:
    """The recent arrival rate of requests, averaged over about `RATE_WINDOW_US`."""

    __slots__ = ("weight", "counted_us")

    def __init__(self, now_us: int) -> None:
        """Start at a rate of 0."""
        self.weight = 0.0
        self.counted_us = now_us

    def count(self, now_us: int) -> None:
        """Count one request."""
        self.weight = self._decayed_weight(now_us) + 1
        self.counted_us = now_us

    def per_second(self, now_us: int) -> float:
        """Return the rate in requests per second."""
        return self._decayed_weight(now_us) * US_PER_SECOND / RATE_WINDOW_US

    def _decayed_weight(self, now_us: int) -> float:
        passed_us = max(0, now_us - self.counted_us)
        return self.weight * max(0.0, 1 - passed_us / RATE_WINDOW_US)


class TenantMeter:
    """One limited tenant at one router.

    `waiting` has the held requests by ID, in the order of their arrival. `pending_number` is the
    number of the request for tokens in flight, `tried_addresses` the controllers that didn't answer
    the last ones. Until `denied_until_us` the tenant is known to be at its limit, with its next
    token due at `token_due_us`. `num_denied` requests were denied locally since the owner was last
    told. No tokens are requested until `paused_until_us`. While `is_serving`, a loop hands tokens
    to held requests, including tokens that are given back meanwhile.
    """

    __slots__ = (
        "name",
        "slices",
        "waiting",
        "rate",
        "pending_number",
        "tried_addresses",
        "denied_until_us",
        "token_due_us",
        "num_denied",
        "paused_until_us",
        "is_serving",
    )

    def __init__(self, name: str, now_us: int) -> None:
        """Start without slices and held requests."""
        self.name = name
        self.slices: deque[QuotaSlice] = deque()
        self.waiting: OrderedDict[str, MeteredRequest] = OrderedDict()
        self.rate = RecentRate(now_us)
        self.pending_number: int | None = None
        self.tried_addresses: set[str] = set()
        self.denied_until_us = 0
        self.token_due_us = 0
        self.num_denied = 0
        self.paused_until_us = 0
        self.is_serving = False

    def live_slice(self, now_us: int) -> QuotaSlice | None:
        """Return the spendable slice that expires first, or None; drops those before it."""
        while self.slices and not self.slices[0].may_spend(now_us):
            self.slices.popleft()
        return self.slices[0] if self.slices else None

    def add_slice(self, count: int, expires_us: int) -> None:
        """Add a granted slice, in order of expiry: responses may arrive out of order."""
        self.slices.append(QuotaSlice(count, expires_us))
        if len(self.slices) > 1 and self.slices[-2].expires_us > expires_us:
            self.slices = deque(sorted(self.slices, key=lambda each: each.expires_us))

    def give_back(self, spent: QuotaSlice, now_us: int) -> None:
        """Return a token of a request that was never sent, unless its slice has expired."""
        spent.spent -= 1
        if spent not in self.slices and spent.may_spend(now_us):
            self.add_back(spent)

    def add_back(self, slice_: QuotaSlice) -> None:
        """Put a slice back among the others, in order of expiry."""
        self.slices = deque(sorted([*self.slices, slice_], key=lambda each: each.expires_us))

    def extra_tokens(self, life_us: int, now_us: int) -> int:
        """Return how many tokens to request in advance; 0 at a low rate of requests."""
        expected = self.rate.per_second(now_us) * life_us / US_PER_SECOND
        return int(PREFETCH_SHARE * expected)
