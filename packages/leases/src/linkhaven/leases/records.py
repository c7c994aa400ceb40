"""The record of a lease as its register holds it, on the wire and on the replicas' disks.

Only this module maps names in the code to those in the register: the key of a role starts with
`duty/`, and the fencing token is spelled `fence`.
"""

from typing import Any

import msgspec

KEY_PREFIX = "duty/"
"""Key prefix of the registers that hold leases."""

Version = tuple[int, int]
"""A record's fencing token and renewal count; versions order the records of one lease."""

NEVER_HELD: Version = (0, 0)
"""The version of a register that was never written."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """The holder of a lease; records are ordered by fencing token and renewal, which only rise."""

    holder: str | None
    """The name of the node that holds the lease, or None after it was released."""

    fencing_token: int = msgspec.field(name="fence")
    """Increases by one with each new holder; runners refuse orders under lower tokens."""

    renewal: int
    """How often the holder renewed the lease under this token."""

    actions: int | None = None
    """Actions announced by all holders; None from a software version that doesn't announce."""

    @property
    def version(self) -> Version:
        """The fencing token and renewal, by which records are compared."""
        return (self.fencing_token, self.renewal)


def lease_key(role: str) -> str:
    """Return the key of the register that holds the lease of a role."""
    return KEY_PREFIX + role


def read_record(value: Any) -> LeaseRecord | None:
    """Return the record that a register holds, or None if it was never written.

    Raises `msgspec.ValidationError` if the value isn't a lease record.
    """
    return None if value is None else msgspec.convert(value, LeaseRecord)


def write_record(record: LeaseRecord) -> dict[str, Any]:
    """Return the register's value for a record; `actions` is left out if it is None."""
    document = msgspec.to_builtins(record)
    if record.actions is None:
        del document["actions"]
    return document
