"""The candidate's side of the quorum leases on shards: requests free shards and renews its own.

State transitions of one shard at this node:

| event | FOLLOWER | CANDIDATE | OWNER |
| --- | --- | --- | --- |
| tick, shard is free and this replica's delay is over | requests, CANDIDATE | | |
| tick, no majority in time | | requests again; if blocked by a rival: releases, backs off | |
| tick, renewal due | | | requests |
| a majority granted one round | wins, OWNER | wins, OWNER | extends |
| too many voted for rivals | | releases, backs off, FOLLOWER | |
| expiry | | | lapses and releases, FOLLOWER |
| `release_all`: shutdown, no vote, not needed | | releases, FOLLOWER | releases, FOLLOWER |
| the preferred replica is stable again | | | releases to it, FOLLOWER |
| `request_now`: released to this replica | requests, CANDIDATE | | |

A FOLLOWER wins by late votes on an earlier round, but never on a round that it has released.

Invariants:

- A lease is measured from before its round was sent, whenever the votes arrive, and checked against
  this node's clock at each use (`counted_from_the_response` in
  `tests/test_quorum_lease_safety.py`).
- A shard that is won again after it was not owned gets another epoch
  (`test_a_shard_that_was_lost_in_between_is_won_in_another_epoch`).
"""

from collections.abc import Callable, Container
from enum import Enum

from linkhaven.runtime import Node

from .interfaces import ShardListener
from .quorum_lease_electorate import Electorate
from .quorum_lease_messages import ShardLeaseRelease, ShardLeaseRequest, ShardLeaseVote
from .quorum_lease_rounds import LeaseRound
from .quorum_lease_times import LeaseTimes
from .quorum_lease_voter import ShardVoter
from .rebalance import Rebalance

MIN_BACKOFF_US = 20_000
BACKOFF_SPREAD_US = 60_000
"""After a lost vote a candidate waits for `MIN_BACKOFF_US` plus a random part of the spread, which
doubles with each further loss, up to `BACKOFF_DOUBLINGS` times."""

BACKOFF_DOUBLINGS = 4

SHARD_WON, SHARD_RELEASED, SHARD_LAPSED = 1403, 1404, 1405
"""Numbers of log events, listed in docs/events.md."""


class ShardState(Enum):
    """State of a shard's lease at this node."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    OWNER = "owner"


class ShardLease:
    """This node's state of the lease on one shard."""

    __slots__ = (
        "shard",
        "state",
        "epoch",
        "expires_us",
        "requested_us",
        "requested_round",
        "last_holder",
        "released_round",
        "request_from_us",
        "failures",
    )

    def __init__(self, shard: int) -> None:
        """Start as a follower that hasn't requested the shard."""
        self.shard = shard
        self.state = ShardState.FOLLOWER
        self.epoch = 0
        self.expires_us = 0
        self.requested_us = 0
        self.requested_round = 0
        self.last_holder = ""
        self.released_round = 0
        self.request_from_us = 0
        self.failures = 0

    def is_owned(self, now_us: int) -> bool:
        """Whether this node owns the shard at `now_us`."""
        return self.state is ShardState.OWNER and now_us < self.expires_us


class ShardCandidate:
    """This node's leases on shards, and the rounds on which votes may still arrive."""

    __slots__ = (
        "node",
        "start",
        "times",
        "electorate",
        "voter",
        "listener",
        "leases",
        "rounds",
        "round_number",
        "renewed_us",
        "rebalance",
    )

    def __init__(
        self,
        node: Node,
        start: str,
        times: LeaseTimes,
        electorate: Electorate,
        voter: ShardVoter,
        listener: ShardListener,
    ) -> None:
        """`start` identifies this start of the process; `voter` is this node's own."""
        self.node = node
        self.start = start
        self.times = times
        self.electorate = electorate
        self.voter = voter
        self.listener = listener
        self.leases = [ShardLease(shard) for shard in range(voter.num_shards)]
        self.rounds: dict[int, LeaseRound] = {}
        self.round_number = 0
        self.renewed_us = 0
        self.rebalance = Rebalance(electorate, 3 * times.renew_us)

    def tick(self, now_us: int) -> None:
        """Expire, give up, renew and request leases, as is due."""
        self._lapse_expired(now_us)
        self._give_up_blocked(now_us)
        due = [*self._renewals(now_us), *self._shards_to_request(now_us)]
        if due:
            self._request(due, now_us)
        self._hand_over_one(now_us)

    # requests

    def _renewals(self, now_us: int) -> list[int]:
        """Return all owned shards if a renewal is due, else none."""
        if now_us - self.renewed_us < self.times.renew_us:
            return []
        self.renewed_us = now_us
        return self._shards_where(lambda lease: lease.state is ShardState.OWNER)

    def _shards_to_request(self, now_us: int) -> list[int]:
        if not self.voter.may_vote():
            return []
        return self._shards_where(lambda lease: self._is_request_due(lease, now_us))

    def _is_request_due(self, lease: ShardLease, now_us: int) -> bool:
        """Whether the shard is free and this replica's delay by rank is over, or a retry is due."""
        if lease.state is ShardState.CANDIDATE:
            return now_us - lease.requested_us >= self.times.retry_us
        if lease.state is ShardState.OWNER or now_us < lease.request_from_us:
            return False
        free_duration_us = self.voter.free_duration_us(lease.shard)
        if free_duration_us < 0:
            return False
        last = self.voter.last_promise(lease.shard)
        rank = self.electorate.rank_of(lease.shard, last.replica_id if last is not None else "")
        return free_duration_us >= rank * self.times.rank_us

    def request_now(self, shards: Container[int], now_us: int) -> None:
        """Request shards that their owner has released to this replica."""
        free = self._shards_where(
            lambda lease: (
                lease.shard in shards
                and lease.state is ShardState.FOLLOWER
                and self.voter.holder_of(lease.shard) is None
            )
        )
        if free and self.voter.may_vote():
            self._request(free, now_us)

    def _request(self, shards: list[int], now_us: int) -> None:
        """Send one round to all other replicas and count this node's own vote."""
        instance = self.electorate.own_instance()
        if instance is None:
            return
        self.round_number += 1
        self._drop_old_rounds(now_us)
        self.rounds[self.round_number] = LeaseRound(self.round_number, now_us, shards)
        for shard in shards:
            lease = self.leases[shard]
            lease.requested_us = now_us
            lease.requested_round = self.round_number
            if lease.state is ShardState.FOLLOWER:
                last = self.voter.last_promise(shard)
                lease.last_holder = last.name if last is not None else ""
                lease.state = ShardState.CANDIDATE
        request = ShardLeaseRequest(
            sender=self.node.name,
            reply_to=self.node.address,
            replica_id=instance.replica_id,
            incarnation=instance.incarnation,
            start=self.start,
            round=self.round_number,
            lease_us=self.times.lease_us,
            shards=shards,
        )
        self._send_to_others(request)
        own_vote = self.voter.vote(request, self.electorate.newest_incarnations())
        if own_vote is not None:
            self.on_vote(own_vote, now_us)

    def _drop_old_rounds(self, now_us: int) -> None:
        """Drop rounds that were sent a lease ago: votes on them can't win anything."""
        self.rounds = {
            number: lease_round
            for number, lease_round in self.rounds.items()
            if now_us - lease_round.sent_us < self.times.lease_us
        }

    def _send_to_others(self, message: ShardLeaseRequest | ShardLeaseRelease) -> None:
        for address in self.electorate.other_addresses():
            self.node.send(address, message)

    def _shards_where(self, predicate: Callable[[ShardLease], bool]) -> list[int]:
        return [lease.shard for lease in self.leases if predicate(lease)]

    # votes

    def on_vote(self, vote: ShardLeaseVote, now_us: int) -> None:
        """Count a vote for the round that it answers, which may be an older one."""
        lease_round = self.rounds.get(vote.round)
        if vote.start != self.start or lease_round is None:
            return
        lease_round.add(vote)
        self.rebalance.on_vote(vote, now_us)
        newest = self.electorate.newest_incarnations()
        for shard in lease_round.shards:
            lease = self.leases[shard]
            if lease_round.number <= lease.released_round:
                continue
            if lease_round.num_granted(shard, newest) >= self.electorate.majority:
                self._hold(lease, lease_round.sent_us + self.times.lease_us, now_us)
            else:
                self._give_up_if_lost(lease, lease_round, now_us)

    def _hold(self, lease: ShardLease, expires_us: int, now_us: int) -> None:
        """Own the shard until `expires_us`; votes that arrive after that are ignored."""
        if lease.state is ShardState.OWNER and now_us >= lease.expires_us:
            self._lapse(lease)
        if now_us >= expires_us:
            return
        if lease.state is ShardState.OWNER:
            lease.expires_us = max(lease.expires_us, expires_us)
            return
        lease.state = ShardState.OWNER
        lease.expires_us = expires_us
        lease.epoch += 1
        lease.failures = 0
        self.node.ports.log(SHARD_WON, shard=lease.shard, epoch=lease.epoch)
        self.listener.on_shard_won(lease.shard)

    def _give_up_if_lost(self, lease: ShardLease, lease_round: LeaseRound, now_us: int) -> None:
        """Give up a request that rivals have won or have blocked for too long."""
        if not self._is_current_round(lease, lease_round):
            return
        num_lost = lease_round.num_for_rivals(lease.shard, lease.last_holder)
        is_over = now_us - lease_round.sent_us >= self.times.retry_us
        if self.electorate.may_still_win(num_lost) and not (num_lost and is_over):
            return
        self._back_off(lease, now_us)
        self._release([lease.shard], now_us)

    def _give_up_blocked(self, now_us: int) -> None:
        """Let candidates that a rival blocks back off; the others request again."""
        for lease_round in self.rounds.values():
            for shard in lease_round.shards:
                self._give_up_if_lost(self.leases[shard], lease_round, now_us)

    def _is_current_round(self, lease: ShardLease, lease_round: LeaseRound) -> bool:
        """Whether this is the newest round in which the candidate requested the shard."""
        is_newest_round = lease.requested_round == lease_round.number
        return is_newest_round and lease.state is ShardState.CANDIDATE

    def _back_off(self, lease: ShardLease, now_us: int) -> None:
        spread_us = BACKOFF_SPREAD_US << min(lease.failures, BACKOFF_DOUBLINGS)
        lease.failures += 1
        random_us = self.node.ports.random.randrange(spread_us)
        lease.request_from_us = now_us + MIN_BACKOFF_US + random_us

    # expiry and release

    def _lapse_expired(self, now_us: int) -> None:
        """End expired leases, and release them at voters, whose promises may run longer."""
        expired = self._shards_where(
            lambda lease: lease.state is ShardState.OWNER and now_us >= lease.expires_us
        )
        for shard in expired:
            self._lapse(self.leases[shard])
            self._back_off(self.leases[shard], now_us)
        if expired:
            self._release(expired, now_us)

    def _lapse(self, lease: ShardLease) -> None:
        lease.state = ShardState.FOLLOWER
        self.node.ports.log(SHARD_LAPSED, shard=lease.shard, epoch=lease.epoch)
        self.listener.on_shard_lost(lease.shard)

    def release_all(self, now_us: int) -> None:
        """Release all owned and requested shards, so that others needn't wait for expiry."""
        held = self._shards_where(lambda lease: lease.state is not ShardState.FOLLOWER)
        if held:
            self._release(held, now_us)

    def _release(self, shards: list[int], now_us: int, successor: str = "") -> None:
        """Release shards; votes on rounds sent so far no longer count for them."""
        for shard in shards:
            lease = self.leases[shard]
            lease.released_round = self.round_number
            was_owned = lease.state is ShardState.OWNER
            lease.state = ShardState.FOLLOWER
            if was_owned:
                self.node.ports.log(
                    SHARD_RELEASED, shard=shard, epoch=lease.epoch, successor=successor
                )
                self.listener.on_shard_lost(shard)
        release = ShardLeaseRelease(
            start=self.start, round=self.round_number, shards=shards, successor=successor
        )
        self.voter.on_release(release)
        self._send_to_others(release)

    def _hand_over_one(self, now_us: int) -> None:
        """Release one shard to its preferred replica, if a handover is due."""
        owned = self._shards_where(lambda lease: lease.is_owned(now_us))
        handover = self.rebalance.next_handover(owned, now_us)
        if handover is not None:
            self._release([handover.shard], now_us, successor=handover.successor)
