"""Revoked API keys: what happens to requests of the key in each state.

Guards against waiting requests that are sent under a revoked key or the wrong tenant, and against
the revocation breaking work that runs already.
"""

import pytest
from keyed_router import KEY, NO_KEY, SECOND, TENANTS, KeyedRouter
from test_wire import LoopHarness, ReceivedBytes, read_responses

from linkhaven.platform import names
from linkhaven.router import request as states

REVOKED = ({"name": "t-1", "api_keys": []}, TENANTS[1])


def queued_request(world, key=KEY):
    """Send a request that stays queued, since no runner is open."""
    for runner in world.node.roster.runners.values():
        runner.is_switching = True
    call = world.ask(key)
    (request,) = world.node.requests.rows()
    assert request.state == states.QUEUED
    return call


def test_the_next_request_on_an_open_connection_is_refused_and_the_connection_stays():
    world, bench = KeyedRouter(prefills=0), LoopHarness()

    def serve(call):
        world.node.serve_request(call)
        for sent in world.sent:
            if sent.method == "POST" and not call.is_ended:
                sent.answer(200, b"ok")

    def ask(key):
        head = f"POST /kept/x HTTP/1.1\r\nHost: desk.example\r\nApi-Key: {key}\r\n"
        connection.sendall(head.encode() + b"Content-Length: 0\r\n\r\n")
        before = len(told.data)
        bench.run_until(lambda: told.poll() or b"\r\n\r\n" in told.data[before:])

    try:
        connection = bench.connect(bench.start_server(serve).address)
        told = ReceivedBytes(connection)
        ask(KEY)
        world.put([{"name": "t-1", "api_keys": ["key-new"]}, TENANTS[1]])
        ask(KEY)
        ask("key-new")
        answers = read_responses(told.data, (b"POST",) * 3)
    finally:
        bench.close()
    assert [status for status, _ in answers] == [200, 401, 200]
    assert not told.is_closed
    assert len(world.sent) == 2


def test_a_waiting_request_is_refused_and_never_sent():
    world = KeyedRouter()
    call = queued_request(world)
    world.put(REVOKED)
    assert (call.status, call.code()) == (401, "api_key_unknown")
    assert world.sent == []


def test_a_waiting_request_continues_under_the_new_tenant_of_its_key():
    world = KeyedRouter()
    queued_request(world)
    world.put([REVOKED[0], {"name": "t-2", "api_keys": [KEY]}], wait=False)
    world.run(60_000)
    world.list_runners()
    world.run(60_000)
    assert world.sent[0].headers[names.TENANT] == "t-2"


def test_a_waiting_request_continues_without_a_key_if_its_route_becomes_public():
    world = KeyedRouter()
    queued_request(world)
    world.put(REVOKED, [{**route, "public": True} for route in world.routes], wait=False)
    world.run(60_000)
    world.list_runners()
    world.run(60_000)
    assert names.TENANT not in world.sent[0].headers


def test_a_prompt_that_was_read_is_still_decoded():
    """The request was sent while the key was valid."""
    world = KeyedRouter()
    world.ask(KEY)
    world.put(REVOKED)
    world.sent[0].give_handle()
    decode = world.sent[1]
    assert decode.headers[names.TENANT] == "t-1"
    assert names.KV_SOURCE in decode.headers


def test_a_running_stream_continues():
    world = KeyedRouter(prefills=0)
    call = world.ask(KEY)
    world.sent[0].begin_stream(1)
    world.put(REVOKED)
    world.sent[0].handler.on_data(b"id: 2\ndata: x\n\n")
    world.sent[0].handler.on_end()
    assert (call.status, call.was_cut, call.is_ended) == (200, False, True)
    assert b"id: 2" in call.answer_body


def test_a_restarted_router_accepts_no_revoked_key():
    world = KeyedRouter()
    world.put(REVOKED)
    world.host.kill()
    world.start()
    for _ in range(20):
        world.run(50_000)
        call = world.ask(KEY, wait_us=0)
        assert call.status in (503, 401)
    assert call.status == 401
    assert world.sent == []


@pytest.mark.parametrize("seed", range(4))
def test_a_revocation_reaches_a_router_that_loses_a_third_of_its_messages(seed):
    world = KeyedRouter(seed)
    world.lose_messages(0.35)
    world.put(REVOKED, wait=False)
    world.run(2 * SECOND)
    assert world.ask(KEY).status == 401


def test_a_router_that_reaches_only_the_minority_of_a_core_cut_in_two_still_serves():
    world = KeyedRouter()
    minority, *majority = world.core.machines
    world.core.world.cut([minority, world.host.name], majority)
    world.put(REVOKED, wait=False, name=majority[0])
    world.run(3 * SECOND)
    assert world.ask(KEY).status is None
    assert world.ask(NO_KEY, id="r-2").code() == "api_key_unconfirmed"
    world.core.world.heal()
    world.run(SECOND)
    assert world.ask(KEY, id="r-3").code() == "api_key_unknown"


def test_a_waiting_request_needs_a_token_of_the_new_tenant_of_its_key():
    """The token that it had is given back to the former tenant."""
    limited = {"rate_per_s": 100, "burst_size": 10}
    world = KeyedRouter(tenants=[{"name": "t-1", "api_keys": [KEY], **limited}, TENANTS[1]])
    quotas = world.node.tenant_quotas
    queued_request(world)
    assert (quotas.counts.spent, quotas.counts.given_back) == (1, 0)
    moved = [{"name": "t-1", "api_keys": [], **limited}, {"name": "t-2", "api_keys": [KEY]}]
    world.put([moved[0], {**moved[1], **limited}], wait=False)
    world.run(60_000)
    world.list_runners()
    world.run(60_000)
    assert (quotas.counts.spent, quotas.counts.given_back) == (2, 1)
    assert world.sent[0].headers[names.TENANT] == "t-2"


def test_no_request_with_a_revoked_key_is_sent_while_others_are_refused():
    """Each refusal serves the queue again, so all requests must be judged before the first ends."""
    world = KeyedRouter()
    calls = [queued_request(world)]
    calls += [world.ask(KEY, id=f"r-{number}") for number in (2, 3)]

    def open_runners():
        for runner in world.node.roster.runners.values():
            runner.is_switching = False

    world.node.snapshot.change_listeners.insert(0, open_runners)
    world.put(REVOKED)
    assert [call.status for call in calls] == [401] * 3
    assert world.sent == []
