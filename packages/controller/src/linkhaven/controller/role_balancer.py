"""Orders runners' phases, so that each pool has readers and decoders in a fitting ratio."""

from linkhaven.configuration import PoolSettings
from linkhaven.runner.roster import DECODE, PREFILL

from .role_change import RoleChange
from .role_pools import ROLES, PoolRoles, RunnerPool
from .vacant_roles import VacantRoleMonitor

LOOK_US = 500_000
"""How often the ratio of readers to decoders is weighed."""

SURVEY_US = 50_000
"""How often the sides are counted while nothing is known to have changed."""

NOTICE_US = 700_000
"""How long routers are told of a change before its order leaves."""

QUIET_US = 3_000_000
"""After this without a sign of it, an order counts as lost and a router's rates as old."""

SETTLED_US = 5_000_000
"""How long routers are told which phase a runner has just taken up."""

VACANCY_WAIT_US = 700_000
"""How long an empty side is waited for where reports may merely be late."""

SWITCH_MOST_US = 30_000_000
"""A runner that reports a switch for longer than this counts as stuck."""

AT_ONCE_OF = 8
"""One planned change at once for so many sound runners of a pool, and one in any case."""

SEEN_PACE = 2
"""Where a router's rates have the pace it saw readers at."""

SWITCH_US = 2_000_000
"""How long a switch takes where the configuration doesn't say."""

NO_POOL_SETTINGS = PoolSettings()
"""Of a pool that the configuration doesn't name."""

READ_END_US = 1_000_000
"""What a reader may take to end the read that it has begun before it switches."""


class RoleBalancer:
    """Orders runners' phases while its duty is held.

    Two kinds of change. A planned one follows the ratio search: one at a time in a pool, routers
    told before the order leaves, a dwell after it, and dropped where the pool lost a runner since
    it was decided on or the side it takes from would stand empty. A covering one fills a side
    that nobody plays: at once, without dwell and, for the decoding side, without notice to the
    routers. That is safe since nothing read can be decoded there before: a read that still
    reaches the runner is refused as not executed (421, or 503 while it switches), as is any work
    sent to a runner whose phase the sender took wrongly.

    Invariant: `VacantRoleMonitor`. Tests: `tests/test_vacant_roles.py`.
    """

    __slots__ = (
        "node",
        "lease",
        "runner_discovery",
        "desk",
        "snapshot",
        "pools",
        "rates",
        "changes",
        "watch",
        "surveyed_us",
        "surveyed_change",
        "won_us",
        "woken_us",
        "serial",
        "orders",
        "settled",
    )

    def __init__(self, node, lease, runner_discovery, desk, snapshot):
        """Stand ready to order; nothing is ordered before the duty is won."""
        self.node = node
        self.lease = lease
        self.runner_discovery = runner_discovery
        self.desk = desk
        self.snapshot = snapshot
        self.pools = {}
        self.rates = {}
        self.changes = {}
        self.watch = VacantRoleMonitor(node.ports)
        self.surveyed_us = 0
        self.surveyed_change = None
        self.won_us = 0
        self.woken_us = -node.bounds.thaw_us
        self.serial = 0
        self.settled = {}
        self.orders = 0
        node.systems.append(self.tick)
        node.on_late.append(self.wake)

    # the duty

    def on_lease_lapsed(self, role):
        """Nothing that was decided on under this lease is ordered any more."""
        self.forget()

    def on_lease_won(self, role):
        """The duty was won: nothing of an earlier term counts."""
        self.won_us = self.node.now_us()
        self.forget()

    def wake(self, now_us):
        """A tick came late."""
        self.woken_us = now_us

    def may_order(self, now_us):
        """Whether a lease lies between another holder's last order and now, and the thaw is over.

        That is so at once where no announcement of another was seen for long enough, else a lease
        after the duty was won; also where the former holder released it.
        """
        if now_us - self.woken_us < self.node.bounds.thaw_us:
            return False
        if self.lease.are_others_idle():
            return True
        least_us = self.lease.lease_us if self.lease.is_succession else 0
        return now_us - self.won_us >= max(self.node.bounds.orders_after_us, least_us)

    def forget(self):
        """Drop what was being ordered and all that was seen of the pools."""
        self.pools = {}
        self.changes = {}
        self.settled = {}
        self.surveyed_change = None

    # what routers tell and are told

    def on_watch_request(self, message):
        """A router's rates: prompt and answer tokens a second, and the pace it saw readers at."""
        self.rates[message["name"]] = (message.get("rates", [0, 0]), self.node.now_us())

    def add_watch_facts(self, facts):
        """Which runners are changing, and which have just changed."""
        if self.lease.is_held():
            facts["steward"] = {
                "fence": self.lease.fencing_token,
                "serial": self.serial,
                "changing": list(self.changes),
                "settled": {name: phase for name, (phase, _) in self.settled.items()},
            }

    def as_record(self):
        """For the standing."""
        record = self.watch.as_record(self.pools.values(), self.node.now_us())
        return {"orders": self.orders, **record}

    # the round

    def tick(self, now_us):
        """Count the sides, cover an empty one, work off changes, weigh the ratio when due."""
        if (
            not self.lease.is_held()
            or not self.runner_discovery.is_ready()
            or self.snapshot.configuration is None
        ):
            return
        self._forget_settled(now_us)
        self._survey(now_us)
        may_order = self.may_order(now_us)
        for pool in list(self.pools.values()):
            if may_order:
                self._fill_vacancies(pool, now_us)
            self._watch(pool, may_order, now_us)
        for change in list(self.changes.values()):
            self._work_off(change, now_us)
        if may_order:
            for pool in list(self.pools.values()):
                self._look_if_due(pool, now_us)

    def _forget_settled(self, now_us):
        for name, (_, settled_us) in list(self.settled.items()):
            if now_us - settled_us > SETTLED_US:
                del self.settled[name]

    def _survey(self, now_us):
        """Count who plays what: at each change of the list, else after a while."""
        is_changed = self.runner_discovery.changes.newest != self.surveyed_change
        if not is_changed and now_us - self.surveyed_us < SURVEY_US:
            return
        self.surveyed_us = now_us
        self.surveyed_change = self.runner_discovery.changes.newest
        counted = {name: PoolRoles() for name in self.pools}
        for runner in self.runner_discovery.runners.values():
            roles = counted.setdefault(runner.pool, PoolRoles())
            roles.add(runner, self.runner_discovery, self.changes.get(runner.name))
        for name, roles in counted.items():
            self.pools.setdefault(name, RunnerPool(name)).take(roles, now_us)

    def _is_searched(self):
        return self.snapshot.configuration.placement.is_balancing_enabled

    def _watch(self, pool, may_order, now_us):
        for phase in ROLES:
            if may_order and pool.needs(phase, self._is_searched()):
                self.watch.watch(pool, phase, self._empty_most_us(pool, phase), now_us)
            else:
                self.watch.end(pool, phase)

    def _empty_most_us(self, pool, phase):
        """How long a side may stand empty: to be sure of it, to order, to switch and to see it."""
        settings = self.snapshot.configuration.pools.get(pool.name, NO_POOL_SETTINGS)
        switch_us = settings.role_switch_us or SWITCH_US
        seen_us = VACANCY_WAIT_US + LOOK_US + 2 * self.node.bounds.report_us
        if phase == DECODE:
            return seen_us + READ_END_US + switch_us
        deadlines = [kind.deadline_us for kind in self.snapshot.configuration.kinds.values()]
        return seen_us + NOTICE_US + max(deadlines, default=0) + switch_us

    # an empty side

    def _fill_vacancies(self, pool, now_us):
        """Order somebody to a side that nobody plays."""
        for phase in (DECODE, PREFILL):
            if not pool.needs(phase, self._is_searched()):
                continue
            if pool.must_fill(phase, VACANCY_WAIT_US, now_us):
                self._fill_role(pool, phase, now_us)

    def _fill_role(self, pool, phase, now_us):
        notice_us = 0 if phase == DECODE else NOTICE_US
        begun = [
            change
            for change in self.changes.values()
            if change.pool == pool.name and change.phase == phase
        ]
        if begun:
            for change in begun:
                change.notice_us = min(change.notice_us, notice_us)
                change.members = None
            return
        if now_us < pool.cover_from_us:
            return
        for change in list(self.changes.values()):
            if change.pool == pool.name and not change.is_sent:
                self._drop(change)
        runner = self._pick(pool, phase)
        if runner is None:
            return
        pool.seen = self._counts(pool)
        self._begin(RoleChange(runner, phase, now_us, notice_us))

    def _pick(self, pool, phase):
        """The sound runner of the other phase that has least to do."""
        return next(iter(self._pick_some(pool, phase, 1)), None)

    def _pick_some(self, pool, phase, count):
        """The sound runners of the other phase that have least to do."""
        if phase == DECODE:
            return sorted(pool.now.sound[PREFILL], key=lambda one: one.queued)[:count]
        return sorted(pool.now.sound[DECODE], key=lambda one: one.running)[:count]

    def _counts(self, pool):
        sound = pool.now.sound
        return {"reading": len(sound[PREFILL]), "decoding": len(sound[DECODE])}

    # the ratio

    def _look_if_due(self, pool, now_us):
        if any(change.pool == pool.name for change in self.changes.values()):
            return
        if now_us - pool.looked_us < LOOK_US or now_us < pool.dwell_until_us:
            return
        pool.looked_us = now_us
        self._look(pool, now_us)

    def _look(self, pool, now_us):
        """Weigh the ratio, once each runner of the pool has reported and none is switching."""
        roles, settings = pool.now, self.snapshot.configuration.placement
        if roles.unreported or any(roles.arriving.values()):
            return
        reading, decoding = roles.sound[PREFILL], roles.sound[DECODE]
        pool.seen = self._counts(pool)
        if not settings.is_balancing_enabled or not decoding or roles.members() == 1:
            return
        wanted = self._wanted(pool, settings, now_us)
        if wanted != len(reading):
            phase = PREFILL if wanted > len(reading) else DECODE
            self._plan_changes(pool, phase, abs(wanted - len(reading)), now_us)

    def _wanted(self, pool, settings, now_us):
        """How many of the pool's sound runners should read."""
        sound, search = pool.now.sound, pool.search
        decoding = sound[DECODE]
        fit = sound[PREFILL] + decoding
        prompt_rate, answer_rate = self._demand(pool, now_us)
        search.held = sum(runner.kv_used / runner.kv_total for runner in fit)
        search.streams = sum(runner.running / runner.slots for runner in decoding if runner.slots)
        search.is_in_place = pool.name is None
        wanted = search.settle(
            len(sound[PREFILL]), len(fit), prompt_rate, answer_rate, settings, now_us
        )
        pool.seen.update(
            wanted=wanted,
            prompts=int(prompt_rate),
            streams=round(search.streams, 2),
            held=round(search.held, 2),
        )
        return wanted

    def _demand(self, pool, now_us):
        """Prompt and answer tokens a second of this pool.

        Routers tell rates over all pools together; each pool has its share by its sound runners.
        """
        told = [rates for rates, told_us in self.rates.values() if now_us - told_us < QUIET_US]
        paces = [rates[SEEN_PACE] for rates in told if len(rates) > SEEN_PACE and rates[SEEN_PACE]]
        pool.search.pace = sum(paces) / len(paces) if paces else None
        members = sum(other.now.members() for other in self.pools.values())
        share = pool.now.members() / members
        return share * sum(rates[0] for rates in told), share * sum(rates[1] for rates in told)

    def _plan_changes(self, pool, phase, wanted, now_us):
        """Begin some of the changes that are wanted: in a large pool several at once."""
        count = min(wanted, max(1, pool.now.members() // AT_ONCE_OF))
        members = pool.now.members() - count + 1
        for runner in self._pick_some(pool, phase, count):
            change = RoleChange(runner, phase, now_us, NOTICE_US, members)
            if self._holds(change, runner):
                self._begin(change)

    def begin_change(self, runner, phase, now_us):
        """Begin a planned change of this runner, whatever the ratio search says."""
        self._survey(now_us)
        pool = self.pools[runner.pool]
        self._begin(RoleChange(runner, phase, now_us, NOTICE_US, pool.now.members()))

    # one change

    def _begin(self, change):
        self.changes[change.name] = change
        self.serial += 1

    def _holds(self, change, runner):
        """Whether what an unsent change was decided on is still so."""
        pool = self.pools.get(change.pool)
        if pool is None:
            return False
        if change.fills_vacancy() and pool.now.sound[change.phase]:
            return False
        if change.fills_vacancy() and change.phase == DECODE:
            return True
        if not change.fills_vacancy() and pool.now.members() < change.members:
            return False
        needed = pool.needs(runner.phase, self._is_searched())
        return not needed or pool.now.may_spare(runner)

    def _work_off(self, change, now_us):
        runner = self.runner_discovery.runners.get(change.name)
        if runner is None or not runner.is_listed or runner.is_leaving or runner.is_unresponsive:
            return self._lose(change, now_us)
        if not change.is_sent:
            return self._send_when_told(change, runner, now_us)
        if runner.phase == change.phase and not runner.is_switching:
            self.settled[runner.name] = (runner.phase, now_us)
            return self._finish(change, now_us)
        if change.is_refused:
            return self._rest(change, now_us)
        is_told_since = runner.reported_us is not None and runner.reported_us > change.sent_us
        if now_us - change.sent_us > QUIET_US and (
            not runner.is_switching or not is_told_since or now_us - change.sent_us > SWITCH_MOST_US
        ):
            self._finish(change, now_us)

    def _send_when_told(self, change, runner, now_us):
        if not self._holds(change, runner):
            return self._drop(change)
        if now_us - change.told_us >= change.notice_us:
            self.send_order(change, runner, now_us)

    def _send_announced(self, change):
        runner = self.runner_discovery.runners.get(change.name)
        is_pending = self.changes.get(change.name) is change and not change.is_sent
        if is_pending and runner is not None:
            self._work_off(change, self.node.now_us())

    def send_order(self, change, runner, now_us):
        """Send it to the runner under the duty's fence, if the duty is held and may order.

        A quorum records first that an order follows, so that a successor knows of it.
        """
        if not self.lease.is_held() or not self.may_order(now_us):
            return
        if not self.lease.may_act():
            return self.lease.announce_action(lambda: self._send_announced(change))
        self.lease.consume_action()
        change.is_sent = True
        change.sent_us = now_us
        fence = self.lease.fencing_token
        order = {
            "phase": change.phase,
            "fence": fence,
            "mark": self.snapshot.version,
            "holder": self.node.name,
            "incarnation": runner.incarnation,
        }

        def done(error, document, has_begun):
            if error is not None:
                change.is_refused = True
                self.node.ports.log(1502, runner=runner.name, code=error.code)
                self.lease.observe_fencing_token(error.detail.get("fence", 0))

        self.orders += 1
        pool = self.pools.get(change.pool)
        seen = pool.seen if pool is not None else {}
        self.node.ports.log(1501, runner=runner.name, phase=change.phase, fence=fence, **seen)
        self.desk.order_phase(runner.address, order, done)

    def _drop(self, change):
        """It isn't sent; routers hear that the runner stays what it is."""
        del self.changes[change.name]
        self.serial += 1
        self.surveyed_change = None

    def _rest(self, change, now_us):
        """The runner refused it: the next order to fill a side comes a while later."""
        self._finish(change, now_us)
        pool = self.pools.get(change.pool)
        if pool is not None:
            pool.cover_from_us = now_us + LOOK_US

    def _lose(self, change, now_us):
        """Its runner leaves or is dark: whoever waited for the side waits anew."""
        pool = self.pools.get(change.pool)
        if pool is not None:
            self.watch.end(pool, change.phase)
        self._finish(change, now_us)

    def _finish(self, change, now_us):
        """It is over, well or not; the ratio of its pool rests for the dwell."""
        self._drop(change)
        pool = self.pools.get(change.pool)
        if pool is not None:
            pool.dwell_until_us = now_us + self.snapshot.configuration.placement.balancing_dwell_us
