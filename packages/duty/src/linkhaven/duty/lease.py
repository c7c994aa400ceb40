import math

MARGIN_US = 200_000
CONTEST_US = 50_000
RANK_US = 120_000
STEP_AT_MOST_US = 250_000


class Duty:
    """A duty in the register: {holder, fence, renewal}. Held for a grant that is counted
    from before it was asked for; contested only after a whole grant without renewal, or once its holder has
    released it. `life_of` tells which start of a node runs: 0 where it is down, None where that isn't known."""

    __slots__ = (
        "node",
        "name",
        "key",
        "proposer",
        "seat",
        "fence",
        "granted_us",
        "asked_us",
        "is_asking",
        "seen",
        "seen_us",
        "grant_us",
        "renew_us",
        "quiet_us",
        "contest_us",
        "on_won",
        "on_lapsed",
        "renewal",
        "floor",
        "rank_us",
        "vacant_us",
        "ticked_us",
        "is_vacant",
        "life",
        "life_of",
        "is_succession",
        "is_closed",
    )

    def __init__(
        self, node, name, proposer, seat, rank=0, on_won=lambda: None, on_lapsed=lambda: None
    ):
        self.node = node
        self.name = name
        self.key = f"duty/{name}"
        self.proposer = proposer
        self.seat = seat
        self.on_won = on_won
        self.on_lapsed = on_lapsed
        self.set_rank(rank)
        self.grant_us = node.terms.lease_us
        self.renew_us = self.grant_us // 3
        self.quiet_us = self.grant_us * 8 // 15
        self.fence = None
        self.renewal = 0
        self.floor = 0
        self.granted_us = 0
        self.asked_us = 0
        self.is_asking = False
        self.seen = None
        self.seen_us = self.ticked_us = node.now_us()
        self.vacant_us = self.grant_us + MARGIN_US
        self.contest_us = 0
        self.is_vacant = False
        self.life = None
        self.life_of = lambda name: None
        self.is_succession = False
        self.is_closed = False
        node.systems.append(self.tick)
        node.on_late.append(self.wake)

    def set_rank(self, rank):
        self.rank_us = rank * RANK_US

    def stand_free(self):
        """Nobody can have held it: it may be asked for at once."""
        self.vacant_us = self.grant_us + MARGIN_US
        self.contest_us = 0

    def is_held(self):
        return self.fence is not None and self.node.now_us() < self.granted_us

    def is_quiet(self):
        """Nobody renewed for a while, or the holder is gone: who may soon hold the duty can make ready."""
        if not self.seat.is_voting or self.is_closed:
            return False
        return (
            self.is_vacant
            or self._is_holder_gone()
            or self.node.now_us() - self.seen_us > self.quiet_us
        )

    def stand_vacant(self):
        """No living holder is known, though its grant may not have run out."""
        self.observe(self.holder(), self.node.now_us())
        self.is_vacant = True

    def _is_holder_gone(self):
        holder = self.holder()
        if holder is None or holder["holder"] is None:
            return False
        if holder["holder"] == self.node.name:
            return self.fence is None and not self.is_asking
        life = self.life_of(holder["holder"])
        if self.life is None:
            self.life = life
        return life is not None and life != self.life or life == 0

    def holder(self):
        return self.seat.cell(self.key).value

    def hear_fence(self, fence):
        """Somebody was told a fence: this duty's must be above it, also after the core lost what it knew."""
        self.floor = max(self.floor, math.ceil(fence))

    def wake(self, now_us):
        if self.fence is not None:
            self._lapse()

    def _lapse(self):
        self.node.ports.log(1402, duty=self.name, fence=self.fence)
        self.fence = None
        self.on_lapsed()

    def give_up(self):
        """The holder can't do the duty: it lets it lapse and stands back for one grant."""
        if self.fence is None:
            return
        self._lapse()
        self._wait_anew(self.node.now_us() + self.grant_us)

    def release(self, done):
        """The holder stops: after its last deed it tells that a successor needn't wait for the grant to run out."""
        self.is_closed = True
        if self.fence is None:
            return done()
        fence = self.fence
        self._lapse()

        def step(value):
            if not value or value["fence"] != fence or value["holder"] != self.node.name:
                return "stop", value
            return "set", {"holder": None, "fence": fence, "renewal": value["renewal"] + 1}

        self.proposer.change(self.key, step, lambda outcome, value: done())

    def observe(self, value, now_us):
        seen = value and (value["fence"], value["renewal"])
        if (seen or (0, 0)) <= (self.seen or (0, 0)):
            return
        self.seen = seen
        self.seen_us = now_us
        self._wait_anew(now_us)
        self.is_vacant = value["holder"] is None
        if self.is_vacant:
            self.vacant_us = self.grant_us + MARGIN_US
            self.contest_us = now_us + self.rank_us
            return
        self.life = self.life_of(value["holder"])

    def _wait_anew(self, now_us):
        self.vacant_us = 0
        self.contest_us = (
            now_us
            + self.grant_us
            + MARGIN_US
            + self.rank_us
            + self.node.ports.dice.randrange(CONTEST_US * 2)
        )

    def _count_wait(self, now_us):
        """Only time that this node lived through counts against a holder: a leap of the clock is no wait."""
        self.vacant_us += max(0, min(now_us - self.ticked_us, STEP_AT_MOST_US))
        self.ticked_us = now_us

    def tick(self, now_us):
        self._count_wait(now_us)
        if not self.seat.is_voting:
            if self.fence is not None:
                self._lapse()
            self.seen_us = now_us
            self.is_vacant = False
            self._wait_anew(now_us)
            return
        self.observe(self.seat.cell(self.key).value, now_us)
        if self.fence is not None and now_us >= self.granted_us:
            self._lapse()
        if self.is_asking or self.is_closed:
            return
        if self.fence is not None:
            if self.floor > self.fence:
                self._ask(now_us, self.floor + 1, 0)
            elif now_us - self.asked_us >= self.renew_us:
                self._ask(now_us, self.fence, self.renewal + 1)
            return
        if now_us < self.contest_us or now_us < self.seat.votes_from_us + self.rank_us:
            return
        if self.vacant_us < self.grant_us + MARGIN_US:
            return
        held = self.seen or (0, 0)
        self._ask(now_us, max(held[0], self.floor) + 1, 0)

    def _ask(self, now_us, fence, renewal):
        self.is_asking = True
        self.asked_us = now_us
        expected = (self.fence, self.renewal) if self.fence is not None else self.seen
        wanted = {"holder": self.node.name, "fence": fence, "renewal": renewal}
        is_succession = self.is_vacant and bool(self.seen)

        def step(value):
            if value == wanted:
                return "keep", None
            found = value and (value["fence"], value["renewal"])
            if found != expected:
                return "stop", value
            return "set", wanted

        def done(outcome, value):
            self.is_asking = False
            if outcome == "stopped":
                self.observe(value, self.node.now_us())
            if self.is_closed:
                return
            if outcome != "chosen" or value != wanted:
                return self._rest()
            if self.node.now_us() >= now_us + self.grant_us:
                return
            is_new = self.fence != fence
            self.fence = fence
            self.renewal = renewal
            self.granted_us = now_us + self.grant_us
            if is_new:
                self.is_succession = is_succession
                self.node.ports.log(1401, duty=self.name, fence=fence)
                self.on_won()

        self.proposer.change(self.key, step, done)

    def _rest(self):
        reach = CONTEST_US * 2
        rested_us = self.node.now_us() + CONTEST_US + self.node.ports.dice.randrange(reach)
        self.contest_us = max(self.contest_us, rested_us)
