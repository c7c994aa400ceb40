"""The runner list as its publisher keeps it: the runners, and the serials of its changes."""

from typing import Any

from linkhaven.runner import Runner
from linkhaven.runtime import Table

from .runner_list_delta import RunnerListDelta

SERIALS_PER_INCARNATION = 1 << 32
"""So many serials are there for one start of a replica."""


class RunnerList:
    """Owns the runners and the serial of the list.

    `serial` rises with each list and report that was taken, `changed_serial` is that of the last
    one that said anything new.
    """

    __slots__ = ("runners", "serial", "changed_serial", "delta")

    def __init__(self) -> None:
        """No runner is known."""
        self.runners: Any = Table()
        self.serial = 0
        self.changed_serial = 0
        self.delta = RunnerListDelta()

    def start_serials_at(self, incarnation: int) -> None:
        """Each start of a replica publishes higher serials than those before."""
        self.serial = max(self.serial, incarnation * SERIALS_PER_INCARNATION)

    def begin(self) -> None:
        """A list without a former one: a router that holds another one is given the whole."""
        self.runners.clear()
        self.serial += 1
        self.changed_serial = self.serial
        self.delta.begin(self.serial)

    def records(self) -> dict[str, dict[str, Any]]:
        """The records by name, to compare a later list with."""
        return {name: runner.as_record(0) for name, runner in self.runners.items()}

    def note_change(self, runner: Runner) -> None:
        """What is known of the runner changed, other than by its report."""
        self.serial += 1
        self.changed_serial = self.serial
        self.delta.note_record(runner.name, self.serial)

    def note_list(self, before: dict[str, dict[str, Any]]) -> None:
        """The platform's list was taken; `before`: the `records` from before."""
        self.serial += 1
        if self.delta.note_list(before, self.runners, self.serial):
            self.changed_serial = self.serial

    def note_report(self, before: dict[str, Any] | None, runner: Runner) -> None:
        """The runner's report was taken; `before`: its record from before, if it had reported."""
        self.serial += 1
        if self.delta.note_report(before, runner, self.serial):
            self.changed_serial = self.serial

    def document(self, known_serial: int | None, age_us: int, now_us: int) -> dict[str, Any]:
        """The list as routers are given it.

        The whole; for a router that holds a serial of this list only what changed since, or only
        the list's age where nothing did.
        """
        if known_serial is None or not self.delta.is_known(known_serial, self.serial):
            listed = [runner for runner in self.runners.values() if runner.is_listed]
            records = [runner.as_record(now_us) for runner in listed]
            return {"serial": self.serial, "age_us": age_us, "runners": records}
        if self.changed_serial <= known_serial:
            return {"serial": known_serial, "age_us": age_us}
        changed = self.delta.since(known_serial, self.runners, now_us)
        return {"serial": self.serial, "age_us": age_us, "since": known_serial, **changed}
