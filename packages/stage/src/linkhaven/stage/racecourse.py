"""Courses in a simulated core: operators race with orders of one number, and their answers get
lost.

In each race several orders build on one version and have one number, each with a text of its own;
they are sent to different members at the same moment. Nearly all answers are lost, members are
killed at the moment when they would answer, and each order is sent again unchanged to every other
member until its answer is clear. The next race builds on the winner. Much later every order is sent
once more to every member: the winners as a late retry would, the losers to show that none of them
is taken.
"""

from .core import SimCore
from .cutcourse import PLAN
from .orders import Operators, Order

SECOND = 1_000_000
SETTLE_US = 2 * SECOND
RACE_MOST_US = 30 * SECOND
SPREAD_US = 4_000
ROUNDS = 2


class RaceCourse:
    """One run of several races after each other; `winners` maps a base version to the text that won
    on it."""

    __slots__ = ("core", "operators", "racers", "orders", "winners")

    def __init__(self, seed, seats, racers, lost_share=0.9, kill_share=0.05):
        """Start a core of `seats` members; `racers` orders race each time."""
        self.core = SimCore(seed, seats=seats).bootstrap(3, seats - 3)
        if not self.core.wait_voting(seats):
            raise AssertionError("the core does not vote")
        self.core.world.run_for(SETTLE_US)
        dice = self.core.world.dice
        self.operators = Operators(self.core, dice, lost_share, kill_share)
        self.racers = racers
        self.orders = []
        self.winners = {}

    def race(self, base, revision):
        """Send all orders of one race; return a read of the newest version once all senders are
        done."""
        world, names = self.core.world, list(self.core.machines)
        ended = []
        for place in range(self.racers):
            order = Order(base, revision, f"{revision} by operator {place}", PLAN)
            self.orders.append(order)
            first = place % len(names)
            members = names[first:] + names[:first]
            send = self._sender(order, members, ended)
            world.after(world.dice.randrange(SPREAD_US), send)
        world.wait_for(lambda: len(ended) == self.racers, RACE_MOST_US)
        return self.read()

    def _sender(self, order, members, ended):
        return lambda: self.operators.send_until_clear(order, members, ended.append, rounds=ROUNDS)

    def read(self):
        """Read the newest configuration, with no answer lost."""
        self._calm()
        self.core.world.wait_for(lambda: self._are_all_up(), 10 * SECOND)
        call = self.operators.read(next(iter(self.core.machines)))
        self.core.world.wait_for(lambda: call.ended_us is not None, 2 * SECOND, 10_000)
        return call

    def _calm(self):
        self.operators.lost_share = self.operators.kill_share = 0.0

    def _are_all_up(self):
        return len(self.core.voting()) == len(self.core.machines)

    def run(self, races, lost_share=0.9, kill_share=0.05):
        """Run race after race, each based on the winner of the one before."""
        base = 0
        for _ in range(races):
            self.operators.lost_share, self.operators.kill_share = lost_share, kill_share
            call = self.race(base, base + 3)
            if call.revision != base + 3:
                raise AssertionError(f"nobody won the race on {base}: {call}")
            self.winners[base] = call.document
            base = call.revision
        return self

    def send_late(self):
        """Send every order once more, unchanged, to every member; return the calls."""
        self._calm()
        calls = []
        for order in self.orders:
            for member in self.core.machines:
                calls.append(self.operators.put(member, order))
                self.core.world.run_for(SECOND // 20)
        self.core.world.run_for(2 * SECOND)
        return calls

    def is_winner(self, order):
        """Whether this order won its race."""
        return self.winners.get(order.base) == order.document
