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

PLAIN, EACH, OTHERS, OWN, PAIRS, FOR_EACH = (
    "plain",
    "each router",
    "other routers",
    "own requests",
    "pairs of routers",
    "runners to each router",
)

WAYS = {
    PLAIN: lambda base, target: 1,
    EACH: lambda base, target: target["routers"] / base["routers"],
    OTHERS: lambda base, target: (1 - 1 / target["routers"]) / (1 - 1 / base["routers"]),
    OWN: lambda base, target: base["routers"] / target["routers"],
    PAIRS: lambda base, target: (target["routers"] / base["routers"]) ** 2,
    FOR_EACH: lambda base, target: target["runners"] / base["runners"],
}

SHARED = "steward"
BESIDE = {PAIRS: EACH, FOR_EACH: PLAIN}

SEAT = {"routers": PLAIN, "runners": PLAIN, "groups": EACH, "kinds": PLAIN, "configurations": EACH}
ROUTER = {
    "routers": PLAIN,
    "runners": PLAIN,
    "groups": PLAIN,
    "kinds": PLAIN,
    "rate": OTHERS,
    "configurations": PLAIN,
}
NEEDS = {
    "router": {
        "sent_messages": ROUTER,
        "sent_bytes": ROUTER,
        "heard_messages": ROUTER,
        "heard_bytes": ROUTER,
        "cpu_us": ROUTER,
        "heap_bytes": {**ROUTER, "rate": OWN},
    },
    "steward": {
        name: SEAT
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
            name: SEAT
            for name in (
                "sent_messages",
                "sent_bytes",
                "heard_messages",
                "heard_bytes",
                "heap_bytes",
            )
        },
        "cpu_us": {**SEAT, "groups": PAIRS},
    },
    "roster": {
        **{name: SEAT for name in ("sent_messages", "heard_messages", "heard_bytes", "heap_bytes")},
        "sent_bytes": {**SEAT, "routers": FOR_EACH, "runners": PLAIN},
        "cpu_us": {**SEAT, "routers": FOR_EACH},
    },
}


def read_rows(path):
    """The fitted rows that `slopes all` told, by number varied, role and figure."""
    with open(path, encoding="utf-8") as file:
        rows = [json.loads(line) for line in file if line.startswith("{")]
    return {(row["axis"], row["role"], row["figure"]): row for row in rows if "order" in row}


def _slope(rows, axis, role, figure):
    row = rows.get((axis, role, figure))
    return row["slope"] if row is not None and row["order"] == LINEAR else 0.0


def _shorten(amount):
    return f"{float(f'{amount:.3g}'):,.10g}"


def work_out(rows, role, figure, base=Shape.BASE, target=TARGET):
    """start + slope × (target - base) for each number, each times how often the target has it: (text, amount).
    What the steward's seat spends too is no part of what a duty spends for each pair."""
    start = rows["routers", role, figure]["values"][str(base["routers"])]
    parts, total = [_shorten(start)], start
    for axis, way in NEEDS[role][figure].items():
        row = rows.get((axis, role, figure))
        if row is None or row["order"] == CONSTANT:
            continue
        power = 2 if row["order"] == SQUARE else 1
        grown = target[axis] ** power - base[axis] ** power
        shared = _slope(rows, axis, SHARED, figure) if way in BESIDE else 0.0
        for slope, taken in ((row["slope"] - shared, way), (shared, BESIDE.get(way))):
            if not slope:
                continue
            times = WAYS[taken](base, target)
            total += slope * grown * times
            factor = f" × {_shorten(times)}" if taken != PLAIN else ""
            parts.append(
                f"{_shorten(slope)} × {_shorten(grown)} {axis}{'²' if power == 2 else ''}{factor}"
            )
    return " + ".join(parts), total


def tell_target(rows, tell, base=Shape.BASE, target=TARGET):
    for role, figures in NEEDS.items():
        for figure in figures:
            text, total = work_out(rows, role, figure, base, target)
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
            tell(row)
