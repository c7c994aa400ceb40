"""Many seeded runs of mixed faults in the simulated world, each judged on every rule."""

import random

from .faults import ALL, CORE_FAULTS, TENANT_FAULTS
from .fleet import DEPLOYMENTS
from .scenario import Scenario

RATES = {
    "licensing": (3.0, 6.0, 10.0, 16.0),
    "archive": (6.0, 12.0, 20.0),
    "licensing-tenants": (3.0, 6.0, 10.0),
}


def draw_course(deployment, seed):
    """Draw the faults of a seed: up to four that overlap, at most one of which strikes a core
    machine.

    Deployments with tenants also get one or two tenant faults, half of the time as the only faults.
    """
    dice = random.Random(seed * 7919 + 1)
    faults, has_core = [], False
    if DEPLOYMENTS[deployment].tenants:
        faults = _draw_tenant_faults(dice)
        if dice.random() < 0.5:
            return _course(deployment, dice, faults)
    for _ in range(dice.randrange(1, 5)):
        name = dice.choice(ALL)
        if name in CORE_FAULTS:
            if has_core:
                continue
            has_core = True
        puts = dice.choice(("collide_plans", "burst_plans")) if dice.random() < 0.4 else None
        faults.append((name, dice.choice((0.0, 0.3, 1.0, 2.0, 4.0)), puts))
    if DEPLOYMENTS[deployment].tenants:
        dice.shuffle(faults)
    return _course(deployment, dice, faults)


def _draw_tenant_faults(dice):
    names = dice.sample(TENANT_FAULTS, dice.choice((1, 1, 2)))
    return [(name, dice.choice((0.0, 0.3, 1.0, 2.0)), None) for name in names]


def _course(deployment, dice, faults):
    return {
        "lag_us": dice.choice((300_000, 800_000)),
        "warm_s": round(2 + dice.random(), 2),
        "rate": dice.choice(RATES[deployment]),
        "faults": faults,
        "hold_s": dice.choice((1.0, 3.0, 6.0, 10.0)),
    }


def run_course(deployment, seed, course, is_tracing=False):
    """Run a drawn course and return its scenario."""
    scenario = Scenario(deployment, seed, platform_lag_us=course["lag_us"])
    scenario.fleet.world.is_tracing = is_tracing
    scenario.load(course["warm_s"], course["rate"])
    for name, pause_s, puts in course["faults"]:
        scenario.fault(name).load(pause_s)
        if puts:
            scenario.fault(puts)
    scenario.load(course["hold_s"])
    return scenario.close().end()


def sweep(deployment, first, count, tell):
    """Run the seeds from `first` to `first + count - 1`; call `tell` with each that broke a rule or
    failed; return the totals."""
    totals = {
        "runs": 0,
        "breached": [],
        "asked": 0,
        "served": 0,
        "refused": 0,
        "troubled": 0,
        "cut": 0,
        "waiting": 0,
        "faults": {},
    }
    for seed in range(first, first + count):
        course = draw_course(deployment, seed)
        try:
            scenario = run_course(deployment, seed, course)
        except Exception as fault:
            totals["breached"].append(seed)
            tell({"seed": seed, "course": course, "fault": repr(fault)})
            continue
        seen, breaches = scenario.summary(), scenario.breaches()
        totals["runs"] += 1
        for name, _, _ in course["faults"]:
            totals["faults"][name] = totals["faults"].get(name, 0) + 1
        for key in ("asked", "served", "refused", "troubled", "cut", "waiting"):
            totals[key] += seen[key]
        if breaches:
            totals["breached"].append(seed)
            tell(
                {
                    "seed": seed,
                    "course": course,
                    "breaches": {
                        name: [len(found), *found[:2]] for name, found in breaches.items()
                    },
                }
            )
    return totals
