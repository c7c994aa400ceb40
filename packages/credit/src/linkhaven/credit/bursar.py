"""The allocator of quotas: divides allowances over the routers while its duty is held."""

from .outstanding import Demand, Grants

SHARE_US = 3_000_000
QUIET_US = 5_000_000
GRANTS_A_FENCE = 1_000_000_000
EXTRA = "extra shots"
SPARE_US = 250_000
ROUNDING = 1e-9


class Bursar:
    """Divides each group's allowance, and the margin of extra shots, over the routers by demand.

    What is out never sums above the whole: a share counts until it lapses or its router says that
    it holds a later one."""

    __slots__ = (
        "node",
        "duty",
        "image",
        "won_us",
        "out",
        "wanted",
        "serial",
        "spare",
        "spared_us",
        "on_won",
    )

    def __init__(self, node, duty, image):
        """`duty` is the lease under which the shares are given."""
        self.node = node
        self.duty = duty
        self.image = image
        self.won_us = None
        self.out = {}
        self.wanted = {}
        self.serial = 0
        self.spare = 0
        self.spared_us = None
        self.on_won = lambda: None
        duty.on_won = self.win
        duty.on_lapsed = self.lapse

    def win(self):
        """The duty begins: what a former holder gave is heard from the routers, or lapses."""
        self.won_us = self.node.now_us()
        self.out = {}
        self.wanted = {}
        self.spared_us = None
        self.on_won()

    def lapse(self):
        """The duty is over."""
        self.won_us = None

    def hear_ask(self, message):
        """Takes in what a router holds and wants of each allowance."""
        if self.won_us is None:
            return
        now_us = self.node.now_us()
        router = message["name"]
        for group, told in message.get("credit", {}).items():
            self._note(group, router, told, now_us)
        if "extra" in message:
            self._note(EXTRA, router, message["extra"], now_us)

    def _note(self, name, router, told, now_us):
        self._demand_for(name).note(router, told["wanted"], now_us)
        until_us = now_us + self.node.terms.lease_us
        grants = self._grants_of(name, now_us)
        grants.note_held(router, told["grant"], told["rate"], until_us, now_us)

    def _demand_for(self, name):
        demand = self.wanted.get(name)
        if demand is None:
            demand = self.wanted[name] = Demand(QUIET_US)
        return demand

    def _grants_of(self, name, now_us):
        grants = self.out.get(name)
        if grants is None:
            grants = self.out[name] = Grants(now_us)
        return grants

    def total_of(self, terms):
        """A group's whole allowance, in tokens a second."""
        return terms["credit"]["tokens"] * 1_000_000 / terms["credit"]["period_us"]

    def add_shares(self, ask, facts):
        """Adds the asker's shares to an answer, if it told what it holds and wants."""
        if self.won_us is None or not self.duty.is_held() or self.image.plan is None:
            return
        now_us = self.node.now_us()
        plan, router = self.image.plan, ask["name"]
        is_settling = self.duty.fence > 1 and now_us - self.won_us < self.node.terms.lease_us
        shares = {}
        for group, told in ask.get("credit", {}).items():
            terms = plan["groups"].get(group)
            if terms is None or terms["credit"] is None:
                continue
            rate = (
                told["rate"]
                if is_settling
                else self._rate_for(group, router, self.total_of(terms), now_us, plan["floor"])
            )
            if rate > 0:
                shares[group] = [rate, self._grant(group, router, rate, now_us)]
        facts["shares"] = {"fence": self.duty.fence, "rates": shares}
        if "extra" in ask:
            told = ask["extra"]["rate"]
            part = told if is_settling else self._part_for(router, plan["extra"]["margin"], now_us)
            facts["shares"]["extra"] = [part, self._grant(EXTRA, router, part, now_us)]

    def _grant(self, name, router, amount, now_us):
        self.serial += 1
        number = self.duty.fence * GRANTS_A_FENCE + self.serial
        until_us = now_us + self.node.terms.lease_us
        self._grants_of(name, now_us).add(router, number, amount, until_us)
        return number

    def _left(self, name, router, total, now_us):
        out = self._grants_of(name, now_us).of_others(router, now_us)
        return total - out - total * ROUNDING

    def _part_for(self, router, margin, now_us):
        """Whole shots, since less than one can't be spent.

        One at least for whoever has requests, more where extra shots are wanted, and one for the
        idle as long as nobody else wants it."""
        demand = self._demand_for(EXTRA)
        demand.forget_quiet(now_us)
        amount = demand.of(router)
        if amount:
            part = self._wanted_part(amount, demand.total, margin)
        else:
            part = 1 if self._spare_of(demand, margin, now_us) > 0 else 0
        left = self._grants_of(EXTRA, now_us).of_others(router, now_us)
        return max(0, min(part, int(margin - left)))

    def _wanted_part(self, amount, total, margin):
        return max(1, int(margin * amount / total))

    def _spare_of(self, demand, margin, now_us):
        """What nobody wants, counted anew four times a second; what is out bounds it at each ask."""
        if self.spared_us is None or now_us - self.spared_us >= SPARE_US:
            self.spared_us = now_us
            self.spare = margin - sum(
                self._wanted_part(amount, demand.total, margin)
                for amount, _ in demand.told.values()
                if amount
            )
        return self.spare

    def _rate_for(self, group, router, total, now_us, floor):
        demand = self._demand_for(group)
        demand.forget_quiet(now_us)
        amount = demand.of(router)
        if amount is None:
            return 0.0
        even = 1 / len(demand.told)
        part = even if demand.total <= 0 else 0.2 * even + 0.8 * amount / demand.total
        return max(0.0, min(total * max(part, floor), self._left(group, router, total, now_us)))
