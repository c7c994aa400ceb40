"""Growth of state and messages with fleet size, against the orders in docs/CAPACITY.md."""

import pathlib

import pytest

from linkhaven.stage.slopes.fit import CONSTANT, LINEAR, ORDERS, SQUARE, fit
from linkhaven.stage.slopes.vary import vary

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
BASE = {"routers": 4, "runners": 8, "groups": 4, "kinds": 4, "rate": 4}
VALUES = {
    "routers": (4, 8, 12, 16, 20),
    "runners": (8, 16, 24, 32, 40),
    "groups": (4, 8, 16, 32, 48),
    "rate": (0, 8, 16, 24, 32),
    "configurations": (0, 60, 120, 180, 240),
}
FIGURES = (
    "sent_messages",
    "sent_bytes",
    "heard_messages",
    "heard_bytes",
    "heap_bytes",
    "disk_bytes",
)
SEEDS = 2
SECONDS = 2
WARM_US = 1_000_000


def read_orders():
    """The orders of growth from the page's table: {(number varied, role, figure): order}."""
    rows = [
        [cell.strip() for cell in line.strip("|\n").split("|")]
        for line in PAGE.open()
        if line.startswith("|")
    ]
    begin = next(place for place, row in enumerate(rows) if row[0] == "varied") + 2
    orders = {}
    for row in rows[begin:]:
        if len(row) != 2 + len(FIGURES) or row[0] not in VALUES:
            break
        orders.update(
            {
                (row[0], row[1], figure): order
                for figure, order in zip(FIGURES, row[2:], strict=True)
            }
        )
    return orders


@pytest.mark.parametrize("axis", VALUES)
def test_state_and_messages_grow_no_faster_than_documented(axis):
    orders = read_orders()
    points = vary(axis, SEEDS, SECONDS, BASE, VALUES[axis], warm_us=WARM_US)
    assert {role for role, _ in points} == {role for number, role, _ in orders if number == axis}
    grown = {}
    for (role, figure), found in points.items():
        if figure not in FIGURES:
            continue
        documented, seen = orders[axis, role, figure], fit(found)
        if ORDERS.index(seen.order) > ORDERS.index(documented):
            grown[role, figure] = (documented, seen.as_record(), found)
    assert not grown


@pytest.mark.parametrize(
    "order, shape",
    [
        (CONSTANT, lambda x: 40),
        (LINEAR, lambda x: 3 + 2 * x),
        (SQUARE, lambda x: 5 + x * x),
        (SQUARE, lambda x: x * (x - 1)),
    ],
)
def test_fit_finds_the_order_despite_five_percent_deviations(order, shape):
    points = [(x, shape(x) * (1 + 0.05 * sign)) for x in (4, 8, 16, 32, 64) for sign in (-1, 0, 1)]
    found = fit(points)
    assert found.order == order
    assert found.at(64) == pytest.approx(shape(64), rel=0.1)
