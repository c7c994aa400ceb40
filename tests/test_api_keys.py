"""API keys at a router with the platform's interface: authentication, and what runners see of it.

Guards against requests that reach a runner without a tenant's key, and against keys that leak to
runners, logs, records or traces.
"""

import json

import pytest
from keyed_router import KEY, NO_KEY, OTHER_KEY, SECOND, TENANTS, KeyedRouter, route

from linkhaven.configuration import digest_api_key
from linkhaven.platform import names
from linkhaven.traces import TraceWriter

TENANT = "t-1"


def assert_shows_the_tenant_only(call):
    """Assert that the request names the tenant once and contains the key nowhere."""
    tenants = [value for name, value in call.fields if name.lower() == names.TENANT]
    assert tenants == [TENANT]
    assert names.API_KEY not in call.headers
    assert KEY not in f"{call.path} {call.fields}"


# Requests to runners


def test_a_read_shows_the_runner_the_tenant_and_not_the_key():
    world = KeyedRouter()
    world.ask(KEY)
    (read,) = world.sent
    assert read.headers[names.PHASE] == "prefill"
    assert_shows_the_tenant_only(read)


def test_a_hand_over_shows_the_runner_the_tenant_and_not_the_key():
    world = KeyedRouter()
    world.ask(KEY)
    world.sent[0].give_handle()
    decode = world.sent[1]
    assert names.KV_SOURCE in decode.headers
    assert_shows_the_tenant_only(decode)


def test_a_request_that_a_decode_runner_reads_shows_it_the_tenant_and_not_the_key():
    world = KeyedRouter(prefills=0)
    world.ask(KEY)
    (decode,) = world.sent
    assert names.PHASE not in decode.headers
    assert_shows_the_tenant_only(decode)


def test_freed_memory_names_neither_key_nor_tenant():
    world = KeyedRouter()
    call = world.ask(KEY)
    world.sent[0].give_handle()
    call.client_disconnected()
    (freed,) = [call for call in world.network.calls if call.method == "DELETE"]
    assert freed.fields == []


@pytest.mark.parametrize("prefills", [0, 1])
def test_a_retry_shows_the_runner_the_tenant_and_not_the_key(prefills):
    world = KeyedRouter(prefills=prefills)
    world.allow_retries()
    world.ask(KEY)
    world.sent[0].answer(503, not_executed="1")
    world.run(SECOND)
    assert len(world.sent) == 2
    assert_shows_the_tenant_only(world.sent[1])


def test_a_stream_that_goes_on_at_another_runner_shows_it_the_tenant_and_not_the_key():
    world = KeyedRouter(prefills=0)
    world.allow_retries()
    world.ask(KEY)
    world.sent[0].begin_stream(1, 2)
    world.sent[0].handler.on_error(True)
    world.run(SECOND)
    resumed = world.sent[1]
    assert resumed.headers[names.LAST_EVENT_ID] == "2"
    assert_shows_the_tenant_only(resumed)


def test_a_stream_that_the_client_resumes_shows_the_runner_the_tenant_and_not_the_key():
    world = KeyedRouter()
    world.ask(KEY, last_event_id="7")
    (resumed,) = world.sent
    assert resumed.headers[names.LAST_EVENT_ID] == "7"
    assert_shows_the_tenant_only(resumed)


def test_a_stream_that_is_moved_shows_the_next_runner_the_tenant_and_not_the_key():
    world = KeyedRouter(prefills=0)
    world.allow_retries()
    world.ask(KEY)
    world.sent[0].begin_stream(1)
    (request,) = world.node.requests.rows()
    target = next(
        runner
        for runner in world.node.roster.runners.values()
        if runner.address != world.sent[0].address
    )
    assert world.node.attempts.move(request, target, "speed")
    assert world.sent[1].address == target.address
    assert_shows_the_tenant_only(world.sent[1])


# Authentication


@pytest.mark.parametrize("header", ["tenant_id", "TENANT_ID"])
def test_a_tenant_header_of_a_client_is_dropped(header):
    world = KeyedRouter()
    world.ask(KEY, **{header: "t-2"})
    assert_shows_the_tenant_only(world.sent[0])


@pytest.mark.parametrize(
    "keys, code",
    [
        ((), "api_key_missing"),
        (("",), "api_key_missing"),
        ((NO_KEY,), "api_key_unknown"),
        ((KEY, OTHER_KEY), "api_key_unknown"),
        ((KEY, NO_KEY), "api_key_unknown"),
        ((f"Bearer {KEY}",), "api_key_unknown"),
        ((KEY.upper(),), "api_key_unknown"),
        ((digest_api_key(KEY),), "api_key_unknown"),
        ((TENANT,), "api_key_unknown"),
    ],
)
def test_a_request_without_one_known_key_reaches_no_runner(keys, code):
    world = KeyedRouter()
    call = world.ask(*keys)
    assert (call.status, call.code(), call.was_cut) == (401, code, False)
    assert world.sent == []
    assert names.RETRY_AFTER not in call.answer_headers


def test_a_refused_request_adds_nothing_to_retry_budget_or_group_usage():
    world = KeyedRouter()
    world.ask(NO_KEY)
    assert world.node.retry_budget.earned_us is None
    assert world.node.admission.usage_reports() == {}
    world.ask(KEY)
    assert world.node.retry_budget.earned_us is not None


def test_an_empty_tenant_list_refuses_every_request():
    world = KeyedRouter(tenants=())
    assert world.ask(KEY).status == 401
    assert world.sent == []


def test_a_configuration_that_names_no_tenants_asks_for_no_key_and_passes_none_on():
    world = KeyedRouter(tenants=None)
    world.ask()
    world.ask(KEY, id="r-2", tenant_id="t-2")
    assert len(world.sent) == 2
    for call in world.sent:
        assert names.TENANT not in call.headers
        assert names.API_KEY not in call.headers
        assert KEY not in str(call.fields)


@pytest.mark.parametrize(
    "keys, tenant", [((), None), ((KEY,), "t-1"), ((NO_KEY,), None), ((KEY, OTHER_KEY), None)]
)
def test_a_public_route_needs_no_key_and_passes_none_on(keys, tenant):
    world = KeyedRouter()
    world.ask(*keys, route="open", tenant_id="t-9")
    (call,) = world.sent
    assert call.headers.get(names.TENANT) == tenant
    assert names.API_KEY not in call.headers


def test_an_unknown_route_is_answered_with_404_whatever_the_key():
    world = KeyedRouter()
    for keys in ((), (KEY,), (NO_KEY,)):
        assert world.ask(*keys, route="gone").status == 404


# Configuration changes


def test_a_revoked_key_is_refused():
    world = KeyedRouter()
    world.ask(KEY)
    world.put([{"name": "t-1", "api_keys": ["key-new"]}, TENANTS[1]])
    assert world.ask(KEY).code() == "api_key_unknown"
    assert world.ask("key-new", id="r-2").status is None
    assert [call.headers[names.TENANT] for call in world.sent] == ["t-1", "t-1"]


def test_a_key_that_moved_names_its_new_tenant():
    world = KeyedRouter()
    world.put([{"name": "t-1", "api_keys": []}, {"name": "t-2", "api_keys": [KEY, OTHER_KEY]}])
    world.ask(KEY)
    assert world.sent[0].headers[names.TENANT] == "t-2"


def test_a_key_that_was_added_lately_isnt_denied_by_a_router_that_is_cut_off():
    """It can't know the key yet, so its answer lets the client try another router."""
    world = KeyedRouter(deny_within_us=2_500_000)
    world.cut_off()
    world.put([*TENANTS, {"name": "t-3", "api_keys": ["key-new"]}], wait=False)
    world.run(3 * SECOND)
    call = world.ask("key-new")
    assert (call.status, call.code()) == (503, "api_key_unconfirmed")
    assert float(call.answer_headers[names.RETRY_AFTER]) == 0.1
    assert world.ask(KEY, id="r-2").status is None


def test_a_request_without_a_key_isnt_denied_by_a_router_whose_route_may_be_public_by_now():
    world = KeyedRouter(deny_within_us=2_500_000)
    world.cut_off()
    world.put(routes=(route("kept", public=True),), wait=False)
    world.run(3 * SECOND)
    assert world.ask().code() == "api_key_unconfirmed"
    world.core.world.heal()
    world.run(SECOND)
    assert world.ask(id="r-2").status is None


def test_a_route_that_was_added_lately_isnt_denied_by_a_router_that_is_cut_off():
    world = KeyedRouter(deny_within_us=2_500_000)
    assert world.ask(KEY, route="added").status == 404
    world.cut_off()
    world.put(routes=(*world.routes, route("added")), wait=False)
    world.run(3 * SECOND)
    call = world.ask(KEY, route="added")
    assert (call.status, call.code()) == (503, "plan_stale")
    assert float(call.answer_headers[names.RETRY_AFTER]) == 0.1
    world.core.world.heal()
    world.run(SECOND)
    assert world.ask(KEY, route="added", id="r-2").status is None
    assert world.ask(KEY, route="gone").status == 404


def test_a_key_that_nobody_holds_is_denied_at_once_by_a_router_in_touch():
    world = KeyedRouter(deny_within_us=2_500_000)
    for _ in range(20):
        world.run(SECOND // 3)
        assert world.ask(NO_KEY, wait_us=0).status == 401


def test_a_router_that_heard_of_a_newer_version_denies_no_key_by_the_older_one():
    world = KeyedRouter()
    world.node.snapshot.observe_version(world.node.snapshot.version + 1)
    assert world.ask(NO_KEY, wait_us=0).code() == "api_key_unconfirmed"


def test_a_router_without_a_configuration_denies_nobody():
    world = KeyedRouter()
    world.cut_off()
    world.start()
    world.run(5 * SECOND)
    call = world.ask(NO_KEY)
    assert (call.status, call.code()) == (503, "plan_stale")


# Logs, records and traces


@pytest.mark.parametrize("keys, facts", [((KEY,), {"tenant": TENANT}), ((NO_KEY,), {})])
def test_the_log_names_the_tenant_or_why_a_request_was_refused(keys, facts):
    world = KeyedRouter(prefills=0)
    world.ask(*keys)
    for sent in world.sent:
        sent.begin_stream(1)
        sent.handler.on_end()
    (event,) = [event for event in world.core.world.events if event[2] in (2101, 2102, 2103)]
    number, logged = event[2:]
    assert {name: logged[name] for name in logged if name == "tenant"} == facts
    assert (number, logged.get("code")) == ((2101, None) if facts else (2103, "api_key_unknown"))


@pytest.mark.parametrize("status", [200, 500])
def test_the_log_names_the_tenant_of_a_whole_answer(status):
    world = KeyedRouter(prefills=0)
    world.ask(KEY)
    world.sent[0].answer(status, b"ok")
    (event,) = [event for event in world.core.world.events if event[2] in (2101, 2102)]
    assert event[3]["tenant"] == TENANT


def test_records_logs_and_traces_contain_no_key(tmp_path):
    world = KeyedRouter(prefills=0)
    path = tmp_path / "traces.json"
    traces = TraceWriter(str(path), "edge-1")
    world.node.on_end.append(traces.write)
    calls = []
    for keys in ((KEY,), (NO_KEY,), (KEY, OTHER_KEY)):
        calls.append(world.ask(*keys))
        calls[-1].client_disconnected()
    traces.close()
    kept = list(world.node.explainer.ended.values())
    assert len(kept) == 3
    records = [request.as_record() for request in kept]
    texts = [json.dumps(records, default=str), path.read_text(), repr(world.core.world.events)]
    texts += [repr(call.headers) + repr(call.fields) for call in calls]
    for key in (KEY, NO_KEY, OTHER_KEY):
        assert not [text for text in texts if key in text]
    assert [record.get("tenant") for record in records] == [TENANT, None, None]


def test_an_exception_while_a_request_is_sent_logs_no_key():
    world = KeyedRouter(prefills=0, routes=(route("kept", max_attempts=1),))

    def fail(*words, **more):
        raise ValueError(words)

    world.node.ports.network.open = fail
    world.ask(KEY)
    faults = [event for event in world.core.world.events if event[2] == 1005]
    assert faults and KEY not in repr(faults)
