"""One connection of a caller: reads its requests one after another, and enforces time-outs.

| state | `call` | `reader.has_begun` | `is_closing` | time-out |
| --- | --- | --- | --- | --- |
| idle | None | no | no | `idle_us` now or when it became idle, whichever is longer |
| reading | None | yes | no | `head_us` for the head, `idle_us` for the body: rejected with 408 |
| responding | the request | yes | no | none here: the node limits the duration of requests |
| closing | None | yes | yes | `idle_us` without progress of the response, then `LINGER_US` |
"""

import socket
from http import HTTPStatus
from typing import Any, Protocol

from linkhaven.runtime import Clock, write_json

from .poller import DirectPoller
from .request_reader import ReceivedRequest, RequestReader, RequestRefusedError
from .server_call import Fields, ServerCall, write_status
from .server_limits import ServerLimits
from .tcp_connection import TcpConnection

LINGER_US = 1_000_000
"""How long the caller has to read the last response before the connection is closed."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

REFUSALS = {
    HTTPStatus.BAD_REQUEST: ("bad_request", "Send a request that is proper HTTP/1.1."),
    HTTPStatus.REQUEST_TIMEOUT: ("too_slow", "Send the request sooner; it was not read."),
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ("too_large", "Send a smaller body."),
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: (
        "head_too_large",
        "Send fewer or shorter headers.",
    ),
}
"""Error code and message for requests that are rejected before they are fully read, by status."""


class ConnectionOwner(Protocol):
    """The part of `HttpServer` that a connection uses."""

    limits: ServerLimits
    is_closing: bool
    clock: Clock
    poller: DirectPoller

    def on_call(self, call: ServerCall) -> Any:
        """Handle a complete request."""

    def on_connection_closed(self, connection: "ServerConnection") -> None:
        """Remove a closed connection."""


class ServerConnection:
    """One caller's connection; a request is fully read and answered before the next is read."""

    __slots__ = (
        "server",
        "tcp",
        "reader",
        "call",
        "unread",
        "waiting_since_us",
        "idle_limit_us",
        "closes_after_response",
        "is_http_1_0",
        "is_closing",
        "is_lingering",
        "has_sent_continue",
    )

    def __init__(self, server: ConnectionOwner, sock: socket.socket) -> None:
        """Take over an accepted socket and wait for the first request."""
        self.server = server
        self.unread = b""
        self.call: ServerCall | None = None
        self.closes_after_response = False
        self.is_http_1_0 = False
        self.is_closing = False
        self.is_lingering = False
        self._await_request()
        self.tcp = TcpConnection(server.poller, self._on_data, self._on_close, self._on_sent)
        self.tcp.adopt(sock)

    def _await_request(self) -> None:
        self.reader = RequestReader()
        self.has_sent_continue = False
        self.waiting_since_us = self.server.clock.now_us()
        self.idle_limit_us = self.server.limits.idle_us

    def connection_fields(self) -> Fields:
        """Return the `Connection` field of a response, if it needs one."""
        self.closes_after_response = self.closes_after_response or self.server.is_closing
        return [("connection", "close")] if self.closes_after_response else []

    def _on_data(self, data: bytes) -> None:
        if self.is_closing:
            return
        if self.call is None and not self.unread:
            return self._read(data)
        self.unread += data
        if len(self.unread) > self.server.limits.head_bytes:
            self.tcp.pause_reading()

    def _read(self, data: bytes) -> None:
        had_begun = self.reader.has_begun
        try:
            request = self.reader.feed(data, self.server.limits)
        except RequestRefusedError as refusal:
            return self.refuse(refusal.status)
        if request is not None:
            return self._on_request(request)
        if self.reader.has_head or self.reader.has_begun != had_begun:
            self.waiting_since_us = self.server.clock.now_us()
        if not self.has_sent_continue and self.reader.awaits_continue():
            self.has_sent_continue = True
            self.tcp.send(CONTINUE)

    def _on_request(self, request: ReceivedRequest) -> None:
        self.unread = request.unread
        self.is_http_1_0 = request.is_http_1_0
        self.closes_after_response = request.closes
        call = self.call = ServerCall(
            self, request.method, request.target, request.headers, request.fields, request.body
        )
        try:
            self.server.on_call(call)
        except Exception:
            call.cut()
            raise

    def on_response_sent(self) -> None:
        """Handle the end of a complete response: close, or continue with the next request."""
        self.call = None
        if self.closes_after_response:
            self.is_closing = True
            self.waiting_since_us = self.server.clock.now_us()
            if not self.tcp.unsent_bytes:
                self.server.poller.call_soon(self._on_sent)
            return
        self._await_request()
        if self.unread:
            self.reader.has_begun = True
            self.server.poller.call_soon(self._read_next)

    def _read_next(self) -> None:
        if self.tcp.is_closed or self.is_closing or self.call is not None:
            return
        data, self.unread = self.unread, b""
        self.tcp.resume_reading()
        self._read(data)

    def refuse(self, status: HTTPStatus) -> None:
        """Respond with an error to a request that was not fully read.

        The connection is closed after the caller has had time to read the response.
        """
        code, remedy = REFUSALS[status]
        body = write_json({"code": code, "done": "no", "message": remedy})
        head = write_status(
            status,
            [
                ("content-type", "application/json"),
                ("content-length", len(body)),
                ("connection", "close"),
            ],
        )
        has_no_body = self.reader.is_head_request()
        self.reader.drop()
        self.is_closing = self.is_lingering = True
        self.waiting_since_us = self.server.clock.now_us()
        self.tcp.send(head if has_no_body else head + body)

    def _on_sent(self) -> None:
        if self.tcp.is_closed:
            return
        if self.call is not None:
            return self.call.on_bytes_sent(self.tcp.unsent_bytes)
        if self.is_closing or not self.reader.has_begun:
            self.waiting_since_us = self.server.clock.now_us()
        if not self.is_closing or self.tcp.unsent_bytes:
            return
        if not self.is_lingering and not self.unread:
            return self.close()
        # Closing with unread bytes sends a reset, which may discard the response in transit.
        self.is_lingering = True
        self.tcp.resume_reading()
        self.tcp.end_sending()

    def _on_close(self, has_begun: bool) -> None:
        self.server.on_connection_closed(self)
        call, self.call = self.call, None
        if call is not None:
            call.client_disconnected()

    def close(self, by_reset: bool = False) -> None:
        """Close at once; with a reset if an orderly close would make the body look complete."""
        self.call = None
        self.server.on_connection_closed(self)
        if by_reset:
            return self.tcp.reset()
        self.tcp.close()

    def check_timeouts(self, now_us: int) -> None:
        """Enforce the time-outs of idle connections, heads, stalled bodies and unread responses.

        A caller may rely on the idle limit in force when its connection became idle, which is when
        the last byte of the response was sent. Bytes that were received but not read yet, for
        example because this process was suspended, are read before a time-out is applied.
        Tests: `tests/test_resting_connections.py`.
        """
        if self.call is not None:
            return
        limits, spent_us = self.server.limits, now_us - self.waiting_since_us
        if self.is_closing:
            if spent_us > (limits.idle_us if self.tcp.unsent_bytes else LINGER_US):
                self.close()
        elif not self.reader.has_begun:
            if spent_us > max(limits.idle_us, self.idle_limit_us) and self.tcp.is_quiet():
                self.close()
        elif spent_us > (limits.idle_us if self.reader.has_head else limits.head_us):
            self._time_out_request()

    def _time_out_request(self) -> None:
        if self.tcp.is_quiet():
            self.refuse(HTTPStatus.REQUEST_TIMEOUT)

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the kernel hasn't accepted yet."""
        return self.tcp.unsent_bytes

    def is_finished(self) -> bool:
        """Whether it is closed, or no response is under way, nor the close that follows one."""
        if self.tcp.is_closed:
            return True
        return self.call is None and not self.tcp.unsent_bytes and not self.is_closing

    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self.call is None and not self.reader.has_begun

    def may_be_evicted(self) -> bool:
        """Whether closing the connection now loses no received data."""
        return self.is_idle() and self.tcp.is_quiet()
