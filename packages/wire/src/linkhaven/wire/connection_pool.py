"""The connections of this process to one address, kept for further exchanges.

| state of a connection | `exchange` | ended by |
| --- | --- | --- |
| connecting or serving | the exchange | the exchange, or the other process |
| idle | none | `idle_until_us`; bytes that nobody asked for; the other process |
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.runtime import Clock

from .poller import DirectPoller
from .tcp_connection import TcpConnection


class ConnectionUser(Protocol):
    """The exchange that a connection serves."""

    def on_data(self, data: bytes) -> None:
        """Bytes came."""

    def on_close(self, has_begun: bool, is_eof: bool) -> None:
        """The connection ended.

        `has_begun` tells whether any byte of the request was sent, `is_eof` whether the other
        process ended it in order.
        """


class PoolOwner(Protocol):
    """What a pool needs of the client of the process."""

    clock: Clock
    poller: DirectPoller
    connect_us: int
    opened: int

    def call_later(self, callback: Callable[[], Any], delay_us: int = 0) -> None:
        """Call back in so many microseconds."""

    def drop_pool(self, pool: "ConnectionPool") -> None:
        """The pool has no connection left."""


class PooledConnection:
    """One connection to another process: it serves an exchange, or stands idle for its time."""

    __slots__ = ("pool", "tcp", "exchange", "idle_until_us", "is_used")

    def __init__(self, pool: "ConnectionPool") -> None:
        """Begin to connect."""
        self.pool = pool
        self.exchange: ConnectionUser | None = None
        self.idle_until_us = 0
        self.is_used = False
        owner = pool.owner
        self.tcp = TcpConnection(owner.poller, self._on_data, self._on_close)
        self.tcp.connect(pool.address)
        owner.call_later(self.tcp.on_connect_timeout, owner.connect_us)

    def serve(self, exchange: ConnectionUser, request: bytes) -> None:
        """Send the bytes of an exchange's request, and hand it what comes back."""
        self.exchange = exchange
        self.tcp.has_begun = False
        self.tcp.send(request)

    def _on_data(self, data: bytes) -> None:
        if self.exchange is not None:
            return self.exchange.on_data(data)
        self.close()

    def _on_close(self, has_begun: bool) -> None:
        self.pool.remove(self)
        if self.exchange is not None:
            self.exchange.on_close(has_begun, self.tcp.is_eof)

    def become_idle(self, idle_us: int) -> None:
        """The exchange is over: stand ready for another, so long at most."""
        self.exchange = None
        self.is_used = True
        self.idle_until_us = self.pool.owner.clock.now_us() + idle_us
        self.tcp.resume_reading()
        self.pool.idle.append(self)

    def close(self) -> None:
        """Close at once."""
        self.tcp.close()
        self.pool.remove(self)


class ConnectionPool:
    """The connections of this process to one address; of the idle ones the newest serves first."""

    __slots__ = ("owner", "address", "open", "idle")

    def __init__(self, owner: PoolOwner, address: str) -> None:
        """There is no connection yet."""
        self.owner = owner
        self.address = address
        self.open: set[PooledConnection] = set()
        self.idle: list[PooledConnection] = []

    def acquire(self, may_reuse: bool, max_connections: int | None) -> PooledConnection | None:
        """A connection for one exchange; None where `max_connections` are open and none of them is idle.

        Unless `may_reuse` is set it is a new one.
        """
        if self.idle:
            now_us = self.owner.clock.now_us()
            while may_reuse and self.idle:
                connection = self.idle.pop()
                if connection.idle_until_us > now_us and connection.tcp.is_quiet():
                    return connection
                connection.close()
            self.close_expired(now_us)
        if max_connections is not None and len(self.open) >= max_connections:
            return None
        self.owner.opened += 1
        connection = PooledConnection(self)
        self.open.add(connection)
        return connection

    def remove(self, connection: PooledConnection) -> None:
        """A connection is closed."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if not self.open:
            self.owner.drop_pool(self)

    def close_expired(self, now_us: int) -> None:
        """Close the connections that stood idle for their time."""
        for connection in [one for one in self.idle if one.idle_until_us <= now_us]:
            connection.close()
