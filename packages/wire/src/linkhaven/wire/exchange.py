"""One HTTP call to another process, on a pooled connection.

| what happens | a new connection | one that had served others |
| --- | --- | --- |
| it ends before a byte was sent or came | `on_error(False)` | sent again on a further one |
| it ends later, the answer isn't whole | `on_error(True)` | the same |
| bytes come before the request was sent | `on_error(False)` | sent again on a further one |
| bytes that are no HTTP | `on_error(True)` | the same |
| the answer is whole | `on_end` | the same |

A connection whose answer is whole is kept if both sides agree and nothing is left over on it.
"""

import contextlib
import re
from typing import Protocol

import h11

from linkhaven.runtime import ResponseHandler

from .connection_pool import PooledConnection
from .http_heads import HeaderFields, gather_headers
from .request_writer import answer_parser, write_request

US_PER_S = 1_000_000

KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*\"?(\d{1,6})")
"""In the field Keep-Alive: how long the other side keeps an idle connection."""

KEEP_ALIVE_MARGIN_US = US_PER_S
"""We let go of it so much earlier, so that no request meets the other side's close."""


class ConnectionSource(Protocol):
    """What an exchange needs of the client of the process."""

    idle_us: int

    def take_connection(
        self, address: str, may_reuse: bool, max_connections: int | None
    ) -> PooledConnection | None:
        """A connection; without `max_connections` there always is one."""


class Exchange:
    """One HTTP call: its request is sent by `begin`, and its handler hears what becomes of it."""

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
        "is_answered",
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
        """Raises ValueError for a request that can't be written."""
        self.source = source
        self.address = address
        self.handler = handler
        self.keeps_connection = keeps_connection
        self.idle_us = source.idle_us
        self.connection: PooledConnection = None  # type: ignore[assignment]  # until `begin`
        self.is_over = False
        self.is_reused = False
        self.is_answered = False
        self.parser = answer_parser(method)
        self.request = write_request(method, path, host or address, headers, body, keeps_connection)

    def begin(self, connection: PooledConnection) -> None:
        """Send the request by this connection."""
        self.connection = connection
        self.is_reused = connection.is_used
        connection.serve(self, self.request)

    def _begin_again(self) -> None:
        """Send the request, of which nothing was sent, by a further connection."""
        connection = self.source.take_connection(self.address, True, None)
        assert connection is not None  # no bound was given
        self.begin(connection)

    def on_data(self, data: bytes) -> None:
        """Read what came."""
        if not self.connection.tcp.has_begun:
            return self._leave_spoiled_connection()
        self.is_answered = True
        try:
            self.parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(has_begun=True)

    def _leave_spoiled_connection(self) -> None:
        """Bytes that came before the request was sent belong to another: it is still unsent.

        On a connection that had served others it goes out on a further one, else it is an error.

        Test: `test_bytes_before_the_request_was_sent_are_no_answer_to_it`.
        """
        if not self.is_reused:
            return self._fail(has_begun=False)
        connection = self.connection
        connection.exchange = None
        connection.close()
        self._begin_again()

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
        self.is_over = True
        connection = self.connection
        if self._may_keep_connection():
            connection.become_idle(self.idle_us)
        else:
            connection.exchange = None
            connection.close()
        self.handler.on_end()

    def _may_keep_connection(self) -> bool:
        """Whether both sides are done with it, agree to keep it, and nothing is left on it."""
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
        """The connection ended: send again, or take it as the answer's end, or as an error."""
        if self.is_over:
            return
        if self.is_reused and not has_begun and not self.is_answered:
            return self._begin_again()
        if is_eof and self.is_answered:
            with contextlib.suppress(h11.RemoteProtocolError):
                self.parser.receive_data(b"")
                self._read_events()
        self._fail(has_begun or self.is_answered)

    def _fail(self, has_begun: bool) -> None:
        if self.is_over:
            return
        self.close()
        self.handler.on_error(has_begun)

    def pause_reading(self) -> None:
        """Read no more of the answer until `resume_reading`, so that its sender has to wait."""
        if not self.is_over:
            self.connection.tcp.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if not self.is_over:
            self.connection.tcp.resume_reading()

    def close(self) -> None:
        """Give the call up: its handler gets nothing more."""
        if self.is_over:
            return
        self.is_over = True
        self.connection.exchange = None
        self.connection.close()
