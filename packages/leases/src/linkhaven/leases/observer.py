"""The contender's side of a lease: which records this node saw, and when it may request it."""

import math

from linkhaven.runtime import Node

from .interfaces import LiveIncarnations
from .records import NEVER_HELD, LeaseRecord, Version

MARGIN_US = 200_000
"""How long a contender waits beyond the lease, to allow for clock drift."""

ELECTION_SPREAD_US = 100_000
"""Contenders delay their requests by a random part of this, to avoid split elections."""

MIN_RETRY_US = 50_000
"""After a lost election a contender waits for this plus a random part of the spread."""

RANK_US = 120_000
"""How much later each next rank requests a vacant lease."""

MAX_STEP_US = 250_000
"""The most that one step between two ticks adds to the counted time."""


class LeaseObserver:
    """The records of a lease that one node saw, and the time that it ran since the last one.

    Time is counted in steps of at most `MAX_STEP_US`, so that a pause of the process or a clock
    jump doesn't count as waiting.

    Invariant: an election starts only after the same record was seen for a full lease and a
    margin of counted time (`test_a_clock_jump_does_not_count_as_waiting_for_the_holder`).
    """

    __slots__ = (
        "node",
        "incarnations",
        "lease_us",
        "rank_us",
        "last_version",
        "last_changed_us",
        "last_actions",
        "holder_incarnation",
        "is_vacant",
        "unchanged_us",
        "others_idle_us",
        "last_tick_us",
        "election_from_us",
        "observed_token",
    )

    def __init__(self, node: Node, incarnations: LiveIncarnations, rank: int) -> None:
        """Start without a record; the first election needs no wait."""
        self.node = node
        self.incarnations = incarnations
        self.lease_us: int = node.bounds.lease_us
        self.rank_us = rank * RANK_US
        self.last_version: Version | None = None
        self.last_changed_us = self.last_tick_us = node.now_us()
        self.last_actions: int | None = None
        self.holder_incarnation: int | None = None
        self.is_vacant = False
        self.unchanged_us = self.lease_us + MARGIN_US
        self.others_idle_us = 0
        self.election_from_us = 0
        self.observed_token = 0

    def set_rank(self, rank: int) -> None:
        """Set how many other nodes may request the lease first."""
        self.rank_us = rank * RANK_US

    def count_elapsed(self, now_us: int) -> None:
        """Count the time since the last tick, at most `MAX_STEP_US` of it.

        While this process is paused the holder may renew without this node seeing it.
        """
        elapsed_us = max(0, min(now_us - self.last_tick_us, MAX_STEP_US))
        self.unchanged_us += elapsed_us
        self.others_idle_us += elapsed_us
        self.last_tick_us = now_us

    def observe(self, record: LeaseRecord | None, now_us: int) -> None:
        """Process the replica's record; a newer one than the last restarts the wait."""
        if record is None or record.version <= (self.last_version or NEVER_HELD):
            return
        self.last_version = record.version
        self.last_changed_us = now_us
        if record.actions != self.last_actions and record.holder != self.node.name:
            self.others_idle_us = 0
        self.last_actions = record.actions
        self.restart_wait(now_us)
        self.is_vacant = record.holder is None
        if record.holder is None:
            self.unchanged_us = self.lease_us + MARGIN_US
            self.election_from_us = now_us + self.rank_us
            return
        self.holder_incarnation = self.incarnations.live_incarnation(record.holder)

    def restart_wait(self, now_us: int) -> None:
        """Wait for a full lease and a margin from `now_us` before the next election."""
        self.unchanged_us = 0
        spread_us = self.node.ports.random.randrange(ELECTION_SPREAD_US)
        self.election_from_us = now_us + self.lease_us + MARGIN_US + self.rank_us + spread_us

    def restart_without_vote(self, now_us: int) -> None:
        """Restart the wait while the replica doesn't vote, since it may miss records."""
        self.last_changed_us = now_us
        self.is_vacant = False
        self.restart_wait(now_us)

    def observe_token(self, token: float) -> None:
        """Note a fencing token known elsewhere; a stand-in holder's is between two integers."""
        self.observed_token = max(self.observed_token, math.ceil(token))

    def next_token(self) -> int:
        """Return a token above all that were observed."""
        seen_token, _ = self.last_version or NEVER_HELD
        return max(seen_token, self.observed_token) + 1

    def back_off(self) -> None:
        """Delay the next request after a lost election, to let the winner proceed."""
        spread_us = self.node.ports.random.randrange(ELECTION_SPREAD_US)
        backed_off_us = self.node.now_us() + MIN_RETRY_US + spread_us
        self.election_from_us = max(self.election_from_us, backed_off_us)

    def skip_wait(self) -> None:
        """Allow an election at once, because no node can hold the lease."""
        self.unchanged_us = self.lease_us + MARGIN_US
        self.election_from_us = 0

    def may_start_election(self, now_us: int, votes_from_us: int) -> bool:
        """Whether the last holder's lease has ended and this rank's delay has passed."""
        if now_us < self.election_from_us or now_us < votes_from_us + self.rank_us:
            return False
        return self.unchanged_us >= self.lease_us + MARGIN_US

    def is_holder_gone(self, record: LeaseRecord | None) -> bool:
        """Whether the record's holder is down, or has restarted since the record was seen."""
        if record is None or record.holder is None:
            return False
        incarnation = self.incarnations.live_incarnation(record.holder)
        if self.holder_incarnation is None:
            self.holder_incarnation = incarnation
        if incarnation is None:
            return False
        return incarnation == 0 or incarnation != self.holder_incarnation
