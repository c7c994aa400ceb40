import copy

import pytest

from linkhaven.api import ServiceError
from linkhaven.simulator.answer import answer_question, format_table
from linkhaven.simulator.question import example_question, read_question


def short(**changed):
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
    return {**question, **changed}


def test_the_same_question_has_the_same_answer_and_a_worse_fleet_a_worse_one():
    told = answer_question(read_question(short()))
    assert told == answer_question(read_question(short()))
    usual, poor, cut = (
        told["answers"][name] for name in ("as it is", "two runners", "a zone cut off")
    )
    assert usual["all"]["goodput_share"] > poor["all"]["goodput_share"]
    assert (
        cut["all"]["refused"] + cut["all"]["troubled"]
        > usual["all"]["refused"] + usual["all"]["troubled"]
    )
    poorer = told["answers"]["hardly any credit for audits"]["groups"]
    assert poorer["audit"]["served"] < usual["groups"]["audit"]["served"]
    assert poorer["seats"]["served"] == usual["groups"]["seats"]["served"]
    assert usual["all"]["asked"] == cut["all"]["asked"]
    table = format_table(told)
    assert all(name in table for name in told["answers"])


def test_every_misfit_of_a_question_is_told_at_once_with_its_place():
    bad = copy.deepcopy(short())
    bad["plan"]["kinds"]["audit-digest"]["group"] = "nobody"
    bad["fleet"]["prefills"] = 9
    bad["what_if"]["a zone cut off"]["faults"][0]["on"] = "nowhere"
    bad["what_if"]["two runners"]["demand"] = {"unknown-kind": 2}
    with pytest.raises(ServiceError) as caught:
        read_question(bad)
    assert caught.value.code == "question_invalid"
    places = {place["place"] for place in caught.value.detail["places"]}
    assert {
        "plan/kinds/audit-digest/group",
        "fleet/prefills",
        "what_if/a zone cut off/faults/0/on",
        "what_if/two runners/demand/unknown-kind",
    } <= places


def test_every_fault_that_may_be_aimed_takes_its_target():
    from linkhaven.simulator import question as module

    aimed = (
        module.ZONE_FAULTS
        | module.ROLE_FAULTS
        | module.REPLICA_FAULTS
        | module.ROUTER_FAULTS
        | module.RUNNER_FAULTS
        | module.GROUP_FAULTS
    )
    assert aimed <= set(module.ALL)
    for name in sorted(aimed):
        target = module._targets_of(name, example_question("licensing"))[0]
        faults = [{"name": name, "on": target, "at_s": 1, "for_s": 1}]
        assert read_question(short(faults=faults, what_if={}))["faults"][0]["on"] == target


@pytest.mark.parametrize("deployment", ["licensing", "archive"])
def test_the_shipped_examples_fit(deployment):
    assert read_question(example_question(deployment))["what_if"]
