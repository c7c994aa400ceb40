"""How long a replica keeps the registers of claims, which win a one-time idempotency key once.

Invariant: a claim is kept for the whole retention, counted in time that this replica lived through;
where there is no room for more, new ones get no vote, and no old one is forgotten early
(`test_full_means_that_new_claims_are_refused_and_no_old_one_is_forgotten`).
"""

from collections import deque
from collections.abc import Callable, Iterable

from .claim_limits import ClaimLimits

CLAIM_PREFIX = "claim/"
"""Registers of claims have keys that begin so."""

SWEEP_INTERVAL_US = 10_000_000
"""How often expired claims are looked for, and the clock is recorded."""

SWEEP_BATCH_SIZE = 2_000
MAX_TICK_STEP_US = 250_000
"""The longest step between two ticks that counts as time lived through."""


class ClaimRetention:
    """Which claims are kept, and since when; owns the clock by which they expire.

    The clock counts time that all instances of this replica lived through, so that neither a
    stopped process nor a clock that leaps lets a claim expire early. Only
    `RegisterTable.drop_expired_claims` deletes a claim; a router that gives one back keeps the
    register and clears its owner.
    """

    __slots__ = ("limits", "clock_us", "swept_us", "kept")

    def __init__(
        self,
        limits: Callable[[], ClaimLimits],
        clock_us: int,
        now_us: int,
        kept: Iterable[tuple[int, str]],
    ) -> None:
        """`kept`: when each claim was first kept, by the recorded clock, and its key."""
        self.limits = limits
        self.clock_us = clock_us
        self.swept_us = now_us
        self.kept = deque(sorted(kept))

    def __len__(self) -> int:
        """How many claims are kept."""
        return len(self.kept)

    def has_room(self) -> bool:
        """Whether a new claim may be kept."""
        return len(self.kept) < self.limits().max_claims

    def add(self, key: str) -> None:
        """Keep a new claim from now on."""
        self.kept.append((self.clock_us, key))

    def clear(self) -> None:
        """Keep none; the clock goes on."""
        self.kept.clear()

    def advance(self, passed_us: int) -> None:
        """Count the time since the last tick, as far as it was lived through."""
        self.clock_us += max(0, min(passed_us, MAX_TICK_STEP_US))

    def is_sweep_due(self, now_us: int) -> bool:
        """Whether to look for expired claims now; a sweep that is due counts as done."""
        if now_us - self.swept_us < SWEEP_INTERVAL_US:
            return False
        self.swept_us = now_us
        return True

    def pop_expired(self) -> list[str]:
        """Take out the claims whose retention is over: the oldest, as many as one write takes."""
        expired: list[str] = []
        expired_us = self.clock_us - self.limits().retention_us
        while self.kept and self.kept[0][0] < expired_us and len(expired) < SWEEP_BATCH_SIZE - 1:
            expired.append(self.kept.popleft()[1])
        return expired
