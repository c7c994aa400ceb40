"""Idle connections of callers and their time-outs.

Guards against closing a connection with a request on it, for example after the process was
suspended, and against closing an idle connection before the limit its caller relies on.
"""

from connections_world import MS, Caller, CallerRequest

from linkhaven.wire import ServerLimits

FOUR_FIFTHS_OF_15_S = 12_000


def connect_caller(world):
    caller = Caller(world)
    world.callers.append(caller)
    return caller


def send_and_answer(world, caller, id, body=b"ok"):
    """Send a request that its runner answers at once."""
    request = world.checker.caller_requests[id] = CallerRequest(id, "safe", b"", 0, False)
    caller.send_request(request, False)
    world.settle()
    for runner in world.runners:
        for arrival in runner.unanswered:
            arrival.connection.send(world.answer(arrival, 200, body))
        runner.unanswered.clear()
    world.settle()
    return request


def idle_caller(world, duration_ms):
    caller = connect_caller(world)
    assert send_and_answer(world, caller, "r-1").outcome == "whole"
    world.run_for(duration_ms * MS)
    return caller


def test_a_request_received_while_the_process_was_suspended_is_not_lost(world):
    caller = idle_caller(world, 11_000)
    world.clock.us += 5_000 * MS
    assert send_and_answer(world, caller, "r-2").outcome == "whole"


def test_the_rest_of_a_head_received_while_the_process_was_suspended_is_read(world):
    caller = connect_caller(world)
    request = world.checker.caller_requests["r-1"] = CallerRequest("r-1", "safe", b"", 0, False)
    data = request.write(False)
    caller.waiting.append(request)
    caller.end.send(data[:20])
    world.settle()
    world.clock.us += 4_000 * MS
    caller.end.send(data[20:])
    world.settle()
    assert request.outcome is None and len(request.arrivals) == 1


def test_a_shorter_limit_does_not_apply_to_a_connection_that_is_idle_already(world):
    caller = idle_caller(world, 1_000)
    world.server.limits = ServerLimits(idle_us=3_000 * MS)
    world.run_for((FOUR_FIFTHS_OF_15_S - 1_000) * MS)
    assert send_and_answer(world, caller, "r-2").outcome == "whole"
    world.run_for(4_000 * MS)
    assert caller.is_over and not world.server.connections


def test_a_longer_limit_applies_to_a_connection_that_is_idle_already(world):
    caller = idle_caller(world, 1_000)
    world.server.limits = ServerLimits(idle_us=30_000 * MS)
    world.run_for(23_000 * MS)
    assert send_and_answer(world, caller, "r-2").outcome == "whole"


def test_a_response_that_is_read_slowly_is_not_aborted(world):
    caller = connect_caller(world)
    caller.end.receive_window = 100
    read, caller.read = caller.read, lambda: None
    request = send_and_answer(world, caller, "r-1", b"x" * 3_000)
    for _ in range(40):
        world.run_for(700 * MS)
        read()
    assert request.outcome == "whole"


def test_a_response_that_nobody_reads_is_aborted(world):
    caller = connect_caller(world)
    caller.end.receive_window = 100
    caller.read = lambda: None
    send_and_answer(world, caller, "r-1", b"x" * 3_000)
    world.run_for(16_000 * MS)
    assert not world.server.connections


def test_a_connection_with_a_request_on_it_is_not_evicted(world):
    world.server.limits = ServerLimits(connections=2)
    older, newer = idle_caller(world, 100), connect_caller(world)
    world.settle()
    request = world.checker.caller_requests["r-2"] = CallerRequest("r-2", "safe", b"", 0, False)
    world.net.is_reversed = False
    connect_caller(world)
    older.send_request(request, False)
    world.settle()
    assert not older.is_over and newer.is_over
