"""One member of the fleet as this node knows it."""

from enum import Enum

from .messages import MemberRecord


class MemberState(Enum):
    """What this node takes a member for.

    | state | most watchers suspect it | most don't | it leaves |
    | --- | --- | --- | --- |
    | ALIVE | FAILED | | LEFT |
    | FAILED | | ALIVE | LEFT |
    | LEFT | | | |

    A new incarnation begins ALIVE. One that left is on its way out, be it that it still speaks
    while it drains; what its watchers say of it counts no more
    (`test_a_member_that_left_stays_so_for_its_whole_incarnation`).
    """

    ALIVE = "alive"
    FAILED = "failed"
    """Most of its watchers that can be heard from suspect it."""

    LEFT = "left"
    """It said that it stops."""


# Bound here since looking a state up in its Enum costs more than the comparison that needs it.
ALIVE, FAILED, LEFT = MemberState.ALIVE, MemberState.FAILED, MemberState.LEFT


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
        """Whether it runs, as far as its watchers know, and has not left."""
        return self.state is ALIVE

    @property
    def has_left(self) -> bool:
        """Whether it stopped on purpose."""
        return self.state is LEFT

    def fail(self, now_us: int) -> None:
        """Most of its watchers suspect it."""
        if self.state is ALIVE:
            self.state = FAILED
            self.down_us = now_us

    def recover(self) -> None:
        """Most of its watchers no longer suspect it."""
        if self.state is FAILED:
            self.state = ALIVE
            self.down_us = 0

    def leave(self, now_us: int) -> None:
        """It stopped on purpose."""
        self.state = LEFT
        self.down_us = now_us

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
