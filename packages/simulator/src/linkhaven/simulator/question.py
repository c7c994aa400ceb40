"""Reads and checks what-if questions.

A question is a scenario to be simulated: a configuration (`plan`), a fleet, the demand by request
kind, tenants and faults; and under `what_if` named changes, each of which is simulated too.
`rate` is in requests per second, `seconds` is the simulated time; other keys end in their unit.
"""

import copy

import trafaret as t

from linkhaven.api import ServiceError
from linkhaven.api.fields import NAME, flatten_faults, integer, number
from linkhaven.configuration import list_document_faults
from linkhaven.controller import SINGLETON_ROLES
from linkhaven.stage.faults import ALL, TENANT_FAULTS
from linkhaven.stage.fleet import DEPLOYMENTS

SECONDS = number(gte=0, lte=600)

FAULT = t.Dict(
    {
        t.Key("name"): t.Enum(*ALL, *TENANT_FAULTS),
        t.Key("at_s"): SECONDS,
        t.Key("for_s", default=5): SECONDS,
        t.Key("on", optional=True): t.String(),
    }
)

DEMAND = t.Dict(
    {
        t.Key("rate"): number(gt=0, lte=200),
        t.Key("prompt_tokens"): integer(1, 100_000),
        t.Key("answer_tokens"): integer(1, 10_000),
    }
)

TENANT = t.Dict({t.Key("share"): number(gt=0, lte=1_000)})

FLEET = t.Dict(
    {
        t.Key("zones"): t.List(NAME, min_length=1, max_length=20),
        t.Key("routers"): integer(1, 50),
        t.Key("runners"): integer(1, 100),
        t.Key("prefills"): integer(0, 99),
        t.Key("prefill_tokens_per_s", default=8_000): integer(1),
        t.Key("decode_step_us", default=16_000): integer(1),
        t.Key("kv_tokens", default=120_000): integer(1_000),
        t.Key("report_every_us", default=500_000): integer(1_000),
    }
)

CHANGE = t.Dict(
    {
        t.Key("fleet", default=dict): t.Mapping(t.String(), t.Any()),
        t.Key("demand", default=dict): t.Mapping(NAME, number(gte=0, lte=100)),
        t.Key("taichi", default=dict): t.Mapping(t.String(), t.Any()),
        t.Key("groups", default=dict): t.Mapping(NAME, t.Mapping(t.String(), t.Any())),
        t.Key("kinds", default=dict): t.Mapping(NAME, t.Mapping(t.String(), t.Any())),
        t.Key("tenants", default=dict): t.Mapping(NAME, t.Mapping(t.String(), t.Any())),
        t.Key("tenant_load", default=dict): t.Mapping(NAME, number(gte=0, lte=100)),
        t.Key("faults", default=list): t.List(FAULT),
    }
)

QUESTION = t.Dict(
    {
        t.Key("title"): t.String(),
        t.Key("plan"): t.Any(),
        t.Key("fleet"): FLEET,
        t.Key("demand"): t.Mapping(NAME, DEMAND),
        t.Key("tenants", default=dict): t.Mapping(NAME, TENANT),
        t.Key("tenant_load", default=dict): t.Mapping(NAME, number(gte=0, lte=100)),
        t.Key("seconds", default=30): integer(5, 600),
        t.Key("seed", default=1): integer(0),
        t.Key("faults", default=list): t.List(FAULT),
        t.Key("what_if", default=dict): t.Mapping(t.String(), CHANGE),
    }
)


def _find_conflicts(question, place):
    """Return what is inconsistent in a question whose fields are valid, with `place` as prefix."""
    plan, fleet = question["plan"], question["fleet"]
    places = [
        {"place": f"{place}plan/{found['place']}", "fault": found["fault"]}
        for found in list_document_faults(plan)
    ]
    if fleet["prefills"] >= fleet["runners"]:
        places.append({"place": f"{place}fleet/prefills", "fault": "leaves no decode runner"})
    kinds = (
        plan.get("kinds") if isinstance(plan, dict) and isinstance(plan.get("kinds"), dict) else {}
    )
    for kind in question["demand"]:
        if kind not in kinds:
            places.append(
                {"place": f"{place}demand/{kind}", "fault": "the plan names no such kind"}
            )
    places += _find_tenant_conflicts(question, place)
    return places + [
        {
            "place": f"{place}faults/{number}/on",
            "fault": f"{fault['name']} cannot strike {fault['on']}",
        }
        for number, fault in enumerate(question["faults"])
        if "on" in fault and fault["on"] not in _list_targets(fault["name"], question)
    ]


def _find_tenant_conflicts(question, place):
    """Return tenants that the plan doesn't name, and faults of tenants where none sends."""
    plan = question["plan"]
    named = plan.get("tenants") if isinstance(plan, dict) else None
    named = named if isinstance(named, dict) else {}
    places = [
        {"place": f"{place}tenants/{tenant}", "fault": "the plan names no such tenant"}
        for tenant in question["tenants"]
        if tenant not in named
    ]
    if named and not question["tenants"]:
        places.append({"place": f"{place}tenants", "fault": "the plan has tenants, and none sends"})
    places += [
        {"place": f"{place}tenant_load/{tenant}", "fault": "no such tenant sends"}
        for tenant in question["tenant_load"]
        if tenant not in question["tenants"]
    ]
    if not question["tenants"]:
        places += [
            {"place": f"{place}faults/{number}/name", "fault": "needs tenants"}
            for number, fault in enumerate(question["faults"])
            if fault["name"] in TENANT_FAULTS
        ]
    return places


# Faults that may be aimed at a target, by the kind of the target.

ZONE_FAULTS = {"cut_zone", "kill_zone", "freeze_zone"}
ROLE_FAULTS = {"freeze_holder"}
REPLICA_FAULTS = {
    "kill_core",
    "freeze_core",
    "freeze_seat_in_a_put",
    "empty_core",
    "exchange_awake_core",
    "lossy_core",
    "full_disk",
    "full_disk_in_a_rejoin",
    "stall_disk",
    "stall_disk_in_a_put",
    "slow_disk",
    "cut_core",
    "cut_seat_from_seats",
    "cut_seat_from_edge",
    "slow_seat",
}
ROUTER_FAULTS = {
    "kill_router",
    "freeze_router",
    "cut_router",
    "cut_router_one_way",
    "cut_router_from_core",
    "jump_clock",
}
RUNNER_FAULTS = {
    "crash_runner",
    "dark_runner",
    "freeze_runner",
    "replace_runner",
    "rename_runner",
    "leave_unlisted",
}
GROUP_FAULTS = {"remove_group"}
ONE_TENANT_FAULTS = {"revoke_key", "add_key", "move_key", "lower_limit", "hot_tenant"}


def _list_targets(fault, question):
    """Return the names that a fault may be aimed at; every other fault draws its target."""
    fleet = question["fleet"]
    if fault in ZONE_FAULTS:
        return fleet["zones"]
    if fault in REPLICA_FAULTS:
        return ("a", "b", "c")
    if fault in ROLE_FAULTS:
        return SINGLETON_ROLES
    if fault in ROUTER_FAULTS:
        return [f"edge-{place + 1}" for place in range(fleet["routers"])]
    if fault in RUNNER_FAULTS:
        return [f"runner-{place + 1}" for place in range(fleet["runners"])]
    if fault in GROUP_FAULTS:
        return list(question["plan"].get("groups", ()))
    if fault in ONE_TENANT_FAULTS:
        return list(question["tenants"])
    return ()


def read_question(document):
    """Return the checked question, with defaults filled in.

    Raises ServiceError `question_invalid` with all errors that were found, each with its place.
    """
    try:
        question = QUESTION.check(document)
    except t.DataError as error:
        raise ServiceError(
            "question_invalid",
            places=sorted(flatten_faults(error), key=lambda place: place["place"]),
        ) from None
    places = _find_conflicts(question, "")
    for name, change in question["what_if"].items():
        places += _find_change_conflicts(question, name, change)
    if places:
        raise ServiceError("question_invalid", places=places)
    return question


def _find_change_conflicts(question, name, change):
    """Return what is inconsistent in the question that a change makes."""
    place = f"what_if/{name}/"
    unknown = [kind for kind in change["demand"] if kind not in question["demand"]]
    if unknown:
        return [
            {"place": f"{place}demand/{kind}", "fault": "the question has no such demand"}
            for kind in unknown
        ]
    try:
        FLEET.check({**question["fleet"], **change["fleet"]})
    except t.DataError as error:
        return flatten_faults(error, f"{place}fleet")
    return _find_conflicts(apply_change(question, change), place)


def apply_change(question, change):
    """Return the question with one change of its `what_if` applied.

    Factors of `demand` multiply the rates, faults are added, and all other terms override those
    of the same name.
    """
    changed = copy.deepcopy(question)
    changed["fleet"] = FLEET.check({**question["fleet"], **change["fleet"]})
    for kind, factor in change["demand"].items():
        changed["demand"][kind]["rate"] *= factor
    changed["demand"] = {
        kind: demand for kind, demand in changed["demand"].items() if demand["rate"] > 0
    }
    if change["taichi"]:
        changed["plan"]["taichi"] = {**changed["plan"].get("taichi", {}), **change["taichi"]}
    changed["tenant_load"] = {**question["tenant_load"], **change["tenant_load"]}
    for part in ("groups", "kinds", "tenants"):
        entries = changed["plan"].get(part, {})
        for name, terms in change[part].items():
            entries[name] = {**entries.get(name, {}), **terms}
    changed["faults"] = [*question["faults"], *change["faults"]]
    return changed


def example_question(name):
    """Return a shipped deployment as a question with example changes."""
    deployment = DEPLOYMENTS[name]
    question = _describe_deployment(deployment)
    if deployment.tenants:
        question["tenants"] = {
            tenant.name: {"share": tenant.share} for tenant in deployment.tenants
        }
        largest = max(deployment.tenants, key=lambda tenant: tenant.share)
        question["what_if"].update(
            {
                "the largest tenant sends ten times as much": {"tenant_load": {largest.name: 10}},
                "the same, without a limit": {
                    "tenant_load": {largest.name: 10},
                    "tenants": {largest.name: {"rate": 0}},
                },
                "its limit is far below what it sends": {
                    "tenants": {
                        largest.name: {"rate": round(largest.requests_per_s / 10, 2), "burst": 1}
                    }
                },
                "a key is taken away": {
                    "faults": [{"name": "revoke_key", "on": largest.name, "at_s": 8}]
                },
            }
        )
    return question


def _describe_deployment(deployment):
    name = deployment.name
    return {
        "title": f"{name}: the usual day",
        "plan": deployment.plan(),
        "fleet": {
            "zones": list(deployment.zones),
            "routers": deployment.routers,
            "runners": deployment.runners,
            "prefills": deployment.prefills,
        },
        "demand": {
            kind: {
                "rate": round(deployment.rate * share, 3),
                "prompt_tokens": prompt,
                "answer_tokens": answer,
            }
            for kind, (share, prompt, answer) in deployment.mix.items()
        },
        "seconds": 30,
        "seed": 1,
        "faults": [],
        "what_if": {
            "one runner less": {"fleet": {"runners": deployment.runners - 1}},
            "twice the long work": {
                "demand": {min(deployment.mix, key=lambda kind: deployment.mix[kind][0]): 2}
            },
            "a third of the credit for the commonest kind": {
                "groups": {
                    group: {
                        "credit": {
                            **deployment.groups[group]["credit"],
                            "tokens": deployment.groups[group]["credit"]["tokens"] // 3,
                        }
                    }
                    for group in [
                        deployment.kinds[
                            max(deployment.mix, key=lambda kind: deployment.mix[kind][0])
                        ]["group"]
                    ]
                },
            },
            "a zone cut off": {
                "faults": [{"name": "cut_zone", "on": deployment.zones[-1], "at_s": 8, "for_s": 8}]
            },
            "a core machine lost": {"faults": [{"name": "empty_core", "on": "b", "at_s": 8}]},
        },
    }
