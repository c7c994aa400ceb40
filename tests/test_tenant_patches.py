"""Patches of tenants by name, on the platform interface and on the native one."""

import json

import pytest
from test_documents import RecordedCall, kind, make_core, send_command
from test_patch import DOCUMENT, patch, put, shown

from linkhaven.configuration import digest_api_key
from linkhaven.runtime import write_json

SECOND = 1_000_000
ONE, TWO = {"name": "t-1", "api_keys": ["k-1"]}, {"name": "t-2", "api_keys": ["k-2", "k-3"]}
DOCUMENT_WITH_TENANTS = {**DOCUMENT, "tenants": [ONE, TWO]}


def make_core_with_tenants():
    core = make_core()
    assert put(core, DOCUMENT_WITH_TENANTS) == 200
    return core


def tenants_in_force(core):
    """Return the key digests of each tenant, which must be equal at all nodes."""
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
def test_a_patch_that_makes_two_tenants_share_a_key_is_rejected_and_changes_nothing(tenants):
    core = make_core_with_tenants()
    before = shown(core)
    rejected = patch(core, 4, 9, {"tenants": tenants})
    assert rejected.status == 422
    assert b"k-" not in rejected.response_body
    assert shown(core) == before


def test_a_key_moves_from_one_tenant_to_another_in_one_patch():
    core = make_core_with_tenants()
    moved = [{"name": "t-1", "api_keys": ["k-1", "k-2"]}, {"name": "t-2", "api_keys": ["k-3"]}]
    assert patch(core, 4, 9, {"tenants": moved}).status == 200
    assert tenants_in_force(core) == {
        "t-1": (digest_api_key("k-1"), digest_api_key("k-2")),
        "t-2": (digest_api_key("k-3"),),
    }


def test_a_tenant_without_keys_is_kept_and_a_removed_tenant_is_not():
    core = make_core_with_tenants()
    emptied = [{"name": "t-1", "api_keys": []}]
    assert patch(core, 4, 9, {"tenants": emptied}, {"tenants": ["t-2"]}).status == 200
    assert tenants_in_force(core) == {"t-1": ()}


def test_keys_are_still_required_after_all_tenants_are_removed():
    core = make_core_with_tenants()
    assert patch(core, 4, 9, {}, {"tenants": ["t-1", "t-2"]}).status == 200
    assert json.loads(shown(core))["tenants"] == []
    assert tenants_in_force(core) == {}


def test_a_configuration_without_tenants_gets_its_first_by_a_patch():
    core = make_core()
    put(core)
    assert patch(core, 4, 9, {"tenants": [ONE]}).status == 200
    assert tenants_in_force(core) == {"t-1": (digest_api_key("k-1"),)}


def test_concurrent_patches_that_are_valid_alone_never_leave_a_shared_key():
    core = make_core_with_tenants()
    calls = [
        patch(core, 4, 9, {"tenants": [{"name": name, "api_keys": ["k-new"]}]}, {}, machine, False)
        for name, machine in (("t-3", "core-1"), ("t-4", "core-2"))
    ]
    core.world.wait_for(lambda: all(call.is_ended for call in calls), 5 * SECOND, 10_000)
    assert sorted(call.status for call in calls) == [200, 412]
    assert len([name for name in tenants_in_force(core) if name in ("t-3", "t-4")]) == 1


def test_tenants_are_patched_by_name_on_the_native_interface():
    core = make_core()
    held = {"keys": [digest_api_key("k-1")]}
    plan = {"groups": {"g": {}}, "kinds": {"k": kind("g")}, "tenants": {"t-1": held}}
    first = write_json({"expect": 0, "put_id": "first", "plan": plan})
    call = RecordedCall("PUT", "/v1/plan", {}, first)
    core.machines["core-2"].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    shared = {"t-2": {"keys": [digest_api_key("k-1")]}}
    status, rejected = send_command(core, "PATCH", "/v1/plan", upserts={"tenants": shared})
    assert (status, rejected["code"]) == (422, "plan_invalid")
    requested_change = {"upserts": {"tenants": shared}, "removals": {"tenants": ["t-1"]}}
    assert send_command(core, "PATCH", "/v1/plan", **requested_change)[0] == 200
    assert tenants_in_force(core) == {"t-2": (digest_api_key("k-1"),)}


def test_a_replacement_with_a_shared_key_is_rejected():
    core = make_core_with_tenants()
    shared = {
        **DOCUMENT_WITH_TENANTS,
        "revision": 9,
        "tenants": [ONE, {"name": "t-2", "api_keys": ["k-1"]}],
    }
    assert put(core, shared, 4) == 422
    assert json.loads(shown(core)) == json.loads(write_json(DOCUMENT_WITH_TENANTS))


def test_the_native_interface_shows_no_key_of_an_operators_document():
    core = make_core_with_tenants()
    call = RecordedCall("GET", "/v1/plan", {}, b"")
    core.machines["core-2"].node.serve(call)
    core.world.wait_for(lambda: call.is_ended, 5 * SECOND, 10_000)
    assert call.document["revision"] == 4
    assert call.document["plan"]["tenants"]["t-1"]["keys"] == [digest_api_key("k-1")]
    text = json.dumps(call.document)
    assert not [key for key in ("k-1", "k-2", "k-3") if key in text]
