"""The list of runners at a node, corrected by what the node itself observed."""

from linkhaven.runtime import Table

PREFILL, DECODE = "prefill", "decode"
PLAIN = "plain"
"""The phase of a runner without an engine: it prefills nothing, has no role and sends no report."""

EVIDENCE_LIFETIME_US = 1_500_000
"""How long this node's own observation of a runner counts."""

ALIVE_LIFETIME_US = 500_000
"""How long a received byte outweighs other nodes' reports that a runner is unresponsive."""

MAX_FORMER_INCARNATIONS = 8
"""The number of former incarnations that are remembered per runner."""


class Runner:
    """The state of one incarnation of a runner, from its last report, the list and own evidence.

    `kv_used` and `kv_total` are tokens of KV cache, `queued` and `running` counts of requests,
    `mark` and `fence` the configuration's version and the fencing token that it last accepted.
    `num_orders` is how many role orders this incarnation has accepted, None if its reports don't
    say. `reported_us` and the other times are by this node's clock.
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "incarnation",
        "phase",
        "queued",
        "running",
        "kv_used",
        "kv_total",
        "is_leaving",
        "is_listed",
        "reported_us",
        "mark",
        "is_unresponsive",
        "is_changing",
        "fence",
        "num_orders",
        "alive_us",
        "pool",
        "slots",
        "is_switching",
        "silent_us",
        "is_reported_unresponsive",
        "serves_until_us",
    )

    def __init__(self, name, address, zone, incarnation):
        """Start as a decode runner that has not reported yet."""
        self.name = name
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.phase = DECODE
        self.queued = self.running = 0
        self.kv_used = 0
        self.kv_total = 1
        self.is_leaving = False
        self.serves_until_us = 0
        self.is_listed = True
        self.reported_us = None
        self.mark = 0
        self.fence = 0
        self.num_orders = None
        self.is_unresponsive = self.is_reported_unresponsive = False
        self.is_changing = False
        self.alive_us = None
        self.pool = None
        self.slots = 0
        self.is_switching = False
        self.silent_us = None

    def is_plain(self):
        """Whether it is a runner without an engine."""
        return self.phase == PLAIN

    def take_report(self, report, now_us):
        """Apply a runner's own report, whose `age_us` counts back from `now_us`."""
        if report["incarnation"] != self.incarnation:
            self.incarnation = report["incarnation"]
            self.is_leaving = False
        self.phase = report["phase"]
        self.queued = report["queued"]
        self.running = report["running"]
        self.kv_used = report["kv_used"]
        self.kv_total = max(1, report["kv_total"])
        self.mark = report["mark"]
        self.fence = report["fence"]
        self.num_orders = report.get("num_orders")
        self.reported_us = now_us - report["age_us"]
        self.is_switching = report.get("is_switching", False)
        self.is_leaving = self.is_leaving or report["is_leaving"]

    def as_figures(self, now_us):
        """Return the figures that change with each report, as a row of a list delta."""
        age_us = now_us - self.reported_us
        return [
            self.name,
            self.incarnation,
            self.queued,
            self.running,
            self.kv_used,
            self.kv_total,
            age_us,
        ]

    def take_figures(self, figures, now_us):
        """Apply a row of `as_figures`."""
        _, _, self.queued, self.running, self.kv_used, self.kv_total, age_us = figures
        self.reported_us = now_us - age_us

    def may_stand_in(self, now_us):
        """Whether the runner is leaving but still takes work that no other runner can take."""
        return (
            self.is_leaving
            and now_us < self.serves_until_us
            and self.is_listed
            and not (self.is_unresponsive or self.is_changing or self.is_switching)
        )

    def is_open(self):
        """Whether the runner takes new work."""
        return (
            self.is_listed
            and not self.is_leaving
            and not self.is_unresponsive
            and not self.is_changing
            and not self.is_switching
        )

    def as_record(self, now_us):
        """Return the runner as it stands in the list and in `standing`."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "incarnation": self.incarnation,
            "pool": self.pool,
            "slots": self.slots,
            "is_switching": self.is_switching,
            "phase": self.phase,
            "queued": self.queued,
            "running": self.running,
            "kv_used": self.kv_used,
            "kv_total": self.kv_total,
            "is_leaving": self.is_leaving,
            "is_listed": self.is_listed,
            "is_dark": self.is_unresponsive,
            "is_changing": self.is_changing,
            "mark": self.mark,
            "fence": self.fence,
            "age_us": now_us - self.reported_us if self.reported_us is not None else None,
        }


class IncarnationHistory:
    """Remembers the former incarnations of each runner.

    A runner's own report names its incarnation. After its clock was set back, the number is lower
    than before; a list that is behind may still name the former one.
    """

    __slots__ = ("former",)

    def __init__(self):
        """Start without former incarnations."""
        self.former = {}

    def is_new(self, runner, incarnation, is_reported):
        """Whether `incarnation` replaces the known one of a runner; records it if so.

        `is_reported`: the runner itself named it, so that a lower number counts too.
        """
        former = self.former.get(runner.name, ())
        if incarnation == runner.incarnation or incarnation in former:
            return False
        if incarnation < runner.incarnation and not is_reported:
            return False
        self.former[runner.name] = (*former, runner.incarnation)[-MAX_FORMER_INCARNATIONS:]
        return True

    def forget(self, names):
        """Drop the runners that are not among `names`."""
        for name in [name for name in self.former if name not in names]:
            del self.former[name]


class Roster:
    """A router's list of runners: published by the holder of the role `roster`, and corrected.

    The corrections are evidence: what this router itself observed of a runner, which counts for
    `EVIDENCE_LIFETIME_US`. `version` is the list's (fence, serial).
    """

    __slots__ = ("node", "runners", "version", "taken_us", "evidence", "on_new", "incarnations")

    def __init__(self, node):
        """Start empty, with a version older than any list's."""
        self.node = node
        self.runners = Table()
        self.version = (0, 0)
        self.taken_us = None
        self.evidence = {}
        self.on_new = []
        self.incarnations = IncarnationHistory()

    def is_fresh(self):
        """Whether the list is recent enough for placement."""
        stale_us = self.node.bounds.roster_stale_us
        return self.taken_us is not None and (
            stale_us is None or self.node.now_us() - self.taken_us <= stale_us
        )

    def take(self, document, sent_us):
        """Apply a whole list, a delta from the present version, or only the list's age.

        `sent_us` is when the list was requested; ages count back from then. Older versions and
        deltas from another version are ignored.
        """
        version = (document["fence"], document["serial"])
        if "runners" not in document:
            if version == self.version:
                self.taken_us = sent_us - document["age_us"]
            return
        if version <= self.version:
            return
        if "since" in document:
            if self.version == (document["fence"], document["since"]):
                self._apply_delta(document, sent_us)
            return
        now_us, before_us = self.node.now_us(), self.taken_us
        self.version = version
        self.taken_us = sent_us - document["age_us"]
        named = set()
        for record in document["runners"]:
            named.add(record["name"])
            self._apply_record(record, now_us, before_us)
        for name in [name for name in self.runners if name not in named]:
            self.runners.drop(name)
        self._notify_listeners()

    def _apply_delta(self, document, sent_us):
        now_us, before_us = self.node.now_us(), self.taken_us
        self.version = (document["fence"], document["serial"])
        self.taken_us = sent_us - document["age_us"]
        for record in document["runners"]:
            self._apply_record(record, now_us, before_us)
        for figures in document["figures"]:
            runner = self.runners.get(figures[0])
            if runner is not None and runner.incarnation == figures[1]:
                runner.take_figures(figures, now_us)
        for name in document["gone"]:
            self.runners.drop(name)
        for runner in self.runners.values():
            self._update_unresponsive(runner, now_us)
        self._notify_listeners()

    def _notify_listeners(self):
        self.incarnations.forget(self.runners)
        for listener in self.on_new:
            listener()

    def _apply_record(self, record, now_us, before_us):
        runner = self.runners.get(record["name"])
        was_known = runner is not None and not self.incarnations.is_new(
            runner, record["incarnation"], record["age_us"] is not None
        )
        if not was_known:
            runner = self.runners[record["name"]] = Runner(
                record["name"], record["address"], record["zone"], record["incarnation"]
            )
        elif record["incarnation"] != runner.incarnation:
            return
        was_serving = was_known and not runner.is_leaving
        runner.address = record["address"]
        runner.is_listed = record["is_listed"]
        runner.pool, runner.slots = record.get("pool"), record.get("slots", 0)
        if record["age_us"] is None and record.get("phase"):
            runner.phase = record["phase"]
        if record["age_us"] is not None:
            runner.take_report({**record, "is_leaving": record["is_leaving"]}, now_us)
        runner.is_leaving = runner.is_leaving or record["is_leaving"]
        if runner.is_leaving and was_serving:
            runner.serves_until_us = before_us + self.node.bounds.leaving_grace_us
        runner.is_reported_unresponsive = record["is_dark"]
        self._update_unresponsive(runner, now_us)

    def _update_unresponsive(self, runner, now_us):
        is_reported = runner.is_reported_unresponsive and not self._is_alive_first_hand(
            runner, now_us
        )
        runner.is_unresponsive = is_reported or self._is_unresponsive_first_hand(runner, now_us)

    def _is_unresponsive_first_hand(self, runner, now_us):
        seen = self.evidence.get((runner.name, runner.incarnation, "dark"))
        return seen is not None and now_us - seen <= EVIDENCE_LIFETIME_US

    def _is_alive_first_hand(self, runner, now_us):
        return runner.alive_us is not None and now_us - runner.alive_us <= ALIVE_LIFETIME_US

    def note_alive(self, runner):
        """Note that a runner sent a byte."""
        runner.alive_us = self.node.now_us()
        if runner.silent_us is not None:
            runner.silent_us = None
            self.evidence.pop((runner.name, runner.incarnation, "silent"), None)

    def note_silent(self, runner):
        """Note that a runner has pending requests of this router and sends no byte.

        Other runners are preferred until it sends one, or for `EVIDENCE_LIFETIME_US`.
        """
        runner.silent_us = self.node.now_us()
        self.evidence.setdefault((runner.name, runner.incarnation, "silent"), runner.silent_us)

    def is_silent(self, runner):
        """Whether a runner was noted as silent within `EVIDENCE_LIFETIME_US`."""
        return (
            runner.silent_us is not None
            and self.node.now_us() - runner.silent_us <= EVIDENCE_LIFETIME_US
        )

    def note_unresponsive(self, runner):
        """Note that a runner can't be reached or has been silent for too long."""
        runner.alive_us = None
        self.evidence[(runner.name, runner.incarnation, "dark")] = self.node.now_us()
        runner.is_unresponsive = True
        self.node.ports.log(1601, runner=runner.name)

    def note_leaving(self, runner):
        """Note that a runner answered that it is leaving."""
        if not runner.is_leaving:
            self.node.ports.log(1603, runner=runner.name)
        self.evidence[(runner.name, runner.incarnation, "leaving")] = self.node.now_us()
        runner.is_leaving = True
        runner.serves_until_us = 0

    def evidence_rows(self, is_keeping=True):
        """Return rows of name, incarnation, observation and its age in microseconds.

        A controller that doesn't keep the list (`is_keeping` is False) gets only those of leaving
        runners.
        """
        now_us = self.node.now_us()
        for key, seen_us in list(self.evidence.items()):
            if now_us - seen_us > EVIDENCE_LIFETIME_US:
                del self.evidence[key]
        if not is_keeping:
            return [
                [*key, now_us - seen_us]
                for key, seen_us in self.evidence.items()
                if key[2] == "leaving"
            ]
        alive = [
            [runner.name, runner.incarnation, "alive", now_us - runner.alive_us]
            for runner in self.runners.values()
            if self._is_alive_first_hand(runner, now_us)
        ]
        return [[*key, now_us - seen_us] for key, seen_us in self.evidence.items()] + alive

    def open_runners(self):
        """Return the runners that take new work.

        A silent runner is left out if another one of its pool and phase isn't silent. A leaving
        runner is included only while no other of its pool and phase is, and only for
        `leaving_grace_us` from the last list that had it as serving, so that no work reaches it
        after its notice.
        Test: `test_leaving_runners_accept_work_that_only_they_can_do_for_half_of_their_notice`.
        """
        runners = self._without_silent()
        leaving = [runner for runner in self.runners.values() if runner.serves_until_us]
        if not leaving:
            return runners
        now_us = self.node.now_us()
        covered = {(runner.pool, runner.phase) for runner in runners}
        return runners + [
            runner
            for runner in leaving
            if (runner.pool, runner.phase) not in covered and runner.may_stand_in(now_us)
        ]

    def _without_silent(self):
        runners = [runner for runner in self.runners.values() if runner.is_open()]
        silent = [
            runner for runner in runners if runner.silent_us is not None and self.is_silent(runner)
        ]
        if not silent:
            return runners
        responsive = {(runner.pool, runner.phase) for runner in runners if runner not in silent}
        return [
            runner
            for runner in runners
            if runner not in silent or (runner.pool, runner.phase) not in responsive
        ]
