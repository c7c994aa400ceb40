"""The memory of a router doesn't follow the number or the size of its requests.

Guards against processes that grow until the platform ends them for their memory, with the requests
under way. The requests pass the real HTTP server, router, runner client and connection pools.
"""

import gc
import tracemalloc
from collections import Counter
from contextlib import contextmanager

import pytest
from connections_world import MS, Caller, CallerRequest

from linkhaven.router.explain import MAX_RECORDS, MAX_RECORDS_BYTES

REQUESTS = 60
WARM_UP = 20
BODY_BYTES = 72_000
KEPT_BYTES = 4_000
"""Most memory of an ended request that is still explained."""


def answer(world, request):
    """Have the runner answer at once."""
    respond(world, lambda arrival: world.answer(arrival, 200, b"ok"))


def answer_by_stream(world, request):
    """Have the runner answer with a whole stream."""
    respond(
        world,
        lambda arrival: (
            world.stream_head(
                request,
                Transfer_Encoding=None,
                Content_Length=str(len(b"".join(request.events(0)))),
            )
            + b"".join(request.events(0))
        ),
    )


def fail_once(world, request):
    """Have the first runner answer with an error, and the next one with success."""
    respond(world, lambda arrival: world.answer(arrival, 500, b"fault"))
    answer(world, request)


def reset_once(world, request):
    """Have the first runner reset the connection, and the next one answer."""
    for runner in world.runners:
        for arrival in list(runner.unanswered):
            runner.disconnect(arrival.connection, by_reset=True)
    world.settle()
    answer(world, request)


def leave(world, request):
    """Have the client close its connection while the runner works."""
    world.callers[-1].disconnect(True)
    world.settle()


def respond(world, make_response):
    for runner in world.runners:
        arrivals, runner.unanswered = runner.unanswered, []
        for arrival in arrivals:
            arrival.connection.send(make_response(arrival))
    world.settle()


def send(world, kind, path, keeps_connection):
    if not world.callers or world.callers[-1].is_over or not keeps_connection:
        for caller in world.callers:
            if not caller.is_over:
                caller.disconnect(False)
        world.callers[:] = [Caller(world)]
    request = CallerRequest("r-1", kind, b"x" * BODY_BYTES, 0, False)
    request.path = path
    world.checker.caller_requests[request.id] = request
    world.callers[-1].send_request(request, False)
    world.settle()
    return request


def run(world, count, kind="safe", path="/safe/x", serve=answer, keeps_connection=True):
    """Send requests one after another, and forget on the test's side what came of them."""
    for _ in range(count):
        request = send(world, kind, path, keeps_connection)
        serve(world, request)
        world.clock.us += 20 * MS
        world.settle()
        assert request.outcome is not None
        request.arrivals.clear()
        world.checker.caller_requests.clear()
        world.checker.seals.clear()
    assert not world.node.requests


@contextmanager
def found_garbage():
    """Collect the names of our own types whose objects only the garbage collector frees."""
    found = Counter()
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        yield found
        gc.collect()
        names = [f"{type(each).__module__}.{type(each).__name__}" for each in gc.garbage]
        found.update(name for name in names if name.startswith("linkhaven."))
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


# Each ended request was a cycle with its call and its runner's response: its body stayed until the
# oldest generation was collected, which happens after millions of allocations.
@pytest.mark.parametrize("keeps_connection", [True, False])
@pytest.mark.parametrize(
    "kind, serve",
    [
        ("safe", answer),
        ("once", answer),
        ("safe", fail_once),
        ("safe", reset_once),
        ("safe", leave),
        ("single", answer_by_stream),
        ("resumable", answer_by_stream),
    ],
)
def test_an_ended_request_is_freed_without_the_garbage_collector(
    world, kind, serve, keeps_connection
):
    scenario = {
        "kind": kind,
        "path": f"/{kind}/x",
        "serve": serve,
        "keeps_connection": keeps_connection,
    }
    run(world, WARM_UP, **scenario)
    with found_garbage() as found:
        run(world, REQUESTS, **scenario)
    assert found == {}


# The records of the last 2,000 requests held their calls, and with them the whole bodies.
def test_the_record_of_an_ended_request_holds_nothing_of_its_body(world):
    run(world, WARM_UP)
    tracemalloc.start()
    try:
        run(world, REQUESTS)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < REQUESTS * KEPT_BYTES
    record = list(world.node.explainer.ended.values())[-1].as_record()
    assert record["outcome"] == "status 200" and record["steps"][-1]["step"] == "status 200"


def test_the_records_of_ended_requests_are_bounded_in_number_and_in_bytes(world):
    explainer = world.node.explainer
    assert explainer.ended.maxsize == MAX_RECORDS_BYTES
    run(world, WARM_UP)
    assert len(explainer.ended) == WARM_UP
    assert explainer.ended.currsize == WARM_UP * MAX_RECORDS_BYTES // MAX_RECORDS
    largest = next(iter(explainer.ended.values()))
    largest.caller_request_id = "i" * (MAX_RECORDS_BYTES // 2)
    explainer.ended["large"] = explainer.ended["larger"] = largest
    assert set(explainer.ended) == {"larger"}
