"""Extrapolates fitted slopes to the target size of a fleet."""

import json

from .fit import CONSTANT, LINEAR, SQUARE
from .hollow import Shape

TARGET = {
    "routers": 340,
    "runners": 600,
    "groups": 1400,
    "kinds": 9,
    "rate": 9500,
    "configurations": 0.32,
    "zones": 4,
}
BUDGET = {"bytes": 3_000, "cpu_us": 49_000, "heap_bytes": 256_000_000}

UNSCALED, PER_ROUTER, OTHER_ROUTERS, OWN_REQUESTS, ROUTER_PAIRS, RUNNERS_PER_ROUTER = (
    "plain",
    "each router",
    "other routers",
    "own requests",
    "pairs of routers",
    "runners to each router",
)

SCALE_FACTORS = {
    UNSCALED: lambda base, target: 1,
    PER_ROUTER: lambda base, target: target["routers"] / base["routers"],
    OTHER_ROUTERS: lambda base, target: (1 - 1 / target["routers"]) / (1 - 1 / base["routers"]),
    OWN_REQUESTS: lambda base, target: base["routers"] / target["routers"],
    ROUTER_PAIRS: lambda base, target: (target["routers"] / base["routers"]) ** 2,
    RUNNERS_PER_ROUTER: lambda base, target: target["runners"] / base["runners"],
}

SHARED_ROLE = "steward"
SHARED_SCALING = {ROUTER_PAIRS: PER_ROUTER, RUNNERS_PER_ROUTER: UNSCALED}

REPLICA_SCALING = {
    "routers": UNSCALED,
    "runners": UNSCALED,
    "groups": PER_ROUTER,
    "kinds": UNSCALED,
    "configurations": PER_ROUTER,
}
ROUTER_SCALING = {
    "routers": UNSCALED,
    "runners": UNSCALED,
    "groups": UNSCALED,
    "kinds": UNSCALED,
    "rate": OTHER_ROUTERS,
    "configurations": UNSCALED,
}
SCALING = {
    "router": {
        "sent_messages": ROUTER_SCALING,
        "sent_bytes": ROUTER_SCALING,
        "heard_messages": ROUTER_SCALING,
        "heard_bytes": ROUTER_SCALING,
        "cpu_us": ROUTER_SCALING,
        "heap_bytes": {**ROUTER_SCALING, "rate": OWN_REQUESTS},
    },
    "steward": {
        name: REPLICA_SCALING
        for name in (
            "sent_messages",
            "sent_bytes",
            "heard_messages",
            "heard_bytes",
            "cpu_us",
            "heap_bytes",
        )
    },
    "bursar": {
        **{
            name: REPLICA_SCALING
            for name in (
                "sent_messages",
                "sent_bytes",
                "heard_messages",
                "heard_bytes",
                "heap_bytes",
            )
        },
        "cpu_us": {**REPLICA_SCALING, "groups": ROUTER_PAIRS},
    },
    "roster": {
        **{
            name: REPLICA_SCALING
            for name in ("sent_messages", "heard_messages", "heard_bytes", "heap_bytes")
        },
        "sent_bytes": {**REPLICA_SCALING, "routers": RUNNERS_PER_ROUTER, "runners": UNSCALED},
        "cpu_us": {**REPLICA_SCALING, "routers": RUNNERS_PER_ROUTER},
    },
}


def read_rows(path):
    """The fitted rows printed by `slopes all`, by varied number, role and figure."""
    with open(path, encoding="utf-8") as file:
        rows = [json.loads(line) for line in file if line.startswith("{")]
    return {(row["axis"], row["role"], row["figure"]): row for row in rows if "order" in row}


def _slope(rows, axis, role, figure):
    row = rows.get((axis, role, figure))
    return row["slope"] if row is not None and row["order"] == LINEAR else 0.0


def _format_amount(amount):
    return f"{float(f'{amount:.3g}'):,.10g}"


def extrapolate(rows, role, figure, base=Shape.BASE, target=TARGET):
    """Extrapolates a figure to the target: formula text and amount.

    The amount is start + slope × (target - base) for each number, times its scale factor. The part
    of a slope that the steward's replica has too is scaled separately: it isn't spent per pair of
    routers or per runner and router.
    """
    start = rows["routers", role, figure]["values"][str(base["routers"])]
    parts, total = [_format_amount(start)], start
    for axis, scaling in SCALING[role][figure].items():
        row = rows.get((axis, role, figure))
        if row is None or row["order"] == CONSTANT:
            continue
        power = 2 if row["order"] == SQUARE else 1
        grown = target[axis] ** power - base[axis] ** power
        shared = _slope(rows, axis, SHARED_ROLE, figure) if scaling in SHARED_SCALING else 0.0
        for slope, applied in (
            (row["slope"] - shared, scaling),
            (shared, SHARED_SCALING.get(scaling)),
        ):
            if not slope:
                continue
            times = SCALE_FACTORS[applied](base, target)
            total += slope * grown * times
            factor = f" × {_format_amount(times)}" if applied != UNSCALED else ""
            parts.append(
                f"{_format_amount(slope)} × {_format_amount(grown)} {axis}{'²' if power == 2 else ''}{factor}"
            )
    return " + ".join(parts), total


def report_target(rows, report, base=Shape.BASE, target=TARGET):
    for role, figures in SCALING.items():
        for figure in figures:
            text, total = extrapolate(rows, role, figure, base, target)
            kind = figure if figure in BUDGET else figure.rpartition("_")[2]
            row = {
                "role": role,
                "figure": figure,
                "formula": text,
                "at_target": float(f"{total:.3g}"),
            }
            if kind in BUDGET:
                row |= {
                    "budget": BUDGET[kind],
                    "times_budget": float(f"{total / BUDGET[kind]:.3g}"),
                }
            report(row)
