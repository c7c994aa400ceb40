"""The two updates of a lease's register, each conditional on its current record."""

from typing import Any

from linkhaven.consensus import Outcome, UpdateAction

from .records import LeaseRecord, Version, read_record, write_record

Step = tuple[UpdateAction, Any]
"""The result of an update: an `UpdateAction`, and the new value or the conflicting one."""


class Acquisition:
    """Replaces the record of the expected version by a new or renewed one."""

    __slots__ = ("wanted", "expected")

    def __init__(self, wanted: LeaseRecord, expected: Version | None) -> None:
        """`expected` is None if the register was never written."""
        self.wanted = wanted
        self.expected = expected

    def step(self, value: Any) -> Step:
        """Apply the update; a record set by an earlier attempt of this proposal is kept."""
        record = read_record(value)
        if record == self.wanted:
            return UpdateAction.KEEP, None
        if (record and record.version) != self.expected:
            return UpdateAction.STOP, value
        return UpdateAction.SET, write_record(self.wanted)

    def is_committed(self, outcome: Outcome, value: Any) -> bool:
        """Whether a proposal's outcome means that the wanted record was committed."""
        return outcome == Outcome.CHOSEN and read_record(value) == self.wanted


class Release:
    """Clears the holder if that node still holds the lease under that fencing token."""

    __slots__ = ("holder", "fencing_token")

    def __init__(self, holder: str, fencing_token: int) -> None:
        """Release the lease that `holder` holds under `fencing_token`."""
        self.holder = holder
        self.fencing_token = fencing_token

    def step(self, value: Any) -> Step:
        """Apply the update; another holder's record is left unchanged."""
        record = read_record(value)
        if (
            record is None
            or record.fencing_token != self.fencing_token
            or record.holder != self.holder
        ):
            return UpdateAction.STOP, value
        vacant = LeaseRecord(None, self.fencing_token, record.renewal + 1, record.actions)
        return UpdateAction.SET, write_record(vacant)
