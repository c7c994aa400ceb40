"""Measures fleets with one number varied and all others held."""

import statistics
from concurrent.futures import ProcessPoolExecutor

from .fit import fit
from .hollow import SECOND, HollowFleet, Shape

VALUES = {
    "routers": (4, 8, 16, 32, 48, 64),
    "runners": (8, 16, 32, 64, 128),
    "groups": (8, 32, 64, 128, 256),
    "kinds": (8, 16, 32, 64, 128),
    "rate": (0, 8, 16, 32, 64),
    "configurations": (0, 12, 24, 48, 96),
    "zones": (1, 2, 3, 4, 6),
    "answer_tokens": (8, 40, 80, 160, 320),
}
WARM_US = 3 * SECOND
UNFITTED = ("turn_p99_us",)


def measure_shape(given, seed, seconds, warm_us=WARM_US):
    """Starts and warms up one simulated fleet; returns the figures of each role."""
    fleet = HollowFleet(Shape(**given), seed)
    fleet.start()
    if "configurations" in given:
        fleet.fill_history()
    if fleet.shape.rate:
        fleet.load(fleet.shape.rate)
    fleet.world.run_for(warm_us)
    return fleet.measure(seconds)


def _measure_one(task):
    return task, measure_shape(*task)


def vary(axis, seeds, seconds, base=None, values=None, processes=1, warm_us=WARM_US):
    """Measures with one number varied and all others held: {(role, figure): [(value, y)]}."""
    tasks = [
        ({**(base or {}), axis: value}, seed, seconds, warm_us)
        for value in values or VALUES[axis]
        for seed in range(1, seeds + 1)
    ]
    points = {}
    for (given, *_), told in _run(tasks, processes):
        for role, figures in told.items():
            for name, amount in figures.items():
                points.setdefault((role, name), []).append((given[axis], amount))
    return points


def _run(tasks, processes):
    if processes == 1:
        yield from map(_measure_one, tasks)
        return
    with ProcessPoolExecutor(processes, max_tasks_per_child=1) as pool:
        yield from pool.map(_measure_one, tasks)


def mean_rows(points):
    """The mean y of each x."""
    values = sorted({value for value, _ in points})
    return {value: statistics.fmean(y for x, y in points if x == value) for value in values}


def report_slopes(axis, points, report):
    """Reports each nonzero figure with its means and, unless unfitted, its fit."""
    for (role, name), found in sorted(points.items()):
        if not any(amount for _, amount in found):
            continue
        row = {
            "axis": axis,
            "role": role,
            "figure": name,
            "values": {str(x): float(f"{y:.4g}") for x, y in mean_rows(found).items()},
        }
        report(row if name in UNFITTED else {**row, **fit(found).as_record()})
