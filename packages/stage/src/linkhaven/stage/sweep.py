import random

from .faults import ALL, CORE_FAULTS
from .scenario import Scenario

RATES = {"licensing": (3.0, 6.0, 10.0, 16.0), "archive": (6.0, 12.0, 20.0)}


def draw_faults(seed):
    """What a seed brings about: up to four faults, of which at most one takes a core machine."""
    dice = random.Random(seed * 7919 + 1)
    faults, has_core = [], False
    for _ in range(dice.randrange(1, 5)):
        name = dice.choice(ALL)
        if name in CORE_FAULTS:
            if has_core:
                continue
            has_core = True
        faults.append((name, dice.choice((0.0, 0.3, 1.0, 2.0, 4.0))))
    return faults, dice


def run_seed(deployment, seed, is_tracing=False):
    faults, dice = draw_faults(seed)
    scenario = Scenario(deployment, seed, platform_lag_us=dice.choice((300_000, 800_000)))
    scenario.fleet.world.is_tracing = is_tracing
    scenario.load(2 + dice.random(), dice.choice(RATES[deployment]))
    for name, pause_s in faults:
        scenario.fault(name)
        scenario.load(pause_s)
        if dice.random() < 0.4:
            scenario.fault(dice.choice(("collide_plans", "burst_plans")))
    scenario.load(dice.choice((1.0, 3.0, 6.0, 10.0)))
    scenario.close()
    scenario.end()
    return scenario, [name for name, _ in faults]


def sweep(deployment, first, count, tell):
    """Runs seeds first to first + count - 1; tells each that breached; answers the totals."""
    totals = {"runs": 0, "breached": [], "asked": 0, "served": 0, "refused": 0, "troubled": 0, "cut": 0, "waiting": 0, "faults": {}}
    for seed in range(first, first + count):
        try:
            scenario, faults = run_seed(deployment, seed)
        except AssertionError as fault:
            totals["breached"].append(seed)
            tell({"seed": seed, "fault": str(fault)})
            continue
        seen, breaches = scenario.summary(), scenario.breaches()
        totals["runs"] += 1
        for name in faults:
            totals["faults"][name] = totals["faults"].get(name, 0) + 1
        for key in ("asked", "served", "refused", "troubled", "cut", "waiting"):
            totals[key] += seen[key]
        if breaches:
            totals["breached"].append(seed)
            tell({"seed": seed, "faults": faults, "breaches": {name: [len(found), *found[:2]] for name, found in breaches.items()}})
    return totals
