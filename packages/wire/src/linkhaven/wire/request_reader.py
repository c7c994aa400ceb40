"""Reads one request of a caller: strict checks on the head, then h11 for head and body.

| received so far | `has_begun` | `has_head` | what `feed` does |
| --- | --- | --- | --- |
| nothing, or empty lines before the request | no | no | waits |
| a part of the head | yes | no | waits; rejects with 431 if it is too long |
| the head | yes | yes | checks it; rejects with 400 or 413 |
| a part of the body | yes | yes | waits; rejects with 413 if it is too long |
| the complete request | yes | no | returns it, with the bytes that follow it |
"""

import re
from http import HTTPStatus

import h11
import msgspec

from .http_heads import decode_fields, gather_headers, has_token
from .server_limits import ServerLimits

HEAD_END = re.compile(rb"\n\r?\n")
HEAD_END_OVERLAP = len(b"\n\r\n")
"""The end of a head may start this many bytes before the newly received ones."""

INVALID_HEAD = re.compile(rb"(?<!\r)\n|\r(?!\n)|\n[ \t]|\x00")
"""Bare CR or LF, folded lines and NUL, which HTTP parsers interpret in different ways."""

EMPTY_LINE = b"\r\n"
VERSIONS = (b"1.0", b"1.1")


class RequestRefusedError(Exception):
    """A request that is rejected before it is fully read, with the response status."""

    def __init__(self, status: HTTPStatus) -> None:
        """The connection can't be reused after this response."""
        super().__init__(status)
        self.status = status


class ReceivedRequest(msgspec.Struct, frozen=True):
    """One request as its caller sent it."""

    method: str
    target: str
    headers: dict[str, str]
    fields: list[tuple[str, str]]
    body: bytes
    unread: bytes
    """Bytes received after the request on the same connection."""

    is_http_1_0: bool
    closes: bool
    """Whether the connection must be closed after the response."""


class RequestReader:
    """Incrementally parses one request from the bytes of a connection."""

    __slots__ = ("has_begun", "body_bytes", "head", "headers", "parser", "parts", "request")

    def __init__(self) -> None:
        """Create a reader that has received nothing."""
        self.has_begun = False
        self.body_bytes = 0
        self.head = bytearray()
        self.parser: h11.Connection | None = None
        self.request: h11.Request | None = None
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []

    @property
    def has_head(self) -> bool:
        """Whether the head has been read but not yet the whole body."""
        return self.request is not None

    def feed(self, data: bytes, limits: ServerLimits) -> ReceivedRequest | None:
        """Process received bytes; returns the request once it is complete, else None.

        Raises RequestRefusedError if the bytes are not valid HTTP/1.1 or exceed the limits.
        """
        if self.parser is None:
            self.parser = self._read_head(data, limits)
            if self.parser is None:
                return None
        else:
            self.parser.receive_data(data)
        try:
            return self._read_events(self.parser, limits)
        except h11.RemoteProtocolError:
            raise RequestRefusedError(HTTPStatus.BAD_REQUEST) from None

    def awaits_continue(self) -> bool:
        """Whether the caller waits for `100 Continue` before sending the body."""
        return (
            self.request is not None
            and self.parser is not None
            and self.parser.they_are_waiting_for_100_continue
        )

    def is_head_request(self) -> bool:
        """Whether the request being read is a HEAD request, whose response has no body."""
        return self.request is not None and self.request.method == b"HEAD"

    def drop(self) -> None:
        """Discard what was read of the request."""
        self.parser = self.request = None
        self.parts = []

    def _read_head(self, data: bytes, limits: ServerLimits) -> h11.Connection | None:
        """Buffer the head; returns a parser fed with it once it is complete, else None."""
        head, length_before = self.head, len(self.head)
        head += data
        while not length_before and head.startswith(EMPTY_LINE):
            del head[: len(EMPTY_LINE)]
        if not head:
            return None
        if head != EMPTY_LINE[:1]:
            self.has_begun = True
        found = HEAD_END.search(head, max(0, length_before - HEAD_END_OVERLAP))
        length = found.end() if found else len(head)
        if length > limits.head_bytes:
            raise RequestRefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if not found:
            return None
        if INVALID_HEAD.search(head, 0, length):
            raise RequestRefusedError(HTTPStatus.BAD_REQUEST)
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
        parser.receive_data(bytes(head))
        self.head = bytearray()
        return parser

    def _read_events(self, parser: h11.Connection, limits: ServerLimits) -> ReceivedRequest | None:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Data):
                self._add_to_body(event.data, limits)
            elif isinstance(event, h11.Request):
                self._check_request(event, limits)
            elif isinstance(event, h11.EndOfMessage):
                return self._finish(parser)
            else:
                raise RequestRefusedError(HTTPStatus.BAD_REQUEST)

    def _check_request(self, request: h11.Request, limits: ServerLimits) -> None:
        self.request = request
        headers = self.headers = gather_headers(request.headers)
        if request.http_version not in VERSIONS:
            raise RequestRefusedError(HTTPStatus.BAD_REQUEST)
        is_http_1_0 = request.http_version != b"1.1"
        # With both a length and chunks, or chunks in HTTP/1.0, parsers disagree on where the
        # request ends, which allows request smuggling.
        if "transfer-encoding" in headers and ("content-length" in headers or is_http_1_0):
            raise RequestRefusedError(HTTPStatus.BAD_REQUEST)
        if int(headers.get("content-length", 0)) > limits.body_bytes:
            raise RequestRefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _add_to_body(self, data: bytes, limits: ServerLimits) -> None:
        self.body_bytes += len(data)
        if self.body_bytes > limits.body_bytes:
            raise RequestRefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.parts.append(data)

    def _finish(self, parser: h11.Connection) -> ReceivedRequest:
        request, body = self.request, b"".join(self.parts)
        assert request is not None  # h11 emits Request before EndOfMessage
        self.drop()
        is_http_1_0 = request.http_version != b"1.1"
        return ReceivedRequest(
            method=request.method.decode("latin-1"),
            target=request.target.decode("latin-1"),
            headers=self.headers,
            fields=decode_fields(request.headers.raw_items()),
            body=body,
            unread=parser.trailing_data[0],
            is_http_1_0=is_http_1_0,
            closes=is_http_1_0 or has_token(self.headers, "connection", "close"),
        )
