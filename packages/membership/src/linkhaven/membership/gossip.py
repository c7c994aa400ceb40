"""Anti-entropy of the member list: each second with one member picked at random.

| message | what it does here |
| --- | --- |
| `MemberList` | merged; its sender learns who left, and gets this list where it asks |
| `MemberListDigest` | answered with the whole list where the lists differ |

Source: Demers et al. (PODC 1987), push-pull anti-entropy with checksums.
"""

from linkhaven.runtime import Node

from .failure_detector import FailureDetector
from .joining import Joining
from .member import Member
from .member_table import MemberTable
from .messages import DepartedMember, Departures, MemberList, MemberListDigest
from .record_merge import RecordMerge

GOSSIP_US = 1_000_000
WHOLE_LIST_EVERY = 10
"""Each so many times the whole list is sent in place of its digest, for what that leaves out."""


class Gossip:
    """Exchanges member lists."""

    __slots__ = ("node", "table", "merge", "detector", "joining", "gossip_us", "exchanges")

    def __init__(
        self,
        node: Node,
        table: MemberTable,
        merge: RecordMerge,
        detector: FailureDetector,
        joining: Joining,
    ) -> None:
        """Gossip at the first tick."""
        self.node = node
        self.table = table
        self.merge = merge
        self.detector = detector
        self.joining = joining
        self.gossip_us = 0
        self.exchanges = 0

    def tick(self, now_us: int) -> None:
        """Gossip each `GOSSIP_US`, and greet missing seeds in between."""
        if now_us - self.gossip_us < GOSSIP_US:
            return self.joining.seek(now_us, self.gossip_us)
        self.gossip_us = now_us
        self.table.refresh_own_version()
        self.joining.greet_missing_seeds()
        partners = self.table.live_members() or self.table.peers.rows()
        if partners:
            self.exchange_with(partners[self.node.ports.random.randrange(len(partners))])
        self.joining.greet_down(now_us)

    def exchange_with(self, other: Member) -> None:
        """Send a member this node's digest, or its whole list now and then."""
        self.exchanges += 1
        if self.exchanges % WHOLE_LIST_EVERY == 1:
            self.node.send(other.address, MemberList(self.table.records(), wants_reply=True))
            return
        digest = MemberListDigest(self.table.me.to_record(), self.table.list_digest())
        self.node.send(other.address, digest)

    def on_member_list(self, message: MemberList) -> None:
        """Take in what the sender knows; only what it says of itself is first-hand."""
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
        """Send the whole list to a member whose list differs, and ask for its own."""
        self.merge.merge(message.member, is_first_hand=True)
        if message.digest != self.table.list_digest():
            self.node.send(message.reply_to, MemberList(self.table.records(), wants_reply=True))
