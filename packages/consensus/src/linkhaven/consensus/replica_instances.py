"""Which node ran last as each replica, as this voting replica has recorded it.

| message | what it does here |
| --- | --- |
| `EpochAnnouncement` | `record`: takes a newer incarnation, refuses any other instance of one |
| `InstancesQuery` | a voting replica tells a spare who runs as what, and who is gone |

What membership says of another replica is taken in, too, where it is as new: so a spare that asks
is told the node that runs now. The records are on disk under one key, written here and with each
`EpochAnnouncement`; how long a node has been gone is known in memory only, so a restarted replica
waits the whole `Bounds.vacant_us` again before it calls another one vacant.
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
    """The members that membership knows."""

    peers: dict[str, Any]

    def replica_members(self) -> dict[str, Any]:
        """The newest member that is known of each replica."""


class RecordingReplica(Protocol):
    """The replica that records the others' instances."""

    replica_id: str
    replica_ids: tuple[str, ...]
    directory: InstanceDirectory

    @property
    def is_voting(self) -> bool:
        """Whether it votes now."""


class ReplicaInstances:
    """Owns the record of each replica's last instance, and since when that one is gone."""

    __slots__ = ("node", "replica", "records", "absent_since_us", "checked_us")

    def __init__(
        self, node: Node, replica: RecordingReplica, records: dict[str, ReplicaInstance]
    ) -> None:
        """`records`: as the disk has them."""
        self.node = node
        self.replica = replica
        self.records = records
        self.absent_since_us: dict[str, int] = {}
        self.checked_us = 0
        node.register_handler(InstancesQuery, self.on_instances_query)

    def addresses(self) -> list[str]:
        """Where the recorded instances were last."""
        return [instance.address for instance in self.records.values()]

    def replicas_now_spare(self) -> set[str]:
        """Replicas whose last node runs as a spare: its disk is lost, no more comes from it."""
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
        """The node that ran last as a replica; "" where none is known by name."""
        return self.records.get(replica_id, UNKNOWN_INSTANCE).name

    def record_contacts(self, contacts: Iterable[str]) -> None:
        """Record a first start, in which the contacts become the first replicas in their order."""
        for replica_id, contact in zip(self.replica.replica_ids, contacts, strict=False):
            if replica_id != self.replica.replica_id:
                self.records[replica_id] = ReplicaInstance(1, "", "", contact)

    def record(self, announcement: EpochAnnouncement) -> bool:
        """Record one instance for each incarnation; False where this isn't the one."""
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
        """A start counts as another instance; one known from membership only, by its name."""
        if announcement.incarnation != known.incarnation:
            return announcement.incarnation > known.incarnation
        if known.start:
            return known.start == announcement.start
        return known.name in ("", announcement.sender)

    def tick(self, now_us: int) -> None:
        """Look who is gone, so that its absence is counted from now on, and who is new."""
        if now_us - self.checked_us < CHECK_INTERVAL_US:
            return
        self.checked_us = now_us
        for replica_id in self.records:
            self._update_vacancy(replica_id, now_us)
        if self._learn_from_membership():
            record = ReplicaRecord(instances=self.records)
            self.node.ports.storage.write(record.as_items(), lambda is_kept: None)

    def _learn_from_membership(self) -> bool:
        """Take in what members say of themselves; whether anything was new."""
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
        """Note since when nobody runs as this replica; whether it is vacant.

        It is where nobody ever ran as it, or who did left or is gone for `Bounds.vacant_us`.
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
        """Whether another node than this one runs as the replica."""
        if replica_id == self.replica.replica_id:
            return True
        known = self.records.get(replica_id, UNKNOWN_INSTANCE)
        is_other = known.name != name and known.address != address
        return is_other and not self._update_vacancy(replica_id, self.node.now_us())

    def on_instances_query(self, query: InstancesQuery) -> None:
        """Tell a spare who runs as what; only a voting replica knows."""
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
