"""The singleton roles of the control plane: tasks that one node at a time runs under a lease.

The values are the stored names, used in the keys of the leases, in log events, in messages to
routers and in the status. They are mapped to the code's names here.
"""

from collections.abc import Mapping
from typing import Any, Protocol

ROLE_BALANCER = "steward"
"""Assigns the prefill and decode roles of runners."""

QUOTA_ALLOCATOR = "bursar"
"""Divides the quotas of groups among the routers."""

RUNNER_LIST = "roster"
"""Maintains the list of runners and publishes it to the routers."""

SINGLETON_ROLES = (ROLE_BALANCER, QUOTA_ALLOCATOR, RUNNER_LIST)
"""All roles, in the order in which candidates are ranked."""


class RankedLease(Protocol):
    """A lease whose candidates try to acquire it in the order of their ranks."""

    def set_rank(self, rank: int) -> None:
        """Set how many other candidates come first."""


class TokenObserver(Protocol):
    """A lease that learns which fencing tokens were issued."""

    def observe_fencing_token(self, fencing_token: float) -> None:
        """Ensure that the next token issued is above this one."""


def rank_candidates(
    leases: Mapping[str, RankedLease], replicas: tuple[str, ...], own: str | None
) -> None:
    """Rank each replica first for a different role, so that the roles spread over the nodes."""
    own_index = replicas.index(own) if own else 0
    for index, lease in enumerate(leases.values()):
        lease.set_rank((index - own_index) % len(replicas))


class FencingTokenObserver:
    """Passes the fencing tokens that routers have seen to the leases.

    Otherwise a core that lost its disks would issue old tokens again, and runners would reject its
    orders (`test_a_new_holder_has_a_fencing_token_above_any_that_was_observed`).
    """

    __slots__ = ("leases",)

    def __init__(self, leases: Mapping[str, TokenObserver]) -> None:
        """`leases`: the leases by the stored names of their roles."""
        self.leases = leases

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """Pass on the highest token of each role that a router has seen."""
        for name, fencing_token in message["fences"].items():
            self.leases[name].observe_fencing_token(fencing_token)
