"""Operators in a simulated core, as the platform's operators behave, and the history of what they
were told.

An operator sends an order to one member, listens for a second, and goes on to the next member
after silence, a failure, or an answer that says to come back; it sends the order again unchanged
until the answer is clear. Answers can be lost on their way, and a member can be killed at the
moment when it would answer.

| what came back | `outcome` | clear |
| --- | --- | --- |
| 200 | `TAKEN` | yes |
| 4xx | `REFUSED` | yes |
| 5xx | `UNCLEAR` | no: go on to another member |
| nothing within the operator's patience | `SILENT` | no |
"""

TAKEN, REFUSED, UNCLEAR, SILENT = "taken", "refused", "unclear", "silent"
PATIENCE_US = 1_000_000
PAUSE_US = 50_000
PAUSE_MOST_US = 800_000
ON_THE_WAY_US = 500
CLIENT_ERRORS = range(400, 500)


class Order:
    """A change of the whole configuration: the version it builds on, its own number, its text and
    plan."""

    __slots__ = ("base", "revision", "document", "plan")

    def __init__(self, base, revision, document, plan):
        """The text tells apart two orders under one number."""
        self.base = base
        self.revision = revision
        self.document = document
        self.plan = plan


class Told:
    """One call to one member and what its sender heard. `order` is None for a read, which has a
    `revision`."""

    __slots__ = (
        "member",
        "order",
        "sent_us",
        "ended_us",
        "outcome",
        "code",
        "revision",
        "document",
    )

    def __init__(self, member, order, sent_us):
        """Not ended yet: neither heard nor given up."""
        self.member = member
        self.order = order
        self.sent_us = sent_us
        self.ended_us = None
        self.outcome = None
        self.code = None
        self.revision = None
        self.document = None

    def __repr__(self):
        """For a failing test: who was asked what, and what came of it."""
        what = f"{self.order.base}->{self.order.revision}" if self.order else "read"
        took_us = None if self.ended_us is None else self.ended_us - self.sent_us
        return f"<{what} at {self.member}: {self.outcome} {self.code} {self.revision} {took_us}us>"


class Operators:
    """All operators of one simulated core. `calls` is the history, in the order of sending."""

    __slots__ = ("core", "dice", "calls", "lost_share", "kill_share", "restart_us")

    def __init__(self, core, dice, lost_share=0.0, kill_share=0.0, restart_us=1_000_000):
        """`lost_share` of the answers are lost; at `kill_share` of them the member is killed in
        place of answering."""
        self.core = core
        self.dice = dice
        self.calls = []
        self.lost_share = lost_share
        self.kill_share = kill_share
        self.restart_us = restart_us

    @property
    def now_us(self):
        """The time of the world, which is the operators' own."""
        return self.core.world.now_us

    def put(self, member, order, on_end=lambda told: None):
        """Send an order to one member, once."""

        def serve(node, done):
            def on_result(error, result):
                done(error, result and {"revision": result.key})

            node.configuration_store.put_document(
                order.base, order.revision, order.document, order.plan, on_result
            )

        return self._call(member, order, serve, on_end)

    def read(self, member, on_end=lambda told: None):
        """Ask one member for the newest configuration, once."""
        return self._call(
            member, None, lambda node, done: node.configuration_store.read_record(done), on_end
        )

    def pursue(self, order, members, on_end=lambda told: None, rounds=8):
        """Send an order to one member after the other, unchanged, until the answer is clear."""
        left = list(members) * rounds

        def go_on(told, pause_us):
            if told.outcome in (TAKEN, REFUSED) or not left:
                return on_end(told)
            longer_us = min(PAUSE_MOST_US, pause_us * 2)
            self.core.world.after(pause_us, lambda: send(longer_us))

        def send(pause_us):
            self.put(left.pop(0), order, lambda told: go_on(told, pause_us))

        send(PAUSE_US)

    def _call(self, member, order, serve, on_end):
        told = Told(member, order, self.now_us)
        self.calls.append(told)
        world, host = self.core.world, self.core.machines[member]
        epoch = host.epoch

        def hear(error, value):
            if told.ended_us is None:
                self._note(told, error, value)
                on_end(told)

        def answer(error, value):
            if host.epoch != epoch or self._is_killed(host):
                return
            if self.dice.random() >= self.lost_share:
                world.after(ON_THE_WAY_US, lambda: hear(error, value))

        def arrive():
            if host.node is None or host.epoch != epoch:
                return self._end(told, UNCLEAR, "unreachable", on_end)
            host.do(lambda: serve(host.node, answer))

        world.after(ON_THE_WAY_US, arrive)
        world.after(PATIENCE_US, lambda: self._end(told, SILENT, None, on_end))
        return told

    def _is_killed(self, host):
        if self.dice.random() >= self.kill_share:
            return False
        host.kill()
        self.core.world.after(self.restart_us, lambda: host.node or host.start())
        return True

    def _end(self, told, outcome, code, on_end):
        if told.ended_us is not None:
            return
        told.ended_us, told.outcome, told.code = self.now_us, outcome, code
        on_end(told)

    def _note(self, told, error, value):
        told.ended_us = self.now_us
        if error is None:
            told.outcome = TAKEN
            told.revision = (value or {}).get("revision") or 0
            told.document = (value or {}).get("document")
            return
        told.code = error.code
        told.outcome = REFUSED if error.status in CLIENT_ERRORS else UNCLEAR


class History:
    """What must hold of a history of calls, whatever happened meanwhile. Each check answers the
    calls that break it.

    Versions of one core rise, so a read is judged by its number: it may not be below what was
    acknowledged, or read, before it was sent."""

    __slots__ = ("calls",)

    def __init__(self, calls):
        """Judge these calls; those not yet ended are left out."""
        self.calls = [told for told in calls if told.ended_us is not None]

    def orders(self, outcome=None):
        """Ended orders, those with this outcome where one is named."""
        return [told for told in self.calls if told.order and outcome in (None, told.outcome)]

    def reads(self, outcome=None):
        """Ended reads, those with this outcome where one is named."""
        return [told for told in self.calls if not told.order and outcome in (None, told.outcome)]

    def old_reads(self):
        """Reads that were answered with less than was known to be in force when they were sent."""
        known = sorted(
            [(told.ended_us, told.order.revision) for told in self.orders(TAKEN)]
            + [(told.ended_us, told.revision) for told in self.reads(TAKEN)]
        )
        return [
            told
            for told in self.reads(TAKEN)
            if any(ended_us < told.sent_us and told.revision < held for ended_us, held in known)
        ]

    def taken(self):
        """Every order known to be or to have been in force: acknowledged, or read back."""
        found = {(told.order.revision, told.order.document) for told in self.orders(TAKEN)}
        return found | {(told.revision, told.document) for told in self.reads(TAKEN)}

    def double_acknowledgements(self):
        """Versions on which two different orders were both acknowledged."""
        by_base = {}
        for told in self.orders(TAKEN):
            by_base.setdefault(told.order.base, set()).add(told.order.document)
        return {base: documents for base, documents in by_base.items() if len(documents) > 1}

    def refused_though_taken(self):
        """Refusals of an order that is, or was, in force."""
        taken = self.taken()
        return [
            told
            for told in self.orders(REFUSED)
            if (told.order.revision, told.order.document) in taken
        ]

    def refused_though_right(self, newest):
        """Refusals of orders that build on the version that is newest after all."""
        return [told for told in self.orders(REFUSED) if told.order.base == newest]

    def slow_answers(self, most_us):
        """Calls that were answered, or given up, later than this."""
        return [told for told in self.calls if told.ended_us - told.sent_us > most_us]

    def breaches(self):
        """Everything that breaks a check that needs no more than the history, by the check's
        name."""
        checks = {
            "old_reads": self.old_reads(),
            "double_acknowledgements": self.double_acknowledgements(),
            "refused_though_taken": self.refused_though_taken(),
        }
        return {name: found for name, found in checks.items() if found}
