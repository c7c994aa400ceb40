"""Answers a what-if question by simulation, and formats the answer as a table."""

from linkhaven.runtime import Bounds
from linkhaven.stage.checkers import judge
from linkhaven.stage.faults import Faults
from linkhaven.stage.fleet import Deployment, SimFleet, Speeds, summarise
from linkhaven.stage.tenants import TenantPopulation, TenantProfile

from .question import apply_change

US_PER_S = 1_000_000


def simulate_question(question):
    """Simulate the fleet of one question; return the same result for the same question.

    The changes under `what_if` aren't applied here.
    """
    fleet_terms, demand = question["fleet"], question["demand"]
    plan, tenants = question["plan"], _read_tenants(question)
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
    start_us = fleet.world.now_us
    for fault in question["faults"]:
        _schedule_fault(fleet.world, faults, fault, start_us)
    if demand:
        fleet.load()
    fleet.world.run_for(question["seconds"] * US_PER_S)
    fleet.settle(90)
    return _summarise(fleet, faults, start_us)


def _read_tenants(question):
    """Return the tenants that send, with the plan's limits; the simulation draws their API keys."""
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


def _summarise_tenants(fleet, requests, kinds):
    """Return a summary of each tenant's requests, by name."""
    if fleet.tenants is None:
        return {}
    return {
        tenant: summarise(
            [
                request
                for request in requests
                if request.credentials and request.credentials.tenant == tenant
            ],
            kinds,
        )
        for tenant in fleet.tenants.profiles
    }


def _schedule_fault(world, faults, fault, start_us):
    targets = [fault["on"]] if "on" in fault else []
    at_us = start_us + int(fault["at_s"] * US_PER_S)
    world.at(at_us, lambda: faults.begin(fault["name"], *targets))
    world.at(at_us + int(fault["for_s"] * US_PER_S), faults.close)


def _summarise(fleet, faults, start_us):
    kinds = fleet.deployment.kinds
    requests = [
        request for request in fleet.caller.node.asked.values() if request.asked_us >= start_us
    ]
    phases = {name: host.node.phase for name, host in fleet.runners.items() if host.node}
    deadlines = {kind: terms["deadline_us"] for kind, terms in kinds.items()}
    return {
        "all": summarise(requests, kinds),
        "kinds": {
            kind: summarise([request for request in requests if request.kind == kind], kinds)
            for kind in fleet.mix
        },
        "groups": {
            group: summarise(
                [request for request in requests if kinds[request.kind]["group"] == group], kinds
            )
            for group in fleet.plan["groups"]
        },
        "tenants": _summarise_tenants(fleet, requests, kinds),
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
    """Answer the unchanged question, and the question with each change under `what_if`, by name."""
    answers = {"as it is": simulate_question(question)}
    for name, change in question["what_if"].items():
        answers[name] = simulate_question(apply_change(question, change))
    return {
        "title": question["title"],
        "seed": question["seed"],
        "seconds": question["seconds"],
        "answers": answers,
    }


def format_table(answer):
    """Return the answer as text: a row of figures for each case, tenants, and broken rules."""
    header = (
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
    rows = [header]
    for name, result in answer["answers"].items():
        summary = result["all"]
        share = (
            "-" if summary["goodput_share"] is None else f"{summary['goodput_share'] * 100:.1f}%"
        )
        rows.append(
            (
                name,
                summary["asked"],
                summary["served"],
                summary["refused"],
                summary["troubled"] + summary["cut"],
                share,
                _format_ms(summary["ttft_ms"]["p50"]),
                _format_ms(summary["ttft_ms"]["p90"]),
                _format_ms(summary["tpot_ms"]["p90"]),
                f"{result['prefill_runners']}/{result['runners']}",
                result["extra_shots"],
            )
        )
    widths = [max(len(str(row[column])) for row in rows) for column in range(len(header))]
    lines = [f"{answer['title']} (seed {answer['seed']}, {answer['seconds']} s)"]
    for row in rows:
        lines.append(
            "  ".join(
                str(cell).ljust(width) if not column else str(cell).rjust(width)
                for column, (cell, width) in enumerate(zip(row, widths, strict=True))
            )
        )
    for name, result in answer["answers"].items():
        lines += _format_tenants(name, result["tenants"])
    for name, result in answer["answers"].items():
        if result["broken_rules"]:
            lines.append(f"{name}: broke {', '.join(result['broken_rules'])}")
    return "\n".join(lines)


def _format_tenants(name, tenants):
    if not tenants:
        return []
    counts = ", ".join(
        f"{tenant} {summary['served']} of {summary['asked']}" for tenant, summary in tenants.items()
    )
    return [f"{name}, served by tenant: {counts}"]


def _format_ms(value):
    return "-" if value in (None, []) else f"{value} ms"
