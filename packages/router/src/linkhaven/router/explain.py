from collections import deque

from cachetools import FIFOCache

from linkhaven.api import ServiceError

from .messages import Explanation, WantExplanation

EXPLAINED = 2_000
EVENTS = 500
TOLD_EVENTS = {1101, 1102, 1601, 1602, 1603, 2001, 2002, 2003, 2105}
BEFORE_US, AFTER_US = 5_000_000, 1_000_000
ASK_US = 2_000_000


class Explainer:
    """Bounded records of ended requests and of what happened in the fleet around them, as this router saw it; a
    request of another router is asked there."""

    __slots__ = ("node", "membership", "requests", "ended", "events", "asked")

    def __init__(self, node, membership, requests):
        self.node = node
        self.membership = membership
        self.requests = requests
        self.ended = FIFOCache(EXPLAINED)
        self.events = deque(maxlen=EVENTS)
        self.asked = {}
        log = node.ports.log

        def note(number, **facts):
            if number in TOLD_EVENTS:
                self.events.append((node.now_us(), number, facts))
            log(number, **facts)

        node.ports.log = note
        node.register_handler(WantExplanation, self.on_want_explanation)
        node.register_handler(Explanation, self.on_explanation)
        node.systems.append(self.tick)

    def keep(self, request):
        self.ended[request.id] = request

    def _record(self, id):
        request = self.requests.get(id) or self.ended.get(id)
        if request is None:
            return None
        begun_us = request.arrived_us - BEFORE_US
        ended_us = (
            request.arrived_us + (request.steps[-1]["at_us"] if request.steps else 0) + AFTER_US
        )
        around = [
            {"at_us": at_us - request.arrived_us, "event": number, **facts}
            for at_us, number, facts in self.events
            if begun_us <= at_us <= ended_us
        ]
        return {**request.as_record(), "router": self.node.name, "around": around}

    def serve(self, call, id):
        record = self._record(id)
        if record is not None:
            return call.answer_json(200, record)
        owner = self.membership.peers.get(id.rsplit("-", 2)[0])
        if owner is None or not owner.is_up:
            raise ServiceError("no_such_request", request=id)
        self.asked.setdefault(id, []).append((call, self.node.now_us() + ASK_US))
        self.node.send(owner.address, WantExplanation(id))

    def on_want_explanation(self, message):
        """Another router was asked for a request of this one."""
        record = self._record(message.request)
        self.node.send(message.reply_to, Explanation(message.request, record))

    def on_explanation(self, message):
        """Answer the calls that wait for this record."""
        self._answer(message.request, message.record)

    def _answer(self, id, record):
        for call, _ in self.asked.pop(id, ()):
            if call.is_ended:
                continue
            if record is None:
                call.answer_error(ServiceError("no_such_request", request=id))
            else:
                call.answer_json(200, record)

    def tick(self, now_us):
        for id in [id for id, calls in self.asked.items() if now_us >= calls[0][1]]:
            self._answer(id, None)
