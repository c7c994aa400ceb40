"""A simulated TCP network around the real HTTP server, router, runner adapter and pools.

Only the sockets, epoll and the clock are simulated. The test controls runners and callers;
`RuleChecker` checks what they observed, independently of the code under test.
"""

import errno
import heapq
import random
import select
import socket
from collections import Counter
from types import SimpleNamespace

import h11
from test_platform import SETTINGS, NodeSettings

from linkhaven.platform import names
from linkhaven.platform.callers import PlatformCallers
from linkhaven.platform.runners import PlatformRunnerClient
from linkhaven.platform.translation import translate_configuration
from linkhaven.router import RouterNode
from linkhaven.runtime import Ports
from linkhaven.wire import listener, tcp_connection
from linkhaven.wire.client import Client
from linkhaven.wire.http_server import HttpServer, ServerLimits
from linkhaven.wire.poller import DirectPoller

MS = 1_000
TICK_US = 20 * MS
READ, WRITE, ERR, HUP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLERR, select.EPOLLHUP
DOOR_ADDRESS = "10.0.0.1:80"
EVENTS_PER_STREAM = 4
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
HOST = "one.example"
ROUTES = {
    "safe": {"route_type": "safe", "max_attempts": 2, "resumable": False},
    "once": {"route_type": "unsafe", "max_attempts": 2, "resumable": False},
    "resumable": {"route_type": "streaming", "max_attempts": 3, "resumable": True},
    "single": {"route_type": "streaming", "max_attempts": 2, "resumable": False},
}
REPEATABLE = {"safe", "resumable"}


class RuleBrokenError(AssertionError):
    """A rule of the data plane is violated; the message starts with the rule's name."""

    count = 0

    def __init__(self, detail):
        super().__init__(detail)
        RuleBrokenError.count += 1


def require(condition, rule, detail=""):
    if not condition:
        raise RuleBrokenError(f"{rule}: {detail}")


class Endpoint:
    """One end of a simulated TCP connection.

    `receive_window` limits the unread bytes; None means no limit. `is_test_side` marks an end that
    a simulated runner or caller uses.
    """

    def __init__(self):
        self.rx = bytearray()
        self.peer = None
        self.receive_window = None
        self.is_eof = self.is_reset = self.is_closed = False
        self.is_test_side = False

    def can_send(self):
        peer = self.peer
        return peer is not None and (
            peer.receive_window is None or len(peer.rx) < peer.receive_window
        )

    def send(self, data):
        if self.is_reset and self.is_test_side:
            return len(data)
        if self.is_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        peer = self.peer
        if peer.is_closed:
            self.is_reset = True
            return len(data)
        if not self.can_send():
            raise BlockingIOError
        room = len(data) if peer.receive_window is None else peer.receive_window - len(peer.rx)
        peer.rx += data[:room]
        return min(room, len(data))

    def recv(self, most, flags=0):
        if self.rx:
            data = bytes(self.rx[:most])
            if not flags & socket.MSG_PEEK:
                del self.rx[:most]
            return data
        if self.is_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if self.is_eof:
            return b""
        raise BlockingIOError

    def close(self, by_reset=False):
        if self.is_closed:
            return
        self.is_closed = True
        if self.peer is None:
            return
        if by_reset or self.rx:
            self.peer.is_reset = True
        else:
            self.peer.is_eof = True

    def close_silently(self):
        """Close without notifying the peer: it gets a reset when it next sends bytes."""
        self.is_closed = True


def connected_pair():
    one, other = Endpoint(), Endpoint()
    one.peer, other.peer = other, one
    return one, other


class SimSocket:
    """A socket of the system under test: its end of a connection, or its listener."""

    def __init__(self, net):
        self.net = net
        self.end = None
        self.address = None
        self.error = 0
        self.waiting = []
        self.is_listening = self.by_reset = False
        self.number = net.add(self)

    def fileno(self):
        return self.number

    def setblocking(self, is_blocking):
        pass

    def setsockopt(self, level, option, value):
        if option == socket.SO_LINGER:
            self.by_reset = True

    def getsockopt(self, level, option):
        return self.error

    def connect_ex(self, address):
        self.net.connect(self, "%s:%d" % address)
        return errno.EINPROGRESS

    def bind(self, address):
        self.address = address

    def listen(self, backlog):
        self.is_listening = True

    def getsockname(self):
        return self.address

    def accept(self):
        if not self.waiting:
            raise BlockingIOError
        sock = SimSocket(self.net)
        sock.end = self.waiting.pop(0)
        return sock, ("10.9.9.9", 1)

    def send(self, data):
        return self.end.send(bytes(data))

    def recv(self, most, flags=0):
        return self.end.recv(most, flags)

    def shutdown(self, how):
        self.end.peer.is_eof = True

    def close(self):
        self.net.remove(self)
        if self.end is not None:
            self.end.close(self.by_reset)

    def ready(self):
        if self.is_listening:
            return READ if self.waiting else 0
        if self.error:
            return READ | WRITE | ERR | HUP
        if self.end is None:
            return 0
        mask = READ if self.end.rx or self.end.is_eof else 0
        if self.end.is_reset:
            return mask | READ | WRITE | ERR | HUP
        return mask | (WRITE if self.end.can_send() else 0)


class SimNetwork:
    """Replaces the module `socket` and the kernel's epoll."""

    def __init__(self):
        self.sockets = {}
        self.serial = 10
        self.masks = {}
        self.runners = {}
        self.pending = []
        self.is_reversed = False
        self.module = SimpleNamespace(
            socket=lambda family, kind: SimSocket(self),
            **{name: getattr(socket, name) for name in dir(socket) if name.isupper()},
        )

    def add(self, sock):
        self.serial += 1
        self.sockets[self.serial] = sock
        return self.serial

    def remove(self, sock):
        self.sockets.pop(sock.number, None)

    def connect(self, sock, address):
        runner = self.runners.get(address)
        if runner is None:
            sock.error = errno.ECONNREFUSED
        elif runner.is_unresponsive:
            self.pending.append((sock, address))
        else:
            sock.end, other = connected_pair()
            runner.accept(other)

    def connect_pending(self, address):
        for sock, wanted in [entry for entry in self.pending if entry[1] == address]:
            self.pending.remove((sock, wanted))
            if sock.number in self.sockets:
                self.connect(sock, wanted)

    def open_count(self):
        return sum(not sock.is_listening for sock in self.sockets.values())

    # epoll interface

    def register(self, number, mask):
        assert number in self.sockets and number not in self.masks
        self.masks[number] = mask

    def modify(self, number, mask):
        assert number in self.masks
        self.masks[number] = mask

    def unregister(self, number):
        del self.masks[number]

    def poll(self, timeout):
        ready = []
        for number, mask in self.masks.items():
            seen = self.sockets[number].ready() & (mask | ERR | HUP)
            if seen:
                ready.append((number, seen))
        return ready[::-1] if self.is_reversed else ready


class SimPoller(DirectPoller):
    """The real poller over the simulated epoll; records exceptions raised by callbacks."""

    def __init__(self, net):
        self._poller = net
        self.callbacks = {}
        self.deferred = []
        self.faults = []

    def fire(self, event, *channels):
        self.faults.append(event.args[1])


class SimClock:
    def __init__(self):
        self.us = 1_000_000_000
        self.timers = []
        self.serial = 0

    def now_us(self):
        return self.us

    def call_in(self, delay_us, callback):
        self.serial += 1
        heapq.heappush(self.timers, (self.us + delay_us, self.serial, callback))

    def run_due(self):
        while self.timers and self.timers[0][0] <= self.us:
            heapq.heappop(self.timers)[2]()


class CallerRequest:
    """One request of a caller, and everything that runners and the caller observed of it."""

    def __init__(self, id, kind, body, resumed_at, declares_prompt):
        self.id = id
        self.kind = kind
        self.method = "POST" if body else "GET"
        self.path = f"/{kind}/{id}"
        self.body = body
        self.resumed_at = resumed_at
        self.declares_prompt = declares_prompt
        self.arrivals = []
        self.status = None
        self.seal = None
        self.data = b""
        self.outcome = None

    @property
    def is_streaming(self):
        return self.kind in ("resumable", "single")

    @property
    def is_one_time(self):
        return self.kind not in REPEATABLE

    def fields(self):
        fields = [("Host", HOST), ("Request-Id", self.id), ("Deadline-Remaining", "4000")]
        if self.declares_prompt:
            fields += [("Token-Usage", "100,10"), ("Prompt-Prefix", f"{self.id}:100")]
        if self.resumed_at:
            fields.append(("Last-Event-Id", str(self.resumed_at)))
        return fields

    def write(self, is_chunked):
        head = f"{self.method} {self.path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in self.fields())
        if not self.body:
            return head.encode() + b"\r\n"
        if not is_chunked:
            return head.encode() + b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body
        parts = [self.body[at : at + 100] for at in range(0, len(self.body), 100)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"

    def events(self, after, last=EVENTS_PER_STREAM):
        return [
            b"id: %d\ndata: %b %d\n\n" % (number, self.id.encode(), number)
            for number in range(after + 1, last + 1)
        ]

    def runs(self):
        return [arrival for arrival in self.arrivals if arrival.may_have_run()]


class Arrival:
    """One complete request as received by a runner."""

    def __init__(self, runner, connection, method, path, headers, body):
        self.runner = runner
        self.connection = connection
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.request = None
        self.is_rejected = False
        self.written = None

    @property
    def is_prefill(self):
        return self.headers.get("serving-phase") == "prefill"

    def may_have_run(self):
        return not self.is_prefill and not self.is_rejected


class SimRunner:
    """A runner at an address; the test controls when and how it responds."""

    def __init__(self, world, name, address, phase):
        self.world = world
        self.name = name
        self.address = address
        self.phase = phase
        self.is_unresponsive = False
        self.connections = []
        self.unanswered = []

    def accept(self, end):
        end.receive_window = self.world.receive_window
        end.unread = b""
        end.is_test_side = True
        self.connections.append(end)

    def read(self):
        if self.is_unresponsive:
            return
        for end in list(self.connections):
            if end.is_closed:
                self.connections.remove(end)
                continue
            if end.receive_window is None and end.rx:
                end.unread += end.recv(1 << 20)
                self._take_requests(end)
            if end.is_reset or end.is_eof and not end.rx:
                self.disconnect(end)

    def disconnect(self, end, by_reset=False):
        end.close(by_reset)
        self.connections.remove(end)
        self.unanswered = [arrival for arrival in self.unanswered if arrival.connection is not end]

    def _take_requests(self, end):
        while b"\r\n\r\n" in end.unread:
            head, _, rest = end.unread.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            body, end.unread = rest[:length], rest[length:]
            method, path, _ = first.split(" ")
            arrival = Arrival(self, end, method, path, headers, body)
            self.world.checker.on_arrival(arrival)
            if arrival.request is None:
                end.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            elif headers.get("expected-instance") != self.name:
                arrival.is_rejected = True
                end.send(self.world.answer(arrival, 421, b"", instance=self.name))
            else:
                self.unanswered.append(arrival)


class Caller:
    """One connection of a caller; responses come in the order of the requests."""

    def __init__(self, world):
        self.world = world
        self.end, other = connected_pair()
        self.end.is_test_side = True
        world.listener.waiting.append(other)
        self.waiting = []
        self.http = None
        self.is_over = False
        self.has_disconnected = False

    def send_request(self, request, is_chunked):
        self.waiting.append(request)
        try:
            self.end.send(request.write(is_chunked))
        except ConnectionResetError:
            pass

    def disconnect(self, by_reset):
        self.has_disconnected = True
        self.read()
        self.is_over = True
        self.end.close(by_reset)
        for request in self.waiting:
            request.outcome = request.outcome or "left"

    def read(self):
        if self.is_over:
            return
        data = b""
        while self.end.rx:
            data += self.end.recv(1 << 20)
        if data:
            self._take(data)
        if self.end.is_reset or self.end.is_eof:
            self._close()

    def _take(self, data):
        while data:
            require(self.waiting, "MIXED", f"bytes without a waiting request: {data!r}")
            if self.http is None:
                self.http = h11.Connection(h11.CLIENT)
                request = self.waiting[0]
                self.http.send(
                    h11.Request(method=request.method, target="/", headers=[("host", "-")])
                )
                self.http.send(h11.EndOfMessage())
            self.http.receive_data(data)
            data = b""
            if self._read_events():
                data = self.http.trailing_data[0]
                self.http = None

    def _read_events(self):
        request = self.waiting[0]
        try:
            while True:
                event = self.http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return False
                if isinstance(event, h11.Response):
                    headers = {name.decode(): value.decode() for name, value in event.headers}
                    self.world.checker.on_head(request, event.status_code, headers)
                elif isinstance(event, h11.Data):
                    request.data += bytes(event.data)
                    self.world.checker.on_data(request)
                elif isinstance(event, h11.EndOfMessage):
                    self.waiting.pop(0)
                    self.world.checker.on_end(request)
                    return True
                else:
                    return False
        except h11.RemoteProtocolError as fault:
            raise RuleBrokenError(f"MIXED: invalid response: {fault}") from fault

    def _close(self):
        self.is_over = True
        if self.http is not None and self.waiting:
            try:
                if not self.end.is_reset:
                    self.http.receive_data(b"")
                    if self._read_events():
                        self.http = None
            except RuleBrokenError:
                pass
        for request in self.waiting:
            request.outcome = request.outcome or "cut"
        self.end.close()


class RuleChecker:
    """Checks what runners and callers observed against the rules of the data plane.

    | rule | violated by |
    | --- | --- |
    | MIXED | a response or part of one that belongs to another request, or looks complete early |
    | UNASKED | a runner receives something that no caller sent |
    | TWICE | a request that must not be repeated runs again |
    | REFUSED | a request runs although its response says that it did not |
    | BUDGET | more runs than the route's `max_attempts` |
    | DENIED | a router response with an unexpected status |
    | ROUTE | a request names no expected runner |
    | ORDER | events of a stream are lost, repeated or reordered |
    | END | a request gets no outcome, or more than one |
    | LEAK | a connection or socket that no request or pool holds |
    | FAULT | an exception in a callback, or a loop that never becomes idle |
    """

    def __init__(self):
        self.caller_requests = {}
        self.seals = {}
        self.handles = {}
        self.counts = Counter()

    def on_arrival(self, arrival):
        request = self.caller_requests.get(arrival.headers.get("request-id"))
        if request is None:
            require(arrival.path.startswith(names.HANDLE_PATH), "UNASKED", arrival.path)
            return
        arrival.request = request
        is_as_sent = (arrival.method, arrival.path, arrival.body) == (
            request.method,
            request.path,
            request.body,
        )
        require(is_as_sent, "UNASKED", f"{arrival.method} {arrival.path} {arrival.body!r}")
        require("expected-instance" in arrival.headers, "ROUTE", "no expected-instance header")
        source = arrival.headers.get("kv-source")
        if source is not None:
            owner = self.handles.get(source.rpartition("/")[2])
            require(owner in (None, request.id), "MIXED", "KV handle of another request")
        earlier = request.runs()
        request.arrivals.append(arrival)
        if arrival.is_prefill:
            return
        self.counts["sends"] += 1
        self.counts["further sends"] += bool(earlier)
        require(not (request.is_one_time and earlier), "TWICE", request.id)
        require(
            request.status not in NOT_EXECUTED_STATUSES,
            "REFUSED",
            f"{request.id} runs after its refusal",
        )

    def check_runs(self):
        for request in self.caller_requests.values():
            max_attempts = ROUTES[request.kind]["max_attempts"]
            require(
                len(request.runs()) <= max_attempts,
                "BUDGET",
                f"{request.id}: {len(request.runs())} runs",
            )

    def on_head(self, request, status, headers):
        require(request.status is None, "MIXED", "a second response")
        request.status, request.seal = status, headers.get("response-seal")
        response_to = headers.get("request-id")
        require(
            response_to in (None, request.id),
            "MIXED",
            f"{request.id} got a response to {response_to}",
        )
        self.counts[f"{'runner' if request.seal else 'own'} {status // 100}xx"] += 1
        if request.seal is not None:
            require(request.seal in self.seals, "MIXED", "a seal that no runner sent")
            owner, given, _ = self.seals[request.seal]
            require(owner is request, "MIXED", f"{request.id} got the response of {owner.id}")
            require(given == status, "MIXED", f"{status} under the seal of a {given}")
        elif status < 300:
            raise RuleBrokenError(f"MIXED: a {status} without a seal")
        require(
            request.seal or status in NOT_EXECUTED_STATUSES or status >= 500, "DENIED", str(status)
        )
        if status in NOT_EXECUTED_STATUSES:
            require(not request.runs(), "REFUSED", f"{request.id} may have run and got {status}")

    def _expected(self, request):
        body = self.seals[request.seal][2]
        return b"".join(request.events(request.resumed_at)) if body is None else body

    def on_data(self, request):
        if request.seal is None:
            return
        expected = self._expected(request)
        rule = "ORDER" if self.seals[request.seal][2] is None else "MIXED"
        require(expected.startswith(request.data), rule, f"{request.id} got {request.data!r}")

    def on_end(self, request):
        require(request.outcome is None, "END", "a response after its end")
        request.outcome = "whole"
        self.counts["whole"] += 1
        if request.seal is not None:
            is_whole = request.data == self._expected(request)
            require(
                is_whole, "MIXED", f"{request.id} ends early but looks complete: {request.data!r}"
            )


class World:
    """One router with its HTTP server and pools, and simulated runners and callers."""

    def __init__(self):
        self.net = SimNetwork()
        self.clock = SimClock()
        self.poller = SimPoller(self.net)
        self.real_socket = tcp_connection.socket
        tcp_connection.socket = listener.socket = self.net.module
        self.checker = RuleChecker()
        self.receive_window = None
        self.serial = 0
        self.due_us = self.clock.us
        self.runners = []
        self.callers = []
        self.client = Client(self.clock, self.poller, "10.0.0.1:7000", lambda message: None)
        wire = SimpleNamespace(
            send=lambda address, message: None,
            open=self.client.open,
            soon=self.client.soon,
            reconnect=lambda address: None,
        )
        ports = Ports(self.clock, wire, None, random.Random(7), lambda number, **facts: None)
        place = NodeSettings(SETTINGS)
        self.node = RouterNode(
            "edge-1",
            "10.0.0.1:7000",
            ports,
            "a",
            place.seeds,
            1,
            bounds=place.bounds,
            callers=PlatformCallers(),
            make_runner_client=PlatformRunnerClient,
        )
        self.server = HttpServer(
            DOOR_ADDRESS, self.node.serve_request, ServerLimits(), self.poller, self.clock
        )
        self.listener = self.server.listener.sock
        self._apply_plan()
        self.list_serial = 0
        self.publish_runners()

    def _apply_plan(self):
        routes = [
            {
                "name": f"r-{kind}",
                "hostname": HOST,
                "path_prefix": f"/{kind}/",
                "timeout_ms": 4000,
                "target_latency_ms": 800,
                "priority": 1,
                "target_service": "pool-1",
                "target_gap_ms": 300,
                **route,
            }
            for kind, route in ROUTES.items()
        ]
        service = {"name": "pool-1", "health_path": "/health", "max_connections": 360}
        document = {"revision": 1, "route_rules": routes, "services": [service]}
        self.node.snapshot.take({"mark": 1, "plan": translate_configuration(document, 0.2, 50)})
        self.node.retry_budget.attempts_per_request = 1.0
        self.node.retry_budget.apply_grant(50, 1, 1 << 60)

    def publish_runners(self):
        """Give the router the current runner list: each address with the runner now at it."""
        self.list_serial += 1
        for place, phase in enumerate(("decode", "decode", "prefill")):
            self.place_runner(f"10.1.0.{place + 1}:8080", phase)
        records = [
            {
                "name": runner.name,
                "address": runner.address,
                "zone": "a",
                "incarnation": 1,
                "pool": "pool-1",
                "slots": 64,
                "phase": runner.phase,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 1_000_000,
                "is_leaving": False,
                "is_listed": True,
                "is_dark": False,
                "mark": 0,
                "fence": 0,
                "age_us": 0,
            }
            for runner in self.runners
        ]
        document = {"fence": 1, "serial": self.list_serial, "age_us": 0, "runners": records}
        self.node.roster.take(document, self.clock.us)

    def place_runner(self, address, phase, how="reset"):
        former = self.net.runners.get(address)
        if former is not None:
            self.runners.remove(former)
            for end in list(former.connections):
                end.close_silently() if how == "forget" else former.disconnect(end, how == "reset")
        self.serial += 1
        runner = SimRunner(self, f"i-{self.serial}", address, phase)
        self.net.runners[address] = runner
        self.runners.append(runner)
        self.net.connect_pending(address)
        return runner

    # Responses of runners

    def answer(self, arrival, status, body, instance=None, **more):
        """A complete response with a length; `more` changes header fields or omits them (None)."""
        fields = {"Request-Id": arrival.request.id, "Content-Length": str(len(body))}
        if instance is not None:
            fields["Instance-Id"] = instance
        if status == 421 or more.pop("is_not_run", False):
            fields["Not-Executed"] = "1"
        elif more.pop("is_sealed", True):
            fields["Response-Seal"] = self.seal(arrival.request, status, body)
        for name, value in more.items():
            fields[name.replace("_", "-").title()] = value
        lines = [f"{name}: {value}" for name, value in fields.items() if value is not None]
        head = f"HTTP/1.1 {status} Told\r\n" + "".join(f"{line}\r\n" for line in lines)
        return head.encode() + b"\r\n" + body

    def seal(self, request, status, body):
        self.serial += 1
        seal = f"s-{self.serial}"
        self.checker.seals[seal] = (request, status, body)
        return seal

    def stream_head(self, request, **more):
        fields = {
            "Request-Id": request.id,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Response-Seal": self.seal(request, 200, None),
            **{name.replace("_", "-").title(): value for name, value in more.items()},
        }
        lines = [f"{name}: {value}\r\n" for name, value in fields.items() if value is not None]
        return ("HTTP/1.1 200 OK\r\n" + "".join(lines) + "\r\n").encode()

    # Simulated time

    def turn(self):
        self.clock.run_due()
        if self.clock.us >= self.due_us:
            self.due_us = self.clock.us + TICK_US
            self.node.tick()
            self.client.on_tick(self.clock.us)
            self.server.on_tick(self.clock.us)
        self.poller.turn(0)
        require(not self.poller.faults, "FAULT", repr(self.poller.faults))

    def settle(self):
        """Run turns until nothing more happens at the current time."""
        for _ in range(200):
            self.turn()
            for runner in list(self.runners):
                runner.read()
            for caller in self.callers:
                caller.read()
            is_quiet = not self.poller.deferred and not self.net.poll(0)
            if is_quiet and not any(end.rx for end in self._ends()):
                return
        raise RuleBrokenError("FAULT: the loop never becomes idle")

    def _ends(self):
        runners = [
            end
            for runner in self.runners
            if not runner.is_unresponsive
            for end in runner.connections
            if end.receive_window is None
        ]
        reading = [caller for caller in self.callers if not caller.is_over]
        return runners + [caller.end for caller in reading if caller.end.receive_window is None]

    def run_for(self, duration_us):
        end_us = self.clock.us + duration_us
        while self.clock.us < end_us:
            self.clock.us += min(100 * MS, end_us - self.clock.us)
            self.settle()

    # Invariants at each step and at the end

    def check(self):
        self.checker.check_runs()
        open_connections = 0
        for pool in self.client.pools.values():
            open_connections += len(pool.open)
            for connection in pool.open:
                exchange = connection.exchange
                is_in_use = exchange is not None and not exchange.is_over
                is_idle = exchange is None and connection in pool.idle
                require(is_in_use != is_idle, "LEAK", "neither idle nor in use")
        open_connections += len(self.server.connections)
        require(self.net.open_count() == open_connections, "LEAK", "a socket without an owner")

    def finish(self):
        """Stop responding; every request must get an outcome, and no connection may stay open."""
        self.check()
        deepest = max((len(caller.waiting) for caller in self.callers), default=0)
        self.run_for((1_000 + 4_200 * deepest) * MS)
        for request in self.checker.caller_requests.values():
            require(request.outcome is not None, "END", f"{request.id} got no outcome")
        require(not self.node.requests, "END", "the router still has requests")
        for caller in self.callers:
            if not caller.is_over:
                caller.disconnect(False)
        self.run_for(6_000 * MS)
        self.check()
        require(self.net.open_count() == 0, "LEAK", f"{self.net.open_count()} sockets left")

    def close(self):
        tcp_connection.socket = listener.socket = self.real_socket
