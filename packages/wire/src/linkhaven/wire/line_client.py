"""The lasting connection for lines to one other node.

| state | a line to send | ended by |
| --- | --- | --- |
| none, and none failed lately | connects; the line waits for it | |
| none, one failed less than `RECONNECT_US` ago | is dropped | |
| connecting | waits | the time-out of connecting; `mark_alive`, once, makes it anew |
| open | is sent, or dropped if too much waits | the other node, or TCP_USER_TIMEOUT |

Lines are dropped, never kept for later: their senders repeat what still matters.
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.runtime import Clock

from .poller import DirectPoller
from .tcp_connection import TcpConnection

UNSENT_BYTES = 4_000_000
"""With more than this unsent, further lines are dropped: the other node doesn't read."""

RECONNECT_US = 100_000
"""How long after a connection ended none is made."""

CONNECT_STALL_US = 150_000
"""How long a connection may be in the making before a sign of life of the other node says that it
hangs: its first packet was lost, and TCP repeats it only after a second."""


class LineClientOwner(Protocol):
    """What the connection needs of the client of the process."""

    clock: Clock
    poller: DirectPoller
    connect_us: int
    user_timeout_us: int

    def call_later(self, callback: Callable[[], Any], delay_us: int = 0) -> None:
        """Call back in so many microseconds."""


class LineClient:
    """The connection for lines to one address; what can't be sent now is dropped."""

    __slots__ = ("owner", "address", "tcp", "failed_us", "begun_us", "is_renewed")

    def __init__(self, owner: LineClientOwner, address: str) -> None:
        """Nothing is connected before the first line."""
        self.owner = owner
        self.address = address
        self.tcp: TcpConnection | None = None
        self.failed_us: int | None = None
        self.begun_us = 0
        self.is_renewed = False

    def send(self, line: bytes) -> None:
        """Send a line, connecting first if need be; or drop it."""
        tcp = self.tcp
        if tcp is None:
            now_us = self.owner.clock.now_us()
            if self.failed_us is not None and now_us - self.failed_us < RECONNECT_US:
                return
            self.is_renewed = False
            tcp = self._connect(now_us)
        if tcp.unsent_bytes > UNSENT_BYTES:
            return
        tcp.send(line)

    def _connect(self, now_us: int) -> TcpConnection:
        self.begun_us = now_us
        tcp = self.tcp = TcpConnection(self.owner.poller, self._on_data, self._on_close)
        tcp.connect(self.address, self.owner.user_timeout_us)
        self.owner.call_later(tcp.on_connect_timeout, self.owner.connect_us)
        return tcp

    def renew(self) -> None:
        """Drop the connection and what waits on it; the next line makes another."""
        if self.tcp is not None:
            self.tcp.close()
            self.tcp = None
        self.failed_us = None

    def mark_alive(self) -> None:
        """The other node speaks, so it runs.

        A connection that hangs from before it ran is made anew, once, with what waits.
        """
        tcp, now_us = self.tcp, self.owner.clock.now_us()
        if (
            tcp is None
            or tcp.is_open
            or self.is_renewed
            or now_us - self.begun_us < CONNECT_STALL_US
        ):
            return
        waiting = list(tcp.unsent)
        tcp.close()
        self.is_renewed = True
        tcp = self._connect(now_us)
        for line in waiting:
            tcp.send(bytes(line))

    def _on_data(self, data: bytes) -> None:
        """Nothing comes back on such a connection; what does is ignored."""

    def _on_close(self, has_begun: bool) -> None:
        self.tcp = None
        self.failed_us = self.owner.clock.now_us()
