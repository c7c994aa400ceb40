"""The four control points played wide: courses over many seeds, each judged, in one command.

The judges are those of `tests/test_control_*.py`: each answers what its course shows that may not
be, by name, and nothing where all holds.
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
    """Only the names under which something was found."""
    return {name: what for name, what in found.items() if what}


def not_back(course, back_by_us):
    """Moments after the bound at which the member doesn't serve the newest. A sample may fall
    between the accept and the word that it was chosen of a read's second round; two don't."""
    late = [sample for sample in course.samples if sample.at_us > back_by_us]
    is_back = [sample.is_current and sample.revision >= course.newest for sample in late]
    pairs = zip(late, is_back, is_back[1:], strict=False)
    return [sample.at_us for sample, now, then in pairs if not now and not then]


def judge_cut(course):
    """What the course shows that may not be, by name; empty where all holds."""
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
            told for told in cut if told.outcome == TAKEN and told.ended_us > held_until_us
        ],
        "not_unclear": [told for told in cut if told.outcome != UNCLEAR],
        "late": [told for told in (first, *later) if told.ended_us - told.sent_us > late],
        "late_though_known": [
            told
            for told in later[2:]
            if told.ended_us - told.sent_us > bounds.majority_timeout_us // 3 + 2 * TICK_US
        ],
        "refused_though_right": history.refused_though_right(course.newest),
        "current": [s.at_us for s in while_cut if s.is_current and s.at_us > current_until_us],
        "duties": [s.at_us for s in while_cut if s.roles and s.at_us > held_until_us],
        "not_back": not_back(course, back_by_us),
    }
    return keep_found(found)


def judge_race(course):
    """What a race may not show, by name; empty where all holds."""
    history = History(course.operators.calls)
    found = {
        **history.breaches(),
        "faults": course.core.faults(),
        "losers_taken": [
            told for told in history.orders(TAKEN) if not course.is_winner(told.order)
        ],
    }
    return keep_found(found)


def judge_changes(course):
    """What no return may show, by name; empty where all holds."""
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
    return [back for back in course.returns if back.leg == leg]


def bound_us(seats, what, share):
    """How long there may be no answer. Where more than `fault_tolerance` is lost at once, the core
    waits for what comes back."""
    is_too_much = seats == 3 and what in (KILL_OTHER, FREEZE_OTHER) and share < 1.0
    return ANSWER_US + (AWAY_US if is_too_much else 0)


def judge_replacement(course, seats, what, share):
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
    return keep_found(found)


def play_cuts(seed):
    """One course for each size, direction and way of cutting; who is cut off goes round."""
    for seats in SEATS:
        for place, (direction, how) in enumerate(CUTS):
            who = WHO[(place + seats + seed) % len(WHO)]
            course = CutCourse(seed, seats, who, direction, how).run(who)
            yield f"cut/{seats}/{direction}/{how}/{who}", judge_cut(course)


def play_races(seed):
    """Races of two, four and eight orders, and every order sent late."""
    for seats in SEATS:
        for racers in RACERS:
            course = RaceCourse(seed, seats, racers).run(RACES)
            course.send_late()
            yield f"race/{seats}/{racers}", judge_race(course)


def play_replacements(seed):
    """Each way to go with each trouble; the share of the repair goes round."""
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
    """All legs at both sizes, with so many changes in each."""
    for seats in SEATS:
        course = ChangeCourse(seed, seats, changes).run(LEGS)
        yield f"changes/{seats}/{changes * len(LEGS)}", judge_changes(course)


def play(first, count, changes, tell):
    """Every course over these seeds; `tell` hears each breach. Answers how many were played."""
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
