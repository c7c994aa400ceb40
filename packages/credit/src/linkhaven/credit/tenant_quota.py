"""Quotas of tenants at a router: a request of a limited tenant goes on with a token of a slice.

Tokens are granted by the owner of the tenant's shard (`quota_owner.py`). A request without one is
held for a bounded time while the router asks for it.

| what comes in | what a tenant's meter does with it |
| --- | --- |
| a request, a live slice is at hand | spends a token; the request goes on |
| a request, the tenant was just denied, or more wait than can be granted in time | `quota_spent` |
| a request otherwise | holds it, and asks unless that is in flight |
| `QuotaResponse` with tokens | the requests that wait go on, in the order of their arrival |
| `QuotaResponse` that denies | `quota_spent` to those that wait; of a new owner: asks again later |
| `QuotaResponse`: unowned here | asks another controller |
| no response in `RESPONSE_TIMEOUT_US` | asks another controller; a late response still counts |
| no response of two controllers in a row | asks through other routers (`quota_relay.py`) |
| a request was held for `HOLD_SHARE` of its latency target | `quota_unknown` |
| the configuration takes the limit or the tenant away | the requests that wait go on |

A response counts once for each tenant and each request of this process; its tokens live from the
moment that the router asked.
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
from .units import MICROSECONDS

RESPONSE_TIMEOUT_US = 50_000
"""How long a controller has to answer. A round trip takes some 10 ms at most within a region, and
the loop of a busy controller as long again; two more can be asked while a request is held."""

HOLD_SHARE = 0.15
"""The part of its latency target for which a request is held here.

A caller that is refused within a quarter of it may still be served in time if it comes back at
once; placement may hold a request until a fifth has passed."""

PAUSE_US = 30_000
"""How long to wait before asking anew once no controller knew the owner."""

LONGEST_PAUSE_US = 250_000
"""How long at most a router asks nothing after an owner told it to wait; nobody is held longer."""

LONGEST_DENIAL_US = 1_000_000
"""How long at most a router denies without asking: the limit may be raised at the owner first."""

UNKNOWN_RETRY_US = 500_000
"""When to come back where no owner answered: most often a lease has to run out first."""

SILENT_CONTROLLERS = 2
"""So many controllers that didn't answer, with no response since, tell that this router is cut off
from them all rather than that one of them is gone."""

PROBE_US = 250_000
"""How often a router that is cut off asks a controller itself, to learn that it no longer is."""

LEAST_WAITING = 4
"""So many requests of a tenant may always wait for an answer."""


class ControllerDirectory(Protocol):
    """Where the controllers are."""

    def controller_addresses(self) -> Sequence[str]:
        """The addresses of those that are up, as far as this router knows."""

    def preferred_address(self, shard: int) -> str | None:
        """The address of the controller that should own a shard, None where none is known."""

    def relay_addresses(self) -> Sequence[str]:
        """The addresses of other routers that are up, those to be asked first at the front."""


class SentRequest:
    """A request for tokens that was sent, until its tokens can't be alive any more."""

    __slots__ = ("number", "address", "sent_us", "tenants", "is_relayed")

    def __init__(
        self, number: int, address: str, sent_us: int, tenants: set[str], is_relayed: bool
    ) -> None:
        """`tenants` are those that no response named yet; `is_relayed`: another router has it."""
        self.is_relayed = is_relayed
        self.number = number
        self.address = address
        self.sent_us = sent_us
        self.tenants = tenants


class QuotaCounts:
    """What was done here since the start."""

    __slots__ = ("spent", "given_back", "requests", "wants", "denied", "unknown", "violations")

    def __init__(self) -> None:
        """Nothing yet."""
        self.spent = self.given_back = self.requests = self.wants = 0
        self.denied = self.unknown = self.violations = 0

    def as_record(self) -> dict[str, int]:
        """The counts by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class TenantQuotas:
    """The meters of all limited tenants at one router."""

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
        "probe_place",
        "relay_place",
        "relay",
        "to_ask",
        "is_asking_soon",
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
        """No tenant is limited yet.

        `first_number` must be above all numbers of earlier starts of this router, so that no late
        response to one of those counts here. `resume` gets a held request that has its token now,
        `refuse` one that gets none.
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
        self.probe_place = 0
        self.relay_place = 0
        self.to_ask: dict[str, TenantMeter] = {}
        self.is_asking_soon = False
        self.life_us = slice_life_us(node.bounds)
        self.counts = QuotaCounts()
        self.relay = QuotaRelay(node, self._next_number, self._relay_address_of, self.life_us)
        node.register_handler(QuotaResponse, self.on_quota_response)

    # the configuration

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow changed limits; requests of a tenant that has none any more go on."""
        before = self.tenants
        listed = configuration.tenants or {}
        self.tenants = {name: tenant for name, tenant in listed.items() if tenant.is_limited}
        for name, meter in list(self.meters.items()):
            if name not in self.tenants:
                del self.meters[name]
                self._release_all(meter)
            elif before.get(name) != self.tenants[name]:
                self._forget_waits(meter)

    def _forget_waits(self, meter: TenantMeter) -> None:
        """What an owner told under the limit before doesn't hold any more."""
        meter.denied_until_us = meter.paused_until_us = 0
        if meter.waiting:
            self._ask_for(meter)

    def _release_all(self, meter: TenantMeter) -> None:
        waiting, meter.waiting = meter.waiting, OrderedDict()
        for request in waiting.values():
            self.resume(request)

    # requests

    def admit(self, request: MeteredRequest) -> bool:
        """Spend a token for a request; False where it is held, and `resume` or `refuse` gets it.

        Raises `quota_spent` where the tenant is beyond its limit.
        """
        tenant = self.tenants.get(request.tenant or "")
        if tenant is None or request.tenant is None:
            return True
        now_us = self.node.now_us()
        meter = self._meter_of(request.tenant, now_us)
        meter.rate.count(now_us)
        if not meter.waiting and self._spend(meter, request, now_us):
            return True
        if now_us < meter.denied_until_us or self._is_crowded(meter, tenant, request):
            meter.num_denied += 1
            raise self._denial(meter, now_us)
        self._hold(meter, request, now_us)
        return False

    def cancel(self, request: MeteredRequest) -> None:
        """A request ended while it was held."""
        meter = self.meters.get(request.tenant or "")
        if meter is not None:
            meter.waiting.pop(request.id, None)

    def give_back(self, request: MeteredRequest) -> None:
        """A request that has a token ended, and never was sent to a runner."""
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
        """The invariant of slices, by the clock as it is now."""
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

    def _is_crowded(self, meter: TenantMeter, tenant: Tenant, request: MeteredRequest) -> bool:
        """Whether more wait already than the whole tenant can be granted before the hold ends."""
        rate, hold_us = tenant.requests_per_s, self._hold_us(request)
        most = capacity_of(tenant, self.node.bounds) + rate * hold_us / MICROSECONDS
        return len(meter.waiting) >= max(LEAST_WAITING, most)

    def _hold_us(self, request: MeteredRequest) -> int:
        return int(request.kind.ttft_us * HOLD_SHARE)

    def _hold(self, meter: TenantMeter, request: MeteredRequest, now_us: int) -> None:
        """Keep it until its share of the target is over, or at least until one response is due."""
        meter.waiting[request.id] = request
        until_us = request.arrived_us + self._hold_us(request)
        left_us = max(RESPONSE_TIMEOUT_US, until_us - now_us)
        self.node.ports.clock.call_in(left_us, lambda: self._on_hold_timeout(request))
        self._ask_for(meter)

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

    def _ask_for(self, meter: TenantMeter) -> None:
        """Ask for what waits, with what else is wanted in this turn of the loop."""
        if meter.asked_number is not None or meter.name in self.to_ask:
            return
        if self.node.now_us() < meter.paused_until_us:
            return
        self.to_ask[meter.name] = meter
        if not self.is_asking_soon:
            self.is_asking_soon = True
            self.node.ports.clock.call_in(0, self._send_requests)

    def _send_requests(self) -> None:
        self.is_asking_soon = False
        meters, self.to_ask = self.to_ask, {}
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
        """Whom to ask: the last known owner, the preferred one, else any that wasn't tried yet.

        Cut off, each time another controller.
        """
        if not self._is_cut_off():
            return self._controller_for(meter.name, meter.tried)
        addresses = self.directory.controller_addresses()
        self.probe_place += 1
        return addresses[self.probe_place % len(addresses)] if addresses else None

    def _controller_for(self, tenant: str, tried: Set[str]) -> str | None:
        shard = shard_of(tenant, self.num_shards)
        known = [self.owners.get(shard), self.directory.preferred_address(shard)]
        for address in [*known, *self.directory.controller_addresses()]:
            if address is not None and address not in tried:
                return address
        return None

    # other routers

    def _is_cut_off(self) -> bool:
        return len(self.unresponsive) >= SILENT_CONTROLLERS

    def _must_relay(self) -> bool:
        """Whether to ask through another router now: cut off, and no probe is due."""
        if not self._is_cut_off():
            return False
        now_us = self.node.now_us()
        if now_us - self.probed_us < PROBE_US:
            return True
        self.probed_us = now_us
        return False

    def _relay_for(self, meter: TenantMeter) -> str | None:
        """Another router: the one that answered last, else the next that wasn't tried yet."""
        addresses = self.directory.relay_addresses()
        for place in range(len(addresses)):
            address = addresses[(self.relay_place + place) % len(addresses)]
            if address not in meter.tried:
                return address
        return None

    def _relay_address_of(self, tenant: str) -> str | None:
        """The controller to ask for another router; None where this one is cut off too."""
        return None if self._is_cut_off() else self._controller_for(tenant, frozenset())

    def _pause(self, meter: TenantMeter, wait_us: int) -> None:
        """Ask again after a while, all controllers if need be."""
        meter.tried.clear()
        pause_us = min(wait_us, LONGEST_PAUSE_US)
        meter.paused_until_us = self.node.now_us() + pause_us

        def on_pause_timeout() -> None:
            if meter.waiting:
                self._ask_for(meter)

        self.node.ports.clock.call_in(pause_us, on_pause_timeout)

    def _next_number(self) -> int:
        self.number += 1
        return self.number

    def _send_request(self, address: str, meters: list[TenantMeter], is_relayed: bool) -> None:
        now_us, number = self.node.now_us(), self._next_number()
        wants = [self._want_of(meter, now_us) for meter in meters]
        for meter in meters:
            meter.asked_number = number
        self._drop_old(now_us)
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

    def _drop_old(self, now_us: int) -> None:
        """Forget requests whose tokens would have ended.

        After a freeze their response timeouts may be due but still wait in the loop.
        """
        while self.sent:
            number, oldest = next(iter(self.sent.items()))
            if now_us - oldest.sent_us < max(self.life_us, RESPONSE_TIMEOUT_US):
                return
            del self.sent[number]
            self._ask_others(oldest)

    def _on_response_timeout(self, number: int) -> None:
        sent = self.sent.get(number)
        if sent is None or not sent.tenants:
            return
        if sent.is_relayed:
            self.relay_place += 1
        else:
            self._note_unresponsive(sent.address)
        self._ask_others(sent)

    def _ask_others(self, sent: SentRequest) -> None:
        """Ask elsewhere for the tenants that still wait for the response to this request."""
        for name in sent.tenants:
            meter = self.meters.get(name)
            if meter is not None and meter.asked_number == sent.number:
                self._ask_elsewhere(meter, sent.address)

    def _note_unresponsive(self, address: str) -> None:
        if not self._is_cut_off():
            self.probed_us = self.node.now_us()
        self.unresponsive.add(address)

    def _ask_elsewhere(self, meter: TenantMeter, address: str) -> None:
        meter.asked_number = None
        meter.tried.add(address)
        shard = shard_of(meter.name, self.num_shards)
        if self.owners.get(shard) == address:
            del self.owners[shard]
        if meter.waiting:
            self._ask_for(meter)

    # responses

    def on_quota_response(self, message: QuotaResponse) -> None:
        """Take what was granted, once for each tenant and request."""
        if self.relay.send_back(message):
            return self.unresponsive.clear()
        sent = self.sent.get(message.number)
        if sent is None:
            return
        if not sent.is_relayed:
            self.unresponsive.clear()
        elif message.unowned:
            self.relay_place += 1
        for grant in message.grants:
            if grant.tenant in sent.tenants:
                sent.tenants.remove(grant.tenant)
                self._take_grant(grant, sent, message.reply_to)
        for name in message.unowned:
            meter = self.meters.get(name)
            if meter is not None and meter.asked_number == message.number:
                self._ask_elsewhere(meter, message.reply_to)

    def _take_grant(self, grant: TokenGrant, sent: SentRequest, owner: str) -> None:
        meter = self.meters.get(grant.tenant)
        if meter is None:
            return
        if not sent.is_relayed:
            self.owners[shard_of(grant.tenant, self.num_shards)] = owner
        is_newest = meter.asked_number == sent.number
        if is_newest:
            meter.asked_number = None
            meter.tried.clear()
        now_us = self.node.now_us()
        expires_us = sent.sent_us + grant.life_us
        if grant.granted and now_us < expires_us:
            meter.add_slice(grant.granted, expires_us)
        self._serve(meter)
        if not meter.waiting or not is_newest:
            return
        if not grant.wait_us:
            return self._ask_for(meter)
        if grant.is_settling:
            return self._pause(meter, grant.wait_us)
        self._deny(meter, grant.wait_us)

    def _serve(self, meter: TenantMeter) -> None:
        """Let the requests that wait go on, as far as the tokens go.

        One that ends at once gives its token back, to be spent by the round that runs already:
        otherwise each such request would be served within the call of the one before.
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
        """The owner says that the tenant is at its limit: all that wait are beyond it."""
        now_us = self.node.now_us()
        meter.token_due_us = now_us + wait_us
        meter.denied_until_us = now_us + min(wait_us, LONGEST_DENIAL_US)
        waiting, meter.waiting = meter.waiting, OrderedDict()
        for request in waiting.values():
            self.refuse(request, self._denial(meter, now_us))
