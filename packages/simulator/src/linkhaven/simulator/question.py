import copy

import trafaret as t

from linkhaven.plan import check_plan
from linkhaven.schema import Trouble
from linkhaven.schema.fields import NAME, list_places, number, whole
from linkhaven.stage.faults import ALL, CORE_FAULTS
from linkhaven.stage.fleet import DEPLOYMENTS

SECONDS = number(least=0, most=600)

FAULT = t.Dict({
    t.Key("name"): t.Enum(*ALL),
    t.Key("at_s"): SECONDS,
    t.Key("for_s", default=5): SECONDS,
    t.Key("on", optional=True): t.String(),
})

DEMAND = t.Dict({
    t.Key("rate"): number(above=0, most=200),
    t.Key("prompt_tokens"): whole(1, 100_000),
    t.Key("answer_tokens"): whole(1, 10_000),
})

FLEET = t.Dict({
    t.Key("zones"): t.List(NAME, min_length=1, max_length=20),
    t.Key("routers"): whole(1, 50),
    t.Key("runners"): whole(1, 100),
    t.Key("prefills"): whole(0, 99),
    t.Key("prefill_tokens_per_s", default=8_000): whole(1),
    t.Key("decode_step_us", default=16_000): whole(1),
    t.Key("kv_tokens", default=120_000): whole(1_000),
    t.Key("report_every_us", default=500_000): whole(1_000),
})

CHANGE = t.Dict({
    t.Key("fleet", default=dict): t.Mapping(t.String(), t.Any()),
    t.Key("demand", default=dict): t.Mapping(NAME, number(least=0, most=100)),
    t.Key("taichi", default=dict): t.Mapping(t.String(), t.Any()),
    t.Key("faults", default=list): t.List(FAULT),
})

QUESTION = t.Dict({
    t.Key("title"): t.String(),
    t.Key("plan"): t.Any(),
    t.Key("fleet"): FLEET,
    t.Key("demand"): t.Mapping(NAME, DEMAND),
    t.Key("seconds", default=30): whole(5, 600),
    t.Key("seed", default=1): whole(0),
    t.Key("faults", default=list): t.List(FAULT),
    t.Key("what_if", default=dict): t.Mapping(t.String(), CHANGE),
})


def _clashes_of(question, place):
    plan, fleet = question["plan"], question["fleet"]
    places = [{"place": f"{place}plan/{found['place']}", "fault": found["fault"]} for found in check_plan(plan)]
    if fleet["prefills"] >= fleet["runners"]:
        places.append({"place": f"{place}fleet/prefills", "fault": "leaves no decode runner"})
    kinds = plan.get("kinds") if isinstance(plan, dict) and isinstance(plan.get("kinds"), dict) else {}
    for kind in question["demand"]:
        if kind not in kinds:
            places.append({"place": f"{place}demand/{kind}", "fault": "the plan names no such kind"})
    return places + [
        {"place": f"{place}faults/{number}/on", "fault": f"{fault['name']} cannot strike {fault['on']}"}
        for number, fault in enumerate(question["faults"]) if "on" in fault and fault["on"] not in _targets_of(fault["name"], fleet)
    ]


def _targets_of(fault, fleet):
    if fault == "cut_zone":
        return fleet["zones"]
    if fault in CORE_FAULTS - {"freeze_holder", "restart_core", "jump_clock"}:
        return ("a", "b", "c")
    if "router" in fault and "many" not in fault or fault == "jump_clock":
        return [f"edge-{place + 1}" for place in range(fleet["routers"])]
    if "runner" in fault:
        return [f"runner-{place + 1}" for place in range(fleet["runners"])]
    return ()


def read_question(document):
    """The checked question; every misfit at once, each with its place."""
    try:
        question = QUESTION.check(document)
    except t.DataError as fault:
        raise Trouble("question_invalid", places=sorted(list_places(fault), key=lambda place: place["place"])) from None
    places = _clashes_of(question, "")
    for name, change in question["what_if"].items():
        places += _clashes_of_change(question, name, change)
    if places:
        raise Trouble("question_invalid", places=places)
    return question


def _clashes_of_change(question, name, change):
    place = f"what_if/{name}/"
    unknown = [kind for kind in change["demand"] if kind not in question["demand"]]
    if unknown:
        return [{"place": f"{place}demand/{kind}", "fault": "the question has no such demand"} for kind in unknown]
    try:
        FLEET.check({**question["fleet"], **change["fleet"]})
    except t.DataError as fault:
        return list_places(fault, f"{place}fleet")
    return _clashes_of(apply_change(question, change), place)


def apply_change(question, change):
    changed = copy.deepcopy(question)
    changed["fleet"] = FLEET.check({**question["fleet"], **change["fleet"]})
    for kind, factor in change["demand"].items():
        changed["demand"][kind]["rate"] *= factor
    changed["demand"] = {kind: demand for kind, demand in changed["demand"].items() if demand["rate"] > 0}
    if change["taichi"]:
        changed["plan"]["taichi"] = {**changed["plan"].get("taichi", {}), **change["taichi"]}
    changed["faults"] = [*question["faults"], *change["faults"]]
    return changed


def example_question(name):
    """One of the two deployments as a question."""
    deployment = DEPLOYMENTS[name]
    return {
        "title": f"{name}: the usual day", "plan": deployment.plan(),
        "fleet": {"zones": list(deployment.zones), "routers": deployment.routers, "runners": deployment.runners, "prefills": deployment.prefills},
        "demand": {
            kind: {"rate": round(deployment.rate * share, 3), "prompt_tokens": prompt, "answer_tokens": answer}
            for kind, (share, prompt, answer) in deployment.mix.items()
        },
        "seconds": 30, "seed": 1, "faults": [],
        "what_if": {
            "one runner less": {"fleet": {"runners": deployment.runners - 1}},
            "twice the long work": {"demand": {min(deployment.mix, key=lambda kind: deployment.mix[kind][0]): 2}},
            "a zone cut off": {"faults": [{"name": "cut_zone", "on": deployment.zones[-1], "at_s": 8, "for_s": 8}]},
            "a core machine lost": {"faults": [{"name": "empty_core", "on": "b", "at_s": 8}]},
        },
    }
