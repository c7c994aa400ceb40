"""What the core looks like now: its members, their epochs, who learns, what loss could be borne.

The node that is asked asks every machine of the core that it knows, and answers when all have told
or after ANSWER_US, so that who is silent stands as silent instead of as it was heard last."""

ANSWER_US = 400_000
ASKS_AT_MOST = 16
SILENT = "silent"


class StatusQuery:
    """One call that waits for the others' word."""

    __slots__ = ("call", "until_us", "missing", "told")

    def __init__(self, call, until_us, missing):
        """`missing`: the names of those that have not told yet."""
        self.call = call
        self.until_us = until_us
        self.missing = missing
        self.told = {}


class ClusterStatus:
    """Answers GET /v1/core from what each machine of the core says of itself."""

    __slots__ = ("node", "asks", "serial", "own_facts")

    def __init__(self, node, own_facts):
        """`own_facts()`: what the asked node adds of itself."""
        self.node = node
        self.asks = {}
        self.serial = 0
        self.own_facts = own_facts
        node.hearers.update(core_ask=self.on_ask, core_told=self.on_told)
        node.systems.append(self.tick)

    def serve(self, call):
        """Ask all; the answer goes out from `on_told` or `tick`."""
        members = [
            member
            for member in self.node.membership.peers.values()
            if member.kind == "registry" and not member.has_left
        ]
        self.serial += 1
        ask = StatusQuery(call, self.node.now_us() + ANSWER_US, {member.name for member in members})
        while len(self.asks) >= ASKS_AT_MOST:
            self._answer(next(iter(self.asks)))
        self.asks[self.serial] = ask
        for member in members:
            self.node.tell(member.address, "core_ask", id=self.serial)
        if not members:
            self._answer(self.serial)

    def on_ask(self, message):
        """Say how this machine stands."""
        self.node.tell(message["back"], "core_told", id=message["id"], member=self.member())

    def on_told(self, message):
        """Answer once the last has told."""
        ask = self.asks.get(message["id"])
        if ask is None:
            return
        ask.missing.discard(message["name"])
        ask.told[message["name"]] = message["member"]
        if not ask.missing:
            self._answer(message["id"])

    def tick(self, now_us):
        """Who was silent until now is told as silent."""
        for serial in [serial for serial, ask in self.asks.items() if now_us >= ask.until_us]:
            self._answer(serial)

    def member(self):
        """This machine's own word."""
        seat = self.node.seat
        return {
            "seat": seat.seat,
            "standing": seat.standing,
            "incarnation": seat.incarnation,
            "address": self.node.address,
            "learning": self._learning(seat),
            "leaving": seat.leaving.state.value if self.node.is_draining else None,
        }

    def _learning(self, seat):
        """Whom it still reads, and how many records are left of those that were listed."""
        if seat.successor.leaver is not None:
            return {"left": {seat.successor.leaver: seat.successor.left}}
        if seat.rejoin.notes:
            return {"left": {name: seat.rejoin.left.get(name) for name in seat.rejoin.notes}}
        return None

    def _answer(self, serial):
        ask = self.asks.pop(serial)
        members = {self.node.name: self.member(), **ask.told}
        for name in ask.missing:
            member = self.node.membership.peers.get(name)
            members[name] = {
                "seat": member.seat if member else "",
                "standing": SILENT,
                "incarnation": member.seat_incarnation if member else 0,
                "address": member.address if member else "",
                "learning": None,
                "leaving": None,
            }
        facts = {**self.own_facts(), "members": members, **self._losses(members)}
        ask.call.answer_json(200, facts)

    def _losses(self, members):
        """How many of those that vote may be lost now so that a majority still answers."""
        seat = self.node.seat
        newest = self.node.membership.seats()
        voting = sorted(
            member["seat"]
            for member in members.values()
            if member["standing"] == "voting"
            and member["incarnation"] >= newest.get(member["seat"], ("", 0))[1]
        )
        return {
            "majority": seat.majority,
            "voting": voting,
            "losses_borne": max(0, len(voting) - seat.majority),
            "has_majority": len(voting) >= seat.majority,
        }
