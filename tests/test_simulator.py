"""The simulator answers what-if questions repeatably and checks them whole."""

import copy

import pytest

from linkhaven.api import ServiceError
from linkhaven.simulator.answer import answer_question, format_table
from linkhaven.simulator.question import example_question, read_question


def make_short_question(**overrides):
    question = example_question("licensing")
    question["seconds"] = 8
    question["what_if"] = {
        "two runners": {"fleet": {"runners": 2, "prefills": 1}, "demand": {"audit-digest": 12}},
        "hardly any credit for audits": {
            "groups": {"audit": {"credit": {"tokens": 300, "period_us": 10_000_000}}}
        },
        "a zone cut off": {
            "faults": [{"name": "cut_zone", "on": "long-bien", "at_s": 2, "for_s": 5}]
        },
    }
    return {**question, **overrides}


def test_answers_are_repeatable_and_worse_for_a_worse_fleet():
    answer = answer_question(read_question(make_short_question()))
    assert answer == answer_question(read_question(make_short_question()))
    unchanged, small, cut = (
        answer["answers"][name] for name in ("as it is", "two runners", "a zone cut off")
    )
    assert unchanged["all"]["goodput_share"] > small["all"]["goodput_share"]
    assert (
        cut["all"]["refused"] + cut["all"]["troubled"]
        > unchanged["all"]["refused"] + unchanged["all"]["troubled"]
    )
    with_little_credit = answer["answers"]["hardly any credit for audits"]["groups"]
    assert with_little_credit["audit"]["served"] < unchanged["groups"]["audit"]["served"]
    assert with_little_credit["seats"]["served"] == unchanged["groups"]["seats"]["served"]
    assert unchanged["all"]["asked"] == cut["all"]["asked"]
    table = format_table(answer)
    assert all(name in table for name in answer["answers"])


def test_all_errors_of_a_question_are_reported_at_once_with_their_places():
    invalid = copy.deepcopy(make_short_question())
    invalid["plan"]["kinds"]["audit-digest"]["group"] = "nobody"
    invalid["fleet"]["prefills"] = 9
    invalid["what_if"]["a zone cut off"]["faults"][0]["on"] = "nowhere"
    invalid["what_if"]["two runners"]["demand"] = {"unknown-kind": 2}
    with pytest.raises(ServiceError) as raised:
        read_question(invalid)
    assert raised.value.code == "question_invalid"
    places = {place["place"] for place in raised.value.detail["places"]}
    assert {
        "plan/kinds/audit-digest/group",
        "fleet/prefills",
        "what_if/a zone cut off/faults/0/on",
        "what_if/two runners/demand/unknown-kind",
    } <= places


def test_every_fault_that_may_be_aimed_accepts_a_target():
    from linkhaven.simulator import question as module

    aimable = (
        module.ZONE_FAULTS
        | module.ROLE_FAULTS
        | module.REPLICA_FAULTS
        | module.ROUTER_FAULTS
        | module.RUNNER_FAULTS
        | module.GROUP_FAULTS
    )
    assert aimable <= set(module.ALL)
    for name in sorted(aimable):
        target = module._list_targets(name, example_question("licensing"))[0]
        faults = [{"name": name, "on": target, "at_s": 1, "for_s": 1}]
        assert (
            read_question(make_short_question(faults=faults, what_if={}))["faults"][0]["on"]
            == target
        )


@pytest.mark.parametrize("deployment", ["licensing", "archive"])
def test_the_shipped_examples_are_valid(deployment):
    assert read_question(example_question(deployment))["what_if"]
