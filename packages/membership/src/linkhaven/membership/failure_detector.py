"""The failure detector: heartbeats to a few watchers, whose majority decides.

| message | effect |
| --- | --- |
| `Heartbeat` | its sender is running; this node withdraws its suspicion of it |
| `Suspicion` | the votes of the watchers on one incarnation are counted again |
| `SuspicionQuery` | this node repeats its suspicion, or denies it if it is no longer a watcher |

Each member sends heartbeats to its successors on the hash ring. A watcher that receives none for
`heartbeat_timeout_us` suspects the member and tells all. A member has failed when most of its
watchers that can be heard from suspect it, so that one watcher that is cut off can't declare a
member failed (`test_a_node_that_cannot_hear_does_not_talk_others_down`). A watcher that sent
nothing for `heartbeat_timeout_us` is probed with a hello, and isn't counted until it answers. A
suspicion holds for one incarnation, so a restarted process refutes it, as in SWIM (DSN 2002),
section 4.2.
"""

from linkhaven.runtime import Node

from .member import Member, MemberState
from .member_table import MemberTable
from .messages import Heartbeat, MemberRecord, Suspicion, SuspicionQuery, make_hello
from .record_merge import MEMBER_UP, RecordMerge

MEMBER_DOWN = 1102


class FailureDetector:
    """Sends heartbeats, watches other members, and counts the suspicions of all watchers."""

    __slots__ = ("node", "table", "merge", "heartbeat_sent_us")

    def __init__(self, node: Node, table: MemberTable, merge: RecordMerge) -> None:
        """Watch the members of `table`; the first heartbeat is sent at the first tick."""
        self.node = node
        self.table = table
        self.merge = merge
        self.heartbeat_sent_us = 0

    def tick(self, now_us: int) -> None:
        """Send heartbeats and check for missing ones every `heartbeat_interval_us`."""
        if now_us - self.heartbeat_sent_us < self.node.bounds.heartbeat_interval_us:
            return
        self.heartbeat_sent_us = now_us
        self._send_heartbeats()
        self._suspect_silent(now_us)
        self._count_suspicions()

    def on_late_tick(self, now_us: int) -> None:
        """Restart all heartbeat timeouts: nothing was received while this process was paused."""
        for member in self.table.peers.values():
            member.last_heartbeat_us = None
        self.heartbeat_sent_us = 0

    def _send_heartbeats(self) -> None:
        self.table.refresh_own_version()
        heartbeat = Heartbeat(self.table.me.to_record())
        for name in self.table.watchers_of(self.node.name):
            self.node.send(self.table.peers[name].address, heartbeat)

    def _suspect_silent(self, now_us: int) -> None:
        """Suspect watched members whose heartbeats are missing; a new watcher counts from now."""
        watched = self.table.watched_names()
        for member in self.table.peers.rows():
            if member.name not in watched or member.has_left:
                member.last_heartbeat_us = None
                continue
            if member.last_heartbeat_us is None:
                member.last_heartbeat_us = now_us
            silent_us = now_us - member.last_heartbeat_us
            if silent_us > self.node.bounds.heartbeat_timeout_us and not self._suspects(member):
                self._send_suspicion(member, True)

    def _count_suspicions(self) -> None:
        """Decide again on suspected members, as the set of reachable watchers may have changed."""
        for member in self.table.peers.rows():
            if member.suspicions and member.is_up and any(member.suspicions.values()):
                self._decide(member)

    def on_any_message(self, sender: str) -> None:
        """Note the time of a message of any type as a sign that its sender is running."""
        member = self.table.peers.get(sender)
        if member is not None:
            member.last_message_us = self.node.now_us()

    def on_heartbeat(self, message: Heartbeat) -> None:
        """Note the time of a heartbeat, and withdraw this node's suspicion of its sender."""
        member = self.merge.merge(message.member, is_first_hand=True)
        if member is None:
            return
        member.last_heartbeat_us = self.node.now_us()
        if self._suspects(member):
            self._send_suspicion(member, False)

    def on_suspicion(self, message: Suspicion) -> None:
        """Count a watcher's vote; ignored if it names another incarnation than the known one."""
        member = self.table.peers.get(message.member_name)
        if member is None or member.incarnation != message.incarnation:
            return
        member.suspicions[message.sender] = message.is_suspected
        self._decide(member)

    def on_suspicion_query(self, message: SuspicionQuery) -> None:
        """Answer with this node's suspicion, which is False if it no longer watches the member."""
        member = self.table.peers.get(message.member_name)
        if member is None or member.incarnation != message.incarnation:
            return
        is_watched = member.name in self.table.watched_names()
        is_suspected = is_watched and self._suspects(member)
        answer = Suspicion(member.name, member.incarnation, is_suspected)
        self.node.send(message.reply_to, answer)

    def query_suspicions(self, record: MemberRecord) -> None:
        """Ask the watchers that suspect a member again if another node lists it as up.

        A withdrawal is sent only once, to the members that the watcher then lists as up. A member
        that missed it would keep the suspicion for as long as that incarnation runs.
        """
        member = self.table.peers.get(record.name)
        if member is None or member.state is not MemberState.FAILED or not record.is_up:
            return
        if member.incarnation != record.incarnation:
            return
        for name, is_suspected in member.suspicions.items():
            watcher = self.table.peers.get(name)
            if is_suspected and watcher is not None:
                query = SuspicionQuery(member.name, member.incarnation)
                self.node.send(watcher.address, query)

    def _suspects(self, member: Member) -> bool:
        return bool(member.suspicions.get(self.node.name))

    def _send_suspicion(self, member: Member, is_suspected: bool) -> None:
        member.suspicions[self.node.name] = is_suspected
        for other in self.table.live_members():
            suspicion = Suspicion(member.name, member.incarnation, is_suspected)
            self.node.send(other.address, suspicion)
        self._decide(member)

    def _decide(self, member: Member) -> None:
        """Mark a member as failed if most of its reachable watchers suspect it, else as alive."""
        if member.has_left:
            return
        watchers = [
            name
            for name in self.table.watchers_of(member.name)
            if self._is_reachable_or_probed(name, member)
        ]
        suspecting = sum(1 for name in watchers if member.suspicions.get(name))
        is_up = suspecting * 2 <= len(watchers)
        if is_up == member.is_up:
            return
        if is_up:
            member.recover()
        else:
            member.fail(self.node.now_us())
        self.table.on_live_changed()
        self.node.ports.log(
            MEMBER_UP if is_up else MEMBER_DOWN,
            fellow=member.name,
            incarnation=member.incarnation,
        )

    def _is_reachable_or_probed(self, name: str, member: Member) -> bool:
        """Whether a watcher of `member` sent something lately or may still answer a probe.

        Sends the probe if none was sent since the watcher's last message.
        """
        if name == self.node.name or name in member.suspicions:
            return True
        now_us = self.node.now_us()
        heartbeat_timeout_us = self.node.bounds.heartbeat_timeout_us
        watcher = self.table.peers[name]
        if (
            watcher.last_message_us is not None
            and now_us - watcher.last_message_us <= heartbeat_timeout_us
        ):
            return True
        probe_sent_us = watcher.probe_sent_us
        if probe_sent_us is None or (watcher.last_message_us or 0) > probe_sent_us:
            watcher.probe_sent_us = now_us
            self.node.send(watcher.address, make_hello(self.table.me.to_record()))
            return True
        return now_us - probe_sent_us <= heartbeat_timeout_us
