"""What a failed attempt changes in the state of its runner.

Guards against a busy runner that is taken for an unresponsive one, and against further work for a
runner that is leaving or was restarted.
"""

from types import SimpleNamespace

import pytest

from linkhaven.api import ServiceError
from linkhaven.configuration import RequestKind
from linkhaven.router.attempts import Attempts
from linkhaven.router.request import READING, Request

SECOND = 1_000_000


def failed_with(error):
    """Fail a prefill with this error; return the reports on its runner, and the request."""
    reports = []
    node = SimpleNamespace(
        now_us=lambda: 5,
        may_start=lambda: False,
        tick_handlers=[],
        ports=SimpleNamespace(log=lambda *arguments, **facts: None),
    )
    placement = SimpleNamespace(
        end_prefill=lambda *arguments: None,
        end_decode=lambda *arguments: None,
        backoff=SimpleNamespace(note_turned_away=lambda runner: reports.append("was rejected")),
    )
    roster = SimpleNamespace(
        note_unresponsive=lambda runner: reports.append("dark"),
        note_alive=lambda runner: reports.append("alive"),
    )
    request = Request("r-1", SimpleNamespace(is_begun=False), 0)
    request.kind = RequestKind("g", SECOND, SECOND, SECOND, is_idempotent=False)
    request.state, request.attempt = READING, "r-1/1"
    request.runner = runner = SimpleNamespace(name="runner-1", is_plain=lambda: False)
    attempts = Attempts(
        node, placement, SimpleNamespace(prefill_counts_as_begun=False), roster, None
    )
    attempts.fail(request, runner, error, True)
    return reports, request


def test_a_runner_with_all_connections_busy_is_neither_unresponsive_nor_alive():
    reports, request = failed_with(ServiceError("connections_taken", done="no"))
    assert reports == ["was rejected"]
    assert not request.has_begun and request.state != "ended"


@pytest.mark.parametrize(
    "code, is_leaving",
    [
        ("incarnation_other", True),
        ("runner_leaving", True),
        ("runner_full", False),
        ("phase_wrong", False),
    ],
)
def test_a_leaving_or_restarted_runner_gets_no_more_work(code, is_leaving):
    reported_leaving = []
    node = SimpleNamespace(
        now_us=lambda: 5,
        may_start=lambda: False,
        tick_handlers=[],
        ports=SimpleNamespace(log=lambda *arguments, **facts: None),
    )
    placement = SimpleNamespace(
        end_prefill=lambda *arguments: None,
        end_decode=lambda *arguments: None,
        backoff=SimpleNamespace(eject=lambda runner: None, note_turned_away=lambda runner: None),
    )
    roster = SimpleNamespace(
        note_leaving=reported_leaving.append,
        note_unresponsive=lambda runner: None,
        note_alive=lambda runner: None,
    )
    request = Request("r-1", SimpleNamespace(is_begun=False), 0)
    request.kind = RequestKind("g", SECOND, SECOND, SECOND, is_idempotent=True)
    request.state, request.attempt = READING, "r-1/1"
    request.runner = runner = SimpleNamespace(name="runner-1", is_plain=lambda: False)
    Attempts(node, placement, SimpleNamespace(prefill_counts_as_begun=False), roster, None).fail(
        request, runner, ServiceError(code, done="no"), True
    )
    assert reported_leaving == ([runner] if is_leaving else [])
