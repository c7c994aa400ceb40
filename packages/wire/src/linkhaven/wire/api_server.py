"""The server of linkhaven's own HTTP API, based on circuits.web and its events."""

import socket
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer
from circuits.web.events import response, stream
from circuits.web.http import HTTP

from linkhaven.api import ServiceError
from linkhaven.runtime import Call, write_json

from .settings import split_address

READ_BYTES = 65_536
"""Maximum number of bytes per read."""

HIGH_WATER_BYTES = 65_536
"""At this many unsent bytes the writer of a streamed response must wait."""

LOW_WATER_BYTES = HIGH_WATER_BYTES // 2
"""Below this many unsent bytes the writer may continue."""

IDLE_US = 60_000_000
"""How long a connection may stay open without a call."""

TOO_BUSY_RETRY_US = 1_000_000
"""Retry delay told to a caller that is refused because all connections are in use."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EXPECTS_CONTINUE = b"100-continue"
EXPECT_WITHIN_BYTES = 4_096
"""Length of the part of a head that is searched for `Expect: 100-continue`."""

CODES = {404: "unknown_path", 413: "too_large"}
"""Error codes for the HTTP library's error statuses; all others are `bad_request`."""


class ApiCall(Call):
    """One call of linkhaven's own HTTP API, with the methods that send its response."""

    __slots__ = ("server", "request", "response", "sock", "awaits_writable")

    def __init__(
        self, server: "ApiServer", request: Any, response_: Any, headers: dict[str, str]
    ) -> None:
        """Take the request and response objects of circuits.web."""
        path = request.path + (f"?{request.qs}" if request.qs else "")
        super().__init__(request.method, path, headers, request.body.read())
        self.server = server
        self.request = request
        self.response = response_
        self.sock = request.sock
        self.awaits_writable = False

    def _set_head(self, status: int, headers: Any) -> None:
        self.response.status = status
        for name, value in headers.items():
            self.response.headers[name] = value

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        """Send a complete response."""
        if self.is_ended:
            return
        self.is_begun = self.is_ended = True
        self._set_head(status, headers)
        self.response.body = body
        self.server.on_call_ended(self)
        self.server.fire(response(self.response))

    def begin(self, status: int, headers: Any) -> None:
        """Send the head of a response whose body is sent by `write`."""
        if self.is_ended or self.is_begun:
            return
        self.is_begun = True
        self._set_head(status, headers)
        self.response.stream = True
        self.response._body = ()
        self.server.fire(response(self.response))

    def write(self, data: bytes) -> bool:
        """Send a part of the body.

        Returns whether more may be written now; if not, `on_writable` is called when it may.
        """
        if self.is_ended:
            return False
        self.server.fire(stream(self.response, data))
        if self.server.unsent_bytes(self.sock) < HIGH_WATER_BYTES:
            return True
        self.awaits_writable = True
        return False

    def finish(self) -> None:
        """Complete the response."""
        if self.is_ended:
            return
        self.is_ended = True
        self.server.on_call_ended(self)
        self.server.fire(stream(self.response, None))

    def cut(self) -> None:
        """Abort the response so that the caller sees it as incomplete."""
        if self.is_ended:
            return
        self.is_ended = True
        self.server.on_call_ended(self)
        self.server.fire(close(self.sock))

    def on_bytes_sent(self, unsent_bytes: int) -> None:
        """Call `on_writable` for a waiting writer once fewer than `LOW_WATER_BYTES` are unsent."""
        if not self.awaits_writable or unsent_bytes >= LOW_WATER_BYTES:
            return
        self.awaits_writable = False
        if self.on_writable:
            self.on_writable()


class ApiSender:
    """One connection of the server, as `GracefulStop` sees it."""

    __slots__ = ("server", "sock")

    def __init__(self, server: "ApiServer", sock: socket.socket) -> None:
        """Take an open connection."""
        self.server = server
        self.sock = sock

    def unsent_bytes(self) -> int:
        """Return the bytes that the kernel hasn't accepted yet; 0 if the connection is closed."""
        return self.server.unsent_bytes(self.sock)

    def is_finished(self) -> bool:
        """Whether it is closed, or no call is under way and nothing is left to be sent."""
        if self.sock not in self.server.server._clients:
            return True
        return self.sock not in self.server.calls and not self.unsent_bytes()


class ApiServer(BaseComponent):
    """An HTTP server made of the HTTP component of circuits.web and its TCP server.

    A connection serves one call at a time; bytes received meanwhile are dropped.
    """

    channel = "web"
    secure = False
    display_banner = False

    def __init__(
        self, address: str, on_call: Callable[[ApiCall], Any], body_bytes: int, connections: int
    ) -> None:
        """Start listening; raises OSError if the address can't be bound.

        `body_bytes` limits the bytes received per request, `connections` the open connections.
        """
        super().__init__()
        self.on_call = on_call
        self.body_bytes = body_bytes
        self.max_connections = connections
        self.calls: dict[socket.socket, ApiCall] = {}
        self.received_bytes: dict[socket.socket, int] = {}
        self.idle_since_us: dict[socket.socket, int] = {}
        server = TCPServer(split_address(address), channel="web", bufsize=READ_BYTES)
        self.server = server.register(self)
        self.http = HTTP(self, channel="web").register(self)

    @property
    def host(self) -> Any:
        """The IP address it listens on; read by circuits.web."""
        return self.server.host

    @property
    def port(self) -> Any:
        """The port it listens on; read by circuits.web."""
        return self.server.port

    def unsent_bytes(self, sock: socket.socket) -> int:
        """Number of bytes waiting to be sent on a connection."""
        return sum(len(data) for data in self.server._buffers.get(sock, ()))

    def list_senders(self) -> list[ApiSender]:
        """Return the open connections."""
        return [ApiSender(self, sock) for sock in self.server._clients]

    def on_call_ended(self, call: ApiCall) -> None:
        """Remove a call whose response is complete or aborted."""
        self.calls.pop(call.sock, None)

    def close_idle(self, now_us: int) -> None:
        """Close connections that have had no call for longer than `IDLE_US`."""
        for sock in list(self.server._clients):
            if sock in self.calls:
                self.idle_since_us.pop(sock, None)
            elif now_us - self.idle_since_us.setdefault(sock, now_us) > IDLE_US:
                self.fire(close(sock))

    def wake_writers(self) -> None:
        """Call `on_writable` for the waiting writers that may continue."""
        for call in list(self.calls.values()):
            if call.awaits_writable:
                call.on_bytes_sent(self.unsent_bytes(call.sock))

    @handler("connect", priority=1)
    def _on_connect(self, sock: socket.socket, host: str, port: int) -> None:
        if len(self.server._clients) > self.max_connections:
            self._refuse(sock, ServiceError("too_busy", retry_us=TOO_BUSY_RETRY_US))

    @handler("read", priority=10)
    def _on_read(self, event: Any, sock: socket.socket, data: bytes) -> None:
        if sock in self.calls:
            event.stop()
            return
        received = self.received_bytes[sock] = self.received_bytes.get(sock, 0) + len(data)
        if received > self.body_bytes:
            event.stop()
            self._refuse(sock, ServiceError("too_large", body_bytes=self.body_bytes))
            return
        is_first = received == len(data)
        if is_first and EXPECTS_CONTINUE in data[:EXPECT_WITHIN_BYTES].lower():
            self.fire(write(sock, CONTINUE))

    @handler("write", priority=10)
    def _on_write(self, event: Any, sock: socket.socket, data: bytes) -> None:
        if sock not in self.server._clients:
            event.stop()

    def _refuse(self, sock: socket.socket, error: ServiceError) -> None:
        """Respond with an error to a request that was not fully read, and close the connection.

        Bypasses the HTTP component.
        """
        body = write_json(error.as_document())
        head = (
            f"HTTP/1.1 {error.status} Refused\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))
        self.http._buffers.pop(sock, None)

    @handler("request", priority=1)
    def _on_request(self, event: Any, req: Any, res: Any) -> bool:
        event.stop()
        self.received_bytes.pop(req.sock, None)
        headers = {name.lower(): value for name, value in req.headers.items()}
        call = self.calls[req.sock] = ApiCall(self, req, res, headers)
        self.on_call(call)
        return True

    @handler("httperror", priority=1)
    def _on_http_error(
        self, event: Any, req: Any, res: Any, code: int | None = None, **details: Any
    ) -> None:
        event.stop()
        error = ServiceError(CODES.get(code or 0, "bad_request"))
        res.status = error.status
        res.headers["content-type"] = "application/json"
        res.body = write_json(error.as_document())
        res.close = True
        self.fire(response(res))

    @handler("disconnect", priority=1)
    def _on_disconnect(self, sock: socket.socket) -> None:
        self.received_bytes.pop(sock, None)
        self.idle_since_us.pop(sock, None)
        self.http._buffers.pop(sock, None)
        call = self.calls.pop(sock, None)
        if call is not None:
            call.client_disconnected()
