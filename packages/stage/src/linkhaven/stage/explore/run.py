"""One run: a simulated world, the checker of its invariants, and the choices that advance it.

A course is a list of choices. When a course is replayed after shrinking, choices that are no longer
possible are skipped.
"""

import hashlib

from . import adapter
from .ghost import READ, REFUSED, TAKEN, BreachError, RunChecker
from .world import World

REST_US = 500_000
FAULTS = {
    "crash": "crash",
    "wipe": "wipe",
    "torn": "torn",
    "replace": "replace",
    "copy": "duplicate",
    "drop": "drop",
    "late": "late",
    "slow": "slow disk",
    "cut": "cut",
    "freeze": "freeze",
    "leave": "leave",
}


def digest(state):
    """A hash of plain values that is the same in every process, unlike `hash`."""
    return hashlib.blake2b(repr(state).encode(), digest_size=16).digest()


class Run:
    """Plays choices on the world of a case and checks the invariants after each."""

    __slots__ = (
        "case",
        "world",
        "checker",
        "course",
        "used",
        "answers",
        "num_answered",
        "is_checking",
        "departed",
        "latest_answers",
    )

    def __init__(self, case):
        self.case = case
        self.checker = RunChecker(case.seats)
        self.course = []
        self.used = {}
        self.answers = {"taken": 0, "refused": 0, "not done": 0, "unclear": 0, "read": 0}
        self.num_answered = 0
        self.is_checking = True
        self.departed = []
        self.latest_answers = {}
        self.world = World(case.build(), self.checker, case.seed, case.drops)
        for name, address in case.first:
            self.world.add(name, address)
        for machine in list(self.world.machines.values()):
            self.world.start(machine)
        case.prepare(self)

    def play(self, choice):
        """Plays a choice; returns whether it was possible. Raises BreachError if it violates an
        invariant.
        """
        ended = self.num_answered
        try:
            is_done = getattr(self, f"_{choice[0]}")(*choice[1:])
        except BreachError:
            self._note(choice)
            raise
        if not is_done:
            return False
        self._note(choice)
        self._remove_departed()
        if self.case.prunes_stale_answers:
            self._prune()
        if self.is_checking:
            self.checker.check_state(self.world)
            if self.num_answered != ended:
                self.checker.check_history()
        return True

    def _remove_departed(self):
        """Removes the members that have completed a planned departure, with their disks."""
        for machine in self.departed:
            if machine.node is not None:
                self.world.crash(machine, True)
            self.world.machines.pop(machine.name, None)
        self.departed = []

    def _note(self, choice):
        self.course.append(choice)
        kind = FAULTS.get(choice[0])
        if kind is not None:
            self.used[kind] = self.used.get(kind, 0) + 1

    def _prune(self):
        """Removes responses in flight that nothing waits for any more: delivering them changes
        nothing.
        """
        flight = self.world.in_flight
        for label, message in list(flight.items()):
            if message.say not in adapter.VOTES:
                continue
            if adapter.is_stale_answer(self.world.machine_at(message.target), message.read()):
                del flight[label]

    def key(self):
        """A hash of the whole state: machines, messages in flight, checker, faults and budgets
        used.
        """
        world = self.world
        parts = [
            self._machine_key(machine)
            for machine in sorted(world.machines.values(), key=lambda m: m.name)
        ]
        flight = sorted((message.target, message.line) for message in world.in_flight.values())
        state = (
            parts,
            flight,
            self.checker.state_facts(),
            sorted(self.used.items()),
            self.case.spent_budgets(self),
        )
        return digest(state)

    def _machine_key(self, machine):
        """Digest of a machine's state, cached by its history: most states differ in one machine
        only.
        """
        place = (machine.history_hash, self.world.now_us)
        known = self.case.keys.get(place)
        if known is not None:
            return known
        disk = machine.disk
        state = (
            machine.name,
            machine.address,
            machine.is_frozen,
            disk.is_held,
            sorted(disk.synced.items()),
            [repr(items) for items, _ in disk.unsynced],
            machine.node and adapter.canonical(machine.node, self.world.now_us),
        )
        known = self.case.keys[place] = digest(state)
        return known

    def _machine(self, name):
        machine = self.world.machines.get(name)
        return machine if machine is not None and machine.runs else None

    def _deliver(self, label):
        message = self.world.in_flight.get(label)
        if message is None or self.world.is_cut(message):
            return False
        target = self.world.machine_at(message.target)
        if target is None or not target.runs:
            return False
        self.world.deliver(label)
        return True

    def _copy(self, label):
        if label not in self.world.in_flight:
            return False
        self.world.deliver(label, copies=True)
        return True

    def _drop(self, label):
        return self.world.in_flight.pop(label, None) is not None

    def _late(self, label):
        message = self.world.in_flight.get(label)
        if message is None or message.is_held:
            return False
        message.is_held = True
        return True

    def _slow(self, label):
        message = self.world.in_flight.get(label)
        if message is None:
            return False
        self.world.deliver(label, holds_sync=True)
        return True

    def _sync(self, name):
        machine = self._machine(name)
        if machine is None or not machine.disk.is_held:
            return False
        self.world.sync(machine)
        return True

    def _crash(self, name, keeps, label=None):
        """Ends a process, with its unsynced writes kept or lost; with a label, right after that
        message.
        """
        machine = self.world.machines.get(name)
        if machine is None or machine.node is None:
            return False
        if label is not None:
            if label not in self.world.in_flight or not machine.runs:
                return False
            self.world.deliver(label, holds_sync=True)
        self.world.crash(machine, keeps)
        return True

    def _restart(self, name):
        machine = self.world.machines.get(name)
        if machine is None or machine.node is not None or self._is_superseded(machine):
            return False
        self.world.start(machine)
        self.world.tick(machine)
        return True

    def _is_superseded(self, machine):
        """Whether another machine runs at its address, as after a replacement."""
        return self.world.machine_at(machine.address) is not None

    def may_lose(self, name):
        """Whether the core tolerates the loss of this machine now.

        With its seat lost, no more than a minority of the seats may lack a voter that runs and
        isn't cut off.
        """
        seat = adapter.seat_of(self.world.machines[name])
        if not seat:
            return True
        voting = adapter.voting_seats(self.world)
        lacking = [other for other in adapter.SEATS[: self.case.seats] if other not in voting]
        return len({*lacking, seat}) <= (self.case.seats - 1) // 2

    def _wipe(self, name):
        machine = self.world.machines.get(name)
        if machine is None or not self.may_lose(name):
            return False
        if machine.node is not None:
            self.world.crash(machine, False)
        machine.disk.wipe()
        machine.record_event("wipe")
        return True

    def _torn(self, name):
        """A torn write: the start reports and rejects the file, and the machine begins empty."""
        return self._wipe(name)

    def _replace(self, name, new_name, address):
        """Removes a machine for good; an empty one takes its place, at its address or a new one."""
        machine = self.world.machines.get(name)
        if machine is None or new_name in self.world.machines or not self.may_lose(name):
            return False
        if machine.node is not None:
            self.world.crash(machine, False)
        del self.world.machines[name]
        self.world.add(new_name, address)
        return True

    def _leave(self, name):
        machine = self._machine(name)
        if machine is None or not self.may_lose(name):
            return False
        machine.record_event("leave", self.world.now_us)
        adapter.leave(machine, lambda: self.departed.append(machine))
        self.world.settle(machine)
        return True

    def _add(self, name, address):
        """Adds a new empty machine."""
        if name in self.world.machines or self.world.machine_at(address) is not None:
            return False
        self.world.add(name, address)
        return True

    def _freeze(self, name):
        machine = self._machine(name)
        if machine is None:
            return False
        machine.is_frozen = True
        return True

    def _thaw(self, name):
        machine = self.world.machines.get(name)
        if machine is None or not machine.is_frozen:
            return False
        machine.is_frozen = False
        return True

    def _cut(self, source, target):
        self.world.cuts.add((source, target))
        return True

    def _heal(self):
        self.world.cuts.clear()
        return True

    def _tick(self, name, span_us=REST_US):
        machine = self._machine(name)
        if machine is None:
            return False
        self.world.pass_time(span_us)
        self.world.tick(machine)
        return True

    def _turn(self, name):
        """A tick of a member that doesn't vote yet; it has its own budget."""
        return self._tick(name)

    def _round(self):
        self.world.round()
        return True

    def _put(self, name, base, revision, document, member):
        """Sends an operator's update to a member, for the first time or as a retry."""
        machine = self._machine(member)
        if machine is None:
            return False
        operation = self.checker.begin(f"{name}@{member}", "put", base, revision, document)

        def done(code, detail, value):
            self.latest_answers[name] = (code, detail)
            if code is None:
                self._end(operation, TAKEN, mark=value.version)
            elif code in adapter.REFUSED_CODES:
                self._end(operation, REFUSED, detail.get("revision"))
            elif code == adapter.UNCLEAR_CODE:
                self.answers["unclear"] += 1
            else:
                self.answers["not done"] += 1
                self.checker.remove(operation)

        machine.record_event("put", name, self.world.now_us)
        adapter.put(machine, base, revision, document, done)
        self.world.settle(machine)
        return True

    def _read(self, name, member):
        machine = self._machine(member)
        if machine is None:
            return False
        operation = self.checker.begin(f"{name}@{member}", READ)

        def done(code, value):
            self.latest_answers[name] = (code, {"revision": (value or {}).get("revision") or 0})
            if code is not None:
                return self.checker.remove(operation)
            value = value or {}
            self._end(operation, READ, (value.get("revision") or 0, value.get("document")))

        machine.record_event("read", name, self.world.now_us)
        adapter.read(machine, done)
        self.world.settle(machine)
        return True

    def _end(self, operation, answer, held=None, mark=0):
        self.num_answered += 1
        self.answers[answer] += 1
        self.checker.end(operation, answer, held, mark)


def play_course(case, course):
    """Plays a course from the start; returns the run and the BreachError that ended it, or None."""
    run = Run(case)
    try:
        for choice in course:
            run.play(choice)
    except BreachError as breach:
        return run, breach
    return run, None
