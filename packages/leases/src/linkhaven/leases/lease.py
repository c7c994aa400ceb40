"""The lease on one singleton role at one node: election, renewal, expiry and release.

A lease is a register in the consensus store that holds a `LeaseRecord`. Every change is a
compare-and-set on the record's version, committed by a majority. State transitions:

| event | FOLLOWER | CANDIDATE | HOLDER | RENEWING |
| --- | --- | --- | --- | --- |
| tick, election wait is over | requests, CANDIDATE | | | |
| tick, renewal or announcement due | | | requests, RENEWING | |
| expiry, late tick, vote lost, `step_down` | | | lapses, FOLLOWER | lapses, CANDIDATE |
| committed before the lease's end | | wins, HOLDER | | renews, HOLDER |
| committed after the lease's end | | FOLLOWER | | HOLDER until its expiry |
| stopped or not committed | | backs off, FOLLOWER | | backs off, HOLDER |
| `release` | RELEASED | RELEASED | lapses, RELEASED | lapses, RELEASED |

RELEASED is final: the node is shutting down, and responses still in flight have no effect.

A lease ends at `expires_us`, at a tick that comes too late, when this node's replica stops voting,
by `release` at shutdown, and by `step_down`, which the controller calls when no router contacts it
any more (`RouterContactMonitor`) or the platform's list of runners can't be fetched. Code that acts
for the role checks `is_held` before each action.

Invariants:

- The holder measures its lease by its own clock from before it sent the request, so it stops no
  later than any other node may start (`test_a_lease_is_measured_from_its_request`).
- Another node requests the lease only after a full lease and a margin: see `LeaseObserver`.
- A holder acts only after a quorum recorded its intention: see `ActionAnnouncement`.
- Each new holder has a higher fencing token than all earlier ones, even after the consensus store
  lost its data
  (`test_a_new_holder_has_a_fencing_token_above_any_that_was_observed`).
"""

from collections.abc import Callable
from enum import Enum
from typing import Any

from linkhaven.consensus import Outcome
from linkhaven.runtime import Node

from .announcement import ActionAnnouncement
from .compare_and_set import Acquisition, Release
from .interfaces import LeaseListener, LiveIncarnations, Proposer, Replica
from .observer import LeaseObserver
from .records import LeaseRecord, Version, lease_key, read_record

RENEWALS_PER_LEASE = 3
"""Renewals that a holder makes within the duration of one lease."""

SUSPECT_AFTER_SHARE = (8, 15)
"""The fraction of a lease without a renewal after which its holder is suspected."""

LEASE_WON, LEASE_LAPSED = 1401, 1402
"""Numbers of log events, listed in docs/events.md."""


class LeaseState(Enum):
    """State of the lease at this node."""

    FOLLOWER = "follower"
    """Doesn't hold the lease; no request is in flight."""

    CANDIDATE = "candidate"
    """Doesn't hold the lease; a request for it is in flight."""

    HOLDER = "holder"
    """Holds the lease; no request is in flight."""

    RENEWING = "renewing"
    """Holds the lease; a renewal is in flight."""

    RELEASED = "released"
    """Shutting down: the lease is never requested again."""


REQUESTING = (LeaseState.CANDIDATE, LeaseState.RENEWING)


class Lease:
    """One node's view of the lease on a singleton role, as its holder or a contender.

    Not thread-safe: used only on the node's thread. `fencing_token` is None unless the lease is
    held. `expires_us` is its end on the node's clock, `lease_us` its duration. `is_succession`
    tells whether the lease followed a released one.
    """

    __slots__ = (
        "node",
        "role",
        "key",
        "proposer",
        "replica",
        "listener",
        "observer",
        "announcement",
        "state",
        "fencing_token",
        "renewal",
        "actions",
        "requested_us",
        "expires_us",
        "lease_us",
        "renew_us",
        "suspect_us",
        "is_succession",
    )

    def __init__(
        self,
        node: Node,
        role: str,
        proposer: Proposer,
        replica: Replica,
        incarnations: LiveIncarnations,
        listener: LeaseListener,
        rank: int = 0,
    ) -> None:
        """Follow the lease of `role`; nodes of a lower rank request it first.

        A holder that `incarnations` reports as down or restarted is suspected at once, but its
        lease must still run out before an election.
        """
        self.node = node
        self.role = role
        self.key = lease_key(role)
        self.proposer = proposer
        self.replica = replica
        self.listener = listener
        self.observer = LeaseObserver(node, incarnations, rank)
        self.lease_us: int = node.bounds.lease_us
        self.renew_us = self.lease_us // RENEWALS_PER_LEASE
        self.suspect_us = self.lease_us * SUSPECT_AFTER_SHARE[0] // SUSPECT_AFTER_SHARE[1]
        self.announcement = ActionAnnouncement(self.renew_us)
        self.state = LeaseState.FOLLOWER
        self.fencing_token: int | None = None
        self.renewal = 0
        self.actions = 0
        self.requested_us = 0
        self.expires_us = 0
        self.is_succession = False
        node.tick_handlers.append(self.tick)
        node.late_tick_handlers.append(self.on_late_tick)

    # interface for the code that acts for the role

    def is_held(self) -> bool:
        """Whether this node holds the lease now."""
        return self.fencing_token is not None and self.node.now_us() < self.expires_us

    def announce_action(self, on_announced: Callable[[], None] | None = None) -> None:
        """Have a quorum record that this holder is about to act, then call `on_announced`.

        `on_announced` isn't called if the lease is lost first. Check `may_act` before acting.
        """
        if self.fencing_token is None:
            return
        self.announcement.request(on_announced)
        if self.state not in REQUESTING:
            self._request(self.node.now_us(), self.fencing_token, self.renewal + 1)

    def may_act(self) -> bool:
        """Whether an announced action may still be taken."""
        return self.is_held() and self.announcement.is_valid(self.node.now_us())

    def consume_action(self) -> None:
        """Mark the announced action as taken; the next one needs its own announcement."""
        self.announcement.consume()

    def are_others_idle(self) -> bool:
        """Whether no other holder can have acted within the last lease.

        A predecessor whose software version doesn't announce actions never counts as idle.
        """
        if self.observer.last_actions is None:
            return False
        return self.observer.others_idle_us >= self.lease_us + self.renew_us

    def step_down(self) -> None:
        """Let the lease lapse so that another node takes it, when this one can't fill the role."""
        if self.fencing_token is None:
            return
        self._lapse()
        self.observer.restart_wait(self.node.now_us() + self.lease_us)

    def release(self, done: Callable[[], None]) -> None:
        """Release the lease at shutdown so that a successor needn't wait, then call `done`."""
        token = self.fencing_token
        if token is not None:
            self._lapse()
        self.state = LeaseState.RELEASED
        if token is None:
            return done()
        update = Release(self.node.name, token)
        self.proposer.propose(self.key, update.step, lambda outcome, value: done())

    # state of the cluster

    def set_rank(self, rank: int) -> None:
        """Set how many other nodes may request this lease first."""
        self.observer.set_rank(rank)

    def record(self) -> LeaseRecord | None:
        """Return the record at this node's replica, or None if it was never written.

        Raises `msgspec.ValidationError` if the register holds no lease record.
        """
        return read_record(self.replica.register_state(self.key).value)

    def is_holder_suspected(self) -> bool:
        """Whether the lease wasn't renewed for a while, or its holder is down or restarted.

        Lets a node that may soon hold the lease prepare for it.
        """
        if not self.replica.is_voting or self.state is LeaseState.RELEASED:
            return False
        if self.observer.is_vacant or self._is_holder_gone():
            return True
        return self.node.now_us() - self.observer.last_changed_us > self.suspect_us

    def _is_holder_gone(self) -> bool:
        record = self.record()
        if record is not None and record.holder == self.node.name:
            return self.state is LeaseState.FOLLOWER
        return self.observer.is_holder_gone(record)

    def allow_election_now(self) -> None:
        """Skip the election wait, because no node can hold the lease."""
        self.observer.skip_wait()

    def assume_vacant(self) -> None:
        """Treat the lease as vacant: no live holder is known, but its lease may still run."""
        self.observer.observe(self.record(), self.node.now_us())
        self.observer.is_vacant = True

    def observe_fencing_token(self, token: float) -> None:
        """Note a token that another node knows, so that the next one is above it.

        This keeps tokens rising even if the consensus store lost its data.
        """
        self.observer.observe_token(token)

    # clock events

    def on_late_tick(self, now_us: int) -> None:
        """Let the lease lapse after a pause of this process: it may have ended meanwhile."""
        if self.fencing_token is not None:
            self._lapse()

    def tick(self, now_us: int) -> None:
        """Observe the record, then renew the lease, let it lapse, or request it."""
        self.observer.count_elapsed(now_us)
        if not self.replica.is_voting:
            return self._follow_without_vote(now_us)
        self.observer.observe(self.record(), now_us)
        if self.fencing_token is not None and now_us >= self.expires_us:
            self._lapse()
        if self.state is LeaseState.HOLDER and self.fencing_token is not None:
            self._renew_if_due(now_us, self.fencing_token)
        elif self.state is LeaseState.FOLLOWER:
            self._start_election_if_due(now_us)

    def _follow_without_vote(self, now_us: int) -> None:
        if self.fencing_token is not None:
            self._lapse()
        self.observer.restart_without_vote(now_us)

    def _start_election_if_due(self, now_us: int) -> None:
        if self.observer.may_start_election(now_us, self.replica.votes_from_us):
            self._request(now_us, self.observer.next_token(), 0)

    def _renew_if_due(self, now_us: int, token: int) -> None:
        """Renew in time, or take a new token if a higher one is known and would void this one."""
        if self.observer.observed_token > token:
            self._request(now_us, self.observer.observed_token + 1, 0)
        elif self.announcement.is_requested or now_us - self.requested_us >= self.renew_us:
            self._request(now_us, token, self.renewal + 1)

    def _lapse(self) -> None:
        self.node.ports.log(LEASE_LAPSED, duty=self.role, fence=self.fencing_token)
        self.fencing_token = None
        is_renewing = self.state is LeaseState.RENEWING
        self.state = LeaseState.CANDIDATE if is_renewing else LeaseState.FOLLOWER
        self.announcement.cancel()
        self.listener.on_lease_lapsed(self.role)

    # requests for the lease and for its renewal

    def _request(self, now_us: int, token: int, renewal: int) -> None:
        """Propose to take or renew the lease from now on, if the record is still as expected."""
        is_holder = self.fencing_token is not None
        self.state = LeaseState.RENEWING if is_holder else LeaseState.CANDIDATE
        self.requested_us = now_us
        is_announcing = self.announcement.is_requested and token == self.fencing_token
        actions = self.actions if is_holder else self.observer.last_actions or 0
        wanted = LeaseRecord(self.node.name, token, renewal, actions + is_announcing)
        is_succession = self.observer.is_vacant and bool(self.observer.last_version)
        acquisition = Acquisition(wanted, self._known_version())

        def done(outcome: Outcome, value: Any) -> None:
            if outcome == Outcome.STOPPED:
                self.observer.observe(read_record(value), self.node.now_us())
            if self.state is LeaseState.RELEASED:
                return
            has_lapsed = self.fencing_token is None
            self.state = LeaseState.FOLLOWER if has_lapsed else LeaseState.HOLDER
            if not acquisition.is_committed(outcome, value):
                return self.observer.back_off()
            self._hold(wanted, now_us + self.lease_us, is_succession)
            if is_announcing and self.fencing_token == token:
                self.announcement.confirm(now_us)

        self.proposer.propose(self.key, acquisition.step, done, is_patient=True)

    def _known_version(self) -> Version | None:
        if self.fencing_token is not None:
            return (self.fencing_token, self.renewal)
        return self.observer.last_version

    def _hold(self, record: LeaseRecord, expires_us: int, is_succession: bool) -> None:
        """Start or extend holding the lease; a response after its end is ignored."""
        if self.node.now_us() >= expires_us:
            return
        is_new = self.fencing_token != record.fencing_token
        self.state = LeaseState.HOLDER
        self.fencing_token = record.fencing_token
        self.renewal = record.renewal
        self.actions = record.actions or 0
        self.expires_us = expires_us
        if is_new:
            self.is_succession = is_succession
            self.node.ports.log(LEASE_WON, duty=self.role, fence=record.fencing_token)
            self.listener.on_lease_won(self.role)
