"""The configuration in force, as typed and immutable records.

An operator's document is JSON (`docs/operator.md`). `decode_configuration` checks it once, when it
enters a process, and returns one `Configuration`, which all other code reads. The document itself
is stored, digested and forwarded as received; nothing here can change its bytes.

Only this module maps the document's field names to the names in the code (`field(name=...)`) and
defines their defaults. `schema.py` checks the values of each field, `validation.py` the consistency
between fields. Times are integers in microseconds (`_us`). Records are frozen, and equal records
are equal configurations.
"""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import field

MICROSECONDS_PER_S = 1_000_000


class Allowance(msgspec.Struct, frozen=True):
    """The tokens that a group may use over all routers: a token bucket's rate and size."""

    tokens: int
    """Prompt and output tokens per period."""

    period_us: int

    @property
    def period_s(self) -> float:
        """The period in seconds."""
        return self.period_us / MICROSECONDS_PER_S

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self.tokens / self.period_s


class QueueBounds(msgspec.Struct, frozen=True):
    """The bounds of a group's queue at one router."""

    requests: int = 128
    tokens: int = 1_000_000
    """Prompt tokens of all queued requests."""

    wait_us: int = 10_000_000
    """The longest estimated wait with which a request is still admitted."""


class Group(msgspec.Struct, frozen=True):
    """A group of request kinds that share an allowance and, at each router, a queue."""

    allowance: Allowance | None = field(name="credit", default=None)
    """None for a group whose tokens are not limited."""

    weight: int | float = 1.0
    """The group's share of each scheduling round, relative to the other groups."""

    queue: QueueBounds = QueueBounds()


class RouteMatch(msgspec.Struct, frozen=True):
    """Which HTTP requests on the platform interface belong to a kind; the longest prefix wins."""

    host: str
    path_prefix: str = field(name="prefix")
    """Begins and ends with `/`."""


class PoolWeight(msgspec.Struct, frozen=True):
    """The share of a kind's requests that one pool of runners gets."""

    pool: str
    weight: int
    """Relative to the other pools of the kind; 0 for none."""


class RequestKind(msgspec.Struct, frozen=True):
    """The latency targets, limits and routing of one kind of request.

    TTFT is the time from arrival to the first output token, TPOT the time per further output token.
    """

    group: str
    ttft_us: int
    """Latency target of the first output token; at most the deadline."""

    tpot_us: int
    """Latency target of each further output token."""

    deadline_us: int
    """Time from arrival to the end of the response."""

    is_idempotent: bool = field(name="repeatable", default=True)
    """Whether a runner may be sent the request again after it may have run."""

    is_resumable: bool = field(name="resumable", default=False)
    """Whether a response may be continued by another runner, from its last piece."""

    requires_key: bool = field(name="key_required", default=False)
    """Whether a request that isn't idempotent is rejected without an idempotency key."""

    max_prompt_tokens: int = field(name="prompt_tokens", default=16_000)
    max_output_tokens: int = field(name="answer_tokens", default=2_000)
    """Also the assumed output of a request that doesn't state a maximum."""

    route: RouteMatch | None = field(name="door", default=None)
    pools: tuple[PoolWeight, ...] = ()
    """Empty if any runner may serve the kind."""

    max_attempts: int = field(name="attempts", default=0)
    """Including the first attempt; 0 if only the retry budget limits them."""

    max_gap_us: int | None = field(name="gap_us", default=None)
    """Latency target of the pause between two pieces of a response; None for `tpot_us`."""

    priority: int = 0
    """The priority of its requests in their group's queue if their tenant has none; 0 is the
    highest."""

    is_public: bool = field(name="public", default=False)
    """Whether requests need no API key even if the configuration has tenants."""


class Tenant(msgspec.Struct, frozen=True):
    """A tenant: the API keys that identify its requests, and its request limit.

    Keys are stored only as digests (`api_keys.py`). The limit is the rate and size of a token
    bucket over all routers.
    """

    key_digests: tuple[str, ...] = field(name="keys")
    """The SHA-256 of each key in lower-case hex; empty if all keys were revoked."""

    requests_per_s: int | float = field(name="rate", default=0)
    """0 for no limit."""

    burst_requests: int | float = field(name="burst", default=0)
    """Size of the bucket: requests above the rate that may be sent at once."""

    priority: int | None = None
    """Overrides the priority of the request kind; 0 is the highest, None doesn't override."""

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a limit."""
        return self.requests_per_s > 0


class PoolSettings(msgspec.Struct, frozen=True):
    """A pool of identical runners. Sizes are per runner; None if not given."""

    max_connections: int = field(name="conns", default=256)
    """Connections to a runner from all routers together."""

    health_path: str = field(name="health", default="/health")
    max_running_requests: int = field(name="slots", default=0)
    """The maximum batch size of a runner; 0 if not given."""

    kv_capacity_tokens: int = field(name="kv_tokens", default=0)
    """The capacity of a runner's KV cache in tokens; 0 if not given."""

    kv_bytes_per_token: int | None = None
    link_bytes_per_s: int | None = None
    """The bandwidth of KV cache transfers to another runner."""

    kv_hold_us: int | None = field(name="hold_us", default=None)
    """How long a prefill runner keeps a KV cache that isn't fetched."""

    role_switch_us: int | None = field(name="switch_us", default=None)
    """How long a runner takes to switch between prefill and decode."""


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits of HTTP requests on a router's platform interface; None for the defaults."""

    head_bytes: int | None = None
    body_bytes: int | None = None
    head_us: int | None = None
    """Time from the first byte to the end of the headers."""

    idle_us: int | None = None
    """Time between requests on a connection, and for the rest of a request after its headers."""


class PlacementSettings(msgspec.Struct, frozen=True):
    """Placement on prefill and decode runners, and role balancing.

    After TaiChi ("Prefill-Decode Aggregation or Disaggregation? Unifying Both for
    Goodput-Optimized LLM Serving", 2025).
    """

    prefill_tokens_per_s: int = 8_000
    """Throughput of a prefill runner; 0 to estimate it from observed prefills."""

    decode_prefill_share: int | float = field(name="decode_read_share", default=0.5)
    """The fraction of it with which a decode runner prefills while it decodes."""

    prefill_base_us: int = field(name="read_base_us", default=15_000)
    """The part of a prefill's time that doesn't depend on its number of tokens."""

    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: int = 5_000_000_000
    decode_tokens_per_s: int = 900
    """Throughput of a decode runner over all its streams."""

    kv_watermark: int | float = field(name="watermark", default=0.95)
    """Streams are migrated away from a runner whose KV cache is filled above this fraction."""

    tpot_threshold: int | float = field(name="approach", default=0.96)
    """A stream whose TPOT exceeds this fraction of its target is migrated back."""

    is_migration_enabled: bool = field(name="moves", default=False)
    """Whether running streams are migrated between runners."""

    is_balancing_enabled: bool = field(name="search", default=True)
    """Whether runners are switched between prefill and decode to follow demand."""

    balancing_dwell_us: int = field(name="dwell_us", default=4_000_000)
    """The minimum time between two changes of a pool's prefill/decode ratio."""


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """How many attempts beyond the first the fleet's requests may make in any time span.

    At most `attempts_per_request` x requests in the span + `margin_attempts`.
    """

    attempts_per_request: int | float = field(name="share", default=0.2)
    margin_attempts: int = field(name="margin", default=10)


class ClaimSettings(msgspec.Struct, frozen=True):
    """How idempotency keys of requests that may run only once are stored."""

    retention_us: int = field(name="keep_us", default=86_400_000_000)
    max_claims: int = field(name="most", default=200_000)
    """At this number of stored claims, a new one is rejected."""


class FleetSettings(msgspec.Struct, frozen=True):
    """The size of the fleet that the operator runs."""

    routers: int
    """An upper bound of the routers that run at the same time."""


class Configuration(msgspec.Struct, frozen=True):
    """The whole configuration in force."""

    groups: Mapping[str, Group]
    """At least one group, in the document's order."""

    kinds: Mapping[str, RequestKind]
    """In the document's order."""

    placement: PlacementSettings = field(name="taichi", default=PlacementSettings())
    retry_budget: RetryBudgetSettings = field(name="extra", default=RetryBudgetSettings())
    claims: ClaimSettings = ClaimSettings()
    fleet: FleetSettings = FleetSettings(routers=1)
    pools: Mapping[str, PoolSettings] = {}
    """Empty also if the document doesn't list its pools."""

    http_limits: HttpLimits = field(name="limits", default=HttpLimits())
    min_allowance_share: int | float = field(name="floor", default=0.02)
    """The minimum fraction of a group's allowance granted to a router with requests."""

    tenants: Mapping[str, Tenant] | None = None
    """None if requests need no key; with an empty mapping only public kinds are admitted."""

    def rank_of(self, kind: RequestKind, tenant_name: str | None) -> int:
        """Return the priority of a request: its tenant's, else its kind's; 0 is the highest."""
        tenant = (self.tenants or {}).get(tenant_name or "")
        if tenant is None or tenant.priority is None:
            return kind.priority
        return tenant.priority


def record_to_dict(record: msgspec.Struct) -> dict[str, Any]:
    """Return a record under the document's field names, including defaults."""
    return msgspec.to_builtins(record)
