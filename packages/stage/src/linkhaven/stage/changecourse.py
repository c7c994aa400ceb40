"""A course in a simulated core: many changes, and members that were away during them return.

In each leg a member, or the whole core, goes away, changes go on as long as there is a majority,
and what was away returns. Measured are the time until it votes and its configuration is current,
the bytes that it was sent for that, and the bytes on its disk. None of them may grow with the
number of changes.

| leg | away | comes back as |
| --- | --- | --- |
| `RESTARTED` | its process | a process with its disk |
| `WIPED` | its process | a process with an empty disk |
| `NEW` | the machine | another machine, which takes its seat |
| `WOKEN` | frozen, its connections reset | the same process with its state from before |
| `ALL_KILLED` | every process, at once, with an order under way | processes with their disks, one after the other |
| `ALL_POWERLESS` | the same, and what wasn't synced | all at once |
"""

from linkhaven.controller import SINGLETON_ROLES
from linkhaven.runtime import write_json, write_line

from .core import SimCore
from .cutcourse import PLAN
from .orders import TAKEN, Operators, Order
from .world import RESET

SECOND = 1_000_000
SETTLE_US = 3 * SECOND
FROZEN_US = 4 * SECOND
STEP_US = 10_000
PAUSE_US = 1_000
CATCH_UP_MOST_US = 20 * SECOND
STAGGER_US = 200_000
RESTARTED, WIPED, NEW, WOKEN = "restarted", "wiped", "new", "woken"
ALL_KILLED, ALL_POWERLESS = "all_killed", "all_powerless"
CONSENSUS = "linkhaven.consensus"
RING_LINES = ("hello", "members", "beat", "verdict", "bye", "ask", "news")


class Return:
    """What was measured of one return: its duration (us), bytes sent and on disk, and breaches."""

    __slots__ = (
        "leg",
        "newest",
        "took_us",
        "sent_bytes",
        "disk_bytes",
        "early",
        "old_news",
        "holders",
    )

    def __init__(self, leg, newest):
        """`newest` is the newest version acknowledged before the return."""
        self.leg = leg
        self.newest = newest
        self.took_us = None
        self.sent_bytes = 0
        self.disk_bytes = 0
        self.early = []
        self.old_news = []
        self.holders = []

    def __repr__(self):
        """For failure messages."""
        return (
            f"<{self.leg} at {self.newest}: {self.took_us} us, {self.sent_bytes} B sent,"
            f" {self.disk_bytes} B on disk>"
        )


class ChangeCourse:
    """A core that takes change after change; `returns` holds the measurements, leg by leg."""

    __slots__ = ("core", "operators", "newest", "returns", "changes")

    def __init__(self, seed, seats, changes):
        """Start a core of `seats` members; `changes` is the number of changes in each leg."""
        self.core = SimCore(seed, seats=seats).bootstrap(3, seats - 3)
        if not self.core.wait_voting(seats):
            raise AssertionError("the core does not vote")
        self.core.world.run_for(SETTLE_US)
        self.operators = Operators(self.core, self.core.world.dice)
        self.newest = 0
        self.returns = []
        self.changes = changes

    def order(self):
        """The next change, based on the newest version."""
        return Order(self.newest, self.newest + 1, f"text {self.newest + 1:06d}", PLAN)

    def change(self, count, members):
        """Make `count` changes, each acknowledged before the next, at the members in rotation."""
        for place in range(count):
            ended = []
            first = place % len(members)
            order = self.order()
            self.operators.send_until_clear(order, members[first:] + members[:first], ended.append)
            self.core.world.wait_for(lambda ended=ended: ended, 10 * SECOND, PAUSE_US)
            if not ended or ended[0].outcome != TAKEN:
                raise AssertionError(f"change {order.revision} isn't acknowledged: {ended}")
            self.newest = order.revision

    def run(self, legs):
        """Play the legs one after the other."""
        for leg in legs:
            if leg in (ALL_KILLED, ALL_POWERLESS):
                self._lose_all(leg)
            else:
                self._lose_one(leg)
        return self

    def _lose_one(self, leg):
        world, names = self.core.world, list(self.core.machines)
        lost = self.core.machines[names[world.dice.randrange(len(names))]]
        self._take_away(lost, leg)
        self.change(self.changes, [name for name in names if name != lost.name])
        if leg == WOKEN:
            world.run_for(FROZEN_US)
        found = Return(leg, self.newest)
        back = self._bring_back(lost, leg)
        self._measure(found, [back])

    def _take_away(self, host, leg):
        if leg == WOKEN:
            self.core.world.cut([host.name], list(self.core.machines), how=RESET)
            return host.freeze()
        host.kill()
        if leg in (WIPED, NEW):
            host.disk.wipe()

    def _bring_back(self, host, leg):
        if leg == WOKEN:
            self.core.world.heal()
            host.wake()
            return host
        if leg == NEW:
            del self.core.machines[host.name]
            host = self._add_machine()
        host.start()
        return host

    def _add_machine(self):
        place = len(self.core.world.hosts) + 1
        return self.core.add(f"core-{place}", f"10.0.0.{place}:7000")

    def _lose_all(self, leg):
        world, hosts = self.core.world, list(self.core.machines.values())
        self.change(self.changes, [host.name for host in hosts])
        found = Return(leg, self.newest)
        self.operators.put(hosts[0].name, self.order())
        world.run_for(world.dice.randrange(5_000))
        for host in hosts:
            host.kill()
        for host in hosts:
            world.run_for(STAGGER_US if leg == ALL_KILLED else 0)
            host.start()
        self._measure(found, hosts)
        self._learn_newest()

    def _learn_newest(self):
        """Read the newest version: an order that was under way may have been chosen."""
        call = self.operators.read(next(iter(self.core.machines)))
        self.core.world.wait_for(lambda: call.ended_us is not None, 2 * SECOND, PAUSE_US)
        if call.outcome != TAKEN:
            raise AssertionError(f"the newest can't be read: {call}")
        self.newest = call.revision

    def _measure(self, found, hosts):
        world, begun_us = self.core.world, self.core.world.now_us
        for host in hosts:
            count_lines(host.node, found)

        def is_back():
            self._check_returning(found, hosts)
            return all(self._is_back(host.node, found) for host in hosts)

        if not world.wait_for(is_back, CATCH_UP_MOST_US, STEP_US):
            raise AssertionError(f"{found} isn't back: {self.core.voting()}")
        found.took_us = world.now_us - begun_us
        found.disk_bytes = max(len(write_json(host.disk.synced)) for host in hosts)
        self.returns.append(found)
        world.run_for(SETTLE_US)

    def _is_back(self, node, found):
        return (
            node.replica.is_voting
            and node.watch_server.is_current()
            and revision_of(node.replica.register_state("plan").value) >= found.newest
        )

    def _check_returning(self, found, hosts):
        """Record what a member may not do before it has caught up: vote, or call its configuration
        current. Record roles with two holders, too."""
        now_us = self.core.world.now_us
        for host in hosts:
            revision = revision_of(host.node.replica.register_state("plan").value)
            if revision >= found.newest:
                continue
            if host.node.replica.is_voting and found.leg in (RESTARTED, WIPED, NEW):
                found.early.append((now_us, host.name, revision))
            if host.node.watch_server.is_current():
                found.old_news.append((now_us, host.name, revision))
        nodes = [host.node for host in self.core.machines.values() if host.node]
        for role in SINGLETON_ROLES:
            holders = [node.name for node in nodes if node.leases[role].is_held()]
            if len(holders) > 1:
                found.holders.append((now_us, role, holders))


def revision_of(value):
    """The version number of a value of the plan key; 0 before the first."""
    return (value or {}).get("revision") or 0


def count_lines(node, found):
    """Count the bytes that a node receives from now on, except messages of the membership and of
    routers."""
    for say, hear in list(node.map_handlers.items()):
        if say not in RING_LINES:
            node.map_handlers[say] = _counting(hear, found)
    for message_type, hear in list(node.handlers.items()):
        if message_type.__module__.startswith(CONSENSUS):
            node.register_handler(message_type, _counting(hear, found))


def _counting(hear, found):
    def count(message):
        found.sent_bytes += 0 if found.took_us is not None else len(write_line(message)) - 1
        hear(message)

    return count
