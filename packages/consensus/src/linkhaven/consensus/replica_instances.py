"""Records of the node that last ran as each replica, kept by every replica.

| message | what it does here |
| --- | --- |
| `EpochAnnouncement` | `record`: takes a newer incarnation, refuses a second instance of one |
| `InstancesQuery` | a voting replica reports which node runs as which replica, and who is absent |

The records are also updated from membership where it is at least as new, so that a spare gets the
node that runs now. They are on disk under one key, written here and with each `EpochAnnouncement`.
How long a node has been absent is known in memory only, so a restarted replica waits the whole
`Bounds.vacant_us` again before it reports another one as vacant.
"""

from collections.abc import Iterable
from typing import Any, Protocol

from linkhaven.runtime import Node

from .assignment_messages import InstancesQuery, InstancesReport, InstanceStatus
from .recovery_messages import EpochAnnouncement
from .replica_records import ReplicaInstance, ReplicaRecord

CHECK_INTERVAL_US = 500_000
UNKNOWN_INSTANCE = ReplicaInstance(0, "", "", "")


class InstanceDirectory(Protocol):
    """The members that the membership knows."""

    peers: dict[str, Any]

    def replica_members(self) -> dict[str, Any]:
        """Return the newest known member of each replica."""


class RecordingReplica(Protocol):
    """The replica that records the instances of the others."""

    replica_id: str
    replica_ids: tuple[str, ...]
    directory: InstanceDirectory

    @property
    def is_voting(self) -> bool:
        """Whether the replica votes now."""


class ReplicaInstances:
    """Owns the record of each replica's last instance, and since when that one is absent."""

    __slots__ = ("node", "replica", "records", "absent_since_us", "checked_us")

    def __init__(
        self, node: Node, replica: RecordingReplica, records: dict[str, ReplicaInstance]
    ) -> None:
        """`records`: those stored on disk."""
        self.node = node
        self.replica = replica
        self.records = records
        self.absent_since_us: dict[str, int] = {}
        self.checked_us = 0
        node.register_handler(InstancesQuery, self.on_instances_query)

    def addresses(self) -> list[str]:
        """Return the last known addresses of the recorded instances."""
        return [instance.address for instance in self.records.values()]

    def replicas_now_spare(self) -> set[str]:
        """Return the replicas whose last node now runs as a spare: their disks are lost."""
        return {
            replica_id
            for replica_id, instance in self.records.items()
            if self._runs_as_spare(instance)
        }

    def _runs_as_spare(self, instance: ReplicaInstance) -> bool:
        member = self.replica.directory.peers.get(instance.name)
        return (
            member is not None
            and member.is_up
            and member.address == instance.address
            and not member.replica_id
        )

    def recorded_name(self, replica_id: str) -> str:
        """Return the name of the node recorded last as a replica; "" if none is known."""
        return self.records.get(replica_id, UNKNOWN_INSTANCE).name

    def record_contacts(self, contacts: Iterable[str]) -> None:
        """Record the contacts of a first start, which become the first replicas in their order."""
        for replica_id, contact in zip(self.replica.replica_ids, contacts, strict=False):
            if replica_id != self.replica.replica_id:
                self.records[replica_id] = ReplicaInstance(1, "", "", contact)

    def record(self, announcement: EpochAnnouncement) -> bool:
        """Record the announced instance; False if another one has this or a newer incarnation."""
        replica_id, incarnation = announcement.replica_id, announcement.incarnation
        known = self.records.get(replica_id)
        if known is not None and not self._may_replace(known, announcement):
            return False
        self.records[replica_id] = ReplicaInstance(
            incarnation, announcement.start, announcement.sender, announcement.reply_to
        )
        self.absent_since_us.pop(replica_id, None)
        return True

    def _may_replace(self, known: ReplicaInstance, announcement: EpochAnnouncement) -> bool:
        """Whether an announcement may replace the recorded instance.

        Instances are told apart by their process starts; one known from membership only, by name.
        """
        if announcement.incarnation != known.incarnation:
            return announcement.incarnation > known.incarnation
        if known.start:
            return known.start == announcement.start
        return known.name in ("", announcement.sender)

    def tick(self, now_us: int) -> None:
        """Update since when instances are absent, and store those that membership newly reports."""
        if now_us - self.checked_us < CHECK_INTERVAL_US:
            return
        self.checked_us = now_us
        for replica_id in self.records:
            self._update_vacancy(replica_id, now_us)
        if self._learn_from_membership():
            record = ReplicaRecord(instances=self.records)
            self.node.ports.storage.write(record.as_items(), lambda is_synced: None)

    def _learn_from_membership(self) -> bool:
        """Update the records from what members report; return whether any record changed."""
        is_new = False
        for replica_id, member in self.replica.directory.replica_members().items():
            known = self.records.get(replica_id, UNKNOWN_INSTANCE)
            if replica_id == self.replica.replica_id or (
                member.replica_incarnation < known.incarnation
            ):
                continue
            start = known.start if known.incarnation == member.replica_incarnation else ""
            if start and known.name != member.name:
                continue
            record = ReplicaInstance(member.replica_incarnation, start, member.name, member.address)
            if record != self.records.get(replica_id):
                self.records[replica_id] = record
                is_new = True
        return is_new

    def _update_vacancy(self, replica_id: str, now_us: int) -> bool:
        """Update since when a replica's instance is absent; return whether the replica is vacant.

        It is vacant if no instance was ever recorded, or if the last one has left or has been
        absent for `Bounds.vacant_us`.
        """
        known = self.records.get(replica_id)
        if known is None:
            return True
        member = self.replica.directory.replica_members().get(replica_id)
        if member is not None and member.replica_incarnation >= known.incarnation:
            if member.has_left:
                return True
            if member.is_up:
                self.absent_since_us.pop(replica_id, None)
                return False
        absent_us = now_us - self.absent_since_us.setdefault(replica_id, now_us)
        return absent_us >= self.node.bounds.vacant_us

    def is_taken(self, replica_id: str, name: str, address: str) -> bool:
        """Whether another node than the one with this name and address runs as the replica."""
        if replica_id == self.replica.replica_id:
            return True
        known = self.records.get(replica_id, UNKNOWN_INSTANCE)
        is_other = known.name != name and known.address != address
        return is_other and not self._update_vacancy(replica_id, self.node.now_us())

    def on_instances_query(self, query: InstancesQuery) -> None:
        """Report which node runs as which replica to a spare; only if this replica votes."""
        if not self.replica.is_voting:
            return
        now_us = self.node.now_us()
        self._learn_from_membership()
        own_id = self.replica.replica_id
        instances = {own_id: InstanceStatus(self.node.name, self.node.address, False)}
        for replica_id in self.replica.replica_ids:
            if replica_id != own_id:
                known = self.records.get(replica_id, UNKNOWN_INSTANCE)
                is_vacant = self._update_vacancy(replica_id, now_us)
                instances[replica_id] = InstanceStatus(known.name, known.address, is_vacant)
        self.node.send(query.reply_to, InstancesReport(replica_id=own_id, instances=instances))
