"""Courses in a simulated core: operators race under one number, and their answers get lost.

Each race is of several orders that build on one version and bear one number, each with a text of
its own, sent to different members at the same moment. Nearly all answers are lost, members are
killed at the moment when they would answer, and each order is sent again unchanged to every other
member until its answer is clear. The next race builds on the winner. Long after, every order is
sent once more to every member: the winners as those who come back late do, the losers to show
that none of them is taken."""

from .core import SimCore
from .cutcourse import PLAN
from .orders import Operators, Order

SECOND = 1_000_000
SETTLE_US = 2 * SECOND
RACE_MOST_US = 30 * SECOND
SPREAD_US = 4_000
ROUNDS = 2


class RaceCourse:
    """One run of some races after each other; `winners` are the orders that were in force, by
    base."""

    __slots__ = ("core", "operators", "racers", "orders", "winners")

    def __init__(self, seed, seats, racers, lost_share=0.9, kill_share=0.05):
        """Start a core of that size; `racers` orders race each time."""
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
        """Send all orders of one race; answers the newest revision and text once all senders are
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
        return lambda: self.operators.pursue(order, members, ended.append, rounds=ROUNDS)

    def read(self):
        """The newest configuration, read without a loss of the answer."""
        self._calm()
        self.core.world.wait_for(lambda: self._are_all_up(), 10 * SECOND)
        told = self.operators.read(next(iter(self.core.machines)))
        self.core.world.wait_for(lambda: told.ended_us is not None, 2 * SECOND, 10_000)
        return told

    def _calm(self):
        self.operators.lost_share = self.operators.kill_share = 0.0

    def _are_all_up(self):
        return len(self.core.voting()) == len(self.core.machines)

    def run(self, races, lost_share=0.9, kill_share=0.05):
        """Race after race, each on the winner of the one before."""
        base = 0
        for _ in range(races):
            self.operators.lost_share, self.operators.kill_share = lost_share, kill_share
            told = self.race(base, base + 3)
            if told.revision != base + 3:
                raise AssertionError(f"nobody won the race on {base}: {told}")
            self.winners[base] = told.document
            base = told.revision
        return self

    def send_late(self):
        """Every order once more, unchanged, to every member; answers the calls."""
        self._calm()
        calls = []
        for order in self.orders:
            for member in self.core.machines:
                calls.append(self.operators.put(member, order))
                self.core.world.run_for(SECOND // 20)
        self.core.world.run_for(2 * SECOND)
        return calls

    def is_winner(self, order):
        """Whether this order was in force."""
        return self.winners.get(order.base) == order.document
