"""The singleton roles of the control plane: work that one node at a time does, under a lease.

The stored names stand in the keys of the leases, in log events, in messages to routers and in the
status; they are bound to the code's names here.
"""

from collections.abc import Mapping
from typing import Any, Protocol

ROLE_BALANCER = "steward"
"""Orders the prefill and decode roles of runners."""

QUOTA_ALLOCATOR = "bursar"
"""Divides the quotas of groups over the routers."""

RUNNER_LIST = "roster"
"""Keeps the list of runners and hands it to the routers."""

SINGLETON_ROLES = (ROLE_BALANCER, QUOTA_ALLOCATOR, RUNNER_LIST)
"""All roles, in the order in which nodes are ranked for them."""


class RankedLease(Protocol):
    """A lease whose candidates ask for it one after another."""

    def set_rank(self, rank: int) -> None:
        """How many other nodes go first."""


class TokenObserver(Protocol):
    """A lease that learns which fencing tokens were given out."""

    def observe_fencing_token(self, fencing_token: float) -> None:
        """Somebody was told this token: the next one must be above it."""


def rank_candidates(
    leases: Mapping[str, RankedLease], replicas: tuple[str, ...], own: str | None
) -> None:
    """Give each replica the first rank for another role, so that roles spread over the nodes."""
    own_index = replicas.index(own) if own else 0
    for index, lease in enumerate(leases.values()):
        lease.set_rank((index - own_index) % len(replicas))


class FencingTokenObserver:
    """Has each lease learn the fencing tokens that a router has seen.

    Without it a core that lost its disks would give out a token anew, and runners would refuse its
    orders (`test_a_new_holder_has_a_fencing_token_above_any_that_was_observed`).
    """

    __slots__ = ("leases",)

    def __init__(self, leases: Mapping[str, TokenObserver]) -> None:
        """Observe for these leases, by the stored names of their roles."""
        self.leases = leases

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """A router says the highest token that it has seen of each role."""
        for name, fencing_token in message["fences"].items():
            self.leases[name].observe_fencing_token(fencing_token)
