"""Injects the faults of a schedule into a running fleet and records when each has ended."""

from msgspec import structs

from .relay import Mode
from .schedule import Kind, Link, keeps_bounds

POLL_INTERVAL_US = 50_000
LEAVING_NOTICE_US = 2_500_000
"""How long a runner is listed as leaving before it is stopped."""

STARTED_EVENT = 1001
VOTING_EVENT = 1202
LINK_MODES = {
    Kind.HOLD: Mode.HOLD,
    Kind.RESET: Mode.RESET,
    Kind.DELAY: Mode.DELAY,
    Kind.LOSE_ANSWERS: Mode.LOSE_ANSWERS,
}


class Injector:
    """Injects one schedule.

    A fault is over once its targets are restored: the link passes traffic, the process has
    started, the core replica votes. On a busy machine an earlier fault may end late; a fault that
    would then exceed the schedule's bounds is skipped and recorded as skipped.
    """

    __slots__ = (
        "fleet",
        "roles",
        "schedule",
        "clock",
        "note",
        "active",
        "remaining",
        "skipped",
        "stopped",
        "actions",
    )

    def __init__(self, fleet, roles, schedule, note):
        """`note` writes an entry into the record."""
        self.fleet = fleet
        self.roles = roles
        self.schedule = schedule
        self.note = note
        self.clock = None
        self.active = {}
        self.remaining = len(schedule)
        self.skipped = 0
        self.stopped = set()
        self.actions = {
            Kind.KILL: (self._kill, self._restart),
            Kind.PAUSE: (self._pause, self._resume),
            Kind.LEAVE: (self._leave, self._relist),
            Kind.REMOVE: (self._remove, self._relist),
            **{kind: (self._disturb_link, self._restore_link) for kind in LINK_MODES},
        }

    def begin(self, clock):
        """Schedule all faults on the timer of the load."""
        self.clock = clock
        for number, fault in enumerate(self.schedule):
            clock.call_in(fault.begin_us, lambda number=number: self._begin_fault(number))

    def is_over(self):
        """Whether no fault is active or still scheduled."""
        return self.remaining == 0

    def _begin_fault(self, number):
        fault = self.schedule[number]
        if not self._keeps_bounds(fault):
            self.skipped += 1
            self.remaining -= 1
            return self.note("skipped", fault=number, kind=fault.kind, targets=fault.targets)
        self.active[number] = fault
        self.note("fault", fault=number, kind=fault.kind, link=fault.link, targets=fault.targets)
        for name in fault.targets:
            self.actions[fault.kind][0](fault, name)
        self._list_runners(fault)
        length_us = fault.end_us - fault.begin_us
        self.clock.call_in(length_us, lambda: self._end_fault(number))

    def _keeps_bounds(self, fault):
        """Whether this fault, beside those still active, keeps the schedule's bounds."""
        at_once = [
            structs.replace(one, begin_us=0, end_us=1) for one in (*self.active.values(), fault)
        ]
        return keeps_bounds(at_once, self.roles)

    def _end_fault(self, number):
        fault = self.schedule[number]
        for name in fault.targets:
            self.actions[fault.kind][1](fault, name)
        self._list_runners(fault)
        self._close_when_restored(number)

    def _close_when_restored(self, number):
        fault = self.schedule[number]
        if not all(self._is_restored(fault, name) for name in fault.targets):
            return self.clock.call_in(POLL_INTERVAL_US, lambda: self._close_when_restored(number))
        del self.active[number]
        self.remaining -= 1
        self.note("over", fault=number, kind=fault.kind, link=fault.link, targets=fault.targets)

    def _is_restored(self, fault, name):
        if fault.kind not in (Kind.KILL, Kind.LEAVE, Kind.REMOVE):
            return True
        event = VOTING_EVENT if name in self.roles.cores else STARTED_EVENT
        return self.fleet.processes[name].count(event) > 0

    def find_dead(self):
        """Names of processes that exited without having been stopped by the injector."""
        return [
            name
            for name in self.fleet.processes
            if name not in self.stopped and not self.fleet.is_running(name)
        ]

    def _list_runners(self, fault):
        if fault.kind in (Kind.LEAVE, Kind.REMOVE):
            self.fleet.list_runners()

    def _router_address(self, name):
        return self.fleet.calls_address(name) if name in self.roles.edges else name

    def _kill(self, fault, name):
        self.stopped.add(name)
        self.fleet.set_absent(name, True)
        self.fleet.kill(name)
        self.note("killed", node=name, address=self._router_address(name))

    def _restart(self, fault, name):
        self.fleet.run_again(name)
        self.fleet.set_absent(name, False)
        self.stopped.discard(name)

    def _pause(self, fault, name):
        self.fleet.freeze(name)
        self.note("frozen", node=name, address=self._router_address(name))

    def _resume(self, fault, name):
        self.fleet.wake(name)
        self.note("woken", node=name, address=self._router_address(name))

    def _leave(self, fault, name):
        self.fleet.listed[name] = {**self.fleet.listed[name], "state": "leaving"}
        self.clock.call_in(LEAVING_NOTICE_US, lambda: self._stop_after_notice(name))

    def _stop_after_notice(self, name):
        self.stopped.add(name)
        self.fleet.processes[name].stop()
        self.fleet.set_absent(name, True)
        del self.fleet.listed[name]
        self.fleet.list_runners()

    def _remove(self, fault, name):
        self._kill(fault, name)
        del self.fleet.listed[name]

    def _relist(self, fault, name):
        self.fleet.kill(name)
        self._restart(fault, name)
        self.fleet.listed[name] = self.fleet.first_listed[name]

    def _disturb_link(self, fault, name):
        self.fleet.relays[(name, fault.link)].set_mode(LINK_MODES[fault.kind], fault.delay_us)
        if fault.kind is Kind.HOLD and fault.link is Link.CALLS:
            self.note("frozen", node=name, address=self._router_address(name))

    def _restore_link(self, fault, name):
        self.fleet.relays[(name, fault.link)].set_mode(Mode.PASS)
        if fault.kind is Kind.HOLD and fault.link is Link.CALLS:
            self.note("woken", node=name, address=self._router_address(name))
