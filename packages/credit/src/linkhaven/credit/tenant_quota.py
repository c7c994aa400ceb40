"""Quotas of tenants at a router: each request of a limited tenant spends a token from a slice.

The owner of the tenant's shard grants slices of tokens (`quota_owner.py`). If no token is left, a
request is held for a bounded time while the router requests more.

| event | effect for the tenant |
| --- | --- |
| a request, a live slice has a token | spends the token and admits the request |
| a request, the tenant was just denied, or too many are held already | `quota_spent` |
| any other request | holds it, and requests tokens unless a request for them is in flight |
| `QuotaResponse` with tokens | resumes held requests in the order of their arrival |
| `QuotaResponse` that denies | `quota_spent` to held requests; from a new owner: retries later |
| `QuotaResponse`: unowned here | requests tokens from another controller |
| no response in `RESPONSE_TIMEOUT_US` | tries another controller; a late response still counts |
| two controllers in a row don't respond | requests through other routers (`quota_relay.py`) |
| a request was held for `HOLD_SHARE` of its latency target | `quota_unknown` |
| the configuration removes the limit or the tenant | resumes the held requests |

A response counts once for each tenant and each request of this process. The lifetime of its tokens
starts when the router sent the request for them.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence, Set
from typing import Protocol

from linkhaven.api import ServiceError
from linkhaven.configuration import Configuration, Tenant
from linkhaven.leases import shard_of
from linkhaven.runtime import Node

from .quota_messages import QuotaRequest, QuotaResponse, TokenGrant, TokenWant
from .quota_relay import QuotaRelay
from .quota_slices import MeteredRequest, QuotaSlice, TenantMeter
from .tenant_bucket import capacity_of, slice_life_us
from .units import US_PER_SECOND

RESPONSE_TIMEOUT_US = 50_000
"""How long to wait for a controller's response. A round trip takes at most about 10 ms within a
region, and the event loop of a busy controller as long again. Two more controllers can be tried
while a request is held."""

HOLD_SHARE = 0.15
"""The fraction of its latency target for which a request is held here.

A caller that is refused within a quarter of the target may still be served in time if it retries at
once. Placement may hold a request until a fifth of it has passed."""

PAUSE_US = 30_000
"""How long to wait before retrying after no controller knew the owner."""

MAX_PAUSE_US = 250_000
"""The longest pause in requests for tokens after an owner told a router to wait; no request is held
for longer."""

MAX_DENIAL_US = 1_000_000
"""The longest time for which a router denies requests without asking the owner, where the limit may
have been raised first."""

UNKNOWN_RETRY_US = 500_000
"""The retry delay if no owner answered: usually a lease has to expire first."""

CUT_OFF_CONTROLLERS = 2
"""The number of controllers that must fail to respond, with no response since, before this router
counts as cut off from all of them. Fewer may just be down."""

PROBE_US = 250_000
"""How often a router that is cut off probes a controller directly."""

MIN_WAITING_LIMIT = 4
"""The number of requests that each tenant may always have held."""


class ControllerDirectory(Protocol):
    """Provides the addresses of controllers and other routers."""

    def controller_addresses(self) -> Sequence[str]:
        """Return the addresses of the controllers that this router believes are up."""

    def preferred_address(self, shard: int) -> str | None:
        """Return the address of the preferred owner of a shard, or None if none is known."""

    def relay_addresses(self) -> Sequence[str]:
        """Return the addresses of other routers that are up, in order of preference."""


class SentRequest:
    """A sent request for tokens, kept until its tokens would have expired."""

    __slots__ = ("number", "address", "sent_us", "tenants", "is_relayed")

    def __init__(
        self, number: int, address: str, sent_us: int, tenants: set[str], is_relayed: bool
    ) -> None:
        """`tenants` are those without a response yet; `is_relayed`: sent through another router."""
        self.is_relayed = is_relayed
        self.number = number
        self.address = address
        self.sent_us = sent_us
        self.tenants = tenants


class QuotaCounts:
    """Counters since the start of the router."""

    __slots__ = ("spent", "given_back", "requests", "wants", "denied", "unknown", "violations")

    def __init__(self) -> None:
        """Start all counters at 0."""
        self.spent = self.given_back = self.requests = self.wants = 0
        self.denied = self.unknown = self.violations = 0

    def as_record(self) -> dict[str, int]:
        """Return the counters by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class TenantQuotas:
    """Admission of requests of limited tenants at one router."""

    __slots__ = (
        "node",
        "directory",
        "num_shards",
        "resume",
        "refuse",
        "tenants",
        "meters",
        "owners",
        "sent",
        "number",
        "unresponsive",
        "probed_us",
        "probe_index",
        "relay_index",
        "relay",
        "pending_meters",
        "is_send_scheduled",
        "life_us",
        "counts",
    )

    def __init__(
        self,
        node: Node,
        directory: ControllerDirectory,
        num_shards: int,
        first_number: int,
        resume: Callable[[MeteredRequest], object],
        refuse: Callable[[MeteredRequest, ServiceError], object],
    ) -> None:
        """Start without limited tenants.

        `first_number` must be above all numbers of earlier starts of this router, so that late
        responses to those don't count. `resume` is called with a held request that got a token,
        `refuse` with one that got none and the error.
        """
        self.node = node
        self.directory = directory
        self.num_shards = num_shards
        self.resume = resume
        self.refuse = refuse
        self.tenants: dict[str, Tenant] = {}
        self.meters: dict[str, TenantMeter] = {}
        self.owners: dict[int, str] = {}
        self.sent: OrderedDict[int, SentRequest] = OrderedDict()
        self.number = first_number
        self.unresponsive: set[str] = set()
        self.probed_us = 0
        self.probe_index = 0
        self.relay_index = 0
        self.pending_meters: dict[str, TenantMeter] = {}
        self.is_send_scheduled = False
        self.life_us = slice_life_us(node.bounds)
        self.counts = QuotaCounts()
        self.relay = QuotaRelay(node, self._next_number, self._relay_address_of, self.life_us)
        node.register_handler(QuotaResponse, self.on_quota_response)

    # configuration

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply changed limits, and resume held requests of tenants that no longer have one."""
        before = self.tenants
        listed = configuration.tenants or {}
        self.tenants = {name: tenant for name, tenant in listed.items() if tenant.is_limited}
        for name, meter in list(self.meters.items()):
            if name not in self.tenants:
                del self.meters[name]
                self._release_all(meter)
            elif before.get(name) != self.tenants[name]:
                self._reset_denial(meter)

    def _reset_denial(self, meter: TenantMeter) -> None:
        """Discard denials and pauses that an owner gave under the previous limit."""
        meter.denied_until_us = meter.paused_until_us = 0
        if meter.waiting:
            self._request_tokens(meter)

    def _release_all(self, meter: TenantMeter) -> None:
        waiting, meter.waiting = meter.waiting, OrderedDict()
        for request in waiting.values():
            self.resume(request)

    # requests

    def admit(self, request: MeteredRequest) -> bool:
        """Spend a token for a request, or hold it and return False.

        A held request is passed to `resume` or `refuse` later. Raises `ServiceError` `quota_spent`
        if the tenant is beyond its limit.
        """
        tenant = self.tenants.get(request.tenant or "")
        if tenant is None or request.tenant is None:
            return True
        now_us = self.node.now_us()
        meter = self._meter_of(request.tenant, now_us)
        meter.rate.count(now_us)
        if not meter.waiting and self._spend(meter, request, now_us):
            return True
        if now_us < meter.denied_until_us or self._is_over_hold_limit(meter, tenant, request):
            meter.num_denied += 1
            raise self._denial(meter, now_us)
        self._hold(meter, request, now_us)
        return False

    def cancel(self, request: MeteredRequest) -> None:
        """Drop a request that ended while it was held."""
        meter = self.meters.get(request.tenant or "")
        if meter is not None:
            meter.waiting.pop(request.id, None)

    def give_back(self, request: MeteredRequest) -> None:
        """Return the token of a request that ended without being sent to a runner."""
        spent, request.quota_slice = request.quota_slice, None
        meter = self.meters.get(request.tenant or "")
        if spent is None or meter is None:
            return
        meter.give_back(spent, self.node.now_us())
        self.counts.given_back += 1
        self._serve(meter)

    def _meter_of(self, name: str, now_us: int) -> TenantMeter:
        meter = self.meters.get(name)
        if meter is None:
            meter = self.meters[name] = TenantMeter(name, now_us)
        return meter

    def _spend(self, meter: TenantMeter, request: MeteredRequest, now_us: int) -> bool:
        live = meter.live_slice(now_us)
        if live is None:
            return False
        self._check_spend(meter, live)
        live.spent += 1
        request.quota_slice = live
        self.counts.spent += 1
        return True

    def _check_spend(self, meter: TenantMeter, live: QuotaSlice) -> None:
        """Count and log a violation if the slice may not be spent by the current clock."""
        now_us = self.node.now_us()
        if live.may_spend(now_us):
            return
        self.counts.violations += 1
        self.node.ports.log(
            1903,
            tenant=meter.name,
            left=live.count - live.spent,
            late_us=now_us - live.expires_us,
        )

    def _is_over_hold_limit(
        self, meter: TenantMeter, tenant: Tenant, request: MeteredRequest
    ) -> bool:
        """Whether more requests are held than the tenant can be granted within the hold time."""
        rate, hold_us = tenant.requests_per_s, self._hold_us(request)
        most = capacity_of(tenant, self.node.bounds) + rate * hold_us / US_PER_SECOND
        return len(meter.waiting) >= max(MIN_WAITING_LIMIT, most)

    def _hold_us(self, request: MeteredRequest) -> int:
        return int(request.kind.ttft_us * HOLD_SHARE)

    def _hold(self, meter: TenantMeter, request: MeteredRequest, now_us: int) -> None:
        """Hold a request for its share of the target, at least until one response is due."""
        meter.waiting[request.id] = request
        until_us = request.arrived_us + self._hold_us(request)
        left_us = max(RESPONSE_TIMEOUT_US, until_us - now_us)
        self.node.ports.clock.call_in(left_us, lambda: self._on_hold_timeout(request))
        self._request_tokens(meter)

    def _on_hold_timeout(self, request: MeteredRequest) -> None:
        meter = self.meters.get(request.tenant or "")
        if meter is None or meter.waiting.pop(request.id, None) is None:
            return
        self.counts.unknown += 1
        self.refuse(request, ServiceError("quota_unknown", retry_us=UNKNOWN_RETRY_US))

    def _denial(self, meter: TenantMeter, now_us: int) -> ServiceError:
        self.counts.denied += 1
        wait_us = max(self.node.bounds.retry_least_us, meter.token_due_us - now_us)
        return ServiceError("quota_spent", retry_us=wait_us, tenant=meter.name)

    # requests for tokens

    def _request_tokens(self, meter: TenantMeter) -> None:
        """Schedule a request for tokens, batched with others of this event loop iteration."""
        if meter.pending_number is not None or meter.name in self.pending_meters:
            return
        if self.node.now_us() < meter.paused_until_us:
            return
        self.pending_meters[meter.name] = meter
        if not self.is_send_scheduled:
            self.is_send_scheduled = True
            self.node.ports.clock.call_in(0, self._send_requests)

    def _send_requests(self) -> None:
        self.is_send_scheduled = False
        meters, self.pending_meters = self.pending_meters, {}
        is_relayed = self._must_relay()
        by_address: dict[str, list[TenantMeter]] = {}
        for meter in meters.values():
            if not meter.waiting:
                continue
            address = self._relay_for(meter) if is_relayed else self._address_for(meter)
            if address is None:
                self._pause(meter, PAUSE_US)
            else:
                by_address.setdefault(address, []).append(meter)
        for address, wanting in by_address.items():
            self._send_request(address, wanting, is_relayed)

    def _address_for(self, meter: TenantMeter) -> str | None:
        """Return the last known owner, the preferred one, or any controller not tried yet.

        While this router is cut off, return a different controller each time.
        """
        if not self._is_cut_off():
            return self._controller_for(meter.name, meter.tried_addresses)
        addresses = self.directory.controller_addresses()
        self.probe_index += 1
        return addresses[self.probe_index % len(addresses)] if addresses else None

    def _controller_for(self, tenant: str, tried_addresses: Set[str]) -> str | None:
        shard = shard_of(tenant, self.num_shards)
        known = [self.owners.get(shard), self.directory.preferred_address(shard)]
        for address in [*known, *self.directory.controller_addresses()]:
            if address is not None and address not in tried_addresses:
                return address
        return None

    # relaying through other routers

    def _is_cut_off(self) -> bool:
        return len(self.unresponsive) >= CUT_OFF_CONTROLLERS

    def _must_relay(self) -> bool:
        """Whether to send through another router: this one is cut off and no probe is due."""
        if not self._is_cut_off():
            return False
        now_us = self.node.now_us()
        if now_us - self.probed_us < PROBE_US:
            return True
        self.probed_us = now_us
        return False

    def _relay_for(self, meter: TenantMeter) -> str | None:
        """Return the router that last responded, or the next one that wasn't tried yet."""
        addresses = self.directory.relay_addresses()
        for offset in range(len(addresses)):
            address = addresses[(self.relay_index + offset) % len(addresses)]
            if address not in meter.tried_addresses:
                return address
        return None

    def _relay_address_of(self, tenant: str) -> str | None:
        """Return the controller for a relayed request; None if this router is cut off too."""
        return None if self._is_cut_off() else self._controller_for(tenant, frozenset())

    def _pause(self, meter: TenantMeter, wait_us: int) -> None:
        """Retry after a pause, with all controllers as candidates again."""
        meter.tried_addresses.clear()
        pause_us = min(wait_us, MAX_PAUSE_US)
        meter.paused_until_us = self.node.now_us() + pause_us

        def on_pause_timeout() -> None:
            if meter.waiting:
                self._request_tokens(meter)

        self.node.ports.clock.call_in(pause_us, on_pause_timeout)

    def _next_number(self) -> int:
        self.number += 1
        return self.number

    def _send_request(self, address: str, meters: list[TenantMeter], is_relayed: bool) -> None:
        now_us, number = self.node.now_us(), self._next_number()
        wants = [self._want_of(meter, now_us) for meter in meters]
        for meter in meters:
            meter.pending_number = number
        self._drop_expired_requests(now_us)
        names = {each.name for each in meters}
        self.sent[number] = SentRequest(number, address, now_us, names, is_relayed)
        self.counts.requests += 1
        self.counts.wants += len(wants)
        self.node.ports.clock.call_in(
            RESPONSE_TIMEOUT_US, lambda: self._on_response_timeout(number)
        )
        request = QuotaRequest(number=number, router_address=self.node.address, wants=wants)
        self.node.send(address, request)

    def _want_of(self, meter: TenantMeter, now_us: int) -> TokenWant:
        denied, meter.num_denied = meter.num_denied, 0
        extra = meter.extra_tokens(self.life_us, now_us)
        return TokenWant(meter.name, len(meter.waiting), extra, denied)

    def _drop_expired_requests(self, now_us: int) -> None:
        """Drop requests whose tokens would have expired.

        After a freeze of the process, their response timeouts may be due but not handled yet.
        """
        while self.sent:
            number, oldest = next(iter(self.sent.items()))
            if now_us - oldest.sent_us < max(self.life_us, RESPONSE_TIMEOUT_US):
                return
            del self.sent[number]
            self._retry_tenants_of(oldest)

    def _on_response_timeout(self, number: int) -> None:
        sent = self.sent.get(number)
        if sent is None or not sent.tenants:
            return
        if sent.is_relayed:
            self.relay_index += 1
        else:
            self._note_unresponsive(sent.address)
        self._retry_tenants_of(sent)

    def _retry_tenants_of(self, sent: SentRequest) -> None:
        """Retry elsewhere for the tenants that still wait for the response to this request."""
        for name in sent.tenants:
            meter = self.meters.get(name)
            if meter is not None and meter.pending_number == sent.number:
                self._retry_elsewhere(meter, sent.address)

    def _note_unresponsive(self, address: str) -> None:
        if not self._is_cut_off():
            self.probed_us = self.node.now_us()
        self.unresponsive.add(address)

    def _retry_elsewhere(self, meter: TenantMeter, address: str) -> None:
        meter.pending_number = None
        meter.tried_addresses.add(address)
        shard = shard_of(meter.name, self.num_shards)
        if self.owners.get(shard) == address:
            del self.owners[shard]
        if meter.waiting:
            self._request_tokens(meter)

    # responses

    def on_quota_response(self, message: QuotaResponse) -> None:
        """Process a response; it counts once for each tenant and request."""
        if self.relay.forward_response(message):
            return self.unresponsive.clear()
        sent = self.sent.get(message.number)
        if sent is None:
            return
        if not sent.is_relayed:
            self.unresponsive.clear()
        elif message.unowned:
            self.relay_index += 1
        for grant in message.grants:
            if grant.tenant in sent.tenants:
                sent.tenants.remove(grant.tenant)
                self._apply_grant(grant, sent, message.reply_to)
        for name in message.unowned:
            meter = self.meters.get(name)
            if meter is not None and meter.pending_number == message.number:
                self._retry_elsewhere(meter, message.reply_to)

    def _apply_grant(self, grant: TokenGrant, sent: SentRequest, owner: str) -> None:
        meter = self.meters.get(grant.tenant)
        if meter is None:
            return
        if not sent.is_relayed:
            self.owners[shard_of(grant.tenant, self.num_shards)] = owner
        is_newest = meter.pending_number == sent.number
        if is_newest:
            meter.pending_number = None
            meter.tried_addresses.clear()
        now_us = self.node.now_us()
        expires_us = sent.sent_us + grant.life_us
        if grant.granted and now_us < expires_us:
            meter.add_slice(grant.granted, expires_us)
        self._serve(meter)
        if not meter.waiting or not is_newest:
            return
        if not grant.wait_us:
            return self._request_tokens(meter)
        if grant.is_settling:
            return self._pause(meter, grant.wait_us)
        self._deny(meter, grant.wait_us)

    def _serve(self, meter: TenantMeter) -> None:
        """Resume held requests while there are tokens.

        A resumed request that ends at once gives its token back, which re-enters this method. The
        guard lets the running loop spend that token instead of recursing for each request.
        """
        if meter.is_serving:
            return
        meter.is_serving = True
        try:
            self._spend_on_waiting(meter)
        finally:
            meter.is_serving = False

    def _spend_on_waiting(self, meter: TenantMeter) -> None:
        while meter.waiting:
            request = next(iter(meter.waiting.values()))
            if not self._spend(meter, request, self.node.now_us()):
                return
            del meter.waiting[request.id]
            self.resume(request)

    def _deny(self, meter: TenantMeter, wait_us: int) -> None:
        """Refuse all held requests, because the owner denied the tenant more tokens."""
        now_us = self.node.now_us()
        meter.token_due_us = now_us + wait_us
        meter.denied_until_us = now_us + min(wait_us, MAX_DENIAL_US)
        waiting, meter.waiting = meter.waiting, OrderedDict()
        for request in waiting.values():
            self.refuse(request, self._denial(meter, now_us))
