"""The owner of shards of tenants: grants slices of their limits to routers under its lease.

| message | shard owned here | another owner is known | none is known, or forwarded before |
| --- | --- | --- | --- |
| `QuotaRequest` | `QuotaResponse` with a grant | forwarded to it | `QuotaResponse`, unowned |

Each request gets a `QuotaResponse`, which is empty if all of it was forwarded. This lets a router
distinguish a failed owner from being cut off from all controllers.

Invariant: tokens are granted only if `ShardOwnership.is_owned` is True at that moment, and a bucket
serves only one epoch of its shard (`test_two_owners_of_a_shard_break_the_bound`).
"""

from typing import Any

import msgspec

from linkhaven.configuration import ConfigurationSnapshot, Tenant
from linkhaven.leases import ShardOwnership, shard_of
from linkhaven.runtime import Node

from .quota_messages import QuotaRequest, QuotaResponse, TokenGrant, TokenWant
from .tenant_bucket import TenantBucket, slice_life_us

UNKNOWN_TENANT_WAIT_US = 50_000
"""The retry delay for a tenant that this node's configuration doesn't have yet."""


class TenantUse(msgspec.Struct, frozen=True):
    """One tenant as reported to operators: its limit, and its use if it is granted here."""

    rate: int | float
    """The limit in requests per second; 0 if there is none."""

    burst: int | float
    """Requests allowed at once in addition to the rate."""

    owner: str | None
    """The address of the node that grants its tokens, None if none is known."""

    granted: int | None = None
    """Requests granted in the last window; None if another node grants them."""

    denied: int | None = None
    """Requests denied in the last window; None if another node grants them."""


class QuotaOwner:
    """The buckets of the tenants whose shards this node owns."""

    __slots__ = ("node", "ownership", "snapshot", "buckets", "won_us", "life_us")

    def __init__(
        self, node: Node, ownership: ShardOwnership, snapshot: ConfigurationSnapshot
    ) -> None:
        """Start without shards."""
        self.node = node
        self.ownership = ownership
        self.snapshot = snapshot
        self.buckets: dict[str, TenantBucket] = {}
        self.won_us: dict[int, int] = {}
        self.life_us = slice_life_us(node.bounds)
        node.register_handler(QuotaRequest, self.on_quota_request)
        snapshot.change_listeners.append(self.apply_configuration)

    # shards

    def on_shard_won(self, shard: int) -> None:
        """Begin a term of a shard with empty buckets."""
        self._drop_buckets(shard)
        self.won_us[shard] = self.node.now_us()

    def on_shard_lost(self, shard: int) -> None:
        """End a term of a shard and drop its buckets."""
        self._drop_buckets(shard)
        self.won_us.pop(shard, None)

    def _drop_buckets(self, shard: int) -> None:
        for name in [name for name in self.buckets if self._shard_of(name) == shard]:
            del self.buckets[name]

    def _shard_of(self, tenant: str) -> int:
        return shard_of(tenant, self.ownership.num_shards)

    # limits

    def apply_configuration(self) -> None:
        """Apply changed limits; a bucket without a limit is kept until its grants have expired."""
        now_us = self.node.now_us()
        for name, bucket in list(self.buckets.items()):
            tenant = self._tenant(name)
            if tenant is not None and tenant.is_limited:
                bucket.apply_limit(tenant, self.node.bounds, now_us)
            elif self._is_expired(bucket, now_us):
                del self.buckets[name]

    def _is_expired(self, bucket: TenantBucket, now_us: int) -> bool:
        if bucket.last_grant_us is None:
            return True
        return now_us - bucket.last_grant_us > self.node.bounds.quota_window_us + self.life_us

    def _tenant(self, name: str) -> Tenant | None:
        configuration = self.snapshot.configuration
        if configuration is None or configuration.tenants is None:
            return None
        return configuration.tenants.get(name)

    # requests

    def on_quota_request(self, message: QuotaRequest) -> None:
        """Grant tokens of shards owned here, and forward the rest to their owners."""
        now_us = self.node.now_us()
        grants: list[TokenGrant] = []
        unowned: list[str] = []
        wants_by_owner: dict[str, list[TokenWant]] = {}
        for want in message.wants:
            shard = self._shard_of(want.tenant)
            if self.ownership.is_owned(shard, now_us):
                grants.append(self._grant(want, shard, now_us))
                continue
            owner = None if message.is_forwarded else self.ownership.owner_address(shard)
            if owner is None or owner == self.node.address:
                unowned.append(want.tenant)
            else:
                wants_by_owner.setdefault(owner, []).append(want)
        for address, wants in wants_by_owner.items():
            self._forward(address, message, wants)
        response = QuotaResponse(number=message.number, grants=grants, unowned=unowned)
        self.node.send(message.router_address, response)

    def _forward(self, address: str, message: QuotaRequest, wants: list[TokenWant]) -> None:
        request = QuotaRequest(
            number=message.number,
            router_address=message.router_address,
            wants=wants,
            is_forwarded=True,
        )
        self.node.send(address, request)

    def _grant(self, want: TokenWant, shard: int, now_us: int) -> TokenGrant:
        tenant = self._tenant(want.tenant)
        if tenant is None:
            return TokenGrant(want.tenant, 0, self.life_us, UNKNOWN_TENANT_WAIT_US, True)
        if not tenant.is_limited:
            return TokenGrant(want.tenant, want.needed, self.life_us, 0)
        bucket = self._bucket_of(want.tenant, tenant, shard, now_us)
        bucket.denied.add(want.denied, now_us)
        granted = bucket.take(want.needed, want.extra, now_us)
        wait_us = 0 if granted >= want.needed else bucket.retry_wait_us(now_us)
        return TokenGrant(
            want.tenant,
            granted,
            self.life_us,
            wait_us,
            bool(wait_us) and bucket.is_settling,
        )

    def _bucket_of(self, name: str, tenant: Tenant, shard: int, now_us: int) -> TenantBucket:
        epoch = self.ownership.epoch_of(shard)
        bucket = self.buckets.get(name)
        if bucket is not None and bucket.epoch == epoch:
            return bucket
        won_us = self.won_us.setdefault(shard, now_us)
        bucket = TenantBucket(epoch, tenant, self.node.bounds, won_us, now_us)
        self.buckets[name] = bucket
        return bucket

    # status

    def serve(self, call: Any) -> None:
        """Answer GET /v1/tenants: each tenant's limit and owner, and its use if granted here."""
        configuration = self.snapshot.configuration
        tenants = (configuration.tenants if configuration is not None else None) or {}
        uses = {name: self._use_of(name, tenant) for name, tenant in tenants.items()}
        answer = {"mark": self.snapshot.version, "tenants": msgspec.to_builtins(uses)}
        call.answer_json(200, answer)

    def _use_of(self, name: str, tenant: Tenant) -> TenantUse:
        now_us = self.node.now_us()
        shard = self._shard_of(name)
        rate, burst = tenant.requests_per_s, tenant.burst_requests
        if not self.ownership.is_owned(shard, now_us):
            return TenantUse(rate, burst, self.ownership.owner_address(shard))
        bucket = self.buckets.get(name)
        granted = bucket.granted.total(now_us) if bucket is not None else 0
        denied = bucket.denied.total(now_us) if bucket is not None else 0
        return TenantUse(rate, burst, self.node.address, granted, denied)
