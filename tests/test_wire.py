"""The event loop, HTTP server, connection pool and line connections over real sockets.

Guards against request smuggling, truncated responses that look complete, responses matched to the
wrong request, and limits that are not enforced.
"""

import json
import os
import signal
import socket
import threading
import time
from itertools import pairwise

import h11
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from linkhaven.api import ServiceError
from linkhaven.runtime import Node as BaseNode
from linkhaven.runtime import ResponseHandler
from linkhaven.wire import EventLoop, ServerLimits

DEADLINE_S = 10
QUICK = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
HOST = b"host: a.example\r\n"


class Node(BaseNode):
    """A node that records its messages; raises `fault` for each of them if that is set."""

    def __init__(self, ports, incarnation):
        super().__init__("bench", "127.0.0.1:1", ports)
        self.messages = []
        self.fault = None
        self.map_handlers["count"] = self.note
        self.on_drained = None

    def tick(self):
        pass

    def note(self, message):
        self.messages.append(message)
        if self.fault is not None:
            raise self.fault

    def drain(self, on_drained):
        self.on_drained = on_drained


class LoopHarness:
    """An event loop that the test drives turn by turn until a condition holds."""

    def __init__(self):
        self.loop = EventLoop("bench", None, None, Node, level="error", tick_us=2_000)
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.client = self.loop.client
        self.events = []
        self.loop.node.ports.log = lambda number, **facts: self.events.append((number, facts))
        self.socks = []
        self.calls = []
        self.disconnected_calls = []

    def run_until(self, condition):
        end = time.monotonic() + DEADLINE_S
        while not condition():
            assert time.monotonic() < end, "the condition did not hold before the deadline"
            self.loop.tick()

    def start_server(self, on_call=None, **limits):
        return self.loop.add_http_server(
            "127.0.0.1:0", on_call or self.calls.append, ServerLimits(**limits)
        )

    def connect(self, address, data=b""):
        host, port = address.split(":")
        sock = socket.create_connection((host, int(port)), timeout=DEADLINE_S)
        sock.setblocking(False)
        self.socks.append(sock)
        if data:
            sock.sendall(data)
        return sock

    def fetch(self, address, data, condition=None):
        """Send bytes; collect what comes back until the close or until `condition(data)` holds."""
        received = ReceivedBytes(self.connect(address, data))
        self.run_until(
            lambda: received.poll() or condition is not None and condition(received.data)
        )
        return received

    def wait_for_calls(self, count):
        self.run_until(lambda: len(self.calls) >= count)
        return self.calls[-1]

    def close(self):
        for sock in self.socks:
            sock.close()
        for server in self.loop.http_servers:
            server.stop_listening()
            for connection in list(server.connections):
                connection.close()
        for pool in list(self.client.pools.values()):
            for connection in list(pool.open):
                connection.close()
        self.loop.poller._poller.close()
        os.close(self.loop.poller._ctrl_recv)
        os.close(self.loop.poller._ctrl_send)


class ReceivedBytes:
    """The bytes received on a client socket, and how the connection ended."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""
        self.is_closed = False
        self.is_reset = False

    def poll(self):
        """Read what is available; returns whether the connection is closed."""
        try:
            data = self.sock.recv(65_536)
        except BlockingIOError:
            return self.is_closed
        except ConnectionResetError:
            self.is_closed = self.is_reset = True
            return True
        self.data += data
        self.is_closed = self.is_closed or not data
        return self.is_closed


class RecordingHandler:
    """Records the callbacks of a `ResponseHandler`."""

    def __init__(self):
        self.status = None
        self.headers = None
        self.body = b""
        self.is_whole = False
        self.errors = []
        self.handler = ResponseHandler(self._head, self._data, self._end, self.errors.append)

    def _head(self, status, headers):
        self.status, self.headers = status, headers

    def _data(self, data):
        self.body += data

    def _end(self):
        assert not self.is_over()
        self.is_whole = True

    def is_over(self):
        return self.is_whole or bool(self.errors)


class FakeRunner:
    """A raw TCP server polled by the test: answers each request head with the next of its replies.

    A reply is bytes, or a pair of bytes and whether the connection is closed after them.
    """

    def __init__(self, harness, *replies):
        self.harness = harness
        self.replies = list(replies)
        self.connections = []
        self.request_heads = []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        harness.socks.append(self.sock)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]

    def serve(self):
        try:
            sock = self.sock.accept()[0]
            sock.setblocking(False)
            self.harness.socks.append(sock)
            self.connections.append([sock, b""])
        except BlockingIOError:
            pass
        for connection in self.connections:
            self._read(connection)

    def _read(self, connection):
        try:
            data = connection[0].recv(65_536)
        except OSError:
            return
        connection[1] += data
        while b"\r\n\r\n" in connection[1]:
            head, _, connection[1] = connection[1].partition(b"\r\n\r\n")
            self.request_heads.append(head)
            reply, closes = self.replies.pop(0), False
            if isinstance(reply, tuple):
                reply, closes = reply
            connection[0].sendall(reply)
            if closes:
                connection[0].close()

    def run_until(self, condition):
        def both():
            self.serve()
            return condition()

        self.harness.run_until(both)

    def call(self, **more):
        recorder = RecordingHandler()
        assert (
            self.harness.client.open(self.address, "GET", "/x", {}, b"", recorder.handler, **more)
            is not None
        )
        self.run_until(recorder.is_over)
        return recorder


@pytest.fixture
def harness():
    harness = LoopHarness()
    yield harness
    harness.close()


def response(body=b"ok", more=b""):
    return b"HTTP/1.1 200 OK\r\n%bcontent-length: %d\r\n\r\n%b" % (more, len(body), body)


def read_responses(data, methods=(b"GET",), closed=False):
    """Parse responses with h11 into pairs of status and body; None for an incomplete body."""
    responses = []
    for method in methods:
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method=method, target="/", headers=[("host", "a")]))
        client.send(h11.EndOfMessage())
        client.receive_data(data)
        if closed:
            client.receive_data(b"")
        status, body = None, b""
        try:
            while True:
                event = client.next_event()
                if isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    responses.append((status, body))
                    break
                elif event in (h11.NEED_DATA, h11.PAUSED) or isinstance(
                    event, h11.ConnectionClosed
                ):
                    return [*responses, (status, None)]
        except h11.RemoteProtocolError:
            return [*responses, (status, None)]
        data = client.trailing_data[0]
    return responses


def echo(call):
    call.answer(200, {"x-path": call.path}, call.method.encode() + b" " + call.body)


# HTTP server


def test_a_request_is_passed_on_as_received(harness):
    server = harness.start_server()
    harness.connect(
        server.address,
        b"POST /a%2fb?c=%20d HTTP/1.1\r\nHost: A.example\r\nX-One: 1\r\nx-one: 2\r\nTE: trailers\r\nContent-Length: 4\r\n\r\nbody",
    )
    call = harness.wait_for_calls(1)
    assert (call.method, call.path, call.body) == ("POST", "/a%2fb?c=%20d", b"body")
    assert call.headers["x-one"] == "1, 2"
    assert call.fields == [
        ("Host", "A.example"),
        ("X-One", "1"),
        ("x-one", "2"),
        ("TE", "trailers"),
        ("Content-Length", "4"),
    ]


def test_an_exception_in_the_node_ends_the_call_but_not_the_server(harness):
    def on_call(call):
        if call.path == "/fault":
            raise RuntimeError("a fault")
        echo(call)

    server = harness.start_server(on_call)
    faults = []
    harness.loop.log = lambda number, **facts: faults.append((number, facts["fault"]))
    assert harness.fetch(server.address, b"GET /fault HTTP/1.1\r\n" + HOST + b"\r\n").data == b""
    assert harness.fetch(server.address, b"GET / HTTP/1.0\r\n\r\n").data.endswith(b"GET ")
    assert faults == [(1005, "RuntimeError: a fault")]


def test_a_chunked_request_is_passed_on_once_complete(harness):
    server = harness.start_server()
    sock = harness.connect(
        server.address,
        b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    )
    harness.run_until(
        lambda: any(connection.reader.body_bytes for connection in server.connections)
    )
    assert not harness.calls
    sock.sendall(b"2;ext=1\r\nde\r\n0\r\nx-trailer: 1\r\n\r\n")
    assert harness.wait_for_calls(1).body == b"abcde"


def test_pipelined_requests_wait_for_the_preceding_response(harness):
    server = harness.start_server()
    sock = harness.connect(
        server.address, b"GET /1 HTTP/1.1\r\n" + HOST + b"\r\nGET /2 HTTP/1.1\r\n" + HOST + b"\r\n"
    )
    received = ReceivedBytes(sock)
    first = harness.wait_for_calls(1)
    first.begin(200, {})
    first.write(b"one")
    harness.run_until(lambda: received.poll() or b"one" in received.data)
    assert len(harness.calls) == 1
    first.finish()
    harness.wait_for_calls(2).answer(200, {}, b"two")
    harness.run_until(lambda: received.poll() or b"two" in received.data)
    assert read_responses(received.data, (b"GET", b"GET")) == [(200, b"one"), (200, b"two")]
    assert not received.is_closed


def test_many_pipelined_requests_go_through_a_bounded_buffer(harness):
    server = harness.start_server(echo)
    sock = harness.connect(server.address)
    left = b"".join(b"GET /%d HTTP/1.1\r\n%b\r\n" % (number, HOST) for number in range(2_000))
    received = ReceivedBytes(sock)

    def push():
        nonlocal left
        try:
            left = left[sock.send(left) :] if left else left
        except BlockingIOError:
            pass
        received.poll()
        assert all(len(connection.unread) < 100_000 for connection in server.connections)
        return received.data.count(b"GET ") == 2_000

    harness.run_until(push)


@pytest.mark.parametrize(
    ("head", "closes"),
    [
        (b"GET / HTTP/1.1\r\n" + HOST + b"\r\n", False),
        (b"GET / HTTP/1.1\r\n" + HOST + b"Connection: foo, Close\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\n\r\n", True),
    ],
)
def test_keep_alive_follows_the_request(harness, head, closes):
    received = harness.fetch(
        harness.start_server(echo).address, head, lambda data: not closes and data.endswith(b"GET ")
    )
    assert received.is_closed == closes
    assert (b"connection: close" in received.data) == closes
    assert read_responses(received.data) == [(200, b"GET ")]


def test_a_draining_server_closes_after_each_response_and_accepts_no_connection(harness):
    server = harness.start_server(echo)
    sock = harness.connect(server.address)
    harness.run_until(lambda: server.connections)
    server.is_closing = True
    server.stop_listening()
    sock.sendall(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    received = ReceivedBytes(sock)
    harness.run_until(received.poll)
    assert b"connection: close" in received.data
    assert read_responses(received.data) == [(200, b"GET ")]
    with pytest.raises(ConnectionRefusedError):
        harness.connect(server.address)


@pytest.mark.parametrize("status", [200, 204, 304])
def test_head_and_bodiless_statuses_carry_no_body(harness, status):
    def on_call(call):
        call.begin(status, {"content-length": "5"})
        call.write(b"12345")
        call.finish()

    server = harness.start_server(on_call)
    method = b"HEAD" if status == 200 else b"GET"
    request = method + b" / HTTP/1.1\r\n" + HOST + b"\r\n"
    received = harness.fetch(server.address, request * 2, lambda data: data.count(b"\r\n\r\n") == 2)
    assert read_responses(received.data, (method, method)) == [(status, b""), (status, b"")]
    assert b"12345" not in received.data
    assert (b"content-length" in received.data) == (status != 204)


def test_expect_continue_is_answered_once(harness):
    server = harness.start_server(echo)
    sock = harness.connect(
        server.address,
        b"POST / HTTP/1.1\r\n" + HOST + b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n",
    )
    received = ReceivedBytes(sock)
    harness.run_until(lambda: received.poll() or b"100 Continue\r\n\r\n" in received.data)
    sock.sendall(b"ab")
    harness.run_until(
        lambda: any(connection.reader.body_bytes for connection in server.connections)
    )
    sock.sendall(b"c")
    harness.run_until(lambda: received.poll() or b"POST abc" in received.data)
    assert received.data.count(b"100 Continue") == 1


SMUGGLED = b"GET /smuggled HTTP/1.1\r\n" + HOST + b"\r\n"
BAD = [
    b"POST / HTTP/1.1\r\n"
    + HOST
    + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 3, 4\r\n\r\nabcd",
    b"POST / HTTP/1.1\r\n" + HOST + b"content-length: +3\r\n\r\nabc",
    b"POST / HTTP/1.1\r\n" + HOST + b"content-length: -3\r\n\r\nabc",
    b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\n"
    + HOST
    + b"transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.0\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n-1\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"x-one: 1\r\n two\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"transfer-encoding:\r\n chunked\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"x-one : 1\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"x-one: a\rb\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"x-one: a\x00b\r\n\r\n",
    b"GET / HTTP/1.1\n" + HOST + b"\r\n",
    b"GET / HTTP/1.1\r\nhost: a.example\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/2.0\r\n" + HOST + b"\r\n",
    b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n",
    b"GET /a b HTTP/1.1\r\n" + HOST + b"\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
]


@pytest.mark.parametrize("bad", BAD)
@pytest.mark.parametrize("piece", [1, 100_000])
def test_a_bad_request_gets_400_and_the_bytes_after_it_are_not_read(harness, bad, piece):
    server = harness.start_server()
    data = bad + SMUGGLED
    sock = harness.connect(server.address)
    received = ReceivedBytes(sock)

    def push():
        nonlocal data
        if data and not received.data:
            try:
                sock.send(data[:piece])
            except OSError:
                pass
            data = data[piece:]
        return received.poll()

    harness.run_until(push)
    assert not harness.calls
    ((status, body),) = read_responses(received.data)
    assert status == 400 and json.loads(body)["code"] == "bad_request"
    sock.close()
    harness.run_until(lambda: not server.connections)


def test_head_and_body_limits_are_reported_and_can_change_at_run_time(harness):
    server = harness.start_server(head_bytes=1_000, body_bytes=100)
    large = b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 101\r\n\r\n"
    chunked = (
        b"POST / HTTP/1.1\r\n"
        + HOST
        + b"transfer-encoding: chunked\r\n\r\n"
        + b"32\r\n"
        + b"x" * 50
        + b"\r\n"
    )
    wide = b"GET / HTTP/1.1\r\n" + HOST + b"x-one: " + b"x" * 1_000
    for data, status in (
        (large, 413),
        (chunked + b"33\r\n" + b"x" * 51 + b"\r\n", 413),
        (wide, 431),
        (wide + b"\r\n\r\n", 431),
    ):
        assert read_responses(harness.fetch(server.address, data).data)[0][0] == status
    assert not harness.calls
    server.limits = ServerLimits()
    harness.connect(server.address, large + b"x" * 101)
    assert len(harness.wait_for_calls(1).body) == 101
    harness.connect(server.address, wide + b"\r\n\r\n")
    harness.wait_for_calls(2)


def test_an_error_reaches_a_caller_that_is_still_sending_its_body(harness):
    server = harness.start_server(body_bytes=100)
    sock = harness.connect(
        server.address, b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 9000000\r\n\r\n"
    )
    received, sent = ReceivedBytes(sock), 0

    def push():
        nonlocal sent
        try:
            sent += sock.send(b"x" * 60_000)
        except OSError:
            pass
        return received.poll() or sent > 1_000_000

    harness.run_until(push)
    sock.shutdown(socket.SHUT_WR)
    harness.run_until(received.poll)
    assert read_responses(received.data)[0][0] == 413 and not received.is_reset


def test_slow_heads_get_408_and_idle_connections_are_closed_without_a_response(harness):
    server = harness.start_server(head_us=50_000, idle_us=300_000)
    assert read_responses(harness.fetch(server.address, b"GET / HTTP/1.1\r\nhos").data)[0][0] == 408
    assert harness.fetch(server.address, b"").data == b""
    assert harness.fetch(server.address, b"\r\n").data == b""


def test_a_caller_that_never_closes_after_an_error_is_disconnected(harness):
    server = harness.start_server()
    received = harness.fetch(server.address, b"nonsense\r\n\r\n")
    assert read_responses(received.data)[0][0] == 400 and server.connections
    harness.run_until(lambda: not server.connections)


def test_a_body_that_stalls_gets_408(harness):
    server = harness.start_server(head_us=10_000_000, idle_us=50_000)
    assert (
        read_responses(
            harness.fetch(
                server.address, b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 5\r\n\r\nab"
            ).data
        )[0][0]
        == 408
    )


def test_an_open_call_is_not_idle(harness):
    server = harness.start_server(idle_us=10_000, head_us=10_000)
    received = ReceivedBytes(
        harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    )
    call = harness.wait_for_calls(1)
    last_check_us = server.last_check_us
    harness.run_until(lambda: server.last_check_us > last_check_us + 400_000)
    call.answer(200, {}, b"late")
    harness.run_until(lambda: received.poll() or b"late" in received.data)
    assert read_responses(received.data) == [(200, b"late")]


@pytest.mark.parametrize(
    ("end", "headers"),
    [("finish", {"content-length": "10"}), ("cut", {"content-length": "10"}), ("cut", {})],
)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_an_aborted_response_never_looks_complete(harness, end, headers, version):
    server = harness.start_server()
    received = ReceivedBytes(
        harness.connect(server.address, b"GET / HTTP/" + version + b"\r\n" + HOST + b"\r\n")
    )
    call = harness.wait_for_calls(1)
    call.begin(200, headers)
    call.write(b"12345")
    harness.run_until(lambda: received.poll() or b"12345" in received.data)
    getattr(call, end)()
    assert not call.write(b"more")
    call.finish()
    harness.run_until(received.poll)
    assert received.is_reset or read_responses(received.data, closed=True) == [(200, None)]
    assert b"more" not in received.data


def test_no_more_than_the_declared_length_is_written(harness):
    server = harness.start_server()
    received = ReceivedBytes(
        harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    )
    call = harness.wait_for_calls(1)
    call.begin(200, {"content-length": "3"})
    assert not call.write(b"12345")
    harness.run_until(received.poll)
    assert b"1234" not in received.data


@pytest.mark.parametrize("half", [True, False])
def test_a_disconnect_of_the_caller_is_reported_once(harness, half):
    server = harness.start_server()
    sock = harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    call = harness.wait_for_calls(1)
    call.on_client_disconnect = lambda: harness.disconnected_calls.append(call)
    sock.shutdown(socket.SHUT_WR) if half else sock.close()
    harness.run_until(lambda: harness.disconnected_calls and not server.connections)
    call.answer(200, {}, b"too late")
    call.cut()
    assert harness.disconnected_calls == [call] and call.is_ended


def test_a_caller_that_does_not_read_blocks_the_writer(harness):
    server = harness.start_server()
    sock = harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    call = harness.wait_for_calls(1)
    writable_calls = []
    call.on_writable = lambda: writable_calls.append(True)
    call.begin(200, {})
    written = 0
    while call.write(b"x" * 30_000):
        written += 30_000
        assert written < 100_000_000
        harness.loop.tick()
    written += 30_000
    assert not writable_calls
    received = ReceivedBytes(sock)
    harness.run_until(lambda: received.poll() or writable_calls)
    call.finish()
    harness.run_until(lambda: received.poll() or received.data.endswith(b"0\r\n\r\n"))
    assert read_responses(received.data) == [(200, b"x" * written)]


def test_connections_beyond_the_limit_replace_only_idle_ones(harness):
    server = harness.start_server(connections=2)
    busy = ReceivedBytes(harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"))
    call = harness.wait_for_calls(1)
    idle = ReceivedBytes(harness.connect(server.address))
    harness.run_until(lambda: len(server.connections) == 2)
    harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    harness.run_until(idle.poll)
    harness.wait_for_calls(2)
    assert harness.fetch(server.address, b"").data == b""
    call.answer(200, {}, b"kept")
    harness.run_until(lambda: busy.poll() or b"kept" in busy.data)


def test_running_out_of_descriptors_neither_busy_loops_nor_stops_the_server(harness, monkeypatch):
    server = harness.start_server(echo)
    tries = []

    class Short:
        def accept(self):
            tries.append(True)
            raise OSError(24, "Too many open files")

        def close(self):
            pass

    real, server.listener.sock = server.listener.sock, Short()
    sock = harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    harness.run_until(lambda: tries)
    turns = []
    harness.run_until(lambda: turns.append(True) or len(turns) > 20)
    assert len(tries) == 1
    server.listener.sock = real
    received = ReceivedBytes(sock)
    harness.run_until(lambda: received.poll() or b"GET " in received.data)


def test_a_response_with_a_line_break_in_a_header_is_not_sent(harness):
    server = harness.start_server()
    received = ReceivedBytes(
        harness.connect(server.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    )
    call = harness.wait_for_calls(1)
    with pytest.raises(ValueError):
        call.answer(200, {"x-one": "1\r\nx-two: 2"}, b"")
    call.answer(502, {}, b"")
    harness.run_until(lambda: received.poll() or received.data)
    assert read_responses(received.data) == [(502, b"")]


TOKEN = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12)
VALUE = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20)


@QUICK
@given(
    fields=st.lists(st.tuples(TOKEN.map("x-{}".format), VALUE), max_size=8),
    parts=st.lists(st.binary(min_size=1, max_size=200), max_size=5),
    is_chunked=st.booleans(),
    cuts=st.lists(st.integers(0, 2_000), max_size=6),
)
def test_requests_are_parsed_the_same_however_they_are_split(fields, parts, is_chunked, cuts):
    harness = LoopHarness()
    try:
        body = b"".join(parts)
        head = "POST /p?q HTTP/1.1\r\nhost: a\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields
        )
        if is_chunked:
            data = (
                head.encode()
                + b"transfer-encoding: chunked\r\n\r\n"
                + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
                + b"0\r\n\r\n"
            )
        else:
            data = head.encode() + b"content-length: %d\r\n\r\n" % len(body) + body
        server = harness.start_server()
        sock = harness.connect(server.address)
        places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        for begin, end in pairwise(places):
            sock.sendall(data[begin:end])
            for _ in range(2):
                harness.loop.tick()
        call = harness.wait_for_calls(1)
        assert (call.method, call.path, call.body) == ("POST", "/p?q", body)
        assert call.fields[1:-1] == fields
    finally:
        harness.close()


@QUICK
@given(
    st.lists(
        st.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"POST /a HTTP/1.1\r\n",
                HOST,
                b"content-length: 3\r\n",
                b"content-length: 0\r\n",
                b"transfer-encoding: chunked\r\n",
                b"\r\n",
                b"\n",
                b"abc",
                b"3\r\nabc\r\n",
                b"0\r\n\r\n",
                b"\r",
                b" ",
                b"\t",
                b"\x00",
                b"x: y\r\n",
                b"connection: close\r\n",
                b"\xff",
            ]
        ),
        max_size=14,
    )
)
def test_no_input_breaks_the_server(pieces):
    harness = LoopHarness()
    try:
        server = harness.start_server(echo)
        sock = harness.connect(server.address, b"".join(pieces))
        sock.shutdown(socket.SHUT_WR)
        received = ReceivedBytes(sock)
        harness.run_until(received.poll)
        harness.run_until(lambda: not server.connections)
        alive = harness.fetch(
            server.address,
            b"GET / HTTP/1.1\r\n" + HOST + b"\r\n",
            lambda data: data.endswith(b"GET "),
        )
        assert read_responses(alive.data) == [(200, b"GET ")]
    finally:
        harness.close()


# Pooled connections


def test_idle_connections_are_reused_newest_first(harness):
    runner = FakeRunner(harness, *[response()] * 5)
    first, second = RecordingHandler(), RecordingHandler()
    for recorder in (first, second):
        harness.client.open(runner.address, "GET", "/x", {}, b"", recorder.handler, keep_alive=True)
    runner.run_until(lambda: first.is_over() and second.is_over())
    assert first.body == second.body == b"ok" and harness.client.count(runner.address) == 2
    newest = harness.client.pools[runner.address].idle[-1]
    third = RecordingHandler()
    exchange = harness.client.open(
        runner.address, "GET", "/x", {}, b"", third.handler, keep_alive=True
    )
    assert exchange.is_reused and exchange.connection is newest
    runner.run_until(third.is_over)
    assert third.is_whole and harness.client.opened == 2
    assert b"connection" not in runner.request_heads[-1]


def test_max_connections_limits_busy_and_idle_connections(harness):
    runner = FakeRunner(harness, response(), response())
    one, two = RecordingHandler(), RecordingHandler()
    assert harness.client.open(
        runner.address, "GET", "/x", {}, b"", one.handler, keep_alive=True, max_connections=1
    )
    assert (
        harness.client.open(
            runner.address, "GET", "/x", {}, b"", two.handler, keep_alive=True, max_connections=1
        )
        is None
    )
    runner.run_until(one.is_over)
    assert harness.client.open(
        runner.address, "GET", "/x", {}, b"", two.handler, keep_alive=True, max_connections=1
    ).is_reused
    runner.run_until(two.is_over)
    assert harness.client.opened == 1 and not one.errors and not two.errors


def test_a_request_is_sent_with_its_fields_in_order_and_the_given_host(harness):
    runner = FakeRunner(harness, response())
    recorder = RecordingHandler()
    fields = [
        ("Host", "old"),
        ("X-One", "1"),
        ("X-Two", "2"),
        ("x-one", "3"),
        ("Content-Length", "9"),
    ]
    harness.client.open(
        runner.address,
        "POST",
        "/a%2f?b",
        fields,
        b"",
        recorder.handler,
        keep_alive=True,
        host="new.example",
    )
    runner.run_until(recorder.is_over)
    assert runner.request_heads == [
        b"POST /a%2f?b HTTP/1.1\r\nhost: new.example\r\nX-One: 1\r\nX-Two: 2\r\nx-one: 3\r\ncontent-length: 0"
    ]


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/a b", {}),
        ("/a\r\nx: y", {}),
        ("", {}),
        ("/", {"x-one": "1\r\n\r\nGET /"}),
        ("/", {"x\n": "1"}),
    ],
)
def test_a_request_that_could_be_parsed_as_two_is_not_sent(harness, path, headers):
    runner = FakeRunner(harness)
    with pytest.raises(ValueError):
        harness.client.open(
            runner.address, "GET", path, headers, b"", RecordingHandler().handler, keep_alive=True
        )
    assert not harness.client.count(runner.address)


@pytest.mark.parametrize(
    "reply",
    [
        response(more=b"connection: close\r\n"),
        response() + b"surplus",
        response() + response(b"second"),
        (response(), True),
        response().replace(b"1.1", b"1.0"),
        response(more=b"keep-alive: timeout=0\r\n"),
    ],
)
def test_a_connection_that_must_not_be_reused_is_closed(harness, reply):
    runner = FakeRunner(harness, reply, response(b"next"))
    assert runner.call(keep_alive=True).body == b"ok"
    runner.run_until(lambda: not harness.client.count(runner.address)) if isinstance(
        reply, tuple
    ) else None
    assert runner.call(keep_alive=True).body == b"next"
    assert harness.client.opened == 2


def test_unsolicited_bytes_close_an_idle_connection(harness):
    runner = FakeRunner(harness, response(), response(b"next"))
    runner.call(keep_alive=True)
    runner.connections[0][0].sendall(response(b"surplus"))
    runner.run_until(lambda: not harness.client.count(runner.address))
    assert runner.call(keep_alive=True).body == b"next"


@pytest.mark.parametrize("late_bytes", [b"", b"late"])
def test_a_pending_close_or_unsolicited_bytes_are_detected_before_reuse(harness, late_bytes):
    runner = FakeRunner(harness, response(), response(b"next"))
    runner.call(keep_alive=True)
    runner.connections[0][0].sendall(late_bytes) if late_bytes else runner.connections[0][0].close()
    recorder = RecordingHandler()
    exchange = harness.client.open(
        runner.address, "GET", "/x", {}, b"", recorder.handler, keep_alive=True
    )
    assert not exchange.is_reused
    runner.run_until(recorder.is_over)
    assert recorder.body == b"next" and not recorder.errors and len(runner.request_heads) == 2


def test_bytes_before_the_request_is_sent_are_not_its_response(harness):
    runner = FakeRunner(harness, response(), response(b"next"))
    runner.call(keep_alive=True)
    recorder = RecordingHandler()
    exchange = harness.client.open(
        runner.address, "GET", "/x", {}, b"", recorder.handler, keep_alive=True
    )
    assert exchange.is_reused
    exchange.connection.tcp.on_data(response(b"surplus"))
    runner.run_until(recorder.is_over)
    assert recorder.body == b"next" and not recorder.errors and harness.client.opened == 2
    assert harness.client.count(runner.address) == 1 and len(runner.request_heads) == 2


def test_a_reused_connection_that_fails_at_the_first_write_is_replaced(harness):
    runner = FakeRunner(harness, response(), response(b"next"))
    runner.call(keep_alive=True)
    recorder = RecordingHandler()
    exchange = harness.client.open(
        runner.address, "GET", "/x", {}, b"", recorder.handler, keep_alive=True, max_connections=1
    )
    assert exchange.is_reused
    exchange.connection.tcp.fail()
    runner.run_until(recorder.is_over)
    assert recorder.body == b"next" and not recorder.errors and not exchange.is_reused


def test_a_reused_connection_that_closes_after_the_request_reports_that_it_may_have_run(harness):
    runner = FakeRunner(harness, response(), (b"", True))
    runner.call(keep_alive=True)
    assert runner.call(keep_alive=True).errors == [True]
    assert len(runner.request_heads) == 2


def test_idle_connections_are_closed_at_their_keep_alive_timeout(harness):
    harness.client.idle_us = 1_000
    runner = FakeRunner(harness, response(), response(more=b"keep-alive: timeout=5, max=9\r\n"))
    runner.call(keep_alive=True)
    runner.run_until(lambda: not harness.client.count(runner.address))
    now_us = harness.loop.timer.now_us()
    runner.call(keep_alive=True)
    assert (
        3_900_000
        < harness.client.pools[runner.address].idle[0].idle_until_us - now_us
        <= 4_000_000 + DEADLINE_S * 1_000_000
    )
    assert not harness.client.pools[runner.address].idle[0].tcp.is_closed


def test_a_refused_connection_reports_that_nothing_was_sent(harness):
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    recorder = RecordingHandler()
    assert harness.client.open(
        f"127.0.0.1:{port}", "GET", "/x", {}, b"", recorder.handler, keep_alive=True
    )
    harness.run_until(recorder.is_over)
    assert recorder.errors == [False] and not harness.client.count(f"127.0.0.1:{port}")


def test_a_connect_timeout_reports_that_nothing_was_sent(harness):
    harness.client.connect_us = 30_000
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    harness.socks.append(listener)
    address = "127.0.0.1:%d" % listener.getsockname()[1]
    for _ in range(4):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        harness.socks.append(sock)
    recorder = RecordingHandler()
    harness.client.open(address, "GET", "/x", {}, b"", recorder.handler, keep_alive=True)
    harness.run_until(recorder.is_over)
    assert recorder.errors == [False]


def test_a_close_delimited_body_ends_with_a_close_but_not_with_a_reset(harness):
    reply = b"HTTP/1.1 200 OK\r\n\r\nbody"
    runner = FakeRunner(harness, (reply, True), reply)
    recorder = runner.call(keep_alive=True)
    assert recorder.is_whole and recorder.body == b"body"
    cut = RecordingHandler()
    harness.client.open(runner.address, "GET", "/x", {}, b"", cut.handler, keep_alive=True)
    runner.run_until(lambda: cut.body)
    sock = runner.connections[-1][0]
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    sock.close()
    runner.run_until(cut.is_over)
    assert cut.errors == [True]


def test_interim_responses_are_skipped(harness):
    runner = FakeRunner(
        harness, b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nx: y\r\n\r\n" + response()
    )
    recorder = runner.call(keep_alive=True)
    assert (recorder.status, recorder.body) == (200, b"ok") and "x" not in recorder.headers


def test_closing_an_exchange_closes_its_connection(harness):
    runner = FakeRunner(harness, b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n123")
    recorder = RecordingHandler()
    exchange = harness.client.open(
        runner.address, "GET", "/x", {}, b"", recorder.handler, keep_alive=True
    )
    runner.run_until(lambda: recorder.body)
    exchange.close()
    exchange.pause_reading()
    exchange.resume_reading()
    assert not harness.client.count(runner.address)
    harness.loop.tick()
    assert not recorder.is_over()


def test_a_paused_exchange_continues_when_resumed(harness):
    runner = FakeRunner(harness, b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n123")
    recorder = RecordingHandler()
    exchange = harness.client.open(
        runner.address, "GET", "/x", {}, b"", recorder.handler, keep_alive=True
    )
    runner.run_until(lambda: recorder.body)
    exchange.pause_reading()
    runner.connections[0][0].sendall(b"456")
    turns = []
    harness.run_until(lambda: turns.append(True) or len(turns) > 20)
    assert recorder.body == b"123"
    exchange.resume_reading()
    runner.run_until(recorder.is_over)
    assert recorder.body == b"123456" and recorder.is_whole


@QUICK
@given(
    st.lists(
        st.one_of(
            st.sampled_from(
                [
                    b"HTTP/1.1 200 OK\r\n",
                    b"HTTP/1.1 204 No\r\n",
                    b"HTTP/1.1 100 C\r\n\r\n",
                    b"content-length: 3\r\n",
                    b"transfer-encoding: chunked\r\n",
                    b"\r\n",
                    b"abc",
                    b"3\r\nabc\r\n",
                    b"0\r\n\r\n",
                    b"HTTP/1.0 200 OK\r\n",
                    b"connection: close\r\n",
                    b"\x00",
                    b"\n",
                ]
            ),
            st.binary(max_size=5),
        ),
        max_size=10,
    ),
    st.booleans(),
)
def test_whatever_a_runner_sends_the_handler_gets_one_outcome_and_the_next_call_is_unaffected(
    pieces, closes
):
    harness = LoopHarness()
    try:
        data = b"".join(pieces)
        runner = FakeRunner(harness, (data, True), response(b"next"))
        recorder = runner.call(keep_alive=True)
        assert recorder.is_whole != bool(recorder.errors) and len(recorder.errors) <= 1
        if recorder.is_whole:
            assert read_responses(data, closed=True)[0] == (recorder.status, recorder.body)
        else:
            assert recorder.errors == [True]
        assert runner.call(keep_alive=True).body == b"next"
    finally:
        harness.close()


# Lines and signals


def test_the_lines_of_one_turn_are_sent_in_one_write(harness, monkeypatch):
    runner = FakeRunner(harness)
    harness.client.send(runner.address, {"number": 0})
    runner.run_until(lambda: runner.connections and runner.connections[0][1])
    sizes = []
    tcp = harness.client.line_clients[runner.address].tcp

    class Counted:
        def __getattr__(self, name):
            return getattr(real, name)

        def send(self, data):
            sizes.append(len(data))
            return real.send(data)

    real, tcp.sock = tcp.sock, Counted()
    for number in range(1, 10):
        harness.client.send(runner.address, {"number": number})
    runner.run_until(lambda: runner.connections[0][1].count(b"\n") == 10)
    assert len(sizes) == 1
    assert [json.loads(line)["number"] for line in runner.connections[0][1].splitlines()] == list(
        range(10)
    )
    assert real.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 3_000


def test_lines_are_parsed_however_they_are_split(harness):
    line_server = harness.loop.add_line_server("127.0.0.1:0")
    sock = harness.connect(line_server.listener.address)
    lines = [
        json.dumps({"say": "count", "name": "n", "back": "10.0.0.1:1", "a": number}).encode()
        for number in (1, 2, 3)
    ]
    data = lines[0] + b"\n" + lines[1] + b'\n\n[1]\n{"a":9}\n' + lines[2] + b"\n"
    for piece in (data[:5], data[5:90], data[90:], b'{"say":"count"}\n'):
        sock.sendall(piece)
        harness.loop.tick()
    harness.run_until(lambda: len(harness.loop.node.messages) == 3)
    assert harness.loop.node.messages == [json.loads(line) for line in lines]
    harness.run_until(lambda: [number for number, _ in harness.events] == [1006] * 3)
    harness.loop.node.fault = ServiceError("too_busy")
    sock.sendall(lines[0] + b"\n" + lines[1] + b"\n")
    harness.run_until(lambda: len(harness.loop.node.messages) == 5)
    assert len(line_server.connections) == 1
    assert [number for number, _ in harness.events] == [1006] * 3 + [1005] * 2
    harness.events.clear()
    sock.sendall(b"no json\n")
    harness.run_until(lambda: not line_server.connections)
    assert [number for number, _ in harness.events] == [1006]


def test_sighup_calls_back_and_a_second_sigterm_does_not_stop_a_drain(harness):
    calls = []
    loop = harness.loop
    loop.on_hangup = lambda: calls.append("hangup")
    loop._signal_handler(signal.SIGHUP, None)
    harness.run_until(lambda: calls)
    assert loop.node.on_drained is None
    for _ in range(2):
        loop._signal_handler(signal.SIGTERM, None)
    harness.run_until(lambda: not len(loop._queue))
    assert loop.node.on_drained is not None and loop.running


def test_a_caller_reset_before_the_request_is_read_is_not_logged():
    listener = socket.create_server(("127.0.0.1", 0))
    caller = socket.create_connection(listener.getsockname())
    served, _ = listener.accept()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    caller.close()
    with pytest.raises(ConnectionResetError):
        served.recv(1)
    with pytest.raises(OSError) as gone:
        served.getpeername()
    served.close()
    listener.close()
    logged = []
    loop = EventLoop("bench", None, None, Node, level="error", tick_us=2_000)
    loop.log = lambda number, **facts: logged.append(number)
    loop._on_exception(type(gone.value), gone.value, [])
    assert logged == []
    loop._on_exception(OSError, OSError(9, "Bad file descriptor"), [])
    assert logged == [1005]
