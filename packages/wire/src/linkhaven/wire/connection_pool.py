"""Pool of this process's connections to one address, reused between exchanges.

| state of a connection | `exchange` | closed by |
| --- | --- | --- |
| connecting or in use | the exchange | the exchange, or the peer |
| idle | None | reaching `idle_until_us`; unsolicited bytes; the peer |
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.runtime import Clock

from .poller import DirectPoller
from .tcp_connection import TcpConnection


class ConnectionUser(Protocol):
    """The part of `Exchange` that a connection calls."""

    def on_data(self, data: bytes) -> None:
        """Process received bytes."""

    def on_close(self, has_begun: bool, is_eof: bool) -> None:
        """Handle the connection's end.

        `has_begun` says whether any byte of the request was sent, `is_eof` whether the peer closed
        the connection in an orderly way.
        """


class PoolOwner(Protocol):
    """The part of `Client` that a pool uses."""

    clock: Clock
    poller: DirectPoller
    connect_us: int
    opened: int

    def call_later(self, callback: Callable[[], Any], delay_us: int = 0) -> None:
        """Call `callback` after `delay_us` microseconds."""

    def drop_pool(self, pool: "ConnectionPool") -> None:
        """Remove a pool that has no connection left."""


class PooledConnection:
    """One connection to another process: in use by an exchange, or idle until `idle_until_us`."""

    __slots__ = ("pool", "tcp", "exchange", "idle_until_us", "is_used")

    def __init__(self, pool: "ConnectionPool") -> None:
        """Start connecting to the pool's address."""
        self.pool = pool
        self.exchange: ConnectionUser | None = None
        self.idle_until_us = 0
        self.is_used = False
        owner = pool.owner
        self.tcp = TcpConnection(owner.poller, self._on_data, self._on_close)
        self.tcp.connect(pool.address)
        owner.call_later(self.tcp.on_connect_timeout, owner.connect_us)

    def serve(self, exchange: ConnectionUser, request: bytes) -> None:
        """Send an exchange's encoded request and pass the received bytes to the exchange."""
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
        """Release the connection from its exchange and keep it idle for up to `idle_us`."""
        self.exchange = None
        self.is_used = True
        self.idle_until_us = self.pool.owner.clock.now_us() + idle_us
        self.tcp.resume_reading()
        self.pool.idle.append(self)

    def close(self) -> None:
        """Close at once and leave the pool."""
        self.tcp.close()
        self.pool.remove(self)


class ConnectionPool:
    """The connections to one address; the most recently used idle connection is reused first."""

    __slots__ = ("owner", "address", "open", "idle")

    def __init__(self, owner: PoolOwner, address: str) -> None:
        """Create an empty pool."""
        self.owner = owner
        self.address = address
        self.open: set[PooledConnection] = set()
        self.idle: list[PooledConnection] = []

    def acquire(self, may_reuse: bool, max_connections: int | None) -> PooledConnection | None:
        """Return a connection for one exchange.

        Without `may_reuse` it is always a new one. Returns None if `max_connections` are open and
        none of them is idle.
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
        """Remove a closed connection."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if not self.open:
            self.owner.drop_pool(self)

    def close_expired(self, now_us: int) -> None:
        """Close the connections whose idle time has expired."""
        for connection in [idle for idle in self.idle if idle.idle_until_us <= now_us]:
            connection.close()
