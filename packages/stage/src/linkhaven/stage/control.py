"""Runs of the four control-plane courses over many seeds, each judged, in one command.

The judges are those of `tests/test_control_*.py`: each returns the breaches that its course shows,
by name, and an empty dict if every rule holds.
"""

from linkhaven.runtime import Bounds

from .changecourse import (
    ALL_KILLED,
    ALL_POWERLESS,
    NEW,
    RESTARTED,
    WIPED,
    WOKEN,
    ChangeCourse,
)
from .cutcourse import ANY, BOTH, HOLDER, IN, LAST_TO_ACT, OUT, CutCourse
from .orders import TAKEN, UNCLEAR, History
from .racecourse import RaceCourse
from .replacecourse import (
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
from .world import REFUSAL, RESET, SILENT

SECOND = 1_000_000
TICK_US = 50_000
SEATS = (3, 5)
WHO = (ANY, LAST_TO_ACT, HOLDER)
CUTS = [(direction, how) for direction in (BOTH, OUT, IN) for how in (SILENT, RESET, REFUSAL)]
RACERS = (2, 4, 8)
RACES = 2
LEGS = (NEW, WIPED, RESTARTED, WOKEN, ALL_KILLED, ALL_POWERLESS, RESTARTED, WIPED)
FAULTS = (
    KILL_NEW,
    WIPE_NEW,
    FREEZE_NEW,
    KILL_OTHER,
    FREEZE_OTHER,
    SECOND_NEW,
    SECOND_PLANNED,
)
SHARES = (0.1, 0.5, 0.9, 1.0)
ANSWER_US = 2 * SECOND
DISK_GROWTH, SENT_GROWTH, GROWTH_BYTES = 1.1, 1.25, 500


def keep_found(found):
    """Drop the names under which nothing was found."""
    return {name: what for name, what in found.items() if what}


def not_back(course, back_by_us):
    """Moments after the bound at which the member doesn't serve the newest version.

    A single such sample may fall between a read's second-round accept and the message that the
    value was chosen; two consecutive ones count.
    """
    late = [sample for sample in course.samples if sample.at_us > back_by_us]
    is_back = [sample.is_current and sample.revision >= course.newest for sample in late]
    pairs = zip(late, is_back, is_back[1:], strict=False)
    return [sample.at_us for sample, now, then in pairs if not now and not then]


def judge_cut(course):
    """The breaches of a course with a member cut off, by name."""
    history = History(course.operators.calls)
    bounds = Bounds()
    late = bounds.majority_timeout_us + 2 * TICK_US
    cut = course.while_cut(history.calls)
    first, *later = cut
    held_until_us = course.cut_us + bounds.lease_us + TICK_US
    current_until_us = course.cut_us + bounds.contact_us + TICK_US
    back_by_us = course.joined_us + bounds.contact_us
    while_cut = [sample for sample in course.samples if sample.at_us < course.joined_us]
    found = {
        **history.breaches(),
        "faults": course.core.faults(),
        "confirmed": [
            call for call in cut if call.outcome == TAKEN and call.ended_us > held_until_us
        ],
        "not_unclear": [call for call in cut if call.outcome != UNCLEAR],
        "late": [call for call in (first, *later) if call.ended_us - call.sent_us > late],
        "late_though_known": [
            call
            for call in later[2:]
            if call.ended_us - call.sent_us > bounds.majority_timeout_us // 3 + 2 * TICK_US
        ],
        "refused_though_right": history.refused_though_right(course.newest),
        "current": [s.at_us for s in while_cut if s.is_current and s.at_us > current_until_us],
        "duties": [s.at_us for s in while_cut if s.roles and s.at_us > held_until_us],
        "not_back": not_back(course, back_by_us),
    }
    return keep_found(found)


def judge_race(course):
    """The breaches of a race of orders, by name."""
    history = History(course.operators.calls)
    found = {
        **history.breaches(),
        "faults": course.core.faults(),
        "losers_taken": [
            call for call in history.orders(TAKEN) if not course.is_winner(call.order)
        ],
    }
    return keep_found(found)


def judge_changes(course):
    """The breaches of a course with members that return, by name."""
    bounds = Bounds(**course.core.bounds)
    bound_us = bounds.vacant_us + bounds.recovery_wait_us + SECOND
    first, last = returns_of(course, WIPED)
    found = {
        "faults": course.core.faults(),
        "late": [back for back in course.returns if back.took_us > bound_us],
        "early": [back for back in course.returns if back.early],
        "old_news": [back for back in course.returns if back.old_news],
        "two_holders": [back for back in course.returns if back.holders],
        "disk_grows": [last]
        if last.disk_bytes > first.disk_bytes * DISK_GROWTH + GROWTH_BYTES
        else [],
        "sent_grows": [last]
        if last.sent_bytes > first.sent_bytes * SENT_GROWTH + GROWTH_BYTES
        else [],
    }
    return keep_found(found)


def returns_of(course, leg):
    """The returns of one leg."""
    return [back for back in course.returns if back.leg == leg]


def bound_us(seats, what, share):
    """How long there may be no answer, in us. If more than `fault_tolerance` members are lost at
    once, the core waits for one that returns."""
    is_too_much = seats == 3 and what in (KILL_OTHER, FREEZE_OTHER) and share < 1.0
    return ANSWER_US + (AWAY_US if is_too_much else 0)


def judge_replacement(course, seats, what, share):
    """The breaches of a course with a replaced member, by name."""
    history = History(course.operators.calls)
    until_us = course.core.world.now_us - 4 * SECOND
    gap_us = course.longest_without_answer_us(course.gone_us, until_us)
    last = course.last_reads()
    found = {
        **history.breaches(),
        "faults": course.core.faults(),
        "double_votes": course.double_votes,
        "no_answer": [gap_us] if gap_us > bound_us(seats, what, share) else [],
        "lost": [call for call in last if call.outcome != TAKEN or call.revision < course.newest],
        "not_whole": [course.core.voting()] if len(course.core.voting()) < seats else [],
    }
    return keep_found(found)


def play_cuts(seed):
    """Play one course for each core size, direction and way of cutting; the choice of the member
    rotates."""
    for seats in SEATS:
        for place, (direction, how) in enumerate(CUTS):
            who = WHO[(place + seats + seed) % len(WHO)]
            course = CutCourse(seed, seats, who, direction, how).run(who)
            yield f"cut/{seats}/{direction}/{how}/{who}", judge_cut(course)


def play_races(seed):
    """Play races of two, four and eight orders, and send every order again late."""
    for seats in SEATS:
        for racers in RACERS:
            course = RaceCourse(seed, seats, racers).run(RACES)
            course.send_late()
            yield f"race/{seats}/{racers}", judge_race(course)


def play_replacements(seed):
    """Play each way of leaving with each trouble; the moment within the repair rotates."""
    for seats in SEATS:
        for how in (PLANNED, KILLED, HELD_NEWEST):
            repair_us = measure_repair(seed, seats, how)
            if repair_us is None:
                yield f"replace/{seats}/{how}", {"not_repaired": [seed]}
                continue
            for place, what in enumerate((*FAULTS, LOSE_OTHER)):
                share = 1.0 if what == LOSE_OTHER else SHARES[(place + seed) % len(SHARES)]
                course = ReplaceCourse(seed, seats).run(how, what, share, repair_us)
                found = judge_replacement(course, seats, what, share)
                yield f"replace/{seats}/{how}/{what}/{share}", found


def play_changes(seed, changes):
    """Play all legs at both core sizes, with `changes` changes in each leg."""
    for seats in SEATS:
        course = ChangeCourse(seed, seats, changes).run(LEGS)
        yield f"changes/{seats}/{changes * len(LEGS)}", judge_changes(course)


def play(first, count, changes, tell):
    """Play every course over these seeds; call `tell` with each breach. Return the counts of
    courses played and breached."""
    played = breached = 0
    for seed in range(first, first + count):
        games = (play_cuts(seed), play_races(seed), play_replacements(seed))
        for name, found in _all_of(*games, play_changes(seed, changes)):
            played += 1
            if found:
                breached += 1
                tell({"seed": seed, "course": name, "found": repr(found)})
    return {"seeds": count, "courses": played, "breached": breached}


def _all_of(*games):
    for game in games:
        yield from game
