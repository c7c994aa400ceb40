"""The HTTP server for callers' requests: accepts connections and enforces their time-outs."""

import socket
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent

from linkhaven.runtime import Clock

from .listener import Listener
from .poller import DirectPoller
from .server_call import ServerCall
from .server_connection import ServerConnection
from .server_limits import ServerLimits

CHECK_INTERVAL_US = 250_000
"""How often connection time-outs are checked."""


class HttpServer(BaseComponent):
    """An HTTP/1.1 server based on h11; each complete request is passed to `on_call`.

    `limits` may be replaced at any time. While `is_closing` is set, each response closes its
    connection.
    """

    channel = "http-server"

    def __init__(
        self,
        address: str,
        on_call: Callable[[ServerCall], Any],
        limits: ServerLimits | None,
        poller: DirectPoller,
        clock: Clock,
    ) -> None:
        """Start listening; raises OSError if the address can't be bound."""
        super().__init__()
        self.on_call = on_call
        self.limits = limits or ServerLimits()
        self.poller = poller
        self.clock = clock
        self.is_closing = False
        self.connections: set[ServerConnection] = set()
        self.last_check_us = 0
        self.listener = Listener(poller, clock, address, self._on_accept)
        self.address = self.listener.address

    def _on_accept(self, sock: socket.socket) -> None:
        if len(self.connections) >= self.limits.connections and not self._evict_longest_idle():
            return sock.close()
        self.connections.add(ServerConnection(self, sock))

    def _evict_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; returns whether there was one."""
        idle = [connection for connection in self.connections if connection.may_be_evicted()]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.waiting_since_us).close()
        return True

    def on_connection_closed(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    def list_senders(self) -> list[ServerConnection]:
        """Return the open connections."""
        return list(self.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections; existing connections continue."""
        self.listener.close()

    def on_tick(self, now_us: int) -> None:
        """Check connection time-outs, at most once per `CHECK_INTERVAL_US`."""
        if now_us - self.last_check_us < CHECK_INTERVAL_US:
            return
        self.last_check_us = now_us
        for connection in list(self.connections):
            connection.check_timeouts(now_us)
