"""The acceptor: a replica's votes on ballots of its registers (Lamport, Paxos Made Simple, 2.2).

| message | the register | what it does |
| --- | --- | --- |
| any | the replica may not vote on it | refuses, with the replica's reason |
| `Prepare` | promised this ballot or a higher one | refuses as preempted |
| `Prepare` | promised lower ones | promises it, and returns its last accepted ballot and value |
| `Accept` | promised a higher ballot | refuses as preempted |
| `Accept` | promised this ballot or lower ones | accepts the value |
| `Chosen` | accepted this very ballot last | marks its value as chosen |
| `Chosen` | any other | nothing |

Invariant: no register accepts a ballot below its promise (`forget_promises` in
`tests/test_explore.py`).
Invariant: a ballot is promised at most once, since it names its proposer (`let_ballots_be_alike`
there).
Invariant: a vote is sent only after the register is synced to disk (`answer_before_the_sync`
there).
Invariant: a vote is never sent if its sync completes under another incarnation, or after the
replica has stopped voting, since another replica may have read its state in between
(`test_a_vote_is_never_sent_under_another_incarnation_or_after_voting_ended`).

For the register of the configuration, `BlobGuard` (package configuration) is called before
`on_accept` and first stores the documents that the value refers to.
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.runtime import Node

from .paxos_messages import (
    DISK_REFUSED,
    PREEMPTED,
    Accept,
    Accepted,
    Ballot,
    Chosen,
    Prepare,
    Promise,
    Request,
)
from .registers import RegisterState, RegisterTable, record_key

DISK_REFUSED_EVENT = 1205


class Voter(Protocol):
    """The replica that the acceptor votes for."""

    @property
    def replica_id(self) -> str:
        """The id of the replica; "" for a spare."""

    @property
    def incarnation(self) -> int:
        """The incarnation that votes are given under."""

    @property
    def is_voting(self) -> bool:
        """Whether the replica votes now."""

    def refusal_reason(self, request: Request) -> str | None:
        """Return the reason to refuse a request, or None if the replica may vote on it."""

    def all_incarnations(self) -> dict[str, int]:
        """Return the newest known incarnation of each replica, including this one."""

    def on_vote_synced(self, is_synced: bool) -> None:
        """Record whether the disk synced the last vote."""


class Acceptor:
    """Votes for a replica; syncs each change of `registers` to disk before it answers."""

    __slots__ = ("node", "voter", "registers", "on_change")

    def __init__(
        self,
        node: Node,
        voter: Voter,
        registers: RegisterTable,
        on_change: Callable[[str], None],
    ) -> None:
        """`on_change` is called with a register's key after each vote, and when it is chosen."""
        self.node = node
        self.voter = voter
        self.registers = registers
        self.on_change = on_change
        node.register_handler(Prepare, self.on_prepare)
        node.register_handler(Accept, self.on_accept)
        node.register_handler(Chosen, self.on_chosen)

    def on_prepare(self, message: Prepare) -> None:
        """Promise a ballot that is higher than the register's promise."""
        reason = self.voter.refusal_reason(message)
        if reason is not None:
            return self._refuse(message, Promise, reason)
        register = self.registers.get_or_create(message.key)
        if message.ballot <= register.promise:
            return self._refuse(message, Promise, PREEMPTED, highest=register.promise)
        register.promise = message.ballot
        accepted = register.accepted
        value = None if accepted == message.own_accepted else register.value
        self._vote(message, register, Promise, accepted=accepted, value=value)

    def on_accept(self, message: Accept) -> None:
        """Accept a value, unless a higher ballot is promised."""
        reason = self.voter.refusal_reason(message)
        if reason is not None:
            return self._refuse(message, Accepted, reason)
        register = self.registers.get_or_create(message.key)
        if message.ballot < register.promise:
            return self._refuse(message, Accepted, PREEMPTED, highest=register.promise)
        register.promise = message.ballot
        register.accepted = message.ballot
        register.value = message.value
        self._vote(message, register, Accepted)

    def on_chosen(self, message: Chosen) -> None:
        """Mark the register's value as chosen if this ballot is the one accepted last."""
        register = self.registers.states.get(message.key)
        if register is None or register.accepted != message.ballot:
            return
        register.chosen = register.accepted
        self.on_change(message.key)

    def _vote(
        self,
        message: Request,
        register: RegisterState,
        answer_type: type[Promise] | type[Accepted],
        **fields: Any,
    ) -> None:
        """Sync the register, then answer yes; answer no if the disk refuses the write."""
        self.registers.note_change(register)

        def on_synced(is_synced: bool) -> None:
            self.voter.on_vote_synced(is_synced)
            if not is_synced:
                self.node.ports.log(DISK_REFUSED_EVENT, key=message.key)
                return self._refuse(message, answer_type, DISK_REFUSED)
            if not self.voter.is_voting or message.incarnation != self.voter.incarnation:
                return
            self._answer(message, answer_type, is_yes=True, **fields)
            self.on_change(message.key)

        self.node.ports.storage.write({record_key(message.key): register.as_record()}, on_synced)

    def _refuse(
        self,
        message: Request,
        answer_type: type[Promise] | type[Accepted],
        reason: str,
        **fields: Ballot,
    ) -> None:
        self._answer(message, answer_type, is_yes=False, reason=reason, **fields)

    def _answer(
        self, message: Request, answer_type: type[Promise] | type[Accepted], **fields: Any
    ) -> None:
        answer = answer_type(
            id=message.id,
            ballot=message.ballot,
            replica_id=self.voter.replica_id,
            incarnation=self.voter.incarnation,
            known_incarnations=self.voter.all_incarnations(),
            **fields,
        )
        self.node.send(message.reply_to, answer)
