"""Idempotency keys: a request that must run once only claims its key at a majority first."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable

from linkhaven.api import ServiceError
from linkhaven.configuration import ClaimSettings, Configuration
from linkhaven.consensus import Outcome, UpdateAction

from . import request as states

PAGE_KEYS = 500
"""Claimed keys that are sent to a replica in one message."""

SWEEP_INTERVAL_US = 5_000_000
"""Interval between two searches for expired keys."""

MAX_HANDOVERS = 5
"""Replicas that may read the claimed keys at a time; the list of the oldest is dropped."""


def claim_key_of(request) -> str:
    """Return the key under which a request's idempotency key is claimed at the replicas.

    Each tenant has its own set of keys: it can neither learn of another tenant's nor use it up.
    """
    owned = request.key if request.tenant is None else f"{request.tenant}\0{request.key}"
    digest = hashlib.blake2b(owned.encode(), digest_size=20).hexdigest()
    return f"claim/{request.group}/{digest}"


class IdempotencyKeys:
    """Claims the idempotency keys of requests that must not run twice.

    A key is claimed at a majority of the replicas before its request goes on. The router keeps its
    claimed keys for the whole retention time, so that replicas that lost their data can restore
    them. At `max_claims` further requests are refused with `claim_unavailable`.
    """

    __slots__ = (
        "node",
        "proposer",
        "failed_routers",
        "claimed",
        "handovers",
        "swept_us",
        "settings",
    )

    def __init__(self, node, proposer, failed_routers: Callable[[], list[tuple[str, str]]]):
        """`failed_routers` returns name and address of the routers that are considered failed."""
        self.node = node
        self.proposer = proposer
        self.failed_routers = failed_routers
        self.claimed = OrderedDict()
        self.handovers: OrderedDict[str, list[list[str]]] = OrderedDict()
        self.swept_us = node.now_us()
        self.settings: ClaimSettings | None = None
        node.map_handlers["want_keys"] = self.on_claims_request
        node.tick_handlers.append(self.sweep)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow the retention and the maximum of a new configuration."""
        self.settings = configuration.claims

    def claim(self, request, go_on):
        """Claim the request's key, then call `go_on` with it; end it with an error otherwise.

        A further call for a request whose tenant changed claims the new tenant's key and releases
        the former one. Raises `ServiceError` where this router holds `max_claims` keys.
        """
        request.state = states.CLAIMING
        if len(self.claimed) >= self.settings.max_claims:
            raise ServiceError(
                "claim_unavailable",
                retry_us=self._retry_after_us(),
                why="this router keeps as many keys as the plan allows",
            )

        def step(value):
            if value is None or value["by"] is None:
                return UpdateAction.SET, {"by": request.id}
            if value["by"] == request.id:
                return UpdateAction.KEEP, None
            return UpdateAction.STOP, value

        def done(outcome, value):
            if outcome == Outcome.CHOSEN and request.claim_key != claim_key:
                return self._give_back(claim_key, request.id)
            if outcome == Outcome.CHOSEN:
                self.claimed[claim_key] = (request.id, self.node.now_us())
            if request.state != states.CLAIMING or request.claim_key != claim_key:
                return
            if outcome == Outcome.CHOSEN:
                return go_on(request)
            if outcome == Outcome.STOPPED:
                return self.node.end_with_error(request, ServiceError("key_used"))
            self.node.end_with_error(
                request, ServiceError("claim_unavailable", retry_us=1_000_000, why=value)
            )

        former_key, claim_key = request.claim_key, claim_key_of(request)
        if former_key not in (None, claim_key):
            # The API key was assigned to another tenant: a key of that tenant must be claimed.
            self._give_back(former_key, request.id)
        request.claim_key = claim_key
        self.proposer.propose(claim_key, step, done)

    def give_back(self, request):
        """Release the key of a refused request, which never ran, so that it can be used again."""
        self._give_back(request.claim_key, request.id)

    def _give_back(self, claim_key, request_id):
        if self.claimed.get(claim_key, (None,))[0] == request_id:
            del self.claimed[claim_key]

        def step(value):
            if value is None or value["by"] != request_id:
                return UpdateAction.STOP, value
            return UpdateAction.SET, {"by": None}

        self.proposer.propose(claim_key, step, lambda outcome, value: None)

    def _retry_after_us(self):
        """When the oldest key expires, at least a second from now."""
        oldest_us = next(iter(self.claimed.values()))[1] if self.claimed else self.node.now_us()
        return max(1_000_000, oldest_us + self.settings.retention_us - self.node.now_us())

    def sweep(self, now_us):
        """Forget keys that are older than the retention time."""
        if self.settings is None or now_us - self.swept_us < SWEEP_INTERVAL_US:
            return
        self.swept_us = now_us
        while (
            self.claimed
            and now_us - next(iter(self.claimed.values()))[1] > self.settings.retention_us
        ):
            self.claimed.popitem(last=False)

    def on_claims_request(self, message):
        """Send a page of the claimed keys to a replica that started without data.

        All pages come from one list, since keys may expire between two requests. The answer names
        routers that are considered failed: they may only be partitioned, and a replica that has
        just started learns of them from no other source.
        """
        start, offset = message["start"], message["place"]
        if offset < 0:
            return
        claimed = self._handover_keys(start) if offset else self._start_handover(start)
        failed = self.failed_routers()
        more = {"routers": failed} if failed else {}
        self.node.send_untyped(
            message["back"],
            "keys",
            start=start,
            place=offset,
            is_last=offset + PAGE_KEYS >= len(claimed),
            keys=claimed[offset : offset + PAGE_KEYS],
            **more,
        )

    def _handover_keys(self, start):
        return self.handovers[start] if start in self.handovers else self._start_handover(start)

    def _start_handover(self, start):
        claimed = [[key, by] for key, (by, _) in self.claimed.items()]
        self.handovers[start] = claimed
        while len(self.handovers) > MAX_HANDOVERS:
            self.handovers.popitem(last=False)
        return claimed
