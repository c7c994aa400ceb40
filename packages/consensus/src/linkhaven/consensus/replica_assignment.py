"""How a spare finds the replica that it may become.

It asks all replicas which nodes run as what (`InstancesQuery`), and of those that voted answered
lately (`InstancesReport`) it takes a replica which all of them call its own or vacant. Where every
disk of the group is lost, nobody votes and nobody answers: then the spares begin the group anew.

Two spares may still choose the same replica; recovery lets only one of them vote, since each
incarnation is recorded for one instance (`test_two_newcomers_never_vote_as_one_replica`).
"""

from typing import Any, Protocol

from linkhaven.runtime import Node

from .assignment_messages import InstancesQuery, InstancesReport, InstanceStatus
from .replica_records import CONTROLLER_KIND, ROUTER_KIND
from .succession import Succession

QUERY_INTERVAL_US = 200_000
REPORT_MAX_AGE_US = 700_000
"""An answer older than this no longer counts."""

GROUP_LOST_PERIODS, GROUP_LOST_PERIODS_WITH_PEER = 4, 2
"""For how many `vacant_us` the whole group must look lost before it begins anew; the lower bound
holds where another spare has taken a replica without a vote, and so has waited already."""


class AssignmentDirectory(Protocol):
    """The members that membership knows."""

    peers: dict[str, Any]

    def replicas(self) -> dict[str, tuple[str, int]]:
        """Address and newest incarnation of each replica."""

    def live_members(self, kind: str) -> list[Any]:
        """The members of a kind that are up."""


class SpareReplica(Protocol):
    """The replica to be, on a node that is a spare."""

    replica_id: str
    replica_ids: tuple[str, ...]
    majority: int
    directory: AssignmentDirectory

    @property
    def is_empty(self) -> bool:
        """Whether its disk counts as lost."""

    def recover_as(self, replica_id: str) -> None:
        """Recover as this replica."""

    def recover_after_group_loss(self, replica_id: str) -> None:
        """Begin as this replica where the whole group lost its disks."""


class ReplicaAssignment:
    """The spare's side; it owns the answers that it heard, in memory only."""

    __slots__ = (
        "node",
        "replica",
        "succession",
        "contact",
        "reports",
        "queried_us",
        "lost_since_us",
    )

    def __init__(
        self, node: Node, replica: SpareReplica, succession: Succession, contact: str
    ) -> None:
        """`contact`: the address under which the others were told of this node."""
        self.node = node
        self.replica = replica
        self.succession = succession
        self.contact = contact
        self.reports: dict[str, tuple[dict[str, InstanceStatus], int]] = {}
        self.queried_us = 0
        self.lost_since_us: int | None = None
        node.register_handler(InstancesReport, self.on_instances_report)

    def tick(self, now_us: int) -> None:
        """Ask all replicas again, and see whether the whole group is lost."""
        if now_us - self.queried_us < QUERY_INTERVAL_US:
            return
        self.queried_us = now_us
        for address, _ in self.replica.directory.replicas().values():
            self.node.send(address, InstancesQuery())
        self._bootstrap_if_group_lost(now_us)

    def on_instances_report(self, report: InstancesReport) -> None:
        """Choose once enough replicas answered; a successor to be takes no other replica."""
        if self.replica.replica_id or self.succession.is_active():
            return
        self.reports[report.replica_id] = (report.instances, self.node.now_us())
        self._choose()

    def _choose(self) -> None:
        """Its own former replica first, else the vacant one of its rank among the spares."""
        now_us, replica = self.node.now_us(), self.replica
        fresh = [
            instances
            for instances, received_us in self.reports.values()
            if now_us - received_us < REPORT_MAX_AGE_US
        ]
        if len(fresh) < len(replica.replica_ids) - replica.majority + 1:
            return
        for replica_id in replica.replica_ids:
            if all(self._is_own(instances[replica_id]) for instances in fresh):
                return self._recover_as(replica_id)
        vacant = [
            replica_id
            for replica_id in replica.replica_ids
            if all(instances[replica_id].is_vacant for instances in fresh)
        ]
        spares = [
            member.name
            for member in replica.directory.live_members(CONTROLLER_KIND)
            if not member.replica_id
        ]
        rank = sorted([self.node.name, *spares]).index(self.node.name)
        if rank < len(vacant):
            self._recover_as(vacant[rank])

    def _is_own(self, instance: InstanceStatus) -> bool:
        is_here = instance.address in (self.node.address, self.contact)
        return is_here or instance.name == self.node.name

    def _recover_as(self, replica_id: str) -> None:
        self.reports = {}
        self.replica.recover_as(replica_id)

    def _bootstrap_if_group_lost(self, now_us: int) -> None:
        """Every disk of the group is lost: the spares take the replicas in order of their names.

        Then they begin as a first start does, and a router's configuration is taken over.
        """
        directory = self.replica.directory
        if not self._is_group_lost():
            self.lost_since_us = None
            return
        if self.lost_since_us is None:
            self.lost_since_us = now_us
        has_other_begun = any(member.replica_id for member in directory.peers.values())
        num_periods = GROUP_LOST_PERIODS_WITH_PEER if has_other_begun else GROUP_LOST_PERIODS
        if now_us - self.lost_since_us < self.node.bounds.vacant_us * num_periods:
            return
        self.lost_since_us = None
        names = sorted(
            [self.node.name, *(member.name for member in directory.live_members(CONTROLLER_KIND))]
        )
        rank = names.index(self.node.name)
        if rank < len(self.replica.replica_ids):
            self.replica.recover_after_group_loss(self.replica.replica_ids[rank])

    def _is_group_lost(self) -> bool:
        """As many spares as replicas, and a router, and nobody knows of one that ever voted."""
        directory = self.replica.directory
        if self.reports or not self.replica.is_empty or not directory.live_members(ROUTER_KIND):
            return False
        if any(
            member.replica_id and member.replica_incarnation for member in directory.peers.values()
        ):
            return False
        return len(directory.live_members(CONTROLLER_KIND)) + 1 >= len(self.replica.replica_ids)
