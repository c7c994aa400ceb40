"""Deltas of the runner list, from the serials at which each runner last changed.

A router that holds the list at some serial is sent only the changes since then. Invariant: applying
the deltas gives the same list as the full list (`test_deltas_give_the_same_list_as_full_lists`).
"""

from collections.abc import Mapping
from typing import Any

from linkhaven.runner import Runner

LOAD_FIELDS = frozenset(("queued", "running", "kv_used", "kv_total", "age_us"))
"""The fields of a runner's record that change with each report: its load and the report's age."""

MAX_REMOVED = 256
"""The maximum number of remembered names of runners that were removed from the list."""


def _without_load(record: Mapping[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in record.items() if name not in LOAD_FIELDS}


def _load_values(record: Mapping[str, Any]) -> list[Any]:
    return [record[name] for name in ("queued", "running", "kv_used", "kv_total")]


class RunnerListDelta:
    """Owns the serials at which each runner's record or load last changed or it was removed.

    `oldest_base`: the oldest serial that a delta can build on. `record_serials`, `load_serials` and
    `removed`: by runner name, the serial of the last such change. `last_record_change`: the serial
    of the last change other than of load.
    """

    __slots__ = ("oldest_base", "record_serials", "load_serials", "removed", "last_record_change")

    def __init__(self) -> None:
        """Start at serial 0 without any runner."""
        self.begin(0)

    def begin(self, serial: int) -> None:
        """Start a new list; no delta can build on an earlier one."""
        self.oldest_base = self.last_record_change = serial
        self.record_serials: dict[str, int] = {}
        self.load_serials: dict[str, int] = {}
        self.removed: dict[str, int] = {}

    def is_known(self, known_serial: int, serial: int) -> bool:
        """Whether there is a delta from `known_serial`, which a router holds, to `serial`."""
        return self.oldest_base <= known_serial <= serial

    def note_record(self, name: str, serial: int) -> None:
        """Record that a runner's record changed in more than its load."""
        self.record_serials[name] = self.last_record_change = serial

    def note_list(
        self, before: Mapping[str, Mapping[str, Any]], runners: Mapping[str, Runner], serial: int
    ) -> bool:
        """Record the differences between a new list and the former records; whether any exist."""
        is_changed = False
        for name, runner in runners.items():
            record = before.get(name)
            if record is None or _without_load(record) != _without_load(runner.as_record(0)):
                self.note_record(name, serial)
                is_changed = True
        for name in runners:
            self.removed.pop(name, None)
        for name in [name for name in before if name not in runners]:
            for serials in (self.record_serials, self.load_serials):
                serials.pop(name, None)
            self.removed[name] = self.last_record_change = serial
            is_changed = True
        if len(self.removed) > MAX_REMOVED:
            self._forget_removed()
        return is_changed

    def _forget_removed(self) -> None:
        """Forget the older half; routers that hold an older serial are sent the full list."""
        oldest = sorted(self.removed.items(), key=lambda entry: entry[1])
        for name, serial in oldest[: MAX_REMOVED // 2]:
            del self.removed[name]
            self.oldest_base = max(self.oldest_base, serial)

    def note_report(self, before: Mapping[str, Any] | None, runner: Runner, serial: int) -> bool:
        """Record the changes in a runner's report; whether anything but its age changed.

        An unchanged report is still included in the next delta, because of its age.
        """
        after = runner.as_record(0)
        self.load_serials[runner.name] = serial
        if before is None or _without_load(before) != _without_load(after):
            self.note_record(runner.name, serial)
            return True
        return _load_values(before) != _load_values(after)

    def since(
        self, known_serial: int, runners: Mapping[str, Runner], now_us: int
    ) -> dict[str, list[Any]]:
        """The delta for a router at `known_serial`: changed records, loads and removed names."""
        records, figures = [], []
        for name, runner in runners.items():
            if self.record_serials.get(name, 0) > known_serial:
                records.append(runner.as_record(now_us))
            elif self.load_serials.get(name, 0) > known_serial and runner.reported_us is not None:
                figures.append(runner.as_figures(now_us))
        removed = [name for name, serial in self.removed.items() if serial > known_serial]
        return {"runners": records, "figures": figures, "gone": removed}
