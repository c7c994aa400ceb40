"""Retention of claims: registers that grant a one-time idempotency key to its first user.

Invariant: a claim is kept for the whole retention, counted in the run time of this replica. If the
limit is reached, new claims get no vote, and no old one is deleted early
(`test_at_the_limit_new_claims_are_refused_and_no_old_one_is_deleted`).
"""

from collections import deque
from collections.abc import Callable, Iterable

from .claim_limits import ClaimLimits

CLAIM_PREFIX = "claim/"
"""Prefix of the keys of claim registers."""

SWEEP_INTERVAL_US = 10_000_000
"""How often expired claims are deleted and the clock is written to disk."""

SWEEP_BATCH_SIZE = 2_000
"""The most records in one write of a sweep, including that of the clock."""

MAX_TICK_STEP_US = 250_000
"""The longest time between two ticks that is counted; the rest counts as suspended."""


class ClaimRetention:
    """The claims that are kept, and the clock by which they expire.

    The clock counts the run time of all instances of this replica, so that neither a stopped
    process nor a jump of the system clock lets a claim expire early. Only
    `RegisterTable.drop_expired_claims` deletes a claim; a router that releases one clears its owner
    and leaves the register.
    """

    __slots__ = ("limits", "clock_us", "swept_us", "kept")

    def __init__(
        self,
        limits: Callable[[], ClaimLimits],
        clock_us: int,
        now_us: int,
        kept: Iterable[tuple[int, str]],
    ) -> None:
        """`kept`: creation time, by the stored clock, and key of each claim.

        `clock_us` is the stored value of the clock, `now_us` the node's time.
        """
        self.limits = limits
        self.clock_us = clock_us
        self.swept_us = now_us
        self.kept = deque(sorted(kept))

    def __len__(self) -> int:
        """The number of claims that are kept."""
        return len(self.kept)

    def has_room(self) -> bool:
        """Whether the number of claims is below its limit."""
        return len(self.kept) < self.limits().max_claims

    def add(self, key: str) -> None:
        """Add a claim that is created now."""
        self.kept.append((self.clock_us, key))

    def clear(self) -> None:
        """Remove all claims; the clock isn't reset."""
        self.kept.clear()

    def advance(self, passed_us: int) -> None:
        """Advance the clock by the time since the last tick, at most `MAX_TICK_STEP_US`."""
        self.clock_us += max(0, min(passed_us, MAX_TICK_STEP_US))

    def is_sweep_due(self, now_us: int) -> bool:
        """Whether a sweep is due; if so, the next one is due after `SWEEP_INTERVAL_US`."""
        if now_us - self.swept_us < SWEEP_INTERVAL_US:
            return False
        self.swept_us = now_us
        return True

    def pop_expired(self) -> list[str]:
        """Remove the claims whose retention has ended, oldest first, as many as fit one write.

        Returns their keys.
        """
        expired: list[str] = []
        expired_us = self.clock_us - self.limits().retention_us
        while self.kept and self.kept[0][0] < expired_us and len(expired) < SWEEP_BATCH_SIZE - 1:
            expired.append(self.kept.popleft()[1])
        return expired
