"""Model-based test of the real HTTP server, router, runner adapter and pools.

It uses no sleeps and no sockets: `connections_world` simulates the kernel, the clock, the runners
and the callers, and checks what they observe. `test_a_disabled_safeguard_is_detected` disables one
safeguard at a time and expects the model to find a violated rule.
"""

import pytest
from connections_world import (
    EVENTS_PER_STREAM,
    MS,
    ROUTES,
    Caller,
    CallerRequest,
    RuleBrokenError,
    World,
)
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from linkhaven.platform import callers, runners
from linkhaven.router import attempts, node, request
from linkhaven.wire import (
    connection_pool,
    exchange,
    listener,
    server_call,
    server_connection,
    tcp_connection,
)

BOUNDED = settings(
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)
SEARCH = settings(BOUNDED, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False)

SEARCHES = 6
"""Number of searches, each with its own seed.

Hypothesis also draws constants from the modules that happen to be imported, so whether a single
search finds a disabled safeguard depends on what else its process has run. Several searches find
it whatever is imported."""

PICK = st.integers(0, 999)
WHOLE = ["whole", "whole", "whole", "chunked", "closing", "short life", "no life", "interim"]
FAILED = ["500", "504", "503 bare", "429 bare", "408 bare", "503 not run", "429 not run"]
SPOILED = [
    "foreign id",
    "foreign not run",
    "no id",
    "no id not run",
    "no seal",
    "cut",
    "cut by reset",
    "garbage",
    "surplus",
    "silent close",
    "silent reset",
]


class DataPlane(RuleBasedStateMachine):
    """Callers send requests; runners respond correctly or not, fail and are replaced."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.serial = 0
        self.broken_before = RuleBrokenError.count

    def teardown(self):
        try:
            if RuleBrokenError.count == self.broken_before:
                self.world.finish()
        finally:
            self.world.close()

    @initialize(is_reversed=st.booleans())
    def begin(self, is_reversed):
        self.world.net.is_reversed = is_reversed
        self.world.settle()

    # Callers

    @rule(
        kind=st.sampled_from(sorted(ROUTES)),
        size=st.sampled_from([0, 0, 7, 350]),
        resumed_at=st.sampled_from([0, 0, 2]),
        is_read=st.booleans(),
        is_chunked=st.booleans(),
        pick=PICK,
        is_new=st.booleans(),
    )
    def ask(self, kind, size, resumed_at, is_read, is_chunked, pick, is_new):
        self.serial += 1
        is_stream = kind in ("resumable", "single")
        sent = CallerRequest(
            f"r{self.serial:04d}",
            kind,
            b"%04d-" % self.serial * (size // 5),
            resumed_at if kind == "resumable" else 0,
            is_read and is_stream,
        )
        self.world.checker.caller_requests[sent.id] = sent
        open_callers = [caller for caller in self.world.callers if not caller.is_over]
        if is_new or not open_callers:
            self.world.callers.append(Caller(self.world))
            caller = self.world.callers[-1]
        else:
            caller = open_callers[pick % len(open_callers)]
        caller.send_request(sent, is_chunked)
        self.world.settle()

    # Responses of runners

    def _unanswered(self):
        return [arrival for runner in self.world.runners for arrival in runner.unanswered]

    def _connections(self):
        return [
            (runner, end)
            for runner in self.world.runners
            for end in runner.connections
            if not end.is_closed
        ]

    @precondition(lambda self: self._unanswered())
    @rule(pick=PICK, how=st.sampled_from(WHOLE))
    def answer_well(self, pick, how):
        self.answer(pick, how, 0)

    @precondition(lambda self: self._unanswered())
    @rule(pick=PICK, how=st.sampled_from(FAILED))
    def answer_failed(self, pick, how):
        self.answer(pick, how, 0)

    @precondition(lambda self: self._unanswered())
    @rule(pick=PICK, how=st.sampled_from(SPOILED), at=st.integers(0, 400))
    def answer_spoiled(self, pick, how, at):
        self.answer(pick, how, at)

    def answer(self, pick, how, at):
        unanswered = self._unanswered()
        arrival = unanswered[pick % len(unanswered)]
        arrival.runner.unanswered.remove(arrival)
        self._write(arrival, how, at)
        self.world.settle()

    def _write(self, arrival, how, at):
        end, sent = arrival.connection, arrival.request
        others = [one for one in self.world.checker.caller_requests if one != sent.id] or ["r-none"]
        if how in ("500", "504", "503 bare", "429 bare", "408 bare"):
            return end.send(self.world.answer(arrival, int(how[:3]), b"failed"))
        if how in ("503 not run", "429 not run"):
            arrival.is_rejected = True
            return end.send(self.world.answer(arrival, int(how[:3]), b"", is_not_run=True))
        if how == "foreign not run":
            return end.send(
                self.world.answer(
                    arrival, 503, b"", is_not_run=True, request_id=others[at % len(others)]
                )
            )
        if how == "no id not run":
            return end.send(self.world.answer(arrival, 503, b"", is_not_run=True, request_id=None))
        if how == "garbage":
            end.send(b"\x00nonsense\r\n\r\n"[: 1 + at % 13])
            return arrival.runner.disconnect(end)
        if how in ("silent close", "silent reset"):
            return arrival.runner.disconnect(end, how == "silent reset")
        data = self._success(arrival, how, others[at % len(others)])
        if how in ("cut", "cut by reset"):
            end.send(data[: at % len(data)])
            self.world.settle()
            if end in arrival.runner.connections:
                arrival.runner.disconnect(end, how == "cut by reset")
            return
        end.send(data)
        if how == "closing" and end in arrival.runner.connections:
            arrival.runner.disconnect(end)

    def _success(self, arrival, how, other):
        more = {
            "closing": {"connection": "close"},
            "short life": {"keep_alive": "timeout=1"},
            "no life": {"keep_alive": "timeout=0"},
            "foreign id": {"request_id": other},
            "no id": {"request_id": None},
        }.get(how, {})
        sent = arrival.request
        if arrival.is_prefill:
            handle = f"h{sent.id}x{len(self.world.checker.handles)}"
            self.world.checker.handles[handle] = sent.id
            body = b'{"kv_handle":"%b","token_count":100,"revision":1}' % handle.encode()
            data = self.world.answer(arrival, 200, body, is_sealed=False, **more)
        elif sent.is_streaming:
            after = int(arrival.headers.get("last-event-id", 0))
            if how == "no seal":
                more = {"response_seal": None}
            data = self.world.stream_head(sent, **more)
            data += b"".join(chunk(event) for event in sent.events(after)) + b"0\r\n\r\n"
        elif how == "chunked":
            head = self.world.answer(
                arrival,
                200,
                f"{sent.id} whole".encode(),
                content_length=None,
                transfer_encoding="chunked",
            )
            data = head.replace(f"{sent.id} whole".encode(), b"")
            data += chunk(f"{sent.id} whole".encode()) + b"0\r\n\r\n"
        else:
            body = f"{sent.id} whole".encode()
            data = self.world.answer(arrival, 200, body, is_sealed=how != "no seal", **more)
        if how == "interim":
            data = b"HTTP/1.1 103 Early\r\nRequest-Id: x\r\n\r\n" + data
        if how == "surplus":
            data += data
        return data

    @precondition(lambda self: any(one.request.is_streaming for one in self._unanswered()))
    @rule(
        pick=PICK,
        pieces=st.integers(0, EVENTS_PER_STREAM),
        rest=st.integers(0, 40),
        end=st.sampled_from(["goes on", "goes on", "goes on", "ends", "close", "reset"]),
    )
    def stream(self, pick, pieces, rest, end):
        """Send a head or more events, perhaps a partial one, and perhaps end too early."""
        unanswered = [
            one for one in self._unanswered() if one.request.is_streaming and not one.is_prefill
        ]
        if not unanswered:
            return
        arrival = unanswered[pick % len(unanswered)]
        sent, connection = arrival.request, arrival.connection
        data = b""
        if arrival.written is None:
            arrival.written = int(arrival.headers.get("last-event-id", 0))
            data = self.world.stream_head(sent)
        last = min(EVENTS_PER_STREAM, arrival.written + pieces)
        data += b"".join(chunk(event) for event in sent.events(arrival.written, last))
        arrival.written = last
        if end == "goes on":
            connection.send(data)
            return self.world.settle()
        arrival.runner.unanswered.remove(arrival)
        if end == "ends":
            data += b"".join(chunk(event) for event in sent.events(last)) + b"0\r\n\r\n"
            connection.send(data)
            return self.world.settle()
        event = b"".join(sent.events(last))
        if event:
            data += chunk(event)[:rest]
        connection.send(data)
        self.world.settle()
        if connection in arrival.runner.connections:
            arrival.runner.disconnect(connection, end == "reset")
        self.world.settle()

    # Faults

    @precondition(lambda self: self._connections() and self.world.checker.caller_requests)
    @rule(
        pick=PICK,
        which=PICK,
        how=st.sampled_from(["success", "500", "not run", "no id", "prefill"]),
    )
    def late_surplus(self, pick, which, how):
        """Send a second response to a request on a connection that is idle or in use by another."""
        connections = self._connections()
        runner, end = connections[pick % len(connections)]
        arrivals = [
            arrival
            for sent in self.world.checker.caller_requests.values()
            for arrival in sent.arrivals
            if arrival.connection is end
        ]
        if not arrivals:
            return
        arrival = arrivals[which % len(arrivals)]
        if arrival in runner.unanswered or any(
            one.connection is end and one.written for one in runner.unanswered
        ):
            return
        if how == "success" and arrival.request.is_streaming:
            data = self._success(arrival, "whole", "")
        else:
            data = {
                "success": lambda: self._success(arrival, "whole", ""),
                "500": lambda: self.world.answer(arrival, 500, b"late"),
                "not run": lambda: self.world.answer(arrival, 503, b"", is_not_run=True),
                "no id": lambda: self.world.answer(arrival, 200, b"late", request_id=None),
                "prefill": lambda: self.world.answer(arrival, 200, b"{}", is_sealed=False),
            }[how]()
        end.send(data)
        self.world.settle()

    @rule(
        what=st.sampled_from(["lose", "lose", "lose", "narrow", "dark", "replace", "leave"]),
        pick=PICK,
        how=st.sampled_from(["close", "reset", "forget"]),
        room=st.sampled_from([0, 60, 200]),
    )
    def inject_fault(self, what, pick, how, room):
        if what == "narrow":
            self.world.receive_window = room
        elif what == "dark":
            runner = self.world.runners[pick % len(self.world.runners)]
            runner.is_unresponsive = True
        elif what == "replace":
            former = self.world.runners[pick % len(self.world.runners)]
            self.world.place_runner(former.address, former.phase, how)
        elif what == "leave":
            self._leave(pick, how == "reset")
        else:
            self._lose_connection(pick, how)
        self.world.settle()

    def _leave(self, pick, by_reset):
        callers = [caller for caller in self.world.callers if not caller.is_over]
        if callers:
            callers[pick % len(callers)].disconnect(by_reset)

    def _lose_connection(self, pick, how):
        connections = self._connections()
        if not connections:
            return
        runner, end = connections[pick % len(connections)]
        if how != "forget":
            return runner.disconnect(end, how == "reset")
        runner.connections.remove(end)
        runner.unanswered = [one for one in runner.unanswered if one.connection is not end]
        end.close_silently()

    @rule(what=st.sampled_from(["wide", "bright", "listed", "all"]))
    def mend(self, what):
        """End faults: windows reopen, silent runners respond, the runner list is current."""
        if what in ("wide", "all"):
            self.world.receive_window = None
            for _, end in self._connections():
                end.receive_window = None
        if what in ("bright", "all"):
            for runner in self.world.runners:
                runner.is_unresponsive = False
                self.world.net.connect_pending(runner.address)
        if what in ("listed", "all"):
            self.world.publish_runners()
        self.world.settle()

    @rule(span_ms=st.sampled_from([20, 100, 700, 1_100, 2_500]))
    def wait(self, span_ms):
        self.world.run_for(span_ms * MS)

    @invariant()
    def nothing_is_broken(self):
        self.world.check()


@pytest.fixture(autouse=True)
def real_sockets_afterwards(monkeypatch):
    monkeypatch.setattr(tcp_connection, "socket", tcp_connection.socket)
    monkeypatch.setattr(listener, "socket", listener.socket)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def test_no_sequence_violates_a_rule():
    run_state_machine_as_test(DataPlane, settings=BOUNDED)


# Each function disables one safeguard; the same model must find the violated rule.


def accept_any_request_id(monkeypatch):
    monkeypatch.setattr(runners, "is_answer_to", lambda headers, request_id: True)


def accept_any_response(monkeypatch):
    monkeypatch.setattr(runners, "unsafe_response_error", lambda status, headers: None)


def accept_any_close_as_end(monkeypatch):
    def on_close(self, has_begun, is_eof):
        if not self.is_over:
            handler = self.handler
            self.close()
            handler.on_end() if self.has_received_bytes else handler.on_error(has_begun)

    monkeypatch.setattr(exchange.Exchange, "on_close", on_close)


def complete_aborted_responses(monkeypatch):
    monkeypatch.setattr(server_call.ServerCall, "cut", server_call.ServerCall.finish)


def retry_after_a_reset(monkeypatch):
    on_close = exchange.Exchange.on_close
    monkeypatch.setattr(
        exchange.Exchange,
        "on_close",
        lambda self, has_begun, is_eof: on_close(self, False, is_eof),
    )


def allow_repeating_every_request(monkeypatch):
    monkeypatch.setattr(request.Request, "is_one_time", property(lambda self: False))


def always_claim_not_executed(monkeypatch):
    monkeypatch.setattr(callers, "status_of", lambda error: 503)


def change_the_status(monkeypatch):
    answer = callers.PlatformCallers.answer
    monkeypatch.setattr(
        callers.PlatformCallers,
        "answer",
        lambda self, request, status, headers, body: answer(
            self, request, 502 if status == 500 else status, headers, body
        ),
    )


def retry_without_limit(monkeypatch):
    monkeypatch.setattr(attempts.Attempts, "_has_attempts_left", lambda self, request, cost: True)


def ignore_deadlines(monkeypatch):
    monkeypatch.setattr(node.RouterNode, "_enforce_deadlines", lambda self, now_us: None)


def never_remove_connections(monkeypatch):
    monkeypatch.setattr(connection_pool.ConnectionPool, "remove", lambda self, connection: None)


def read_requests_before_the_response(monkeypatch):
    def on_data(self, data):
        if self.is_closing:
            return
        self.call = None
        self._read(data)

    monkeypatch.setattr(server_connection.ServerConnection, "_on_data", on_data)


def resume_streams_at_any_event(monkeypatch):
    monkeypatch.setattr(runners.PlatformRunnerClient, "follows", lambda self, request, piece: True)
    fields = runners.PlatformRunnerClient._fields

    def without_place(self, runner, request, *more):
        return [
            field for field in fields(self, runner, request, *more) if field[0] != "last-event-id"
        ]

    monkeypatch.setattr(runners.PlatformRunnerClient, "_fields", without_place)


def omit_expected_instance(monkeypatch):
    fields = runners.PlatformRunnerClient._fields

    def without_runner(self, runner, request, *more):
        return [
            field
            for field in fields(self, runner, request, *more)
            if field[0] != "expected-instance"
        ]

    monkeypatch.setattr(runners.PlatformRunnerClient, "_fields", without_runner)


def never_close_expired(monkeypatch):
    """Keep idle connections for ever: requests are sent on ones that the runner has dropped."""
    monkeypatch.setattr(connection_pool.ConnectionPool, "close_expired", lambda self, now_us: None)


@pytest.mark.parametrize(
    "disable, rule",
    [
        (accept_any_request_id, "MIXED|REFUSED|TWICE"),
        (accept_any_response, "MIXED|REFUSED"),
        (accept_any_close_as_end, "MIXED"),
        (complete_aborted_responses, "MIXED"),
        (retry_after_a_reset, "TWICE|BUDGET|REFUSED"),
        (allow_repeating_every_request, "TWICE"),
        (always_claim_not_executed, "REFUSED"),
        (change_the_status, "MIXED"),
        (retry_without_limit, "BUDGET"),
        (ignore_deadlines, "END"),
        (never_remove_connections, "LEAK"),
        (read_requests_before_the_response, "MIXED"),
        (resume_streams_at_any_event, "ORDER"),
        (omit_expected_instance, "ROUTE"),
        (never_close_expired, "LEAK"),
    ],
)
def test_a_disabled_safeguard_is_detected(disable, rule, monkeypatch):
    disable(monkeypatch)
    with pytest.raises(RuleBrokenError, match=f"^({rule}): "):
        for search in range(SEARCHES):
            run_state_machine_as_test(seeded(search), settings=SEARCH)


def seeded(search):
    """The model with its own seed."""
    return seed(search)(type("SeededDataPlane", (DataPlane,), {}))
