from types import SimpleNamespace

import pytest

from linkhaven.api import ServiceError
from linkhaven.configuration import RequestKind
from linkhaven.router.attempts import Attempts
from linkhaven.router.request import READING, Request

SECOND = 1_000_000


def failed_with(error):
    """What the roster and the pairing hear of a runner at which a read failed."""
    heard = []
    node = SimpleNamespace(
        now_us=lambda: 5,
        may_start=lambda: False,
        systems=[],
        ports=SimpleNamespace(log=lambda *told, **facts: None),
    )
    pairing = SimpleNamespace(
        end_prefill=lambda *told: None,
        end_decode=lambda *told: None,
        backoff=SimpleNamespace(note_turned_away=lambda runner: heard.append("turned away")),
    )
    roster = SimpleNamespace(
        note_unresponsive=lambda runner: heard.append("dark"),
        note_alive=lambda runner: heard.append("alive"),
    )
    request = Request("r-1", SimpleNamespace(is_begun=False), 0)
    request.kind = RequestKind("g", SECOND, SECOND, SECOND, is_idempotent=False)
    request.state, request.attempt = READING, "r-1/1"
    request.runner = runner = SimpleNamespace(name="runner-1", is_plain=lambda: False)
    attempts = Attempts(node, pairing, SimpleNamespace(prefill_counts_as_begun=False), roster, None)
    attempts.fail(request, runner, error, True)
    return heard, request


def test_a_runner_to_which_all_our_connections_are_busy_is_neither_dark_nor_alive():
    heard, request = failed_with(ServiceError("connections_taken", done="no"))
    assert heard == ["turned away"]
    assert not request.has_begun and request.state != "ended"


@pytest.mark.parametrize(
    "code, is_closed",
    [
        ("incarnation_other", True),
        ("runner_leaving", True),
        ("runner_full", False),
        ("phase_wrong", False),
    ],
)
def test_a_runner_of_which_another_start_answers_gets_no_more_work(code, is_closed):
    closed = []
    node = SimpleNamespace(
        now_us=lambda: 5,
        may_start=lambda: False,
        systems=[],
        ports=SimpleNamespace(log=lambda *told, **facts: None),
    )
    pairing = SimpleNamespace(
        end_prefill=lambda *told: None,
        end_decode=lambda *told: None,
        backoff=SimpleNamespace(eject=lambda runner: None, note_turned_away=lambda runner: None),
    )
    roster = SimpleNamespace(
        note_leaving=closed.append,
        note_unresponsive=lambda runner: None,
        note_alive=lambda runner: None,
    )
    request = Request("r-1", SimpleNamespace(is_begun=False), 0)
    request.kind = RequestKind("g", SECOND, SECOND, SECOND, is_idempotent=True)
    request.state, request.attempt = READING, "r-1/1"
    request.runner = runner = SimpleNamespace(name="runner-1", is_plain=lambda: False)
    Attempts(node, pairing, SimpleNamespace(prefill_counts_as_begun=False), roster, None).fail(
        request, runner, ServiceError(code, done="no"), True
    )
    assert closed == ([runner] if is_closed else [])
