"""The lease on one singleton role at one node: election, renewal, expiry and release.

A lease is a register of the core that holds a `LeaseRecord`. Every change of it is a
compare-and-set on the record's version, committed by a majority. What each event does, by state:

| event | FOLLOWER | CANDIDATE | HOLDER | RENEWING |
| --- | --- | --- | --- | --- |
| tick, the wait is over | asks, CANDIDATE | | | |
| tick, renewal or action due | | | asks, RENEWING | |
| expiry, late tick, lost vote, `step_down` | | | lapses, FOLLOWER | lapses, CANDIDATE |
| committed within the lease | | wins, HOLDER | | renews, HOLDER |
| committed after the lease's end | | FOLLOWER | | HOLDER till its expiry |
| stopped or not committed | | backs off, FOLLOWER | | backs off, HOLDER |
| `release` | RELEASED | RELEASED | lapses, RELEASED | lapses, RELEASED |

RELEASED is final: the node shuts down, and answers that are still on their way change nothing.

A lease ends at `expires_us`, at a tick that comes too late, with the vote of this node's replica,
by `release` at shutdown, and by `step_down`, which the controller calls where no router asks any
more (`RouterContactMonitor`) or the platform's list of runners can't be had. Whoever acts for the
role asks `is_held` at each action.

Invariants:

- The holder counts its lease from before it asked for it, by its own clock, so it stops no later
  than any other node may begin (`test_a_lease_ends_a_lease_time_after_it_was_asked_for`).
- Another node asks only after a whole lease and a margin: see `LeaseObserver`.
- A holder acts only once a quorum has recorded that it will: see `ActionAnnouncement`.
- Each new holder has a higher fencing token than all before, also after the core lost what it knew
  (`test_a_new_holder_has_a_fencing_token_above_any_that_was_observed`).
"""

from collections.abc import Callable
from enum import Enum
from typing import Any

from linkhaven.consensus import Outcome
from linkhaven.runtime import Node

from .announcement import ActionAnnouncement
from .compare_and_set import Acquisition, Vacation
from .interfaces import LeaseListener, LiveIncarnations, Proposer, Replica
from .observer import LeaseObserver
from .records import LeaseRecord, Version, lease_key, read_record

RENEWALS_A_LEASE = 3
"""How often a holder renews within the time of one lease."""

SUSPECT_AFTER_SHARE = (8, 15)
"""The part of a lease without a renewal after which its holder is suspected."""


LEASE_WON, LEASE_LAPSED = 1401, 1402
"""Numbers of log events, as docs/events.md lists them."""


class LeaseState(Enum):
    """What this node is to the lease."""

    FOLLOWER = "follower"
    """Without the lease, and no request for it is in flight."""

    CANDIDATE = "candidate"
    """Without the lease; a request for it is in flight."""

    HOLDER = "holder"
    """With the lease, and no request is in flight."""

    RENEWING = "renewing"
    """With the lease; its renewal is in flight."""

    RELEASED = "released"
    """Shutting down: it never asks again."""


REQUESTING = (LeaseState.CANDIDATE, LeaseState.RENEWING)


class Lease:
    """The lease on a singleton role at one node, which holds it or contends for it.

    It belongs to that node's thread. `fencing_token` is None unless the lease is held, `expires_us`
    its end on the node's clock; `is_succession` tells whether it followed a released lease, and
    `lease_us` how long one lasts.
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
        """Follow the lease of `role`; nodes of a lower rank ask for it first.

        A holder that `incarnations` says is down, or runs another start, is suspected at once, but
        its lease is waited for all the same.
        """
        self.node = node
        self.role = role
        self.key = lease_key(role)
        self.proposer = proposer
        self.replica = replica
        self.listener = listener
        self.observer = LeaseObserver(node, incarnations, rank)
        self.lease_us: int = node.bounds.lease_us
        self.renew_us = self.lease_us // RENEWALS_A_LEASE
        self.suspect_us = self.lease_us * SUSPECT_AFTER_SHARE[0] // SUSPECT_AFTER_SHARE[1]
        self.announcement = ActionAnnouncement(self.renew_us)
        self.state = LeaseState.FOLLOWER
        self.fencing_token: int | None = None
        self.renewal = 0
        self.actions = 0
        self.requested_us = 0
        self.expires_us = 0
        self.is_succession = False
        node.systems.append(self.tick)
        node.on_late.append(self.on_late_tick)

    # what the role's work asks of it

    def is_held(self) -> bool:
        """Whether this node holds the lease now."""
        return self.fencing_token is not None and self.node.now_us() < self.expires_us

    def announce_action(self, on_announced: Callable[[], None] | None = None) -> None:
        """Have a quorum record that this holder acts next, then call `on_announced`.

        Nothing is called where the lease is lost meanwhile; `may_act` tells whether it may act.
        """
        if self.fencing_token is None:
            return
        self.announcement.request(on_announced)
        if self.state not in REQUESTING:
            self._request(self.node.now_us(), self.fencing_token, self.renewal + 1)

    def may_act(self) -> bool:
        """Whether one action was announced and may still be taken."""
        return self.is_held() and self.announcement.is_valid(self.node.now_us())

    def consume_action(self) -> None:
        """The announced action is taken: the next one is announced anew."""
        self.announcement.consume()

    def are_others_idle(self) -> bool:
        """Whether no other holder can have acted within the last lease.

        A predecessor of a version that announces nothing is never taken for idle.
        """
        if self.observer.last_actions is None:
            return False
        return self.observer.others_idle_us >= self.lease_us + self.renew_us

    def step_down(self) -> None:
        """The holder can't play its role: it lets the lease lapse and lets another have it."""
        if self.fencing_token is None:
            return
        self._lapse()
        self.observer.restart_wait(self.node.now_us() + self.lease_us)

    def release(self, done: Callable[[], None]) -> None:
        """The node shuts down: a successor needn't wait for its lease; `done` is called at last."""
        token = self.fencing_token
        if token is not None:
            self._lapse()
        self.state = LeaseState.RELEASED
        if token is None:
            return done()
        vacation = Vacation(self.node.name, token)
        self.proposer.propose(self.key, vacation.step, lambda outcome, value: done())

    # what the node around it knows

    def set_rank(self, rank: int) -> None:
        """Say how many other nodes ask first for this lease."""
        self.observer.set_rank(rank)

    def record(self) -> LeaseRecord | None:
        """Return the record as this node's replica has it, None where it was never written."""
        return read_record(self.replica.register_state(self.key).value)

    def is_holder_suspected(self) -> bool:
        """Whether nobody renewed for a while, or the holder is gone.

        A node that may soon hold the lease can make ready then.
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
        """Nobody can have held the lease: it may be asked for at once."""
        self.observer.end_wait()

    def assume_vacant(self) -> None:
        """No living holder is known, though its lease may not have run out."""
        self.observer.observe(self.record(), self.node.now_us())
        self.observer.is_vacant = True

    def observe_fencing_token(self, token: float) -> None:
        """Somebody knows a token: the next one is above it, whatever the core forgot."""
        self.observer.observe_token(token)

    # what time does to it

    def on_late_tick(self, now_us: int) -> None:
        """After a pause of this process nothing is known of the lease."""
        if self.fencing_token is not None:
            self._lapse()

    def tick(self, now_us: int) -> None:
        """Observe the record, then renew the lease, let it lapse, or ask for it."""
        self.observer.count_elapsed(now_us)
        if not self.replica.is_voting:
            return self._follow_without_vote(now_us)
        self.observer.observe(self.record(), now_us)
        if self.fencing_token is not None and now_us >= self.expires_us:
            self._lapse()
        if self.state is LeaseState.HOLDER and self.fencing_token is not None:
            self._renew_if_due(now_us, self.fencing_token)
        elif self.state is LeaseState.FOLLOWER:
            self._stand_if_due(now_us)

    def _follow_without_vote(self, now_us: int) -> None:
        if self.fencing_token is not None:
            self._lapse()
        self.observer.restart_without_vote(now_us)

    def _stand_if_due(self, now_us: int) -> None:
        if self.observer.may_start_election(now_us, self.replica.votes_from_us):
            self._request(now_us, self.observer.next_token(), 0)

    def _renew_if_due(self, now_us: int, token: int) -> None:
        """Renew in time; where somebody knows a higher token, this one would be refused."""
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

    # the request for the lease, or for its renewal

    def _request(self, now_us: int, token: int, renewal: int) -> None:
        """Ask the register for the lease from now on, if its record is still the one known here."""
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
        """Hold a lease that the register granted; an answer after its end grants none."""
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
