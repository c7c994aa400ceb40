"""The explored cases: number of members, updates and reads, kinds and number of faults."""

from collections import Counter

from . import adapter

REJOIN_TURNS = 2
DEPARTURE = "departure"
"""Value of `Order.after` for an update that is sent only after a member was told to leave."""

SPENDING = ("tick", "turn", "put", "read", "leave")
ADDRESSES = [f"10.0.0.{place + 1}:7000" for place in range(9)]


class Order:
    """An operator's update: its revision, the revision that it expects, and the member it is sent
    to first.
    """

    __slots__ = ("name", "base", "revision", "member", "after")

    def __init__(self, name, base, revision, member, after=None):
        self.name = name
        self.base = base
        self.revision = revision
        self.member = member
        self.after = after

    def choice(self, member=None):
        """The choice that sends it to its first member, or to `member`."""
        return ("put", self.name, self.base, self.revision, self.name, member or self.member)


class CoreCase:
    """A small case of the register alone, for the exhaustive search.

    Cuts, freezes, loss and delay need no choices of their own: any message may stay undelivered for
    the whole course, and any member may get no turn.
    """

    prunes_stale_answers = True
    drops = ("chosen",)
    seed = 0

    __slots__ = (
        "name",
        "seats",
        "orders",
        "reads",
        "resends",
        "kinds",
        "faults",
        "ticks",
        "has_duty",
        "slow",
        "spares",
        "departs",
        "turns",
        "keys",
    )

    def __init__(
        self,
        name,
        orders=(),
        reads=(),
        resends=(),
        kinds=(),
        faults=0,
        ticks=0,
        has_duty=False,
        seats=3,
        slow=(),
        spares=0,
        departs=(),
        turns=REJOIN_TURNS,
    ):
        """`departs`: members that may be told to leave; `turns`: total ticks of members that don't
        vote.
        """
        self.name = name
        self.seats = seats
        self.orders = orders
        self.reads = reads
        self.resends = resends
        self.kinds = kinds
        self.faults = faults
        self.ticks = ticks
        self.has_duty = has_duty
        self.slow = slow
        self.spares = spares
        self.departs = departs
        self.turns = turns
        self.keys = {}

    @property
    def first(self):
        """Names and addresses of the machines that run from the start: members, then spares."""
        return [(f"m{place + 1}", ADDRESSES[place]) for place in range(self.seats + self.spares)]

    def build(self):
        """The function that creates a machine's node."""
        return adapter.build_core(self.seats, self.has_duty, ADDRESSES[: self.seats])

    def prepare(self, run):
        """Delivers the messages of the initial start and sets up slow disks."""
        while run.world.in_flight:
            run.world.deliver(next(iter(run.world.in_flight)))
        for name in self.slow:
            run.world.machines[name].disk.is_held = True
        if self.departs:
            # The hand-over itself announces role changes from here on; no vote depends on member
            # lists.
            run.world.drops = (*self.drops, "members")

    def spent_budgets(self, run):
        """The choices that used up budgets, which the state itself doesn't show."""
        return [choice for choice in run.course if choice[0] in SPENDING]

    def choices(self, run):
        """All choices that are possible next."""
        return [
            *self._messages(run),
            *self._operators(run),
            *self._machines(run),
            *self._faults(run),
        ]

    def _deliverable(self, run):
        for label, message in run.world.in_flight.items():
            target = run.world.machine_at(message.target)
            if target is not None and target.runs:
                yield label, target

    def _messages(self, run):
        for label, _ in self._deliverable(run):
            yield ("deliver", label)

    def _operators(self, run):
        """Updates and reads not yet sent, and permitted retries, to running members."""
        for choice in self._orders_and_reads(run):
            member = run.world.machines.get(choice[-1])
            if member is not None and member.runs:
                yield choice

    def _orders_and_reads(self, run):
        begun = {choice[1] for choice in run.course if choice[0] in ("put", "read")}
        sent = [choice for choice in run.course if choice[0] == "put"]
        for order in self.orders:
            if order.name not in begun and self._is_due(run, order):
                yield order.choice()
        for order in self.orders:
            again = [order.choice(member) for name, member in self.resends if name == order.name]
            if order.name in begun:
                yield from (choice for choice in again if choice not in sent)
        for name, member in self.reads:
            if name not in begun:
                yield ("read", name, member)

    def _is_due(self, run, order):
        if order.after == DEPARTURE:
            return any(choice[0] == "leave" for choice in run.course)
        return order.after is None or self._is_taken(run, order.after)

    def _is_taken(self, run, name):
        return any(
            operation.document == name and operation.answer == "taken"
            for operation in run.checker.operations
        )

    def _machines(self, run):
        spent = Counter(choice[0] for choice in run.course)
        begun = {choice[1] for choice in run.course if choice[0] == "leave"}
        for machine in run.world.machines.values():
            if machine.node is None:
                yield ("restart", machine.name)
            elif not adapter.is_voting(machine):
                if spent["turn"] < self.turns and adapter.seat_of(machine):
                    yield ("turn", machine.name)
            elif spent["tick"] < self.ticks:
                yield ("tick", machine.name)
            if machine.name in self.departs and machine.name not in begun:
                yield from self._departure(run, machine)
            if machine.node is not None and machine.disk.is_held:
                yield ("sync", machine.name)

    def _departure(self, run, machine):
        if machine.runs and run.may_lose(machine.name):
            yield ("leave", machine.name)

    def _faults(self, run):
        if sum(run.used.values()) >= self.faults:
            return
        for kind in self.kinds:
            yield from getattr(self, f"_{kind}")(run)

    def _crash(self, run):
        for machine in run.world.machines.values():
            if machine.node is not None:
                yield ("crash", machine.name, False)
                if machine.disk.unsynced:
                    yield ("crash", machine.name, True)
        for label, target in self._deliverable(run):
            for keeps in (False, True):
                yield ("crash", target.name, keeps, label)

    def _crash_departing(self, run):
        """A crash of a member that may be told to leave, also right after it received a message."""
        for choice in self._crash(run):
            if choice[1] in self.departs:
                yield choice

    def _copy(self, run):
        for label, _ in self._deliverable(run):
            yield ("copy", label)

    def _slow(self, run):
        for label, target in self._deliverable(run):
            if not target.disk.is_held:
                yield ("slow", label)

    def _wipe(self, run):
        for machine in run.world.machines.values():
            if run.may_lose(machine.name):
                yield ("wipe", machine.name)

    def _replace(self, run):
        for machine in run.world.machines.values():
            if run.may_lose(machine.name):
                yield ("replace", machine.name, f"{machine.name}'", machine.address)


RACE = (Order("x", 0, 3, "m1"), Order("y", 0, 5, "m2"))
ROW = (Order("x", 0, 3, "m1"), Order("y", 3, 5, "m2", after="x"))
SAME_NUMBER = (Order("x", 0, 3, "m1"), Order("y", 0, 3, "m2"))


BESIDE_DEPARTURE = (
    Order("x", 0, 3, "m1", after=DEPARTURE),
    Order("y", 0, 5, "m3", after=DEPARTURE),
)


def handover_cases():
    """Cases of a planned hand-over to a spare: alone, with concurrent updates, and with one fault.

    The fault may come at any step. Both the departing replica and its successor may crash and
    restart; a replica that restarts after the seal asks its successor.
    """
    departs = {"spares": 1, "departs": ("m2",), "turns": 3}
    cases = [
        CoreCase("hand-over", **departs),
        CoreCase("hand-over, order", RACE[:1], **departs),
        CoreCase("hand-over, race", BESIDE_DEPARTURE, ticks=2, **departs),
        CoreCase("hand-over, read", RACE[:1], reads=(("r", "m3"),), **departs),
    ]
    for kind in ("crash", "crash_departing", "copy", "slow", "wipe"):
        cases.append(CoreCase(f"hand-over, {kind}", kinds=(kind,), faults=1, ticks=1, **departs))
        cases.append(
            CoreCase(
                f"hand-over, race, {kind}", BESIDE_DEPARTURE, kinds=(kind,), faults=1, **departs
            )
        )
    return cases


def core_cases():
    """The small cases by name, for the search and the dives."""
    cases = [
        CoreCase("one order", RACE[:1]),
        CoreCase("one order, read", RACE[:1], reads=(("r", "m3"),)),
        CoreCase("race", RACE, ticks=1),
        CoreCase("race of one number", SAME_NUMBER, ticks=1),
        CoreCase("race and read", RACE, reads=(("r", "m3"),)),
        CoreCase("race, sent again", RACE, resends=(("x", "m3"),)),
        CoreCase("row, sent again", ROW, resends=(("x", "m3"),)),
        CoreCase("order and read", RACE[:1], reads=(("r", "m3"), ("s", "m2")), ticks=1),
        CoreCase("two duties", ticks=3, has_duty=True),
    ]
    for kind in ("crash", "copy", "slow", "wipe", "replace"):
        cases.append(
            CoreCase(f"order, {kind}", RACE[:1], (("r", "m2"),), (), (kind,), faults=1, ticks=1)
        )
        cases.append(CoreCase(f"race, {kind}", RACE, (), (), (kind,), faults=1, ticks=1))
        cases.append(CoreCase(f"race, {kind} twice", RACE, (), (), (kind,), faults=2, ticks=1))
    cases += [
        CoreCase("order, slow disks", RACE[:1], kinds=("crash",), faults=2, slow=("m1", "m2")),
        CoreCase("order alone, wipe", RACE[:1], kinds=("wipe",), faults=1),
        *handover_cases(),
    ]
    return {case.name: case for case in cases}
