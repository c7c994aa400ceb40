"""Courses in a simulated core: a member is replaced, and something else fails during the repair.

First the repair is played without a further failure, to learn how long it takes from the moment
when the old member leaves until the new one votes. Then it is played again with one more failure at
a share of that time, so that every step of the repair is covered without naming the steps.

| replaced | how the old member leaves |
| --- | --- |
| `PLANNED` | it is told to stop, and its process ends when it has left |
| `KILLED` | its process is killed |
| `HELD_NEWEST` | planned, right after an acknowledgement that it and one other member gave, the rest cut off |

| trouble | what happens during the repair |
| --- | --- |
| `KILL_NEW`, `WIPE_NEW`, `FREEZE_NEW` | to the machine that takes the seat; the process restarts, or wakes |
| `KILL_OTHER`, `FREEZE_OTHER` | to a member that stays; it returns |
| `LOSE_OTHER` | a member that stays is lost for good with its disk; another machine starts |
| `SECOND_NEW` | another new machine starts as well |
| `SECOND_PLANNED` | a member that stays is told to stop, too, and another machine starts |
"""

from .core import SimCore
from .cutcourse import PLAN
from .orders import TAKEN, History, Operators, Order

SECOND = 1_000_000
SETTLE_US = 4 * SECOND
STEP_US = 10_000
REPAIR_MOST_US = 12 * SECOND
AWAY_US = 1_500_000
AFTER_US = 9 * SECOND
CALL_EVERY_US = 400_000
PLANNED, KILLED, HELD_NEWEST = "planned", "killed", "held_newest"
NONE = "none"
KILL_NEW, WIPE_NEW, FREEZE_NEW = "kill_new", "wipe_new", "freeze_new"
KILL_OTHER, FREEZE_OTHER, LOSE_OTHER = "kill_other", "freeze_other", "lose_other"
SECOND_NEW, SECOND_PLANNED = "second_new", "second_planned"


class ReplaceCourse:
    """One replacement; `double_votes` holds moments at which two members voted for one seat."""

    __slots__ = (
        "core",
        "operators",
        "old",
        "new",
        "newest",
        "gone_us",
        "double_votes",
        "is_over",
        "pending",
    )

    def __init__(self, seed, seats):
        """Start a core with some versions chosen, and a spare machine that runs."""
        self.core = SimCore(seed, seats=seats).bootstrap(3, seats - 3)
        if not self.core.wait_voting(seats):
            raise AssertionError("the core does not vote")
        self.operators = Operators(self.core, self.core.world.dice)
        self.newest = 0
        self.double_votes = []
        self.is_over = False
        self.pending = 0
        names = list(self.core.machines)
        self.old = self.core.machines[names[self.core.world.dice.randrange(seats)]]
        self.change(names)
        self.new = self.add_machine()
        self.core.world.run_for(SETTLE_US)
        self.gone_us = None

    def add_machine(self):
        """Start another machine with an empty disk."""
        place = len(self.core.world.hosts) + 1
        host = self.core.add(f"core-{place}", f"10.0.0.{place}:7000")
        host.start()
        return host

    def change(self, members):
        """Make one change that must be acknowledged, trying these members in turn."""
        ended = []
        self.operators.send_until_clear(self._order(), members, ended.append)
        self.core.world.wait_for(lambda: ended, 10 * SECOND, STEP_US)
        if not ended or ended[0].outcome != TAKEN:
            raise AssertionError(f"no acknowledgement: {ended}")
        self.newest = ended[0].order.revision

    def _order(self):
        return Order(self.newest, self.newest + 1, f"text {self.newest + 1}", PLAN)

    def _members(self):
        return [name for name, host in self.core.machines.items() if host.node]

    def _stayers(self):
        return [
            host
            for host in self.core.machines.values()
            if host.node and host not in (self.old, self.new) and host.node.replica.replica_id
        ]

    def go(self, how):
        """Have the old member leave."""
        world = self.core.world
        if how == HELD_NEWEST:
            self._acknowledge_at_a_bare_majority()
        self.gone_us = world.now_us
        if how == KILLED:
            return self.old.kill()
        self.old.node.drain(lambda: world.after(STEP_US, self.old.kill))

    def _acknowledge_at_a_bare_majority(self):
        """Make a change that only the old member and as many others as a majority needs hold."""
        world, stayers = self.core.world, self._stayers()
        kept = len(self.old.node.replica.replica_ids) // 2
        left_out = [host.name for host in stayers[kept:]]
        world.cut(left_out, [name for name in self.core.machines if name not in left_out])
        self.change([self.old.name])
        world.heal()

    def wait_repaired(self):
        """Wait until the new machine votes; return how long that took in us, or None if it never
        did."""
        world = self.core.world
        if not world.wait_for(self._is_repaired, REPAIR_MOST_US, STEP_US):
            return None
        return world.now_us - self.gone_us

    def _is_repaired(self):
        self._check_votes()
        return self.new.node is not None and self.new.node.replica.is_voting

    def _check_votes(self):
        voters = [
            (host.node.replica.replica_id, host.name)
            for host in self.core.machines.values()
            if host.node and not host.is_frozen and host.node.replica.is_voting
        ]
        seats = [seat for seat, _ in voters]
        if len(seats) != len(set(seats)):
            self.double_votes.append((self.core.world.now_us, voters))

    def error(self, what):
        """Cause one more failure now."""
        world = self.core.world
        if what == SECOND_NEW:
            return self.add_machine()
        if what in (SECOND_PLANNED, LOSE_OTHER):
            self.add_machine()
            other = self._stayers()[0]
            if what == LOSE_OTHER:
                other.kill()
                return other.disk.wipe()
            return other.node.drain(lambda: world.after(STEP_US, other.kill))
        host = self.new if what in (KILL_NEW, WIPE_NEW, FREEZE_NEW) else self._stayers()[0]
        if what in (FREEZE_NEW, FREEZE_OTHER):
            host.freeze()
            return world.after(AWAY_US, host.wake)
        host.kill()
        if what == WIPE_NEW:
            host.disk.wipe()
        world.after(AWAY_US, lambda: host.node or host.start())

    def keep_calling(self):
        """Read and change the newest version at intervals, as long as the course lasts."""
        if self.is_over:
            return
        members = self._members()
        first = self.core.world.dice.randrange(len(members))
        members = members[first:] + members[:first]
        self.operators.read(members[0])
        if not self.pending:
            self.pending += 1
            self.operators.send_until_clear(self._order(), members, self._on_change_ended, rounds=1)
        self.core.world.after(CALL_EVERY_US, self.keep_calling)

    def _on_change_ended(self, call):
        self.pending -= 1
        if call.outcome == TAKEN:
            self.newest = max(self.newest, call.order.revision)

    def run(self, how, what, share, repair_us):
        """Replace the old member, with one more failure at `share` of `repair_us`, while calls go
        on."""
        self.go(how)
        self.keep_calling()
        self._watch(int(share * repair_us))
        if what != NONE:
            self.error(what)
        self._watch(AFTER_US)
        self.is_over = True
        self._watch(4 * SECOND)
        return self

    def _watch(self, span_us):
        end_us = self.core.world.now_us + span_us
        while self.core.world.now_us < end_us:
            self.core.world.run_for(min(STEP_US, end_us - self.core.world.now_us))
            self._check_votes()

    def last_reads(self):
        """Reads of every member that runs, at the end."""
        calls = [self.operators.read(name) for name in self._members()]
        self.core.world.run_for(SECOND)
        return calls

    def longest_without_answer_us(self, since_us, until_us):
        """The longest time in which no change was acknowledged and no read was answered."""
        ended = [
            call.ended_us
            for call in History(self.operators.calls).calls
            if call.outcome == TAKEN and since_us <= call.ended_us <= until_us
        ]
        moments = [since_us, *sorted(ended), until_us]
        return max(later - sooner for sooner, later in zip(moments, moments[1:], strict=False))


def measure_repair(seed, seats, how):
    """How long the repair takes without a further failure, in us; None if it doesn't end."""
    course = ReplaceCourse(seed, seats)
    course.go(how)
    return course.wait_repaired()
