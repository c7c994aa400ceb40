"""Joining and leaving, and contacting seeds and members that are down.

| message | effect |
| --- | --- |
| `Hello` | a joining sender gets the member list, a probing one this node's record |
| `Leave` | its sender left |
| `Departures` | members left whose `Leave` this node missed |
"""

from collections.abc import Iterable

from linkhaven.runtime import PROTOCOL_VERSION, Node

from .member import Member
from .member_table import MemberTable
from .messages import (
    Departures,
    Hello,
    Leave,
    MemberList,
    MemberRecord,
    make_hello,
)
from .record_merge import RecordMerge

SEED_RETRY_INTERVAL_US = 100_000
"""How often missing seeds are contacted just after the start."""

SEED_RETRY_PERIOD_US = 5_000_000
"""How long after its start a node contacts missing seeds every `SEED_RETRY_INTERVAL_US`."""

FORGET_AFTER_US = 60_000_000
"""A member that has been down for this long is forgotten."""

LIST_INTERVAL_US = 500_000
"""The least time between two full lists in answer to hellos of known members, of all together."""

OTHER_PROTOCOL_VERSION = 1103


class Joining:
    """Contacts seeds and members that are down, answers hellos, and marks members that left."""

    __slots__ = (
        "node",
        "table",
        "merge",
        "seeds",
        "seeds_contacted_us",
        "retry_seeds_until_us",
        "list_sent_us",
    )

    def __init__(
        self, node: Node, table: MemberTable, merge: RecordMerge, seeds: Iterable[str]
    ) -> None:
        """Join through the addresses `seeds`, which may start a moment after this node."""
        self.node = node
        self.table = table
        self.merge = merge
        self.seeds = list(seeds)
        self.seeds_contacted_us = 0
        self.list_sent_us = 0
        self.retry_seeds_until_us = node.now_us() + SEED_RETRY_PERIOD_US

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add seeds; empty addresses, known ones and this node's own are skipped."""
        self.seeds += [
            address
            for address in addresses
            if address and address not in self.seeds and address != self.node.address
        ]

    def retry_missing_seeds(self, now_us: int, last_gossip_us: int) -> None:
        """Contact missing seeds every `SEED_RETRY_INTERVAL_US` just after the start."""
        if (
            now_us >= self.retry_seeds_until_us
            or now_us - max(last_gossip_us, self.seeds_contacted_us) < SEED_RETRY_INTERVAL_US
        ):
            return
        self.seeds_contacted_us = now_us
        self.table.refresh_own_version()
        self.contact_missing_seeds()

    def contact_missing_seeds(self) -> None:
        """Send a hello to each seed that isn't known to be live."""
        known = {member.address for member in self.table.live_members()}
        for seed in self.seeds:
            if seed not in known and seed != self.node.address:
                self.node.send(seed, make_hello(self.table.me.to_record()))

    def on_hello(self, message: Hello) -> None:
        """Add the sender, and answer with all members, or with this node only.

        A full list for each hello would saturate the link of a member that many list as failed, so
        that its heartbeats would be late and it would be suspected again
        (`test_a_member_that_all_list_as_failed_sends_few_full_lists`).
        """
        known = self.table.peers.get(message.member.name)
        member = self.merge.merge(message.member, is_first_hand=True)
        if member is not None:
            self._log_other_version(member, message.protocol_version)
        is_new = member is not None and member is not known
        needs_list = is_new or self._may_send_list()
        records = self.table.records() if needs_list else [self._own_record()]
        newest = self.table.peers.get(message.member.name)
        if newest is not None and self._needs_own_record(newest, message.member, needs_list):
            records.append(newest.to_record())
        self.node.send(message.reply_to, MemberList(records))

    def _needs_own_record(self, newest: Member, record: MemberRecord, has_list: bool) -> bool:
        """Whether the sender of `record` must be sent the newest record under its name as well.

        A process that restarted after its clock was set back has a lower incarnation than it had
        before; it raises it once it sees that record.
        """
        if newest.has_left:
            return True  # member lists leave out members that left
        return not has_list and newest.incarnation > record.incarnation

    def _may_send_list(self) -> bool:
        """Whether a known member may get the full list now; if so, the list counts as sent."""
        now_us = self.node.now_us()
        if now_us - self.list_sent_us < LIST_INTERVAL_US:
            return False
        self.list_sent_us = now_us
        return True

    def _own_record(self) -> MemberRecord:
        self.table.refresh_own_version()
        return self.table.me.to_record()

    def _log_other_version(self, member: Member, version: int) -> None:
        """Log another protocol version than this node's once per incarnation of the member."""
        if member.protocol_version == version:
            return
        member.protocol_version = version
        if version != PROTOCOL_VERSION:
            self.node.ports.log(
                OTHER_PROTOCOL_VERSION, fellow=member.name, version=version, own=PROTOCOL_VERSION
            )

    def probe_down_members(self, now_us: int) -> None:
        """Send a hello to a random member that is down, and forget those down for too long."""
        down = [member for member in self.table.peers.values() if not member.is_up]
        for member in down:
            if now_us - member.down_us > FORGET_AFTER_US:
                self.table.peers.drop(member.name)
                self.table.on_live_changed()
        if down:
            other = down[self.node.ports.random.randrange(len(down))]
            self.node.send(other.address, make_hello(self.table.me.to_record()))

    def send_leave(self) -> None:
        """Tell all live members that this node stops."""
        for member in self.table.live_members():
            self.node.send(member.address, Leave())

    def on_leave(self, message: Leave) -> None:
        """Mark the sender as left."""
        member = self.table.peers.get(message.sender)
        if member is not None:
            self._mark_left(member)

    def on_departures(self, message: Departures) -> None:
        """Mark members as left whose `Leave` was missed: no watcher would suspect them."""
        for departed in message.members:
            member = self.table.peers.get(departed.name)
            if member is None or member.has_left:
                continue
            if member.incarnation <= departed.incarnation:
                self._mark_left(member)

    def has_left(self, record: MemberRecord) -> bool:
        """Whether this node knows that the member left in the record's incarnation or later."""
        member = self.table.peers.get(record.name)
        return member is not None and member.has_left and member.incarnation >= record.incarnation

    def _mark_left(self, member: Member) -> None:
        member.leave(self.node.now_us())
        self.table.on_live_changed()
