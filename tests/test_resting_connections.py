"""Connections of callers that rest: none is closed with a request on it, or before its time."""

import pytest
from connections_world import MS, Caller, CallerRequest, World

from linkhaven.wire import ServerLimits, listener, tcp_connection

FOUR_FIFTHS_OF_15_S = 12_000


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(tcp_connection, "socket", tcp_connection.socket)
    monkeypatch.setattr(listener, "socket", listener.socket)
    world = World()
    world.settle()
    yield world
    world.close()


def call_in(world):
    caller = Caller(world)
    world.callers.append(caller)
    return caller


def ask(world, caller, id, body=b"ok"):
    """A request that its runner answers at once."""
    request = world.checker.caller_requests[id] = CallerRequest(id, "safe", b"", 0, False)
    caller.send_request(request, False)
    world.settle()
    for runner in world.runners:
        for arrival in runner.unanswered:
            arrival.connection.send(world.answer(arrival, 200, body))
        runner.unanswered.clear()
    world.settle()
    return request


def rested(world, span_ms):
    caller = call_in(world)
    assert ask(world, caller, "r-1").outcome == "whole"
    world.run_for(span_ms * MS)
    return caller


def test_a_request_that_came_while_the_process_stood_still_is_not_lost(world):
    caller = rested(world, 11_000)
    world.clock.us += 5_000 * MS
    assert ask(world, caller, "r-2").outcome == "whole"


def test_the_rest_of_a_head_that_came_while_the_process_stood_still_is_read(world):
    caller = call_in(world)
    request = world.checker.caller_requests["r-1"] = CallerRequest("r-1", "safe", b"", 0, False)
    data = request.write(False)
    caller.waiting.append(request)
    caller.end.send(data[:20])
    world.settle()
    world.clock.us += 4_000 * MS
    caller.end.send(data[20:])
    world.settle()
    assert request.outcome is None and len(request.arrivals) == 1


def test_a_shorter_limit_does_not_bind_a_connection_that_rests_already(world):
    caller = rested(world, 1_000)
    world.server.limits = ServerLimits(idle_us=3_000 * MS)
    world.run_for((FOUR_FIFTHS_OF_15_S - 1_000) * MS)
    assert ask(world, caller, "r-2").outcome == "whole"
    world.run_for(4_000 * MS)
    assert caller.is_over and not world.server.connections


def test_a_longer_limit_binds_a_connection_that_rests_already(world):
    caller = rested(world, 1_000)
    world.server.limits = ServerLimits(idle_us=30_000 * MS)
    world.run_for(23_000 * MS)
    assert ask(world, caller, "r-2").outcome == "whole"


def test_an_answer_that_its_caller_reads_slowly_is_not_cut(world):
    caller = call_in(world)
    caller.end.receive_window = 100
    read, caller.read = caller.read, lambda: None
    request = ask(world, caller, "r-1", b"x" * 3_000)
    for _ in range(40):
        world.run_for(700 * MS)
        read()
    assert request.outcome == "whole"


def test_an_answer_that_nobody_reads_is_let_go(world):
    caller = call_in(world)
    caller.end.receive_window = 100
    caller.read = lambda: None
    ask(world, caller, "r-1", b"x" * 3_000)
    world.run_for(16_000 * MS)
    assert not world.server.connections


def test_a_connection_with_a_request_on_it_is_not_the_one_that_gives_way(world):
    world.server.limits = ServerLimits(connections=2)
    older, newer = rested(world, 100), call_in(world)
    world.settle()
    request = world.checker.caller_requests["r-2"] = CallerRequest("r-2", "safe", b"", 0, False)
    world.net.is_reversed = False
    call_in(world)
    older.send_request(request, False)
    world.settle()
    assert not older.is_over and newer.is_over
