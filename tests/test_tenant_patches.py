"""Tenants changed by name, on the platform's interface and on ours."""

import json

import pytest
from test_documents import RecordedCall, command, kind, make_core
from test_patch import DOCUMENT, patch, put, shown

from linkhaven.configuration import digest_api_key
from linkhaven.runtime import write_json

SECOND = 1_000_000
ONE, TWO = {"name": "t-1", "api_keys": ["k-1"]}, {"name": "t-2", "api_keys": ["k-2", "k-3"]}
KEYED = {**DOCUMENT, "tenants": [ONE, TWO]}


def keyed_core():
    core = make_core()
    assert put(core, KEYED) == 200
    return core


def tenants_in_force(core):
    """By tenant, the digests of its keys, as every replica has them."""
    core.world.run_for(SECOND)
    (in_force,) = {
        tuple(
            (name, tenant.key_digests)
            for name, tenant in host.node.snapshot.configuration.tenants.items()
        )
        for host in core.machines.values()
    }
    return dict(in_force)


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": "t-1", "api_keys": ["k-1", "k-3"]}],
        [{"name": "t-3", "api_keys": ["k-2"]}],
        [{"name": "t-1", "api_keys": ["k-9"]}, {"name": "t-3", "api_keys": ["k-9"]}],
    ],
)
def test_a_patch_that_makes_two_tenants_share_a_key_is_refused_and_changes_nothing(tenants):
    core = keyed_core()
    before = shown(core)
    refused = patch(core, 4, 9, {"tenants": tenants})
    assert refused.status == 422
    assert b"k-" not in refused.answered
    assert shown(core) == before


def test_a_key_moves_from_one_tenant_to_another_in_one_patch():
    core = keyed_core()
    moved = [{"name": "t-1", "api_keys": ["k-1", "k-2"]}, {"name": "t-2", "api_keys": ["k-3"]}]
    assert patch(core, 4, 9, {"tenants": moved}).status == 200
    assert tenants_in_force(core) == {
        "t-1": (digest_api_key("k-1"), digest_api_key("k-2")),
        "t-2": (digest_api_key("k-3"),),
    }


def test_a_tenant_that_loses_all_keys_stays_and_one_that_is_removed_goes():
    core = keyed_core()
    emptied = [{"name": "t-1", "api_keys": []}]
    assert patch(core, 4, 9, {"tenants": emptied}, {"tenants": ["t-2"]}).status == 200
    assert tenants_in_force(core) == {"t-1": ()}


def test_once_all_tenants_are_removed_keys_are_still_asked_for():
    core = keyed_core()
    assert patch(core, 4, 9, {}, {"tenants": ["t-1", "t-2"]}).status == 200
    assert json.loads(shown(core))["tenants"] == []
    assert tenants_in_force(core) == {}


def test_a_configuration_without_tenants_gets_its_first_by_a_patch():
    core = make_core()
    put(core)
    assert patch(core, 4, 9, {"tenants": [ONE]}).status == 200
    assert tenants_in_force(core) == {"t-1": (digest_api_key("k-1"),)}


def test_a_race_in_which_each_change_alone_would_do_never_leaves_a_shared_key():
    core = keyed_core()
    calls = [
        patch(core, 4, 9, {"tenants": [{"name": name, "api_keys": ["k-new"]}]}, {}, machine, False)
        for name, machine in (("t-3", "core-1"), ("t-4", "core-2"))
    ]
    core.world.wait_for(lambda: all(call.is_ended for call in calls), 5 * SECOND, 10_000)
    assert sorted(call.status for call in calls) == [200, 412]
    assert len([name for name in tenants_in_force(core) if name in ("t-3", "t-4")]) == 1


def test_tenants_are_changed_by_name_on_our_own_interface():
    core = make_core()
    held = {"keys": [digest_api_key("k-1")]}
    plan = {"groups": {"g": {}}, "kinds": {"k": kind("g")}, "tenants": {"t-1": held}}
    first = write_json({"expect": 0, "put_id": "first", "plan": plan})
    call = RecordedCall("PUT", "/v1/plan", {}, first)
    core.machines["core-2"].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    shared = {"t-2": {"keys": [digest_api_key("k-1")]}}
    status, refused = command(core, "PATCH", "/v1/plan", upserts={"tenants": shared})
    assert (status, refused["code"]) == (422, "plan_invalid")
    change = {"upserts": {"tenants": shared}, "removals": {"tenants": ["t-1"]}}
    assert command(core, "PATCH", "/v1/plan", **change)[0] == 200
    assert tenants_in_force(core) == {"t-2": (digest_api_key("k-1"),)}


def test_a_configuration_sent_whole_with_a_shared_key_is_refused_and_shows_no_key():
    core = keyed_core()
    shared = {**KEYED, "revision": 9, "tenants": [ONE, {"name": "t-2", "api_keys": ["k-1"]}]}
    assert put(core, shared, 4) == 422
    assert json.loads(shown(core)) == json.loads(write_json(KEYED))


def test_our_own_interface_shows_no_key_of_a_configuration_that_came_as_a_text():
    core = keyed_core()
    call = RecordedCall("GET", "/v1/plan", {}, b"")
    core.machines["core-2"].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    assert call.document["revision"] == 4
    assert call.document["plan"]["tenants"]["t-1"]["keys"] == [digest_api_key("k-1")]
    text = json.dumps(call.document)
    assert not [key for key in ("k-1", "k-2", "k-3") if key in text]
