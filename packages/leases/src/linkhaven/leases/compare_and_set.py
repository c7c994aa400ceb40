"""The two changes of a lease's register, each conditional on the record that stands there."""

from typing import Any

from linkhaven.consensus import Outcome, UpdateAction

from .records import LeaseRecord, Version, read_record, write_record

Step = tuple[UpdateAction, Any]
"""What a proposal does with a value: an `UpdateAction`, and the new value or the one found."""


class Acquisition:
    """Sets a holder's record, new or renewed, in place of the record of the expected version."""

    __slots__ = ("wanted", "expected")

    def __init__(self, wanted: LeaseRecord, expected: Version | None) -> None:
        """`expected` is None where the register was never written."""
        self.wanted = wanted
        self.expected = expected

    def step(self, value: Any) -> Step:
        """Apply it; a record that an earlier try of the same proposal set is kept."""
        record = read_record(value)
        if record == self.wanted:
            return UpdateAction.KEEP, None
        if (record and record.version) != self.expected:
            return UpdateAction.STOP, value
        return UpdateAction.SET, write_record(self.wanted)

    def is_committed(self, outcome: Outcome, value: Any) -> bool:
        """Whether the answer of a proposal says that the wanted record was committed."""
        return outcome == Outcome.CHOSEN and read_record(value) == self.wanted


class Vacation:
    """Clears the holder, if the lease is still held by that node under that fencing token."""

    __slots__ = ("holder", "fencing_token")

    def __init__(self, holder: str, fencing_token: int) -> None:
        """Release what `holder` holds under `fencing_token`."""
        self.holder = holder
        self.fencing_token = fencing_token

    def step(self, value: Any) -> Step:
        """Apply it; another holder's record stays."""
        record = read_record(value)
        if (
            record is None
            or record.fencing_token != self.fencing_token
            or record.holder != self.holder
        ):
            return UpdateAction.STOP, value
        vacant = LeaseRecord(None, self.fencing_token, record.renewal + 1, record.actions)
        return UpdateAction.SET, write_record(vacant)
