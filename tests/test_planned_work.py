"""Planned operations at one router: a stop, and configurations that add and remove routes.

Guards against requests that are refused or denied though they could be served.
"""

import pytest
from connections_world import HOST, MS, ROUTES, Caller, CallerRequest, RuleBrokenError
from msgspec.structs import replace

from linkhaven.platform.translation import translate_configuration
from linkhaven.router.doors import RouteTable

LINGER_MS = 2_400


def send(world, path, caller=None):
    if caller is None:
        caller = Caller(world)
        world.callers.append(caller)
    id = f"r-{len(world.checker.caller_requests)}"
    asked = world.checker.caller_requests[id] = CallerRequest(id, "safe", b"", 0, False)
    asked.path = path
    caller.send_request(asked, False)
    world.settle()
    return asked


def serve(world):
    """Let the runners answer all requests that they have."""
    for runner in world.runners:
        for arrival in runner.unanswered:
            arrival.connection.send(world.answer(arrival, 200, b"ok"))
        runner.unanswered.clear()
    world.settle()


def status_of(world, path, caller=None):
    asked = send(world, path, caller)
    serve(world)
    return asked.status


def check_denied(world, path):
    """Assert a 404, which the checker counts as a valid request that was denied."""
    with pytest.raises(RuleBrokenError, match="DENIED: 404"):
        send(world, path)
    world.callers.pop()


def stop(world):
    drained = []
    world.node.drain(lambda: drained.append(True))
    world.server.is_closing = True
    return drained


@pytest.mark.parametrize("is_old", [True, False])
def test_a_stopping_router_serves_clients_that_do_not_know_yet(world, is_old):
    caller = Caller(world)
    world.callers.append(caller)
    assert status_of(world, "/safe/x", caller) == 200
    drained = stop(world)
    assert not world.node.is_ready()
    world.run_for(LINGER_MS * MS)
    assert status_of(world, "/safe/x", caller if is_old else None) == 200
    assert not drained


def test_without_lingering_a_stopping_router_refuses_requests(world):
    world.node.bounds = replace(world.node.bounds, linger_us=0)
    stop(world)
    assert status_of(world, "/safe/x") == 503


def test_requests_that_run_when_lingering_ends_are_completed(world):
    asked = send(world, "/safe/x")
    drained = stop(world)
    world.run_for(3_500 * MS)
    assert asked.status is None and not drained
    assert status_of(world, "/safe/y") == 503
    serve(world)
    assert asked.status == 200 and asked.outcome == "whole"
    world.run_for(100 * MS)
    assert drained


def plan_with(world, mark, *kinds):
    """Apply a configuration as just confirmed by a majority; only then may a 404 be answered."""
    routes = [
        {
            "name": f"r-{kind}",
            "hostname": HOST,
            "path_prefix": f"/{kind}/",
            "timeout_ms": 4000,
            "target_service": "pool-1",
            **ROUTES["safe"],
        }
        for kind in kinds
    ]
    service = {"name": "pool-1", "health_path": "/health", "max_connections": 360}
    document = {"revision": mark, "route_rules": routes, "services": [service]}
    world.node.snapshot.take({"mark": mark, "plan": translate_configuration(document, 0.2, 50)})
    # A router that can't be sure to have the newest version answers 503 instead of 404.
    world.node.watcher.confirmation.confirmed_us = world.clock.us


def test_a_route_that_is_added_later_is_served_as_the_first_ones_are(world):
    served = {"first": 0, "later": 0}
    plan_with(world, 2, "first")
    check_denied(world, "/later/x")
    plan_with(world, 3, "first", "later")
    for _ in range(20):
        for kind in served:
            served[kind] += status_of(world, f"/{kind}/x") == 200
    assert served == {"first": 20, "later": 20}


def test_with_the_route_table_of_the_first_version_a_later_route_is_denied(world, monkeypatch):
    monkeypatch.setattr(RouteTable, "apply_configuration", lambda self, plan: None)
    plan_with(world, 2, "safe", "later")
    assert status_of(world, "/safe/x") == 200
    check_denied(world, "/later/x")


def test_no_valid_request_is_denied_while_configurations_change(world):
    """The router answers 4xx other than 408, 421 and 429 only for routes of no configuration."""
    caller = Caller(world)
    world.callers.append(caller)
    for mark in range(2, 12):
        plan_with(world, mark, "kept", *(["come", "gone"] if mark % 2 else ["other"]))
        assert status_of(world, "/kept/x", caller) == 200
        assert status_of(world, "/kept/x?a=%2f&b") == 200
    check_denied(world, "/never/x")


@pytest.mark.parametrize("is_behind", [True, False])
def test_a_router_without_a_configuration_denies_nothing(world, is_behind):
    world.node.snapshot.configuration = None
    world.node.snapshot.highest_version = 7 if is_behind else 0
    world.node.watcher.confirmation.confirmed_us = world.clock.us
    assert status_of(world, "/safe/x") == 503


def test_no_request_is_held_past_its_routes_timeout(world):
    """A request may end 250 ms after timeout_ms at most, at a silent runner or a full one."""
    asked = send(world, "/safe/x")
    world.run_for(3_900 * MS)
    assert asked.outcome is None
    world.run_for(200 * MS)
    assert asked.status == 502 and asked.outcome == "whole"


def test_no_stream_is_held_past_its_routes_timeout(world):
    asked = send(world, "/resumable/x")
    asked.kind = "resumable"
    (arrival,) = [arrival for runner in world.runners for arrival in runner.unanswered]
    arrival.connection.send(world.stream_head(asked))
    event = asked.events(0, 1)[0]
    arrival.connection.send(b"%x\r\n%b\r\n" % (len(event), event))
    world.run_for(3_900 * MS)
    assert asked.data and asked.outcome is None
    world.run_for(200 * MS)
    assert asked.outcome == "cut"
