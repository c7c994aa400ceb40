"""Deltas of the runner list: a router that applies them holds the same list as the publisher."""

import random

from linkhaven.controller.runner_list_delta import RunnerListDelta
from linkhaven.runner import Roster, Runner

SECOND = 1_000_000


class Clock:
    """A stand-in for the node, with the clock and bounds that a roster uses."""

    class Bounds:
        roster_stale_us = None

    bounds = Bounds()

    def __init__(self):
        self.time_us = 10 * SECOND

    def now_us(self):
        return self.time_us


def report(**fields):
    values = {
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
    return {**values, **fields}


class Publisher:
    """A publisher of the runner list, with the serials of its changes."""

    def __init__(self, clock, names):
        self.clock = clock
        self.serial = 1
        self.delta = RunnerListDelta()
        self.runners = {}
        self.delta.begin(self.serial)
        self.list(names)

    def list(self, names):
        before = {name: runner.as_record(0) for name, runner in self.runners.items()}
        kept = {name: runner for name, runner in self.runners.items() if name in names}
        for name in names:
            if name not in kept:
                kept[name] = Runner(name, f"{name}:1", "zone-1", 1)
        self.runners = kept
        self.serial += 1
        self.delta.note_list(before, kept, self.serial)

    def report(self, name, **fields):
        runner = self.runners[name]
        before = runner.as_record(0) if runner.reported_us is not None else None
        runner.take_report(report(**fields), self.clock.time_us)
        self.serial += 1
        return self.delta.note_report(before, runner, self.serial)

    def mark_unresponsive(self, name, is_unresponsive):
        self.runners[name].is_unresponsive = is_unresponsive
        self.serial += 1
        self.delta.note_record(name, self.serial)

    def full_list(self):
        records = [runner.as_record(self.clock.time_us) for runner in self.runners.values()]
        return {"fence": 1, "serial": self.serial, "age_us": 0, "runners": records}

    def document(self, version):
        fence, known = version
        if fence != 1 or not self.delta.is_known(known, self.serial):
            return self.full_list()
        fields = self.delta.since(known, self.runners, self.clock.time_us)
        return {"fence": 1, "serial": self.serial, "age_us": 0, "since": known, **fields}


def state_of(roster):
    names = ("incarnation", "phase", "queued", "running", "kv_used", "is_unresponsive")
    names += ("is_leaving",)
    return {
        runner.name: [getattr(runner, name) for name in names] for runner in roster.runners.values()
    }


def change_something(publisher, rng, number):
    action = rng.randrange(5)
    name = rng.choice(list(publisher.runners))
    if action == 0:
        publisher.list(
            [*(other for other in publisher.runners if other != name), f"runner-{number}"]
        )
    elif action == 1:
        publisher.mark_unresponsive(name, not publisher.runners[name].is_unresponsive)
    elif action == 2:
        publisher.report(name, phase=rng.choice(("prefill", "decode")))
    else:
        publisher.report(name, queued=rng.randrange(9), running=rng.randrange(9))


def test_deltas_give_the_same_list_as_full_lists():
    for seed in range(40):
        rng, clock = random.Random(seed), Clock()
        publisher = Publisher(clock, [f"runner-{place}" for place in range(6)])
        by_full_list, by_delta = Roster(clock), Roster(clock)
        deltas = 0
        for step in range(60):
            clock.time_us += 100_000
            for _ in range(rng.randrange(4)):
                change_something(publisher, rng, 10 + 100 * step + rng.randrange(90))
            document = publisher.document(by_delta.version)
            deltas += "since" in document
            by_delta.take(document, clock.time_us)
            by_full_list.take(publisher.full_list(), clock.time_us)
            assert state_of(by_delta) == state_of(by_full_list)
        assert deltas > 50


def test_a_delta_on_another_base_than_the_held_list_is_not_applied():
    clock = Clock()
    publisher, roster = Publisher(clock, ["runner-1"]), Roster(clock)
    roster.take(publisher.full_list(), clock.time_us)
    version = roster.version
    publisher.report("runner-1", queued=5)
    missed_delta = publisher.document(version)
    publisher.list(["runner-1", "runner-2"])
    roster.take(publisher.document(version), clock.time_us)
    assert set(roster.runners) == {"runner-1", "runner-2"}
    roster.take({**missed_delta, "serial": publisher.serial + 9}, clock.time_us)
    assert roster.version == (1, publisher.serial)


def test_a_new_list_and_one_that_forgot_removed_runners_are_sent_in_full():
    clock = Clock()
    publisher = Publisher(clock, ["runner-1"])
    known = publisher.serial
    assert publisher.delta.is_known(known, publisher.serial)
    for place in range(300):
        publisher.list(["runner-1", f"other-{place}"])
    assert not publisher.delta.is_known(known, publisher.serial)
    publisher.serial += 1
    publisher.delta.begin(publisher.serial)
    assert not publisher.delta.is_known(publisher.serial - 1, publisher.serial)


def test_an_unchanged_report_is_no_change_and_is_included_in_the_next_delta():
    clock = Clock()
    publisher = Publisher(clock, ["runner-1", "runner-2", "runner-3"])
    for name in publisher.runners:
        assert publisher.report(name, queued=1)
    known = publisher.serial
    clock.time_us += SECOND // 4
    assert not publisher.report("runner-1", queued=1)
    assert publisher.report("runner-2", queued=2)
    figures = publisher.delta.since(known, publisher.runners, clock.time_us)["figures"]
    assert [(row[0], row[2], row[-1]) for row in figures] == [
        ("runner-1", 1, 0),
        ("runner-2", 2, 0),
    ]


def test_a_runner_that_this_router_lost_is_reopened_by_any_later_delta():
    clock = Clock()
    clock.ports = type("Ports", (), {"log": staticmethod(lambda number, **values: None)})
    publisher, roster = Publisher(clock, ["runner-1", "runner-2"]), Roster(clock)
    publisher.report("runner-1")
    roster.take(publisher.full_list(), clock.time_us)
    roster.note_unresponsive(roster.runners["runner-1"])
    assert roster.runners["runner-1"].is_unresponsive
    clock.time_us += 2 * SECOND
    publisher.report("runner-2", queued=1)
    roster.take(publisher.document(roster.version), clock.time_us)
    assert not roster.runners["runner-1"].is_unresponsive
