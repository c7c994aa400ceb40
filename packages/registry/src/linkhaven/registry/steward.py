from linkhaven.pairing import RatioSearch
from linkhaven.runner.roster import DECODE, PREFILL

LOOK_US = 500_000
TOLD_US = 700_000
QUIET_US = 3_000_000
SETTLED_US = 5_000_000
BARE_US = 700_000
SWITCH_MOST_US = 30_000_000


class Steward:
    """Orders runners' phases while its duty is held: one at a time, routers told before the order
    leaves, a dwell after it. Wanted is a count of reading runners; the loop works off the difference."""

    __slots__ = (
        "node",
        "duty",
        "keeper",
        "desk",
        "image",
        "search",
        "rates",
        "looked_us",
        "changing",
        "wanted_phase",
        "seen",
        "bare_us",
        "won_us",
        "woken_us",
        "told_us",
        "is_sent",
        "dwell_us",
        "serial",
        "orders",
        "sent_us",
        "settled",
    )

    def __init__(self, node, duty, keeper, desk, image):
        self.node = node
        self.duty = duty
        self.keeper = keeper
        self.desk = desk
        self.image = image
        self.search = RatioSearch()
        self.rates = {}
        self.looked_us = 0
        self.changing = None
        self.wanted_phase = None
        self.seen = {}
        self.bare_us = node.now_us()
        self.won_us = 0
        self.woken_us = -node.terms.thaw_us
        self.told_us = 0
        self.is_sent = False
        self.sent_us = 0
        self.dwell_us = 0
        self.serial = 0
        self.settled = {}
        self.orders = 0
        duty.on_won = self.win
        duty.on_lapsed = self.forget
        node.systems.append(self.tick)
        node.on_late.append(self.wake)

    def win(self):
        self.won_us = self.node.now_us()
        self.forget()

    def wake(self, now_us):
        self.woken_us = now_us

    def may_order(self, now_us):
        """Between the orders of two holders a grant has passed, also where the former one released the duty."""
        terms = self.node.terms
        after_us = max(terms.orders_after_us, self.duty.lease_us if self.duty.is_succession else 0)
        return now_us - self.won_us >= after_us and now_us - self.woken_us >= terms.thaw_us

    def forget(self):
        self.search = RatioSearch()
        self.changing = None
        self.is_sent = False
        self.settled = {}

    def hear_ask(self, message):
        self.rates[message["name"]] = (message.get("rates", [0, 0]), self.node.now_us())

    def add_news(self, facts):
        if self.duty.is_held():
            facts["steward"] = {
                "fence": self.duty.fence,
                "serial": self.serial,
                "changing": [self.changing] if self.changing else [],
                "settled": {name: phase for name, (phase, _) in self.settled.items()},
            }

    def tick(self, now_us):
        if not self.duty.is_held() or not self.keeper.is_ready() or self.image.plan is None:
            return
        for name in [
            name for name, (_, at_us) in self.settled.items() if now_us - at_us > SETTLED_US
        ]:
            del self.settled[name]
        if self.changing is not None:
            return self._work_off(now_us)
        if (
            now_us - self.looked_us < LOOK_US
            or now_us < self.dwell_us
            or not self.may_order(now_us)
        ):
            return
        self.looked_us = now_us
        self._look(now_us)

    def _demand(self, now_us):
        told = [rates for rates, told_us in self.rates.values() if now_us - told_us < QUIET_US]
        paces = [rates[2] for rates in told if len(rates) > 2 and rates[2]]
        self.search.pace = sum(paces) / len(paces) if paces else None
        return sum(rates[0] for rates in told), sum(rates[1] for rates in told)

    def _look(self, now_us):
        taichi = self.image.plan["taichi"]
        fit = [
            runner
            for runner in self.keeper.runners.values()
            if runner.is_open() and runner.reported_us is not None
        ]
        reading = [runner for runner in fit if runner.phase == PREFILL]
        decoding = [runner for runner in fit if runner.phase == DECODE]
        if any(
            runner.reported_us is None
            for runner in self.keeper.runners.values()
            if runner.is_open()
        ):
            return
        self.seen = {"reading": len(reading), "decoding": len(decoding)}
        if decoding or not fit:
            self.bare_us = now_us
        elif now_us - self.bare_us < BARE_US:
            return
        if fit and not decoding:
            return self._change(min(reading, key=lambda runner: runner.queued), DECODE, now_us)
        if not taichi["search"] or len(fit) < 2:
            return
        prompt_rate, answer_rate = self._demand(now_us)
        self.search.held = sum(runner.kv_used / runner.kv_total for runner in fit)
        self.search.streams = sum(
            runner.running / runner.slots for runner in decoding if runner.slots
        )
        self.search.is_in_place = not any(runner.pool for runner in fit)
        wanted = self.search.settle(
            len(reading), len(fit), prompt_rate, answer_rate, taichi, now_us
        )
        self.seen.update(
            wanted=wanted,
            prompts=int(prompt_rate),
            streams=round(self.search.streams, 2),
            held=round(self.search.held, 2),
        )
        if wanted > len(reading) and len(decoding) > 1:
            self._change(min(decoding, key=lambda runner: runner.running), PREFILL, now_us)
        elif wanted < len(reading):
            self._change(min(reading, key=lambda runner: runner.queued), DECODE, now_us)

    def _change(self, runner, phase, now_us):
        self.changing = runner.name
        self.wanted_phase = phase
        self.told_us = now_us
        self.is_sent = False
        self.serial += 1

    def _work_off(self, now_us):
        runner = self.keeper.runners.get(self.changing)
        if runner is None or not runner.is_listed or runner.is_leaving or runner.is_dark:
            return self._finish(now_us)
        if now_us - self.told_us < TOLD_US:
            return
        if not self.is_sent:
            return self._order(runner, now_us)
        if runner.phase == self.wanted_phase:
            self.settled[runner.name] = (runner.phase, now_us)
            return self._finish(now_us)
        is_told_since = runner.reported_us is not None and runner.reported_us > self.sent_us
        if now_us - self.sent_us > QUIET_US and (
            not runner.is_switching or not is_told_since or now_us - self.sent_us > SWITCH_MOST_US
        ):
            self._finish(now_us)

    def _order(self, runner, now_us):
        if not self.duty.is_held() or not self.may_order(now_us):
            return
        self.is_sent = True
        self.sent_us = now_us
        fence = self.duty.fence
        order = {
            "phase": self.wanted_phase,
            "fence": fence,
            "mark": self.image.mark,
            "holder": self.node.name,
            "incarnation": runner.incarnation,
        }

        def done(trouble, document, has_begun):
            if trouble is not None:
                self.node.ports.log(1502, runner=runner.name, code=trouble.code)
                self.duty.observe_fence(trouble.detail.get("fence", 0))

        self.orders += 1
        self.node.ports.log(
            1501, runner=runner.name, phase=self.wanted_phase, fence=fence, **self.seen
        )
        self.desk.order_phase(runner.address, order, done)

    def _finish(self, now_us):
        self.changing = None
        self.serial += 1
        self.dwell_us = now_us + self.image.plan["taichi"]["dwell_us"]
