"""The contender's side of a lease: what this node saw of its record, and when it may ask for it."""

import math

from linkhaven.runtime import Node

from .interfaces import LiveIncarnations
from .records import NEVER_HELD, LeaseRecord, Version

MARGIN_US = 200_000
"""What a contender waits beyond the lease, for clocks that run at different speeds."""

ELECTION_SPREAD_US = 100_000
"""Contenders spread their requests at random over this time, so that one is alone."""

RETRY_LEAST_US = 50_000
"""After a lost election a contender backs off for this and a random part of the spread."""

RANK_US = 120_000
"""How much later each next rank asks for a vacant lease."""

MAX_STEP_US = 250_000
"""The longest step between two ticks that counts as time lived through."""


class LeaseObserver:
    """What one node saw of a lease's record, with the time that it lived through since.

    Invariant: an election starts only after the same record was seen for a whole lease and a
    margin, counted in time lived through (`test_a_leap_of_the_clock_is_no_wait_for_a_holder`).
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
        "ticked_us",
        "election_from_us",
        "observed_token",
    )

    def __init__(self, node: Node, incarnations: LiveIncarnations, rank: int) -> None:
        """Nothing was seen yet: the first election needs no wait."""
        self.node = node
        self.incarnations = incarnations
        self.lease_us: int = node.bounds.lease_us
        self.rank_us = rank * RANK_US
        self.last_version: Version | None = None
        self.last_changed_us = self.ticked_us = node.now_us()
        self.last_actions: int | None = None
        self.holder_incarnation: int | None = None
        self.is_vacant = False
        self.unchanged_us = self.lease_us + MARGIN_US
        self.others_idle_us = 0
        self.election_from_us = 0
        self.observed_token = 0

    def set_rank(self, rank: int) -> None:
        """Say how many other nodes ask first."""
        self.rank_us = rank * RANK_US

    def count_elapsed(self, now_us: int) -> None:
        """Count the time since the last tick; time that this process slept through counts little.

        The holder renews while this process is paused, and nobody tells.
        """
        elapsed_us = max(0, min(now_us - self.ticked_us, MAX_STEP_US))
        self.unchanged_us += elapsed_us
        self.others_idle_us += elapsed_us
        self.ticked_us = now_us

    def observe(self, record: LeaseRecord | None, now_us: int) -> None:
        """Take in the replica's record; one newer than the last starts the wait anew."""
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
        """Wait for a whole lease and a margin from `now_us` before the next election."""
        self.unchanged_us = 0
        spread_us = self.node.ports.random.randrange(ELECTION_SPREAD_US)
        self.election_from_us = now_us + self.lease_us + MARGIN_US + self.rank_us + spread_us

    def restart_without_vote(self, now_us: int) -> None:
        """A replica without a vote may miss records: it waits for a whole lease once it votes."""
        self.last_changed_us = now_us
        self.is_vacant = False
        self.restart_wait(now_us)

    def observe_token(self, token: float) -> None:
        """Somebody knows a fencing token; a deputy's lies between two whole ones."""
        self.observed_token = max(self.observed_token, math.ceil(token))

    def next_token(self) -> int:
        """Return a token above all that were seen."""
        seen_token, _ = self.last_version or NEVER_HELD
        return max(seen_token, self.observed_token) + 1

    def back_off(self) -> None:
        """Let the contender that won an election go on."""
        spread_us = self.node.ports.random.randrange(ELECTION_SPREAD_US)
        backed_off_us = self.node.now_us() + RETRY_LEAST_US + spread_us
        self.election_from_us = max(self.election_from_us, backed_off_us)

    def end_wait(self) -> None:
        """Nobody can have held the lease: it may be asked for at once."""
        self.unchanged_us = self.lease_us + MARGIN_US
        self.election_from_us = 0

    def may_start_election(self, now_us: int, votes_from_us: int) -> bool:
        """Whether the last holder's lease has ended, and it is this rank's turn."""
        if now_us < self.election_from_us or now_us < votes_from_us + self.rank_us:
            return False
        return self.unchanged_us >= self.lease_us + MARGIN_US

    def is_holder_gone(self, record: LeaseRecord | None) -> bool:
        """Whether another node that holds the lease is down, or runs another start since."""
        if record is None or record.holder is None:
            return False
        incarnation = self.incarnations.live_incarnation(record.holder)
        if self.holder_incarnation is None:
            self.holder_incarnation = incarnation
        if incarnation is None:
            return False
        return incarnation == 0 or incarnation != self.holder_incarnation
