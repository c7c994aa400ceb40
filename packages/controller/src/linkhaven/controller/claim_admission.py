"""Claims of one-time keys at a core that began empty: none until the routers told theirs."""

from .messages import ClaimsRequest, ClaimsResponse

ASK_US = 250_000
SETTLE_US = 2_000_000
"""How long after its first votes a seat waits for routers that it may not know yet."""

TOLD = [0, "told"]
"""The ballot of a claim that a router told: below any that a proposer makes."""


class ClaimAdmission:
    """A core that began empty grants no keys until the routers told which they won before."""

    __slots__ = ("node", "seat", "membership", "snapshot", "places", "asked_us", "was_behind")

    def __init__(self, node, seat, membership, snapshot):
        """`was_behind` is set by the node where a router knows a plan that the core lost."""
        self.node = node
        self.seat = seat
        self.membership = membership
        self.snapshot = snapshot
        self.places = {}
        self.asked_us = 0
        self.was_behind = False
        node.on_message(ClaimsResponse, self.on_keys)
        node.systems.append(self.tick)

    def _start(self):
        return self.seat.rejoin.start

    def tick(self, now_us):
        """Ask the routers in turn, and open the claims once enough have told theirs."""
        if self.seat.are_claims_open or not self.seat.is_voting or now_us - self.asked_us < ASK_US:
            return
        self.asked_us = now_us
        routers = self.membership.live_members("router")
        for router in routers:
            place = self.places.setdefault(router.name, 0)
            if place is not None:
                self._ask(router.address, place)
        if self._has_heard_enough(routers, now_us):
            self.places = {}
            self.seat.open_claims()

    def _ask(self, address, place):
        self.node.send(address, ClaimsRequest(self._start(), place))

    def _has_heard_enough(self, routers, now_us):
        """All routers that run; of a fleet that served before, most that the plan counts."""
        if not routers or self.node.voted_us is None or now_us - self.node.voted_us < SETTLE_US:
            return False
        if any(self.places.get(router.name, 0) is not None for router in routers):
            return False
        if not self.was_behind:
            return True
        if self.snapshot.configuration is None:
            return False
        answered = sum(place is None for place in self.places.values())
        return answered > self.snapshot.configuration.fleet.routers // 2

    def on_keys(self, message):
        """Keep a page of a router's keys, and ask for the next one once that is synced."""
        name, place = message.sender, message.place
        if not self._awaits_keys_from(name, place, message.start):
            return
        self.places[name] = -1
        changed = self.seat.merge({key: [[0, ""], TOLD, {"by": by}] for key, by in message.keys})

        def go_on(is_kept):
            if not is_kept:
                self.places[name] = place
                return
            self.places[name] = None if message.is_last else place + len(message.keys)
            if not message.is_last:
                self._ask(message.reply_to, self.places[name])

        self.node.ports.disk.write(changed, go_on)

    def _awaits_keys_from(self, router, place, start):
        is_asking = start == self._start() and not self.seat.are_claims_open
        return is_asking and self.places.get(router) == place
