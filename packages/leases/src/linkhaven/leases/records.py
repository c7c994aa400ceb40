"""The record of a lease: what its register holds, on the wire and on the replicas' disks.

Only this module binds the names of the code to those in the register: the key of a role starts
with `duty/`, and the fencing token is spelled `fence`.
"""

from typing import Any

import msgspec

KEY_PREFIX = "duty/"
"""Where the registers of leases stand among the keys of the core."""

Version = tuple[int, int]
"""A record's fencing token and renewal count, which order the records of one lease."""

NEVER_HELD: Version = (0, 0)
"""The version of a register that was never written."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Who holds the lease; compared by fencing token and renewal, which only rise."""

    holder: str | None
    """The name of the node that holds the lease, or None once it released it."""

    fencing_token: int = msgspec.field(name="fence")
    """One higher with each new holder; runners refuse orders under lower ones."""

    renewal: int
    """How often the holder renewed the lease under this token."""

    actions: int | None = None
    """How many actions all holders announced; None by a version that doesn't announce."""

    @property
    def version(self) -> Version:
        """What tells a newer record from an older one."""
        return (self.fencing_token, self.renewal)


def lease_key(role: str) -> str:
    """Return the key of the register that holds the lease of a role."""
    return KEY_PREFIX + role


def read_record(value: Any) -> LeaseRecord | None:
    """Return the record that a register holds, or None where it was never written.

    Raises `msgspec.ValidationError` where the value is no lease record.
    """
    return None if value is None else msgspec.convert(value, LeaseRecord)


def write_record(record: LeaseRecord) -> dict[str, Any]:
    """Return the register's value for a record; versions that don't announce write no count."""
    document = msgspec.to_builtins(record)
    if record.actions is None:
        del document["actions"]
    return document
