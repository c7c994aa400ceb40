"""A tenant's token bucket at the owner of its shard, which keeps the bound of its quota.

A tenant with rate r and burst b may run r x W + b requests in any window W, plus an overage and a
slack. Proof that grants by `TenantBucket` keep this bound:

1. A slice that is granted at time g may be spent until `sent + life`, where `sent <= g` is when its
   router sent the request. So all of it is spent in [g, g + life].
2. So the tokens spent in a window W were granted in an interval of length W + life.
3. A bucket of capacity c grants at most c + r x T in an interval of length T. The next owner's
   bucket starts empty after this owner stopped granting, so this holds for both together.
4. r x (W + life) + c is within the bound by the choice of c in `capacity_of`, if the bound has room
   for one request. If overage and slack don't cover r x life, r is the lower rate of `grant_rate`.

Test: `test_a_new_owner_that_starts_with_a_full_bucket_breaks_the_bound`.
"""

from linkhaven.configuration import Tenant
from linkhaven.runtime import Bounds

from .token_bucket import TokenBucket
from .units import US_PER_SECOND

TOLERANCE_SHARE = 0.5
"""The fraction of the bound's tolerance that the capacity uses. The rest covers requests between
the spending of their token and their arrival at a runner."""

FILL_S = 1.0
"""Seconds of the rate that the capacity holds at most, in addition to the burst."""

MIN_FILL = 8
"""The minimum tokens beside the burst, if the tolerance allows them. Poisson arrivals at 5/8
of the rate lack more than 8 tokens in 1 of 1,000 cases (M/D/1 queue)."""

PREFETCH_FLOOR_SHARE = 0.5
"""Tokens requested in advance are granted only from above this fraction of the capacity."""

MIN_LIFE_US = 250_000
"""The minimum lifetime of a slice, even with no overage: it must outlast its delivery."""

MIN_RATE_SHARE = 0.1
"""The minimum fill rate as a fraction of the tenant's rate, used if the bound has no room for one
request."""

MAX_RETRY_WAIT_US = 250_000
"""The longest retry delay for denied routers, which are told to retry one after the other."""

ROUNDING_TOLERANCE = 1e-9
"""How much a level may lack of a whole token and still hold it, because of float rounding."""


def slice_life_us(bounds: Bounds) -> int:
    """Return how long after its request a slice may be spent, in microseconds."""
    return max(MIN_LIFE_US, int(bounds.quota_overage * bounds.quota_window_us))


def grant_rate(tenant: Tenant, bounds: Bounds) -> float:
    """Return the fill rate of the tenant's bucket in tokens per second.

    Lower than the tenant's rate if the bound is too narrow for the rate and one burst.
    """
    rate = tenant.requests_per_s
    most = _bound_of(tenant, bounds) - max(1.0, tenant.burst_requests)
    narrowed = most * US_PER_SECOND / (bounds.quota_window_us + slice_life_us(bounds))
    return min(rate, max(narrowed, MIN_RATE_SHARE * rate))


def capacity_of(tenant: Tenant, bounds: Bounds) -> float:
    """Return the capacity of the tenant's bucket in tokens; see the proof above."""
    rate, least = grant_rate(tenant, bounds), max(1.0, tenant.burst_requests)
    granted = rate * (bounds.quota_window_us + slice_life_us(bounds)) / US_PER_SECOND
    bound = _bound_of(tenant, bounds)
    tolerance = max(0.0, bound - granted - tenant.burst_requests)
    most = max(0.0, bound - granted - least)
    return least + min(max(rate * FILL_S, MIN_FILL), TOLERANCE_SHARE * tolerance, most)


def _bound_of(tenant: Tenant, bounds: Bounds) -> float:
    """Return the most requests of the tenant that may run in any window."""
    rate, window_us = tenant.requests_per_s, bounds.quota_window_us
    allowed = rate * window_us / US_PER_SECOND + tenant.burst_requests
    return allowed * (1 + bounds.quota_overage) + bounds.quota_slack


class RecentCount:
    """Approximate sliding-window counter: the current window plus a share of the previous one."""

    __slots__ = ("window_us", "began_us", "current", "previous")

    def __init__(self, window_us: int, now_us: int) -> None:
        """Start at 0, in a window that begins at `now_us`."""
        self.window_us = window_us
        self.began_us = now_us
        self.current = 0
        self.previous = 0

    def add(self, count: int, now_us: int) -> None:
        """Add `count` to the current window."""
        self._roll(now_us)
        self.current += count

    def total(self, now_us: int) -> int:
        """Return the count of the last window, with the previous window's share interpolated."""
        self._roll(now_us)
        older_share = 1 - (now_us - self.began_us) / self.window_us
        return self.current + int(self.previous * older_share)

    def _roll(self, now_us: int) -> None:
        passed = (now_us - self.began_us) // self.window_us
        if passed <= 0:
            return
        self.previous = self.current if passed == 1 else 0
        self.current = 0
        self.began_us += passed * self.window_us


class TenantBucket:
    """The token bucket of one limited tenant, for one term of its shard's owner.

    `epoch` identifies the term; a bucket of another epoch must not be used. `full_bucket` is the
    bucket as if it had started full, as the previous owner's may have been. While it still holds
    tokens, a denial doesn't mean that the tenant is beyond its limit (`is_settling`).
    """

    __slots__ = (
        "epoch",
        "bucket",
        "full_bucket",
        "is_settling",
        "next_retry_us",
        "last_grant_us",
        "granted",
        "denied",
    )

    def __init__(
        self, epoch: int, tenant: Tenant, bounds: Bounds, won_us: int, now_us: int
    ) -> None:
        """Start with the tokens that an empty bucket gained since the shard was won at `won_us`."""
        self.epoch = epoch
        capacity = capacity_of(tenant, bounds)
        rate = grant_rate(tenant, bounds)
        self.bucket = TokenBucket(rate, capacity, won_us, level=0.0)
        self.bucket.refill(now_us)
        self.full_bucket = TokenBucket(rate, capacity, won_us)
        self.is_settling = True
        self.next_retry_us = 0
        self.last_grant_us: int | None = None
        self.granted = RecentCount(bounds.quota_window_us, now_us)
        self.denied = RecentCount(bounds.quota_window_us, now_us)

    def apply_limit(self, tenant: Tenant, bounds: Bounds, now_us: int) -> None:
        """Apply a changed limit; tokens above a lowered capacity are lost."""
        rate, capacity = grant_rate(tenant, bounds), capacity_of(tenant, bounds)
        if self.bucket.rate == rate and self.bucket.capacity == capacity:
            return
        self.bucket.resize(rate, capacity, now_us)
        self.full_bucket.resize(rate, capacity, now_us)
        self.next_retry_us = 0

    def take(self, needed: int, extra: int, now_us: int) -> int:
        """Take up to `needed` tokens, and up to `extra` more at a high level; return the count.

        Never takes more than the bucket holds.
        """
        level = self.bucket.refill(now_us) + ROUNDING_TOLERANCE
        count = min(needed, int(level))
        if count == needed:
            spare = level - count - self.bucket.capacity * PREFETCH_FLOOR_SHARE
            count += max(0, min(extra, int(spare)))
        self.bucket.level -= count
        self._update_full_bucket(needed, count, now_us)
        self.granted.add(count, now_us)
        self.denied.add(max(0, needed - count), now_us)
        if count:
            self.last_grant_us = now_us
        return count

    def retry_wait_us(self, now_us: int) -> int:
        """Return the delay after which a denied router may retry, in microseconds.

        Each router gets the next token that no earlier router was told to wait for, so that the
        routers of a tenant far above its limit don't all request each token.
        """
        due_us = now_us + self.bucket.wait_us(1, now_us)
        interval_us = int(US_PER_SECOND / self.bucket.rate)
        slot_us = min(self.next_retry_us + interval_us, now_us + MAX_RETRY_WAIT_US)
        self.next_retry_us = max(due_us, slot_us)
        return self.next_retry_us - now_us

    def _update_full_bucket(self, needed: int, granted: int, now_us: int) -> None:
        """Take all wanted tokens from the bucket that started full, and update `is_settling`."""
        level = self.full_bucket.refill(now_us) + ROUNDING_TOLERANCE
        self.is_settling = level >= granted + 1
        self.full_bucket.level = max(0.0, level - max(needed, granted))
