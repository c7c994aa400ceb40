"""Commits of configurations: source texts of operators, native commands and overlays.

Guards against updates that are committed twice, lost or applied to another base after lost
responses, concurrent updates or partitions.
"""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from linkhaven.configuration import (
    decode_configuration,
    effective_configuration,
    list_document_faults,
    record_to_dict,
    validation,
)
from linkhaven.configuration.history import (
    KEPT_UPDATES,
    CommittedUpdate,
    digest_of_update,
    extend_history,
)
from linkhaven.consensus import Accept, Accepted, Prepare, Promise
from linkhaven.controller import commands, program
from linkhaven.runtime import Call
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


class RecordedCall(Call):
    __slots__ = ("status", "document")

    def answer(self, status, headers, body):
        self.is_ended = True
        self.status, self.document = status, json.loads(body)


def send_command(core, method, path, **document):
    """Send a native command to core-2; return the HTTP status and the response."""
    _, record = core.read()
    expect = 0 if record is None else record["mark"]
    call = RecordedCall(
        method,
        path,
        {},
        json.dumps({"expect": expect, "put_id": f"{path}/{expect}", **document}).encode(),
    )
    core.machines["core-2"].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    return call.status, call.document


def in_force(core):
    return effective_configuration(core.read()[1])


def error_code(results):
    error, _ = results[0]
    return error and error.code


def test_a_document_is_stored_as_sent_and_acknowledged_when_sent_again():
    core = make_core()
    assert error_code(core.put(0, 4, "text", PLAN)) is None
    assert error_code(core.put(0, 4, "text", PLAN, "core-3")) is None
    error, value = core.read("core-2")
    assert (error, value["mark"], value["document"], value["revision"], value["plan"]) == (
        None,
        1,
        "text",
        4,
        PLAN,
    )
    assert value["overlay"] == {"groups": {}, "kinds": {}}


def test_a_wrong_base_an_old_revision_and_an_invalid_plan_have_different_errors():
    core = make_core()
    assert error_code(core.put(3, 4, "text", PLAN)) == "revision_conflict"
    core.put(0, 4, "text", PLAN)
    assert error_code(core.put(0, 9, "next", PLAN)) == "revision_conflict"
    assert error_code(core.put(0, 4, "other text", PLAN)) == "revision_conflict"
    assert error_code(core.put(4, 4, "other text", PLAN)) == "revision_old"
    assert error_code(core.put(4, 3, "other text", PLAN)) == "revision_old"
    assert error_code(core.put(4, 6, "next", {"groups": {}, "kinds": {}})) == "plan_invalid"
    assert error_code(core.put(0, 6, "next", {"groups": {}, "kinds": {}})) == "revision_conflict"
    assert core.read()[1]["revision"] == 4
    assert error_code(core.put(4, 6, "next", PLAN)) is None


@pytest.mark.parametrize("seed", range(5))
def test_of_concurrent_documents_on_one_base_exactly_one_is_committed(seed):
    core = make_core(seed)
    results = [
        core.put(0, 5 + place, f"text {place}", PLAN, name, wait=False)
        for place, name in enumerate(core.machines)
    ]
    core.world.wait_for(lambda: all(results), 5 * SECOND)
    assert sorted(str(error_code(one)) for one in results) == [
        "None",
        "revision_conflict",
        "revision_conflict",
    ]
    winner = next(place for place, one in enumerate(results) if error_code(one) is None)
    assert core.read()[1]["document"] == f"text {winner}"


def test_a_put_of_unknown_outcome_says_so_and_can_be_sent_again_unchanged():
    core = make_core()
    proposer_host, others = core.machines["core-1"], ["core-2", "core-3"]
    results = core.put(0, 5, "text", PLAN, "core-1", wait=False)
    handle = proposer_host.node.handlers[Promise]

    def cut_after(message):
        handle(message)
        if message.replica_id != "a":
            core.world.cut(["core-1"], others)

    proposer_host.node.handlers[Promise] = cut_after
    core.world.wait_for(lambda: results, 5 * SECOND)
    assert error_code(results) == "put_unknown"
    core.world.heal()
    core.world.run_for(2 * SECOND)
    assert error_code(core.put(0, 5, "text", PLAN, "core-2")) is None
    assert core.read("core-3")[1]["document"] == "text"


def test_without_a_majority_puts_and_reads_are_rejected():
    core = make_core()
    core.machines["core-2"].kill()
    core.machines["core-3"].kill()
    assert error_code(core.put(0, 5, "text", PLAN, "core-1")) == "core_unready"
    assert core.read("core-1")[0].code == "core_unready"


def test_the_overlay_of_native_commands_survives_the_next_document():
    core = make_core()
    core.put(0, 4, "text", PLAN)
    credit = {"tokens": 100, "period_us": SECOND}
    assert send_command(core, "PUT", "/v1/groups/g", group={"credit": credit})[0] == 200
    assert send_command(core, "PUT", "/v1/groups/mine", group={"credit": credit})[0] == 200
    assert send_command(core, "PUT", "/v1/kinds/other", kind=kind("mine"))[0] == 200
    value = core.read()[1]
    assert (value["document"], value["revision"], value["plan"]) == ("text", 4, PLAN)
    assert (
        error_code(core.put(4, 9, "next", {**PLAN, "kinds": {"k": kind("g"), "new": kind("h")}}))
        is None
    )
    effective = in_force(core)
    assert record_to_dict(effective.groups["g"].allowance) == credit and set(effective.kinds) == {
        "k",
        "new",
    }
    assert error_code(core.put(9, 11, "third", PLAN)) is None
    assert in_force(core).kinds["other"].group == "mine"
    core.world.run_for(SECOND)
    assert {
        host.node.snapshot.configuration.groups["g"].allowance.tokens
        for host in core.machines.values()
    } == {100}
    assert send_command(core, "DELETE", "/v1/groups/mine")[1]["code"] == "plan_invalid"
    assert send_command(core, "PUT", "/v1/kinds/other", kind=kind("h"))[0] == 200
    assert send_command(core, "DELETE", "/v1/groups/mine")[0] == 200
    assert send_command(core, "DELETE", "/v1/groups/g")[0] == 200
    assert in_force(core) == decode_configuration(PLAN)


def test_attaching_an_unknown_kind_or_to_an_unknown_group_is_rejected():
    core = make_core()
    core.put(0, 4, "text", PLAN)
    for path, document in (
        ("nobody", kind("g")),
        ("k", kind("nowhere")),
        ("k", {**kind("h"), "ttft_us": 2}),
    ):
        status, response = send_command(core, "PUT", f"/v1/kinds/{path}", kind=document)
        assert (status, response["code"]) == (422, "plan_invalid"), path
    assert send_command(core, "DELETE", "/v1/kinds/k")[1]["code"] == "plan_invalid"
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
def test_conflicting_pools_and_routes_are_reported_with_their_place(changed, place):
    assert place in [found["place"] for found in list_document_faults({**PLAN, **changed})]


# A document that other parsers can't read, or read otherwise, was put.
@pytest.mark.parametrize("text", ["NaN", "1e400", r'"\ud800"', '1, "note": 2'])
def test_a_native_command_takes_only_text_that_every_parser_reads_alike(text):
    core = make_core()
    command = {"expect": 0, "put_id": "first", "plan": {**PLAN, "note": "TEXT"}}
    body = json.dumps(command).replace('"TEXT"', text).encode()
    call = RecordedCall("PUT", "/v1/plan", {}, body)
    core.machines["core-2"].node.serve(call)
    assert (call.status, call.document["code"]) == (400, "bad_request")
    assert call.document["detail"]["places"][0]["fault"].startswith("not JSON: ")


POOLED = {**PLAN, "kinds": {"k": kind("g", pools=[{"pool": "x", "weight": 1}])}}


# An empty list of pools passed for no list: a kind without any runner was acknowledged.
@pytest.mark.parametrize("pools", [{}, {"y": {}}, {"y": {}, "z": {}}])
def test_a_kind_of_an_unlisted_pool_is_rejected_however_short_the_list_is(pools):
    (fault,) = list_document_faults({**POOLED, "pools": pools})
    assert fault == {"place": "kinds/k/pools/0/pool", "fault": "no pool is named x"}
    assert list_document_faults({**POOLED, "pools": {**pools, "x": {}}}) == []


def test_a_document_without_a_list_of_pools_takes_any_name():
    assert list_document_faults(POOLED) == []


# The same failure by a change of items: the patch that removes the last pool leaves an empty list.
def test_the_last_pool_of_a_kind_cannot_be_removed():
    core = make_core()
    assert send_command(core, "PUT", "/v1/plan", plan={**POOLED, "pools": {"x": {}}})[0] == 200
    status, response = send_command(
        core, "PATCH", "/v1/plan", upserts={}, removals={"pools": ["x"]}
    )
    assert (status, response["code"]) == (422, "plan_invalid")
    assert response["detail"]["places"][0]["place"] == "kinds/k/pools/0/pool"
    assert core.read()[1]["mark"] == 1 and "x" in in_force(core).pools


# A stricter rule must not make a document unreadable that an earlier version acknowledged.
def test_a_stored_document_that_a_newer_rule_rejects_stays_in_force(monkeypatch):
    core = make_core()
    stored = {**POOLED, "pools": {}}
    with monkeypatch.context() as earlier_version:
        earlier_version.setattr(validation, "_list_pool_faults", lambda name, kind, pools: ())
        assert error_code(core.put(0, 4, "text", stored)) is None
    for machine in core.machines.values():
        machine.kill()
    for machine in core.machines.values():
        machine.start()
    assert core.wait_voting(3)
    assert (core.read()[1]["revision"], set(in_force(core).kinds)) == (4, {"k"})
    assert all(
        core.world.wait_for(lambda host=host: host.node.snapshot.version == 1, 5 * SECOND)
        for host in core.machines.values()
    )
    assert error_code(core.put(4, 6, "other text", stored)) == "plan_invalid"
    assert error_code(core.put(4, 6, "mended", {**stored, "pools": {"x": {}}})) is None


def test_a_plan_needs_no_allowance_no_fleet_and_takes_long_names():
    name = "A_b.c-" + "x" * 122
    configuration = decode_configuration(
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
    assert configuration.groups[name].allowance is None
    assert record_to_dict(configuration.pools[name]) == {
        "conns": 256,
        "health": "/health",
        "slots": 0,
        "kv_tokens": 0,
        "kv_bytes_per_token": None,
        "link_bytes_per_s": None,
        "hold_us": None,
        "switch_us": None,
    }
    kind_in_force = configuration.kinds[name]
    assert (kind_in_force.max_attempts, kind_in_force.priority) == (0, 0)


def test_a_group_without_an_allowance_is_never_limited_and_requests_no_share():
    plan = LICENSING.plan()
    plan["groups"] = {**plan["groups"], "seats": {"weight": 1.0}}
    fleet = SimFleet(LICENSING, 3, routers=2, plan=plan).start()
    for _ in range(20):
        fleet.ask("seat-question")
    assert fleet.settle()
    assert fleet.summary()["served"] == 20
    routers = [host.node for host in fleet.routers.values()]
    assert all(
        "seats" not in node.admission.demand_reports()
        and "audit" in node.admission.demand_reports()
        for node in routers
    )
    assert sum(node.admission.accounts["seats"].spent_tokens for node in routers) > 0


def test_a_node_without_a_replica_shows_the_groups_of_the_plan_in_force():
    core = make_core()
    core.add("core-9").start()
    core.world.run_for(2 * SECOND)
    assert error_code(core.put(0, 4, "text", PLAN)) is None
    for revision in (4, 6):
        call = RecordedCall("GET", "/v1/groups", {}, b"")
        core.machines["core-9"].node.serve(call)
        assert core.world.wait_for(lambda call=call: call.is_ended, SECOND, 10_000)
        assert (call.status, set(call.document["groups"]), call.document["routers"]) == (
            200,
            {"g", "h"},
            0,
        )
        assert error_code(core.put(revision, revision + 2, "later", PLAN)) is None
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
    monkeypatch.setattr(commands, "call_json", lambda *call: sent.append(call) or {})
    assert (
        CommandTester(commands.GroupPutCommand()).execute(f"desks --expect 7 --weight 2 {flags}")
        == 0
    )
    ((_, method, path, document),) = sent
    assert (method, path, document["group"]) == (
        "PUT",
        "/v1/groups/desks",
        {"credit": credit, "weight": 2.0},
    )
    assert (
        list_document_faults({**PLAN, "groups": {**PLAN["groups"], "desks": document["group"]}})
        == []
    )


def commit_revisions(core, count, first=3, name=None):
    """Put source texts 3, 5, 7 and so on, each on top of the one before it."""
    revisions = [0, *range(first, first + 2 * count, 2)]
    for base, revision in zip(revisions, revisions[1:], strict=False):
        assert error_code(core.put(base, revision, f"text {revision}", PLAN, name)) is None
    return revisions[-1]


def test_a_committed_document_is_acknowledged_again_after_later_changes():
    core = make_core()
    commit_revisions(core, 3)
    for name in core.machines:
        error, committed = core.put(0, 3, "text 3", PLAN, name)[0]
        assert (error, committed.version, committed.key) == (None, 1, 3)
        assert error_code(core.put(3, 5, "text 5", PLAN, name)) is None
    value = core.read()[1]
    assert (value["mark"], value["revision"], value["document"]) == (3, 7, "text 7")


def test_a_revision_of_another_document_stays_rejected_after_later_changes():
    core = make_core()
    commit_revisions(core, 3)
    assert error_code(core.put(0, 3, "another text", PLAN)) == "revision_conflict"
    assert error_code(core.put(3, 5, "another text", PLAN)) == "revision_conflict"
    assert error_code(core.put(0, 4, "between", PLAN)) == "revision_conflict"
    assert core.read()[1]["document"] == "text 7"


def test_the_outcome_is_unknown_only_for_updates_older_than_the_history():
    core = make_core()
    last = commit_revisions(core, KEPT_UPDATES + 2)
    assert len(core.read()[1]["taken"]) == KEPT_UPDATES
    assert error_code(core.put(0, 3, "text 3", PLAN)) == "put_unknown"
    assert error_code(core.put(3, 5, "another text", PLAN)) == "put_unknown"
    assert error_code(core.put(5, 7, "text 7", PLAN)) is None
    assert error_code(core.put(5, 7, "another text", PLAN)) == "revision_conflict"
    assert error_code(core.put(0, last + 2, "new", PLAN)) == "revision_conflict"
    assert core.read()[1]["revision"] == last


def test_the_size_of_the_history_is_bounded():
    rows = []
    for mark in range(1, 3 * KEPT_UPDATES):
        committed = CommittedUpdate(mark, 10_000 + mark, digest_of_update(str(mark)), 10_000 + mark)
        rows = extend_history({"taken": rows}, committed)
    assert len(rows) == KEPT_UPDATES
    assert len(json.dumps(rows)) < 5_000


def put_document(core, expect, put_id, plan, name="core-2", path="/v1/plan", part=None):
    document = {"expect": expect, "put_id": put_id, **(part or {"plan": plan})}
    call = RecordedCall("PUT", path, {}, json.dumps(document).encode())
    core.machines[name].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    return call.status, call.document


def test_a_native_put_is_acknowledged_again_with_its_own_mark_after_later_changes():
    core = make_core()
    other = {**PLAN, "groups": {"g": {"weight": 2.0}, "h": {}}}
    assert put_document(core, 0, "first", PLAN)[0] == 200
    assert put_document(core, 1, "second", other)[0] == 200
    group = {"group": {"weight": 3.0}}
    assert put_document(core, 2, "third", None, path="/v1/groups/g", part=group)[0] == 200
    for name in core.machines:
        assert put_document(core, 0, "first", PLAN, name) == (200, {"mark": 1, "put_id": "first"})
        again = put_document(core, 2, "third", None, name, "/v1/groups/g", group)
        assert again == (200, {"mark": 3, "put_id": "third"})
    assert put_document(core, 0, "another", PLAN)[1]["code"] == "mark_conflict"
    assert core.read()[1]["mark"] == 3


def test_a_put_id_of_another_change_is_rejected_on_every_mark():
    core = make_core()
    other = {**PLAN, "groups": {"g": {"weight": 2.0}, "h": {}}}
    assert put_document(core, 0, "first", PLAN)[0] == 200
    for expect in (0, 1):
        status, response = put_document(core, expect, "first", other)
        assert (status, response["code"]) == (409, "put_id_used")
    assert core.read()[1]["mark"] == 1


def test_the_outcome_of_a_native_put_older_than_the_history_is_unknown():
    core = make_core()
    commit_revisions(core, KEPT_UPDATES + 1)
    status, response = put_document(core, 0, "first", PLAN)
    assert (status, response["code"]) == (504, "put_unknown")
    assert put_document(core, 1, "first", PLAN)[1]["code"] == "mark_conflict"


def drop_messages_until_restored(host, message_type):
    """Drop these messages at a node until the returned function is called."""
    handle = host.node.handlers[message_type]
    host.node.handlers[message_type] = lambda message: None

    def restore():
        host.node.handlers[message_type] = handle

    return restore


@pytest.mark.parametrize("is_same", (True, False))
def test_a_proposer_whose_responses_were_lost_finds_its_update_below_a_later_change(is_same):
    """The value is chosen, the responses are lost, and another change is committed on top."""
    core = make_core()
    proposer_host = core.machines["core-1"]
    restore = drop_messages_until_restored(proposer_host, Accepted)
    results = core.put(0, 3, "text 3", PLAN, "core-1", wait=False)
    core.world.run_for(100_000)
    assert not results
    rival = "text 3" if is_same else "another text"
    assert (error_code(core.put(0, 3, rival, PLAN, "core-2")) is None) == is_same
    assert error_code(core.put(3, 5, "text 5", PLAN, "core-3")) is None
    restore()
    core.world.wait_for(lambda: results, 5 * SECOND, 10_000)
    error, committed = results[0]
    assert (error, committed.version, committed.key) == (None, 1, 3)
    assert core.read()[1]["document"] == "text 5"


@pytest.mark.parametrize("seed", range(5))
def test_of_two_documents_with_one_revision_only_one_is_committed(seed):
    core = make_core(seed)
    results = [
        core.put(0, 3, f"text of {name}", PLAN, name, wait=False)
        for name in list(core.machines)[:2]
    ]
    core.world.wait_for(lambda: all(results), 5 * SECOND, 10_000)
    assert sorted(str(error_code(one)) for one in results) == ["None", "revision_conflict"]
    winner = next(place for place, one in enumerate(results) if error_code(one) is None)
    assert error_code(core.put(3, 5, "on top", PLAN)) is None
    for place, name in enumerate(list(core.machines)[:2]):
        again = error_code(core.put(0, 3, f"text of {name}", PLAN, "core-3"))
        assert again == (None if place == winner else "revision_conflict")


def drop_matching(host, message_type, is_dropped):
    handle = host.node.handlers[message_type]
    host.node.handlers[message_type] = lambda message: (
        None if is_dropped(message) else handle(message)
    )


def test_no_order_is_refused_for_a_value_that_may_yet_lose_to_it():
    """One replica has accepted a rival's value, another the update with a higher ballot.

    A proposer that rejected the update because of the rival's value could later see the update in
    force.
    """
    core = make_core()
    rules = {name: set() for name in core.machines}
    for name, host in core.machines.items():
        for kind in (Prepare, Accept):
            drop_matching(host, kind, lambda m, name=name: (type(m), m.sender) in rules[name])
    rules["core-2"] = rules["core-3"] = {(Accept, "core-1")}
    core.put(0, 5, "rival", PLAN, "core-1", wait=False)
    core.world.run_for(50_000)
    core.machines["core-1"].node.proposer.proposals.clear()
    rules["core-1"] = {(Prepare, "core-3"), (Accept, "core-3")}
    rules["core-2"] = {(Accept, "core-3")}
    rules["core-3"] = {(Prepare, "core-2")}
    core.machines["core-3"].node.proposer.counter = 50
    first = core.put(0, 7, "order", PLAN, "core-3", wait=False)
    core.world.run_for(50_000)
    core.machines["core-2"].node.proposer.counter = 60
    again = core.put(0, 7, "order", PLAN, "core-2", wait=False)
    core.world.run_for(50_000)
    is_refused = bool(again) and error_code(again) == "revision_conflict"
    for rule in rules.values():
        rule.clear()
    core.world.wait_for(lambda: first and again, 5 * SECOND, 10_000)
    revision = core.read()[1]["revision"]
    assert not (is_refused and revision == 7)
    assert (error_code(again) is None) == (revision == 7)


def test_command_line_options_of_a_node_set_the_settings_of_the_same_names():
    tester = CommandTester(program.CheckCommand())
    place = "--name core-1 --zone z --lines 127.0.0.1:7001 --http 127.0.0.1:8001"
    place += "".join(f" --seed 127.0.0.1:{port}" for port in (7002, 7003, 7004))
    assert tester.execute(f"{place} --seat b --data folder --platform 127.0.0.1:9000") == 0
    shown = json.loads(tester.io.fetch_output())
    assert (shown["seat"], shown["data"], shown["platform"]) == ("b", "folder", "127.0.0.1:9000")
