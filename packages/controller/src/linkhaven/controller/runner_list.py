"""The runner list of its publisher: the runners and the serials of changes."""

from typing import Any

from linkhaven.runner import Runner
from linkhaven.runtime import Table

from .runner_list_delta import RunnerListDelta

SERIALS_PER_INCARNATION = 1 << 32
"""The number of serials reserved for each start of a replica."""


class RunnerList:
    """Owns the runners and the serial of the list.

    `serial` increases with each list, report or other change applied; `changed_serial` is that of
    the last one that contained a change.
    """

    __slots__ = ("runners", "serial", "changed_serial", "delta")

    def __init__(self) -> None:
        """Start with an empty list."""
        self.runners: Any = Table()
        self.serial = 0
        self.changed_serial = 0
        self.delta = RunnerListDelta()

    def start_serials_at(self, incarnation: int) -> None:
        """Continue with serials above those of all earlier starts of this replica."""
        self.serial = max(self.serial, incarnation * SERIALS_PER_INCARNATION)

    def begin(self) -> None:
        """Start a new, empty list; routers that hold an earlier one are sent the full list."""
        self.runners.clear()
        self.serial += 1
        self.changed_serial = self.serial
        self.delta.begin(self.serial)

    def records(self) -> dict[str, dict[str, Any]]:
        """The runners' records by name, for comparison with a later list."""
        return {name: runner.as_record(0) for name, runner in self.runners.items()}

    def note_change(self, runner: Runner) -> None:
        """Record a change of the runner that is not from its report."""
        self.serial += 1
        self.changed_serial = self.serial
        self.delta.note_record(runner.name, self.serial)

    def note_list(self, before: dict[str, dict[str, Any]]) -> None:
        """Record that the platform's list was applied; `before`: the former `records()`."""
        self.serial += 1
        if self.delta.note_list(before, self.runners, self.serial):
            self.changed_serial = self.serial

    def note_report(self, before: dict[str, Any] | None, runner: Runner) -> None:
        """Record that a report was applied; `before`: the former record, None for the first."""
        self.serial += 1
        if self.delta.note_report(before, runner, self.serial):
            self.changed_serial = self.serial

    def document(self, known_serial: int | None, age_us: int, now_us: int) -> dict[str, Any]:
        """The list in the form that routers receive.

        This is the full list, or for a router at a known serial of this list only the changes since
        then, or only the list's age if there are none.
        """
        if known_serial is None or not self.delta.is_known(known_serial, self.serial):
            listed = [runner for runner in self.runners.values() if runner.is_listed]
            records = [runner.as_record(now_us) for runner in listed]
            return {"serial": self.serial, "age_us": age_us, "runners": records}
        if self.changed_serial <= known_serial:
            return {"serial": known_serial, "age_us": age_us}
        changed = self.delta.since(known_serial, self.runners, now_us)
        return {"serial": self.serial, "age_us": age_us, "since": known_serial, **changed}
