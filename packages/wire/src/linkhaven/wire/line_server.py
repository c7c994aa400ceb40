"""The server for messages from other nodes, one JSON line each; see docs/design.md."""

import socket
from collections.abc import Callable
from typing import Protocol

from circuits import BaseComponent

from linkhaven.runtime import Clock

from .listener import Listener
from .poller import DirectPoller
from .tcp_connection import TcpConnection

LINE_BYTES = 16_000_000
"""Maximum length of a line; a longer one closes its connection."""

LINE_END = b"\n"

LineListener = Callable[[bytes], bool]
"""Called with a line; returns False if it isn't valid JSON, which closes the connection."""


class LineConnectionOwner(Protocol):
    """The part of `LineServer` that a connection uses."""

    poller: DirectPoller
    on_line: LineListener

    def on_connection_closed(self, connection: "LineConnection") -> None:
        """Remove a closed connection."""


class LineConnection:
    """An incoming connection from another node, read line by line."""

    __slots__ = ("server", "tcp", "partial_line")

    def __init__(self, server: LineConnectionOwner, sock: socket.socket) -> None:
        """Take over an accepted socket."""
        self.server = server
        self.partial_line = bytearray()
        self.tcp = TcpConnection(server.poller, self._on_data, self._on_close)
        self.tcp.adopt(sock)

    def _on_data(self, data: bytes) -> None:
        self.partial_line += data
        if LINE_END not in data:
            return self._check_length()
        *lines, self.partial_line = self.partial_line.split(LINE_END)
        for line in lines:
            if not line.strip():
                continue
            if not self.server.on_line(bytes(line)):
                return self.close()
        self._check_length()

    def _check_length(self) -> None:
        if len(self.partial_line) > LINE_BYTES:
            self.close()

    def _on_close(self, has_begun: bool) -> None:
        self.server.on_connection_closed(self)

    def close(self) -> None:
        """Close at once."""
        self.tcp.close()
        self.server.on_connection_closed(self)


class LineServer(BaseComponent):
    """Receives JSON lines from other nodes over any number of connections."""

    channel = "lines"

    def __init__(
        self, address: str, on_line: LineListener, poller: DirectPoller, clock: Clock
    ) -> None:
        """Start listening; raises OSError if the address can't be bound."""
        super().__init__()
        self.on_line = on_line
        self.poller = poller
        self.connections: set[LineConnection] = set()
        self.listener = Listener(poller, clock, address, self._on_accept)

    def _on_accept(self, sock: socket.socket) -> None:
        self.connections.add(LineConnection(self, sock))

    def on_connection_closed(self, connection: LineConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
