"""What a lease needs of the node around it, and whom it tells of its events."""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.consensus import Outcome, UpdateAction


class LeaseListener(Protocol):
    """Hears when this node begins and ends to play a role."""

    def on_lease_won(self, role: str) -> None:
        """This node holds the lease under a new fencing token."""

    def on_lease_lapsed(self, role: str) -> None:
        """This node no longer holds the lease: nothing more may be done under its token."""


class SilentListener:
    """Listens to no event of a lease."""

    __slots__ = ()

    def on_lease_won(self, role: str) -> None:
        """Do nothing."""

    def on_lease_lapsed(self, role: str) -> None:
        """Do nothing."""


class LiveIncarnations(Protocol):
    """Knows which start of each node runs; the membership does."""

    def live_incarnation(self, name: str) -> int | None:
        """Return the node's running incarnation, 0 where it is down, None where it is unknown."""


class Proposer(Protocol):
    """Changes a register by a read-modify-write that a majority of the replicas commits."""

    def propose(
        self,
        key: str,
        step: Callable[[Any], tuple[UpdateAction, Any]],
        done: Callable[[Outcome, Any], None],
        *,
        is_patient: bool = ...,
    ) -> None:
        """Apply `step` to the register's value, then call `done` with the outcome and the value."""


class Register(Protocol):
    """What one replica holds for a key."""

    value: Any


class Replica(Protocol):
    """This node's replica of the registers."""

    is_voting: bool
    votes_from_us: int

    def register_state(self, key: str) -> Register:
        """Return the register of a key; its value is None where it was never written."""
