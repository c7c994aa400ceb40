"""Operators in a simulated core, as the platform's operators behave, and the history of their
calls.

An operator sends an order to one member and waits for PATIENCE_US. After silence, a failure, or an
answer that asks for a retry it goes on to the next member; it sends the order again unchanged until
the answer is clear. Answers can be lost in transit, and a member can be killed at the moment when
it would answer.

| answer | `outcome` | clear |
| --- | --- | --- |
| 200 | `TAKEN` | yes |
| 4xx | `REFUSED` | yes |
| 5xx | `UNCLEAR` | no: go on to another member |
| none within the operator's patience | `SILENT` | no |
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
        """Two orders with one number differ in their text."""
        self.base = base
        self.revision = revision
        self.document = document
        self.plan = plan


class OperatorCall:
    """One call to one member and its outcome. `order` is None for a read, whose result is in
    `revision` and `document`."""

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
        """Create a call that has neither been answered nor given up."""
        self.member = member
        self.order = order
        self.sent_us = sent_us
        self.ended_us = None
        self.outcome = None
        self.code = None
        self.revision = None
        self.document = None

    def __repr__(self):
        """Which call it was and its outcome, for failure messages."""
        what = f"{self.order.base}->{self.order.revision}" if self.order else "read"
        took_us = None if self.ended_us is None else self.ended_us - self.sent_us
        return f"<{what} at {self.member}: {self.outcome} {self.code} {self.revision} {took_us}us>"


class Operators:
    """All operators of one simulated core. `calls` is the history, in the order of sending."""

    __slots__ = ("core", "dice", "calls", "lost_share", "kill_share", "restart_us")

    def __init__(self, core, dice, lost_share=0.0, kill_share=0.0, restart_us=1_000_000):
        """`lost_share` of the answers are lost; for `kill_share` of them the member is killed
        instead of answering, and restarted after `restart_us`."""
        self.core = core
        self.dice = dice
        self.calls = []
        self.lost_share = lost_share
        self.kill_share = kill_share
        self.restart_us = restart_us

    @property
    def now_us(self):
        """The time of the world, which operators share."""
        return self.core.world.now_us

    def put(self, member, order, on_end=lambda call: None):
        """Send an order to one member, once."""

        def serve(node, done):
            def on_result(error, result):
                done(error, result and {"revision": result.key})

            node.configuration_store.put_document(
                order.base, order.revision, order.document, order.plan, on_result
            )

        return self._call(member, order, serve, on_end)

    def read(self, member, on_end=lambda call: None):
        """Ask one member for the newest configuration, once."""
        return self._call(
            member, None, lambda node, done: node.configuration_store.read_record(done), on_end
        )

    def send_until_clear(self, order, members, on_end=lambda call: None, rounds=8):
        """Send an order to one member after the other, unchanged, until the answer is clear, at
        most `rounds` times to each."""
        left = list(members) * rounds

        def send_again(call, pause_us):
            if call.outcome in (TAKEN, REFUSED) or not left:
                return on_end(call)
            longer_us = min(PAUSE_MOST_US, pause_us * 2)
            self.core.world.after(pause_us, lambda: send(longer_us))

        def send(pause_us):
            self.put(left.pop(0), order, lambda call: send_again(call, pause_us))

        send(PAUSE_US)

    def _call(self, member, order, serve, on_end):
        call = OperatorCall(member, order, self.now_us)
        self.calls.append(call)
        world, host = self.core.world, self.core.machines[member]
        epoch = host.epoch

        def on_response(error, value):
            if call.ended_us is None:
                self._note(call, error, value)
                on_end(call)

        def answer(error, value):
            if host.epoch != epoch or self._is_killed(host):
                return
            if self.dice.random() >= self.lost_share:
                world.after(ON_THE_WAY_US, lambda: on_response(error, value))

        def arrive():
            if host.node is None or host.epoch != epoch:
                return self._end(call, UNCLEAR, "unreachable", on_end)
            host.do(lambda: serve(host.node, answer))

        world.after(ON_THE_WAY_US, arrive)
        world.after(PATIENCE_US, lambda: self._end(call, SILENT, None, on_end))
        return call

    def _is_killed(self, host):
        if self.dice.random() >= self.kill_share:
            return False
        host.kill()
        self.core.world.after(self.restart_us, lambda: host.node or host.start())
        return True

    def _end(self, call, outcome, code, on_end):
        if call.ended_us is not None:
            return
        call.ended_us, call.outcome, call.code = self.now_us, outcome, code
        on_end(call)

    def _note(self, call, error, value):
        call.ended_us = self.now_us
        if error is None:
            call.outcome = TAKEN
            call.revision = (value or {}).get("revision") or 0
            call.document = (value or {}).get("document")
            return
        call.code = error.code
        call.outcome = REFUSED if error.status in CLIENT_ERRORS else UNCLEAR


class History:
    """The rules that hold for every history of calls, whatever faults there were. Each check
    returns the calls that break it.

    Versions of one core rise, so a read is judged by its number: it may not be below what was
    acknowledged, or read, before it was sent.
    """

    __slots__ = ("calls",)

    def __init__(self, calls):
        """Judge these calls, except those that haven't ended."""
        self.calls = [call for call in calls if call.ended_us is not None]

    def orders(self, outcome=None):
        """Orders that have ended, only those with `outcome` if it is given."""
        return [call for call in self.calls if call.order and outcome in (None, call.outcome)]

    def reads(self, outcome=None):
        """Reads that have ended, only those with `outcome` if it is given."""
        return [call for call in self.calls if not call.order and outcome in (None, call.outcome)]

    def old_reads(self):
        """Stale reads: answered with an older version than was known to be in force when they were
        sent."""
        known = sorted(
            [(call.ended_us, call.order.revision) for call in self.orders(TAKEN)]
            + [(call.ended_us, call.revision) for call in self.reads(TAKEN)]
        )
        return [
            call
            for call in self.reads(TAKEN)
            if any(ended_us < call.sent_us and call.revision < held for ended_us, held in known)
        ]

    def taken(self):
        """Every (revision, text) known to be or to have been in force: acknowledged, or
        read back."""
        found = {(call.order.revision, call.order.document) for call in self.orders(TAKEN)}
        return found | {(call.revision, call.document) for call in self.reads(TAKEN)}

    def double_acknowledgements(self):
        """Versions on which two different orders were both acknowledged, with the orders' texts."""
        by_base = {}
        for call in self.orders(TAKEN):
            by_base.setdefault(call.order.base, set()).add(call.order.document)
        return {base: documents for base, documents in by_base.items() if len(documents) > 1}

    def refused_though_taken(self):
        """Refusals of an order that is or was in force."""
        taken = self.taken()
        return [
            call
            for call in self.orders(REFUSED)
            if (call.order.revision, call.order.document) in taken
        ]

    def refused_though_right(self, newest):
        """Refusals of orders that build on the version that is still the newest."""
        return [call for call in self.orders(REFUSED) if call.order.base == newest]

    def slow_answers(self, most_us):
        """Calls that were answered, or given up, after more than `most_us`."""
        return [call for call in self.calls if call.ended_us - call.sent_us > most_us]

    def breaches(self):
        """Everything that breaks a check that needs only the history, by the check's name."""
        checks = {
            "old_reads": self.old_reads(),
            "double_acknowledgements": self.double_acknowledgements(),
            "refused_though_taken": self.refused_though_taken(),
        }
        return {name: found for name, found in checks.items() if found}
