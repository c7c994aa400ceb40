"""How long a replica may hold a router's poll, by the fleet's size and the replica's leases.

All routers poll every replica, so with the fleet the hold grows. A replica answers at once what
can't wait, whatever the hold.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

SMALL_FLEET_ROUTERS = 17
"""Up to so many routers each replica holds polls for the usual time only."""

MAX_HOLD_US = 800_000
"""The longest hold in any fleet."""

SECTION_SENDER_TTL_US = 3_000_000
"""For how long a replica that sent a section of a lease holder counts as that holder."""

RUNNER_LIST, SHARES = "roster", "shares"
"""Sections that only the holder of a lease sends, by their names on the wire."""


class HoldBounds(Protocol):
    """The bounds of a deployment, as far as holds depend on them; times in microseconds."""

    news_hold_us: int
    lease_us: int
    plan_stale_us: int | None


class LongPollHold:
    """How long the polls of one router are held; it owns which replica sent which section last.

    At small fleets every replica holds them for `news_hold_us`. Larger ones stay within a third of
    a lease, and of `plan_stale_us` where that is set. The replica that sends the list of runners
    holds half as long.
    """

    __slots__ = ("bounds", "count_routers", "sent_us")

    def __init__(self, bounds: HoldBounds, count_routers: Callable[[], int]) -> None:
        """`count_routers()` gives how many routers are known to run, this one among them."""
        self.bounds = bounds
        self.count_routers = count_routers
        self.sent_us: dict[tuple[str, str], int] = {}

    def note_response(
        self, replica_id: str, response: Mapping[str, Any], sections: Iterable[str], now_us: int
    ) -> None:
        """Note which of the sections of lease holders this replica sent."""
        for section in sections:
            if section in response:
                self.sent_us[(section, replica_id)] = now_us
            else:
                self.sent_us.pop((section, replica_id), None)

    def is_sender(self, replica_id: str, section: str, now_us: int) -> bool:
        """Whether this replica sent the section lately; any may be the one while none did.

        In a small fleet every replica counts, so that a new holder of a lease is told all at once.
        """
        if self.count_routers() <= SMALL_FLEET_ROUTERS:
            return True
        senders = [
            other
            for (name, other), sent_us in self.sent_us.items()
            if name == section and now_us - sent_us < SECTION_SENDER_TTL_US
        ]
        return not senders or replica_id in senders

    def longest_us(self) -> int:
        """Return the hold at a replica on whose leases this router doesn't wait."""
        bounds = self.bounds
        grown_us = bounds.news_hold_us * self.count_routers() // SMALL_FLEET_ROUTERS
        limits_us = [MAX_HOLD_US, bounds.lease_us // 3, grown_us]
        if bounds.plan_stale_us is not None:
            limits_us.append(bounds.plan_stale_us // 3)
        return max(bounds.news_hold_us, min(limits_us))

    def hold_us(self, replica_id: str, needs_larger_share: bool, now_us: int) -> int:
        """Return the hold of the next poll of a replica.

        `needs_larger_share`: this router waits for a larger share than it has.
        """
        longest_us = self.longest_us()
        if longest_us == self.bounds.news_hold_us:
            return longest_us
        if needs_larger_share and self.is_sender(replica_id, SHARES, now_us):
            return self.bounds.news_hold_us
        if self.is_sender(replica_id, RUNNER_LIST, now_us):
            return max(self.bounds.news_hold_us, longest_us // 2)
        return longest_us
