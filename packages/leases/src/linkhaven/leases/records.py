"""The record of a lease, as it stands in the register and on the disks of its seats."""

import msgspec


class LeaseRecord(msgspec.Struct, frozen=True):
    """Who holds a duty; compared by fence and renewal, which only rise."""

    holder: str | None
    """The name of the node that holds the duty, or None once it released the lease."""

    fencing_token: int = msgspec.field(name="fence")
    """The fencing token: one higher with each new holder; runners refuse lower ones."""

    renewal: int
    """How often the holder renewed under this fence."""

    actions: int | None = None
    """How many actions all holders have announced; None by a version that doesn't announce."""

    @property
    def version(self):
        """What tells a newer record from an older one."""
        return (self.fencing_token, self.renewal)


def read_record(value):
    """The record that a register's value holds, or None where the key was never written."""
    return None if value is None else msgspec.convert(value, LeaseRecord)


def write_record(record):
    """The register's value for a record."""
    document = msgspec.to_builtins(record)
    if record.actions is None:
        del document["actions"]
    return document
