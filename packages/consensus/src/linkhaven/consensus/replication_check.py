"""Which other members hold everything that this one has accepted; those that lack a value are sent
it.

A leaving member without a successor compares in rounds: it tells each other member its accepted
ballots, page by
page; a member answers which of them it lacks, and is sent those values as late accepts of the same
ballots. A member
that promised a higher ballot meanwhile can't take them: then the key is read anew, which writes
its value under a
higher ballot at a majority. The last round covers only what changed since the one before began."""

from bisect import bisect_right

PAGE = 500
RESEND_US = 100_000
NEVER = -1


class ReplicationCheck:
    """The rounds of a leaving member, and the answers of those that stay."""

    __slots__ = (
        "node",
        "replica",
        "round",
        "keys",
        "cursors",
        "versions",
        "sent_us",
        "on_stuck",
    )

    def __init__(self, node, replica):
        """`on_stuck(key)` is called for a value that only a higher ballot can write."""
        self.node = node
        self.replica = replica
        self.round = 0
        self.keys = []
        self.cursors = {}
        self.versions = [NEVER, NEVER]
        self.sent_us = 0
        self.on_stuck = lambda key: None
        node.map_handlers.update(
            holders_page=self.on_page,
            holders_lack=self.on_lack,
            holders_late=self.on_late,
        )

    def begin_round(self, is_final):
        """The final round looks only at what changed since the round before it began."""
        since = self.versions[1] if is_final else NEVER
        self.versions = [since, self.replica.change_count]
        self.round += 1
        self.keys = sorted(
            key
            for key, register_state in self.replica.states.items()
            if register_state.version > since and register_state.accepted is not None
        )
        self.cursors = {
            name: ""
            for name in self.replica.directory.replicas()
            if name != self.replica.replica_id
        }
        self._send_all()

    def is_held_without_us(self):
        """A majority of all seats, this one not among them, holds all of this round."""
        ended = sum(cursor is None for cursor in self.cursors.values())
        return ended >= self.replica.majority

    def tick(self, now_us):
        """Send the open pages again: messages and their answers may be lost."""
        if now_us - self.sent_us >= RESEND_US:
            self._send_all()

    def _send_all(self):
        self.sent_us = self.node.now_us()
        for name in self.cursors:
            if self.cursors[name] is not None:
                self._send_page(name)

    def _page(self, after):
        place = bisect_right(self.keys, after)
        return self.keys[place : place + PAGE]

    def _send_page(self, name):
        holder = self.replica.directory.replicas().get(name)
        if holder is None:
            return
        page = [key for key in self._page(self.cursors[name]) if key in self.replica.states]
        self.node.send_untyped(
            holder[0],
            "holders_page",
            round=self.round,
            after=self.cursors[name],
            seat=self.replica.replica_id,
            incarnation=self.replica.incarnation,
            ballots={key: self.replica.states[key].accepted for key in page},
        )

    def on_page(self, message):
        """Say which values this member lacks. Only a voting member counts as a holder."""
        replica = self.replica
        if not replica.is_voting or message["incarnation"] < replica.known_incarnations.get(
            message["seat"], 0
        ):
            return
        lacking, stuck = [], []
        for key, ballot in message["ballots"].items():
            register_state = replica.register_state(key)
            if register_state.accepted is not None and register_state.accepted >= ballot:
                continue
            (stuck if register_state.promise > ballot else lacking).append(key)
        self.node.send_untyped(
            message["back"],
            "holders_lack",
            seat=replica.replica_id,
            round=message["round"],
            after=message["after"],
            lacking=lacking,
            stuck=stuck,
        )

    def on_lack(self, message):
        """Send what is lacking; go on to the next page once nothing is."""
        name = message["seat"]
        if message["round"] != self.round or self.cursors.get(name) != message["after"]:
            return
        for key in message["stuck"]:
            self.on_stuck(key)
        if message["lacking"]:
            return self._send_late(message["back"], message["lacking"])
        if message["stuck"]:
            return
        page = self._page(message["after"])
        is_last = not page or page[-1] == self.keys[-1]
        self.cursors[name] = None if is_last else page[-1]
        if not is_last:
            self._send_page(name)

    def _send_late(self, address, keys):
        states = self.replica.states
        self.node.send_untyped(
            address,
            "holders_late",
            seat=self.replica.replica_id,
            incarnation=self.replica.incarnation,
            cells={key: [states[key].accepted, states[key].value] for key in keys if key in states},
        )

    def on_late(self, message):
        """An accept that comes late is kept as one that came in time; the next page asks again
        what is lacking."""
        replica = self.replica
        if not replica.is_voting or message["incarnation"] < replica.known_incarnations.get(
            message["seat"], 0
        ):
            return
        states = {
            key: [ballot, ballot, value]
            for key, (ballot, value) in message["cells"].items()
            if replica.register_state(key).promise <= ballot
        }
        self.node.ports.storage.write(replica.merge(states), lambda is_kept: None)
