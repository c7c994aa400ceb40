"""A small HTTP/1.1 for the stand-ins: a server of asyncio streams and a blocking client call."""

import asyncio
import http.client
import json
from collections.abc import Awaitable, Callable
from typing import Any

Head = tuple[str, str, dict[str, str]]


class Exchange:
    """One request that a stand-in server has read, and the means to answer it."""

    def __init__(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Take a whole request; the names of its headers are in lower case."""
        self.method, self.path, self.headers = head
        self.body = body
        self.writer = writer

    async def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a whole answer with its length."""
        fields = {"Content-Length": str(len(body)), **(headers or {})}
        self.writer.write(encode_head(status, fields) + body)
        await self.writer.drain()

    async def answer_json(
        self, status: int, document: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Send a JSON document as a whole answer."""
        fields = {"Content-Type": "application/json", **(headers or {})}
        await self.answer(status, json.dumps(document).encode(), fields)

    async def begin(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer whose body comes in chunks."""
        self.writer.write(encode_head(status, {"Transfer-Encoding": "chunked", **headers}))
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writer.drain()


Serve = Callable[[Exchange], Awaitable[None]]


def encode_head(status: int, fields: dict[str, str]) -> bytes:
    """Encode the head of an answer."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def decode_head(data: bytes) -> Head:
    """Return method, path and headers of a request's head."""
    first, *lines = data.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    return method, path, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks to its end."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


async def serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, serve: Serve
) -> None:
    """Serve the requests of one connection, one after another, until the peer closes it."""
    try:
        while True:
            head = decode_head(await reader.readuntil(b"\r\n\r\n"))
            if "chunked" in head[2].get("transfer-encoding", ""):
                body = await read_chunks(reader)
            else:
                body = await reader.readexactly(int(head[2].get("content-length", 0)))
            await serve(Exchange(head, body, writer))
            if "close" in head[2].get("connection", "").lower():
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


async def listen(address: str, serve: Serve) -> asyncio.Server:
    """Listen on `address` (ip:port)."""
    host, _, port = address.rpartition(":")

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_connection(reader, writer, serve)

    return await asyncio.start_server(on_connection, host, int(port))


def call(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, str], bytes]:
    """Call a server and return status, headers and body; status 0 where no whole answer came."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    body = json.dumps(document).encode() if document is not None else None
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        fields = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, fields, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()
