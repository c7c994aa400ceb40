"""One member of the fleet as this node knows it."""

from enum import Enum

from .messages import MemberRecord


class MemberState(Enum):
    """What this node takes a member for.

    | state | most watchers suspect it | most don't | it leaves | it speaks for itself |
    | --- | --- | --- | --- | --- |
    | ALIVE | FAILED | | LEFT | |
    | FAILED | | ALIVE | LEFT | |
    | LEFT | | LEFT_CLEARED | LEFT | FAILED |
    | LEFT_CLEARED | LEFT | | LEFT | ALIVE |

    A new incarnation begins ALIVE.
    """

    ALIVE = "alive"
    FAILED = "failed"
    """Most of its watchers that can be heard from suspect it."""

    LEFT = "left"
    """It said that it stops."""

    LEFT_CLEARED = "left_cleared"
    """It left, and a suspicion that its watchers held was withdrawn after that."""


# Bound here since looking a state up in its Enum costs more than the comparison that needs it.
ALIVE, FAILED = MemberState.ALIVE, MemberState.FAILED
LEFT, LEFT_CLEARED = MemberState.LEFT, MemberState.LEFT_CLEARED

SUSPECTED = {ALIVE: FAILED, LEFT_CLEARED: LEFT}
CLEARED = {FAILED: ALIVE, LEFT: LEFT_CLEARED}
RETURNED = {LEFT: FAILED, LEFT_CLEARED: ALIVE}


class Member:
    """One incarnation of a member, with what this node heard of it and from it.

    Times are this node's, in microseconds, None where nothing happened yet:
    `last_heartbeat_us` while this node watches it, `last_message_us` of any kind, `probe_sent_us`.
    `suspicions` has what each watcher said, by its name; `down_us` is when it failed or left.
    """

    __slots__ = (
        "name",
        "address",
        "kind",
        "zone",
        "replica_id",
        "replica_incarnation",
        "incarnation",
        "configuration_version",
        "protocol_version",
        "state",
        "down_us",
        "suspicions",
        "last_heartbeat_us",
        "last_message_us",
        "probe_sent_us",
    )

    def __init__(self, name: str, incarnation: int) -> None:
        """Alive, and not heard yet."""
        self.name = name
        self.incarnation = incarnation
        self.address = self.kind = self.zone = self.replica_id = ""
        self.replica_incarnation = 0
        self.configuration_version = 0
        self.protocol_version: int | None = None
        self.state = ALIVE
        self.down_us = 0
        self.suspicions: dict[str, bool] = {}
        self.last_heartbeat_us: int | None = None
        self.last_message_us: int | None = None
        self.probe_sent_us: int | None = None

    @property
    def is_up(self) -> bool:
        """Whether its watchers take it for running, be it that it left."""
        return self.state is ALIVE or self.state is LEFT_CLEARED

    @property
    def has_left(self) -> bool:
        """Whether it stopped on purpose."""
        return self.state is LEFT or self.state is LEFT_CLEARED

    @property
    def is_live(self) -> bool:
        """Whether it is up and has not left."""
        return self.state is ALIVE

    def fail(self, now_us: int) -> None:
        """Most of its watchers suspect it."""
        self.state = SUSPECTED[self.state]
        self.down_us = now_us

    def recover(self) -> None:
        """Most of its watchers no longer suspect it."""
        self.state = CLEARED[self.state]
        self.down_us = 0

    def leave(self, now_us: int) -> None:
        """It stopped on purpose."""
        self.state = LEFT
        self.down_us = now_us

    def come_back(self) -> None:
        """It speaks again after it left, in the same incarnation."""
        self.state = RETURNED[self.state]

    def to_record(self) -> MemberRecord:
        """Return what others are told of this member."""
        return MemberRecord(
            self.name,
            self.incarnation,
            self.address,
            self.kind,
            self.zone,
            self.replica_id,
            self.replica_incarnation,
            self.configuration_version,
            self.is_up,
        )
