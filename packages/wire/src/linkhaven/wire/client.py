"""The outgoing side of a process: lines to other nodes, and HTTP calls. It is the network port."""

from collections.abc import Callable
from typing import Any

from circuits import BaseComponent

from linkhaven.runtime import Clock, Message, ResponseHandler, UntypedMessage, write_line

from .connection_pool import ConnectionPool, PooledConnection
from .exchange import Exchange
from .http_heads import HeaderFields
from .line_client import LineClient
from .poller import DirectPoller

CONNECT_US = 2_000_000
"""How long a connection may be in the making: the first packet and one repetition of it."""

IDLE_US = 4_000_000
"""How long an idle connection is kept where the other side doesn't say how long it keeps it."""

USER_TIMEOUT_US = 3_000_000
"""How long bytes to another node may stay unacknowledged before the kernel gives them up."""

CHECK_INTERVAL_US = 250_000
"""How often idle connections are looked through."""


class Client(BaseComponent):
    """All outgoing connections: lines to other nodes by one each, HTTP calls by pools.

    `connect_us`, `idle_us` and `user_timeout_us` may be changed at any time, for what begins later.
    """

    channel = "client"

    def __init__(
        self,
        clock: Clock,
        poller: DirectPoller,
        address: str | None,
        on_own_line: Callable[[Message | UntypedMessage], Any],
    ) -> None:
        """What is sent to `address`, the node's own, goes to `on_own_line` and over no socket."""
        super().__init__()
        self.clock = clock
        self.poller = poller
        self.address = address
        self.on_own_line = on_own_line
        self.line_clients: dict[str, LineClient] = {}
        self.pools: dict[str, ConnectionPool] = {}
        self.opened = 0
        self.connect_us = CONNECT_US
        self.idle_us = IDLE_US
        self.user_timeout_us = USER_TIMEOUT_US
        self.checked_us = 0

    def call_later(self, callback: Callable[[], Any], delay_us: int = 0) -> None:
        """Call back in so many microseconds; without them in the next turn."""
        self.clock.call_in(delay_us, callback)

    soon = call_later
    """Its name in the network port."""

    def send(self, address: str, message: Message | UntypedMessage) -> None:
        """Send a line; it may be lost, and lines to one address arrive in order."""
        if address == self.address:
            return self.call_later(lambda: self.on_own_line(message))
        line_client = self.line_clients.get(address)
        if line_client is None:
            line_client = self.line_clients[address] = LineClient(self, address)
        line_client.send(write_line(message))

    def renew(self, address: str) -> None:
        """A node started anew at the address: drop the older connection, and what waits on it.

        What the older connection still holds would wait for its reset, and all lines after it.
        """
        line_client = self.line_clients.get(address)
        if line_client is not None:
            line_client.renew()

    def mark_alive(self, address: Any) -> None:
        """A node at the address spoke; nothing where it is no address."""
        line_client = self.line_clients.get(address) if isinstance(address, str) else None
        if line_client is not None:
            line_client.mark_alive()

    def open(
        self,
        address: str,
        method: str,
        path: str,
        headers: HeaderFields,
        body: bytes,
        handler: ResponseHandler,
        keep_alive: bool = False,
        max_connections: int | None = None,
        host: str | None = None,
    ) -> Exchange | None:
        """Begin an HTTP call whose answer goes to `handler`.

        `keep_alive` lets it use and leave behind a lasting connection. None where `max_connections` connections to
        the address are open and busy. Raises ValueError for a request that can't be written.
        """
        exchange = Exchange(self, address, method, path, headers, body, handler, keep_alive, host)
        connection = self.take_connection(address, keep_alive, max_connections)
        if connection is None:
            return None
        exchange.begin(connection)
        return exchange

    def take_connection(
        self, address: str, may_reuse: bool, max_connections: int | None
    ) -> PooledConnection | None:
        """A connection to the address; None where `max_connections` are open and busy."""
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = ConnectionPool(self, address)
        connection = pool.acquire(may_reuse, max_connections)
        if connection is not None:
            # Closing expired connections may have emptied the pool, which then dropped itself.
            self.pools[address] = pool
        elif not pool.open:
            self.drop_pool(pool)
        return connection

    def drop_pool(self, pool: ConnectionPool) -> None:
        """Forget a pool that has no connection left."""
        if self.pools.get(pool.address) is pool:
            del self.pools[pool.address]

    def count(self, address: str) -> int:
        """How many connections to the address are open."""
        pool = self.pools.get(address)
        return len(pool.open) if pool is not None else 0

    def on_tick(self, now_us: int) -> None:
        """Close the connections that stood idle for their time, now and then."""
        if now_us - self.checked_us < CHECK_INTERVAL_US:
            return
        self.checked_us = now_us
        for pool in list(self.pools.values()):
            if pool.idle:
                pool.close_expired(now_us)
