"""The proposer: brings a change of a register through prepare and accept.

Each phase needs a majority of the replicas, and ballots rise (Lamport, Paxos Made Simple, 2.2 and
2.4). Two concurrent updates of a register are ordered by their ballots: the later one is applied to
the value that the earlier one left.

| phase | message or event | what it does | next |
| --- | --- | --- | --- |
| - | `propose` | sends `Prepare` under a new ballot | PREPARE |
| PREPARE | `Promise` of a majority | gives the value of the highest ballot to the update | ACCEPT |
| PREPARE | the update stops, and the value is chosen | ends: STOPPED | - |
| PREPARE | a majority, and no value to write | ends: CHOSEN with None, or STOPPED | - |
| ACCEPT | `Accepted` of a majority | sends `Chosen`, ends: CHOSEN or STOPPED | - |
| PREPARE, ACCEPT | preempted | raises its counter, waits a random time | BACKING_OFF |
| any | the attempt's time is over | sends `Prepare` under a new ballot | PREPARE |
| any | deadline, or silence | ends: UNKNOWN once accepts were sent, else REFUSED | - |

Answers to another ballot or phase are ignored, but count as a sign of contact.

Invariant: a proposal that stops at a value which may not be chosen yet brings that value through
its own accept first; else its sender would be refused for a version that nobody ever reads
(`test_no_order_is_refused_for_a_value_that_may_yet_lose_to_it`).
Invariant: a promise that comes from an older instance than the proposer knows counts for nothing,
and an accept names the instances whose promises it rests on
(`test_a_replica_is_read_only_after_it_recorded_the_newcomer_so_no_late_vote_counts`).
"""

from collections.abc import Mapping
from typing import Any, Protocol

from linkhaven.runtime import Node

from .majority_monitor import MajorityMonitor
from .paxos_messages import PREEMPTED, Accept, Accepted, Answer, Ballot, Chosen, Prepare, Promise
from .proposal import (
    NOTHING_ACCEPTED,
    AcceptedValue,
    OnResult,
    Outcome,
    Phase,
    Proposal,
    Update,
    UpdateAction,
)

ATTEMPT_US = 400_000
"""How long an attempt may take before the next one, under a higher ballot."""

DEADLINE_US = 2_000_000
BACKOFF_US = 30_000
"""A preempted proposal rests up to this for each attempt it made, at random."""

BACKOFF_ATTEMPTS_MAX = 6
MAX_TICK_STEP_US = 250_000
"""The longest step between two ticks in which the others may have answered unread."""

NO_MAJORITY = "no_majority"
"""The reason of a proposal that nobody refused and no majority answered."""


class ReplicaDirectory(Protocol):
    """Knows where the replicas are; the membership does."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """Return address and incarnation of the newest instance of each replica."""

    def learn_incarnations(self, known: Mapping[str, int]) -> None:
        """Take over higher incarnations."""


class AcceptedRegisters(Protocol):
    """What this node's own replica has accepted."""

    def accepted_of(self, key: str) -> AcceptedValue:
        """Return the ballot that it accepted last for a key, and its value."""


class NoReplica:
    """A node without a replica has accepted nothing."""

    __slots__ = ()

    def accepted_of(self, key: str) -> AcceptedValue:
        """Return that nothing was accepted."""
        return NOTHING_ACCEPTED


class Proposer:
    """Changes registers by read-modify-write; owns this node's ballot counter and its proposals.

    A change to which no majority has answered for `silent_us` ends then; one that is contested or
    slow goes on until its deadline (see `MajorityMonitor`).

    `own_registers` says what this node's own replica, if it has one, accepted last. Promises then
    name that ballot without the value: one ballot never has two values.
    """

    __slots__ = (
        "node",
        "directory",
        "own_registers",
        "majority",
        "monitor",
        "counter",
        "proposals",
        "serial",
        "ticked_us",
    )

    def __init__(
        self,
        node: Node,
        directory: ReplicaDirectory,
        majority: int | None = None,
        silent_us: int | None = None,
        own_registers: AcceptedRegisters | None = None,
    ) -> None:
        """Nothing is proposed yet.

        `majority` None: of as many replicas as the deployment has; `silent_us` None: every change
        waits for its deadline.
        """
        self.node = node
        self.directory = directory
        self.own_registers = own_registers or NoReplica()
        self.majority = majority or node.bounds.seats // 2 + 1
        self.monitor = MajorityMonitor(silent_us)
        self.counter = 0
        self.proposals: dict[str, Proposal] = {}
        self.serial = 0
        self.ticked_us = node.now_us()
        node.register_handler(Promise, self.on_promise)
        node.register_handler(Accepted, self.on_accepted)
        node.systems.append(self.tick)

    @property
    def is_cut_off(self) -> bool:
        """Whether the last word on the majority is that it doesn't answer."""
        return self.monitor.is_cut_off

    def propose(
        self,
        key: str,
        update: Update,
        on_result: OnResult,
        deadline_us: int = DEADLINE_US,
        is_patient: bool = False,
    ) -> None:
        """Change a register: `update` is called with its value, once for each attempt.

        `on_result` is called once, with the outcome, no later than a tick after `deadline_us` from
        now. A patient proposal waits for that though no majority answers.
        """
        now_us = self.node.now_us()
        self.serial += 1
        proposal_id = f"{self.node.name}/{now_us}/{self.serial}"
        proposal = self.proposals[proposal_id] = Proposal(
            proposal_id,
            key,
            update,
            on_result,
            deadline_us=now_us + deadline_us,
            last_majority_us=now_us,
            silence_bound_us=None if is_patient else self.monitor.silence_bound_us(),
        )
        self._prepare(proposal, now_us)

    def read(self, key: str, on_result: OnResult) -> None:
        """Read a register: its value is accepted once more by a majority, and so chosen."""
        self.propose(key, lambda value: (UpdateAction.KEEP, None), on_result)

    # phase 1

    def _prepare(self, proposal: Proposal, now_us: int) -> None:
        self.counter += 1
        proposal.begin_attempt(
            [self.counter, self.node.name],
            now_us + ATTEMPT_US,
            self.own_registers.accepted_of(proposal.key),
        )
        replicas = self.directory.replicas()
        known = {replica_id: incarnation for replica_id, (_, incarnation) in replicas.items()}
        for replica_id, (address, incarnation) in replicas.items():
            request = Prepare(
                id=proposal.id,
                key=proposal.key,
                ballot=proposal.ballot,
                replica_id=replica_id,
                incarnation=incarnation,
                known_incarnations=known,
                own_accepted=proposal.own_accepted.ballot,
            )
            self.node.send(address, request)

    def on_promise(self, message: Promise) -> None:
        """Count a promise; with those of a majority, let the update decide."""
        proposal = self._proposal_answered(message, Phase.PREPARE)
        if proposal is None:
            return
        accepted = message.accepted or None
        if accepted and (proposal.highest is None or accepted > proposal.highest):
            proposal.highest = accepted
            own = proposal.own_accepted
            proposal.value = own.value if accepted == own.ballot else message.value
        proposal.votes.add((message.replica_id, message.incarnation))
        proposal.accepted[message.replica_id] = accepted
        if len(proposal.votes) >= self.majority:
            self._update(proposal)

    def _update(self, proposal: Proposal) -> None:
        """A majority has promised: ask the update what to do with the value that it found."""
        action, result = proposal.update(proposal.value)
        is_stop = action == UpdateAction.STOP
        if is_stop and not proposal.has_sent_accept and self._is_chosen(proposal):
            return self._end(proposal, Outcome.STOPPED, result)
        proposal.stopped_with = (Outcome.STOPPED, result) if is_stop else None
        if action == UpdateAction.SET:
            proposal.value = result
        if proposal.value is None:
            return self._end(proposal, *(proposal.stopped_with or (Outcome.CHOSEN, None)))
        proposal.phase = Phase.ACCEPT
        proposal.attempt_until_us = self.node.now_us() + ATTEMPT_US
        proposal.has_sent_accept = proposal.has_sent_accept or not is_stop
        promised = proposal.votes
        proposal.votes = set()
        proposal.answered = set()
        self._send_accept(proposal, promised)

    def _is_chosen(self, proposal: Proposal) -> bool:
        return proposal.is_one_ballot_accepted()

    # phase 2

    def _send_accept(self, proposal: Proposal, promised: set[tuple[str, int]]) -> None:
        replicas = self.directory.replicas()
        known = {replica_id: incarnation for replica_id, (_, incarnation) in replicas.items()}
        for replica_id, incarnation in promised:
            known[replica_id] = incarnation
        for replica_id, (address, _) in replicas.items():
            request = Accept(
                id=proposal.id,
                key=proposal.key,
                ballot=proposal.ballot,
                value=proposal.value,
                replica_id=replica_id,
                incarnation=known[replica_id],
                known_incarnations=known,
            )
            self.node.send(address, request)

    def on_accepted(self, message: Accepted) -> None:
        """Count a vote; with those of a majority the value is chosen."""
        proposal = self._proposal_answered(message, Phase.ACCEPT)
        if proposal is None:
            return
        proposal.votes.add(message.replica_id)
        if len(proposal.votes) < self.majority:
            return
        for address, _ in self.directory.replicas().values():
            self.node.send(address, Chosen(key=proposal.key, ballot=proposal.ballot))
        self._end(proposal, *(proposal.stopped_with or (Outcome.CHOSEN, proposal.value)))

    # answers of both phases

    def _proposal_answered(self, message: Answer, phase: Phase) -> Proposal | None:
        """Return the proposal that a vote counts for, or None where it counts for nothing."""
        self.directory.learn_incarnations(message.known_incarnations)
        proposal = self.proposals.get(message.id)
        is_voting = message.is_yes or message.reason == PREEMPTED
        if is_voting:
            self.monitor.on_answer(message.replica_id, self.majority)
        if proposal is None or proposal.phase != phase or message.ballot != proposal.ballot:
            return None
        if is_voting:
            self._note_answer(proposal, message.replica_id)
        if not message.is_yes:
            self._on_refusal(proposal, message)
            return None
        known = self.directory.replicas().get(message.replica_id)
        if known and known[1] > message.incarnation:
            return None
        return proposal

    def _note_answer(self, proposal: Proposal, replica_id: str) -> None:
        proposal.answered.add(replica_id)
        if len(proposal.answered) >= self.majority:
            proposal.last_majority_us = self.node.now_us()

    def _on_refusal(self, proposal: Proposal, message: Answer) -> None:
        proposal.refusal = message.reason or None
        if message.reason != PREEMPTED:
            return
        highest: Ballot = message.highest  # type: ignore[assignment]
        self.counter = max(self.counter, highest[0])
        self._back_off(proposal)

    def _back_off(self, proposal: Proposal) -> None:
        """Wait at random, so that two proposers don't preempt each other for ever."""
        proposal.phase = Phase.BACKING_OFF
        reach_us = BACKOFF_US * min(proposal.num_attempts, BACKOFF_ATTEMPTS_MAX)
        rest_us = self.node.ports.random.randrange(reach_us // 4, reach_us)
        proposal.attempt_until_us = self.node.now_us() + rest_us

    # the end

    def _end(self, proposal: Proposal, outcome: Outcome, value: Any) -> None:
        del self.proposals[proposal.id]
        proposal.on_result(outcome, value)

    def _give_up(self, proposal: Proposal) -> None:
        outcome = Outcome.UNKNOWN if proposal.has_sent_accept else Outcome.REFUSED
        self._end(proposal, outcome, proposal.refusal)

    def _on_silence(self, proposal: Proposal) -> None:
        """No majority answered.

        The caller gets to know while it still listens, and may go on to another node.
        """
        self.monitor.on_silence()
        proposal.refusal = proposal.refusal or NO_MAJORITY
        self._give_up(proposal)

    def tick(self, now_us: int) -> None:
        """End the proposals whose time is over, and begin the next attempt of others.

        Time that this node slept through is no silence of others: their answers may wait unread.
        """
        slept_us = max(0, now_us - self.ticked_us - MAX_TICK_STEP_US)
        self.ticked_us = now_us
        for proposal in list(self.proposals.values()):
            proposal.last_majority_us += slept_us
            if now_us >= proposal.deadline_us:
                self._give_up(proposal)
            elif proposal.is_silent(now_us):
                self._on_silence(proposal)
            elif now_us >= proposal.attempt_until_us:
                self._prepare(proposal, now_us)
