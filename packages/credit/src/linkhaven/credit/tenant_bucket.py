"""A tenant's limit at the owner of its shard: which grants keep the bound of its quota.

A tenant with rate r and burst b may have r x W + b requests run in any window W, more by an
overage and a slack. Proof that grants by `TenantBucket` keep this:

1. A slice that is granted at g may be spent until `sent + life`, where `sent <= g` is when its
   router asked: all of it is spent in [g, g + life].
2. What is spent in a window W was so granted in an interval of length W + life.
3. A bucket of capacity c grants at most c + r x T in an interval of length T. That of the next
   owner begins empty once this one grants no more, so it holds for both together.
4. r x (W + life) + c is within the bound by the choice of c in `capacity_of`, wherever that has
   room for a request. Where overage and slack don't cover r x life, r is the lower rate of
   `grant_rate`.

Test: `test_a_new_owner_that_starts_with_a_full_bucket_breaks_the_bound`.
"""

from linkhaven.configuration import Tenant
from linkhaven.runtime import Bounds

from .token_bucket import TokenBucket
from .units import MICROSECONDS

TOLERANCE_SHARE = 0.5
"""The part of the bound's tolerance that goes into the capacity; the rest is for requests that lie
between the spending of their token and their runner."""

FILL_S = 1.0
"""The capacity holds no more than the rate of so many seconds, beside the burst."""

LEAST_FILL = 8
"""So many tokens beside the burst if the tolerance allows them, be the rate low: requests that come
by chance at five eighths of the rate lack more than 8 tokens in one case of 1,000 (M/D/1 queue)."""

PREFETCH_FLOOR_SHARE = 0.5
"""Tokens that nobody waits for are granted only from what a bucket holds above this part."""

LEAST_LIFE_US = 250_000
"""A slice lives for so long, be the overage 0: it has to outlast the way from its owner."""

LEAST_RATE_SHARE = 0.1
"""A bucket gains at least this part of the rate, where the bound has no room for one request."""

MAX_RETRY_WAIT_US = 250_000
"""Routers that are denied are told to come back one after the other, within this time."""

ROUNDING = 1e-9
"""A level that lacks no more than this of a whole token holds it: sums of floats fall short."""


def slice_life_us(bounds: Bounds) -> int:
    """How long after its router asked for it a slice may be spent, in microseconds."""
    return max(LEAST_LIFE_US, int(bounds.quota_overage * bounds.quota_window_us))


def grant_rate(tenant: Tenant, bounds: Bounds) -> float:
    """Tokens a second that the tenant's bucket gains: less than its rate in a narrow bound."""
    rate = tenant.requests_per_s
    most = _bound_of(tenant, bounds) - max(1.0, tenant.burst_requests)
    narrowed = most * MICROSECONDS / (bounds.quota_window_us + slice_life_us(bounds))
    return min(rate, max(narrowed, LEAST_RATE_SHARE * rate))


def capacity_of(tenant: Tenant, bounds: Bounds) -> float:
    """The most tokens that the tenant's bucket holds; see the proof above."""
    rate, least = grant_rate(tenant, bounds), max(1.0, tenant.burst_requests)
    granted = rate * (bounds.quota_window_us + slice_life_us(bounds)) / MICROSECONDS
    bound = _bound_of(tenant, bounds)
    tolerance = max(0.0, bound - granted - tenant.burst_requests)
    most = max(0.0, bound - granted - least)
    return least + min(max(rate * FILL_S, LEAST_FILL), TOLERANCE_SHARE * tolerance, most)


def _bound_of(tenant: Tenant, bounds: Bounds) -> float:
    """The most requests of the tenant that may run in any window."""
    rate, window_us = tenant.requests_per_s, bounds.quota_window_us
    allowed = rate * window_us / MICROSECONDS + tenant.burst_requests
    return allowed * (1 + bounds.quota_overage) + bounds.quota_slack


class RecentCount:
    """Counts what happened in about the last window: all of this one, a part of that before."""

    __slots__ = ("window_us", "began_us", "current", "previous")

    def __init__(self, window_us: int, now_us: int) -> None:
        """Nothing was counted yet."""
        self.window_us = window_us
        self.began_us = now_us
        self.current = 0
        self.previous = 0

    def add(self, count: int, now_us: int) -> None:
        """Count so many more."""
        self._roll(now_us)
        self.current += count

    def total(self, now_us: int) -> int:
        """The count of the last window, that of its older part by proportion."""
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

    `epoch` is the term: a bucket of another one must not be used again. `full_bucket` is the bucket
    as it would be had it begun full, which the tenant may have left to the owner before: as long as
    that one still holds tokens, a denial doesn't tell that the tenant is beyond its limit.
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
        """Empty when the shard was won, at `won_us`, and refilled since."""
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
        """Follow a changed limit: what the bucket holds above a lower capacity is lost."""
        rate, capacity = grant_rate(tenant, bounds), capacity_of(tenant, bounds)
        if self.bucket.rate == rate and self.bucket.capacity == capacity:
            return
        self.bucket.resize(rate, capacity, now_us)
        self.full_bucket.resize(rate, capacity, now_us)
        self.next_retry_us = 0

    def take(self, needed: int, extra: int, now_us: int) -> int:
        """Grant up to `needed` tokens that requests wait for, and `extra` ones from a high level.

        Never more than the bucket holds.
        """
        level = self.bucket.refill(now_us) + ROUNDING
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
        """When a router that was denied may come back, in microseconds from now.

        That is when the next token is due that no router before it was sent to, so that the routers
        of a tenant far above its limit don't all ask for each token.
        """
        due_us = now_us + self.bucket.wait_us(1, now_us)
        interval_us = int(MICROSECONDS / self.bucket.rate)
        slot_us = min(self.next_retry_us + interval_us, now_us + MAX_RETRY_WAIT_US)
        self.next_retry_us = max(due_us, slot_us)
        return self.next_retry_us - now_us

    def _update_full_bucket(self, needed: int, granted: int, now_us: int) -> None:
        """Have a bucket that began full serve all that was wanted of this one."""
        level = self.full_bucket.refill(now_us) + ROUNDING
        self.is_settling = level >= granted + 1
        self.full_bucket.level = max(0.0, level - max(needed, granted))
