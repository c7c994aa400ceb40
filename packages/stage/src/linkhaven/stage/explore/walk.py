"""Seeded random walks over whole core members: larger cores, many updates, replacements.

A walk draws its choices from a seed, alternating calm periods of whole rounds and disturbed periods
of single events. Its course replays it.
"""

import random

from . import adapter
from .cases import ADDRESSES
from .ghost import BreachError
from .run import Run

MAX_CALM_ROUNDS, MAX_DISTURBED_EVENTS = 12, 40
MAX_ORDERS = 24
SETTLE_ROUNDS = 60
TICK_US = 50_000
SPANS_US = (10_000, 50_000, 50_000, 400_000)

EVENT_WEIGHTS = {
    "deliver": 60,
    "tick": 12,
    "drop": 6,
    "copy": 4,
    "late": 5,
    "slow": 3,
    "sync": 6,
    "crash": 2,
    "put": 5,
    "read": 2,
}
FAULT_WEIGHTS = {
    "crash": 5,
    "restart": 12,
    "wipe": 3,
    "torn": 2,
    "replace": 4,
    "leave": 2,
    "freeze": 4,
    "thaw": 6,
    "cut": 4,
    "heal_links": 6,
    "put": 10,
    "read": 4,
}


LOSS_KINDS = ("crash", "wipe", "torn", "replace", "leave", "freeze", "cut")


class RegistryCase:
    """Whole core members, with spares: membership, registers, replicas, leases and
    operators' API.
    """

    prunes_stale_answers = False
    drops = ()

    __slots__ = ("name", "seats", "spares", "seed", "keys")

    def __init__(self, seats, spares, seed):
        self.name = f"core of {seats}, {spares} to spare"
        self.seats = seats
        self.spares = spares
        self.seed = seed
        self.keys = {}

    @property
    def first(self):
        """Names and addresses of the machines that run from the start: members, then spares."""
        return [(f"m{place + 1}", ADDRESSES[place]) for place in range(self.seats + self.spares)]

    def build(self):
        """The function that creates a machine's node."""
        return adapter.build_registry(self.seats, ADDRESSES[: self.seats])

    def spent_budgets(self, run):
        """Walks have no budgets."""
        return []

    def prepare(self, run):
        """Lets the core form before any fault."""
        for _ in range(SETTLE_ROUNDS):
            run.world.round()


class Operator:
    """Sends updates one after another; retries unanswered ones, and sometimes answered ones too."""

    __slots__ = ("name", "known", "current_order", "sent")

    def __init__(self, name):
        self.name = name
        self.known = 0
        self.current_order = None
        self.sent = 0

    def next_choice(self, run, rng, members):
        """An update to a member: the current one again while its outcome is unknown, else a new
        one.
        """
        if self.current_order is not None:
            code, detail = run.latest_answers.get(self.current_order[1], ("silent", None))
            is_over = code in (None, *adapter.REFUSED_CODES)
            if not is_over or rng.random() < 0.2:
                return (*self.current_order, rng.choice(members))
            self.known = (
                self.current_order[3] if code is None else detail.get("revision", self.known)
            )
        self.sent += 1
        name = f"{self.name}.{self.sent}"
        self.current_order = ("put", name, self.known, self.known + rng.randrange(1, 3), name)
        return (*self.current_order, rng.choice(members))


class Walk:
    """One walk: draws random choices and plays them."""

    __slots__ = ("run", "rng", "operators", "reads", "replaced")

    def __init__(self, case):
        self.run = Run(case)
        self.rng = random.Random(f"walk {case.name} {case.seed}")
        self.operators = [Operator(f"o{place}") for place in range(3)]
        self.reads = self.replaced = 0

    def go(self, steps):
        """Plays about `steps` choices, then heals all faults; returns the BreachError that ended
        it, or None.
        """
        try:
            while len(self.run.course) < steps:
                self._play_calm_rounds()
                self._play_disturbed_events()
            self._heal()
        except BreachError as breach:
            return breach
        return None

    def _play_calm_rounds(self):
        for _ in range(self.rng.randrange(1, MAX_CALM_ROUNDS)):
            if self.rng.random() < 0.3:
                self._draw(FAULT_WEIGHTS)
            self.run.play(("round",))

    def _play_disturbed_events(self):
        if self.rng.random() < 0.4:
            return
        for _ in range(self.rng.randrange(4, MAX_DISTURBED_EVENTS)):
            self._draw(EVENT_WEIGHTS)

    def _heal(self):
        """Ends all faults; a last read at each member shows the current configuration."""
        self.run.play(("heal",))
        for name, machine in list(self.run.world.machines.items()):
            self.run.play(("thaw", name))
            self.run.play(("sync", name))
            if machine.node is None:
                self.run.play(("restart", name))
        for _ in range(SETTLE_ROUNDS):
            self.run.play(("round",))
        for name in [name for name, machine in self.run.world.machines.items() if machine.runs]:
            self.reads += 1
            self.run.play(("read", f"r{self.reads}", name))
            self.run.play(("round",))

    def _is_at_bare_majority(self):
        """Whether one more loss would leave no majority.

        Most losses are skipped then, so that updates are also acknowledged.
        """
        return len(adapter.voting_seats(self.run.world)) <= self.run.case.seats // 2 + 1

    def _draw(self, weights):
        kind = self.rng.choices(list(weights), list(weights.values()))[0]
        if kind in LOSS_KINDS and self._is_at_bare_majority() and self.rng.random() < 0.8:
            return
        choice = getattr(self, f"_{kind}")()
        if choice is not None:
            self.run.play(choice)

    def _message(self):
        labels = list(self.run.world.in_flight)
        return self.rng.choice(labels) if labels else None

    def _machine(self, fits=lambda machine: machine.runs):
        machines = [machine for machine in self.run.world.machines.values() if fits(machine)]
        return self.rng.choice(machines) if machines else None

    def _on_message(self, verb):
        label = self._message()
        return None if label is None else (verb, label)

    def _on_machine(self, verb, fits=lambda machine: machine.runs):
        machine = self._machine(fits)
        return None if machine is None else (verb, machine.name)

    def _deliver(self):
        return self._on_message("deliver")

    def _drop(self):
        return self._on_message("drop")

    def _copy(self):
        return self._on_message("copy")

    def _late(self):
        return self._on_message("late")

    def _slow(self):
        return self._on_message("slow")

    def _sync(self):
        return self._on_machine("sync", lambda machine: machine.disk.is_held)

    def _tick(self):
        choice = self._on_machine("tick")
        return choice and (*choice, self.rng.choice(SPANS_US))

    def _crash(self):
        label = self._message()
        if label is None or self.rng.random() < 0.3:
            machine = self._machine(lambda machine: machine.node is not None)
            return machine and ("crash", machine.name, self.rng.random() < 0.5)
        target = self.run.world.machine_at(self.run.world.in_flight[label].target)
        if target is None or not target.runs:
            return None
        return ("crash", target.name, self.rng.random() < 0.5, label)

    def _restart(self):
        return self._on_machine("restart", lambda machine: machine.node is None)

    def _wipe(self):
        return self._on_machine("wipe", lambda machine: True)

    def _torn(self):
        return self._on_machine("torn", lambda machine: True)

    def _replace(self):
        """Replaces a machine by an empty one, at its address or a new one, or adds one if some are
        missing.
        """
        machine = self._machine(lambda machine: True)
        self.replaced += 1
        new_name = f"n{self.replaced}"
        address = f"10.0.1.{self.replaced}:7000"
        if machine is None or len(self.run.world.machines) < self.run.case.seats:
            return ("add", new_name, address)
        if self.rng.random() < 0.4:
            address = machine.address
        return ("replace", machine.name, new_name, address)

    def _leave(self):
        return self._on_machine("leave")

    def _freeze(self):
        return self._on_machine("freeze")

    def _thaw(self):
        return self._on_machine("thaw", lambda machine: machine.is_frozen)

    def _cut(self):
        machine, other = self._machine(), self._machine()
        if machine is None or machine is other:
            return None
        return ("cut", machine.name, other.name)

    def _heal_links(self):
        return ("heal",)

    def _members(self):
        return [machine.name for machine in self.run.world.machines.values() if machine.runs]

    def _put(self):
        members = self._members()
        if not members or sum(operator.sent for operator in self.operators) >= MAX_ORDERS:
            return None
        return self.rng.choice(self.operators).next_choice(self.run, self.rng, members)

    def _read(self):
        members = self._members()
        if not members:
            return None
        self.reads += 1
        return ("read", f"r{self.reads}", self.rng.choice(members))
