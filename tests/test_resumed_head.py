"""Status and headers of a stream that is resumed or retried.

Guards against a client that gets no head, or the head of another run than the one it reads.
"""

from types import SimpleNamespace

import pytest

from linkhaven.router.relay import Relay
from linkhaven.router.request import DECODING, Request

FIRST, SECOND = (200, {"seal": "first"}), (200, {"seal": "second"})


def relay_of(request, attempt):
    request.state, request.attempt, request.runner_call = (
        DECODING,
        attempt,
        SimpleNamespace(abandon=lambda: None),
    )
    roster = SimpleNamespace(note_alive=lambda runner: None)
    attempts = SimpleNamespace(
        node=SimpleNamespace(now_us=lambda: 5),
        placement=None,
        roster=roster,
        runner_client=SimpleNamespace(allows_run_change=True),
    )
    return Relay(attempts, request, "runner")


def asked():
    return Request("r-1", SimpleNamespace(is_begun=False), 0)


def test_a_stream_that_the_client_resumes_has_the_head_of_the_continued_run():
    request = asked()
    request.run, request.written = request.resume = ("r-1/resumed", 12)
    relay_of(request, "r-1/1").on_begin("r-1/1", 12, FIRST)
    assert request.head == FIRST
    assert request.run == "r-1/resumed"


@pytest.mark.parametrize("has_begun, head", [(False, SECOND), (True, FIRST)])
def test_a_second_run_changes_the_head_only_before_the_client_got_one(has_begun, head):
    request = asked()
    relay_of(request, "r-1/1").on_begin("r-1/1", 0, FIRST)
    request.call.is_begun = has_begun
    relay_of(request, "r-1/2").on_begin("r-1/2", 0, SECOND)
    assert request.head == head
