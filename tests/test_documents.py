import json

import pytest
from cleo.testers.command_tester import CommandTester

from linkhaven.clockwork import Call
from linkhaven.plan import check_plan, effective_plan, fill_plan
from linkhaven.registry import program
from linkhaven.stage.core import SimCore
from linkhaven.stage.fleet import LICENSING, SimFleet

SECOND = 1_000_000


def kind(group, **more):
    return {"group": group, "ttft_us": 1, "tpot_us": 1, "deadline_us": 9, **more}


PLAN = {"groups": {"g": {}, "h": {}}, "kinds": {"k": kind("g"), "other": kind("h")}}


def make_core(seed=1):
    core = SimCore(seed).bootstrap()
    assert core.wait_voting(3)
    core.world.run_for(SECOND)
    return core


class Answered(Call):
    __slots__ = ("status", "document")

    def answer(self, status, headers, body):
        self.is_ended = True
        self.status, self.document = status, json.loads(body)


def command(core, method, path, **document):
    """One of our own commands, at any seat."""
    expect = core.read()[1]["mark"]
    call = Answered(
        method,
        path,
        {},
        json.dumps({"expect": expect, "put_id": f"{path}/{expect}", **document}).encode(),
    )
    core.machines["core-2"].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    return call.status, call.document


def in_force(core):
    return effective_plan(core.read()[1])


def code(told):
    trouble, _ = told[0]
    return trouble and trouble.code


def test_a_document_is_kept_as_it_was_sent_and_sent_again_it_is_taken():
    core = make_core()
    assert code(core.put(0, 4, "text", PLAN)) is None
    assert code(core.put(0, 4, "text", PLAN, "core-3")) is None
    trouble, value = core.read("core-2")
    assert (trouble, value["mark"], value["document"], value["revision"], value["plan"]) == (
        None,
        1,
        "text",
        4,
        PLAN,
    )
    assert value["overlay"] == {"groups": {}, "kinds": {}}


def test_a_wrong_base_an_old_revision_and_a_bad_plan_are_told_apart():
    core = make_core()
    assert code(core.put(3, 4, "text", PLAN)) == "revision_conflict"
    core.put(0, 4, "text", PLAN)
    assert code(core.put(0, 9, "next", PLAN)) == "revision_conflict"
    assert code(core.put(0, 4, "other text", PLAN)) == "revision_conflict"
    assert code(core.put(4, 4, "other text", PLAN)) == "revision_old"
    assert code(core.put(4, 3, "other text", PLAN)) == "revision_old"
    assert code(core.put(4, 6, "next", {"groups": {}, "kinds": {}})) == "plan_invalid"
    assert code(core.put(0, 6, "next", {"groups": {}, "kinds": {}})) == "revision_conflict"
    assert core.read()[1]["revision"] == 4
    assert code(core.put(4, 6, "next", PLAN)) is None


@pytest.mark.parametrize("seed", range(5))
def test_of_two_documents_on_one_base_exactly_one_is_taken(seed):
    core = make_core(seed)
    told = [
        core.put(0, 5 + place, f"text {place}", PLAN, name, wait=False)
        for place, name in enumerate(core.machines)
    ]
    core.world.wait_for(lambda: all(told), 5 * SECOND)
    assert sorted(str(code(one)) for one in told) == [
        "None",
        "revision_conflict",
        "revision_conflict",
    ]
    won = next(place for place, one in enumerate(told) if code(one) is None)
    assert core.read()[1]["document"] == f"text {won}"


def test_a_put_of_unknown_outcome_says_so_and_can_be_sent_again_unchanged():
    core = make_core()
    lone, others = core.machines["core-1"], ["core-2", "core-3"]
    told = core.put(0, 5, "text", PLAN, "core-1", wait=False)
    hear = lone.node.hearers["promise"]

    def cut_after(message):
        hear(message)
        if message["seat"] != "a":
            core.world.cut(["core-1"], others)

    lone.node.hearers["promise"] = cut_after
    core.world.wait_for(lambda: told, 5 * SECOND)
    assert code(told) == "put_unknown"
    core.world.heal()
    core.world.run_for(2 * SECOND)
    assert code(core.put(0, 5, "text", PLAN, "core-2")) is None
    assert core.read("core-3")[1]["document"] == "text"


def test_without_a_majority_a_put_and_a_read_are_refused():
    core = make_core()
    core.machines["core-2"].kill()
    core.machines["core-3"].kill()
    assert code(core.put(0, 5, "text", PLAN, "core-1")) == "core_unready"
    assert core.read("core-1")[0].code == "core_unready"


def test_what_our_commands_lay_over_a_document_survives_the_next_one():
    core = make_core()
    core.put(0, 4, "text", PLAN)
    credit = {"tokens": 100, "period_us": SECOND}
    assert command(core, "PUT", "/v1/groups/g", group={"credit": credit})[0] == 200
    assert command(core, "PUT", "/v1/groups/mine", group={"credit": credit})[0] == 200
    assert command(core, "PUT", "/v1/kinds/other", kind=kind("mine"))[0] == 200
    value = core.read()[1]
    assert (value["document"], value["revision"], value["plan"]) == ("text", 4, PLAN)
    assert (
        code(core.put(4, 9, "next", {**PLAN, "kinds": {"k": kind("g"), "new": kind("h")}})) is None
    )
    laid = in_force(core)
    assert laid["groups"]["g"]["credit"] == credit and set(laid["kinds"]) == {"k", "new"}
    assert code(core.put(9, 11, "third", PLAN)) is None
    assert in_force(core)["kinds"]["other"]["group"] == "mine"
    core.world.run_for(SECOND)
    assert {
        host.node.image.plan["groups"]["g"]["credit"]["tokens"] for host in core.machines.values()
    } == {100}
    assert command(core, "DELETE", "/v1/groups/mine")[1]["code"] == "plan_invalid"
    assert command(core, "PUT", "/v1/kinds/other", kind=kind("h"))[0] == 200
    assert command(core, "DELETE", "/v1/groups/mine")[0] == 200
    assert command(core, "DELETE", "/v1/groups/g")[0] == 200
    assert in_force(core) == fill_plan(PLAN)


def test_an_attachment_of_an_unknown_kind_or_to_an_unknown_group_is_refused():
    core = make_core()
    core.put(0, 4, "text", PLAN)
    for path, document in (
        ("nobody", kind("g")),
        ("k", kind("nowhere")),
        ("k", {**kind("h"), "ttft_us": 2}),
    ):
        status, told = command(core, "PUT", f"/v1/kinds/{path}", kind=document)
        assert (status, told["code"]) == (422, "plan_invalid"), path
    assert command(core, "DELETE", "/v1/kinds/k")[1]["code"] == "plan_invalid"
    assert core.read()[1]["mark"] == 1


@pytest.mark.parametrize(
    "changed, place",
    [
        (
            {"kinds": {"k": kind("g", pools=[{"pool": "x", "weight": 1}])}, "pools": {"y": {}}},
            "kinds/k/pools/0/pool",
        ),
        ({"kinds": {"k": kind("g", pools=[{"pool": "x", "weight": 0}])}}, "kinds/k/pools"),
        (
            {
                "kinds": {
                    "k": kind("g", door={"host": "a.example", "prefix": "/x/"}),
                    "l": kind("g", door={"host": "A.example", "prefix": "/x/"}),
                }
            },
            "kinds/l/door",
        ),
        ({"kinds": {"k": kind("g", door={"host": "a", "prefix": "x"})}}, "kinds/k/door/prefix"),
        ({"kinds": {"k": kind("g", attempts=-1)}}, "kinds/k/attempts"),
    ],
)
def test_a_plan_with_pools_and_doors_that_clash_is_told_where(changed, place):
    assert place in [found["place"] for found in check_plan({**PLAN, **changed})]


def test_a_plan_needs_no_allowance_no_fleet_and_takes_long_names():
    name = "A_b.c-" + "x" * 122
    plan = fill_plan(
        {
            "groups": {name: {}},
            "pools": {name: {}},
            "kinds": {
                name: kind(
                    name, pools=[{"pool": name, "weight": 3}], door={"host": "h", "prefix": "/"}
                )
            },
        }
    )
    assert plan["groups"][name]["credit"] is None
    assert plan["pools"][name] == {"conns": 256, "health": "/health", "slots": 0, "kv_tokens": 0}
    assert (plan["kinds"][name]["attempts"], plan["kinds"][name]["priority"]) == (0, 0)


def test_a_group_without_an_allowance_is_never_short_and_asks_no_share():
    plan = LICENSING.plan()
    plan["groups"] = {**plan["groups"], "seats": {"weight": 1.0}}
    fleet = SimFleet(LICENSING, 3, routers=2, plan=plan).start()
    for _ in range(20):
        fleet.ask("seat-question")
    assert fleet.settle()
    assert fleet.summary()["served"] == 20
    routers = [host.node for host in fleet.routers.values()]
    assert all(
        "seats" not in node.credit.tell_demand() and "audit" in node.credit.tell_demand()
        for node in routers
    )
    assert sum(node.credit.groups["seats"].spent for node in routers) > 0


def test_a_spare_tells_the_groups_of_the_plan_in_force():
    core = make_core()
    core.add("core-9").start()
    core.world.run_for(2 * SECOND)
    assert code(core.put(0, 4, "text", PLAN)) is None
    for revision in (4, 6):
        call = Answered("GET", "/v1/groups", {}, b"")
        core.machines["core-9"].node.serve(call)
        assert core.world.wait_for(lambda call=call: call.is_ended, SECOND, 10_000)
        assert (call.status, set(call.document["groups"]), call.document["routers"]) == (
            200,
            {"g", "h"},
            0,
        )
        assert code(core.put(revision, revision + 2, "later", PLAN)) is None
        assert call.document["mark"] == revision // 2 - 1


@pytest.mark.parametrize(
    "flags, credit",
    [
        ("", None),
        ("--tokens 50 --period-ms 2000", {"tokens": 50, "period_us": 2_000_000}),
    ],
)
def test_a_group_is_put_with_an_allowance_or_without_one(monkeypatch, flags, credit):
    sent = []
    monkeypatch.setattr(program, "call_json", lambda *call: sent.append(call) or {})
    assert (
        CommandTester(program.GroupPutCommand()).execute(f"desks --expect 7 --weight 2 {flags}")
        == 0
    )
    ((_, method, path, document),) = sent
    assert (method, path, document["group"]) == (
        "PUT",
        "/v1/groups/desks",
        {"credit": credit, "weight": 2.0},
    )
    assert check_plan({**PLAN, "groups": {**PLAN["groups"], "desks": document["group"]}}) == []
