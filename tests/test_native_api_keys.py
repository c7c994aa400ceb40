"""API keys at linkhaven's own client interface, and the tenant header to its own runners."""

import json
from types import SimpleNamespace

import pytest
from keyed_router import ClientCall
from test_blobs import add_router, make_started_core

from linkhaven.configuration import digest_api_key
from linkhaven.consensus import Outcome, UpdateAction
from linkhaven.router.native import take_api_key
from linkhaven.runner import RunnerClient

KEY = "key-of-one"
KIND = {
    "group": "g",
    "ttft_us": 500_000,
    "tpot_us": 60_000,
    "deadline_us": 9_000_000,
    "prompt_tokens": 1_000,
    "answer_tokens": 100,
}
DOCUMENT = {
    "groups": {"g": {}},
    "kinds": {"kept": KIND, "open": {**KIND, "public": True}},
    "tenants": {"t-1": {"keys": [digest_api_key(KEY)]}},
}


@pytest.mark.parametrize(
    "headers, key",
    [
        ({}, None),
        ({"x-api-key": ""}, None),
        ({"x-api-key": "k"}, "k"),
        ({"authorization": "Bearer k"}, "k"),
        ({"authorization": "bearer  k "}, "k"),
        ({"authorization": "Basic k"}, None),
        ({"x-api-key": "k", "authorization": "Bearer k"}, "k"),
        ({"x-api-key": "k", "authorization": "Bearer other"}, "k, other"),
    ],
)
def test_a_key_is_read_from_either_header_and_removed_from_both(headers, key):
    assert take_api_key(headers) == key
    assert headers == {}


def ask(router, kind, **headers):
    call = ClientCall("/v1/requests", [(name.replace("_", "-"), headers[name]) for name in headers])
    call.body = json.dumps({"kind": kind, "prompt": "x"}).encode()
    router.node.serve_request(call)
    return call


def test_the_native_interface_accepts_only_keys_of_tenants():
    core = make_started_core()
    router = add_router(core)
    results = core.put(0, 1, "text", DOCUMENT)
    assert results[0][0] is None
    core.world.run_for(1_000_000)
    router.node.roster.taken_us = router.node.now_us()
    assert ask(router, "kept").code() == "api_key_missing"
    refused = ask(router, "kept", x_api_key="other")
    assert (refused.status, refused.code()) == (401, "api_key_unknown")
    for kind, headers, tenant in (
        ("kept", {"x_api_key": KEY}, "t-1"),
        ("kept", {"authorization": f"Bearer {KEY}"}, "t-1"),
        ("open", {}, None),
    ):
        call = ask(router, kind, **headers)
        (request,) = router.node.requests.rows()
        assert (call.status, request.tenant) == (None, tenant)
        call.client_disconnected()


def test_an_idempotency_key_of_one_tenant_is_free_for_another():
    core = make_started_core()
    router = add_router(core)
    tenants = {name: {"keys": [digest_api_key(name)]} for name in ("t-1", "t-2")}
    once = {**KIND, "repeatable": False}
    assert core.put(0, 1, "text", {**DOCUMENT, "kinds": {"once": once}, "tenants": tenants})
    core.world.run_for(30_000_000)
    router.node.roster.taken_us = router.node.now_us() + 60_000_000
    outcomes = []
    for name in ("t-1", "t-2", "t-1"):
        call = ask(router, "once", x_api_key=name, idempotency_key="same")
        core.world.run_for(300_000)
        outcomes.append(call.code() if call.is_ended else "let in")
    assert outcomes == ["let in", "let in", "key_used"]


class HeldProposals:
    """A proposer that keeps all proposals for the test to complete."""

    def __init__(self):
        self.proposals = []

    def propose(self, key, step, done):
        self.proposals.append((key, step, done))


def test_a_claim_for_the_former_tenant_admits_no_request_of_the_new_one():
    core = make_started_core()
    router = add_router(core)
    once = {**KIND, "repeatable": False}
    mine = {"keys": [digest_api_key(KEY)]}
    document = {**DOCUMENT, "kinds": {"once": once}, "tenants": {"t-1": mine}}
    assert core.put(0, 1, "text", document)
    core.world.run_for(30_000_000)
    router.node.roster.taken_us = router.node.now_us() + 60_000_000
    proposer = router.node.idempotency_keys.proposer = HeldProposals()
    ask(router, "once", x_api_key=KEY, idempotency_key="same")
    (request,) = router.node.requests.rows()
    assert core.put(1, 2, "text 2", {**document, "tenants": {"t-2": mine}})
    core.world.run_for(3_000_000)
    assert request.tenant == "t-2"
    (former_key, _, won_formerly), (key, _, won) = proposer.proposals[0], proposer.proposals[-1]
    assert former_key != key
    won_formerly(Outcome.CHOSEN, {"by": request.id})
    assert request.state == "claiming"
    given_back, step, _ = proposer.proposals[-1]
    assert given_back == former_key
    assert step({"by": request.id}) == (UpdateAction.SET, {"by": None})
    won(Outcome.CHOSEN, {"by": request.id})
    assert request.state == "queued"
    assert list(router.node.idempotency_keys.claimed) == [key]


@pytest.mark.parametrize("tenant", [None, "t-1"])
def test_native_runners_get_the_tenants_name(tenant):
    sent = []

    def open_call(address, method, path, headers, body, handler):
        sent.append((path, headers))

    node = SimpleNamespace(
        ports=SimpleNamespace(network=SimpleNamespace(open=open_call)),
        snapshot=SimpleNamespace(version=1),
    )
    request = SimpleNamespace(
        id="r-1",
        attempts=1,
        is_one_time=False,
        prompt="x",
        answer_tokens=1,
        run=None,
        tenant=tenant,
    )
    runner = SimpleNamespace(address="10.0.0.1:1", incarnation=1)
    RunnerClient(node).prefill(runner, request, None)
    RunnerClient(node).decode(runner, request, ("h", runner), None)
    assert [path for path, _ in sent] == ["/v1/prefill", "/v1/decode"]
    for _, headers in sent:
        assert headers.get("x-tenant") == tenant
