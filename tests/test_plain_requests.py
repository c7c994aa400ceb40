"""Requests without a prompt go to a decode runner at once, on the first try and on retries."""

import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "platform"))

import linkhaven  # noqa: E402

if hasattr(linkhaven.__path__, "append"):
    linkhaven.__path__.append(str(ROOT / "platform" / "linkhaven"))

from linkhaven.api import ServiceError  # noqa: E402
from linkhaven.configuration import RequestKind  # noqa: E402
from linkhaven.pairing import NO_BOUND_US  # noqa: E402
from linkhaven.platform.callers import PlatformCallers  # noqa: E402
from linkhaven.router.attempts import Attempts  # noqa: E402
from linkhaven.router.request import PARKED, Request  # noqa: E402


class PlacementPolicy:
    """A stand-in with a prefill runner, which would get every prefill, and a decode runner."""

    def __init__(self):
        self.prefills = []
        self.load = SimpleNamespace(prefill_wait_us=lambda runner: 0)

    def choose_decode(self, without=(), source=None, tokens=0, pool=None):
        return SimpleNamespace(name="decode-1", phase="decode")

    def begin_prefill(self, runner, attempt, work):
        self.prefills.append(runner.name)

    def begin_decode(self, runner, attempt, tokens):
        pass


class RunnerClient:
    prefill_counts_as_begun = False

    def __init__(self):
        self.sent = []

    def decode(self, runner, request, handle, handler):
        self.sent.append((runner.name, handle))


def make_attempts():
    node = SimpleNamespace(
        now_us=lambda: 5,
        may_start=lambda: True,
        tick_handlers=[],
        bounds=SimpleNamespace(hold_share=0.2),
        ports=SimpleNamespace(log=lambda *arguments, **facts: None),
    )
    extra = SimpleNamespace(spend=lambda why, *part, **cost: True)
    return Attempts(node, PlacementPolicy(), RunnerClient(), SimpleNamespace(), extra)


def make_request(**headers):
    headers_sent = {name.replace("_", "-"): value for name, value in headers.items()}
    call = SimpleNamespace(
        method="GET", path="/a/x", fields=[], body=b"", headers=headers_sent, is_begun=False
    )
    request = Request("r-1", call, 0)
    PlatformCallers().read(request)
    request.deadline_us = 1_000_000
    request.kind = RequestKind(
        group="g",
        ttft_us=1_000_000,
        tpot_us=NO_BOUND_US,
        deadline_us=1_000_000,
        max_attempts=2,
    )
    return request


@pytest.mark.parametrize(
    "headers, tokens", [({}, 0), ({"token_usage": "0,4"}, 1), ({"token_usage": "1460,80"}, 1460)]
)
def test_only_a_request_with_prompt_tokens_has_a_prompt_to_prefill(headers, tokens):
    assert make_request(**headers).prompt_tokens == tokens


def test_a_request_without_a_prompt_goes_to_a_decode_runner_at_once():
    attempts, request = make_attempts(), make_request()
    assert attempts.begin(request)
    assert attempts.runner_client.sent == [("decode-1", None)] and attempts.placement.prefills == []
    assert request.has_begun


def test_a_request_without_a_prompt_is_retried_without_a_prefill():
    attempts, request = make_attempts(), make_request()
    attempts.begin(request)
    request.state = PARKED
    attempts._retry(request, ServiceError("runner_lost"))
    assert (
        attempts.runner_client.sent == [("decode-1", None)] * 2
        and attempts.placement.prefills == []
    )
