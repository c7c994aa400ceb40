"""The proposer: updates a register by a prepare round and an accept round.

Each round needs a majority of the replicas, and ballots increase (Lamport, Paxos Made Simple, 2.2
and 2.4). Concurrent updates of a register are ordered by their ballots: the later one is applied to
the value that the earlier one wrote.

| phase | message or event | what it does | next |
| --- | --- | --- | --- |
| - | `propose` | sends `Prepare` under a new ballot | PREPARE |
| PREPARE | `Promise` from a majority | calls the update with the newest value | ACCEPT |
| PREPARE | the update stops, and the value is chosen | ends: STOPPED | - |
| PREPARE | a majority, and no value to write | ends: CHOSEN with None, or STOPPED | - |
| ACCEPT | `Accepted` from a majority | sends `Chosen`, ends: CHOSEN or STOPPED | - |
| PREPARE, ACCEPT | preempted | raises its counter, waits a random time | BACKING_OFF |
| any | end of the attempt's time or the backoff | sends `Prepare` under a new ballot | PREPARE |
| any | deadline, or no majority answers | ends: UNKNOWN once accepts were sent, else REFUSED | - |

Answers to another ballot or phase are ignored, except that they show that a replica is reachable.

Invariant: a proposal that stops on a value which may not be chosen yet has that value accepted by a
majority first; otherwise a caller could be refused because of a version that nobody ever reads
(`test_no_order_is_refused_for_a_value_that_may_yet_lose_to_it`).
Invariant: a promise from an older instance of a replica than the proposer knows isn't counted, and
an accept names the incarnations whose promises it is based on
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
"""Timeout of an attempt in either round; the next one uses a higher ballot."""

DEADLINE_US = 2_000_000
BACKOFF_US = 30_000
"""A preempted proposal waits a random time of up to this for each attempt it made."""

BACKOFF_ATTEMPTS_MAX = 6
MAX_TICK_STEP_US = 250_000
"""Longest time between two ticks that counts as waiting; beyond it the process was suspended, and
answers may have arrived that aren't read yet."""

NO_MAJORITY = "no_majority"
"""Reason of a proposal that got no answer from a majority and no refusal."""


class ReplicaDirectory(Protocol):
    """Addresses and incarnations of the replicas; implemented by the membership."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """Return address and incarnation of the newest instance of each replica."""

    def learn_incarnations(self, known: Mapping[str, int]) -> None:
        """Raise the known incarnations to those given."""


class AcceptedRegisters(Protocol):
    """The values that this node's own replica has accepted."""

    def accepted_of(self, key: str) -> AcceptedValue:
        """Return the last accepted ballot of a key, and its value."""


class NoReplica:
    """`AcceptedRegisters` of a node that isn't a replica."""

    __slots__ = ()

    def accepted_of(self, key: str) -> AcceptedValue:
        """Return `NOTHING_ACCEPTED`."""
        return NOTHING_ACCEPTED


class Proposer:
    """Updates registers by read-modify-write; owns this node's ballot counter and its proposals.

    A proposal ends early if no majority has answered for `silent_us` (see `MajorityMonitor`); one
    that is preempted or slow goes on until its deadline.

    `own_registers` gives what this node's own replica, if it has one, accepted last. Promises of
    the same ballot then omit the value, since a ballot never has two values.
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
        """Create a proposer without proposals.

        `majority` defaults to that of the deployment's number of replicas. If `silent_us` is None,
        every proposal waits for its deadline.
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
        node.tick_handlers.append(self.tick)

    @property
    def is_cut_off(self) -> bool:
        """Whether no majority has answered since a proposal last ended for that reason."""
        return self.monitor.is_cut_off

    def propose(
        self,
        key: str,
        update: Update,
        on_result: OnResult,
        deadline_us: int = DEADLINE_US,
        is_patient: bool = False,
    ) -> None:
        """Update a register: `update` is called with its current value, once for each attempt.

        `on_result` is called once with the outcome, at most one tick after `deadline_us` from now.
        A proposal with `is_patient` waits until then even if no majority answers.
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
        """Read a register, linearizably: a majority accepts its value again under a new ballot."""
        self.propose(key, lambda value: (UpdateAction.KEEP, None), on_result)

    # Phase 1: prepare

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
        """Count a promise; once a majority has promised, call the update."""
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
        """Call the update with the value that the majority's promises gave, and act on it."""
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

    # Phase 2: accept

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
        """Count an accept; once a majority has accepted, the value is chosen."""
        proposal = self._proposal_answered(message, Phase.ACCEPT)
        if proposal is None:
            return
        proposal.votes.add(message.replica_id)
        if len(proposal.votes) < self.majority:
            return
        for address, _ in self.directory.replicas().values():
            self.node.send(address, Chosen(key=proposal.key, ballot=proposal.ballot))
        self._end(proposal, *(proposal.stopped_with or (Outcome.CHOSEN, proposal.value)))

    # Answers of both phases

    def _proposal_answered(self, message: Answer, phase: Phase) -> Proposal | None:
        """Return the proposal that a vote counts for, or None if it doesn't count."""
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
        """Wait a random time, so that two proposers don't preempt each other forever."""
        proposal.phase = Phase.BACKING_OFF
        max_backoff_us = BACKOFF_US * min(proposal.num_attempts, BACKOFF_ATTEMPTS_MAX)
        backoff_us = self.node.ports.random.randrange(max_backoff_us // 4, max_backoff_us)
        proposal.attempt_until_us = self.node.now_us() + backoff_us

    # End of a proposal

    def _end(self, proposal: Proposal, outcome: Outcome, value: Any) -> None:
        del self.proposals[proposal.id]
        proposal.on_result(outcome, value)

    def _give_up(self, proposal: Proposal) -> None:
        outcome = Outcome.UNKNOWN if proposal.has_sent_accept else Outcome.REFUSED
        self._end(proposal, outcome, proposal.refusal)

    def _on_silence(self, proposal: Proposal) -> None:
        """End a proposal to which no majority answers.

        The caller is told before its own deadline, so that it can try another node.
        """
        self.monitor.on_silence()
        proposal.refusal = proposal.refusal or NO_MAJORITY
        self._give_up(proposal)

    def tick(self, now_us: int) -> None:
        """End proposals whose deadline has passed, and start the next attempt of others.

        Time in which this process was suspended isn't counted as silence of the replicas, since
        their answers may not be read yet.
        """
        suspended_us = max(0, now_us - self.ticked_us - MAX_TICK_STEP_US)
        self.ticked_us = now_us
        for proposal in list(self.proposals.values()):
            proposal.last_majority_us += suspended_us
            if now_us >= proposal.deadline_us:
                self._give_up(proposal)
            elif proposal.is_silent(now_us):
                self._on_silence(proposal)
            elif now_us >= proposal.attempt_until_us:
                self._prepare(proposal, now_us)
