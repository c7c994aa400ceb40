"""One member of the fleet as another one knows it."""

from .messages import MemberRecord


class Member:
    """One start of a member, with what this node heard of it and from it."""

    __slots__ = (
        "name",
        "address",
        "kind",
        "zone",
        "replica_id",
        "replica_incarnation",
        "incarnation",
        "mark",
        "heard_us",
        "spoke_us",
        "probed_us",
        "verdicts",
        "is_up",
        "down_us",
        "has_left",
        "version",
    )

    def __init__(self, name, incarnation):
        """Up, and not heard yet."""
        self.name = name
        self.incarnation = incarnation
        self.address = self.kind = self.zone = self.replica_id = ""
        self.replica_incarnation = 0
        self.mark = 0
        self.heard_us = None
        self.spoke_us = None
        self.probed_us = None
        self.verdicts = {}
        self.is_up = True
        self.down_us = 0
        self.has_left = False
        self.version = None

    def as_member(self):
        """What others are told of this member."""
        return MemberRecord(*self.as_record())

    def as_record(self):
        """The same as a list, for `standing`."""
        return [
            self.name,
            self.incarnation,
            self.address,
            self.kind,
            self.zone,
            self.replica_id,
            self.replica_incarnation,
            self.mark,
            self.is_up,
        ]
