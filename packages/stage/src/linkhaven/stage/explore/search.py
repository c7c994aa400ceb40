"""Exhaustive search and random dives over small cases.

The search tries every choice in every state and expands each state once. The nodes hold callbacks,
which can't be copied, so a state is restored by replaying its course from the start.
"""

import random

from .ghost import BreachError
from .run import FAULTS, Run

WEIGHT_EXPONENT = 4
LATEST_FAULT_STEP = 30
SLOW_WEIGHT, SLOW_LINK_SHARE = 1e-6, 0.25


class SearchResult:
    """Coverage of a search, and the violation that ended it, if any."""

    __slots__ = (
        "case",
        "states",
        "transitions",
        "depth",
        "is_whole",
        "breach",
        "course",
        "used",
        "answers",
    )

    def __init__(self, case):
        self.case = case
        self.states = self.transitions = self.depth = 0
        self.is_whole = False
        self.breach = None
        self.course = ()
        self.used = {}
        self.answers = {}

    def add(self, run):
        """Counts a new state, by the faults and the kinds of responses on the way to it."""
        self.states += 1
        self.depth = max(self.depth, len(run.course))
        for kind in run.used:
            self.used[kind] = self.used.get(kind, 0) + 1
        for answer, count in run.answers.items():
            if count:
                self.answers[answer] = self.answers.get(answer, 0) + 1

    def as_record(self):
        """The result as a report record."""
        return {
            "case": self.case.name,
            "states": self.states,
            "transitions": self.transitions,
            "depth": self.depth,
            "whole": self.is_whole,
            "states with fault": self.used,
            "states with answer": self.answers,
            "breach": self.breach and str(self.breach),
            "course": [list(choice) for choice in self.course],
        }


def replay(case, course):
    """Replays a course without checks: they were made when the course was first played."""
    run = Run(case)
    run.is_checking = False
    for choice in course:
        run.play(choice)
    run.is_checking = True
    return run


def search(case, most_states):
    """Searches a case's states depth-first until all or `most_states` are visited or a
    rule breaks.
    """
    found = SearchResult(case)
    visited = set()
    waiting = []
    run = Run(case)
    while True:
        key = run.key()
        if key in visited:
            choices = []
        else:
            visited.add(key)
            found.add(run)
            if found.states >= most_states:
                return found
            choices = list(case.choices(run))
        if choices:
            course = tuple(run.course)
            waiting += [(course, choice) for choice in reversed(choices[1:])]
            choice = choices[0]
        elif waiting:
            course, choice = waiting.pop()
            run = replay(case, course)
        else:
            found.is_whole = True
            return found
        found.transitions += 1
        try:
            run.play(choice)
        except BreachError as breach:
            found.breach, found.course = breach, tuple(run.course)
            return found


MAX_DIVE_CHOICES = 400
"""Most choices of a dive: with a mechanism disabled, members may answer each other forever."""


class Weights:
    """Random weights of the choices of one dive.

    The weights are skewed, so that in most dives some messages and links are delayed for very long
    while others overtake them. Faults are injected at steps drawn in advance.
    """

    __slots__ = ("rng", "weights", "fault_steps", "step")

    def __init__(self, rng, faults):
        self.rng = rng
        self.weights = {}
        latest = rng.randrange(2, LATEST_FAULT_STEP)
        self.fault_steps = sorted(rng.randrange(1, latest) for _ in range(faults))
        self.step = 0

    def pick(self, choices):
        """Draws a fault if one is due, else one of the other choices."""
        self.step += 1
        faults = [choice for choice in choices if choice[0] in FAULTS]
        others = [choice for choice in choices if choice[0] not in FAULTS]
        if faults and (not others or self.fault_steps and self.step > self.fault_steps[0]):
            del self.fault_steps[:1]
            return self.rng.choice(faults)
        return self.rng.choices(others, [self._weight_of(choice) for choice in others])[0]

    def _weight_of(self, choice):
        weight = self.weights.get(choice)
        if weight is None:
            weight = self.weights[choice] = self.rng.random() ** WEIGHT_EXPONENT
        if choice[0] == "sync":
            return weight * SLOW_WEIGHT
        return (
            weight * self._link_factor(choice[1].partition(" ")[0])
            if choice[0] == "deliver"
            else weight
        )

    def _link_factor(self, link):
        """Weight factor of a link; messages on a slow link wait until few other choices
        are left.
        """
        factor = self.weights.get(link)
        if factor is None:
            factor = self.weights[link] = SLOW_WEIGHT if self.rng.random() < SLOW_LINK_SHARE else 1
        return factor


def dive(case, dives, seed=0):
    """Runs seeded random courses through a small case, each to its end.

    Finds a violation sooner than the exhaustive search does.
    """
    found = SearchResult(case)
    rng = random.Random(f"dive {case.name} {seed}")
    for _ in range(dives):
        run = Run(case)
        weights = Weights(rng, case.faults)
        try:
            while len(run.course) < MAX_DIVE_CHOICES and (choices := list(case.choices(run))):
                found.transitions += 1
                run.play(weights.pick(choices))
        except BreachError as breach:
            found.breach, found.course = breach, tuple(run.course)
            return found
        found.add(run)
    return found
