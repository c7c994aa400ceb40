"""The proposer of the register: prepare and accept, each at a majority of seats, under rising
ballots."""

SHOT_US = 400_000
DEADLINE_US = 2_000_000
BACKOFF_US = 30_000
STEP_AT_MOST_US = 250_000
CUT_OFF_SHARE = 3
NO_MAJORITY = "no_majority"

PREPARE, ACCEPT, RESTING = "prepare", "accept", "resting"


class Proposal:
    """One change of a key on its way: its ballot, who has answered it, and what it found."""

    __slots__ = (
        "id",
        "key",
        "update",
        "on_result",
        "phase",
        "ballot",
        "votes",
        "accepted",
        "held",
        "highest",
        "value",
        "result",
        "deadline_us",
        "attempt_until_us",
        "attempts",
        "has_sent_accept",
        "refusal",
        "answered",
        "heard_us",
        "silent_us",
    )

    def __init__(self, id, key, update, on_result, deadline_us):
        self.id = id
        self.key = key
        self.update = update
        self.on_result = on_result
        self.deadline_us = deadline_us
        self.phase = RESTING
        self.ballot = None
        self.votes = set()
        self.accepted = {}
        self.held = (None, None)
        self.highest = None
        self.value = None
        self.result = None
        self.attempt_until_us = 0
        self.attempts = 0
        self.has_sent_accept = False
        self.refusal = None
        self.answered = set()
        self.heard_us = 0
        self.silent_us = None


class Proposer:
    """Changes a key of the register in two rounds at a majority.

    step(value) answers ("set", new), ("keep", None) or ("stop", result);
    done(outcome, value) hears "chosen", "stopped", "unknown" or "refused".

    A change to which no majority has answered for `silent_us` ends then; one that is contested or
    slow goes on until its deadline. Once a change ended so, the node is cut off, and later
    changes wait a third of that, until a majority has answered anything.

    `held_of(key)` says what this node's own seat, if it has one, accepted last: the ballot and the
    value. A promise then names that ballot without the value: one ballot never has two values."""

    __slots__ = (
        "node",
        "directory",
        "majority",
        "counter",
        "proposals",
        "serial",
        "silent_us",
        "is_cut_off",
        "reached",
        "ticked_us",
        "accepted_of",
    )

    def __init__(self, node, directory, majority=None, silent_us=None):
        """`silent_us` None: every change waits for its deadline."""
        self.node = node
        self.directory = directory
        self.majority = majority or node.bounds.seats // 2 + 1
        self.counter = 0
        self.proposals = {}
        self.serial = 0
        self.silent_us = silent_us
        self.is_cut_off = False
        self.reached = set()
        self.ticked_us = node.now_us()
        self.accepted_of = lambda key: (None, None)
        node.map_handlers["promise"] = self.hear_promise
        node.map_handlers["accepted"] = self.hear_accepted
        node.systems.append(self.tick)

    def propose(self, key, update, on_result, deadline_us=DEADLINE_US, is_patient=False):
        """Change a key; one that is patient waits for its deadline though no majority answers."""
        now_us = self.node.now_us()
        self.serial += 1
        id = f"{self.node.name}/{now_us}/{self.serial}"
        proposal = self.proposals[id] = Proposal(id, key, update, on_result, now_us + deadline_us)
        proposal.heard_us = now_us
        proposal.silent_us = None if is_patient else self._silent_bound_us()
        self._prepare(proposal, now_us)

    def _silent_bound_us(self):
        if self.silent_us is None or not self.is_cut_off:
            return self.silent_us
        return self.silent_us // CUT_OFF_SHARE

    def read(self, key, on_result):
        self.propose(key, lambda value: ("keep", None), on_result)

    def _prepare(self, proposal, now_us):
        self.counter += 1
        proposal.attempts += 1
        proposal.phase = PREPARE
        proposal.ballot = [self.counter, self.node.name]
        proposal.votes = set()
        proposal.accepted = {}
        proposal.answered = set()
        proposal.highest = None
        proposal.value = None
        proposal.attempt_until_us = now_us + SHOT_US
        proposal.held = self.accepted_of(proposal.key)
        self._send_to_replicas("prepare", proposal, held=proposal.held[0])

    def _send_to_replicas(self, say, proposal, **facts):
        replicas = self.directory.replicas()
        known = {replica_id: incarnation for replica_id, (_, incarnation) in replicas.items()}
        for replica_id, (address, incarnation) in replicas.items():
            self.node.send_untyped(
                address,
                say,
                id=proposal.id,
                key=proposal.key,
                ballot=proposal.ballot,
                seat=replica_id,
                incarnation=incarnation,
                known=known,
                **facts,
            )

    def _vote_of(self, message, phase):
        self.directory.learn_incarnations(message.get("known") or {})
        proposal = self.proposals.get(message["id"])
        is_answer = message["is_yes"] or message.get("why") == "ballot"
        if is_answer:
            self._note_contact(message["seat"])
        if proposal is None or proposal.phase != phase or message["ballot"] != proposal.ballot:
            return None
        if is_answer:
            self._note_answer(proposal, message["seat"])
        if not message["is_yes"]:
            self._hear_refusal(proposal, message)
            return None
        known = self.directory.replicas().get(message["seat"])
        if known and known[1] > message["incarnation"]:
            return None
        return proposal

    def _note_contact(self, replica_id):
        """Late answers count, too: they show that a majority can be reached."""
        if not self.is_cut_off:
            return
        self.reached.add(replica_id)
        if len(self.reached) >= self.majority:
            self.is_cut_off = False

    def _note_answer(self, proposal, replica_id):
        proposal.answered.add(replica_id)
        if len(proposal.answered) >= self.majority:
            proposal.heard_us = self.node.now_us()

    def _hear_refusal(self, proposal, message):
        proposal.refusal = message.get("why")
        if message.get("why") != "ballot":
            return
        self.counter = max(self.counter, message["highest"][0])
        self._rest(proposal)

    def _rest(self, proposal):
        proposal.phase = RESTING
        reach = BACKOFF_US * min(proposal.attempts, 6)
        proposal.attempt_until_us = self.node.now_us() + self.node.ports.random.randrange(
            reach // 4, reach
        )

    def hear_promise(self, message):
        proposal = self._vote_of(message, PREPARE)
        if proposal is None:
            return
        accepted = message["accepted"]
        if accepted and (proposal.highest is None or accepted > proposal.highest):
            proposal.highest = accepted
            ballot, value = proposal.held
            proposal.value = value if accepted == ballot else message["value"]
        proposal.votes.add((message["seat"], message["incarnation"]))
        proposal.accepted[message["seat"]] = accepted
        if len(proposal.votes) >= self.majority:
            self._update(proposal)

    def _update(self, proposal):
        """A majority has promised. A change that stops at a value which may not be in force yet
        brings that in force first: else its sender would be refused for a version that nobody
        ever reads."""
        verb, fruit = proposal.update(proposal.value)
        if verb == "stop" and not proposal.has_sent_accept and self._is_chosen(proposal):
            return self._end(proposal, "stopped", fruit)
        proposal.result = ("stopped", fruit) if verb == "stop" else None
        if verb == "set":
            proposal.value = fruit
        if proposal.value is None:
            return self._end(proposal, *(proposal.result or ("chosen", None)))
        proposal.phase = ACCEPT
        proposal.attempt_until_us = self.node.now_us() + SHOT_US
        proposal.has_sent_accept = proposal.has_sent_accept or verb != "stop"
        promised = proposal.votes
        proposal.votes = set()
        proposal.answered = set()
        self._tell_accept(proposal, promised)

    def _is_chosen(self, proposal):
        """Whether the majority that promised had accepted one and the same ballot.

        A refusal may rest on nothing less: a value that only some seats hold may lose to the very
        order that it would refuse, which then would be in force though it was refused."""
        first, *rest = proposal.accepted.values()
        return all(accepted == first for accepted in rest)

    def _tell_accept(self, proposal, promised):
        replicas = self.directory.replicas()
        known = {replica_id: incarnation for replica_id, (_, incarnation) in replicas.items()}
        for replica_id, incarnation in promised:
            known[replica_id] = incarnation
        for replica_id, (address, _) in replicas.items():
            self.node.send_untyped(
                address,
                "accept",
                id=proposal.id,
                key=proposal.key,
                ballot=proposal.ballot,
                value=proposal.value,
                seat=replica_id,
                incarnation=known[replica_id],
                known=known,
            )

    def hear_accepted(self, message):
        proposal = self._vote_of(message, ACCEPT)
        if proposal is None:
            return
        proposal.votes.add(message["seat"])
        if len(proposal.votes) < self.majority:
            return
        for replica_id, (address, _) in self.directory.replicas().items():
            self.node.send_untyped(address, "chosen", key=proposal.key, ballot=proposal.ballot)
        outcome, value = proposal.result or ("chosen", proposal.value)
        self._end(proposal, outcome, value)

    def _end(self, proposal, outcome, value):
        del self.proposals[proposal.id]
        proposal.on_result(outcome, value)

    def _give_up(self, proposal):
        self._end(proposal, "unknown" if proposal.has_sent_accept else "refused", proposal.refusal)

    def _is_silent(self, proposal, now_us):
        return proposal.silent_us is not None and now_us - proposal.heard_us >= proposal.silent_us

    def _hear_silence(self, proposal):
        """No majority answered: the caller is told while it still listens, and may go on to
        another node."""
        self.is_cut_off = True
        self.reached = set()
        proposal.refusal = proposal.refusal or NO_MAJORITY
        self._give_up(proposal)

    def tick(self, now_us):
        """Time that this node slept through is no silence of others: their answers may wait
        unread."""
        slept_us = max(0, now_us - self.ticked_us - STEP_AT_MOST_US)
        self.ticked_us = now_us
        for proposal in list(self.proposals.values()):
            proposal.heard_us += slept_us
            if now_us >= proposal.deadline_us:
                self._give_up(proposal)
            elif self._is_silent(proposal, now_us):
                self._hear_silence(proposal)
            elif now_us >= proposal.attempt_until_us:
                self._prepare(proposal, now_us)
