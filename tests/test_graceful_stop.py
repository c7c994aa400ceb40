"""A process that stops sends what its connections hold, and ends in time whatever its peers do.

Guards against answers of requests that ran and are cut off by the router's own exit.
"""

import pytest
from connections_world import MS, Caller, CallerRequest

from linkhaven.wire.graceful_stop import LEAST_SENDING_US, SEND_MARGIN_US, GracefulStop, StopState

SECOND = 1_000_000
WINDOW_BYTES = 8_192
ANSWER_BYTES = 400_000
FULL_PACE = 300_000
"""Bytes a second that a caller reads; a full answer takes 1.3 s."""


class SlowCaller(Caller):
    """A caller with a small window, which reads at its own pace."""

    def __init__(self, world, bytes_per_s):
        super().__init__(world)
        self.end.receive_window = WINDOW_BYTES
        self.bytes_per_s = bytes_per_s
        self.read_us = world.clock.us

    def read(self):
        if self.is_over:
            return
        room = self.bytes_per_s * (self.world.clock.us - self.read_us) // SECOND
        if not room:
            return
        self.read_us = self.world.clock.us
        while room and self.end.rx:
            data = self.end.recv(room)
            room -= len(data)
            self._take(data)
            self.world.poller.turn(0)
        if not self.end.rx and (self.end.is_reset or self.end.is_eof):
            self._close()


class Process:
    """The router of a world, with the stop of its process."""

    def __init__(self, world, servers=None):
        self.world = world
        self.events = []
        self.stopped_us = None
        self.started_us = None
        self.graceful_stop = GracefulStop(
            world.node,
            lambda: [world.server] if servers is None else servers,
            world.clock,
            lambda number, **facts: self.events.append((number, facts)),
            self._on_stopped,
        )

    def _on_stopped(self):
        """End as a process does: the kernel closes its sockets, unsent bytes are gone."""
        self.stopped_us = self.world.clock.us
        for connection in list(self.world.server.connections):
            connection.close()

    def begin(self):
        self.started_us = self.world.clock.us
        self.graceful_stop.begin()
        self.world.server.is_closing = True

    def took_us(self):
        return self.stopped_us - self.started_us


def ask(world, bytes_per_s, size=ANSWER_BYTES):
    """Send a request that a runner answers at once, and return it; its caller reads at a pace."""
    caller = SlowCaller(world, bytes_per_s)
    world.callers.append(caller)
    id = f"r-{len(world.checker.caller_requests)}"
    request = world.checker.caller_requests[id] = CallerRequest(id, "safe", b"", 0, False)
    request.path = "/safe/x"
    caller.send_request(request, False)
    world.settle()
    for runner in world.runners:
        for arrival in runner.unanswered:
            arrival.connection.send(world.answer(arrival, 200, b"d" * size))
        runner.unanswered.clear()
    world.settle()
    return request


# A router ended 0.2 s after its last request was answered, and dropped what was not sent yet.
@pytest.mark.parametrize("share_of_pace", [1, 5])
def test_an_answer_on_its_way_to_a_slow_reader_comes_whole(world, share_of_pace):
    request = ask(world, FULL_PACE // share_of_pace)
    process = Process(world)
    process.begin()
    world.run_for(world.node.bounds.drain_us)
    assert (request.outcome, len(request.data)) == ("whole", ANSWER_BYTES)
    assert process.events == [] and process.graceful_stop.state is StopState.STOPPED
    needed_us = ANSWER_BYTES * share_of_pace * SECOND // FULL_PACE
    assert process.took_us() < max(needed_us, world.node.bounds.linger_us) + SECOND


def test_sabotage_without_waiting_for_connections_the_answer_is_cut_off(world):
    request = ask(world, FULL_PACE // 5)
    process = Process(world, servers=[])
    process.begin()
    world.run_for(world.node.bounds.drain_us)
    assert request.outcome == "cut" and len(request.data) < ANSWER_BYTES


def test_a_hundred_slow_readers_get_their_whole_answers(world):
    requests = [ask(world, FULL_PACE // 5 + number, 60_000) for number in range(100)]
    process = Process(world)
    process.begin()
    world.run_for(world.node.bounds.drain_us)
    assert [request.outcome for request in requests] == ["whole"] * 100
    assert process.events == [] and process.graceful_stop.state is StopState.STOPPED


def test_a_reader_that_stops_holds_the_process_up_no_longer_than_its_time(world):
    stuck, served = ask(world, 0), ask(world, FULL_PACE)
    process = Process(world)
    process.begin()
    world.run_for(world.node.bounds.drain_us + SECOND)
    assert process.took_us() <= world.node.bounds.drain_us + SEND_MARGIN_US + 100 * MS
    assert (served.outcome, stuck.outcome) == ("whole", None)
    ((number, facts),) = process.events
    assert (number, facts["connections"]) == (1008, 1)
    assert 0 < facts["unsent_bytes"] <= ANSWER_BYTES + 1_000


def test_a_reader_that_leaves_is_waited_for_no_longer(world):
    ask(world, 0)
    process = Process(world)
    process.begin()
    world.run_for(3 * SECOND)
    assert process.graceful_stop.state is StopState.SENDING
    world.callers[0].disconnect(True)
    world.run_for(SECOND)
    assert process.graceful_stop.state is StopState.STOPPED and process.events == []


class DrainedNode:
    """A node that has nothing to drain, as a controller without leases."""

    def __init__(self, bounds):
        self.bounds = bounds

    def drain(self, on_drained):
        on_drained()


def test_a_call_that_is_not_answered_yet_is_waited_for(world):
    calls = []
    world.server.on_call = calls.append
    request = ask(world, FULL_PACE)
    stopped = []
    GracefulStop(
        DrainedNode(world.node.bounds),
        lambda: [world.server],
        world.clock,
        lambda number, **facts: None,
        lambda: stopped.append(world.clock.us),
    ).begin()
    world.run_for(SECOND)
    assert not stopped and request.outcome is None
    calls[0].answer_json(503, {})
    answered_us = world.clock.us
    world.run_for(SECOND)
    assert (request.status, request.outcome) == (503, "whole")
    assert answered_us < stopped[0] < answered_us + SECOND


def test_without_anything_unsent_the_process_stops_soon_after_its_node_has_drained(world):
    request = ask(world, 100 * FULL_PACE, 100)
    world.run_for(100 * MS)
    assert request.outcome == "whole"
    process = Process(world)
    process.begin()
    world.run_for(world.node.bounds.linger_us + LEAST_SENDING_US + 200 * MS)
    assert process.graceful_stop.state is StopState.STOPPED


def test_requests_that_come_while_answers_are_sent_hold_the_process_up_no_longer(world):
    ask(world, FULL_PACE // 3)
    process = Process(world)
    process.begin()
    world.run_for(world.node.bounds.linger_us + 100 * MS)
    late = []
    while process.stopped_us is None and process.world.clock.us < process.started_us + 9 * SECOND:
        late.append(ask(world, 100 * FULL_PACE, 10))
        world.run_for(50 * MS)
    assert process.took_us() < 5 * SECOND
    assert {request.status for request in late if request.outcome == "whole"} == {503}


# A response that closes its connection was cut off after the idle limit, though it made progress.
@pytest.mark.parametrize("closes", [False, True])
def test_a_response_in_progress_is_not_cut_off_by_the_idle_limit(world, closes):
    world.server.is_closing = closes
    idle_us = world.server.limits.idle_us
    bytes_per_s = ANSWER_BYTES * SECOND // (2 * idle_us)
    request = ask(world, bytes_per_s)
    world.run_for(2 * idle_us + 2 * SECOND)
    assert (request.outcome, len(request.data)) == ("whole", ANSWER_BYTES)


def test_a_response_without_progress_is_cut_off_at_the_idle_limit(world):
    world.server.is_closing = True
    ask(world, 0)
    world.run_for(world.server.limits.idle_us - SECOND)
    assert world.server.connections
    world.run_for(2 * SECOND)
    assert not world.server.connections
