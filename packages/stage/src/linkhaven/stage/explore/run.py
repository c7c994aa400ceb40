"""One run: a world, the ghosts that check it, and the choices that move it. A course is a list of choices; what
can't be done any more when a course is played again (after shrinking) is passed over."""

import hashlib

from . import adapter
from .ghost import READ, REFUSED, TAKEN, BreachError, Ghost
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
    """A hash of plain values that is the same in every process."""
    return hashlib.blake2b(repr(state).encode(), digest_size=16).digest()


class Run:
    """Plays choices on a case's world."""

    __slots__ = (
        "case",
        "world",
        "ghost",
        "course",
        "used",
        "answers",
        "ended",
        "is_checking",
        "leaving",
        "told",
    )

    def __init__(self, case):
        self.case = case
        self.ghost = Ghost(case.seats)
        self.course = []
        self.used = {}
        self.answers = {"taken": 0, "refused": 0, "not done": 0, "unclear": 0, "read": 0}
        self.ended = 0
        self.is_checking = True
        self.leaving = []
        self.told = {}
        self.world = World(case.build(), self.ghost, case.seed, case.drops)
        for name, address in case.first:
            self.world.add(name, address)
        for machine in list(self.world.machines.values()):
            self.world.start(machine)
        case.prepare(self)

    def play(self, choice):
        """Does what the choice says; answers whether it could be done. Raises the BreachError that it brings about."""
        ended = self.ended
        try:
            is_done = getattr(self, f"_{choice[0]}")(*choice[1:])
        except BreachError:
            self._note(choice)
            raise
        if not is_done:
            return False
        self._note(choice)
        self._end_those_who_left()
        if self.case.prunes:
            self._prune()
        if self.is_checking:
            self.ghost.check_state(self.world)
            if self.ended != ended:
                self.ghost.check_history()
        return True

    def _end_those_who_left(self):
        """A member that left in an orderly way is gone, and its disk with it."""
        for machine in self.leaving:
            if machine.node is not None:
                self.world.crash(machine, True)
            self.world.machines.pop(machine.name, None)
        self.leaving = []

    def _note(self, choice):
        self.course.append(choice)
        kind = FAULTS.get(choice[0])
        if kind is not None:
            self.used[kind] = self.used.get(kind, 0) + 1

    def _prune(self):
        """Answers that nobody waits for any more are as good as delivered."""
        flight = self.world.flight
        for label, message in list(flight.items()):
            if message.say not in adapter.VOTES:
                continue
            if adapter.is_dead(self.world.at(message.target), message.read()):
                del flight[label]

    def key(self):
        """A hash of the whole state: nodes, disks, messages in flight, operators, ghosts and what may still come."""
        world = self.world
        parts = [
            self._machine_key(machine)
            for machine in sorted(world.machines.values(), key=lambda m: m.name)
        ]
        flight = sorted((message.target, message.line) for message in world.flight.values())
        state = (
            parts,
            flight,
            self.ghost.facts(),
            sorted(self.used.items()),
            self.case.spent(self),
        )
        return digest(state)

    def _machine_key(self, machine):
        """Worked out once for each past of a machine: most states differ from others met in one machine only."""
        place = (machine.past, self.world.now_us)
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
        message = self.world.flight.get(label)
        if message is None or self.world.is_cut(message):
            return False
        target = self.world.at(message.target)
        if target is None or not target.runs:
            return False
        self.world.deliver(label)
        return True

    def _copy(self, label):
        if label not in self.world.flight:
            return False
        self.world.deliver(label, copies=True)
        return True

    def _drop(self, label):
        return self.world.flight.pop(label, None) is not None

    def _late(self, label):
        message = self.world.flight.get(label)
        if message is None or message.is_held:
            return False
        message.is_held = True
        return True

    def _slow(self, label):
        message = self.world.flight.get(label)
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
        """Ends a process, with what it wrote last kept or lost; with a label, right after it heard that message."""
        machine = self.world.machines.get(name)
        if machine is None or machine.node is None:
            return False
        if label is not None:
            if label not in self.world.flight or not machine.runs:
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
        """Another machine runs at its address: it was replaced."""
        return self.world.at(machine.address) is not None

    def may_lose(self, name):
        """No more is lost at a time than the core is to bear: each other seat but that many has a voter that runs and
        is cut off from nobody."""
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
        machine.note("wipe")
        return True

    def _torn(self, name):
        """The write tore the file: the start names and refuses it, and the machine begins empty."""
        return self._wipe(name)

    def _replace(self, name, new_name, address):
        """The machine is gone for good; an empty one takes its place, at its address or a new one."""
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
        machine.note("leave", self.world.now_us)
        adapter.leave(machine, lambda: self.leaving.append(machine))
        self.world.settle(machine)
        return True

    def _add(self, name, address):
        """A new empty machine."""
        if name in self.world.machines or self.world.at(address) is not None:
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
        """A tick of a member that doesn't vote yet."""
        return self._tick(name)

    def _round(self):
        self.world.round()
        return True

    def _put(self, name, base, revision, document, member):
        """An operator sends an order to a member, for the first time or again."""
        machine = self._machine(member)
        if machine is None:
            return False
        operation = self.ghost.begin(f"{name}@{member}", "put", base, revision, document)

        def done(code, detail, value):
            self.told[name] = (code, detail)
            if code is None:
                self._end(operation, TAKEN, mark=value.version)
            elif code in adapter.REFUSED_CODES:
                self._end(operation, REFUSED, detail.get("revision"))
            elif code == adapter.UNCLEAR_CODE:
                self.answers["unclear"] += 1
            else:
                self.answers["not done"] += 1
                self.ghost.remove(operation)

        machine.note("put", name, self.world.now_us)
        adapter.put(machine, base, revision, document, done)
        self.world.settle(machine)
        return True

    def _read(self, name, member):
        machine = self._machine(member)
        if machine is None:
            return False
        operation = self.ghost.begin(f"{name}@{member}", READ)

        def done(code, value):
            self.told[name] = (code, {"revision": (value or {}).get("revision") or 0})
            if code is not None:
                return self.ghost.remove(operation)
            value = value or {}
            self._end(operation, READ, (value.get("revision") or 0, value.get("document")))

        machine.note("read", name, self.world.now_us)
        adapter.read(machine, done)
        self.world.settle(machine)
        return True

    def _end(self, operation, answer, held=None, mark=0):
        self.ended += 1
        self.answers[answer] += 1
        self.ghost.end(operation, answer, held, mark)


def play_course(case, course):
    """Plays a course from the start; answers the run and the BreachError that ended it, or None."""
    run = Run(case)
    try:
        for choice in course:
            run.play(choice)
    except BreachError as breach:
        return run, breach
    return run, None
