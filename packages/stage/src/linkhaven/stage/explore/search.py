"""Exhaustive search: every choice in every state, each state once. The nodes hold callbacks, which can't be
copied, so a state is reached again by playing its course from the start."""

from .ghost import Breach
from .run import Run


class Found:
    """What a search covered, and the breach that ended it, if one did."""

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
        """Counts a new state: with which faults, and in how many an operator held which answer."""
        self.states += 1
        self.depth = max(self.depth, len(run.course))
        for kind in run.used:
            self.used[kind] = self.used.get(kind, 0) + 1
        for answer, count in run.answers.items():
            if count:
                self.answers[answer] = self.answers.get(answer, 0) + 1

    def as_record(self):
        """For a line of the report."""
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
    """The run that a course leads to, its checks done when it was found."""
    run = Run(case)
    run.is_checking = False
    for choice in course:
        run.play(choice)
    run.is_checking = True
    return run


def search(case, most_states):
    """Goes through the states of a case, deepest first, until all are met, a rule breaks or `most_states` are met."""
    found = Found(case)
    met = set()
    waiting = []
    run = Run(case)
    while True:
        key = run.key()
        if key in met:
            choices = []
        else:
            met.add(key)
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
        except Breach as breach:
            found.breach, found.course = breach, tuple(run.course)
            return found
