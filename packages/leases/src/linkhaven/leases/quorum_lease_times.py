"""How long a lease on a shard lasts, and how the times of owners and voters follow from it.

An owner counts its lease from before it asked, a voter its promise from after it was asked; so a
promise outlasts the lease that rests on it, as long as the voter's clock gains less than
`DRIFT_SHARE` on the owner's. A voter counts only time that it lived through: a clock that leaps
forward, or a pause of its process, ends no promise early.
"""

from linkhaven.runtime import Bounds

LEASE_US = 500_000
"""The longest lease on a shard: a voter promises for no longer."""

RENEW_SHARE = (3, 10)
"""The part of a lease after which it is renewed, so that two renewals may be lost in a row."""

DRIFT_SHARE = (1, 20)
"""The part of a lease that a voter adds for clocks that run at different speeds."""

MAX_STEP_US = 60_000
"""The longest step between two looks at the clock that counts as time lived through, and what a
voter adds to a promise for one leap of its clock; ticks are 20 ms apart, and 50 ms in tests."""

RANK_SHARE = (1, 10)
"""The part of a lease that each next candidate waits longer for a free shard."""

RETRY_SHARE = (1, 10)
"""The part of a lease after which a candidate without a majority asks again. It may be shorter than
a round trip: votes on earlier rounds count as well."""


def promise_duration_us(lease_us: int) -> int:
    """How long a voter holds to a promise, in time that it lives through after the request."""
    return lease_us + lease_us * DRIFT_SHARE[0] // DRIFT_SHARE[1] + MAX_STEP_US


class ElapsedTime:
    """The time that a process lived through, counted from look to look at its clock."""

    __slots__ = ("elapsed_us", "observed_us")

    def __init__(self, now_us: int) -> None:
        """Nothing was lived through yet."""
        self.elapsed_us = 0
        self.observed_us = now_us

    def count_elapsed(self, now_us: int) -> None:
        """Count the time since the last look, a long step for `MAX_STEP_US` only."""
        self.elapsed_us += max(0, min(now_us - self.observed_us, MAX_STEP_US))
        self.observed_us = now_us


class LeaseTimes:
    """The times of one node; where a bound of the deployment is shorter than the lease, it holds.

    Nodes may have different settings: each request says how long its lease is, and a voter that
    knows nothing of its own past abstains for `abstention_us`, the longest promise that any voter
    gives.
    """

    __slots__ = ("lease_us", "renew_us", "rank_us", "retry_us", "abstention_us")

    def __init__(self, bounds: Bounds) -> None:
        """Derive them from the bounds."""
        self.lease_us = min(LEASE_US, bounds.lease_us, bounds.silent_us, bounds.contact_us)
        self.renew_us = self.lease_us * RENEW_SHARE[0] // RENEW_SHARE[1]
        self.rank_us = self.lease_us * RANK_SHARE[0] // RANK_SHARE[1]
        self.retry_us = self.lease_us * RETRY_SHARE[0] // RETRY_SHARE[1]
        self.abstention_us = promise_duration_us(LEASE_US)
