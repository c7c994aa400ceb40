"""Report records of searches, dives and walks, and the file format for replaying a course."""

import json

from .cases import core_cases
from .run import play_course
from .search import dive, search
from .shrink import shorten
from .walk import RegistryCase, Walk

WALKED_CORES = ((3, 0), (3, 1), (3, 2), (5, 0), (5, 1))
WALK_STEPS = 600


def search_case(name, most_states):
    """Searches one case exhaustively; returns its report record."""
    case = core_cases()[name]
    found = search(case, most_states)
    record = found.as_record()
    if found.breach is not None:
        record["course"] = shorten(case, found.breach.rule, found.course)
    return {"searched": name, **record}


def dive_case(name, dives, seed):
    """Runs seeded random courses through one small case; returns the report record."""
    case = core_cases()[name]
    found = dive(case, dives, seed)
    record = {"dived": name, "dives": dives, "seed": seed, **found.as_record()}
    if found.breach is not None:
        record["course"] = shorten(case, found.breach.rule, found.course)
    return record


def walk_seed(seed, steps=WALK_STEPS):
    """Runs one walk, with the core size chosen by the seed; returns its report record."""
    seats, spares = WALKED_CORES[seed % len(WALKED_CORES)]
    walk = Walk(RegistryCase(seats, spares, seed))
    breach = walk.go(steps)
    run = walk.run
    record = {
        "walked": seed,
        "case": run.case.name,
        "choices": len(run.course),
        "faults": run.used,
        "answers": run.answers,
        "breach": breach and str(breach),
    }
    if breach is not None:
        record["course"] = shorten(run.case, breach.rule, run.course)
    return record


def name_of(record):
    """The case name or walk seed of a report record."""
    return str(record.get("walked") or record.get("dived") or record["searched"])


class Totals:
    """Sums over all records of a report; its slots are the keys of the totals record."""

    __slots__ = (
        "searched",
        "whole",
        "states",
        "transitions",
        "depth",
        "dives",
        "dived",
        "walks",
        "choices",
        "faults",
        "answers",
        "breached",
    )

    def __init__(self):
        self.searched = self.whole = self.states = self.transitions = self.depth = 0
        self.dives = self.dived = self.walks = self.choices = 0
        self.faults = {}
        self.answers = {}
        self.breached = []

    def add(self, record):
        """Adds one report record."""
        if record["breach"]:
            self.breached.append(name_of(record))
        if "searched" in record:
            self.searched += 1
            self.whole += record["whole"]
            self.states += record["states"]
            self.transitions += record["transitions"]
            self.depth = max(self.depth, record["depth"])
            return
        if "dived" in record:
            self.dives += record["dives"]
            self.dived += record["transitions"]
            return
        self.walks += 1
        self.choices += record["choices"]
        for sums, part in ((self.faults, record["faults"]), (self.answers, record["answers"])):
            for name, count in part.items():
                sums[name] = sums.get(name, 0) + count

    def as_record(self):
        """The totals as the report's last record."""
        return {name: getattr(self, name) for name in self.__slots__}


def write_course(path, record):
    """Writes the course of a violation to a file for `--replay`."""
    case = {"walk": record["walked"]} if "walked" in record else {"search": name_of(record)}
    with open(path, "w") as file:
        json.dump({**case, "breach": record["breach"], "course": record["course"]}, file, indent=1)


def replay_file(path, print_line):
    """Replays a recorded course and prints its choices; returns the BreachError it ends in, or
    None.
    """
    with open(path) as file:
        recorded = json.load(file)
    course = [tuple(choice) for choice in recorded["course"]]
    if "search" in recorded:
        case = core_cases()[recorded["search"]]
    else:
        seed = recorded["walk"]
        case = RegistryCase(*WALKED_CORES[seed % len(WALKED_CORES)], seed)
    run, breach = play_course(case, course)
    for number, choice in enumerate(run.course, 1):
        print_line(f"{number:4} {' '.join(str(part) for part in choice)}")
    return breach
