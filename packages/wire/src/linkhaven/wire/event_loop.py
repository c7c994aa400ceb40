"""The event loop of a process: one thread that runs a node, its sockets and its timers.

Each iteration runs the timers that are due, including the node's tick, then polls the sockets and
runs the callbacks of those that are ready. Only log lines are written by a second thread.

| signal | first time | again while draining |
| --- | --- | --- |
| SIGTERM | `GracefulStop.begin`; without `node.drain` the loop stops at once | ignored |
| SIGINT | same as SIGTERM | stops at once |
| SIGHUP | calls `on_hangup` | calls `on_hangup` |
"""

import errno
import gc
import random
import signal as signals
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

from circuits import BaseComponent, handler
from circuits.core.events import exception

from linkhaven.api import ServiceError
from linkhaven.runtime import (
    Call,
    Clock,
    EventLog,
    Message,
    Ports,
    Storage,
    UntypedMessage,
    reply_address_of,
)

from .api_server import ApiServer
from .client import Client
from .graceful_stop import GracefulStop, ResponseServer, StopState
from .http_server import HttpServer
from .line_server import LineServer
from .log import make_log
from .poller import DirectPoller
from .server_call import ServerCall
from .server_limits import ServerLimits
from .timer import TICK_US, Timer

BODY_BYTES = 2_000_000
"""Default limit on the body of a request to linkhaven's own HTTP API."""

CONNECTIONS = 4_000
"""Default limit on the number of connections to linkhaven's own HTTP API."""

IDLE_CHECK_INTERVAL_US = 1_000_000
"""How often idle connections to linkhaven's own HTTP API are checked for."""

YOUNG_OBJECTS = 20_000
"""Threshold of the garbage collector's youngest generation.

With the interpreter's default the collector would run many times a second.
"""

OLDER_COLLECTIONS = 20
"""Number of collections of one generation that trigger a collection of the next."""

TRACE_LINES = 6
"""Number of lines logged from the end of an exception's traceback."""

NS_PER_US = 1_000
CALLER_GONE_ERRNO = errno.ENOTCONN


def is_caller_gone(error: BaseException) -> bool:
    """Whether a request could not be read because its caller had already reset the connection.

    circuits.web looks up the peer's address when it creates the request, which fails with ENOTCONN
    after a reset. No work was started, and there is nobody to respond to.
    Test: `test_a_caller_reset_before_the_request_is_read_is_not_logged`.
    """
    return isinstance(error, OSError) and error.errno == CALLER_GONE_ERRNO


def event_loop_options(settings: dict[str, Any]) -> dict[str, Any]:
    """Keyword arguments for `EventLoop` from the validated settings of a router or core member."""
    return {
        "name": settings["name"],
        "lines": settings["lines"],
        "http": settings["http"],
        "body_bytes": settings["body_bytes"],
        "connections": settings["conns"],
    }


class LoopStorage(Storage, Protocol):
    """A storage port that batches its writes per iteration of the event loop."""

    def attach(self, clock: Clock) -> None:
        """Set the clock of the loop that the storage is used on."""


class EventLoop(BaseComponent):
    """One process: a node with its sockets, clock and log, run by one loop on one thread.

    `node` is created by `build(ports, incarnation)`; the incarnation is the wall-clock time in
    microseconds.
    """

    channel = "event-loop"

    def __init__(
        self,
        name: str,
        lines: str | None,
        http: str | None,
        build: Callable[[Ports, int], Any],
        storage: LoopStorage | None = None,
        level: str = "info",
        log: EventLog | None = None,
        body_bytes: int = BODY_BYTES,
        connections: int = CONNECTIONS,
        tick_us: int = TICK_US,
        on_hangup: Callable[[], Any] | None = None,
    ) -> None:
        """Build the node and listen on `lines` and `http`, each only if given.

        `lines` is the address for messages of other nodes, `http` the one of linkhaven's own HTTP
        API. `log` takes precedence over `level`. Raises ServiceError `address_taken`.
        """
        super().__init__()
        self.code = 0
        self.last_check_us = 0
        self.on_hangup = on_hangup
        self.http_servers: list[HttpServer] = []
        self.log: Any = log or make_log(name, level)
        self.timer = Timer(self._on_tick, tick_us)
        self.poller = DirectPoller().register(self)
        client = Client(self.timer, self.poller, lines or http, self._on_message)
        self.client = client.register(self)
        if storage is not None:
            storage.attach(self.timer)
        ports = Ports(self.timer, self.client, storage, random.Random(), self.log)
        self.node = build(ports, time.time_ns() // NS_PER_US)
        self.timer.register(self)
        self.graceful_stop = GracefulStop(
            self.node, self._list_servers, self.timer, self.log, self.stop
        )
        if lines:
            self.add_line_server(lines)
        self.api_server = self._add_api(http, body_bytes, connections) if http else None

    def _on_message(self, message: Message | UntypedMessage) -> None:
        self.client.mark_alive(reply_address_of(message))
        self.node.dispatch(message)

    def _on_line(self, line: bytes) -> bool:
        """Pass a line to the node; returns False if it was not valid JSON."""
        try:
            message = self.node.read_line(line)
        except ServiceError:
            return False
        if message is not None:
            self._on_message(message)
        return True

    def _on_call(self, call: Call) -> None:
        self.node.serve(call)

    def add_line_server(self, address: str) -> LineServer:
        """Listen for lines from other nodes; raises ServiceError `address_taken`."""
        try:
            server = LineServer(address, self._on_line, self.poller, self.timer)
        except OSError as error:
            raise ServiceError("address_taken", lines=address, why=error.strerror) from None
        server.register(self)
        return server

    def add_http_server(
        self,
        address: str,
        on_call: Callable[[ServerCall], Any],
        limits: ServerLimits | None = None,
    ) -> HttpServer:
        """Listen for callers' requests to the fleet; raises ServiceError `address_taken`."""
        try:
            server = HttpServer(address, on_call, limits, self.poller, self.timer)
        except OSError as error:
            raise ServiceError("address_taken", http=address, why=error.strerror) from None
        server.register(self)
        self.http_servers.append(server)
        return server

    def _list_servers(self) -> list[ResponseServer]:
        """Return the servers whose responses are sent before the process stops."""
        servers: list[ResponseServer] = list(self.http_servers)
        if self.api_server is not None:
            servers.append(self.api_server)
        return servers

    def _add_api(self, address: str, body_bytes: int, connections: int) -> ApiServer:
        try:
            server = ApiServer(address, self._on_call, body_bytes, connections)
        except OSError as error:
            raise ServiceError("address_taken", http=address, why=error.strerror) from None
        server.register(self)
        return server

    def _on_tick(self) -> int:
        """Tick the node and the connections; returns the microseconds until the next tick."""
        delay_us = self.node.tick() or 0
        now_us = self.timer.now_us()
        self.client.on_tick(now_us)
        for server in self.http_servers:
            server.on_tick(now_us)
        if self.api_server is not None:
            self.api_server.wake_writers()
            self._close_idle(self.api_server, now_us)
        return max(self.timer.tick_us, delay_us)

    def _close_idle(self, api_server: ApiServer, now_us: int) -> None:
        if now_us - self.last_check_us < IDLE_CHECK_INTERVAL_US:
            return
        self.last_check_us = now_us
        api_server.close_idle(now_us)

    def tick(self, timeout: float = -1) -> None:
        """Run one iteration.

        Without pending circuits events or tasks it calls the timer and the poller directly.
        """
        if self._queue or self._tasks or not self._running:
            super().tick(timeout)
            return
        try:
            time_left = self.timer.turn()
        except Exception:
            kind, error, trace = sys.exc_info()
            self.fire(exception(kind, error, trace, handler=self.timer.turn, fevent=None))
            return
        self.poller.turn(0 if self._queue else time_left)

    def run_to_end(self) -> int:
        """Run until stopped by a signal or `stop`; returns the exit code."""
        facts = {"http": self._http_address()}
        self.log(1001, **facts)
        self._handle_signals()
        self._tune_collector()
        self.run()
        self.log(1003)
        self.log.close()
        return self.code

    def _http_address(self) -> str | None:
        if self.api_server is not None:
            return f"{self.api_server.host}:{self.api_server.port}"
        return self.http_servers[0].address if self.http_servers else None

    def _handle_signals(self) -> None:
        """Ignore SIGPIPE and handle SIGHUP; circuits itself handles SIGTERM and SIGINT."""
        signals.signal(signals.SIGPIPE, signals.SIG_IGN)
        if threading.current_thread() is threading.main_thread():
            signals.signal(signals.SIGHUP, self._signal_handler)

    def _tune_collector(self) -> None:
        """Exempt objects created at startup from garbage collection, and collect less often."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNG_OBJECTS, OLDER_COLLECTIONS, OLDER_COLLECTIONS)

    @handler("signal", channel="*")
    def _on_signal(self, signo: int, stack: Any) -> None:
        if signo == signals.SIGHUP:
            if self.on_hangup:
                self.on_hangup()
            return
        is_stopping = self.graceful_stop.state is not StopState.RUNNING
        if is_stopping and signo == signals.SIGTERM:
            return
        if is_stopping:
            self.graceful_stop.stop_now()
        elif hasattr(self.node, "drain"):
            self.graceful_stop.begin()
        else:
            self.stop()

    @handler("exception", channel="*")
    def _on_exception(
        self,
        kind: type[BaseException],
        error: BaseException,
        trace: Any,
        handler: Any = None,
        fevent: Any = None,
    ) -> None:
        if is_caller_gone(error):
            return
        lines = [line.strip() for line in trace] if isinstance(trace, list) else [str(trace)]
        self.log(1005, fault=f"{kind.__name__}: {error}", trace=lines[-TRACE_LINES:])
