"""A course in a simulated core: one member is cut off from the others while operators reach both
sides.

Orders and reads go to the member that is cut off all the while and after, and to the others, who
go on. What is sampled beside the operators' history: whether the member calls its configuration
current, and what duties it holds."""

from linkhaven.controller import SINGLETON_ROLES

from .core import SimCore
from .orders import REFUSED, TAKEN, Operators, Order

SECOND = 1_000_000
CUT_US = 20 * SECOND
CALL_EVERY_US = 700_000
CHANGE_EVERY_US = 2_300_000
SAMPLE_US = 100_000
SETTLE_US = 5 * SECOND
AFTER_US = 4 * SECOND
PLAN = {
    "groups": {"g": {}},
    "kinds": {"k": {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}},
}
ANY, LAST_TO_ACT, HOLDER = "any", "last_to_act", "holder"
OUT, IN, BOTH = "out", "in", "both"


class Sample:
    """What the member that is cut off held at a moment."""

    __slots__ = ("at_us", "is_current", "roles", "revision")

    def __init__(self, at_us, node):
        """Read straight from the node: no call of an operator shows it."""
        self.at_us = at_us
        self.is_current = node.watch_server.is_current()
        self.roles = [name for name in SINGLETON_ROLES if node.leases[name].is_held()]
        self.revision = (node.replica.register_state("plan").value or {}).get("revision") or 0


class CutCourse:
    """One run: made with the core's size, who is cut off, in which direction and how; `run` plays
    it."""

    __slots__ = (
        "core",
        "operators",
        "lone",
        "others",
        "direction",
        "how",
        "samples",
        "cut_us",
        "joined_us",
        "newest",
        "number",
        "in_flight",
    )

    def __init__(self, seed, seats, who, direction, how):
        """Start a core of that size, with some configurations taken and its duties held."""
        self.core = SimCore(seed, seats=seats).bootstrap(3, seats - 3)
        if not self.core.wait_voting(seats):
            raise AssertionError("the core does not vote")
        self.operators = Operators(self.core, self.core.world.dice)
        self.direction = direction
        self.how = how
        self.samples = []
        self.cut_us = self.joined_us = None
        self.newest = 0
        self.number = 0
        self.in_flight = None
        self.core.world.run_for(SETTLE_US)
        self.lone = self._choose(who)
        self.others = [name for name in self.core.machines if name != self.lone]

    def _choose(self, who):
        names = list(self.core.machines)
        if who == HOLDER:
            return next(name for name in names if self._is_holder(name))
        return names[self.core.world.dice.randrange(len(names))]

    def _is_holder(self, name):
        return any(lease.is_held() for lease in self.core.machines[name].node.leases.values())

    def order(self, base=None):
        """A new order, on the newest acknowledged version unless told otherwise."""
        self.number += 1
        base = self.newest if base is None else base
        return Order(base, base + self.number, f"text {self.number}", PLAN)

    def _change(self, members):
        def heard(told):
            if told.outcome == TAKEN:
                self.newest = max(self.newest, told.order.revision)

        self.operators.pursue(self.order(), members, heard)

    def _call_lone(self):
        if self.joined_us is not None:
            return
        self.operators.put(self.lone, self.order())
        self.operators.read(self.lone)
        self.core.world.after(CALL_EVERY_US, self._call_lone)

    def _change_others(self):
        """Build on what the others hold, once the order that was in flight is clear."""
        if self.joined_us is not None:
            return
        if self.in_flight is not None and not self._is_clear(self.in_flight):
            return self.core.world.after(SAMPLE_US, self._change_others)

        def heard(told):
            self.newest = max(self.newest, told.revision or 0)
            self._change(self.others)

        self.operators.read(self.others[0], heard)
        self.core.world.after(CHANGE_EVERY_US, self._change_others)

    def _is_clear(self, order):
        return any(
            told.order is order and told.outcome in (TAKEN, REFUSED)
            for told in self.operators.calls
        )

    def _sample(self):
        node = self.core.machines[self.lone].node
        if node is not None:
            self.samples.append(Sample(self.core.world.now_us, node))
        self.core.world.after(SAMPLE_US, self._sample)

    def _cut(self):
        world, how = self.core.world, self.how
        if self.direction in (OUT, BOTH):
            world.cut([self.lone], self.others, both=False, how=how)
        if self.direction in (IN, BOTH):
            world.cut(self.others, [self.lone], both=False, how=how)
        self.cut_us = world.now_us

    def run(self, who=ANY):
        """Play the course to its end; answers itself."""
        world = self.core.world
        self._change([self.lone])
        world.run_for(SECOND)
        if who == LAST_TO_ACT:
            self.in_flight = self.order()
            self.operators.pursue(self.in_flight, [self.lone, *self.others])
            world.run_for(world.dice.randrange(2_000, 7_000))
        self._cut()
        self._sample()
        self._call_lone()
        self._change_others()
        world.run_for(CUT_US)
        world.heal()
        self.joined_us = world.now_us
        self.operators.read(self.lone)
        world.run_for(AFTER_US)
        for name in self.core.machines:
            self.operators.read(name)
        world.run_for(SECOND)
        return self

    def while_cut(self, calls):
        """Those of the calls to the member that were sent and answered while it was cut off."""
        return [
            told
            for told in calls
            if told.member == self.lone
            and told.sent_us >= self.cut_us
            and told.ended_us <= self.joined_us
        ]
