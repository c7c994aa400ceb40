"""The lease on one duty: election, renewal, expiry and release.

A lease is a key of the register that holds a `LeaseRecord`. Its invariants:

- The holder counts its lease from before it asked for it, and by its own clock, so it ends its work
  no later than any other node may begin (`test_a_lease_ends_a_lease_time_after_it_was_asked_for`).
- Another node asks for the lease only after it has itself seen the same record for a whole lease
  and a margin, counted in time that it lived through
  (`test_a_leap_of_the_clock_is_no_wait_for_a_holder`).
- A holder acts only after a quorum has recorded that it will, and within `renew_us` of asking for
  that record. So who has seen no such record for a lease and `renew_us` knows that no other holder
  acted within the last lease (`test_who_saw_no_announcement_knows_that_nobody_acted`).
- Each new holder has a higher fence than all before, also after the core lost what it knew
  (`test_a_new_holder_has_a_fence_above_any_that_was_observed`).
"""

import math

from .records import LeaseRecord, read_record, write_record

MARGIN_US = 200_000
"""What another node waits beyond the lease, for clocks that run at different speeds."""

ELECTION_SPREAD_US = 100_000
"""Contenders spread their first try over this time."""

RETRY_LEAST_US = 50_000
"""After a lost election a contender rests for this and a random part of the spread."""

RANK_US = 120_000
"""How much later each next rank asks for a vacant lease."""

STEP_AT_MOST_US = 250_000
"""The longest step between two ticks that counts as time lived through."""

RENEWALS_A_LEASE = 3
QUIET_SHARE = (8, 15)
"""The part of a lease without a renewal after which its holder counts as quiet."""

NOTHING_SEEN = (0, 0)


class Lease:
    """The lease on a duty at one node, which holds it or stands ready to.

    `incarnation_of` tells which start of a node runs: 0 where it is down, None where that isn't
    known. A holder that is down, or runs another start, makes the duty quiet at once, but its lease
    is waited for all the same.
    """

    __slots__ = (
        "node",
        "name",
        "key",
        "proposer",
        "seat",
        "fencing_token",
        "renewal",
        "expires_us",
        "requested_us",
        "is_requesting",
        "last_seen",
        "last_seen_us",
        "lease_us",
        "renew_us",
        "quiet_us",
        "election_from_us",
        "on_won",
        "on_lapsed",
        "least_fence",
        "rank_us",
        "waited_us",
        "ticked_us",
        "is_vacant",
        "holder_incarnation",
        "incarnation_of",
        "is_succession",
        "is_closed",
        "actions",
        "seen_actions",
        "idle_us",
        "is_action_requested",
        "announced_us",
        "on_announced",
    )

    def __init__(
        self, node, name, proposer, seat, rank=0, on_won=lambda: None, on_lapsed=lambda: None
    ):
        """Stand ready for the duty `name`; lower ranks ask for it first."""
        self.node = node
        self.name = name
        self.key = f"duty/{name}"
        self.proposer = proposer
        self.seat = seat
        self.on_won = on_won
        self.on_lapsed = on_lapsed
        self.set_rank(rank)
        self.lease_us = node.bounds.lease_us
        self.renew_us = self.lease_us // RENEWALS_A_LEASE
        self.quiet_us = self.lease_us * QUIET_SHARE[0] // QUIET_SHARE[1]
        self.fencing_token = None
        self.renewal = 0
        self.least_fence = 0
        self.expires_us = 0
        self.requested_us = 0
        self.is_requesting = False
        self.last_seen = None
        self.last_seen_us = self.ticked_us = node.now_us()
        self.waited_us = self.lease_us + MARGIN_US
        self.election_from_us = 0
        self.is_vacant = False
        self.holder_incarnation = None
        self.incarnation_of = lambda name: None
        self.is_succession = False
        self.is_closed = False
        self.actions = 0
        self.seen_actions = None
        self.idle_us = 0
        self.is_action_requested = False
        self.announced_us = None
        self.on_announced = lambda: None
        node.systems.append(self.tick)
        node.on_late.append(self.on_late_tick)

    # what others ask of it

    def set_rank(self, rank):
        """How many other nodes go first for this duty."""
        self.rank_us = rank * RANK_US

    def record(self):
        """The record as this node's seat has it, or None."""
        return read_record(self.seat.cell(self.key).value)

    def is_held(self):
        """Whether this node holds the lease now."""
        return self.fencing_token is not None and self.node.now_us() < self.expires_us

    def is_holder_suspected(self):
        """Whether nobody renewed for a while, or the holder is gone.

        A node that may soon hold the duty can make ready then.
        """
        if not self.seat.is_voting or self.is_closed:
            return False
        if self.is_vacant or self._is_holder_gone():
            return True
        return self.node.now_us() - self.last_seen_us > self.quiet_us

    def announce_action(self, on_announced=lambda: None):
        """Have a quorum record that this holder acts next, then call `on_announced`.

        Nothing is called where the lease is lost meanwhile; `may_act` tells whether it may act.
        """
        if self.fencing_token is None:
            return
        self.is_action_requested = True
        self.on_announced = on_announced
        if not self.is_requesting:
            self._request(self.node.now_us(), self.fencing_token, self.renewal + 1)

    def may_act(self):
        """Whether one action was announced and may still be taken."""
        if not self.is_held() or self.announced_us is None:
            return False
        return self.node.now_us() - self.announced_us < self.renew_us

    def consume_action(self):
        """The announced action is taken: the next one is announced anew."""
        self.announced_us = None

    def are_others_idle(self):
        """Whether no other holder can have acted within the last lease."""
        return self.seen_actions is not None and self.idle_us >= self.lease_us + self.renew_us

    def allow_election_now(self):
        """Nobody can have held the lease: it may be asked for at once."""
        self.waited_us = self.lease_us + MARGIN_US
        self.election_from_us = 0

    def assume_vacant(self):
        """No living holder is known, though its lease may not have run out."""
        self._observe(self.record(), self.node.now_us())
        self.is_vacant = True

    def observe_fencing_token(self, fence):
        """Somebody was told a fence: the next one must be above it, whatever the core forgot."""
        self.least_fence = max(self.least_fence, math.ceil(fence))

    def step_down(self):
        """The holder can't do the duty: it lets the lease lapse and stands back for another."""
        if self.fencing_token is None:
            return
        self._lapse()
        self._wait_anew(self.node.now_us() + self.lease_us)

    def release(self, done):
        """The holder stops: a successor needn't wait for its lease to run out."""
        self.is_closed = True
        if self.fencing_token is None:
            return done()
        fence = self.fencing_token
        self._lapse()

        def step(value):
            record = read_record(value)
            if not record or record.fencing_token != fence or record.holder != self.node.name:
                return "stop", value
            vacant = LeaseRecord(None, fence, record.renewal + 1, record.actions)
            return "set", write_record(vacant)

        self.proposer.change(self.key, step, lambda outcome, value: done())

    # what time does to it

    def on_late_tick(self, now_us):
        """After a pause of this process nothing is known of the lease."""
        if self.fencing_token is not None:
            self._lapse()

    def tick(self, now_us):
        """Observe the record, then renew the lease, let it lapse, or ask for it."""
        self._count_wait(now_us)
        if not self.seat.is_voting:
            return self._stand_by(now_us)
        self._observe(self.record(), now_us)
        if self.fencing_token is not None and now_us >= self.expires_us:
            self._lapse()
        if self.is_requesting or self.is_closed:
            return
        if self.fencing_token is not None:
            return self._renew_if_due(now_us)
        if self._may_stand(now_us):
            seen_fence, _ = self.last_seen or NOTHING_SEEN
            self._request(now_us, max(seen_fence, self.least_fence) + 1, 0)

    def _stand_by(self, now_us):
        """A seat without votes holds no lease, and waits for a whole one once it votes."""
        if self.fencing_token is not None:
            self._lapse()
        self.last_seen_us = now_us
        self.is_vacant = False
        self._wait_anew(now_us)

    def _renew_if_due(self, now_us):
        if self.least_fence > self.fencing_token:
            self._request(now_us, self.least_fence + 1, 0)
        elif self.is_action_requested or now_us - self.requested_us >= self.renew_us:
            self._request(now_us, self.fencing_token, self.renewal + 1)

    def _may_stand(self, now_us):
        if now_us < self.election_from_us or now_us < self.seat.votes_from_us + self.rank_us:
            return False
        return self.waited_us >= self.lease_us + MARGIN_US

    def _count_wait(self, now_us):
        lived_us = max(0, min(now_us - self.ticked_us, STEP_AT_MOST_US))
        self.waited_us += lived_us
        self.idle_us += lived_us
        self.ticked_us = now_us

    def _wait_anew(self, now_us):
        self.waited_us = 0
        spread_us = self.node.ports.dice.randrange(ELECTION_SPREAD_US)
        self.election_from_us = now_us + self.lease_us + MARGIN_US + self.rank_us + spread_us

    def _lapse(self):
        self.node.ports.log(1402, duty=self.name, fence=self.fencing_token)
        self.fencing_token = None
        self.is_action_requested = False
        self.announced_us = None
        self.on_lapsed()

    # what it sees of others

    def _is_holder_gone(self):
        record = self.record()
        if record is None or record.holder is None:
            return False
        if record.holder == self.node.name:
            return self.fencing_token is None and not self.is_requesting
        incarnation = self.incarnation_of(record.holder)
        if self.holder_incarnation is None:
            self.holder_incarnation = incarnation
        if incarnation is None:
            return False
        return incarnation == 0 or incarnation != self.holder_incarnation

    def _observe(self, record, now_us):
        if record is None or record.version <= (self.last_seen or NOTHING_SEEN):
            return
        self.last_seen = record.version
        self.last_seen_us = now_us
        if record.actions != self.seen_actions and record.holder != self.node.name:
            self.idle_us = 0
        self.seen_actions = record.actions
        self._wait_anew(now_us)
        self.is_vacant = record.holder is None
        if self.is_vacant:
            self.waited_us = self.lease_us + MARGIN_US
            self.election_from_us = now_us + self.rank_us
            return
        self.holder_incarnation = self.incarnation_of(record.holder)

    # the election

    def _request(self, now_us, fence, renewal):
        """Ask the register for the lease, or for its renewal, counted from now."""
        self.is_requesting = True
        self.requested_us = now_us
        expected = (
            (self.fencing_token, self.renewal) if self.fencing_token is not None else self.last_seen
        )
        is_announcing = self.is_action_requested and fence == self.fencing_token
        actions = self.actions if self.fencing_token is not None else self.seen_actions or 0
        wanted = LeaseRecord(self.node.name, fence, renewal, actions + is_announcing)
        is_succession = self.is_vacant and bool(self.last_seen)

        def step(value):
            record = read_record(value)
            if record == wanted:
                return "keep", None
            if (record and record.version) != expected:
                return "stop", value
            return "set", write_record(wanted)

        def done(outcome, value):
            self.is_requesting = False
            if outcome == "stopped":
                self._observe(read_record(value), self.node.now_us())
            if self.is_closed:
                return
            if outcome != "chosen" or read_record(value) != wanted:
                return self._rest()
            self._hold(wanted, now_us + self.lease_us, is_succession)
            if is_announcing and self.fencing_token == fence:
                self.is_action_requested = False
                self.announced_us = now_us
                self.on_announced()

        self.proposer.change(self.key, step, done, is_patient=True)

    def _hold(self, record, expires_us, is_succession):
        """The register chose this node's record; an answer that came too late is no lease."""
        if self.node.now_us() >= expires_us:
            return
        is_new = self.fencing_token != record.fencing_token
        self.fencing_token = record.fencing_token
        self.renewal = record.renewal
        self.actions = record.actions
        self.expires_us = expires_us
        if is_new:
            self.is_succession = is_succession
            self.node.ports.log(1401, duty=self.name, fence=record.fencing_token)
            self.on_won()

    def _rest(self):
        spread_us = self.node.ports.dice.randrange(ELECTION_SPREAD_US)
        rested_us = self.node.now_us() + RETRY_LEAST_US + spread_us
        self.election_from_us = max(self.election_from_us, rested_us)
