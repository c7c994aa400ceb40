"""An operator whose changes are all invalid: none of them may be acknowledged.

Each is a valid plan with one thing changed. It is put on the plan in force, so that nothing but the
check of the plan stands in its way.
"""

import copy
import random
from collections.abc import Callable
from typing import Any

from linkhaven.api import ServiceError
from linkhaven.wire.console import call_json

from .operators import PLAN_PATH, PlanChanger

CHANGE_INTERVAL_S = 0.5
Plan = dict[str, Any]
POOL_SHARE = {"pool": "unlisted", "weight": 1}
ROUTE = {"host": "one.example", "prefix": "/a/"}


def _first_kind(plan: Plan) -> Plan:
    return next(iter(plan["kinds"].values()))


def _name_a_pool_of_an_empty_list(plan: Plan) -> None:
    plan["pools"] = {}
    _first_kind(plan)["pools"] = [POOL_SHARE]


def _name_a_pool_of_another_list(plan: Plan) -> None:
    plan["pools"] = {"listed": {}}
    _first_kind(plan)["pools"] = [POOL_SHARE]


def _give_no_pool_a_weight(plan: Plan) -> None:
    plan["pools"] = {"unlisted": {}}
    _first_kind(plan)["pools"] = [{**POOL_SHARE, "weight": 0}]


def _give_two_kinds_one_route(plan: Plan) -> None:
    for kind in plan["kinds"].values():
        kind["door"] = ROUTE


def _name_an_unknown_group(plan: Plan) -> None:
    _first_kind(plan)["group"] = "unlisted"


def _drop_all_groups(plan: Plan) -> None:
    plan["groups"] = {}


def _set_no_deadline(plan: Plan) -> None:
    _first_kind(plan)["deadline_us"] = 0


def _set_an_infinite_deadline(plan: Plan) -> None:
    _first_kind(plan)["deadline_us"] = float("inf")


def _set_a_weight_that_is_no_number(plan: Plan) -> None:
    next(iter(plan["groups"].values()))["weight"] = float("nan")


def _set_a_text_for_a_flag(plan: Plan) -> None:
    _first_kind(plan)["repeatable"] = "no"


def _add_an_unknown_field(plan: Plan) -> None:
    plan["unlisted"] = {}


CHANGES: tuple[Callable[[Plan], None], ...] = (
    _name_a_pool_of_an_empty_list,
    _name_a_pool_of_another_list,
    _give_no_pool_a_weight,
    _give_two_kinds_one_route,
    _name_an_unknown_group,
    _drop_all_groups,
    _set_no_deadline,
    _set_an_infinite_deadline,
    _set_a_weight_that_is_no_number,
    _set_a_text_for_a_flag,
    _add_an_unknown_field,
)


def invalid_plan(plan: Plan, change: Callable[[Plan], None]) -> Plan:
    """Return a copy of a plan with one thing changed."""
    changed = copy.deepcopy(plan)
    change(changed)
    return changed


class InvalidChanger(PlanChanger):
    """Puts invalid plans beside another operator, until told to stop."""

    def __init__(self, addresses, deployment, record, changer, seed):
        """`changer` is the operator whose changes are valid: it knows the version in force."""
        super().__init__(addresses, deployment, changer.mark, record, name="invalid-operator")
        self.changer = changer
        self.rng = random.Random(seed)

    def run(self):
        """Put one invalid plan after another, each once."""
        while not self.stop_event.wait(CHANGE_INTERVAL_S):
            self.change()

    def change(self):
        """Put one invalid plan and record whether it is acknowledged."""
        self.serial += 1
        change = self.rng.choice(CHANGES)
        facts = {"put_id": f"{self.name}-{self.serial}", "how": change.__name__.strip("_")}
        order = {
            "expect": self.changer.mark,
            "put_id": facts["put_id"],
            "plan": invalid_plan(self.changer._plan(), change),
        }
        try:
            answer = call_json(self._next_address(), "PUT", PLAN_PATH, order)
        except ServiceError as error:
            return self.record("invalid_rejected", code=error.code, **facts)
        self.record("invalid_acked", mark=answer["mark"], **facts)
