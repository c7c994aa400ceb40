"""A node's view of itself and of the core: for `core status`, `standing` and `seat restore`.

The keys of these answers are the names that operators see. They are mapped to the code's names
here.
"""

from collections.abc import Mapping
from typing import Any

from msgspec import to_builtins

from linkhaven.api import ServiceError
from linkhaven.configuration import ConfigurationSnapshot, WatchServer
from linkhaven.consensus import Replica
from linkhaven.leases import Lease, LeaseRecord, ShardLeases
from linkhaven.membership import Membership
from linkhaven.runtime import Node

from .messages import MemberStatus
from .role_balancer import RoleBalancer
from .runner_discovery import RunnerDiscovery
from .shutdown import GracefulShutdown, ShutdownState

NO_LEASE = LeaseRecord(holder=None, fencing_token=0, renewal=0)
"""Shown for a role that no node has ever held."""


class NodeStatus:
    """Describes this node as a member of the core."""

    __slots__ = (
        "node",
        "replica",
        "membership",
        "snapshot",
        "watch_server",
        "leases",
        "shard_leases",
        "shutdown",
    )

    def __init__(
        self,
        node: Node,
        replica: Replica,
        membership: Membership,
        snapshot: ConfigurationSnapshot,
        watch_server: WatchServer,
        leases: Mapping[str, Lease],
        shard_leases: ShardLeases,
        shutdown: GracefulShutdown,
    ) -> None:
        """Describe the state of these components."""
        self.node = node
        self.replica = replica
        self.membership = membership
        self.snapshot = snapshot
        self.watch_server = watch_server
        self.leases = leases
        self.shard_leases = shard_leases
        self.shutdown = shutdown

    def majority(self) -> int:
        """How many replicas form a majority."""
        return self.replica.majority

    def member(self) -> MemberStatus:
        """The status of this node as a member."""
        is_draining = self.shutdown.state is not ShutdownState.RUNNING
        return MemberStatus(
            replica=self.replica.replica_id,
            state=self.replica.state.wire_name,
            incarnation=self.replica.incarnation,
            address=self.node.address,
            learning=self._learning(),
            leaving=self.replica.departure.state.value if is_draining else None,
        )

    def _learning(self) -> dict[str, Any] | None:
        """How many listed records are left to read from each replica; None if nothing is read."""
        replica = self.replica
        remaining = (
            replica.succession.remaining_keys() or replica.recovery.transfer.remaining_keys()
        )
        return {"left": remaining} if remaining else None

    def facts(self) -> dict[str, Any]:
        """This node's view of the core."""
        replica = self.replica
        return {
            "seat": replica.replica_id,
            "standing": replica.state.wire_name,
            "incarnation": replica.incarnation,
            "claims": len(replica.registers.claims),
            "are_claims_open": replica.are_claims_open,
            "is_empty": replica.is_empty,
            "is_failing": replica.is_failing,
            "why": replica.recovery.wait_reason,
            "mark": self.watch_server.held_version(),
            "highest_mark": self.snapshot.highest_version,
            "seats": {
                name: {"address": address, "incarnation": incarnation}
                for name, (address, incarnation) in self.membership.replicas().items()
            },
            "heard": {
                name: {"is_voting": report.is_voting, "is_empty": report.is_empty}
                for name, report in replica.recovery.reports.items()
            },
            "duties": {
                name: {"held": lease.is_held(), **to_builtins(lease.record() or NO_LEASE)}
                for name, lease in self.leases.items()
            },
            **self._shards(),
        }

    def _shards(self) -> dict[str, Any]:
        """The owner of each tenant shard; empty if no tenant has a limit."""
        if not self.shard_leases.is_needed():
            return {}
        return {"tenant_shards": to_builtins(self.shard_leases.status())}

    def serve_restore(self, call: Any) -> None:
        """Let a waiting replica vote with the data it has: POST /v1/core/restore.

        Raises `seat_not_waiting` if it isn't waiting.
        """
        if not self.replica.restore():
            raise ServiceError("seat_not_waiting", standing=self.replica.state.wire_name)
        call.answer_json(
            200, {"seat": self.replica.replica_id, "standing": self.replica.state.wire_name}
        )


class StandingView:
    """Answers GET /v1/standing: this node's view of its peers and of the runners."""

    __slots__ = (
        "node",
        "replica",
        "membership",
        "snapshot",
        "watch_server",
        "discovery",
        "balancer",
    )

    def __init__(
        self,
        node: Node,
        replica: Replica,
        membership: Membership,
        snapshot: ConfigurationSnapshot,
        watch_server: WatchServer,
        discovery: RunnerDiscovery,
        balancer: RoleBalancer,
    ) -> None:
        """Show the state of these components."""
        self.node = node
        self.replica = replica
        self.membership = membership
        self.snapshot = snapshot
        self.watch_server = watch_server
        self.discovery = discovery
        self.balancer = balancer

    def serve(self, call: Any) -> None:
        """Answer with the peers, the runners and the role changes."""
        now_us = self.node.now_us()
        answer = {
            "name": self.node.name,
            "kind": "registry",
            "zone": self.membership.me.zone,
            "mark": self.snapshot.version,
            "is_current": self.watch_server.is_current(),
            "seat": self.replica.replica_id,
            "standing": self.replica.state,
            "fellows": self.membership.peer_rows(),
            "runners": [runner.as_record(now_us) for runner in self.discovery.runners.values()],
            **self.balancer.as_record(),
        }
        call.answer_json(200, answer)
