"""Records of recent requests, which explain how each was placed."""

from collections import deque

from cachetools import FIFOCache

from linkhaven.api import ServiceError

from .messages import Explanation, WantExplanation
from .request import RequestRecord

MAX_RECORDS = 2_000
"""Ended requests that are kept, the newest ones."""

MAX_RECORDS_BYTES = 16_000_000
"""Memory of the ended requests that are kept; fewer are kept where each had many candidates."""

MAX_EVENTS = 500
"""Log events that are kept, the newest ones."""

RECORDED_EVENTS = {1101, 1102, 1601, 1602, 1603, 2001, 2002, 2003, 2105}
"""Numbers of the log events that are shown beside a request; see `linkhaven.api.events`."""

EVENTS_BEFORE_US, EVENTS_AFTER_US = 5_000_000, 1_000_000
"""How far before its arrival and after its last step events count as near a request."""

PEER_TIMEOUT_US = 2_000_000
"""How long a call waits for the record of another router."""


def _share_of_memory(record):
    """Return the part of `MAX_RECORDS_BYTES` that a record takes: `MAX_RECORDS` fit at most."""
    return max(record.size_bytes(), MAX_RECORDS_BYTES // MAX_RECORDS)


class Explainer:
    """Keeps a bounded number of ended requests and of log events of this router.

    Wraps the node's log to record events. Requests of another router are looked up there by a
    `WantExplanation` message; the router's name is part of the request's id.
    """

    __slots__ = ("node", "membership", "requests", "ended", "events", "pending_calls")

    def __init__(self, node, membership, requests):
        self.node = node
        self.membership = membership
        self.requests = requests
        self.ended = FIFOCache(MAX_RECORDS_BYTES, getsizeof=_share_of_memory)
        self.events = deque(maxlen=MAX_EVENTS)
        self.pending_calls = {}
        log = node.ports.log

        def log_and_record(number, **facts):
            if number in RECORDED_EVENTS:
                self.events.append((node.now_us(), number, facts))
            log(number, **facts)

        node.ports.log = log_and_record
        node.register_handler(WantExplanation, self.on_want_explanation)
        node.register_handler(Explanation, self.on_explanation)
        node.tick_handlers.append(self.tick)

    def store(self, request):
        """Keep the record of a request that has ended, and nothing that its caller sent."""
        self.ended[request.id] = RequestRecord(request)

    def _record(self, id):
        request = self.requests.get(id) or self.ended.get(id)
        if request is None:
            return None
        from_us = request.arrived_us - EVENTS_BEFORE_US
        until_us = (
            request.arrived_us
            + (request.steps[-1]["at_us"] if request.steps else 0)
            + EVENTS_AFTER_US
        )
        nearby_events = [
            {"at_us": at_us - request.arrived_us, "event": number, **facts}
            for at_us, number, facts in self.events
            if from_us <= at_us <= until_us
        ]
        return {**request.as_record(), "router": self.node.name, "around": nearby_events}

    def serve(self, call, id):
        """Answer a call with the record of request `id`, or ask the router that served it.

        Raises `ServiceError` where the request is unknown and its router isn't up.
        """
        record = self._record(id)
        if record is not None:
            return call.answer_json(200, record)
        owner = self.membership.peers.get(id.rsplit("-", 2)[0])
        if owner is None or not owner.is_up:
            raise ServiceError("no_such_request", request=id)
        self.pending_calls.setdefault(id, []).append((call, self.node.now_us() + PEER_TIMEOUT_US))
        self.node.send(owner.address, WantExplanation(id))

    def on_want_explanation(self, message):
        """Another router was asked for a request of this one."""
        record = self._record(message.request)
        self.node.send(message.reply_to, Explanation(message.request, record))

    def on_explanation(self, message):
        """Answer the calls that wait for this record."""
        self._answer(message.request, message.record)

    def _answer(self, id, record):
        for call, _ in self.pending_calls.pop(id, ()):
            if call.is_ended:
                continue
            if record is None:
                call.answer_error(ServiceError("no_such_request", request=id))
            else:
                call.answer_json(200, record)

    def tick(self, now_us):
        """Answer calls whose router did not reply in time."""
        for id in [id for id, calls in self.pending_calls.items() if now_us >= calls[0][1]]:
            self._answer(id, None)
