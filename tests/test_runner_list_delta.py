"""The list of runners told as differences: what a router holds then equals the whole list."""

import random

from linkhaven.controller.runner_list_delta import RunnerListDelta
from linkhaven.runner import Roster, Runner

SECOND = 1_000_000


class Clock:
    """A node as far as a list of runners needs one."""

    class Bounds:
        roster_stale_us = None

    bounds = Bounds()

    def __init__(self):
        self.at_us = 10 * SECOND

    def now_us(self):
        return self.at_us


def report(**told):
    facts = {
        "incarnation": 1,
        "phase": "decode",
        "queued": 0,
        "running": 0,
        "kv_used": 0,
        "kv_total": 100,
        "mark": 0,
        "fence": 0,
        "age_us": 0,
        "is_leaving": False,
    }
    return {**facts, **told}


class Keeper:
    """The list as its keeper holds it, with the serials of what changed."""

    def __init__(self, clock, names):
        self.clock = clock
        self.serial = 1
        self.changes = RunnerListDelta()
        self.runners = {}
        self.changes.begin(self.serial)
        self.list(names)

    def list(self, names):
        before = {name: runner.as_record(0) for name, runner in self.runners.items()}
        kept = {name: runner for name, runner in self.runners.items() if name in names}
        for name in names:
            if name not in kept:
                kept[name] = Runner(name, f"{name}:1", "zone-1", 1)
        self.runners = kept
        self.serial += 1
        self.changes.note_list(before, kept, self.serial)

    def report(self, name, **told):
        runner = self.runners[name]
        before = runner.as_record(0) if runner.reported_us is not None else None
        runner.take_report(report(**told), self.clock.at_us)
        self.serial += 1
        return self.changes.note_report(before, runner, self.serial)

    def darken(self, name, is_unresponsive):
        self.runners[name].is_unresponsive = is_unresponsive
        self.serial += 1
        self.changes.note_record(name, self.serial)

    def whole(self):
        records = [runner.as_record(self.clock.at_us) for runner in self.runners.values()]
        return {"fence": 1, "serial": self.serial, "age_us": 0, "runners": records}

    def document(self, place):
        fence, held = place
        if fence != 1 or not self.changes.is_known(held, self.serial):
            return self.whole()
        told = self.changes.since(held, self.runners, self.clock.at_us)
        return {"fence": 1, "serial": self.serial, "age_us": 0, "since": held, **told}


def seen(roster):
    names = ("incarnation", "phase", "queued", "running", "kv_used", "is_unresponsive")
    names += ("is_leaving",)
    return {
        runner.name: [getattr(runner, name) for name in names] for runner in roster.runners.values()
    }


def change_something(runner_discovery, dice, extra):
    kind = dice.randrange(5)
    name = dice.choice(list(runner_discovery.runners))
    if kind == 0:
        runner_discovery.list(
            [*(other for other in runner_discovery.runners if other != name), f"runner-{extra}"]
        )
    elif kind == 1:
        runner_discovery.darken(name, not runner_discovery.runners[name].is_unresponsive)
    elif kind == 2:
        runner_discovery.report(name, phase=dice.choice(("prefill", "decode")))
    else:
        runner_discovery.report(name, queued=dice.randrange(9), running=dice.randrange(9))


def test_differences_lead_to_the_same_list_as_the_whole():
    for seed in range(40):
        dice, clock = random.Random(seed), Clock()
        runner_discovery = Keeper(clock, [f"runner-{place}" for place in range(6)])
        by_whole, by_changes = Roster(clock), Roster(clock)
        parts = 0
        for step in range(60):
            clock.at_us += 100_000
            for _ in range(dice.randrange(4)):
                change_something(runner_discovery, dice, 10 + 100 * step + dice.randrange(90))
            document = runner_discovery.document(by_changes.version)
            parts += "since" in document
            by_changes.take(document, clock.at_us)
            by_whole.take(runner_discovery.whole(), clock.at_us)
            assert seen(by_changes) == seen(by_whole)
        assert parts > 50


def test_a_difference_from_another_list_than_the_held_one_is_not_taken():
    clock = Clock()
    runner_discovery, roster = Keeper(clock, ["runner-1"]), Roster(clock)
    roster.take(runner_discovery.whole(), clock.at_us)
    place = roster.version
    runner_discovery.report("runner-1", queued=5)
    missed = runner_discovery.document(place)
    runner_discovery.list(["runner-1", "runner-2"])
    roster.take(runner_discovery.document(place), clock.at_us)
    assert set(roster.runners) == {"runner-1", "runner-2"}
    roster.take({**missed, "serial": runner_discovery.serial + 9}, clock.at_us)
    assert roster.version == (1, runner_discovery.serial)


def test_a_list_begun_anew_and_one_that_forgot_the_gone_are_told_whole():
    clock = Clock()
    runner_discovery = Keeper(clock, ["runner-1"])
    held = runner_discovery.serial
    assert runner_discovery.changes.is_known(held, runner_discovery.serial)
    for place in range(300):
        runner_discovery.list(["runner-1", f"other-{place}"])
    assert not runner_discovery.changes.is_known(held, runner_discovery.serial)
    runner_discovery.serial += 1
    runner_discovery.changes.begin(runner_discovery.serial)
    assert not runner_discovery.changes.is_known(
        runner_discovery.serial - 1, runner_discovery.serial
    )


def test_a_report_without_news_is_no_change_and_is_told_beside_the_next_one():
    clock = Clock()
    runner_discovery = Keeper(clock, ["runner-1", "runner-2", "runner-3"])
    for name in runner_discovery.runners:
        assert runner_discovery.report(name, queued=1)
    held = runner_discovery.serial
    clock.at_us += SECOND // 4
    assert not runner_discovery.report("runner-1", queued=1)
    assert runner_discovery.report("runner-2", queued=2)
    figures = runner_discovery.changes.since(held, runner_discovery.runners, clock.at_us)["figures"]
    assert [(row[0], row[2], row[-1]) for row in figures] == [
        ("runner-1", 1, 0),
        ("runner-2", 2, 0),
    ]


def test_a_runner_that_this_router_lost_is_open_again_after_a_while_by_any_difference():
    clock = Clock()
    clock.ports = type("Ports", (), {"log": staticmethod(lambda number, **facts: None)})
    runner_discovery, roster = Keeper(clock, ["runner-1", "runner-2"]), Roster(clock)
    runner_discovery.report("runner-1")
    roster.take(runner_discovery.whole(), clock.at_us)
    roster.note_unresponsive(roster.runners["runner-1"])
    assert roster.runners["runner-1"].is_unresponsive
    clock.at_us += 2 * SECOND
    runner_discovery.report("runner-2", queued=1)
    roster.take(runner_discovery.document(roster.version), clock.at_us)
    assert not roster.runners["runner-1"].is_unresponsive
