"""Deltas of the runner list: which serial of the list last changed each runner.

A router that holds a serial of the list is given only what changed since. Invariant: the list that
deltas lead to is the whole list (`test_differences_lead_to_the_same_list_as_the_whole`).
"""

from collections.abc import Mapping
from typing import Any

from linkhaven.runner import Runner

FIGURES = frozenset(("queued", "running", "kv_used", "kv_total", "age_us"))
"""The fields of a runner's record that change with each report."""

MAX_GONE = 256
"""So many names that left the list are remembered."""


def _standing(record: Mapping[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in record.items() if name not in FIGURES}


def _figures(record: Mapping[str, Any]) -> list[Any]:
    return [record[name] for name in ("queued", "running", "kv_used", "kv_total")]


class RunnerListDelta:
    """Owns the serials at which each runner's record and figures last changed, or it left.

    `whole`: the oldest serial that a delta can build on. `newest`: the serial of the last change
    of more than figures.
    """

    __slots__ = ("whole", "records", "figures", "gone", "newest")

    def __init__(self) -> None:
        """Nothing is known yet: no delta can be given."""
        self.begin(0)

    def begin(self, serial: int) -> None:
        """A list that has nothing in common with those before it."""
        self.whole = self.newest = serial
        self.records: dict[str, int] = {}
        self.figures: dict[str, int] = {}
        self.gone: dict[str, int] = {}

    def is_known(self, known_serial: int, serial: int) -> bool:
        """Whether the delta from the serial that a router holds to this one can be given."""
        return self.whole <= known_serial <= serial

    def note_record(self, name: str, serial: int) -> None:
        """The runner's record changed otherwise than by its figures."""
        self.records[name] = self.newest = serial

    def note_list(
        self, before: Mapping[str, Mapping[str, Any]], runners: Mapping[str, Runner], serial: int
    ) -> bool:
        """Compare a new list with the records before it; whether anything changed."""
        is_changed = False
        for name, runner in runners.items():
            record = before.get(name)
            if record is None or _standing(record) != _standing(runner.as_record(0)):
                self.note_record(name, serial)
                is_changed = True
        for name in runners:
            self.gone.pop(name, None)
        for name in [name for name in before if name not in runners]:
            for serials in (self.records, self.figures):
                serials.pop(name, None)
            self.gone[name] = self.newest = serial
            is_changed = True
        if len(self.gone) > MAX_GONE:
            self._forget_gone()
        return is_changed

    def _forget_gone(self) -> None:
        """Who holds a serial older than what is forgotten here is given the whole list."""
        oldest = sorted(self.gone.items(), key=lambda entry: entry[1])
        for name, serial in oldest[: MAX_GONE // 2]:
            del self.gone[name]
            self.whole = max(self.whole, serial)

    def note_report(self, before: Mapping[str, Any] | None, runner: Runner, serial: int) -> bool:
        """Compare a report with the one before it; whether anything changed.

        One that says nothing new is given beside the next change, for its age.
        """
        after = runner.as_record(0)
        self.figures[runner.name] = serial
        if before is None or _standing(before) != _standing(after):
            self.note_record(runner.name, serial)
            return True
        return _figures(before) != _figures(after)

    def since(
        self, known_serial: int, runners: Mapping[str, Runner], now_us: int
    ) -> dict[str, list[Any]]:
        """The delta for a router that holds this serial: records, figures and names that left."""
        records, figures = [], []
        for name, runner in runners.items():
            if self.records.get(name, 0) > known_serial:
                records.append(runner.as_record(now_us))
            elif self.figures.get(name, 0) > known_serial and runner.reported_us is not None:
                figures.append(runner.as_figures(now_us))
        gone = [name for name, serial in self.gone.items() if serial > known_serial]
        return {"runners": records, "figures": figures, "gone": gone}
