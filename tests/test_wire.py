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
    def __init__(self, ports, incarnation):
        super().__init__("bench", "127.0.0.1:1", ports)
        self.heard = []
        self.fault = None
        self.map_handlers["count"] = self.note
        self.on_drained = None

    def tick(self):
        pass

    def note(self, message):
        self.heard.append(message)
        if self.fault is not None:
            raise self.fault

    def drain(self, on_drained):
        self.on_drained = on_drained


class Bench:
    """One loop, driven by hand until something holds."""

    def __init__(self):
        self.loop = EventLoop("bench", None, None, Node, level="error", tick_us=2_000)
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.client = self.loop.client
        self.events = []
        self.loop.node.ports.log = lambda number, **facts: self.events.append((number, facts))
        self.socks = []
        self.calls = []
        self.gone = []

    def until(self, condition):
        end = time.monotonic() + DEADLINE_S
        while not condition():
            assert time.monotonic() < end, "the deadline passed"
            self.loop.tick()

    def door(self, on_call=None, **limits):
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

    def ask(self, address, data, condition=None):
        """What comes back, up to the close or until the condition holds for it."""
        told = Told(self.connect(address, data))
        self.until(lambda: told.look() or condition is not None and condition(told.data))
        return told

    def calls_at_least(self, count):
        self.until(lambda: len(self.calls) >= count)
        return self.calls[-1]

    def close(self):
        for sock in self.socks:
            sock.close()
        for door in self.loop.http_servers:
            door.stop_listening()
            for connection in list(door.connections):
                connection.close()
        for pool in list(self.client.pools.values()):
            for connection in list(pool.open):
                connection.close()
        self.loop.poller._poller.close()
        os.close(self.loop.poller._ctrl_recv)
        os.close(self.loop.poller._ctrl_send)


class Told:
    def __init__(self, sock):
        self.sock = sock
        self.data = b""
        self.is_closed = False
        self.is_reset = False

    def look(self):
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


class Heard:
    """A hearer that keeps what it was told."""

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


class Runner:
    """A server of raw bytes on the test's own loop: it answers each request it read whole with the next of its replies."""

    def __init__(self, bench, *replies):
        self.bench = bench
        self.replies = list(replies)
        self.connections = []
        self.got = []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        bench.socks.append(self.sock)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]

    def serve(self):
        try:
            sock = self.sock.accept()[0]
            sock.setblocking(False)
            self.bench.socks.append(sock)
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
            self.got.append(head)
            reply, closes = self.replies.pop(0), False
            if isinstance(reply, tuple):
                reply, closes = reply
            connection[0].sendall(reply)
            if closes:
                connection[0].close()

    def until(self, condition):
        def both():
            self.serve()
            return condition()

        self.bench.until(both)

    def call(self, **more):
        heard = Heard()
        assert (
            self.bench.client.open(self.address, "GET", "/x", {}, b"", heard.handler, **more)
            is not None
        )
        self.until(heard.is_over)
        return heard


@pytest.fixture
def bench():
    bench = Bench()
    yield bench
    bench.close()


def whole(body=b"ok", more=b""):
    return b"HTTP/1.1 200 OK\r\n%bcontent-length: %d\r\n\r\n%b" % (more, len(body), body)


def read_answers(data, methods=(b"GET",), closed=False):
    """Statuses and bodies as an h11 client reads them; None for a body that doesn't end."""
    answers = []
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
                    answers.append((status, body))
                    break
                elif event in (h11.NEED_DATA, h11.PAUSED) or isinstance(
                    event, h11.ConnectionClosed
                ):
                    return [*answers, (status, None)]
        except h11.RemoteProtocolError:
            return [*answers, (status, None)]
        data = client.trailing_data[0]
    return answers


def echo(call):
    call.answer(200, {"x-path": call.path}, call.method.encode() + b" " + call.body)


# the door


def test_door_hands_on_the_request_as_received(bench):
    door = bench.door()
    bench.connect(
        door.address,
        b"POST /a%2fb?c=%20d HTTP/1.1\r\nHost: A.example\r\nX-One: 1\r\nx-one: 2\r\nTE: trailers\r\nContent-Length: 4\r\n\r\nbody",
    )
    call = bench.calls_at_least(1)
    assert (call.method, call.path, call.body) == ("POST", "/a%2fb?c=%20d", b"body")
    assert call.headers["x-one"] == "1, 2"
    assert call.fields == [
        ("Host", "A.example"),
        ("X-One", "1"),
        ("x-one", "2"),
        ("TE", "trailers"),
        ("Content-Length", "4"),
    ]


def test_a_fault_in_the_node_ends_the_call_and_not_the_door(bench):
    def on_call(call):
        if call.path == "/fault":
            raise RuntimeError("a fault")
        echo(call)

    door = bench.door(on_call)
    faults = []
    bench.loop.log = lambda number, **facts: faults.append((number, facts["fault"]))
    assert bench.ask(door.address, b"GET /fault HTTP/1.1\r\n" + HOST + b"\r\n").data == b""
    assert bench.ask(door.address, b"GET / HTTP/1.0\r\n\r\n").data.endswith(b"GET ")
    assert faults == [(1005, "RuntimeError: a fault")]


def test_door_waits_for_the_whole_request_and_decodes_chunks(bench):
    door = bench.door()
    sock = bench.connect(
        door.address,
        b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    )
    bench.until(lambda: any(connection.reader.body_bytes for connection in door.connections))
    assert not bench.calls
    sock.sendall(b"2;ext=1\r\nde\r\n0\r\nx-trailer: 1\r\n\r\n")
    assert bench.calls_at_least(1).body == b"abcde"


def test_pipelined_requests_wait_for_the_answer_before_them(bench):
    door = bench.door()
    sock = bench.connect(
        door.address, b"GET /1 HTTP/1.1\r\n" + HOST + b"\r\nGET /2 HTTP/1.1\r\n" + HOST + b"\r\n"
    )
    told = Told(sock)
    first = bench.calls_at_least(1)
    first.begin(200, {})
    first.write(b"one")
    bench.until(lambda: told.look() or b"one" in told.data)
    assert len(bench.calls) == 1
    first.finish()
    bench.calls_at_least(2).answer(200, {}, b"two")
    bench.until(lambda: told.look() or b"two" in told.data)
    assert read_answers(told.data, (b"GET", b"GET")) == [(200, b"one"), (200, b"two")]
    assert not told.is_closed


def test_many_pipelined_requests_go_through_a_bounded_buffer(bench):
    door = bench.door(echo)
    sock = bench.connect(door.address)
    left = b"".join(b"GET /%d HTTP/1.1\r\n%b\r\n" % (number, HOST) for number in range(2_000))
    told = Told(sock)

    def push():
        nonlocal left
        try:
            left = left[sock.send(left) :] if left else left
        except BlockingIOError:
            pass
        told.look()
        assert all(len(connection.unread) < 100_000 for connection in door.connections)
        return told.data.count(b"GET ") == 2_000

    bench.until(push)


@pytest.mark.parametrize(
    ("head", "closes"),
    [
        (b"GET / HTTP/1.1\r\n" + HOST + b"\r\n", False),
        (b"GET / HTTP/1.1\r\n" + HOST + b"Connection: foo, Close\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\n\r\n", True),
    ],
)
def test_keep_alive_follows_the_request(bench, head, closes):
    told = bench.ask(
        bench.door(echo).address, head, lambda data: not closes and data.endswith(b"GET ")
    )
    assert told.is_closed == closes
    assert (b"connection: close" in told.data) == closes
    assert read_answers(told.data) == [(200, b"GET ")]


def test_a_draining_door_closes_after_each_answer_and_takes_no_connection(bench):
    door = bench.door(echo)
    sock = bench.connect(door.address)
    bench.until(lambda: door.connections)
    door.is_closing = True
    door.stop_listening()
    sock.sendall(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    told = Told(sock)
    bench.until(told.look)
    assert b"connection: close" in told.data
    assert read_answers(told.data) == [(200, b"GET ")]
    with pytest.raises(ConnectionRefusedError):
        bench.connect(door.address)


@pytest.mark.parametrize("status", [200, 204, 304])
def test_head_and_bodiless_statuses_carry_no_body(bench, status):
    def on_call(call):
        call.begin(status, {"content-length": "5"})
        call.write(b"12345")
        call.finish()

    door = bench.door(on_call)
    method = b"HEAD" if status == 200 else b"GET"
    request = method + b" / HTTP/1.1\r\n" + HOST + b"\r\n"
    told = bench.ask(door.address, request * 2, lambda data: data.count(b"\r\n\r\n") == 2)
    assert read_answers(told.data, (method, method)) == [(status, b""), (status, b"")]
    assert b"12345" not in told.data
    assert (b"content-length" in told.data) == (status != 204)


def test_expect_continue_is_answered_once(bench):
    door = bench.door(echo)
    sock = bench.connect(
        door.address,
        b"POST / HTTP/1.1\r\n" + HOST + b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n",
    )
    told = Told(sock)
    bench.until(lambda: told.look() or b"100 Continue\r\n\r\n" in told.data)
    sock.sendall(b"ab")
    bench.until(lambda: any(connection.reader.body_bytes for connection in door.connections))
    sock.sendall(b"c")
    bench.until(lambda: told.look() or b"POST abc" in told.data)
    assert told.data.count(b"100 Continue") == 1


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
def test_a_bad_request_is_answered_400_and_nothing_behind_it_is_read(bench, bad, piece):
    door = bench.door()
    data = bad + SMUGGLED
    sock = bench.connect(door.address)
    told = Told(sock)

    def push():
        nonlocal data
        if data and not told.data:
            try:
                sock.send(data[:piece])
            except OSError:
                pass
            data = data[piece:]
        return told.look()

    bench.until(push)
    assert not bench.calls
    ((status, body),) = read_answers(told.data)
    assert status == 400 and json.loads(body)["code"] == "bad_request"
    sock.close()
    bench.until(lambda: not door.connections)


def test_limits_on_heads_and_bodies_are_told_and_change_at_run_time(bench):
    door = bench.door(head_bytes=1_000, body_bytes=100)
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
        assert read_answers(bench.ask(door.address, data).data)[0][0] == status
    assert not bench.calls
    door.limits = ServerLimits()
    bench.connect(door.address, large + b"x" * 101)
    assert len(bench.calls_at_least(1).body) == 101
    bench.connect(door.address, wide + b"\r\n\r\n")
    bench.calls_at_least(2)


def test_an_error_reaches_a_caller_that_still_sends_its_body(bench):
    door = bench.door(body_bytes=100)
    sock = bench.connect(
        door.address, b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 9000000\r\n\r\n"
    )
    told, sent = Told(sock), 0

    def push():
        nonlocal sent
        try:
            sent += sock.send(b"x" * 60_000)
        except OSError:
            pass
        return told.look() or sent > 1_000_000

    bench.until(push)
    sock.shutdown(socket.SHUT_WR)
    bench.until(told.look)
    assert read_answers(told.data)[0][0] == 413 and not told.is_reset


def test_slow_heads_get_408_and_silent_connections_are_closed_without_a_word(bench):
    door = bench.door(head_us=50_000, idle_us=300_000)
    assert read_answers(bench.ask(door.address, b"GET / HTTP/1.1\r\nhos").data)[0][0] == 408
    assert bench.ask(door.address, b"").data == b""
    assert bench.ask(door.address, b"\r\n").data == b""


def test_a_caller_that_never_closes_after_an_error_is_let_go(bench):
    door = bench.door()
    told = bench.ask(door.address, b"nonsense\r\n\r\n")
    assert read_answers(told.data)[0][0] == 400 and door.connections
    bench.until(lambda: not door.connections)


def test_a_body_that_stalls_gets_408(bench):
    door = bench.door(head_us=10_000_000, idle_us=50_000)
    assert (
        read_answers(
            bench.ask(
                door.address, b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 5\r\n\r\nab"
            ).data
        )[0][0]
        == 408
    )


def test_an_open_call_is_not_idle(bench):
    door = bench.door(idle_us=10_000, head_us=10_000)
    told = Told(bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"))
    call = bench.calls_at_least(1)
    checked_us = door.checked_us
    bench.until(lambda: door.checked_us > checked_us + 400_000)
    call.answer(200, {}, b"late")
    bench.until(lambda: told.look() or b"late" in told.data)
    assert read_answers(told.data) == [(200, b"late")]


@pytest.mark.parametrize(
    ("end", "headers"),
    [("finish", {"content-length": "10"}), ("cut", {"content-length": "10"}), ("cut", {})],
)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_an_answer_cut_short_never_looks_whole(bench, end, headers, version):
    door = bench.door()
    told = Told(bench.connect(door.address, b"GET / HTTP/" + version + b"\r\n" + HOST + b"\r\n"))
    call = bench.calls_at_least(1)
    call.begin(200, headers)
    call.write(b"12345")
    bench.until(lambda: told.look() or b"12345" in told.data)
    getattr(call, end)()
    assert not call.write(b"more")
    call.finish()
    bench.until(told.look)
    assert told.is_reset or read_answers(told.data, closed=True) == [(200, None)]
    assert b"more" not in told.data


def test_more_than_the_told_length_is_never_written(bench):
    door = bench.door()
    told = Told(bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"))
    call = bench.calls_at_least(1)
    call.begin(200, {"content-length": "3"})
    assert not call.write(b"12345")
    bench.until(told.look)
    assert b"1234" not in told.data


@pytest.mark.parametrize("half", [True, False])
def test_a_caller_that_leaves_is_told_once(bench, half):
    door = bench.door()
    sock = bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    call = bench.calls_at_least(1)
    call.on_client_disconnect = lambda: bench.gone.append(call)
    sock.shutdown(socket.SHUT_WR) if half else sock.close()
    bench.until(lambda: bench.gone and not door.connections)
    call.answer(200, {}, b"too late")
    call.cut()
    assert bench.gone == [call] and call.is_ended


def test_a_caller_that_does_not_read_holds_the_writer_up(bench):
    door = bench.door()
    sock = bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    call = bench.calls_at_least(1)
    rooms = []
    call.on_writable = lambda: rooms.append(True)
    call.begin(200, {})
    written = 0
    while call.write(b"x" * 30_000):
        written += 30_000
        assert written < 100_000_000
        bench.loop.tick()
    written += 30_000
    assert not rooms
    told = Told(sock)
    bench.until(lambda: told.look() or rooms)
    call.finish()
    bench.until(lambda: told.look() or told.data.endswith(b"0\r\n\r\n"))
    assert read_answers(told.data) == [(200, b"x" * written)]


def test_connections_beyond_the_limit_take_the_place_of_idle_ones_only(bench):
    door = bench.door(connections=2)
    busy = Told(bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"))
    call = bench.calls_at_least(1)
    idle = Told(bench.connect(door.address))
    bench.until(lambda: len(door.connections) == 2)
    bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    bench.until(idle.look)
    bench.calls_at_least(2)
    assert bench.ask(door.address, b"").data == b""
    call.answer(200, {}, b"kept")
    bench.until(lambda: busy.look() or b"kept" in busy.data)


def test_descriptors_running_out_neither_spins_nor_kills(bench, monkeypatch):
    door = bench.door(echo)
    tries = []

    class Short:
        def accept(self):
            tries.append(True)
            raise OSError(24, "Too many open files")

        def close(self):
            pass

    real, door.listener.sock = door.listener.sock, Short()
    sock = bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
    bench.until(lambda: tries)
    turns = []
    bench.until(lambda: turns.append(True) or len(turns) > 20)
    assert len(tries) == 1
    door.listener.sock = real
    told = Told(sock)
    bench.until(lambda: told.look() or b"GET " in told.data)


def test_an_answer_with_a_line_end_in_a_header_is_not_sent(bench):
    door = bench.door()
    told = Told(bench.connect(door.address, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"))
    call = bench.calls_at_least(1)
    with pytest.raises(ValueError):
        call.answer(200, {"x-one": "1\r\nx-two: 2"}, b"")
    call.answer(502, {}, b"")
    bench.until(lambda: told.look() or told.data)
    assert read_answers(told.data) == [(502, b"")]


TOKEN = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12)
VALUE = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20)


@QUICK
@given(
    fields=st.lists(st.tuples(TOKEN.map("x-{}".format), VALUE), max_size=8),
    parts=st.lists(st.binary(min_size=1, max_size=200), max_size=5),
    is_chunked=st.booleans(),
    cuts=st.lists(st.integers(0, 2_000), max_size=6),
)
def test_requests_arrive_the_same_however_they_are_cut_up(fields, parts, is_chunked, cuts):
    bench = Bench()
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
        door = bench.door()
        sock = bench.connect(door.address)
        places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        for begin, end in pairwise(places):
            sock.sendall(data[begin:end])
            for _ in range(2):
                bench.loop.tick()
        call = bench.calls_at_least(1)
        assert (call.method, call.path, call.body) == ("POST", "/p?q", body)
        assert call.fields[1:-1] == fields
    finally:
        bench.close()


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
def test_no_bytes_break_the_door(pieces):
    bench = Bench()
    try:
        door = bench.door(echo)
        sock = bench.connect(door.address, b"".join(pieces))
        sock.shutdown(socket.SHUT_WR)
        told = Told(sock)
        bench.until(told.look)
        bench.until(lambda: not door.connections)
        alive = bench.ask(
            door.address,
            b"GET / HTTP/1.1\r\n" + HOST + b"\r\n",
            lambda data: data.endswith(b"GET "),
        )
        assert read_answers(alive.data) == [(200, b"GET ")]
    finally:
        bench.close()


# pooled connections


def test_a_kept_connection_is_used_again_and_the_newest_first(bench):
    runner = Runner(bench, *[whole()] * 5)
    first, second = Heard(), Heard()
    for heard in (first, second):
        bench.client.open(runner.address, "GET", "/x", {}, b"", heard.handler, keep_alive=True)
    runner.until(lambda: first.is_over() and second.is_over())
    assert first.body == second.body == b"ok" and bench.client.count(runner.address) == 2
    newest = bench.client.pools[runner.address].idle[-1]
    third = Heard()
    exchange = bench.client.open(
        runner.address, "GET", "/x", {}, b"", third.handler, keep_alive=True
    )
    assert exchange.is_reused and exchange.connection is newest
    runner.until(third.is_over)
    assert third.is_whole and bench.client.opened == 2
    assert b"connection" not in runner.got[-1]


def test_most_bounds_busy_and_idle_connections(bench):
    runner = Runner(bench, whole(), whole())
    one, two = Heard(), Heard()
    assert bench.client.open(
        runner.address, "GET", "/x", {}, b"", one.handler, keep_alive=True, max_connections=1
    )
    assert (
        bench.client.open(
            runner.address, "GET", "/x", {}, b"", two.handler, keep_alive=True, max_connections=1
        )
        is None
    )
    runner.until(one.is_over)
    assert bench.client.open(
        runner.address, "GET", "/x", {}, b"", two.handler, keep_alive=True, max_connections=1
    ).is_reused
    runner.until(two.is_over)
    assert bench.client.opened == 1 and not one.errors and not two.errors


def test_the_request_goes_out_with_its_fields_in_order_and_the_host_told(bench):
    runner = Runner(bench, whole())
    heard = Heard()
    fields = [
        ("Host", "old"),
        ("X-One", "1"),
        ("X-Two", "2"),
        ("x-one", "3"),
        ("Content-Length", "9"),
    ]
    bench.client.open(
        runner.address,
        "POST",
        "/a%2f?b",
        fields,
        b"",
        heard.handler,
        keep_alive=True,
        host="new.example",
    )
    runner.until(heard.is_over)
    assert runner.got == [
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
def test_a_request_that_would_look_like_two_is_not_sent(bench, path, headers):
    runner = Runner(bench)
    with pytest.raises(ValueError):
        bench.client.open(
            runner.address, "GET", path, headers, b"", Heard().handler, keep_alive=True
        )
    assert not bench.client.count(runner.address)


@pytest.mark.parametrize(
    "reply",
    [
        whole(more=b"connection: close\r\n"),
        whole() + b"surplus",
        whole() + whole(b"second"),
        (whole(), True),
        whole().replace(b"1.1", b"1.0"),
        whole(more=b"keep-alive: timeout=0\r\n"),
    ],
)
def test_a_connection_that_may_not_be_kept_is_not_kept(bench, reply):
    runner = Runner(bench, reply, whole(b"next"))
    assert runner.call(keep_alive=True).body == b"ok"
    runner.until(lambda: not bench.client.count(runner.address)) if isinstance(
        reply, tuple
    ) else None
    assert runner.call(keep_alive=True).body == b"next"
    assert bench.client.opened == 2


def test_surplus_that_comes_while_idle_closes_the_connection(bench):
    runner = Runner(bench, whole(), whole(b"next"))
    runner.call(keep_alive=True)
    runner.connections[0][0].sendall(whole(b"surplus"))
    runner.until(lambda: not bench.client.count(runner.address))
    assert runner.call(keep_alive=True).body == b"next"


@pytest.mark.parametrize("sign", [b"", b"late"])
def test_a_close_or_surplus_not_yet_noticed_is_found_before_writing(bench, sign):
    runner = Runner(bench, whole(), whole(b"next"))
    runner.call(keep_alive=True)
    runner.connections[0][0].sendall(sign) if sign else runner.connections[0][0].close()
    heard = Heard()
    exchange = bench.client.open(
        runner.address, "GET", "/x", {}, b"", heard.handler, keep_alive=True
    )
    assert not exchange.is_reused
    runner.until(heard.is_over)
    assert heard.body == b"next" and not heard.errors and len(runner.got) == 2


def test_bytes_before_the_request_is_sent_are_not_its_response(bench):
    runner = Runner(bench, whole(), whole(b"next"))
    runner.call(keep_alive=True)
    heard = Heard()
    exchange = bench.client.open(
        runner.address, "GET", "/x", {}, b"", heard.handler, keep_alive=True
    )
    assert exchange.is_reused
    exchange.connection.tcp.on_data(whole(b"surplus"))
    runner.until(heard.is_over)
    assert heard.body == b"next" and not heard.errors and bench.client.opened == 2
    assert bench.client.count(runner.address) == 1 and len(runner.got) == 2


def test_a_reused_connection_that_fails_at_the_first_write_is_replaced_silently(bench):
    runner = Runner(bench, whole(), whole(b"next"))
    runner.call(keep_alive=True)
    heard = Heard()
    exchange = bench.client.open(
        runner.address, "GET", "/x", {}, b"", heard.handler, keep_alive=True, max_connections=1
    )
    assert exchange.is_reused
    exchange.connection.tcp.fail()
    runner.until(heard.is_over)
    assert heard.body == b"next" and not heard.errors and not exchange.is_reused


def test_a_reused_connection_that_dies_after_the_request_is_an_error_that_may_have_run(bench):
    runner = Runner(bench, whole(), (b"", True))
    runner.call(keep_alive=True)
    assert runner.call(keep_alive=True).errors == [True]
    assert len(runner.got) == 2


def test_idle_connections_are_closed_when_their_told_life_is_over(bench):
    bench.client.idle_us = 1_000
    runner = Runner(bench, whole(), whole(more=b"keep-alive: timeout=5, max=9\r\n"))
    runner.call(keep_alive=True)
    runner.until(lambda: not bench.client.count(runner.address))
    now_us = bench.loop.timer.now_us()
    runner.call(keep_alive=True)
    assert (
        3_900_000
        < bench.client.pools[runner.address].idle[0].idle_until_us - now_us
        <= 4_000_000 + DEADLINE_S * 1_000_000
    )
    assert not bench.client.pools[runner.address].idle[0].tcp.is_closed


def test_a_refused_connection_has_not_begun(bench):
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    heard = Heard()
    assert bench.client.open(
        f"127.0.0.1:{port}", "GET", "/x", {}, b"", heard.handler, keep_alive=True
    )
    bench.until(heard.is_over)
    assert heard.errors == [False] and not bench.client.count(f"127.0.0.1:{port}")


def test_a_connection_that_does_not_come_up_has_not_begun(bench):
    bench.client.connect_us = 30_000
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    bench.socks.append(listener)
    address = "127.0.0.1:%d" % listener.getsockname()[1]
    for _ in range(4):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        bench.socks.append(sock)
    heard = Heard()
    bench.client.open(address, "GET", "/x", {}, b"", heard.handler, keep_alive=True)
    bench.until(heard.is_over)
    assert heard.errors == [False]


def test_a_body_until_close_ends_with_the_close_and_not_with_a_reset(bench):
    reply = b"HTTP/1.1 200 OK\r\n\r\nbody"
    runner = Runner(bench, (reply, True), reply)
    heard = runner.call(keep_alive=True)
    assert heard.is_whole and heard.body == b"body"
    cut = Heard()
    bench.client.open(runner.address, "GET", "/x", {}, b"", cut.handler, keep_alive=True)
    runner.until(lambda: cut.body)
    sock = runner.connections[-1][0]
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    sock.close()
    runner.until(cut.is_over)
    assert cut.errors == [True]


def test_interim_answers_are_passed_over(bench):
    runner = Runner(
        bench, b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nx: y\r\n\r\n" + whole()
    )
    heard = runner.call(keep_alive=True)
    assert (heard.status, heard.body) == (200, b"ok") and "x" not in heard.headers


def test_closing_an_exchange_closes_its_connection(bench):
    runner = Runner(bench, b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n123")
    heard = Heard()
    exchange = bench.client.open(
        runner.address, "GET", "/x", {}, b"", heard.handler, keep_alive=True
    )
    runner.until(lambda: heard.body)
    exchange.close()
    exchange.pause_reading()
    exchange.resume_reading()
    assert not bench.client.count(runner.address)
    bench.loop.tick()
    assert not heard.is_over()


def test_a_held_exchange_reads_on_when_released(bench):
    runner = Runner(bench, b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n123")
    heard = Heard()
    exchange = bench.client.open(
        runner.address, "GET", "/x", {}, b"", heard.handler, keep_alive=True
    )
    runner.until(lambda: heard.body)
    exchange.pause_reading()
    runner.connections[0][0].sendall(b"456")
    turns = []
    bench.until(lambda: turns.append(True) or len(turns) > 20)
    assert heard.body == b"123"
    exchange.resume_reading()
    runner.until(heard.is_over)
    assert heard.body == b"123456" and heard.is_whole


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
def test_whatever_a_runner_sends_the_hearer_hears_one_end_and_the_next_call_is_its_own(
    pieces, closes
):
    bench = Bench()
    try:
        data = b"".join(pieces)
        runner = Runner(bench, (data, True), whole(b"next"))
        heard = runner.call(keep_alive=True)
        assert heard.is_whole != bool(heard.errors) and len(heard.errors) <= 1
        if heard.is_whole:
            assert read_answers(data, closed=True)[0] == (heard.status, heard.body)
        else:
            assert heard.errors == [True]
        assert runner.call(keep_alive=True).body == b"next"
    finally:
        bench.close()


# lines and signals


def test_the_lines_of_one_turn_go_out_in_one_write(bench, monkeypatch):
    runner = Runner(bench)
    bench.client.send(runner.address, {"number": 0})
    runner.until(lambda: runner.connections and runner.connections[0][1])
    sizes = []
    tcp = bench.client.line_clients[runner.address].tcp

    class Counted:
        def __getattr__(self, name):
            return getattr(real, name)

        def send(self, data):
            sizes.append(len(data))
            return real.send(data)

    real, tcp.sock = tcp.sock, Counted()
    for number in range(1, 10):
        bench.client.send(runner.address, {"number": number})
    runner.until(lambda: runner.connections[0][1].count(b"\n") == 10)
    assert len(sizes) == 1
    assert [json.loads(line)["number"] for line in runner.connections[0][1].splitlines()] == list(
        range(10)
    )
    assert real.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 3_000


def test_lines_arrive_however_they_are_cut_up(bench):
    line_server = bench.loop.add_line_server("127.0.0.1:0")
    sock = bench.connect(line_server.listener.address)
    lines = [
        json.dumps({"say": "count", "name": "n", "back": "10.0.0.1:1", "a": number}).encode()
        for number in (1, 2, 3)
    ]
    data = lines[0] + b"\n" + lines[1] + b'\n\n[1]\n{"a":9}\n' + lines[2] + b"\n"
    for piece in (data[:5], data[5:90], data[90:], b'{"say":"count"}\n'):
        sock.sendall(piece)
        bench.loop.tick()
    bench.until(lambda: len(bench.loop.node.heard) == 3)
    assert bench.loop.node.heard == [json.loads(line) for line in lines]
    bench.until(lambda: [number for number, _ in bench.events] == [1006] * 3)
    bench.loop.node.fault = ServiceError("too_busy")
    sock.sendall(lines[0] + b"\n" + lines[1] + b"\n")
    bench.until(lambda: len(bench.loop.node.heard) == 5)
    assert len(line_server.connections) == 1
    assert [number for number, _ in bench.events] == [1006] * 3 + [1005] * 2
    bench.events.clear()
    sock.sendall(b"no json\n")
    bench.until(lambda: not line_server.connections)
    assert [number for number, _ in bench.events] == [1006]


def test_hangup_calls_back_and_a_second_term_does_not_stop_a_drain(bench):
    calls = []
    loop = bench.loop
    loop.on_hangup = lambda: calls.append("hangup")
    loop._signal_handler(signal.SIGHUP, None)
    bench.until(lambda: calls)
    assert loop.node.on_drained is None
    for _ in range(2):
        loop._signal_handler(signal.SIGTERM, None)
    bench.until(lambda: not len(loop._queue))
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
