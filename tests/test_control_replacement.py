"""Tests of point 3 of docs/control.md: a second fault while a member is replaced."""

from functools import lru_cache

import pytest

from linkhaven.consensus.departure import Departure
from linkhaven.stage.control import judge_replacement
from linkhaven.stage.replacecourse import (
    AFTER_US,
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
FAULTS = (
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
    for place, what in enumerate(FAULTS)
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


@pytest.mark.parametrize("seats, how, what, share", CASES + SECOND_LOSSES)
def test_a_second_fault_during_or_after_a_repair_loses_nothing_and_leaves_an_answer(
    seats, how, what, share
):
    repaired_us = repair_us(seats, how)
    assert repaired_us is not None
    course = ReplaceCourse(SEED, seats).run(how, what, share, repaired_us)
    assert judge_replacement(course, seats, what, share) == {}


def leave_at_once(monkeypatch):
    """Have a member exit as soon as it is told to stop, without a hand-over or replication."""
    monkeypatch.setattr(Departure, "begin", lambda self, done: done())


def leave_without_successor(monkeypatch):
    """Have a departing member look for no successor, and replicate nothing to the others."""
    monkeypatch.setattr(Departure, "_spares", lambda self: [])
    monkeypatch.setattr(Departure, "_begin_replication", lambda self, now_us: self._finish())


@pytest.mark.parametrize("sabotage", [leave_at_once, leave_without_successor])
def test_without_the_hand_over_a_second_planned_stop_leaves_no_majority(monkeypatch, sabotage):
    sabotage(monkeypatch)
    course = ReplaceCourse(SEED, 3).run(PLANNED, SECOND_PLANNED, 0.5, 600_000)
    found = judge_replacement(course, 3, SECOND_PLANNED, 0.5)
    assert {"no_answer", "lost", "not_whole"} <= set(found)
    assert found["no_answer"][0] > AFTER_US // 2
