"""One member of the fleet as this node knows it, and its states."""

from enum import Enum

from .messages import MemberRecord


class MemberState(Enum):
    """The state of a member in the view of this node.

    | state | most watchers suspect it | most don't | it leaves |
    | --- | --- | --- | --- |
    | ALIVE | FAILED | | LEFT |
    | FAILED | | ALIVE | LEFT |
    | LEFT | | | |

    A new incarnation begins ALIVE. LEFT is final for an incarnation, even if the member still sends
    messages while it drains, and whatever its watchers report
    (`test_a_member_that_left_stays_so_for_its_whole_incarnation`).
    """

    ALIVE = "alive"
    FAILED = "failed"
    """Most of its reachable watchers suspect it."""

    LEFT = "left"
    """It announced that it stops."""


# Module globals, since looking up an enum member costs more than the comparison that uses it.
ALIVE, FAILED, LEFT = MemberState.ALIVE, MemberState.FAILED, MemberState.LEFT


class Member:
    """One incarnation of a member, with its reported facts and this node's observations.

    Times are on this node's clock, in microseconds. `last_heartbeat_us` (only while this node
    watches it), `last_message_us` (of any type) and `probe_sent_us` are None before the first one.
    `down_us` is when it failed or left, 0 while it is alive. `suspicions` has the last vote of each
    watcher, by the watcher's name.
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
        """Start as alive, with no message received yet."""
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
        """Whether it is alive: it neither failed nor left."""
        return self.state is ALIVE

    @property
    def has_left(self) -> bool:
        """Whether it announced that it stops."""
        return self.state is LEFT

    def fail(self, now_us: int) -> None:
        """Mark an alive member as failed: most of its reachable watchers suspect it."""
        if self.state is ALIVE:
            self.state = FAILED
            self.down_us = now_us

    def recover(self) -> None:
        """Mark a failed member as alive: most of its reachable watchers don't suspect it."""
        if self.state is FAILED:
            self.state = ALIVE
            self.down_us = 0

    def leave(self, now_us: int) -> None:
        """Mark it as left, whatever its state."""
        self.state = LEFT
        self.down_us = now_us

    def to_record(self) -> MemberRecord:
        """Return the record of this member that is sent to others."""
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
