"""The network port of a process: outgoing lines to other nodes and outgoing HTTP calls."""

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
"""Connect time-out; allows for one retransmission of the SYN packet."""

IDLE_US = 4_000_000
"""How long an idle connection is kept if the peer sends no Keep-Alive time-out."""

USER_TIMEOUT_US = 3_000_000
"""TCP_USER_TIMEOUT of line connections: how long sent bytes may stay unacknowledged before the
kernel closes the connection."""

CHECK_INTERVAL_US = 250_000
"""How often idle connections are checked for expiry."""


class Client(BaseComponent):
    """All outgoing connections: one line connection per node, and a pool per HTTP address.

    `connect_us`, `idle_us` and `user_timeout_us` are in microseconds and may be changed at any
    time; a change affects connections and calls started later.
    """

    channel = "client"

    def __init__(
        self,
        clock: Clock,
        poller: DirectPoller,
        address: str | None,
        on_local_message: Callable[[Message | UntypedMessage], Any],
    ) -> None:
        """Messages sent to `address`, the node's own, are passed to `on_local_message` directly."""
        super().__init__()
        self.clock = clock
        self.poller = poller
        self.address = address
        self.on_local_message = on_local_message
        self.line_clients: dict[str, LineClient] = {}
        self.pools: dict[str, ConnectionPool] = {}
        self.opened = 0
        self.connect_us = CONNECT_US
        self.idle_us = IDLE_US
        self.user_timeout_us = USER_TIMEOUT_US
        self.last_check_us = 0

    def call_later(self, callback: Callable[[], Any], delay_us: int = 0) -> None:
        """Call `callback` after `delay_us` microseconds, or in the next turn if it is 0."""
        self.clock.call_in(delay_us, callback)

    soon = call_later
    """Alias of `call_later` that the network port uses."""

    def send(self, address: str, message: Message | UntypedMessage) -> None:
        """Send a message as a line; it may be lost, but lines to one address arrive in order."""
        if address == self.address:
            return self.call_later(lambda: self.on_local_message(message))
        line_client = self.line_clients.get(address)
        if line_client is None:
            line_client = self.line_clients[address] = LineClient(self, address)
        line_client.send(write_line(message))

    def reconnect(self, address: str) -> None:
        """Drop the line connection to an address where a node has restarted, with its unsent lines.

        Otherwise unsent and later lines would wait until the old connection is reset.
        """
        line_client = self.line_clients.get(address)
        if line_client is not None:
            line_client.renew()

    def mark_alive(self, address: Any) -> None:
        """Note that a message came from `address`; ignored if that is not a known address."""
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
        """Start an HTTP call whose response goes to `handler`.

        With `keep_alive` the call may reuse an idle connection and leave its own open for reuse.
        `host` replaces the address in the Host header. Returns None if `max_connections`
        connections to the address are open and busy. Raises ValueError if the path or a header
        field is invalid.
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
        """Return a connection to the address; None if `max_connections` are open and busy."""
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
        """Remove a pool that has no connection left."""
        if self.pools.get(pool.address) is pool:
            del self.pools[pool.address]

    def count(self, address: str) -> int:
        """Number of open pooled connections to the address."""
        pool = self.pools.get(address)
        return len(pool.open) if pool is not None else 0

    def on_tick(self, now_us: int) -> None:
        """Close expired idle connections, at most once per `CHECK_INTERVAL_US`."""
        if now_us - self.last_check_us < CHECK_INTERVAL_US:
            return
        self.last_check_us = now_us
        for pool in list(self.pools.values()):
            if pool.idle:
                pool.close_expired(now_us)
