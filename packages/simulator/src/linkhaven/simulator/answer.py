from linkhaven.runtime import Bounds
from linkhaven.stage.checkers import judge
from linkhaven.stage.faults import Faults
from linkhaven.stage.fleet import Deployment, SimFleet, Speeds, summarise
from linkhaven.stage.tenants import TenantPopulation, TenantProfile

from .question import apply_change

SECOND = 1_000_000


def simulate_question(question):
    """Plays one question in the simulated world; the same question has the same answer."""
    fleet_terms, demand = question["fleet"], question["demand"]
    plan, tenants = question["plan"], _tenants_of(question)
    if tenants:
        plan = {**plan, "tenants": TenantPopulation(tenants).document()}
    rate = sum(kind["rate"] for kind in demand.values())
    mix = {
        kind: (terms["rate"] / rate, terms["prompt_tokens"], terms["answer_tokens"])
        for kind, terms in demand.items()
    }
    deployment = Deployment(
        "question",
        tuple(fleet_terms["zones"]),
        fleet_terms["routers"],
        fleet_terms["runners"],
        fleet_terms["prefills"],
        plan["groups"],
        plan["kinds"],
        mix,
        rate,
        tenants,
    )
    fleet = SimFleet(
        deployment,
        question["seed"],
        plan=plan,
        speeds=Speeds(
            prefill_rate=fleet_terms["prefill_tokens_per_s"], step_us=fleet_terms["decode_step_us"]
        ),
        runner_given={
            "kv_total": fleet_terms["kv_tokens"],
            "report_every_us": fleet_terms["report_every_us"],
        },
    ).start()
    fleet.comes_back = False
    for tenant, factor in question["tenant_load"].items():
        fleet.tenants.set_load(tenant, factor)
    faults = Faults(fleet)
    begun_us = fleet.world.now_us
    for fault in question["faults"]:
        _plant(fleet.world, faults, fault, begun_us)
    if demand:
        fleet.load()
    fleet.world.run_for(question["seconds"] * SECOND)
    fleet.settle(90)
    return _summarise(fleet, faults, begun_us)


def _tenants_of(question):
    """The tenants that send, with the limits of the plan; the simulation draws their keys."""
    named = question["plan"].get("tenants", {})
    return tuple(
        TenantProfile(
            name,
            terms["share"],
            max(1, len(named[name]["keys"])),
            named[name].get("rate", 0),
            named[name].get("burst", 0),
            named[name].get("priority"),
        )
        for name, terms in question["tenants"].items()
    )


def _tenant_rows(fleet, asked, kinds):
    """What each tenant got of what it asked for."""
    if fleet.tenants is None:
        return {}
    return {
        tenant: summarise(
            [one for one in asked if one.credentials and one.credentials.tenant == tenant], kinds
        )
        for tenant in fleet.tenants.profiles
    }


def _plant(world, faults, fault, begun_us):
    words = [fault["on"]] if "on" in fault else []
    at_us = begun_us + int(fault["at_s"] * SECOND)
    world.at(at_us, lambda: faults.begin(fault["name"], *words))
    world.at(at_us + int(fault["for_s"] * SECOND), faults.close)


def _summarise(fleet, faults, begun_us):
    kinds = fleet.deployment.kinds
    asked = [one for one in fleet.caller.node.asked.values() if one.asked_us >= begun_us]
    phases = {name: host.node.phase for name, host in fleet.runners.items() if host.node}
    deadlines = {kind: terms["deadline_us"] for kind, terms in kinds.items()}
    return {
        "all": summarise(asked, kinds),
        "kinds": {
            kind: summarise([one for one in asked if one.kind == kind], kinds) for kind in fleet.mix
        },
        "groups": {
            group: summarise([one for one in asked if kinds[one.kind]["group"] == group], kinds)
            for group in fleet.plan["groups"]
        },
        "tenants": _tenant_rows(fleet, asked, kinds),
        "prefill_runners": sum(phase == "prefill" for phase in phases.values()),
        "runners": len(phases),
        "extra_shots": sum(
            sum(host.node.retry_budget.spent.values())
            for host in fleet.routers.values()
            if host.node
        ),
        "broken_rules": sorted(
            judge(
                fleet.world.record,
                deadlines=deadlines,
                margin=fleet.plan["extra"]["margin"],
                quota_slack=Bounds().quota_slack,
            )
        ),
    }


def answer_question(question):
    """The question as it stands, then each what-if, by name."""
    answers = {"as it is": simulate_question(question)}
    for name, change in question["what_if"].items():
        answers[name] = simulate_question(apply_change(question, change))
    return {
        "title": question["title"],
        "seed": question["seed"],
        "seconds": question["seconds"],
        "answers": answers,
    }


def format_table(told):
    head = (
        "case",
        "asked",
        "served",
        "refused",
        "troubled",
        "good",
        "ttft p50",
        "ttft p90",
        "tpot p90",
        "prefill",
        "extra",
    )
    rows = [head]
    for name, found in told["answers"].items():
        seen = found["all"]
        share = "-" if seen["goodput_share"] is None else f"{seen['goodput_share'] * 100:.1f}%"
        rows.append(
            (
                name,
                seen["asked"],
                seen["served"],
                seen["refused"],
                seen["troubled"] + seen["cut"],
                share,
                _ms(seen["ttft_ms"]["p50"]),
                _ms(seen["ttft_ms"]["p90"]),
                _ms(seen["tpot_ms"]["p90"]),
                f"{found['prefill_runners']}/{found['runners']}",
                found["extra_shots"],
            )
        )
    widths = [max(len(str(row[place])) for row in rows) for place in range(len(head))]
    lines = [f"{told['title']} (seed {told['seed']}, {told['seconds']} s)"]
    for row in rows:
        lines.append(
            "  ".join(
                str(cell).ljust(width) if not place else str(cell).rjust(width)
                for place, (cell, width) in enumerate(zip(row, widths, strict=True))
            )
        )
    for name, found in told["answers"].items():
        lines += _tenant_lines(name, found["tenants"])
    for name, found in told["answers"].items():
        if found["broken_rules"]:
            lines.append(f"{name}: broke {', '.join(found['broken_rules'])}")
    return "\n".join(lines)


def _tenant_lines(name, tenants):
    if not tenants:
        return []
    told = ", ".join(
        f"{tenant} {seen['served']} of {seen['asked']}" for tenant, seen in tenants.items()
    )
    return [f"{name}, served by tenant: {told}"]


def _ms(value):
    return "-" if value in (None, []) else f"{value} ms"
