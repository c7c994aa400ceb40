"""Merges the member records that others send into this node's table."""

from collections.abc import Callable

from linkhaven.runtime import Node

from .member import Member
from .member_table import MemberTable
from .messages import MemberRecord
from .replica_directory import ReplicaDirectory

MEMBER_UP = 1101

VersionListener = Callable[[int, Member], None]
"""Called with the configuration version that a member has, and the member."""


class RecordMerge:
    """Merges member records into the table and the directory of replicas.

    A higher incarnation replaces a lower one. Within one incarnation only the member itself can
    change its address, kind, zone and replica; configuration versions and replica incarnations
    only rise, whoever reports them. A node that learns of a higher incarnation under its own name
    raises its own above that
    (`test_a_restarted_node_with_its_wall_clock_set_back_is_known_again`).
    """

    __slots__ = ("node", "table", "directory", "on_configuration_version")

    def __init__(
        self,
        node: Node,
        table: MemberTable,
        directory: ReplicaDirectory,
        on_configuration_version: VersionListener,
    ) -> None:
        """Merge into `table` and `directory`; the listener gets the version of each record."""
        self.node = node
        self.table = table
        self.directory = directory
        self.on_configuration_version = on_configuration_version

    def merge(self, record: MemberRecord, is_first_hand: bool) -> Member | None:
        """Merge a record and return its member; None if the record was ignored.

        Ignored are records of this node, of former incarnations, and of unknown members that are
        reported down. A record is first-hand if the member itself sent it.
        """
        if record.name == self.node.name:
            self._raise_own_incarnation(record.incarnation)
            return None
        member = self.table.peers.get(record.name)
        if member is not None and record.incarnation < member.incarnation:
            return None
        if member is None or record.incarnation > member.incarnation:
            if member is None and not is_first_hand and not record.is_up:
                return None
            member = self._add_incarnation(record, member)
        if is_first_hand:
            self._set_facts(member, record)
        self._raise_versions(member, record)
        return member

    def _raise_own_incarnation(self, incarnation: int) -> None:
        """Raise this node's incarnation above a higher one that others know under its name."""
        if incarnation > self.table.me.incarnation:
            self.table.me.incarnation = incarnation + 1

    def _add_incarnation(self, record: MemberRecord, before: Member | None) -> Member:
        if before is not None and before.address == record.address:
            # The connection to the former process may hang if its host was cut off.
            self.node.ports.network.reconnect(record.address)
        member = self.table.peers[record.name] = Member(record.name, record.incarnation)
        self.table.on_live_changed()
        self._set_facts(member, record)
        member.replica_incarnation = record.replica_incarnation
        self.node.ports.log(
            MEMBER_UP,
            fellow=member.name,
            incarnation=member.incarnation,
            is_known=before is not None,
        )
        return member

    def _set_facts(self, member: Member, record: MemberRecord) -> None:
        facts = (record.address, record.kind, record.zone, record.replica_id)
        if facts == (member.address, member.kind, member.zone, member.replica_id):
            return
        member.address, member.kind, member.zone, member.replica_id = facts
        self.table.on_facts_changed()

    def _raise_versions(self, member: Member, record: MemberRecord) -> None:
        if record.replica_incarnation > member.replica_incarnation:
            member.replica_incarnation = record.replica_incarnation
            self.table.on_facts_changed()
        if record.replica_id:
            self.directory.learn_incarnations({record.replica_id: member.replica_incarnation})
        version = record.configuration_version
        member.configuration_version = max(member.configuration_version, version)
        self.on_configuration_version(version, member)
