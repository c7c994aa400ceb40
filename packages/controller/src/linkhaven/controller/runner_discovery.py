from linkhaven.runner import Runner, Starts
from linkhaven.runtime import Table

from .runner_list_delta import RunnerListDelta

ABANDON_US = 1_000_000
PRESS_US = 250_000
SETTLE_US = 200_000
BLIND_US = 1_200_000
UNANSWERED_US = 500_000
LEFT_US = 60_000_000
ANY_INCARNATION = 0
SERIALS_A_START = 1 << 32


class RunnerDiscovery:
    """Keeps the list of runners from the platform's list, the runners' reports and the routers'
    first-hand word. Works while one of the duties that need it is held."""

    __slots__ = (
        "node",
        "desk",
        "platform",
        "needs",
        "runners",
        "polled_us",
        "listed_us",
        "poll",
        "reports",
        "reported_us",
        "pressed_us",
        "owed_us",
        "heard_us",
        "blind_us",
        "changed",
        "changes",
        "serial",
        "since_us",
        "leaving",
        "on_blind",
        "starts",
        "first_us",
        "is_settled",
        "on_ready",
        "silent",
    )

    def __init__(self, node, desk, platform, needs):
        self.node = node
        self.desk = desk
        self.platform = platform
        self.needs = needs
        self.runners = Table()
        self.polled_us = -node.bounds.poll_us
        self.listed_us = None
        self.poll = None
        self.reports = {}
        self.reported_us = -node.bounds.report_us
        self.pressed_us = 0
        self.owed_us = {}
        self.blind_us = max(BLIND_US, 3 * node.bounds.poll_us)
        self.changed = 0
        self.changes = RunnerListDelta()
        self.heard_us = {}
        self.serial = 0
        self.since_us = None
        self.leaving = {}
        self.silent = {}
        self.on_blind = lambda: None
        self.on_ready = lambda: None
        self.first_us = None
        self.is_settled = False
        self.starts = Starts()
        node.systems.append(self.tick)

    def is_ready(self):
        """The list came, and the runners' reports came or had their time."""
        if self.listed_us is None or self.since_us is None:
            return False
        now_us = self.node.now_us()
        if not self.is_settled:
            is_owed = any(
                runner.reported_us is None and not runner.is_plain()
                for runner in self.runners.values()
            )
            self.is_settled = not is_owed or now_us - self.first_us >= SETTLE_US
        return self.is_settled and now_us - self.listed_us < self.blind_us

    def is_suspect(self, runner):
        """Whether it owes an answer for so long that more than lateness must be feared."""
        now_us = self.node.now_us()
        return now_us - self.owed_us.get(runner.name, now_us) >= UNANSWERED_US

    def is_lost(self, runner):
        """Whether it is dark for sure: by another's word or its silence, and it leaves us unanswered, too."""
        return runner.is_unresponsive and self.is_suspect(runner)

    def start_serials_at(self, incarnation):
        """Each start of a seat tells higher serials than those before."""
        self.serial = max(self.serial, incarnation * SERIALS_A_START)

    def on_evidence(self, message):
        now_us = self.node.now_us()
        for name, incarnation, what, age_us in message.get("evidence", []):
            if what == "leaving":
                self.leaving[(name, incarnation)] = now_us
            runner = self.runners.get(name)
            if runner is None or runner.incarnation != incarnation:
                continue
            if what == "leaving":
                self._mark_leaving(runner)
            elif what == "alive":
                self._on_alive(runner, now_us - age_us)
            elif what == "silent":
                self._on_silent(runner, now_us, now_us - age_us)
            else:
                self._on_unresponsive(runner, now_us - age_us)

    def document(self, held=None):
        """The whole list; for who holds a serial of this list only what changed since, or only how old it is."""
        now_us = self.node.now_us()
        age_us = now_us - self.listed_us
        if held is None or not self.changes.is_known(held, self.serial):
            listed = [runner for runner in self.runners.values() if runner.is_listed]
            records = [runner.as_record(now_us) for runner in listed]
            return {"serial": self.serial, "age_us": age_us, "runners": records}
        if self.changed <= held:
            return {"serial": held, "age_us": age_us}
        changed = self.changes.since(held, self.runners, now_us)
        return {"serial": self.serial, "age_us": age_us, "since": held, **changed}

    def tick(self, now_us):
        if not any(lease.is_held() or lease.is_holder_suspected() for lease in self.needs):
            self.since_us = None
            return
        if self.since_us is None:
            self.since_us = now_us
            self.listed_us = self.first_us = None
            self.is_settled = False
            self.runners.clear()
            self._begin_list()
            self.heard_us.clear()
            self.silent.clear()
            self.polled_us = now_us - self.node.bounds.poll_us
            self.reported_us = now_us - self.node.bounds.report_us
            self.owed_us.clear()
        if now_us - max(self.since_us, self.listed_us or 0) >= self.blind_us:
            self.on_blind()
        if now_us - self.polled_us >= self.node.bounds.poll_us:
            self._poll(now_us)
        self._check_silent(now_us)
        self._reopen_plain(now_us)
        if now_us - self.reported_us >= self.node.bounds.report_us:
            self.reported_us = self.pressed_us = now_us
            for runner in self.runners.rows():
                self._ask_report(runner, now_us)
        elif now_us - self.pressed_us >= PRESS_US:
            self._press(now_us)
        if not self.is_settled and self.is_ready():
            self.on_ready()

    def _begin_list(self):
        """A list without a former one: who held another one is told the whole."""
        self.serial += 1
        self.changed = self.serial
        self.changes.begin(self.serial)

    def _change(self, runner):
        self.serial += 1
        self.changed = self.serial
        self.changes.note_record(runner.name, self.serial)

    def _press(self, now_us):
        """Who owes an answer is asked again sooner than the others."""
        self.pressed_us = now_us
        for runner in self.runners.rows():
            if runner.is_unresponsive or runner.name in self.owed_us:
                self._ask_report(runner, now_us)

    def _poll(self, now_us):
        if self.poll is not None:
            if now_us - self.polled_us < ABANDON_US:
                return
            self.poll.abandon()
        self.polled_us = now_us

        def done(error, document, has_begun):
            self.poll = None
            if error is None and self.since_us is not None:
                self._take_list(document, now_us)

        self.poll = self.desk.list_runners(self.platform, done)

    def _take_list(self, document, sent_us):
        listed = set()
        before = {name: runner.as_record(0) for name, runner in self.runners.items()}
        for record in document.get("runners", []):
            name, incarnation = record["name"], record["incarnation"]
            listed.add(name)
            runner = self.runners.get(name)
            if runner is None or self.starts.is_new(runner, incarnation, is_reported=False):
                self._leave_address(name, record["address"], before)
                runner = self.runners[name] = Runner(
                    name, record["address"], record["zone"], incarnation
                )
                runner.phase = record.get("phase") or runner.phase
                self.node.ports.log(
                    1604, runner=name, phase=record.get("phase"), zone=record["zone"]
                )
                self._ask_report(runner, sent_us)
            if incarnation in (ANY_INCARNATION, runner.incarnation):
                runner.address = record["address"]
                runner.pool, runner.slots = record.get("pool"), record.get("slots", 0)
                if runner.reported_us is None and record.get("phase"):
                    runner.phase = record["phase"]
                if record["state"] == "leaving" or (name, runner.incarnation) in self.leaving:
                    self._mark_leaving(runner)
        for runner in self.runners.values():
            runner.is_listed = runner.name in listed
        for name in [runner.name for runner in self.runners.values() if not runner.is_listed]:
            self.runners.drop(name)
            self.node.ports.log(1605, runner=name)
        for name in [name for name in self.heard_us if name not in listed]:
            del self.heard_us[name]
            self.owed_us.pop(name, None)
            self.silent.pop(name, None)
        for key in [
            key
            for key, left_us in self.leaving.items()
            if key[0] not in listed and sent_us - left_us > LEFT_US
        ]:
            del self.leaving[key]
        self.starts.forget(listed)
        self.listed_us = sent_us
        if self.first_us is None:
            self.first_us = self.node.now_us()
        self.serial += 1
        if self.changes.note_list(before, self.runners, self.serial):
            self.changed = self.serial

    def _leave_address(self, name, address, before):
        """Who is new at an address ends whoever was listed there before: its reports would speak for the wrong one."""
        for other in self.runners.values():
            if other.address == address and other.name != name and other.name in before:
                self._mark_leaving(other)

    def _mark_leaving(self, runner):
        if not runner.is_leaving:
            self.node.ports.log(1603, runner=runner.name)
            runner.is_leaving = True
            self._change(runner)
        self.leaving[(runner.name, runner.incarnation)] = self.node.now_us()

    def _ask_report(self, runner, now_us):
        """Ask for its report, if it gives any: a runner without an engine would refuse the call."""
        if runner.is_plain():
            return
        asked = self.reports.get(runner.name)
        if asked is not None:
            if now_us - asked[0] < ABANDON_US:
                return
            asked[1].abandon()
            del self.reports[runner.name]
        self.owed_us.setdefault(runner.name, now_us)
        self._check_unresponsive(runner, now_us)

        def done(error, document, has_begun):
            self.reports.pop(runner.name, None)
            if error is not None or self.runners.get(runner.name) is not runner:
                return
            self._take_report(runner, document)

        self.reports[runner.name] = (now_us, self.desk.report(runner.address, done))

    def _take_report(self, runner, report):
        now_us = self.node.now_us()
        if runner.incarnation != report["incarnation"]:
            if runner.incarnation and not self.starts.is_new(
                runner, report["incarnation"], is_reported=True
            ):
                return
            former = runner
            runner = self.runners[runner.name] = Runner(
                runner.name, runner.address, runner.zone, report["incarnation"]
            )
            runner.pool, runner.slots = former.pool, former.slots
        before = runner.as_record(0) if runner.reported_us is not None else None
        phase_before = runner.phase
        runner.take_report(report, now_us)
        if runner.phase != phase_before:
            self.node.ports.log(1606, runner=runner.name, phase=runner.phase)
        if report["is_leaving"] or (runner.name, runner.incarnation) in self.leaving:
            self._mark_leaving(runner)
        self._on_alive(runner, now_us)
        self.serial += 1
        if self.changes.note_report(before, runner, self.serial):
            self.changed = self.serial

    def _on_alive(self, runner, seen_us):
        """By its own report, or by a router that it answers."""
        if seen_us <= self.heard_us.get(runner.name, -1):
            return
        self.heard_us[runner.name] = seen_us
        self.owed_us.pop(runner.name, None)
        self.silent.pop(runner.name, None)
        if not runner.is_unresponsive:
            return
        runner.is_unresponsive = False
        self._change(runner)
        self.node.ports.log(1602, runner=runner.name)

    def _on_unresponsive(self, runner, seen_us):
        """A router lost it after it was last heard: closed until it is heard again."""
        if runner.is_unresponsive or seen_us <= self.heard_us.get(runner.name, -1):
            return
        self.heard_us[runner.name] = seen_us
        self._mark_unresponsive(runner)

    def _on_silent(self, runner, now_us, seen_us):
        """A router waits for its bytes: it is asked at once, and is dark where it leaves that unanswered, too."""
        if (
            self.since_us is None
            or runner.is_unresponsive
            or runner.name in self.silent
            or seen_us <= self.heard_us.get(runner.name, -1)
        ):
            return
        self.silent[runner.name] = now_us
        self._ask_report(runner, now_us)

    def _check_silent(self, now_us):
        for name, told_us in list(self.silent.items()):
            runner = self.runners.get(name)
            if runner is None or runner.is_unresponsive:
                del self.silent[name]
            elif (
                now_us - told_us >= UNANSWERED_US
                and now_us - self.owed_us.get(name, now_us) >= UNANSWERED_US
            ):
                del self.silent[name]
                self._mark_unresponsive(runner)

    def _reopen_plain(self, now_us):
        """Let routers try a dark runner that gives no report again, once `dark_us` has passed.

        Nobody asks such a runner for anything but requests, so only these can find it well. Test:
        `test_a_dark_plain_runner_is_tried_again_and_closed_anew_by_evidence`.
        """
        for runner in self.runners.rows():
            if not (runner.is_plain() and runner.is_unresponsive):
                continue
            if now_us - self.heard_us.get(runner.name, 0) >= self.node.bounds.dark_us:
                self._on_alive(runner, now_us)

    def _check_unresponsive(self, runner, now_us):
        bounds = self.node.bounds
        heard_us = self.heard_us.setdefault(runner.name, now_us)
        if 2 * bounds.report_us > bounds.dark_us:
            heard_us = max(heard_us, self.owed_us.get(runner.name, now_us))
        if now_us - heard_us > bounds.dark_us and not runner.is_unresponsive:
            self._mark_unresponsive(runner)

    def _mark_unresponsive(self, runner):
        runner.is_unresponsive = True
        self._change(runner)
        self.node.ports.log(1601, runner=runner.name)
