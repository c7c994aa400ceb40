"""A caller's request and its response: complete, streamed or aborted.

| state | `is_begun` | `is_ended` | allowed next |
| --- | --- | --- | --- |
| no response yet | no | no | `answer`, `begin` or `cut` |
| streaming | yes | no | `write`, `finish` or `cut`; the caller may disconnect |
| ended | either | yes | nothing: all calls are ignored |
"""

from http import HTTPStatus
from typing import Protocol

from linkhaven.runtime import Call

from .http_heads import HeaderFields, list_fields, write_head
from .tcp_connection import TcpConnection

HIGH_WATER_BYTES = 65_536
"""Above this many unsent bytes the writer of a streamed response must wait."""

LOW_WATER_BYTES = HIGH_WATER_BYTES // 2
"""Below this many unsent bytes the writer may continue."""

CONNECTION_FIELDS = frozenset(("connection", "keep-alive", "transfer-encoding", "content-length"))
"""Header fields that apply to one connection only: the server writes its own (RFC 9110, 7.6.1)."""

STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
REASONS = {status.value: status.phrase for status in HTTPStatus}
LAST_CHUNK = b"0\r\n\r\n"

Fields = list[tuple[str, object]]


class ResponseConnection(Protocol):
    """The part of `ServerConnection` that a call uses."""

    tcp: TcpConnection
    is_http_1_0: bool
    closes_after_response: bool

    def connection_fields(self) -> Fields:
        """Return the `Connection` field of a response, if it needs one."""

    def on_response_sent(self) -> None:
        """Handle the end of a complete response."""

    def close(self, by_reset: bool = False) -> None:
        """Close at once, with a reset if `by_reset` is set."""


def write_status(status: int, fields: Fields) -> bytes:
    """Encode a response head."""
    return write_head(f"HTTP/1.1 {status} {REASONS.get(status, '')}", fields)


def end_to_end_fields(headers: HeaderFields) -> Fields:
    """The header fields of a response without those that apply to one connection only."""
    return [
        (name, value)
        for name, value in list_fields(headers)
        if name.lower() not in CONNECTION_FIELDS
    ]


def declared_length(headers: HeaderFields) -> int | None:
    """The value of the Content-Length field, or None."""
    for name, value in list_fields(headers):
        if name.lower() == "content-length":
            return int(str(value))
    return None


class ServerCall(Call):
    """A complete request of a caller, with the methods that send its response."""

    __slots__ = (
        "connection",
        "fields",
        "awaits_writable",
        "has_no_body",
        "is_chunked",
        "bytes_left",
    )

    def __init__(
        self,
        connection: ResponseConnection,
        method: str,
        path: str,
        headers: dict[str, str],
        fields: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Take the request; `headers` are keyed by lower-case name, `fields` are as received."""
        super().__init__(method, path, headers, body)
        self.connection = connection
        self.fields = fields
        self.awaits_writable = False
        self.has_no_body = method == "HEAD"
        self.is_chunked = False
        self.bytes_left: int | None = None

    def answer(self, status: int, headers: HeaderFields, body: bytes) -> None:
        """Send a complete response."""
        if self.is_ended or self.is_begun:
            return
        length = self._length_of(status, headers, body)
        if self.has_no_body or status in STATUSES_WITHOUT_BODY:
            body = b""
        fields = end_to_end_fields(headers)
        if length is not None:
            fields.append(("content-length", length))
        data = write_status(status, fields + self.connection.connection_fields()) + body
        self.is_begun = self.is_ended = True
        self.connection.tcp.send(data)
        self.connection.on_response_sent()

    def _length_of(self, status: int, headers: HeaderFields, body: bytes) -> int | None:
        """The Content-Length of a complete response; None if it has none."""
        if status == HTTPStatus.NO_CONTENT:
            return None
        if body or not (self.has_no_body or status in STATUSES_WITHOUT_BODY):
            return len(body)
        return declared_length(headers)

    def begin(self, status: int, headers: HeaderFields) -> None:
        """Send the head of a response whose body is sent by `write`."""
        if self.is_ended or self.is_begun:
            return
        fields = end_to_end_fields(headers) + self._framing_fields(status, headers)
        data = write_status(status, fields + self.connection.connection_fields())
        self.is_begun = True
        self.connection.tcp.send(data)

    def _framing_fields(self, status: int, headers: HeaderFields) -> Fields:
        """Choose how the body is delimited: by length, by chunks, or by closing the connection."""
        length = declared_length(headers)
        self.has_no_body = self.has_no_body or status in STATUSES_WITHOUT_BODY
        has_length = length is not None and status != HTTPStatus.NO_CONTENT
        fields: Fields = [("content-length", length)] if has_length else []
        if self.has_no_body:
            self.bytes_left = None
        elif length is not None:
            self.bytes_left = length
        elif self.connection.is_http_1_0:
            self.connection.closes_after_response = True
        else:
            self.is_chunked = True
            fields.append(("transfer-encoding", "chunked"))
        return fields

    def write(self, data: bytes) -> bool:
        """Send a part of the body.

        Returns whether more may be written now; if not, `on_writable` is called when it may. A part
        that exceeds the declared length aborts the response.
        """
        if self.is_ended or not self.is_begun:
            return False
        tcp = self.connection.tcp
        if data and not self.has_no_body:
            if self.is_chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            elif self.bytes_left is not None:
                if len(data) > self.bytes_left:
                    self.cut()
                    return False
                self.bytes_left -= len(data)
            tcp.send(data)
        if tcp.unsent_bytes <= HIGH_WATER_BYTES:
            return True
        self.awaits_writable = True
        return False

    def finish(self) -> None:
        """Complete the response; aborts it if the body is shorter than its declared length."""
        if self.is_ended:
            return
        if self.bytes_left or not self.is_begun:
            return self.cut()
        self.is_ended = True
        if self.is_chunked:
            self.connection.tcp.send(LAST_CHUNK)
        self.connection.on_response_sent()

    def cut(self) -> None:
        """Abort the response so that the caller sees it as incomplete.

        A body delimited by the connection's close is aborted with a reset.
        """
        if self.is_ended:
            return
        self.is_ended = True
        ends_by_close = not self.has_no_body and not self.is_chunked and self.bytes_left is None
        self.connection.close(by_reset=self.is_begun and ends_by_close)

    def on_bytes_sent(self, unsent_bytes: int) -> None:
        """Call `on_writable` for a waiting writer once fewer than `LOW_WATER_BYTES` are unsent."""
        if not self.awaits_writable or self.is_ended or unsent_bytes >= LOW_WATER_BYTES:
            return
        self.awaits_writable = False
        if self.on_writable:
            self.on_writable()
