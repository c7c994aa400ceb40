"""Planned rebalancing: hands a shard back once its preferred replica has been stable."""

from typing import NamedTuple

from .quorum_lease_electorate import Electorate
from .quorum_lease_messages import ShardLeaseVote

MIN_STABLE_US = 2_000_000
"""How long a replica must have answered without a gap before a shard is handed over to it."""

HANDOVER_INTERVAL_US = 1_000_000
"""At most one shard is handed over within this time."""

REOFFER_INTERVAL_US = 30_000_000
"""How long to wait before a replica that didn't take a shard is offered it again."""


class Handover(NamedTuple):
    """A shard and the replica that it is released to."""

    shard: int
    successor: str


class AnsweringReplica:
    """How long a replica has answered without a gap, under one incarnation."""

    __slots__ = ("incarnation", "answering_since_us", "last_answer_us")

    def __init__(self, incarnation: int, now_us: int) -> None:
        """Start with its first answer, or its first one after a gap."""
        self.incarnation = incarnation
        self.answering_since_us = now_us
        self.last_answer_us = now_us


class Rebalance:
    """Tracks which replicas answer, and which shards were offered to which replica.

    A shard isn't offered to the same replica again for `REOFFER_INTERVAL_US`, so that one that
    can't take it doesn't cause repeated handovers.
    """

    __slots__ = ("electorate", "gap_us", "answering", "offered_us", "last_check_us")

    def __init__(self, electorate: Electorate, gap_us: int) -> None:
        """`gap_us` is how long without an answer resets a replica's stable time."""
        self.electorate = electorate
        self.gap_us = gap_us
        self.answering: dict[str, AnsweringReplica] = {}
        self.offered_us: dict[tuple[int, str], int] = {}
        self.last_check_us: int | None = None

    def on_vote(self, vote: ShardLeaseVote, now_us: int) -> None:
        """Note that a replica answered."""
        known = self.answering.get(vote.replica_id)
        if (
            known is None
            or known.incarnation != vote.incarnation
            or now_us - known.last_answer_us > self.gap_us
        ):
            self.answering[vote.replica_id] = AnsweringReplica(vote.incarnation, now_us)
        else:
            known.last_answer_us = now_us

    def next_handover(self, owned: list[int], now_us: int) -> Handover | None:
        """Return the next shard to hand over, or None if none is due."""
        if self.last_check_us is not None and now_us - self.last_check_us < HANDOVER_INTERVAL_US:
            return None
        self.last_check_us = now_us
        for shard in owned:
            preferred = self.electorate.order_of(shard)[0]
            if preferred == self.electorate.replica.replica_id:
                continue
            if not self._is_stable(preferred, now_us):
                continue
            offered_us = self.offered_us.get((shard, preferred))
            if offered_us is not None and now_us - offered_us < REOFFER_INTERVAL_US:
                continue
            self.offered_us[shard, preferred] = now_us
            return Handover(shard, preferred)
        return None

    def _is_stable(self, replica_id: str, now_us: int) -> bool:
        """Whether a replica has answered for `MIN_STABLE_US`, up to now."""
        known = self.answering.get(replica_id)
        if known is None or now_us - known.last_answer_us > self.gap_us:
            return False
        return now_us - known.answering_since_us >= MIN_STABLE_US
