"""Assignment of a spare to a replica that it may recover as.

The spare asks all replicas which node runs as which replica (`InstancesQuery`). From the recent
answers of voting replicas (`InstancesReport`) it chooses a replica that all of them report as its
own former one, or as vacant. If all replicas have lost their disks, none votes or answers; then the
spares bootstrap the group again.

Two spares may still choose the same replica. Recovery lets only one of them vote, since each
incarnation is recorded for one instance (`test_two_newcomers_never_vote_as_one_replica`).
"""

from typing import Any, Protocol

from linkhaven.runtime import Node

from .assignment_messages import InstancesQuery, InstancesReport, InstanceStatus
from .replica_records import CONTROLLER_KIND, ROUTER_KIND
from .succession import Succession

QUERY_INTERVAL_US = 200_000
REPORT_MAX_AGE_US = 700_000
"""Age from which on an answer isn't used anymore."""

GROUP_LOST_PERIODS, GROUP_LOST_PERIODS_WITH_PEER = 4, 2
"""For how many `Bounds.vacant_us` the whole group must appear lost before spares bootstrap it. The
second number applies if another node already recovers as a replica, since it has waited already."""


class AssignmentDirectory(Protocol):
    """The members that the membership knows."""

    peers: dict[str, Any]

    def replicas(self) -> dict[str, tuple[str, int]]:
        """Return address and newest incarnation of each replica."""

    def live_members(self, kind: str) -> list[Any]:
        """Return the members of a kind that are up."""


class SpareReplica(Protocol):
    """The replica of a node that is a spare."""

    replica_id: str
    replica_ids: tuple[str, ...]
    majority: int
    directory: AssignmentDirectory

    @property
    def is_empty(self) -> bool:
        """Whether the registers on disk are incomplete and can't be recovered from."""

    def recover_as(self, replica_id: str) -> None:
        """Start recovery as this replica."""

    def recover_after_group_loss(self, replica_id: str) -> None:
        """Start recovery as this replica after all replicas lost their disks."""


class ReplicaAssignment:
    """Chooses a replica for a spare; owns the answers that it received, in memory only."""

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
        """`contact`: the address of this node that the other nodes were configured with."""
        self.node = node
        self.replica = replica
        self.succession = succession
        self.contact = contact
        self.reports: dict[str, tuple[dict[str, InstanceStatus], int]] = {}
        self.queried_us = 0
        self.lost_since_us: int | None = None
        node.register_handler(InstancesReport, self.on_instances_report)

    def tick(self, now_us: int) -> None:
        """Query all replicas, and check whether the whole group is lost."""
        if now_us - self.queried_us < QUERY_INTERVAL_US:
            return
        self.queried_us = now_us
        for address, _ in self.replica.directory.replicas().values():
            self.node.send(address, InstancesQuery())
        self._bootstrap_if_group_lost(now_us)

    def on_instances_report(self, report: InstancesReport) -> None:
        """Choose a replica once enough answers are in, unless a hand-over is in progress."""
        if self.replica.replica_id or self.succession.is_active():
            return
        self.reports[report.replica_id] = (report.instances, self.node.now_us())
        self._choose()

    def _choose(self) -> None:
        """Choose this node's former replica, else the vacant one at its rank among the spares."""
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
        """Recover as a replica if all disks of the group are lost.

        The spares are assigned to the replicas in the order of their names. They bootstrap the
        group as in a first start, and the configuration is restored from a router.
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
        """Whether all replicas appear to have lost their disks.

        This is assumed if there are as many spares as replicas and a router, no replica answers,
        and no member is known as a replica that ever voted.
        """
        directory = self.replica.directory
        if self.reports or not self.replica.is_empty or not directory.live_members(ROUTER_KIND):
            return False
        if any(
            member.replica_id and member.replica_incarnation for member in directory.peers.values()
        ):
            return False
        return len(directory.live_members(CONTROLLER_KIND)) + 1 >= len(self.replica.replica_ids)
