"""The proposer of the register: prepare and accept, each at a majority of seats, under rising
ballots."""

SHOT_US = 400_000
DEADLINE_US = 2_000_000
BACKOFF_US = 30_000
STEP_AT_MOST_US = 250_000
CUT_OFF_SHARE = 3
NO_MAJORITY = "no_majority"

PREPARE, ACCEPT, RESTING = "prepare", "accept", "resting"


class Change:
    """One change of a key on its way: its ballot, who has answered it, and what it found."""

    __slots__ = (
        "id",
        "key",
        "step",
        "done",
        "phase",
        "ballot",
        "votes",
        "accepted",
        "held",
        "highest",
        "value",
        "result",
        "deadline_us",
        "shot_us",
        "shots",
        "has_sent_accept",
        "refusal",
        "answered",
        "heard_us",
        "silent_us",
    )

    def __init__(self, id, key, step, done, deadline_us):
        self.id = id
        self.key = key
        self.step = step
        self.done = done
        self.deadline_us = deadline_us
        self.phase = RESTING
        self.ballot = None
        self.votes = set()
        self.accepted = {}
        self.held = (None, None)
        self.highest = None
        self.value = None
        self.result = None
        self.shot_us = 0
        self.shots = 0
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
        "changes",
        "serial",
        "silent_us",
        "is_cut_off",
        "reached",
        "ticked_us",
        "held_of",
    )

    def __init__(self, node, directory, majority=None, silent_us=None):
        """`silent_us` None: every change waits for its deadline."""
        self.node = node
        self.directory = directory
        self.majority = majority or node.bounds.seats // 2 + 1
        self.counter = 0
        self.changes = {}
        self.serial = 0
        self.silent_us = silent_us
        self.is_cut_off = False
        self.reached = set()
        self.ticked_us = node.now_us()
        self.held_of = lambda key: (None, None)
        node.map_handlers["promise"] = self.hear_promise
        node.map_handlers["accepted"] = self.hear_accepted
        node.systems.append(self.tick)

    def change(self, key, step, done, deadline_us=DEADLINE_US, is_patient=False):
        """Change a key; one that is patient waits for its deadline though no majority answers."""
        now_us = self.node.now_us()
        self.serial += 1
        id = f"{self.node.name}/{now_us}/{self.serial}"
        change = self.changes[id] = Change(id, key, step, done, now_us + deadline_us)
        change.heard_us = now_us
        change.silent_us = None if is_patient else self._silent_bound_us()
        self._prepare(change, now_us)

    def _silent_bound_us(self):
        if self.silent_us is None or not self.is_cut_off:
            return self.silent_us
        return self.silent_us // CUT_OFF_SHARE

    def read(self, key, done):
        self.change(key, lambda value: ("keep", None), done)

    def _prepare(self, change, now_us):
        self.counter += 1
        change.shots += 1
        change.phase = PREPARE
        change.ballot = [self.counter, self.node.name]
        change.votes = set()
        change.accepted = {}
        change.answered = set()
        change.highest = None
        change.value = None
        change.shot_us = now_us + SHOT_US
        change.held = self.held_of(change.key)
        self._tell_seats("prepare", change, held=change.held[0])

    def _tell_seats(self, say, change, **facts):
        seats = self.directory.seats()
        known = {seat: incarnation for seat, (_, incarnation) in seats.items()}
        for seat, (address, incarnation) in seats.items():
            self.node.send_untyped(
                address,
                say,
                id=change.id,
                key=change.key,
                ballot=change.ballot,
                seat=seat,
                incarnation=incarnation,
                known=known,
                **facts,
            )

    def _vote_of(self, message, phase):
        self.directory.learn_incarnations(message.get("known") or {})
        change = self.changes.get(message["id"])
        is_answer = message["is_yes"] or message.get("why") == "ballot"
        if is_answer:
            self._note_contact(message["seat"])
        if change is None or change.phase != phase or message["ballot"] != change.ballot:
            return None
        if is_answer:
            self._note_answer(change, message["seat"])
        if not message["is_yes"]:
            self._hear_refusal(change, message)
            return None
        known = self.directory.seats().get(message["seat"])
        if known and known[1] > message["incarnation"]:
            return None
        return change

    def _note_contact(self, seat):
        """Late answers count, too: they show that a majority can be reached."""
        if not self.is_cut_off:
            return
        self.reached.add(seat)
        if len(self.reached) >= self.majority:
            self.is_cut_off = False

    def _note_answer(self, change, seat):
        change.answered.add(seat)
        if len(change.answered) >= self.majority:
            change.heard_us = self.node.now_us()

    def _hear_refusal(self, change, message):
        change.refusal = message.get("why")
        if message.get("why") != "ballot":
            return
        self.counter = max(self.counter, message["highest"][0])
        self._rest(change)

    def _rest(self, change):
        change.phase = RESTING
        reach = BACKOFF_US * min(change.shots, 6)
        change.shot_us = self.node.now_us() + self.node.ports.random.randrange(reach // 4, reach)

    def hear_promise(self, message):
        change = self._vote_of(message, PREPARE)
        if change is None:
            return
        accepted = message["accepted"]
        if accepted and (change.highest is None or accepted > change.highest):
            change.highest = accepted
            ballot, value = change.held
            change.value = value if accepted == ballot else message["value"]
        change.votes.add((message["seat"], message["incarnation"]))
        change.accepted[message["seat"]] = accepted
        if len(change.votes) >= self.majority:
            self._take_step(change)

    def _take_step(self, change):
        """A majority has promised. A change that stops at a value which may not be in force yet
        brings that in force first: else its sender would be refused for a version that nobody
        ever reads."""
        verb, fruit = change.step(change.value)
        if verb == "stop" and not change.has_sent_accept and self._is_chosen(change):
            return self._end(change, "stopped", fruit)
        change.result = ("stopped", fruit) if verb == "stop" else None
        if verb == "set":
            change.value = fruit
        if change.value is None:
            return self._end(change, *(change.result or ("chosen", None)))
        change.phase = ACCEPT
        change.shot_us = self.node.now_us() + SHOT_US
        change.has_sent_accept = change.has_sent_accept or verb != "stop"
        promised = change.votes
        change.votes = set()
        change.answered = set()
        self._tell_accept(change, promised)

    def _is_chosen(self, change):
        """Whether the majority that promised had accepted one and the same ballot.

        A refusal may rest on nothing less: a value that only some seats hold may lose to the very
        order that it would refuse, which then would be in force though it was refused."""
        first, *rest = change.accepted.values()
        return all(accepted == first for accepted in rest)

    def _tell_accept(self, change, promised):
        seats = self.directory.seats()
        known = {seat: incarnation for seat, (_, incarnation) in seats.items()}
        for seat, incarnation in promised:
            known[seat] = incarnation
        for seat, (address, _) in seats.items():
            self.node.send_untyped(
                address,
                "accept",
                id=change.id,
                key=change.key,
                ballot=change.ballot,
                value=change.value,
                seat=seat,
                incarnation=known[seat],
                known=known,
            )

    def hear_accepted(self, message):
        change = self._vote_of(message, ACCEPT)
        if change is None:
            return
        change.votes.add(message["seat"])
        if len(change.votes) < self.majority:
            return
        for seat, (address, _) in self.directory.seats().items():
            self.node.send_untyped(address, "chosen", key=change.key, ballot=change.ballot)
        outcome, value = change.result or ("chosen", change.value)
        self._end(change, outcome, value)

    def _end(self, change, outcome, value):
        del self.changes[change.id]
        change.done(outcome, value)

    def _give_up(self, change):
        self._end(change, "unknown" if change.has_sent_accept else "refused", change.refusal)

    def _is_silent(self, change, now_us):
        return change.silent_us is not None and now_us - change.heard_us >= change.silent_us

    def _hear_silence(self, change):
        """No majority answered: the caller is told while it still listens, and may go on to
        another node."""
        self.is_cut_off = True
        self.reached = set()
        change.refusal = change.refusal or NO_MAJORITY
        self._give_up(change)

    def tick(self, now_us):
        """Time that this node slept through is no silence of others: their answers may wait
        unread."""
        slept_us = max(0, now_us - self.ticked_us - STEP_AT_MOST_US)
        self.ticked_us = now_us
        for change in list(self.changes.values()):
            change.heard_us += slept_us
            if now_us >= change.deadline_us:
                self._give_up(change)
            elif self._is_silent(change, now_us):
                self._hear_silence(change)
            elif now_us >= change.shot_us:
                self._prepare(change, now_us)
