SHARE_US = 3_000_000
QUIET_US = 5_000_000
GRANTS_A_FENCE = 1_000_000_000


class Outstanding:
    __slots__ = ("grant", "rate", "until_us")

    def __init__(self, grant, rate, until_us):
        self.grant = grant
        self.rate = rate
        self.until_us = until_us


class Bursar:
    """Divides each group's allowance over the routers by demand. What is out never sums above the
    allowance: a share counts until it lapses or its router says that it holds a later one."""

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
        for group, told in message.get("credit", {}).items():
            self.wanted.setdefault(group, {})[router] = (told["wanted"], now_us)
            held = self.out.setdefault(group, {}).setdefault(router, [])
            if any(share.grant == told["grant"] for share in held):
                held[:] = [share for share in held if share.grant >= told["grant"]]
            elif told["rate"] > 0:
                held.append(Outstanding(told["grant"], told["rate"], now_us + SHARE_US))

    def _most_out(self, group, router, now_us):
        held = self.out.get(group, {}).get(router, [])
        held[:] = [share for share in held if share.until_us > now_us]
        return max((share.rate for share in held), default=0.0)

    def total_of(self, terms, plan):
        allowance = terms["credit"]["tokens"] * 1_000_000 / terms["credit"]["period_us"]
        return allowance * (1 - plan["floor"] * plan["fleet"]["routers"])

    def add_shares(self, ask, facts):
        if self.won_us is None or not self.duty.is_held() or self.image.plan is None:
            return
        now_us = self.node.now_us()
        plan, router = self.image.plan, ask["name"]
        is_settling = self.duty.fence > 1 and now_us - self.won_us < SHARE_US
        shares = {}
        for group, terms in plan["groups"].items():
            told = ask.get("credit", {}).get(group)
            if told is None:
                continue
            rate = told["rate"] if is_settling else self._rate_for(group, router, self.total_of(terms, plan), now_us)
            if rate <= 0:
                continue
            self.serial += 1
            grant = self.duty.fence * GRANTS_A_FENCE + self.serial
            self.out.setdefault(group, {}).setdefault(router, []).append(Outstanding(grant, rate, now_us + SHARE_US))
            shares[group] = [rate, grant]
        facts["shares"] = {"fence": self.duty.fence, "rates": shares}

    def _rate_for(self, group, router, total, now_us):
        wanted = {
            name: amount for name, (amount, told_us) in self.wanted.get(group, {}).items()
            if now_us - told_us < QUIET_US
        }
        if router not in wanted:
            return 0.0
        sum_wanted = sum(wanted.values())
        even = 1 / len(wanted)
        part = even if sum_wanted <= 0 else 0.2 * even + 0.8 * wanted[router] / sum_wanted
        others = sum(
            self._most_out(group, name, now_us) for name in list(self.out.get(group, {})) if name != router
        )
        return max(0.0, min(total * part, total - others))
