"""Anti-entropy of the member list, every second with one member picked at random.

| message | effect |
| --- | --- |
| `MemberList` | merged; its sender is told which members left, and gets this list on request |
| `MemberListDigest` | answered with the full list if the lists differ |

Source: Demers et al. (PODC 1987), push-pull anti-entropy with checksums.
"""

from linkhaven.runtime import Node

from .failure_detector import FailureDetector
from .joining import Joining
from .member import Member
from .member_table import MemberTable
from .messages import DepartedMember, Departures, MemberList, MemberListDigest
from .record_merge import RecordMerge

GOSSIP_INTERVAL_US = 1_000_000
FULL_LIST_EVERY = 10
"""In one of so many exchanges the full list is sent instead of its digest, as the digest leaves
out configuration versions and members' kinds and zones."""


class Gossip:
    """Exchanges member lists with other members at regular intervals."""

    __slots__ = ("node", "table", "merge", "detector", "joining", "last_gossip_us", "exchanges")

    def __init__(
        self,
        node: Node,
        table: MemberTable,
        merge: RecordMerge,
        detector: FailureDetector,
        joining: Joining,
    ) -> None:
        """Exchange lists from the first tick on."""
        self.node = node
        self.table = table
        self.merge = merge
        self.detector = detector
        self.joining = joining
        self.last_gossip_us = 0
        self.exchanges = 0

    def tick(self, now_us: int) -> None:
        """Gossip every `GOSSIP_INTERVAL_US`, and contact missing seeds in between."""
        if now_us - self.last_gossip_us < GOSSIP_INTERVAL_US:
            return self.joining.retry_missing_seeds(now_us, self.last_gossip_us)
        self.last_gossip_us = now_us
        self.table.refresh_own_version()
        self.joining.contact_missing_seeds()
        partners = self.table.live_members() or self.table.peers.rows()
        if partners:
            self.exchange_with(partners[self.node.ports.random.randrange(len(partners))])
        self.joining.probe_down_members(now_us)

    def exchange_with(self, other: Member) -> None:
        """Send a member the digest of this node's list, or every tenth time the full list."""
        self.exchanges += 1
        if self.exchanges % FULL_LIST_EVERY == 1:
            self.node.send(other.address, MemberList(self.table.records(), wants_reply=True))
            return
        digest = MemberListDigest(self.table.me.to_record(), self.table.list_digest())
        self.node.send(other.address, digest)

    def on_member_list(self, message: MemberList) -> None:
        """Merge the sender's list; only the sender's own record is first-hand."""
        departed = []
        for record in message.members:
            self.merge.merge(record, is_first_hand=record.name == message.sender)
            self.detector.query_suspicions(record)
            if self.joining.has_left(record):
                departed.append(DepartedMember(record.name, record.incarnation))
        if departed:
            self.node.send(message.reply_to, Departures(departed))
        if message.wants_reply:
            self.node.send(message.reply_to, MemberList(self.table.records()))

    def on_member_list_digest(self, message: MemberListDigest) -> None:
        """Send the full list to a member whose digest differs, and ask for its own."""
        self.merge.merge(message.member, is_first_hand=True)
        if message.digest != self.table.list_digest():
            self.node.send(message.reply_to, MemberList(self.table.records(), wants_reply=True))
