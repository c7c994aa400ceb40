"""Begins and ends the faults of a schedule on a running fleet, and notes when each was over."""

from msgspec import structs

from .relay import Mode
from .schedule import Kind, Link, keeps_bounds

TICK_US = 50_000
LEAVING_US = 2_500_000
"""A runner is listed as leaving for this long before it stops."""

STARTED_EVENT = 1001
VOTING_EVENT = 1202
MODES = {
    Kind.HOLD: Mode.HOLD,
    Kind.RESET: Mode.RESET,
    Kind.DELAY: Mode.DELAY,
    Kind.LOSE_ANSWERS: Mode.LOSE_ANSWERS,
}


class Injector:
    """The faults of one schedule.

    A fault is over when what it took is there again: a link lets pass, a process has started, a
    seat votes. Where an earlier fault isn't over in time, on a busy machine, one that would
    breach the schedule's bounds is skipped, and noted so.
    """

    __slots__ = (
        "fleet",
        "cast",
        "schedule",
        "clock",
        "note",
        "open",
        "left",
        "skipped",
        "down",
        "deeds",
    )

    def __init__(self, fleet, cast, schedule, note):
        """`note` writes into the record."""
        self.fleet = fleet
        self.cast = cast
        self.schedule = schedule
        self.note = note
        self.clock = None
        self.open = {}
        self.left = len(schedule)
        self.skipped = 0
        self.down = set()
        self.deeds = {
            Kind.KILL: (self._kill, self._start_again),
            Kind.PAUSE: (self._pause, self._wake),
            Kind.LEAVE: (self._leave, self._come_back),
            Kind.REMOVE: (self._remove, self._come_back),
            **{kind: (self._disturb, self._let_pass) for kind in MODES},
        }

    def begin(self, clock):
        """Plan all faults on the clock of the load."""
        self.clock = clock
        for number, fault in enumerate(self.schedule):
            clock.call_in(fault.begin_us, lambda number=number: self._switch_on(number))

    def is_over(self):
        """Whether no fault is on or to come."""
        return self.left == 0

    def _switch_on(self, number):
        fault = self.schedule[number]
        if not self._is_free(fault):
            self.skipped += 1
            self.left -= 1
            return self.note("skipped", fault=number, kind=fault.kind, targets=fault.targets)
        self.open[number] = fault
        self.note("fault", fault=number, kind=fault.kind, link=fault.link, targets=fault.targets)
        for name in fault.targets:
            self.deeds[fault.kind][0](fault, name)
        self._list_runners(fault)
        length_us = fault.end_us - fault.begin_us
        self.clock.call_in(length_us, lambda: self._switch_off(number))

    def _is_free(self, fault):
        """Whether faults that still are on leave this one within the schedule's bounds."""
        at_once = [
            structs.replace(one, begin_us=0, end_us=1) for one in (*self.open.values(), fault)
        ]
        return keeps_bounds(at_once, self.cast)

    def _switch_off(self, number):
        fault = self.schedule[number]
        for name in fault.targets:
            self.deeds[fault.kind][1](fault, name)
        self._list_runners(fault)
        self._close_when_back(number)

    def _close_when_back(self, number):
        fault = self.schedule[number]
        if not all(self._is_back(fault, name) for name in fault.targets):
            return self.clock.call_in(TICK_US, lambda: self._close_when_back(number))
        del self.open[number]
        self.left -= 1
        self.note("over", fault=number, kind=fault.kind, link=fault.link, targets=fault.targets)

    def _is_back(self, fault, name):
        if fault.kind not in (Kind.KILL, Kind.LEAVE, Kind.REMOVE):
            return True
        event = VOTING_EVENT if name in self.cast.cores else STARTED_EVENT
        return self.fleet.processes[name].count(event) > 0

    def find_dead(self):
        """Processes that ended though nobody ended them."""
        return [
            name
            for name in self.fleet.processes
            if name not in self.down and not self.fleet.is_running(name)
        ]

    def _list_runners(self, fault):
        if fault.kind in (Kind.LEAVE, Kind.REMOVE):
            self.fleet.list_runners()

    def _router_address(self, name):
        return self.fleet.calls_address(name) if name in self.cast.edges else name

    def _kill(self, fault, name):
        self.down.add(name)
        self.fleet.set_absent(name, True)
        self.fleet.kill(name)
        self.note("killed", node=name, address=self._router_address(name))

    def _start_again(self, fault, name):
        self.fleet.run_again(name)
        self.fleet.set_absent(name, False)
        self.down.discard(name)

    def _pause(self, fault, name):
        self.fleet.freeze(name)
        self.note("frozen", node=name, address=self._router_address(name))

    def _wake(self, fault, name):
        self.fleet.wake(name)
        self.note("woken", node=name, address=self._router_address(name))

    def _leave(self, fault, name):
        self.fleet.listed[name] = {**self.fleet.listed[name], "state": "leaving"}
        self.clock.call_in(LEAVING_US, lambda: self._stop_left(name))

    def _stop_left(self, name):
        self.down.add(name)
        self.fleet.processes[name].stop()
        self.fleet.set_absent(name, True)
        del self.fleet.listed[name]
        self.fleet.list_runners()

    def _remove(self, fault, name):
        self._kill(fault, name)
        del self.fleet.listed[name]

    def _come_back(self, fault, name):
        self.fleet.kill(name)
        self._start_again(fault, name)
        self.fleet.listed[name] = self.fleet.first_listed[name]

    def _disturb(self, fault, name):
        self.fleet.relays[(name, fault.link)].set_mode(MODES[fault.kind], fault.delay_us)
        if fault.kind is Kind.HOLD and fault.link is Link.CALLS:
            self.note("frozen", node=name, address=self._router_address(name))

    def _let_pass(self, fault, name):
        self.fleet.relays[(name, fault.link)].set_mode(Mode.PASS)
        if fault.kind is Kind.HOLD and fault.link is Link.CALLS:
            self.note("woken", node=name, address=self._router_address(name))
