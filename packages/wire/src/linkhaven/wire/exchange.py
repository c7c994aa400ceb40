"""One HTTP call to another process, on a pooled connection.

| event | on a new connection | on a reused connection |
| --- | --- | --- |
| closed before a byte was sent or received | `on_error(False)` | retried on another connection |
| closed later, response incomplete | `on_error(True)` | `on_error(True)` |
| bytes received before the request was sent | `on_error(False)` | retried on another connection |
| received bytes are not valid HTTP | `on_error(True)` | `on_error(True)` |
| response complete | `on_end` | `on_end` |

After a complete response the connection is kept if both sides allow it and it has no data left to
send or read.
"""

import contextlib
import re
from typing import Protocol

import h11

from linkhaven.runtime import ResponseHandler

from .connection_pool import PooledConnection
from .http_heads import HeaderFields, gather_headers
from .request_writer import response_parser, write_request

US_PER_S = 1_000_000

KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*\"?(\d{1,6})")
"""Matches the time-out in a Keep-Alive header: how long the peer keeps an idle connection."""

KEEP_ALIVE_MARGIN_US = US_PER_S
"""Idle connections are closed this much before the peer's time-out, so that no request is sent
while the peer is closing."""


def _ignore(*_: object) -> None:
    """Ignore an event of a call that has ended."""


IGNORING_HANDLER = ResponseHandler(_ignore, _ignore, _ignore, _ignore)


class ConnectionSource(Protocol):
    """The part of `Client` that an exchange uses."""

    idle_us: int

    def take_connection(
        self, address: str, may_reuse: bool, max_connections: int | None
    ) -> PooledConnection | None:
        """Return a connection; never None if `max_connections` is None."""


class Exchange:
    """One HTTP call: `begin` sends the request, and the outcome is reported to `handler`."""

    __slots__ = (
        "source",
        "address",
        "connection",
        "parser",
        "handler",
        "request",
        "keeps_connection",
        "idle_us",
        "is_over",
        "is_reused",
        "has_received_bytes",
    )

    def __init__(
        self,
        source: ConnectionSource,
        address: str,
        method: str,
        path: str,
        headers: HeaderFields,
        body: bytes,
        handler: ResponseHandler,
        keeps_connection: bool = False,
        host: str | None = None,
    ) -> None:
        """Encode the request; raises ValueError if its path or a header field is invalid."""
        self.source = source
        self.address = address
        self.handler = handler
        self.keeps_connection = keeps_connection
        self.idle_us = source.idle_us
        self.connection: PooledConnection = None  # type: ignore[assignment]  # set by `begin`
        self.is_over = False
        self.is_reused = False
        self.has_received_bytes = False
        self.parser = response_parser(method)
        self.request = write_request(method, path, host or address, headers, body, keeps_connection)

    def begin(self, connection: PooledConnection) -> None:
        """Send the request on this connection."""
        self.connection = connection
        self.is_reused = connection.is_used
        connection.serve(self, self.request)

    def _retry(self) -> None:
        """Retry on another connection; no byte of the request has been sent."""
        connection = self.source.take_connection(self.address, True, None)
        assert connection is not None  # no max_connections was given
        self.begin(connection)

    def on_data(self, data: bytes) -> None:
        """Process received bytes."""
        if not self.connection.tcp.has_begun:
            return self._on_unsolicited_bytes()
        self.has_received_bytes = True
        try:
            self.parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(has_begun=True)

    def _on_unsolicited_bytes(self) -> None:
        """Handle bytes that came before the request was sent: they answer an earlier request.

        The request is still unsent. On a reused connection it is retried on another one, on a new
        connection it fails.

        Test: `test_bytes_before_the_request_is_sent_are_not_its_response`.
        """
        if not self.is_reused:
            return self._fail(has_begun=False)
        connection = self.connection
        connection.exchange = None
        connection.close()
        self._retry()

    def _read_events(self) -> None:
        while not self.is_over:
            event = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Data):
                self.handler.on_data(bytes(event.data))
            elif isinstance(event, h11.Response):
                headers = gather_headers(event.headers)
                self._read_keep_alive(headers)
                self.handler.on_head(event.status_code, headers)
            elif isinstance(event, h11.EndOfMessage):
                return self._finish()
            elif isinstance(event, h11.ConnectionClosed):
                return self._fail(has_begun=True)

    def _read_keep_alive(self, headers: dict[str, str]) -> None:
        declared = KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
        if declared is None:
            return
        declared_us = int(declared[1]) * US_PER_S
        self.idle_us = max(declared_us - KEEP_ALIVE_MARGIN_US, declared_us // 2)

    def _finish(self) -> None:
        connection = self.connection
        if self._may_keep_connection():
            connection.become_idle(self.idle_us)
        else:
            connection.exchange = None
            connection.close()
        self._end().on_end()

    def _end(self) -> ResponseHandler:
        """End the call; return its handler, which is released.

        Whoever made the call holds it, and its handler holds them: kept, each ended call would be
        a cycle that holds the request until the garbage collector's oldest generation is collected.
        Test: `test_an_ended_request_is_freed_without_the_garbage_collector`.
        """
        handler, self.handler = self.handler, IGNORING_HANDLER
        self.is_over = True
        self.request = b""
        return handler

    def _may_keep_connection(self) -> bool:
        """Whether both sides are done, allow reuse, and no data is left to send or read."""
        tcp, parser = self.connection.tcp, self.parser
        return (
            self.keeps_connection
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not tcp.is_closed
            and not tcp.unsent_bytes
            and parser.trailing_data == (b"", False)
            and self.idle_us > 0
        )

    def on_close(self, has_begun: bool, is_eof: bool) -> None:
        """Handle the connection's end: retry, complete a close-delimited response, or fail."""
        if self.is_over:
            return
        if self.is_reused and not has_begun and not self.has_received_bytes:
            return self._retry()
        if is_eof and self.has_received_bytes:
            with contextlib.suppress(h11.RemoteProtocolError):
                self.parser.receive_data(b"")
                self._read_events()
        self._fail(has_begun or self.has_received_bytes)

    def _fail(self, has_begun: bool) -> None:
        if self.is_over:
            return
        handler = self.handler
        self.close()
        handler.on_error(has_begun)

    def pause_reading(self) -> None:
        """Stop reading the response until `resume_reading`; flow control slows its sender."""
        if not self.is_over:
            self.connection.tcp.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading the response."""
        if not self.is_over:
            self.connection.tcp.resume_reading()

    def close(self) -> None:
        """Abort the call; its handler isn't called any more."""
        if self.is_over:
            return
        self._end()
        self.connection.exchange = None
        self.connection.close()
