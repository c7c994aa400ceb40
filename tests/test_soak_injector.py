"""Faults are begun within their bounds also where an earlier one is not over in time."""

import heapq
import itertools

import pytest

from linkhaven.stage.fleet import LICENSING
from linkhaven.stage.soak.injector import STARTED_EVENT, VOTING_EVENT, Injector
from linkhaven.stage.soak.schedule import SECOND_US, Fault, Kind, Link, cast_of

CAST = cast_of(LICENSING)


class HandClock:
    """Runs what was put off, in order of time, up to a given time."""

    def __init__(self):
        self.now_us = 0
        self.agenda = []
        self.serials = itertools.count()

    def call_in(self, delay_us, deed):
        heapq.heappush(self.agenda, (self.now_us + delay_us, next(self.serials), deed))

    def run_until(self, until_us):
        while self.agenda and self.agenda[0][0] <= until_us:
            self.now_us, _, deed = heapq.heappop(self.agenda)
            deed()
        self.now_us = until_us


class Process:
    """A process whose log says what the test lets it say."""

    def __init__(self):
        self.events = []

    def count(self, number):
        return self.events.count(number)

    def stop(self):
        pass


class HollowRelay:
    def __init__(self):
        self.modes = []

    def set_mode(self, mode, delay_us=0):
        self.modes.append(mode)


class HollowFleet:
    """Takes what the injector does, and does nothing."""

    def __init__(self):
        names = (*CAST.cores, *CAST.edges, *CAST.prefills, *CAST.decodes)
        self.processes = {name: Process() for name in names}
        self.relays = {(name, link): HollowRelay() for name in names for link in Link}
        self.first_listed = {name: {"name": name} for name in (*CAST.prefills, *CAST.decodes)}
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


class Play:
    def __init__(self, *schedule):
        self.notes = []
        self.fleet = HollowFleet()
        self.injector = Injector(self.fleet, CAST, list(schedule), self.note)
        self.clock = HandClock()
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
    play = Play(fault(Kind.KILL, "edge-1", 1, 2))
    play.run_until(1)
    assert not play.fleet.is_running("edge-1")
    assert play.injector.find_dead() == []
    play.run_until(5)
    assert play.faults() == [("fault", 0)]
    play.fleet.processes["edge-1"].events.append(STARTED_EVENT)
    play.run_until(6)
    assert play.faults() == [("fault", 0), ("over", 0)]
    assert play.injector.is_over()


def test_a_seat_is_back_when_it_votes():
    play = Play(fault(Kind.KILL, "core-a", 1, 2))
    play.run_until(3)
    play.fleet.processes["core-a"].events.append(STARTED_EVENT)
    play.run_until(4)
    assert not play.injector.is_over()
    play.fleet.processes["core-a"].events.append(VOTING_EVENT)
    play.run_until(5)
    assert play.injector.is_over()


@pytest.mark.parametrize(
    ("slow", "later", "begun"),
    [
        ("core-a", "core-b", "skipped"),
        ("core-a", "core-a", "skipped"),
        ("core-a", "edge-1", "fault"),
        ("runner-3", "runner-4", "fault"),
    ],
)
def test_what_is_not_back_in_time_counts_with_what_comes_later(slow, later, begun):
    play = Play(fault(Kind.KILL, slow, 1, 2), fault(Kind.PAUSE, later, 5, 6))
    play.run_until(7)
    assert play.faults()[:2] == [("fault", 0), (begun, 1)]


def test_the_last_decode_runner_is_never_taken_while_others_are_not_back():
    play = Play(
        fault(Kind.KILL, "runner-3", 1, 2),
        fault(Kind.REMOVE, "runner-4", 1, 2),
        fault(Kind.PAUSE, "runner-5", 5, 6),
    )
    play.run_until(7)
    assert ("skipped", 2) in play.faults()


def test_a_process_that_ends_by_itself_is_found():
    play = Play(fault(Kind.KILL, "edge-1", 1, 2))
    play.run_until(1)
    play.fleet.kill("edge-2")
    assert play.injector.find_dead() == ["edge-2"]


def test_a_link_is_disturbed_and_set_back():
    play = Play(fault(Kind.HOLD, "runner-3", 1, 2, Link.CALLS))
    play.run_until(3)
    assert play.fleet.relays[("runner-3", Link.CALLS)].modes == ["hold", "pass"]
    assert play.injector.is_over()


@pytest.mark.parametrize("kind", [Kind.LEAVE, Kind.REMOVE])
def test_a_runner_that_goes_is_taken_off_the_list_and_listed_again(kind):
    play = Play(fault(kind, "runner-3", 1, 6))
    play.run_until(5)
    assert "runner-3" not in play.fleet.listed
    play.run_until(7)
    assert play.fleet.listed == play.fleet.first_listed
