"""The fault injector keeps the schedule's bounds even if an earlier fault ends late."""

import heapq
import itertools

import pytest

from linkhaven.stage.fleet import LICENSING
from linkhaven.stage.soak.injector import STARTED_EVENT, VOTING_EVENT, Injector
from linkhaven.stage.soak.schedule import SECOND_US, Fault, Kind, Link, process_roles

ROLES = process_roles(LICENSING)


class FakeClock:
    """Runs scheduled actions in order of time, up to a given time."""

    def __init__(self):
        self.now_us = 0
        self.scheduled = []
        self.serials = itertools.count()

    def call_in(self, delay_us, action):
        heapq.heappush(self.scheduled, (self.now_us + delay_us, next(self.serials), action))

    def run_until(self, until_us):
        while self.scheduled and self.scheduled[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self.scheduled)
            action()
        self.now_us = until_us


class Process:
    """A process with a log of event numbers set by the test."""

    def __init__(self):
        self.events = []

    def count(self, number):
        return self.events.count(number)

    def stop(self):
        pass


class FakeRelay:
    def __init__(self):
        self.modes = []

    def set_mode(self, mode, delay_us=0):
        self.modes.append(mode)


class FakeFleet:
    """Accepts the injector's calls; only listing and the set of running processes change."""

    def __init__(self):
        names = (*ROLES.cores, *ROLES.edges, *ROLES.prefills, *ROLES.decodes)
        self.processes = {name: Process() for name in names}
        self.relays = {(name, link): FakeRelay() for name in names for link in Link}
        self.first_listed = {name: {"name": name} for name in (*ROLES.prefills, *ROLES.decodes)}
        self.listed = dict(self.first_listed)
        self.running = set(names)

    def calls_address(self, name):
        return f"address of {name}"

    def set_absent(self, name, is_absent):
        pass

    def kill(self, name):
        self.running.discard(name)

    def run_again(self, name):
        self.running.add(name)
        self.processes[name].events.clear()

    def freeze(self, name):
        pass

    def wake(self, name):
        pass

    def is_running(self, name):
        return name in self.running

    def list_runners(self):
        pass


class Scenario:
    def __init__(self, *schedule):
        self.notes = []
        self.fleet = FakeFleet()
        self.injector = Injector(self.fleet, ROLES, list(schedule), self.note)
        self.clock = FakeClock()
        self.injector.begin(self.clock)

    def note(self, kind, /, **facts):
        self.notes.append((kind, facts.get("fault")))

    def run_until(self, seconds):
        self.clock.run_until(seconds * SECOND_US)

    def faults(self):
        return [note for note in self.notes if note[0] in ("fault", "over", "skipped")]


def fault(kind, target, begin_s, end_s, link=Link.NONE):
    return Fault(kind, (target,), begin_s * SECOND_US, end_s * SECOND_US, link)


def test_a_kill_is_over_when_its_process_has_started_again():
    scenario = Scenario(fault(Kind.KILL, "edge-1", 1, 2))
    scenario.run_until(1)
    assert not scenario.fleet.is_running("edge-1")
    assert scenario.injector.find_dead() == []
    scenario.run_until(5)
    assert scenario.faults() == [("fault", 0)]
    scenario.fleet.processes["edge-1"].events.append(STARTED_EVENT)
    scenario.run_until(6)
    assert scenario.faults() == [("fault", 0), ("over", 0)]
    assert scenario.injector.is_over()


def test_a_killed_core_replica_is_restored_when_it_votes():
    scenario = Scenario(fault(Kind.KILL, "core-a", 1, 2))
    scenario.run_until(3)
    scenario.fleet.processes["core-a"].events.append(STARTED_EVENT)
    scenario.run_until(4)
    assert not scenario.injector.is_over()
    scenario.fleet.processes["core-a"].events.append(VOTING_EVENT)
    scenario.run_until(5)
    assert scenario.injector.is_over()


@pytest.mark.parametrize(
    ("slow", "later", "expected"),
    [
        ("core-a", "core-b", "skipped"),
        ("core-a", "core-a", "skipped"),
        ("core-a", "edge-1", "fault"),
        ("runner-3", "runner-4", "fault"),
    ],
)
def test_a_fault_that_ends_late_counts_against_the_bounds_of_later_ones(slow, later, expected):
    scenario = Scenario(fault(Kind.KILL, slow, 1, 2), fault(Kind.PAUSE, later, 5, 6))
    scenario.run_until(7)
    assert scenario.faults()[:2] == [("fault", 0), (expected, 1)]


def test_the_last_decode_runner_is_never_disturbed_while_others_are_not_restored():
    scenario = Scenario(
        fault(Kind.KILL, "runner-3", 1, 2),
        fault(Kind.REMOVE, "runner-4", 1, 2),
        fault(Kind.PAUSE, "runner-5", 5, 6),
    )
    scenario.run_until(7)
    assert ("skipped", 2) in scenario.faults()


def test_a_process_that_ends_by_itself_is_found():
    scenario = Scenario(fault(Kind.KILL, "edge-1", 1, 2))
    scenario.run_until(1)
    scenario.fleet.kill("edge-2")
    assert scenario.injector.find_dead() == ["edge-2"]


def test_a_link_is_disturbed_and_restored():
    scenario = Scenario(fault(Kind.HOLD, "runner-3", 1, 2, Link.CALLS))
    scenario.run_until(3)
    assert scenario.fleet.relays[("runner-3", Link.CALLS)].modes == ["hold", "pass"]
    assert scenario.injector.is_over()


@pytest.mark.parametrize("kind", [Kind.LEAVE, Kind.REMOVE])
def test_a_leaving_or_removed_runner_is_unlisted_and_listed_again(kind):
    scenario = Scenario(fault(kind, "runner-3", 1, 6))
    scenario.run_until(5)
    assert "runner-3" not in scenario.fleet.listed
    scenario.run_until(7)
    assert scenario.fleet.listed == scenario.fleet.first_listed
