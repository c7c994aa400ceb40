"""The duration of a lease on a shard, and the times of owners and voters derived from it.

An owner measures its lease from before it sent the request, a voter its promise from after it
received it. So a promise outlasts the lease that rests on it, as long as the voter's clock gains
less than `DRIFT_SHARE` on the owner's. A voter counts elapsed time in bounded steps, so that
neither a forward clock jump nor a pause of its process ends a promise early.
"""

from linkhaven.runtime import Bounds

LEASE_US = 500_000
"""The longest lease on a shard; voters refuse requests for longer ones."""

RENEW_SHARE = (3, 10)
"""The fraction of a lease after which it is renewed; two renewals in a row may be lost."""

DRIFT_SHARE = (1, 20)
"""The fraction of a lease that a voter adds to its promise for clock drift."""

MAX_STEP_US = 60_000
"""The most that one step between two clock readings adds to the elapsed time, and what a voter adds
to a promise for one clock jump. Ticks are 20 ms apart, and 50 ms in tests."""

RANK_SHARE = (1, 10)
"""The fraction of a lease by which each next rank of candidates waits longer for a free shard."""

RETRY_SHARE = (1, 10)
"""The fraction of a lease after which a candidate without a majority requests again. It may be
shorter than a round trip, since votes on earlier rounds count as well."""


def promise_duration_us(lease_us: int) -> int:
    """Return how long a voter keeps a promise, in its own elapsed time since the request."""
    return lease_us + lease_us * DRIFT_SHARE[0] // DRIFT_SHARE[1] + MAX_STEP_US


class ElapsedTime:
    """Elapsed time of a process, summed over clock readings in steps of at most `MAX_STEP_US`.

    Clock jumps and pauses of the process add at most one step each.
    """

    __slots__ = ("elapsed_us", "observed_us")

    def __init__(self, now_us: int) -> None:
        """Start at 0 elapsed."""
        self.elapsed_us = 0
        self.observed_us = now_us

    def count_elapsed(self, now_us: int) -> None:
        """Add the time since the last reading, at most `MAX_STEP_US`."""
        self.elapsed_us += max(0, min(now_us - self.observed_us, MAX_STEP_US))
        self.observed_us = now_us


class LeaseTimes:
    """The lease times of one node; shorter bounds of the deployment cap the lease.

    Nodes may have different settings, so each request states the duration of its lease. A voter
    that may have given promises before its start abstains for `abstention_us`, the longest promise
    that any voter gives.
    """

    __slots__ = ("lease_us", "renew_us", "rank_us", "retry_us", "abstention_us")

    def __init__(self, bounds: Bounds) -> None:
        """Derive the times from the deployment's bounds."""
        self.lease_us = min(
            LEASE_US, bounds.lease_us, bounds.majority_timeout_us, bounds.contact_us
        )
        self.renew_us = self.lease_us * RENEW_SHARE[0] // RENEW_SHARE[1]
        self.rank_us = self.lease_us * RANK_SHARE[0] // RANK_SHARE[1]
        self.retry_us = self.lease_us * RETRY_SHARE[0] // RETRY_SHARE[1]
        self.abstention_us = promise_duration_us(LEASE_US)
