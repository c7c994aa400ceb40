"""How long a replica may hold a router's poll, by the fleet's size and the replica's leases.

All routers poll all replicas, so the hold grows with the fleet to bound the load. A replica answers
earlier than its hold if there is something urgent.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

SMALL_FLEET_ROUTERS = 17
"""Up to this number of routers, each replica holds polls only for the usual time."""

MAX_HOLD_US = 800_000
"""The longest hold in any fleet."""

RUNNER_LIST_POLLS_PER_S = 500
"""How many polls a second all routers together send to the replica that sends the runner list."""

US_PER_S = 1_000_000

SECTION_SENDER_TTL_US = 3_000_000
"""How long a replica counts as holder of a lease after sending the holder's section."""

RUNNER_LIST, SHARES = "roster", "shares"
"""Sections that only a lease holder sends, by their names on the wire."""


class HoldBounds(Protocol):
    """The settings of a deployment that holds depend on, in microseconds."""

    long_poll_hold_us: int
    lease_us: int
    plan_stale_us: int | None


class LongPollHold:
    """Computes the hold of one router's polls; owns when each replica last sent which section.

    In small fleets all replicas hold polls for `long_poll_hold_us`. In larger ones a hold is at
    most a third of a lease, and of `plan_stale_us` if that is set. The replica that sends the
    runner list holds polls at most half as long, and shorter where it can bear the polls
    (`RUNNER_LIST_POLLS_PER_S`): with it the routers exchange their load.
    """

    __slots__ = ("bounds", "count_routers", "sent_us")

    def __init__(self, bounds: HoldBounds, count_routers: Callable[[], int]) -> None:
        """`count_routers()` returns the number of routers known to run, including this one."""
        self.bounds = bounds
        self.count_routers = count_routers
        self.sent_us: dict[tuple[str, str], int] = {}

    def note_response(
        self, replica_id: str, response: Mapping[str, Any], sections: Iterable[str], now_us: int
    ) -> None:
        """Record which of these sections, sent by lease holders, a response contains."""
        for section in sections:
            if section in response:
                self.sent_us[(section, replica_id)] = now_us
            else:
                self.sent_us.pop((section, replica_id), None)

    def is_sender(self, replica_id: str, section: str, now_us: int) -> bool:
        """Whether this replica recently sent the section, or no replica did.

        In a small fleet always True, so that a new lease holder gets all reports at once.
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
        """Return the hold at a replica whose leases don't matter to this router."""
        bounds = self.bounds
        scaled_us = bounds.long_poll_hold_us * self.count_routers() // SMALL_FLEET_ROUTERS
        limits_us = [MAX_HOLD_US, bounds.lease_us // 3, scaled_us]
        if bounds.plan_stale_us is not None:
            limits_us.append(bounds.plan_stale_us // 3)
        return max(bounds.long_poll_hold_us, min(limits_us))

    def hold_us(self, replica_id: str, needs_larger_share: bool, now_us: int) -> int:
        """Return the hold of the next poll of a replica.

        `needs_larger_share` is whether this router waits for a larger share than it has.
        """
        longest_us = self.longest_us()
        if longest_us == self.bounds.long_poll_hold_us:
            return longest_us
        if needs_larger_share and self.is_sender(replica_id, SHARES, now_us):
            return self.bounds.long_poll_hold_us
        if self.is_sender(replica_id, RUNNER_LIST, now_us):
            bearable_us = self.count_routers() * US_PER_S // RUNNER_LIST_POLLS_PER_S
            return max(self.bounds.long_poll_hold_us, min(longest_us // 2, bearable_us))
        return longest_us
