"""Clients that disconnect: half a second later no runner works on their requests.

Guards against prefills, KV cache handles and streams that go on without a client.
"""

from itertools import product

import pytest

from linkhaven.pairing import Decision, PlacementPolicy
from linkhaven.router import RouterNode
from linkhaven.router import request as states
from linkhaven.stage.fleet import LICENSING, SECOND, SimFleet

HALF_A_SECOND = 500_000
MILLISECOND = 1_000
KIND = "seat-question"


def started(seed):
    fleet = SimFleet(LICENSING, seed).start()
    fleet.world.run_for(SECOND)
    return fleet


def node_address(fleet):
    return fleet.routers["edge-1"].address


def router_of(fleet, asked):
    return next(host.node for host in fleet.routers.values() if host.address == asked.router)


def jobs_at_runners(fleet, asked):
    """Return jobs and KV cache handles that runners still have for the request."""
    found = []
    for host in fleet.runners.values():
        node = host.node
        reads = [job for job, _ in node.reads]
        for job in (*reads, *node.streams, *node.waiting):
            if not job.is_gone and asked.id in job.ask.get("prompt", ""):
                found.append((host.name, "job"))
        for handle, held in node.handles.items():
            if asked.request and asked.request in str(held):
                found.append((host.name, f"handle {handle}"))
    return found


DELAYS_MS = (5, 40, 120, 260, 700, 1_200)


def test_a_request_of_a_disconnected_client_is_cancelled_at_its_runner():
    """The client disconnects during prefill, hand-over or stream."""
    places = set()
    for seed, delay_ms in product(range(61, 64), DELAYS_MS):
        fleet = started(seed)
        asked = fleet.ask(KIND, [node_address(fleet)], tokens=3_000, answer=380)
        fleet.world.run_for(delay_ms * MILLISECOND)
        node = router_of(fleet, asked)
        places.update(request.state for request in node.requests.rows())
        if asked.status == 200 and jobs_at_runners(fleet, asked):
            places.add("streaming")
        fleet.caller.node.hang_up(asked)
        fleet.world.run_for(HALF_A_SECOND)
        assert not jobs_at_runners(fleet, asked), (seed, delay_ms)
        assert not node.requests, (seed, delay_ms)
    assert places >= {states.READING, states.DECODING, "streaming"}


def test_a_runner_works_on_where_the_disconnect_is_not_noticed(monkeypatch):
    """Sabotage: the router ignores the disconnect, and the check above would fail."""
    monkeypatch.setattr(RouterNode, "_on_client_disconnect", lambda self, request: None)
    fleet = started(61)
    asked = fleet.ask(KIND, [fleet.routers["edge-1"].address], tokens=3_000, answer=380)
    fleet.world.run_for(400 * MILLISECOND)
    fleet.caller.node.hang_up(asked)
    fleet.world.run_for(HALF_A_SECOND)
    assert jobs_at_runners(fleet, asked)


@pytest.mark.parametrize("seed", range(61, 64))
def test_a_queued_request_of_a_disconnected_client_reaches_no_runner(seed, monkeypatch):
    """The request is queued without room at a runner; it must not be sent once there is room."""
    fleet = started(seed)
    node = fleet.routers["edge-1"].node
    with monkeypatch.context() as patch:
        nothing = Decision([], None)
        patch.setattr(PlacementPolicy, "choose", lambda self, *words, **facts: nothing)
        asked = fleet.ask(KIND, [node_address(fleet)], tokens=400, answer=50)
        fleet.world.run_for(100 * MILLISECOND)
        assert [request.state for request in node.requests.rows()] == [states.QUEUED]
        fleet.caller.node.hang_up(asked)
        fleet.world.run_for(100 * MILLISECOND)
        assert not node.requests
    fleet.world.run_for(2 * SECOND)
    offered = [facts for _, kind, facts in fleet.world.record if kind == "offered"]
    assert asked.id not in [facts["asked"] for facts in offered]
