"""Graceful shutdown: release the leases, hand over the replica, then leave the membership.

| state | until | next |
| --- | --- | --- |
| `RUNNING` | `begin` | `DRAINING` |
| `DRAINING` | the replica is handed over and the leases are released (or time out) | `LEFT` |
| `LEFT` | the process ends | |

A lease that can't be released expires by itself, so the wait for its release is limited to
`RELEASE_TIMEOUT_US`. The hand-over has its own time limit.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

from linkhaven.runtime import Node

RELEASE_TIMEOUT_US = 400_000
"""How long to wait for the release of the leases."""


class ShutdownState(Enum):
    """The state of the shutdown."""

    RUNNING = "running"
    DRAINING = "draining"
    LEFT = "left"


class ReleasableLease(Protocol):
    """A lease that can be given up before it expires."""

    def release(self, done: Callable[[], None]) -> None:
        """Give it up; calls `done` once the register records that, or at once if it isn't held."""


class HandOver(Protocol):
    """Hands this replica over to another node."""

    def begin(self, done: Callable[[], None]) -> None:
        """Begin; calls `done` once another node has the replica or none can take it in time."""


class Leaver(Protocol):
    """A member of the fleet that can leave it."""

    def send_leave(self) -> None:
        """Notify the other members that this node leaves."""


class GracefulShutdown:
    """Runs the steps of a graceful shutdown, and reports when the process may exit."""

    __slots__ = (
        "node",
        "leases",
        "hand_over",
        "membership",
        "state",
        "on_drained",
        "release_until_us",
        "unreleased",
        "is_handed_over",
    )

    def __init__(
        self,
        node: Node,
        leases: Mapping[str, ReleasableLease],
        hand_over: HandOver,
        membership: Leaver,
    ) -> None:
        """Start in the state `RUNNING`."""
        self.node = node
        self.leases = leases
        self.hand_over = hand_over
        self.membership = membership
        self.state = ShutdownState.RUNNING
        self.on_drained: Callable[[], None] | None = None
        self.release_until_us = 0
        self.unreleased: set[str] = set()
        self.is_handed_over = False

    def begin(self, on_drained: Callable[[], None]) -> None:
        """Begin the shutdown; `on_drained` is called once, when the process may exit."""
        self.state = ShutdownState.DRAINING
        self.node.ports.log(1002, running=0)
        self.on_drained = on_drained
        self.release_until_us = self.node.now_us() + RELEASE_TIMEOUT_US
        self.unreleased = set(self.leases)
        for name, lease in self.leases.items():
            lease.release(lambda name=name: self.on_released(name))  # type: ignore[misc]
        self.hand_over.begin(self.on_handed_over)

    def on_released(self, name: str) -> None:
        """Record that the named lease was released."""
        self.unreleased.discard(name)
        self._leave_if_done()

    def on_handed_over(self) -> None:
        """Record that another node has the replica, or that none could take it."""
        self.is_handed_over = True
        self._leave_if_done()

    def tick(self, now_us: int) -> None:
        """Stop waiting for the release of the leases after the timeout."""
        if self.state is ShutdownState.DRAINING and now_us >= self.release_until_us:
            self._leave_if_done()

    def _is_waiting_for_release(self) -> bool:
        return bool(self.unreleased) and self.node.now_us() < self.release_until_us

    def _leave_if_done(self) -> None:
        """Leave the membership last, since the hand-over needs this node to be reachable."""
        if not self.is_handed_over or self._is_waiting_for_release():
            return
        on_drained, self.on_drained = self.on_drained, None
        if on_drained is None:
            return
        self.state = ShutdownState.LEFT
        self.membership.send_leave()
        on_drained()
