"""Replicates everything that a departing replica accepted to the other replicas.

A departing replica without a successor compares its registers with the others in rounds. It sends
each other replica its accepted ballots, page by page (`BallotPage`). A replica answers which of
them it misses (`MissingValues`), and gets these values as late accepts of the same ballots
(`LateAccepts`). A replica that has promised a higher ballot can't accept them. Then the register is
read again, which writes its value under a higher ballot at a majority. The final round covers only
what changed since the previous one began.

| message | received by | what it does there |
| --- | --- | --- |
| `BallotPage` | a voting replica | answers which values it misses |
| `MissingValues` | the departing one, for its current page | sends values, or the next page |
| `LateAccepts` | a voting replica | accepts values whose ballots aren't below its promises |

Invariant: only voting replicas are counted, and only those that don't know a newer instance of the
departing one (`test_without_a_spare_all_is_replicated_before_a_replica_departs`).
"""

from bisect import bisect_right
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from linkhaven.runtime import Node

from .recovery_messages import RegisterCopy
from .registers import RegisterTable
from .replication_messages import BallotPage, LateAccepts, MissingValues

KEYS_PER_PAGE = 500
"""The most registers in one page."""

RESEND_INTERVAL_US = 100_000
"""Interval at which unanswered messages are sent again."""

NO_ROUND = -1
"""Below all change counts: the first round covers every register."""


class ComparedReplica(Protocol):
    """The replica whose registers are compared with those of the others."""

    replica_id: str
    majority: int
    incarnation: int
    known_incarnations: dict[str, int]
    registers: RegisterTable
    directory: Any

    @property
    def is_voting(self) -> bool:
        """Whether the replica votes now."""

    def register_state(self, key: str) -> Any:
        """Return the state of a register, an empty one if it was never written."""

    def merge(self, registers: Mapping[str, RegisterCopy]) -> dict[str, Any]:
        """Merge copies of registers from another replica; return the records to write."""


class ReplicationCheck:
    """The rounds of a departing replica, and the answers of the remaining ones."""

    __slots__ = (
        "node",
        "replica",
        "round_number",
        "keys",
        "cursors",
        "began_at_change",
        "sent_us",
        "on_preempted",
    )

    def __init__(
        self, node: Node, replica: ComparedReplica, on_preempted: Callable[[str], None]
    ) -> None:
        """`on_preempted(key)` is called for a value that only a higher ballot can write."""
        self.node = node
        self.replica = replica
        self.on_preempted = on_preempted
        self.round_number = 0
        self.keys: list[str] = []
        self.cursors: dict[str, str | None] = {}
        self.began_at_change = NO_ROUND
        self.sent_us = 0
        node.register_handler(BallotPage, self.on_ballot_page)
        node.register_handler(MissingValues, self.on_missing_values)
        node.register_handler(LateAccepts, self.on_late_accepts)

    def begin_round(self, is_final: bool) -> None:
        """Start a round; the final one covers only changes since the previous round began."""
        replica = self.replica
        since = self.began_at_change if is_final else NO_ROUND
        self.began_at_change = replica.registers.change_count
        self.round_number += 1
        self.keys = sorted(
            key
            for key, state in replica.registers.states.items()
            if state.version > since and state.accepted is not None
        )
        others = (name for name in replica.directory.replicas() if name != replica.replica_id)
        self.cursors = dict.fromkeys(others, "")
        self._send_all()

    def is_replicated(self) -> bool:
        """Whether a majority of all replicas, not counting this one, has all of this round."""
        num_complete = sum(cursor is None for cursor in self.cursors.values())
        return num_complete >= self.replica.majority

    def tick(self, now_us: int) -> None:
        """Send unanswered pages again, since messages may be lost."""
        if now_us - self.sent_us >= RESEND_INTERVAL_US:
            self._send_all()

    def _send_all(self) -> None:
        self.sent_us = self.node.now_us()
        for name, cursor in self.cursors.items():
            if cursor is not None:
                self._send_ballot_page(name, cursor)

    def _page(self, after: str) -> list[str]:
        first = bisect_right(self.keys, after)
        return self.keys[first : first + KEYS_PER_PAGE]

    def _send_ballot_page(self, name: str, cursor: str) -> None:
        replica = self.replica
        found = replica.directory.replicas().get(name)
        if found is None:
            return
        states: Mapping[str, Any] = replica.registers.states
        page = BallotPage(
            round_number=self.round_number,
            after=cursor,
            replica_id=replica.replica_id,
            incarnation=replica.incarnation,
            ballots={key: states[key].accepted for key in self._page(cursor) if key in states},
        )
        self.node.send(found[0], page)

    def _accepts_from(self, message: BallotPage | LateAccepts) -> bool:
        """Whether this replica votes and knows no newer instance than the sender's."""
        newest = self.replica.known_incarnations.get(message.replica_id, 0)
        return self.replica.is_voting and message.incarnation >= newest

    def on_ballot_page(self, page: BallotPage) -> None:
        """Answer which values of the page this replica misses."""
        if not self._accepts_from(page):
            return
        missing: list[str] = []
        preempted: list[str] = []
        for key, ballot in page.ballots.items():
            state = self.replica.register_state(key)
            if state.accepted is not None and state.accepted >= ballot:
                continue
            (preempted if state.promise > ballot else missing).append(key)
        answer = MissingValues(
            replica_id=self.replica.replica_id,
            round_number=page.round_number,
            after=page.after,
            missing=missing,
            preempted=preempted,
        )
        self.node.send(page.reply_to, answer)

    def on_missing_values(self, answer: MissingValues) -> None:
        """Send the missing values, or the next page if none is missing."""
        name, cursor = answer.replica_id, answer.after
        if answer.round_number != self.round_number or self.cursors.get(name) != cursor:
            return
        for key in answer.preempted:
            self.on_preempted(key)
        if answer.missing:
            return self._send_late_accepts(answer.reply_to, answer.missing)
        if answer.preempted:
            return
        page = self._page(cursor)
        is_last = not page or page[-1] == self.keys[-1]
        self.cursors[name] = None if is_last else page[-1]
        if not is_last:
            self._send_ballot_page(name, page[-1])

    def _send_late_accepts(self, address: str, keys: list[str]) -> None:
        states: Mapping[str, Any] = self.replica.registers.states
        accepts = LateAccepts(
            replica_id=self.replica.replica_id,
            incarnation=self.replica.incarnation,
            registers={
                key: (states[key].accepted, states[key].value) for key in keys if key in states
            },
        )
        self.node.send(address, accepts)

    def on_late_accepts(self, accepts: LateAccepts) -> None:
        """Accept the values whose ballots aren't below the register's promise.

        There is no answer, also if the write fails: the page is sent again and shows what is still
        missing.
        """
        if not self._accepts_from(accepts):
            return
        registers = {
            key: (ballot, ballot, value)
            for key, (ballot, value) in accepts.registers.items()
            if self.replica.register_state(key).promise <= ballot
        }
        self.node.ports.storage.write(self.replica.merge(registers), lambda is_synced: None)
