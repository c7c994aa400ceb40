SHARE_US = 3_000_000
QUIET_US = 5_000_000
GRANTS_A_FENCE = 1_000_000_000
EXTRA = "extra shots"


class Outstanding:
    __slots__ = ("grant", "rate", "until_us")

    def __init__(self, grant, rate, until_us):
        self.grant = grant
        self.rate = rate
        self.until_us = until_us


class Bursar:
    """Divides each group's allowance, and the margin of extra shots, over the routers by demand. What is out never
    sums above the whole: a share counts until it lapses or its router says that it holds a later one."""

    __slots__ = ("node", "duty", "image", "won_us", "out", "wanted", "serial")

    def __init__(self, node, duty, image):
        self.node = node
        self.duty = duty
        self.image = image
        self.won_us = None
        self.out = {}
        self.wanted = {}
        self.serial = 0
        duty.on_won = self.win
        duty.on_lapsed = self.lapse

    def win(self):
        self.won_us = self.node.now_us()
        self.out = {}
        self.wanted = {}

    def lapse(self):
        self.won_us = None

    def hear_ask(self, message):
        if self.won_us is None:
            return
        now_us = self.node.now_us()
        router = message["name"]
        for group, told in [
            *message.get("credit", {}).items(),
            *([(EXTRA, message["extra"])] if "extra" in message else []),
        ]:
            self.wanted.setdefault(group, {})[router] = (told["wanted"], now_us)
            held = self.out.setdefault(group, {}).setdefault(router, [])
            if any(share.grant == told["grant"] for share in held):
                held[:] = [share for share in held if share.grant >= told["grant"]]
            elif told["rate"] > 0:
                held.append(
                    Outstanding(told["grant"], told["rate"], now_us + self.node.terms.lease_us)
                )

    def _most_out(self, group, router, now_us):
        held = self.out.get(group, {}).get(router, [])
        held[:] = [share for share in held if share.until_us > now_us]
        return max((share.rate for share in held), default=0.0)

    def total_of(self, terms):
        return terms["credit"]["tokens"] * 1_000_000 / terms["credit"]["period_us"]

    def add_shares(self, ask, facts):
        if self.won_us is None or not self.duty.is_held() or self.image.plan is None:
            return
        now_us = self.node.now_us()
        plan, router = self.image.plan, ask["name"]
        is_settling = self.duty.fence > 1 and now_us - self.won_us < self.node.terms.lease_us
        shares = {}
        for group, terms in plan["groups"].items():
            told = ask.get("credit", {}).get(group)
            if told is None or terms["credit"] is None:
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
        grant = self.duty.fence * GRANTS_A_FENCE + self.serial
        self.out.setdefault(name, {}).setdefault(router, []).append(
            Outstanding(grant, amount, now_us + self.node.terms.lease_us)
        )
        return grant

    def _wanted(self, name, now_us):
        return {
            router: amount
            for router, (amount, told_us) in self.wanted.get(name, {}).items()
            if now_us - told_us < QUIET_US
        }

    def _left(self, name, router, total, now_us):
        others = [other for other in self.out.get(name, {}) if other != router]
        return total - sum(self._most_out(name, other, now_us) for other in others)

    def _part_for(self, router, margin, now_us):
        """Whole shots, since less than one can't be spent: one at least for whoever has requests, more where extra shots
        are wanted, and one for the idle as long as nobody else wants it."""
        wanted = self._wanted(EXTRA, now_us)
        sum_wanted = sum(wanted.values())
        parts = {
            name: max(1, int(margin * amount / sum_wanted))
            for name, amount in wanted.items()
            if amount
        }
        spare = margin - sum(parts.values())
        part = parts.get(router, 1 if spare > 0 else 0)
        return max(0, min(part, int(self._left(EXTRA, router, margin, now_us))))

    def _rate_for(self, group, router, total, now_us, floor):
        wanted = self._wanted(group, now_us)
        if router not in wanted:
            return 0.0
        sum_wanted = sum(wanted.values())
        even = 1 / len(wanted)
        part = even if sum_wanted <= 0 else 0.2 * even + 0.8 * wanted[router] / sum_wanted
        return max(0.0, min(total * max(part, floor), self._left(group, router, total, now_us)))
