"""The schema of an operator's document: its fields and their allowed values.

`document.py` defines the defaults, `validation.py` checks the consistency between fields. An
unknown field is a fault, since it would otherwise be ignored silently.
"""

import trafaret as t

from linkhaven.api.fields import integer, number

DURATION_US = integer(gte=1, lte=86_400_000_000)
"""A time in microseconds, from 1 to one day."""

NAME = t.Regexp(r"^[A-Za-z0-9._-]{1,128}\Z")
"""The name of a group, a kind, a pool or a tenant."""

REQUESTS = number(gte=0, lte=1e15)
"""Requests, or requests per second; bounded so that values computed from them are finite."""

ALLOWANCE = t.Dict({t.Key("tokens"): integer(gte=0), t.Key("period_us"): DURATION_US})

GROUP = t.Dict(
    {
        t.Key("credit", optional=True): t.Call(
            lambda credit: None if credit is None else ALLOWANCE.check(credit)
        ),
        t.Key("weight", optional=True): number(gt=0, lte=1000),
        t.Key("queue", optional=True): t.Dict(
            {
                t.Key("requests", optional=True): integer(gte=1, lte=100_000),
                t.Key("tokens", optional=True): integer(gte=1),
                t.Key("wait_us", optional=True): DURATION_US,
            }
        ),
    }
)

KIND = t.Dict(
    {
        t.Key("group"): NAME,
        t.Key("ttft_us"): DURATION_US,
        t.Key("tpot_us"): DURATION_US,
        t.Key("deadline_us"): DURATION_US,
        t.Key("repeatable", optional=True): t.Bool(),
        t.Key("resumable", optional=True): t.Bool(),
        t.Key("key_required", optional=True): t.Bool(),
        t.Key("prompt_tokens", optional=True): integer(gte=1),
        t.Key("answer_tokens", optional=True): integer(gte=1),
        t.Key("door", optional=True): t.Dict(
            {
                t.Key("host"): t.String(max_length=253),
                t.Key("prefix"): t.Regexp(r"^/(.{0,4000}/)?\Z"),
            }
        ),
        t.Key("pools", optional=True): t.List(
            t.Dict({t.Key("pool"): NAME, t.Key("weight"): integer(gte=0)})
        ),
        t.Key("attempts", optional=True): integer(gte=0),
        t.Key("gap_us", optional=True): DURATION_US,
        t.Key("priority", optional=True): integer(),
        t.Key("public", optional=True): t.Bool(),
    }
)

TENANT = t.Dict(
    {
        t.Key("keys"): t.List(t.Regexp(r"^[0-9a-f]{64}\Z")),
        t.Key("rate", optional=True): REQUESTS,
        t.Key("burst", optional=True): REQUESTS,
        t.Key("priority", optional=True): integer(gte=0),
    }
)

POOL = t.Dict(
    {
        t.Key("conns", optional=True): integer(gte=1),
        t.Key("health", optional=True): t.String(max_length=4_000),
        t.Key("slots", optional=True): integer(gte=0),
        t.Key("kv_tokens", optional=True): integer(gte=0),
        t.Key("kv_bytes_per_token", optional=True): integer(gte=0),
        t.Key("link_bytes_per_s", optional=True): integer(gte=1),
        t.Key("hold_us", optional=True): DURATION_US,
        t.Key("switch_us", optional=True): DURATION_US,
    }
)

HTTP_LIMITS = t.Dict(
    {
        t.Key("head_bytes", optional=True): integer(gte=1),
        t.Key("body_bytes", optional=True): integer(gte=1),
        t.Key("head_us", optional=True): DURATION_US,
        t.Key("idle_us", optional=True): DURATION_US,
    }
)

PLACEMENT = t.Dict(
    {
        t.Key("prefill_tokens_per_s", optional=True): integer(gte=0),
        t.Key("decode_read_share", optional=True): number(gt=0, lte=1),
        t.Key("read_base_us", optional=True): integer(gte=0),
        t.Key("kv_bytes_per_token", optional=True): integer(gte=1),
        t.Key("link_bytes_per_s", optional=True): integer(gte=1),
        t.Key("decode_tokens_per_s", optional=True): integer(gte=1),
        t.Key("watermark", optional=True): number(gt=0, lte=1),
        t.Key("approach", optional=True): number(gt=0, lte=1),
        t.Key("moves", optional=True): t.Bool(),
        t.Key("search", optional=True): t.Bool(),
        t.Key("dwell_us", optional=True): DURATION_US,
    }
)

DOCUMENT = t.Dict(
    {
        t.Key("groups"): t.Mapping(NAME, GROUP),
        t.Key("kinds"): t.Mapping(NAME, KIND),
        t.Key("taichi", optional=True): PLACEMENT,
        t.Key("extra", optional=True): t.Dict(
            {
                t.Key("share", optional=True): number(gte=0, lte=0.2),
                t.Key("margin", optional=True): integer(gte=0, lte=1000),
            }
        ),
        t.Key("claims", optional=True): t.Dict(
            {
                t.Key("keep_us", optional=True): integer(gte=60_000_000, lte=31_536_000_000_000),
                t.Key("most", optional=True): integer(gte=1, lte=2_000_000),
            }
        ),
        t.Key("fleet", optional=True): t.Dict({t.Key("routers"): integer(gte=1, lte=1000)}),
        t.Key("pools", optional=True): t.Mapping(NAME, POOL),
        t.Key("limits", optional=True): HTTP_LIMITS,
        t.Key("floor", optional=True): number(gte=0, lte=1),
        t.Key("tenants", optional=True): t.Mapping(NAME, TENANT),
    }
)
