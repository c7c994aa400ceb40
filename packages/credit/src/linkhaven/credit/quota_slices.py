"""What one router holds of one tenant's limit: slices that end, and the requests that wait for one.

Invariant: a token is spent before the end of its slice, which counts from when it was asked for,
and no slice is spent beyond its count
(`test_slices_that_live_from_the_response_on_break_the_bound`).
"""

from collections import OrderedDict, deque
from typing import Any, Protocol

from .units import MICROSECONDS

RATE_WINDOW_US = 2_000_000
"""The averaging window of the rate at which a tenant's requests come here."""

PREFETCH_SHARE = 0.5
"""The part of what is likely to be spent here within a slice's life that is asked for ahead."""


class MeteredRequest(Protocol):
    """What the quota needs to know of a request."""

    id: str
    tenant: str | None
    kind: Any
    """Its `ttft_us` is the latency target."""

    arrived_us: int
    quota_slice: Any
    """The `QuotaSlice` that its token came from, None before and where it has none."""


class QuotaSlice:
    """Tokens of one tenant that this router may spend until `expires_us`, by its own clock."""

    __slots__ = ("count", "spent", "expires_us")

    def __init__(self, count: int, expires_us: int) -> None:
        """None is spent yet."""
        self.count = count
        self.spent = 0
        self.expires_us = expires_us

    def may_spend(self, now_us: int) -> bool:
        """Whether a token is left, and the slice has not ended."""
        return self.spent < self.count and now_us < self.expires_us


class RecentRate:
    """The rate at which requests came lately, averaged over about `RATE_WINDOW_US`."""

    __slots__ = ("weight", "counted_us")

    def __init__(self, now_us: int) -> None:
        """None came yet."""
        self.weight = 0.0
        self.counted_us = now_us

    def count(self, now_us: int) -> None:
        """One more came."""
        self.weight = self._faded(now_us) + 1
        self.counted_us = now_us

    def per_second(self, now_us: int) -> float:
        """Requests a second."""
        return self._faded(now_us) * MICROSECONDS / RATE_WINDOW_US

    def _faded(self, now_us: int) -> float:
        passed_us = max(0, now_us - self.counted_us)
        return self.weight * max(0.0, 1 - passed_us / RATE_WINDOW_US)


class TenantMeter:
    """One limited tenant at one router.

    `waiting` has the requests that are held, by id in the order of their arrival. `asked_number` is
    the request for tokens that is in flight, `tried` the controllers that didn't answer the last
    ones. Until `denied_until_us` the tenant is known to be at its limit, whose next token is due at
    `token_due_us`; `num_denied` requests were denied without asking since the owner was last told.
    Until `paused_until_us` nothing is asked. While `is_serving`, tokens go to those that
    wait: one that is given back meanwhile needs no further round.
    """

    __slots__ = (
        "name",
        "slices",
        "waiting",
        "rate",
        "asked_number",
        "tried",
        "denied_until_us",
        "token_due_us",
        "num_denied",
        "paused_until_us",
        "is_serving",
    )

    def __init__(self, name: str, now_us: int) -> None:
        """Nothing is held and nothing waits."""
        self.name = name
        self.slices: deque[QuotaSlice] = deque()
        self.waiting: OrderedDict[str, MeteredRequest] = OrderedDict()
        self.rate = RecentRate(now_us)
        self.asked_number: int | None = None
        self.tried: set[str] = set()
        self.denied_until_us = 0
        self.token_due_us = 0
        self.num_denied = 0
        self.paused_until_us = 0
        self.is_serving = False

    def live_slice(self, now_us: int) -> QuotaSlice | None:
        """The slice that ends first of those that may be spent now; ended ones are dropped."""
        while self.slices and not self.slices[0].may_spend(now_us):
            self.slices.popleft()
        return self.slices[0] if self.slices else None

    def add_slice(self, count: int, expires_us: int) -> None:
        """Take a granted slice; answers may come in another order than their ends."""
        self.slices.append(QuotaSlice(count, expires_us))
        if len(self.slices) > 1 and self.slices[-2].expires_us > expires_us:
            self.slices = deque(sorted(self.slices, key=lambda each: each.expires_us))

    def give_back(self, spent: QuotaSlice, now_us: int) -> None:
        """A token was spent for a request that never was sent: it may be spent again."""
        spent.spent -= 1
        if spent not in self.slices and spent.may_spend(now_us):
            self.add_back(spent)

    def add_back(self, slice_: QuotaSlice) -> None:
        """Put a slice among the others again, in the order of their ends."""
        self.slices = deque(sorted([*self.slices, slice_], key=lambda each: each.expires_us))

    def extra_tokens(self, life_us: int, now_us: int) -> int:
        """How many tokens to ask for ahead: none where few requests come."""
        expected = self.rate.per_second(now_us) * life_us / MICROSECONDS
        return int(PREFETCH_SHARE * expected)
