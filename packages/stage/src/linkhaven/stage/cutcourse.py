"""A course in a simulated core: one member is cut off from the others while operators reach both
sides.

Orders and reads go to the member that is cut off, during the cut and after, and to the others,
which go on. Besides the operators' history, the course samples whether the member calls its
configuration current and which roles it holds.
"""

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
    """The state of the cut-off member at a moment."""

    __slots__ = ("at_us", "is_current", "roles", "revision")

    def __init__(self, at_us, node):
        """Read the state directly from the node, as no operator's call shows it."""
        self.at_us = at_us
        self.is_current = node.watch_server.is_current()
        self.roles = [name for name in SINGLETON_ROLES if node.leases[name].is_held()]
        self.revision = (node.replica.register_state("plan").value or {}).get("revision") or 0


class CutCourse:
    """One run, defined by the core's size, the member that is cut off, the direction and the way of
    cutting; `run` plays it."""

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
        """Start a core of `seats` members and let it settle, so that its roles are held."""
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
        """A new order, based on the newest acknowledged version unless `base` is given."""
        self.number += 1
        base = self.newest if base is None else base
        return Order(base, base + self.number, f"text {self.number}", PLAN)

    def _change(self, members):
        def on_end(call):
            if call.outcome == TAKEN:
                self.newest = max(self.newest, call.order.revision)

        self.operators.send_until_clear(self.order(), members, on_end)

    def _call_lone(self):
        if self.joined_us is not None:
            return
        self.operators.put(self.lone, self.order())
        self.operators.read(self.lone)
        self.core.world.after(CALL_EVERY_US, self._call_lone)

    def _change_others(self):
        """Change what the others hold, once the outcome of the order in flight is clear."""
        if self.joined_us is not None:
            return
        if self.in_flight is not None and not self._is_clear(self.in_flight):
            return self.core.world.after(SAMPLE_US, self._change_others)

        def on_end(call):
            self.newest = max(self.newest, call.revision or 0)
            self._change(self.others)

        self.operators.read(self.others[0], on_end)
        self.core.world.after(CHANGE_EVERY_US, self._change_others)

    def _is_clear(self, order):
        return any(
            call.order is order and call.outcome in (TAKEN, REFUSED)
            for call in self.operators.calls
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
        """Play the course to its end and return it."""
        world = self.core.world
        self._change([self.lone])
        world.run_for(SECOND)
        if who == LAST_TO_ACT:
            self.in_flight = self.order()
            self.operators.send_until_clear(self.in_flight, [self.lone, *self.others])
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
        """The given calls to the cut-off member that were sent and ended during the cut."""
        return [
            call
            for call in calls
            if call.member == self.lone
            and call.sent_us >= self.cut_us
            and call.ended_us <= self.joined_us
        ]
