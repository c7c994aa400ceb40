"""Patches by name: of a document sent on the platform interface, and of a native plan."""

import json

import pytest
from test_documents import RecordedCall, error_code, in_force, kind, make_core, send_command

from linkhaven.api import ServiceError
from linkhaven.configuration.patch import (
    Patch,
    apply_to_lists,
    apply_to_mappings,
    read_list_patch,
    read_mapping_patch,
)
from linkhaven.platform import operator
from linkhaven.platform.operator import OperatorApi
from linkhaven.runtime import Call, read_json, write_json

SECOND = 1_000_000
INVALID = 422
PARTS = ("route_rules", "services")
ROUTE = {
    "name": "r-1",
    "hostname": "one.example",
    "path_prefix": "/a/",
    "route_type": "unsafe",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "priority": 2,
    "target_service": "pool-1",
    "max_attempts": 1,
    "extra_field": {"kept": [1.50, "as sent"]},
}
DOCUMENT = {
    "revision": 4,
    "route_rules": [ROUTE, {**ROUTE, "name": "r-2", "path_prefix": "/b/"}],
    "services": [
        {"name": "pool-1", "health_path": "/health", "max_connections": 360, "protocol": "h1"},
        {"name": "pool-2", "health_path": "/health", "max_connections": 20, "protocol": "h1"},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
}


class RecordedOperatorCall(Call):
    """A request on the platform interface that records its response."""

    __slots__ = ("status", "response_body")

    def answer(self, status, headers, body):
        self.is_ended = True
        self.status, self.response_body = status, body


def send_request(core, name, method, path, body=b"", base=0, wait=True):
    call = RecordedOperatorCall(method, path, {"base-version": str(base)}, body)
    node = core.machines[name].node
    OperatorApi(node.configuration_store, 0.2, 10).serve(call)
    if wait:
        core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    return call


def put(core, document=DOCUMENT, base=0, name="core-1"):
    return send_request(
        core, name, "POST", "/Configuration.Replace", write_json(document), base
    ).status


def patch(core, base, revision, upserts=None, removals=None, name="core-1", wait=True):
    patch_body = {"revision": revision, "upserts": upserts or {}, "removals": removals or {}}
    body = write_json(patch_body)
    return send_request(core, name, "POST", "/Configuration.Update", body, base, wait)


def shown(core, name="core-2"):
    return send_request(core, name, "GET", "/Configuration.Describe").response_body


# An invalid configuration without any service was acknowledged, and its routes had no runner.
def test_a_configuration_whose_routes_have_no_service_is_not_acknowledged():
    core = make_core()
    empty = {**DOCUMENT, "services": []}
    assert put(core, empty) == INVALID
    assert shown(core) != write_json(empty) and put(core) == 200
    assert put(core, {**empty, "revision": 6}, base=4) == INVALID
    assert patch(core, 4, 6, removals={"services": ["pool-1", "pool-2"]}).status == INVALID
    assert patch(core, 4, 6, removals={"services": ["pool-1"]}).status == INVALID
    assert shown(core) == write_json(DOCUMENT)
    assert patch(core, 4, 6, removals={"services": ["pool-2"]}).status == 200


# Applying patches


def test_items_are_replaced_in_place_added_last_and_removed():
    changed = apply_to_lists(
        DOCUMENT,
        Patch(
            {"route_rules": {"r-1": {"name": "r-1", "new": 1}, "r-3": {"name": "r-3"}}},
            {"services": ["pool-2"]},
        ),
        PARTS,
    )
    assert [item["name"] for item in changed["route_rules"]] == ["r-1", "r-2", "r-3"]
    assert changed["route_rules"][0] == {"name": "r-1", "new": 1}
    assert [item["name"] for item in changed["services"]] == ["pool-1"]
    assert changed["limits"] == DOCUMENT["limits"] and len(DOCUMENT["services"]) == 2


@pytest.mark.parametrize(
    "patch_body, place",
    [
        (
            {"upserts": {"route_rules": [{"name": "r-1"}, {"name": "r-1"}]}},
            "upserts/route_rules/r-1",
        ),
        ({"upserts": {"route_rules": [{"hostname": "a"}]}}, "upserts/route_rules/0"),
        ({"upserts": {"route_rules": "r-1"}}, "upserts/route_rules"),
        ({"upserts": ["r-1"]}, "upserts"),
        ({"removals": {"route_rules": [1]}}, "removals/route_rules"),
        ({"removals": {"route_rules": ["r-1", "r-1"]}}, "removals/route_rules/r-1"),
        ({"removals": {"route_rules": ["r-9"]}}, "removals/route_rules/r-9"),
        (
            {"upserts": {"services": [{"name": "pool-1"}]}, "removals": {"services": ["pool-1"]}},
            "removals/services/pool-1",
        ),
        ({"upserts": {"limits": [{"name": "x"}]}}, "limits"),
        ({"upserts": {"nothing": [{"name": "x"}]}}, "nothing"),
    ],
)
def test_an_invalid_patch_is_rejected_with_its_place(patch_body, place):
    with pytest.raises(ServiceError) as rejected:
        apply_to_lists(DOCUMENT, read_list_patch(patch_body), PARTS)
    assert rejected.value.code == "plan_invalid"
    assert place in [fault["place"] for fault in rejected.value.detail["places"]]


def test_a_patch_of_mappings_changes_only_known_parts():
    patch_body = {"upserts": {"kinds": {"k": {"new": 1}}}, "removals": {"groups": ["g"]}}
    plan = {"groups": {"g": {}, "h": {}}, "kinds": {}, "taichi": {}}
    changed = apply_to_mappings(plan, read_mapping_patch(patch_body), ("groups", "kinds"))
    assert changed == {"groups": {"h": {}}, "kinds": {"k": {"new": 1}}, "taichi": {}}
    with pytest.raises(ServiceError):
        apply_to_mappings(plan, Patch({"taichi": {"moves": {}}}, {}), ("groups", "kinds"))


# Committing patches


def test_a_patched_document_is_shown_whole_and_byte_identical_by_all_nodes():
    core = make_core()
    assert put(core) == 200
    added = {**ROUTE, "name": "r-3", "path_prefix": "/c/"}
    assert patch(core, 4, 9, {"route_rules": [added]}, {"route_rules": ["r-1"]}).status == 200
    texts = {shown(core, name) for name in core.machines}
    assert len(texts) == 1
    document = json.loads(texts.pop())
    assert document == {
        **DOCUMENT,
        "revision": 9,
        "route_rules": [DOCUMENT["route_rules"][1], added],
    }
    core.world.run_for(SECOND)
    for host in core.machines.values():
        assert set(host.node.snapshot.configuration.kinds) == {"r-2", "r-3"}


@pytest.mark.parametrize(
    "upserts, removals",
    [
        ({"route_rules": [{**ROUTE, "target_service": "gone"}]}, {}),
        ({"route_rules": [{**ROUTE, "name": "r-3"}]}, {}),
        ({"route_rules": [{**ROUTE, "timeout_ms": 0}]}, {}),
        ({}, {"services": ["pool-1"]}),
        ({}, {"route_rules": ["r-9"]}),
        (
            {
                "route_rules": [
                    {**ROUTE, "traffic_split": [{"target_service": "pool-1", "weight": 0}]}
                ]
            },
            {},
        ),
    ],
)
def test_a_patch_whose_result_is_invalid_changes_nothing(upserts, removals):
    core = make_core()
    put(core)
    before = shown(core)
    assert 400 <= patch(core, 4, 9, upserts, removals).status < 500
    assert shown(core) == before and core.read()[1]["revision"] == 4


def test_status_for_wrong_base_old_revision_repeated_patch_and_reused_revision():
    core = make_core()
    assert patch(core, 0, 3, {"route_rules": [ROUTE]}).status == 422
    put(core)
    removals = {"route_rules": ["r-2"]}
    assert patch(core, 3, 9, {}, removals).status == 412
    assert patch(core, 4, 4, {}, removals).status == 409
    assert patch(core, 4, 9, {}, removals).status == 200
    assert patch(core, 4, 9, {}, removals, name="core-3").status == 200
    assert patch(core, 4, 9, {}, {"route_rules": ["r-1"]}).status == 412
    assert patch(core, 9, 12, {}, {"services": ["pool-2"]}).status == 200
    assert patch(core, 4, 9, {}, removals, name="core-2").status == 200
    assert json.loads(shown(core))["revision"] == 12


@pytest.mark.parametrize("seed", range(8))
def test_of_concurrent_patches_and_a_replacement_on_one_base_one_is_committed(seed):
    core = make_core(seed)
    put(core)
    whole = write_json({**DOCUMENT, "revision": 7})
    calls = [
        patch(core, 4, 7, {}, {"route_rules": ["r-1"]}, "core-1", wait=False),
        send_request(core, "core-2", "POST", "/Configuration.Replace", whole, 4, wait=False),
        patch(core, 4, 8, {}, {"route_rules": ["r-2"]}, "core-3", wait=False),
    ]
    core.world.wait_for(lambda: all(call.is_ended for call in calls), 5 * SECOND, 10_000)
    assert sorted(call.status for call in calls) == [200, 412, 412]
    winner = next(place for place, call in enumerate(calls) if call.status == 200)
    routes = [item["name"] for item in json.loads(shown(core))["route_rules"]]
    assert routes == [["r-2"], ["r-1", "r-2"], ["r-1"]][winner]


@pytest.mark.parametrize("seed", range(8))
def test_a_patch_whose_response_was_lost_is_acknowledged_again_after_a_restart(seed):
    core = make_core(seed)
    put(core)
    call = patch(core, 4, 9, {}, {"route_rules": ["r-1"]}, "core-1", wait=False)
    core.world.run_for(1_000 * (seed + 1))
    for host in core.machines.values():
        host.kill()
    core.world.run_for(SECOND // 4)
    for host in core.machines.values():
        host.start()
    assert core.wait_voting(3)
    core.world.run_for(2 * SECOND)
    for name in core.machines:
        assert patch(core, 4, 9, {}, {"route_rules": ["r-1"]}, name).status == 200
    routes = [item["name"] for item in json.loads(shown(core))["route_rules"]]
    assert routes == ["r-2"] and (not call.is_ended or call.status in (200, 503, 504))


@pytest.mark.parametrize("seed", range(5))
def test_a_node_without_the_document_fetches_it_for_a_patch(seed):
    core = make_core(seed)
    put(core)
    store = core.machines["core-2"].node.blobs
    for digest in list(store.packed):
        del store.packed[digest]
    assert patch(core, 4, 9, {}, {"route_rules": ["r-1"]}, "core-2").status == 200
    assert json.loads(shown(core, "core-3"))["revision"] == 9


@pytest.mark.parametrize("seed", range(5))
def test_a_patch_at_a_partitioned_node_is_never_partly_committed(seed):
    core = make_core(seed)
    put(core)
    core.world.cut(["core-1"], ["core-2", "core-3"])
    isolated = patch(core, 4, 9, {}, {"route_rules": ["r-1"]}, "core-1")
    assert isolated.status in (503, 504)
    assert patch(core, 4, 9, {}, {"route_rules": ["r-2"]}, "core-2").status == 200
    core.world.heal()
    core.world.run_for(2 * SECOND)
    assert patch(core, 4, 9, {}, {"route_rules": ["r-1"]}, "core-1").status == 412
    assert [item["name"] for item in json.loads(shown(core))["route_rules"]] == ["r-1"]


# Native interface


def test_a_native_patch_changes_the_plan_by_name_once():
    core = make_core()
    plan = {"groups": {"g": {}, "h": {}}, "kinds": {"k": kind("g"), "other": kind("h")}}
    call = RecordedCall(
        "PUT", "/v1/plan", {}, write_json({"expect": 0, "put_id": "first", "plan": plan})
    )
    core.machines["core-1"].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    requested_change = {
        "upserts": {"kinds": {"new": kind("g")}},
        "removals": {"kinds": ["other"], "groups": ["h"]},
    }
    assert send_command(core, "PATCH", "/v1/plan", **requested_change)[0] == 200
    effective = in_force(core)
    assert set(effective.kinds) == {"k", "new"} and set(effective.groups) == {"g"}
    again = send_command(
        core, "PATCH", "/v1/plan", expect=1, put_id="/v1/plan/1", **requested_change
    )
    assert again == (200, {"mark": 2, "put_id": "/v1/plan/1"})
    status, response = send_command(core, "PATCH", "/v1/plan", removals={"groups": ["g"]})
    assert (status, response["code"]) == (422, "plan_invalid")
    assert core.read()[1]["mark"] == 2


def test_a_native_patch_of_an_operators_document_is_rejected():
    core = make_core()
    assert (
        error_code(core.put(0, 4, "text", {"groups": {"g": {}}, "kinds": {"k": kind("g")}})) is None
    )
    status, response = send_command(core, "PATCH", "/v1/plan", removals={"kinds": ["k"]})
    assert (status, response["code"]) == (422, "plan_invalid") and "its sender" in str(response)
    assert core.read()[1]["mark"] == 1


# A number without an end raised OverflowError: the operator's connection ended without an answer,
# for a change of items in the midst of its proposal.
@pytest.mark.parametrize("number", ["1e308", "1e400", "Infinity", "NaN"])
@pytest.mark.parametrize("field", ["timeout_ms", "target_latency_ms", "target_gap_ms"])
def test_a_number_that_is_too_large_is_answered(field, number):
    core = make_core()
    assert put(core) == 200
    route = json.dumps({**ROUTE, field: "NUMBER"}).replace('"NUMBER"', number)
    services = json.dumps(DOCUMENT["services"])
    replace = f'{{"revision": 6, "route_rules": [{route}], "services": {services}}}'
    update = f'{{"revision": 6, "upserts": {{"route_rules": [{route}]}}}}'
    for path, text in (("Replace", replace), ("Update", update)):
        call = send_request(core, "core-1", "POST", f"/Configuration.{path}", text.encode(), 4)
        assert call.is_ended and 400 <= call.status < 500
    assert shown(core) == write_json(DOCUMENT)
    assert patch(core, 4, 6, removals={"services": ["pool-2"]}).status == 200


# Text that parsers read differently, or not at all, was acknowledged; a lone surrogate in a change
# of items can't be stored, and was answered 503 for as long as the operator sent it.
@pytest.mark.parametrize(
    "field",
    [
        '"note": NaN',
        '"note": -Infinity',
        '"note": 1e400',
        r'"note": "\ud800"',
        r'"hostname": "\ud800"',
        '"note": 1, "note": 2',
        '"target_service": "gone", "target_service": "pool-1"',
    ],
)
def test_a_text_that_not_every_parser_reads_alike_is_not_acknowledged(field):
    core = make_core()
    assert put(core) == 200
    route = json.dumps({**ROUTE, "x": 0}).replace('"x": 0', field)
    if field.startswith('"hostname"'):
        route = route.replace('"hostname": "one.example", ', "")
    if field.startswith('"target_service"'):
        route = route.replace('"target_service": "pool-1", "max', '"max')
    services = json.dumps(DOCUMENT["services"])
    replace = f'{{"revision": 6, "route_rules": [{route}], "services": {services}}}'
    update = f'{{"revision": 6, "upserts": {{"route_rules": [{route}]}}}}'
    for path, text in (("Replace", replace), ("Update", update)):
        call = send_request(core, "core-1", "POST", f"/Configuration.{path}", text.encode(), 4)
        assert call.status == 400
        assert json.loads(call.response_body)["detail"]["places"][0]["place"] == "."
    assert shown(core) == write_json(DOCUMENT)
    assert patch(core, 4, 6, removals={"services": ["pool-2"]}).status == 200


def test_a_text_that_is_stored_stays_readable_whatever_is_taken_now(monkeypatch):
    core = make_core()
    with monkeypatch.context() as earlier_version:
        earlier_version.setattr(operator, "read_strict_json", read_json)
        assert put(core, {**DOCUMENT, "note": float("nan")}) == 200
    assert b'"note":NaN' in shown(core)
    assert patch(core, 4, 6, removals={"services": ["pool-2"]}).status == 200
    assert b'"note":NaN' in shown(core) and b"pool-2" not in shown(core)


# An item whose name is no text raised TypeError in the midst of a proposal: 503 for as long as the
# operator sends the change.
def test_a_change_of_items_whose_names_are_no_texts_is_answered():
    core = make_core()
    assert put(core, {**DOCUMENT, "notes": [{"name": []}]}) == 200
    assert patch(core, 4, 6, upserts={"notes": [{"name": "a"}]}).status == INVALID
    assert patch(core, 4, 6, removals={"services": ["pool-2"]}).status == 200


# A base version of over 4,300 digits raised ValueError: the connection ended without an answer.
def test_a_base_version_of_any_length_is_answered():
    core = make_core()
    call = send_request(
        core, "core-1", "POST", "/Configuration.Replace", write_json(DOCUMENT), "9" * 5_000
    )
    assert 400 <= call.status < 500
