"""The configuration in force, as typed and immutable records.

An operator's document is JSON (`docs/operator.md`). `decode_configuration` checks it once, where it
enters a process, and gives one `Configuration`; all other code reads that. The document itself is
stored, digested and sent on as it came, so that nothing here can alter its bytes.

This module is the one place where the names of the document's fields are bound to the names that
the code uses (`field(name=...)`), and where their defaults stand. Which values a field may have is
checked by `schema.py`, and how fields must fit together by `validation.py`. Times are whole
microseconds (`_us`). A record is frozen, and equal records are equal configurations.
"""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import field

MICROSECONDS_PER_S = 1_000_000


class Allowance(msgspec.Struct, frozen=True):
    """The tokens that a group may spend, over all routers: a token bucket's rate and size."""

    tokens: int
    """Prompt and output tokens a period."""

    period_us: int

    @property
    def period_s(self) -> float:
        """The period in seconds."""
        return self.period_us / MICROSECONDS_PER_S

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return self.tokens / self.period_s


class QueueBounds(msgspec.Struct, frozen=True):
    """The bounds of a group's queue at one router."""

    requests: int = 128
    tokens: int = 1_000_000
    """Prompt tokens."""

    wait_us: int = 10_000_000
    """The longest estimated wait with which a request is still admitted."""


class Group(msgspec.Struct, frozen=True):
    """A group of request kinds, which share an allowance and one queue at each router."""

    allowance: Allowance | None = field(name="credit", default=None)
    """None for a group whose tokens are not limited."""

    weight: int | float = 1.0
    """The group's part of each scheduling round, relative to the other groups."""

    queue: QueueBounds = QueueBounds()


class RouteMatch(msgspec.Struct, frozen=True):
    """Which calls on a foreign HTTP interface belong to a kind; the longest prefix wins."""

    host: str
    path_prefix: str = field(name="prefix")
    """Begins and ends with `/`."""


class PoolWeight(msgspec.Struct, frozen=True):
    """The part of a kind's requests that one pool of runners gets."""

    pool: str
    weight: int
    """Relative to the other pools of the kind; 0 for none."""


class RequestKind(msgspec.Struct, frozen=True):
    """What is promised to, and expected of, one kind of request.

    TTFT is the time from arrival to the first output token, TPOT the time for each further one.
    """

    group: str
    ttft_us: int
    """Latency target of the first output token; at most the deadline."""

    tpot_us: int
    """Latency target of each further output token."""

    deadline_us: int
    """From arrival to the end of the response."""

    is_idempotent: bool = field(name="repeatable", default=True)
    """Whether a runner may be sent the request again after it may have run."""

    is_resumable: bool = field(name="resumable", default=False)
    """Whether a response may go on at another runner, from its last piece."""

    requires_key: bool = field(name="key_required", default=False)
    """Whether a request that isn't idempotent is rejected without an idempotency key."""

    max_prompt_tokens: int = field(name="prompt_tokens", default=16_000)
    max_output_tokens: int = field(name="answer_tokens", default=2_000)
    """Also what a request is taken to make that doesn't say."""

    route: RouteMatch | None = field(name="door", default=None)
    pools: tuple[PoolWeight, ...] = ()
    """Empty where any runner may serve the kind."""

    max_attempts: int = field(name="attempts", default=0)
    """The first attempt included; 0 where only the retry budget bounds them."""

    max_gap_us: int | None = field(name="gap_us", default=None)
    """Latency target of the pause between two pieces of a response; None for `tpot_us`."""

    priority: int = 0
    """The rank of its requests in their group's queue, where their tenant has none; 0 is the
    highest."""

    is_public: bool = field(name="public", default=False)
    """Whether a request needs no API key where the configuration has tenants."""


class Tenant(msgspec.Struct, frozen=True):
    """A customer: the API keys that tell its requests, and how many of them it may send.

    Keys are here as digests only (`api_keys.py`). The limit holds over all routers together: a
    token bucket's rate and size.
    """

    key_digests: tuple[str, ...] = field(name="keys")
    """Of each key, SHA-256 in lower-case hex. Empty once all keys were taken away."""

    requests_per_s: int | float = field(name="rate", default=0)
    """0 for no limit."""

    burst_requests: int | float = field(name="burst", default=0)
    """Requests above the rate that may be sent at once."""

    priority: int | None = None
    """Its rank, before that of the request kind; 0 is the highest, None leaves it to the kind."""

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a limit at all."""
        return self.requests_per_s > 0


class PoolSettings(msgspec.Struct, frozen=True):
    """A pool of equal runners. Sizes are those of one runner; None where they aren't said."""

    max_connections: int = field(name="conns", default=256)
    """Over all routers."""

    health_path: str = field(name="health", default="/health")
    max_running_requests: int = field(name="slots", default=0)
    """The size of a runner's batch; 0 where it isn't said."""

    kv_capacity_tokens: int = field(name="kv_tokens", default=0)
    """Tokens that fit into a runner's KV cache; 0 where it isn't said."""

    kv_bytes_per_token: int | None = None
    link_bytes_per_s: int | None = None
    """The rate at which a KV cache is sent to another runner."""

    kv_hold_us: int | None = field(name="hold_us", default=None)
    """How long a prefill runner keeps a KV cache that nobody fetches."""

    role_switch_us: int | None = field(name="switch_us", default=None)
    """How long a runner takes from prefill to decode or back."""


class HttpLimits(msgspec.Struct, frozen=True):
    """Bounds of the calls on a router's foreign interface; None for the program's own."""

    head_bytes: int | None = None
    body_bytes: int | None = None
    head_us: int | None = None
    """From the first byte to the end of the headers."""

    idle_us: int | None = None
    """Between two calls on a connection, and for the rest of a call once its headers are read."""


class PlacementSettings(msgspec.Struct, frozen=True):
    """Placement on prefill and decode runners, and role balancing.

    After TaiChi ("Prefill-Decode Aggregation or Disaggregation? Unifying Both for
    Goodput-Optimized LLM Serving", 2025).
    """

    prefill_tokens_per_s: int = 8_000
    """The pace of a prefill runner; 0 to learn it from what is seen."""

    decode_prefill_share: int | float = field(name="decode_read_share", default=0.5)
    """The part of that pace with which a decode runner prefills beside its streams."""

    prefill_base_us: int = field(name="read_base_us", default=15_000)
    """The part of a prefill's time that doesn't depend on its tokens."""

    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: int = 5_000_000_000
    decode_tokens_per_s: int = 900
    """The pace of a decode runner, over all its streams."""

    kv_watermark: int | float = field(name="watermark", default=0.95)
    """Above this part of a runner's KV cache, streams are migrated away from it."""

    tpot_threshold: int | float = field(name="approach", default=0.96)
    """A stream slower than this part of its TPOT target is migrated back."""

    is_migration_enabled: bool = field(name="moves", default=False)
    """Whether running streams are migrated between runners."""

    is_balancing_enabled: bool = field(name="search", default=True)
    """Whether runners are switched between prefill and decode as the demand asks."""

    balancing_dwell_us: int = field(name="dwell_us", default=4_000_000)
    """How long a pool's ratio rests after each switch."""


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """How many attempts beyond the first the fleet's requests may make, over any span.

    At most `attempts_per_request` x the requests + `margin_attempts`.
    """

    attempts_per_request: int | float = field(name="share", default=0.2)
    margin_attempts: int = field(name="margin", default=10)


class ClaimSettings(msgspec.Struct, frozen=True):
    """How the idempotency keys of requests that may run only once are kept."""

    retention_us: int = field(name="keep_us", default=86_400_000_000)
    max_claims: int = field(name="most", default=200_000)
    """Where so many are kept, a new one is rejected."""


class FleetSettings(msgspec.Struct, frozen=True):
    """What the operator runs."""

    routers: int
    """At least the routers that may be running at one time."""


class Configuration(msgspec.Struct, frozen=True):
    """The whole configuration in force."""

    groups: Mapping[str, Group]
    """At least one, in the document's order."""

    kinds: Mapping[str, RequestKind]
    """In the document's order."""

    placement: PlacementSettings = field(name="taichi", default=PlacementSettings())
    retry_budget: RetryBudgetSettings = field(name="extra", default=RetryBudgetSettings())
    claims: ClaimSettings = ClaimSettings()
    fleet: FleetSettings = FleetSettings(routers=1)
    pools: Mapping[str, PoolSettings] = {}
    """Empty where runners aren't divided into pools."""

    http_limits: HttpLimits = field(name="limits", default=HttpLimits())
    min_allowance_share: int | float = field(name="floor", default=0.02)
    """The least part of a group's allowance that a router with requests is granted."""

    tenants: Mapping[str, Tenant] | None = None
    """None where requests need no key; an empty mapping lets only public kinds in."""

    def rank_of(self, kind: RequestKind, tenant_name: str | None) -> int:
        """Return the rank of a request: its tenant's, else its kind's; 0 is the highest."""
        tenant = (self.tenants or {}).get(tenant_name or "")
        if tenant is None or tenant.priority is None:
            return kind.priority
        return tenant.priority


def record_to_dict(record: msgspec.Struct) -> dict[str, Any]:
    """Return a record under the document's names, with what the document omitted."""
    return msgspec.to_builtins(record)
