"""The persistent connection for lines to one other node.

| state | a line to send | ended by |
| --- | --- | --- |
| not connected, no recent failure | starts connecting; the line is buffered | |
| not connected, failed less than `RECONNECT_US` ago | is dropped | |
| connecting | is buffered | the connect time-out; `mark_alive` reconnects, once |
| open | is sent, or dropped if too much is unsent | the peer, or TCP_USER_TIMEOUT |

Lines that can't be sent are dropped and not retried here: senders repeat messages that still
matter.
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.runtime import Clock

from .poller import DirectPoller
from .tcp_connection import TcpConnection

UNSENT_BYTES = 4_000_000
"""While more than this is unsent, further lines are dropped: the other node isn't reading."""

RECONNECT_US = 100_000
"""How long to wait after a connection ended before connecting again."""

CONNECT_STALL_US = 150_000
"""A connection still connecting after this time is stalled if the other node is known to be alive:
its SYN packet was lost, and TCP retransmits it only after a second."""


class LineClientOwner(Protocol):
    """The part of `Client` that a line connection uses."""

    clock: Clock
    poller: DirectPoller
    connect_us: int
    user_timeout_us: int

    def call_later(self, callback: Callable[[], Any], delay_us: int = 0) -> None:
        """Call `callback` after `delay_us` microseconds."""


class LineClient:
    """The connection for lines to one address; lines that can't be sent are dropped."""

    __slots__ = ("owner", "address", "tcp", "failed_us", "connecting_since_us", "has_reconnected")

    def __init__(self, owner: LineClientOwner, address: str) -> None:
        """Create a client that connects when the first line is sent."""
        self.owner = owner
        self.address = address
        self.tcp: TcpConnection | None = None
        self.failed_us: int | None = None
        self.connecting_since_us = 0
        self.has_reconnected = False

    def send(self, line: bytes) -> None:
        """Send or drop a line; starts connecting if there is no connection."""
        tcp = self.tcp
        if tcp is None:
            now_us = self.owner.clock.now_us()
            if self.failed_us is not None and now_us - self.failed_us < RECONNECT_US:
                return
            self.has_reconnected = False
            tcp = self._connect(now_us)
        if tcp.unsent_bytes > UNSENT_BYTES:
            return
        tcp.send(line)

    def _connect(self, now_us: int) -> TcpConnection:
        self.connecting_since_us = now_us
        tcp = self.tcp = TcpConnection(self.owner.poller, self._on_data, self._on_close)
        tcp.connect(self.address, self.owner.user_timeout_us)
        self.owner.call_later(tcp.on_connect_timeout, self.owner.connect_us)
        return tcp

    def renew(self) -> None:
        """Drop the connection and its unsent lines; the next line connects again."""
        if self.tcp is not None:
            self.tcp.close()
            self.tcp = None
        self.failed_us = None

    def mark_alive(self) -> None:
        """Note that a message came from the other node, so it is running.

        A connection attempt that has stalled since before the node ran is replaced, once, and the
        unsent lines move to the new connection.
        """
        tcp, now_us = self.tcp, self.owner.clock.now_us()
        if (
            tcp is None
            or tcp.is_open
            or self.has_reconnected
            or now_us - self.connecting_since_us < CONNECT_STALL_US
        ):
            return
        unsent_lines = list(tcp.unsent)
        tcp.close()
        self.has_reconnected = True
        tcp = self._connect(now_us)
        for line in unsent_lines:
            tcp.send(bytes(line))

    def _on_data(self, data: bytes) -> None:
        """Ignore received data; nodes send nothing back on this connection."""

    def _on_close(self, has_begun: bool) -> None:
        self.tcp = None
        self.failed_us = self.owner.clock.now_us()
