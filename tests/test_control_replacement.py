"""Point 3 of docs/control.md: a member is replaced, and something more goes wrong meanwhile."""

from functools import lru_cache

import pytest

from linkhaven.register.leaving import Leaving
from linkhaven.stage.orders import TAKEN, History
from linkhaven.stage.replacecourse import (
    AFTER_US,
    AWAY_US,
    FREEZE_NEW,
    FREEZE_OTHER,
    HELD_NEWEST,
    KILL_NEW,
    KILL_OTHER,
    KILLED,
    LOSE_OTHER,
    PLANNED,
    SECOND_NEW,
    SECOND_PLANNED,
    WIPE_NEW,
    ReplaceCourse,
    measure_repair,
)

SECOND = 1_000_000
ANSWER_US = 2 * SECOND
SHARES = (0.1, 0.5, 0.9, 1.0)
TROUBLES = (
    KILL_NEW,
    WIPE_NEW,
    FREEZE_NEW,
    KILL_OTHER,
    FREEZE_OTHER,
    SECOND_NEW,
    SECOND_PLANNED,
)
SEED = 1
CASES = [
    (seats, how, what, SHARES[(place + len(how)) % len(SHARES)])
    for seats in (3, 5)
    for how in (PLANNED, KILLED, HELD_NEWEST)
    for place, what in enumerate(TROUBLES)
]
SECOND_LOSSES = [
    (seats, how, LOSE_OTHER, share)
    for seats, shares in ((3, (1.0,)), (5, (0.1, 0.9, 1.0)))
    for how in (PLANNED, KILLED, HELD_NEWEST)
    for share in shares
]


@lru_cache
def repair_us(seats, how):
    return measure_repair(SEED, seats, how)


def bound_us(seats, what, share):
    """How long there may be no answer. Where more than `fault_tolerance` is lost at once, the core
    waits for what comes back."""
    is_too_much = seats == 3 and what in (KILL_OTHER, FREEZE_OTHER) and share < 1.0
    return ANSWER_US + (AWAY_US if is_too_much else 0)


def breaches(course, seats, what, share):
    history = History(course.operators.calls)
    until_us = course.core.world.now_us - 4 * SECOND
    gap_us = course.longest_without_answer_us(course.gone_us, until_us)
    last = course.last_reads()
    found = {
        **history.breaches(),
        "faults": course.core.faults(),
        "double_votes": course.double_votes,
        "no_answer": [gap_us] if gap_us > bound_us(seats, what, share) else [],
        "lost": [told for told in last if told.outcome != TAKEN or told.revision < course.newest],
        "not_whole": [course.core.voting()] if len(course.core.voting()) < seats else [],
    }
    return {name: what for name, what in found.items() if what}


@pytest.mark.parametrize("seats, how, what, share", CASES + SECOND_LOSSES)
def test_a_second_trouble_during_or_after_a_repair_loses_nothing_and_leaves_an_answer(
    seats, how, what, share
):
    repaired_us = repair_us(seats, how)
    assert repaired_us is not None
    course = ReplaceCourse(SEED, seats).run(how, what, share, repaired_us)
    assert breaches(course, seats, what, share) == {}


def leave_at_once(monkeypatch):
    """As before the hand-over: a member that is told to stop goes, whoever holds what it holds."""
    monkeypatch.setattr(Leaving, "begin", lambda self, done: done())


def leave_without_successor(monkeypatch):
    """A leaving member looks for no successor, and compares nothing with the others."""
    monkeypatch.setattr(Leaving, "_spares", lambda self: [])
    monkeypatch.setattr(Leaving, "_hold", lambda self, now_us: self._go())


@pytest.mark.parametrize("sabotage", [leave_at_once, leave_without_successor])
def test_without_the_hand_over_a_second_planned_stop_leaves_no_majority(monkeypatch, sabotage):
    sabotage(monkeypatch)
    course = ReplaceCourse(SEED, 3).run(PLANNED, SECOND_PLANNED, 0.5, 600_000)
    found = breaches(course, 3, SECOND_PLANNED, 0.5)
    assert {"no_answer", "lost", "not_whole"} <= set(found)
    assert found["no_answer"][0] > AFTER_US // 2
