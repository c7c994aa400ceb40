import trafaret as t
from cachetools import LRUCache

from linkhaven.api import ServiceError
from linkhaven.api.fields import list_places, number, whole
from linkhaven.runtime import write_json

US = whole(gte=1, lte=86_400_000_000)
SHARE = number(least=0, most=1)
NAME = t.Regexp(r"^[A-Za-z0-9._-]{1,128}$")
ROUTERS = 1

CREDIT = t.Dict({t.Key("tokens"): whole(gte=0), t.Key("period_us"): US})

GROUP = t.Dict(
    {
        t.Key("credit", default=None): t.Call(
            lambda credit: None if credit is None else CREDIT.check(credit)
        ),
        t.Key("weight", default=1.0): number(above=0, most=1000),
        t.Key("queue", default=dict): t.Dict(
            {
                t.Key("requests", default=128): whole(gte=1, lte=100_000),
                t.Key("tokens", default=1_000_000): whole(gte=1),
                t.Key("wait_us", default=10_000_000): US,
            }
        ),
    }
)

KIND = t.Dict(
    {
        t.Key("group"): NAME,
        t.Key("ttft_us"): US,
        t.Key("tpot_us"): US,
        t.Key("deadline_us"): US,
        t.Key("repeatable", default=True): t.Bool(),
        t.Key("resumable", default=False): t.Bool(),
        t.Key("key_required", default=False): t.Bool(),
        t.Key("prompt_tokens", default=16_000): whole(gte=1),
        t.Key("answer_tokens", default=2_000): whole(gte=1),
        t.Key("door", optional=True): t.Dict(
            {
                t.Key("host"): t.String(max_length=253),
                t.Key("prefix"): t.Regexp(r"^/(.{0,4000}/)?$"),
            }
        ),
        t.Key("pools", default=list): t.List(
            t.Dict({t.Key("pool"): NAME, t.Key("weight"): whole(gte=0)})
        ),
        t.Key("attempts", default=0): whole(gte=0),
        t.Key("gap_us", optional=True): US,
        t.Key("priority", default=0): whole(),
    }
)

POOL = t.Dict(
    {
        t.Key("conns", default=256): whole(gte=1),
        t.Key("health", default="/health"): t.String(max_length=4_000),
        t.Key("slots", default=0): whole(gte=0),
        t.Key("kv_tokens", default=0): whole(gte=0),
        t.Key("kv_bytes_per_token", optional=True): whole(gte=0),
        t.Key("link_bytes_per_s", optional=True): whole(gte=1),
        t.Key("hold_us", optional=True): US,
        t.Key("switch_us", optional=True): US,
    }
)

LIMITS = t.Dict(
    {
        t.Key("head_bytes", optional=True): whole(gte=1),
        t.Key("body_bytes", optional=True): whole(gte=1),
        t.Key("head_us", optional=True): US,
        t.Key("idle_us", optional=True): US,
    }
)

TAICHI = t.Dict(
    {
        t.Key("prefill_tokens_per_s", default=8_000): whole(gte=0),
        t.Key("decode_read_share", default=0.5): number(above=0, most=1),
        t.Key("read_base_us", default=15_000): whole(gte=0),
        t.Key("kv_bytes_per_token", default=100_000): whole(gte=1),
        t.Key("link_bytes_per_s", default=5_000_000_000): whole(gte=1),
        t.Key("decode_tokens_per_s", default=900): whole(gte=1),
        t.Key("watermark", default=0.95): number(above=0, most=1),
        t.Key("approach", default=0.96): number(above=0, most=1),
        t.Key("moves", default=False): t.Bool(),
        t.Key("search", default=True): t.Bool(),
        t.Key("dwell_us", default=4_000_000): US,
    }
)

PLAN = t.Dict(
    {
        t.Key("groups"): t.Mapping(NAME, GROUP),
        t.Key("kinds"): t.Mapping(NAME, KIND),
        t.Key("taichi", default=dict): TAICHI,
        t.Key("extra", default=dict): t.Dict(
            {
                t.Key("share", default=0.2): number(least=0, most=0.2),
                t.Key("margin", default=10): whole(gte=0, lte=1000),
            }
        ),
        t.Key("claims", default=dict): t.Dict(
            {
                t.Key("keep_us", default=86_400_000_000): whole(
                    gte=60_000_000, lte=31_536_000_000_000
                ),
                t.Key("most", default=200_000): whole(gte=1, lte=2_000_000),
            }
        ),
        t.Key("fleet", default=lambda: {"routers": ROUTERS}): t.Dict(
            {t.Key("routers"): whole(gte=1, lte=1000)}
        ),
        t.Key("pools", default=dict): t.Mapping(NAME, POOL),
        t.Key("limits", optional=True): LIMITS,
        t.Key("floor", default=0.02): SHARE,
    }
)


def _door_of(kind):
    door = kind.get("door")
    if not isinstance(door, dict) or not isinstance(door.get("host"), str):
        return None
    return door["host"].lower(), str(door.get("prefix"))


def _list_pool_clashes(name, kind, pools):
    named = (
        [entry for entry in kind["pools"] if isinstance(entry, dict)]
        if isinstance(kind.get("pools"), list)
        else []
    )
    if isinstance(pools, dict) and pools:
        for place, entry in enumerate(named):
            if isinstance(entry.get("pool"), str) and entry["pool"] not in pools:
                yield {
                    "place": f"kinds/{name}/pools/{place}/pool",
                    "fault": f"no pool is named {entry['pool']}",
                }
    weights = [entry.get("weight") for entry in named]
    if weights and all(weight == 0 for weight in weights):
        yield {"place": f"kinds/{name}/pools", "fault": "the weights sum to 0"}


def _list_clashes(document):
    places = []
    groups = document.get("groups") if isinstance(document, dict) else None
    kinds = document.get("kinds") if isinstance(document, dict) else None
    if not isinstance(groups, dict) or not isinstance(kinds, dict):
        return places
    pools = document.get("pools")
    doors = {}
    for name, kind in kinds.items():
        if not isinstance(kind, dict):
            continue
        places += _list_pool_clashes(name, kind, pools)
        door = _door_of(kind)
        if door is not None and doors.setdefault(door, name) != name:
            places.append(
                {"place": f"kinds/{name}/door", "fault": f"is the door of {doors[door]} too"}
            )
        group = kind.get("group")
        if isinstance(group, str) and group not in groups:
            places.append({"place": f"kinds/{name}/group", "fault": f"no group is named {group}"})
        if kind.get("repeatable") is False and kind.get("resumable"):
            places.append(
                {
                    "place": f"kinds/{name}/resumable",
                    "fault": "a kind that cannot be repeated cannot be resumed",
                }
            )
        if kind.get("key_required") and kind.get("repeatable") is not False:
            places.append(
                {
                    "place": f"kinds/{name}/key_required",
                    "fault": "only a kind that cannot be repeated has keys",
                }
            )
        ttft_us, deadline_us = kind.get("ttft_us"), kind.get("deadline_us")
        if isinstance(ttft_us, int) and isinstance(deadline_us, int) and ttft_us > deadline_us:
            places.append({"place": f"kinds/{name}/ttft_us", "fault": "is beyond the deadline"})
    if not groups:
        places.append({"place": "groups", "fault": "at least one group is needed"})
    return places


FILLED_MOST = 8_192
_filled_parts = LRUCache(FILLED_MOST)
"""Groups and kinds that were checked before, by their name and text: a change of a large plan checks
only what it changed. A filled part is never altered."""


def _fill_part(check, name, part):
    key = (check, name, write_json(part))
    filled = _filled_parts.get(key)
    if filled is None:
        NAME.check(name)
        filled = _filled_parts[key] = check.check(part)
    return filled


def _fill(document):
    """The plan with its defaults; raises DataError with each place that doesn't fit."""
    try:
        groups = {name: _fill_part(GROUP, name, part) for name, part in document["groups"].items()}
        kinds = {name: _fill_part(KIND, name, part) for name, part in document["kinds"].items()}
    except (t.DataError, AttributeError, KeyError, TypeError, ValueError):
        return PLAN.check(document)
    return {**PLAN.check({**document, "groups": {}, "kinds": {}}), "groups": groups, "kinds": kinds}


def decode_configuration(document):
    places, plan = [], None
    try:
        plan = _fill(document)
    except t.DataError as fault:
        places += list_places(fault)
    places += _list_clashes(document)
    if places:
        raise ServiceError("plan_invalid", places=sorted(places, key=lambda place: place["place"]))
    return plan


def list_document_faults(document):
    try:
        decode_configuration(document)
    except ServiceError as error:
        return error.detail["places"]
    return []


def diff_documents(held, wanted, place=""):
    """Each place where two plans differ, with both values."""
    for key in sorted({*held, *wanted}):
        here = f"{place}{key}"
        old, new = held.get(key), wanted.get(key)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            yield from diff_documents(old, new, f"{here}/")
        else:
            yield {"place": here, "held": old, "wanted": new}
