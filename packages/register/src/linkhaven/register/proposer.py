SHOT_US = 400_000
DEADLINE_US = 2_000_000
BACKOFF_US = 30_000

PREPARE, ACCEPT, RESTING = "prepare", "accept", "resting"


class Change:
    __slots__ = (
        "id",
        "key",
        "step",
        "done",
        "phase",
        "ballot",
        "votes",
        "accepted",
        "highest",
        "value",
        "result",
        "deadline_us",
        "shot_us",
        "shots",
        "has_sent_accept",
        "refusal",
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
        self.highest = None
        self.value = None
        self.result = None
        self.shot_us = 0
        self.shots = 0
        self.has_sent_accept = False
        self.refusal = None


class Proposer:
    """Changes a key of the register in two rounds at a majority.

    step(value) answers ("set", new), ("keep", None) or ("stop", result);
    done(outcome, value) hears "chosen", "stopped", "unknown" or "refused"."""

    __slots__ = ("node", "directory", "majority", "counter", "changes", "serial")

    def __init__(self, node, directory, majority=None):
        self.node = node
        self.directory = directory
        self.majority = majority or node.terms.seats // 2 + 1
        self.counter = 0
        self.changes = {}
        self.serial = 0
        node.hearers["promise"] = self.hear_promise
        node.hearers["accepted"] = self.hear_accepted
        node.systems.append(self.tick)

    def change(self, key, step, done, deadline_us=DEADLINE_US):
        now_us = self.node.now_us()
        self.serial += 1
        id = f"{self.node.name}/{now_us}/{self.serial}"
        change = self.changes[id] = Change(id, key, step, done, now_us + deadline_us)
        self._prepare(change, now_us)

    def read(self, key, done):
        self.change(key, lambda value: ("keep", None), done)

    def _prepare(self, change, now_us):
        self.counter += 1
        change.shots += 1
        change.phase = PREPARE
        change.ballot = [self.counter, self.node.name]
        change.votes = set()
        change.accepted = {}
        change.highest = None
        change.value = None
        change.shot_us = now_us + SHOT_US
        self._tell_seats("prepare", change)

    def _tell_seats(self, say, change, **facts):
        seats = self.directory.seats()
        known = {seat: incarnation for seat, (_, incarnation) in seats.items()}
        for seat, (address, incarnation) in seats.items():
            self.node.tell(
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
        self.directory.learn_seats(message.get("known") or {})
        change = self.changes.get(message["id"])
        if change is None or change.phase != phase or message["ballot"] != change.ballot:
            return None
        if not message["is_yes"]:
            self._hear_refusal(change, message)
            return None
        known = self.directory.seats().get(message["seat"])
        if known and known[1] > message["incarnation"]:
            return None
        return change

    def _hear_refusal(self, change, message):
        change.refusal = message.get("why")
        if message.get("why") != "ballot":
            return
        self.counter = max(self.counter, message["highest"][0])
        self._rest(change)

    def _rest(self, change):
        change.phase = RESTING
        reach = BACKOFF_US * min(change.shots, 6)
        change.shot_us = self.node.now_us() + self.node.ports.dice.randrange(reach // 4, reach)

    def hear_promise(self, message):
        change = self._vote_of(message, PREPARE)
        if change is None:
            return
        accepted = message["accepted"]
        if accepted and (change.highest is None or accepted > change.highest):
            change.highest = accepted
            change.value = message["value"]
        change.votes.add((message["seat"], message["incarnation"]))
        change.accepted[message["seat"]] = accepted
        if len(change.votes) < self.majority:
            return
        verb, fruit = change.step(change.value)
        if verb == "stop" and not change.has_sent_accept and self._is_chosen(change):
            return self._end(change, "stopped", fruit)
        change.result = ("stopped", fruit) if verb == "stop" else None
        if verb == "set":
            change.value = fruit
        if change.value is None:
            return self._end(change, *(change.result or ("chosen", None)))
        change.phase = ACCEPT
        change.has_sent_accept = True
        promised = change.votes
        change.votes = set()
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
            self.node.tell(
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
            self.node.tell(address, "chosen", key=change.key, ballot=change.ballot)
        outcome, value = change.result or ("chosen", change.value)
        self._end(change, outcome, value)

    def _end(self, change, outcome, value):
        del self.changes[change.id]
        change.done(outcome, value)

    def tick(self, now_us):
        for change in list(self.changes.values()):
            if now_us >= change.deadline_us:
                self._end(
                    change, "unknown" if change.has_sent_accept else "refused", change.refusal
                )
            elif now_us >= change.shot_us:
                self._prepare(change, now_us)
