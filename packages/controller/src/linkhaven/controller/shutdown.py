"""Graceful shutdown: release the leases, hand over the replica, then leave the membership.

| state | until | next |
| --- | --- | --- |
| `RUNNING` | `begin` | `DRAINING` |
| `DRAINING` | the replica is handed over, the leases are released (or in time-out) | `LEFT` |
| `LEFT` | the process ends | |

A lease that can't be released runs out by itself, so its release is waited for only so long; the
hand-over has a bound of its own.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

from linkhaven.runtime import Node

RELEASE_TIMEOUT_US = 400_000
"""How long the release of the leases is waited for."""


class ShutdownState(Enum):
    """How far the shutdown has come."""

    RUNNING = "running"
    DRAINING = "draining"
    LEFT = "left"


class ReleasableLease(Protocol):
    """A lease that can be given up before it runs out."""

    def release(self, done: Callable[[], None]) -> None:
        """Give it up; `done` once the register has that, or at once where it isn't held."""


class HandOver(Protocol):
    """Hands this replica over to another node."""

    def begin(self, done: Callable[[], None]) -> None:
        """Begin; `done` once another node has it, or nobody can take it in time."""


class Leaver(Protocol):
    """A member that can leave."""

    def send_leave(self) -> None:
        """Tell the others that this node leaves."""


class GracefulShutdown:
    """Ends the work of this node in order, and reports when the process may end."""

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
        """Nothing ends yet."""
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
        """Begin to end; `on_drained` is called once, when the process may end."""
        self.state = ShutdownState.DRAINING
        self.node.ports.log(1002, running=0)
        self.on_drained = on_drained
        self.release_until_us = self.node.now_us() + RELEASE_TIMEOUT_US
        self.unreleased = set(self.leases)
        for name, lease in self.leases.items():
            lease.release(lambda name=name: self.on_released(name))  # type: ignore[misc]
        self.hand_over.begin(self.on_handed_over)

    def on_released(self, name: str) -> None:
        """The lease of this role is free for a successor."""
        self.unreleased.discard(name)
        self._leave_if_done()

    def on_handed_over(self) -> None:
        """The replica is another node's, or nobody could take it."""
        self.is_handed_over = True
        self._leave_if_done()

    def tick(self, now_us: int) -> None:
        """Wait no longer than its bound for the release of the leases."""
        if self.state is ShutdownState.DRAINING and now_us >= self.release_until_us:
            self._leave_if_done()

    def _is_waiting_for_release(self) -> bool:
        return bool(self.unreleased) and self.node.now_us() < self.release_until_us

    def _leave_if_done(self) -> None:
        """Leave the membership last: until then others reach this node for the hand-over."""
        if not self.is_handed_over or self._is_waiting_for_release():
            return
        on_drained, self.on_drained = self.on_drained, None
        if on_drained is None:
            return
        self.state = ShutdownState.LEFT
        self.membership.send_leave()
        on_drained()
