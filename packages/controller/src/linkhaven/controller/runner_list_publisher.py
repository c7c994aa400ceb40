"""Publishes the runner list: the part of a watch response by which routers place requests.

The list carries a rank: the fencing token of the lease on `RUNNER_LIST`. While that lease's holder
is suspected to be down, each replica publishes its own list as a deputy, with a rank between that
token and the next one. A router accepts only increasing ranks, so it follows one publisher at a
time, and the new lease holder as soon as there is one (`tests/test_coordination.py`).
"""

from collections.abc import Mapping, Sequence
from typing import Any

from linkhaven.consensus import Replica
from linkhaven.leases import Lease

from .figure_relay import FigureRelay
from .role_balancer import RoleBalancer
from .runner_discovery import RunnerDiscovery
from .singleton_roles import ROLE_BALANCER, RUNNER_LIST

DEPUTY_RANKS: Mapping[str, float] = {"a": 0.3, "b": 0.5, "c": 0.7, "d": 0.8, "e": 0.9}
"""By replica, the amount by which a deputy's rank exceeds the last holder's fencing token."""

NOTHING_SEEN = (0, 0)
"""The rank and serial of a router that has received nothing yet."""


class RunnerListPublisher:
    """Adds the runner list, the relayed figures and the role changes to watch responses."""

    __slots__ = ("replica", "leases", "discovery", "balancer", "relays")

    def __init__(
        self,
        replica: Replica,
        leases: Mapping[str, Lease],
        discovery: RunnerDiscovery,
        balancer: RoleBalancer,
        relays: Sequence[FigureRelay],
    ) -> None:
        """Publish the state of `discovery` and `balancer`, and the sums of `relays`."""
        self.replica = replica
        self.leases = leases
        self.discovery = discovery
        self.balancer = balancer
        self.relays = relays

    def add_watch_sections(self, request: dict[str, Any], response: dict[str, Any]) -> None:
        """Add the list or its changes if this node publishes it, and the role changes."""
        rank = self._rank()
        if rank is not None and self.discovery.is_ready():
            known_rank, known_serial = request.get(RUNNER_LIST) or (None, None)
            for relay in self.relays:
                relay.add_watch_sections(request, response)
            response[RUNNER_LIST] = {
                "fence": rank,
                **self.discovery.document(known_serial if known_rank == rank else None),
            }
        self.balancer.orders.add_watch_sections(response)

    def is_urgent(self, request: dict[str, Any]) -> bool:
        """Whether the router hasn't yet received some change of roles or of the runner list."""
        lease = self.leases[ROLE_BALANCER]
        newest = (lease.fencing_token, self.balancer.orders.serial)
        if lease.is_held() and newest > tuple(request.get(ROLE_BALANCER) or NOTHING_SEEN):
            return True
        rank = self._rank()
        if rank is None or not self.discovery.is_ready():
            return False
        return (rank, self.discovery.runner_list.delta.last_record_change) > tuple(
            request.get(RUNNER_LIST) or NOTHING_SEEN
        )

    def _rank(self) -> float | None:
        """The rank of this node's list, None if it must not publish one."""
        lease = self.leases[RUNNER_LIST]
        if lease.is_held():
            return lease.fencing_token
        if not lease.is_holder_suspected():
            return None
        last = lease.record()
        return (last.fencing_token if last else 0) + DEPUTY_RANKS[self.replica.replica_id]
