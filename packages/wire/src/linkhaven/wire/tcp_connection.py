"""One TCP connection: a non-blocking socket with a send buffer.

All protocols of the process use it: lines from and to other nodes, callers' requests, and calls to
runners. It doesn't interpret the bytes.

| event | action |
| --- | --- |
| the socket is connected | buffered bytes are sent |
| `send` | the bytes are buffered and go out in one write at the end of this turn |
| the kernel accepts only a part | the rest is sent when the socket is writable; then `on_sent` |
| bytes are received | `on_data`, unless reading is paused |
| the peer closes or resets, or connecting fails | `on_close`, once |
| local `close` or `reset` | `on_close` isn't called |
"""

import contextlib
import errno
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from .poller import READ, WRITE, DirectPoller
from .settings import split_address

READ_BYTES = 65_536
"""Maximum number of bytes per read."""

WRITE_BYTES = 262_144
"""Approximate number of buffered bytes joined into one write."""

US_PER_MS = 1_000

LINGER_WITH_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes close() send a reset and discard data buffered in the kernel."""

DataListener = Callable[[bytes], Any]
CloseListener = Callable[[bool], Any]
"""Called with whether the kernel had accepted any of the sent bytes."""


def _ignore(_: object) -> None:
    """Ignore an event of a connection that is closed."""


class TcpConnection:
    """One stream socket driven by the poller; data sent in one turn goes out in one write.

    `has_begun` says whether the kernel has accepted a byte since the connection was created or
    since its owner cleared the flag. While it is False, the peer can't have started to process
    what was sent.
    """

    __slots__ = (
        "poller",
        "sock",
        "fileno",
        "mask",
        "is_open",
        "is_closed",
        "is_eof",
        "is_paused",
        "is_flush_scheduled",
        "has_begun",
        "unsent",
        "unsent_bytes",
        "on_data",
        "on_close",
        "on_sent",
    )

    def __init__(
        self,
        poller: DirectPoller,
        on_data: DataListener,
        on_close: CloseListener,
        on_sent: Callable[[], Any] | None = None,
    ) -> None:
        """Create a connection without a socket: call `connect` or `adopt` next."""
        self.poller = poller
        self.sock: socket.socket = None  # type: ignore[assignment]  # set by connect or adopt
        self.fileno = -1
        self.mask = 0
        self.is_open = False
        self.is_closed = False
        self.is_eof = False
        self.is_paused = False
        self.is_flush_scheduled = False
        self.has_begun = False
        self.unsent: deque[bytes | memoryview] = deque()
        self.unsent_bytes = 0
        self.on_data = on_data
        self.on_close = on_close
        self.on_sent = on_sent

    def connect(self, address: str, user_timeout_us: int | None = None) -> None:
        """Start connecting to `address` (host:port).

        `user_timeout_us` sets TCP_USER_TIMEOUT (RFC 5482): the kernel closes the connection if
        sent bytes stay unacknowledged for longer. If connecting fails at once, `on_close` is called
        at the end of the turn, never within this call.
        """
        try:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._prepare()
            if user_timeout_us is not None:
                timeout_ms = user_timeout_us // US_PER_MS
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
            code = self.sock.connect_ex(split_address(address))
        except OSError:
            code = errno.EMFILE
        if code not in (0, errno.EINPROGRESS):
            self.poller.call_soon(self.fail)
            return
        self._watch(WRITE)

    def adopt(self, sock: socket.socket) -> None:
        """Take over an accepted socket."""
        self.sock = sock
        self._prepare()
        self.is_open = True
        self._watch(READ)

    def _prepare(self) -> None:
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _watch(self, mask: int) -> None:
        self.fileno = self.sock.fileno()
        self.mask = mask
        self.poller.watch(self.fileno, mask, self._on_ready)

    def _set_mask(self, mask: int) -> None:
        if mask == self.mask:
            return
        if not mask:
            self.poller.unwatch(self.fileno)
        elif not self.mask:
            self.poller.watch(self.fileno, mask, self._on_ready)
        else:
            self.poller.change(self.fileno, mask)
        self.mask = mask

    def on_connect_timeout(self) -> None:
        """Fail the connection if it is still connecting."""
        if not self.is_open:
            self.fail()

    def send(self, data: bytes) -> None:
        """Send at the end of this turn or once connected; dropped if the connection is closed."""
        if self.is_closed:
            return
        self.unsent.append(data)
        self.unsent_bytes += len(data)
        if self.is_open and not self.is_flush_scheduled and not self.mask & WRITE:
            self.is_flush_scheduled = True
            self.poller.call_soon(self._on_turn_end)

    def _on_turn_end(self) -> None:
        self.is_flush_scheduled = False
        if not self.is_closed:
            self._flush()

    def _on_ready(self, mask: int) -> None:
        if not self.is_open:
            return self._on_connected()
        if mask & WRITE and self.mask & WRITE:
            self._flush()
        if self.is_closed:
            return
        if self.mask & READ:
            if mask & ~WRITE:
                self._read()
        elif mask & ~(READ | WRITE):
            self.fail()

    def _on_connected(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return self.fail()
        self.is_open = True
        self._flush()

    def _take_unsent(self) -> bytes | memoryview:
        """Remove the data for one write from the buffer: a single piece, or several joined."""
        if len(self.unsent) == 1:
            return self.unsent.popleft()
        parts, size = [], 0
        while self.unsent and size < WRITE_BYTES:
            parts.append(self.unsent.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _flush(self) -> None:
        wanted = 0 if self.is_paused else READ
        try:
            if not self._write_unsent():
                wanted |= WRITE
        except BlockingIOError:
            wanted |= WRITE
        except OSError:
            return self.fail()
        self._set_mask(wanted)
        if self.on_sent:
            self.on_sent()

    def _write_unsent(self) -> bool:
        """Write until the kernel accepts no more; returns whether everything was sent."""
        while self.unsent:
            data = self._take_unsent()
            self.unsent.appendleft(data)
            sent = self.sock.send(data)
            self.has_begun = True
            self.unsent_bytes -= sent
            if sent < len(data):
                self.unsent[0] = memoryview(data)[sent:]
                return False
            self.unsent.popleft()
        return True

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            return self.fail()
        if not data:
            self.is_eof = True
            return self.fail()
        self.on_data(data)

    def is_quiet(self) -> bool:
        """Whether no bytes, end of stream or error are waiting to be read; asks the kernel now."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def pause_reading(self) -> None:
        """Stop reading, so that the kernel's buffer fills and flow control slows the sender."""
        if self.is_closed or self.is_paused:
            return
        self.is_paused = True
        if self.is_open:
            self._set_mask(self.mask & ~READ)

    def resume_reading(self) -> None:
        """Resume reading after `pause_reading`."""
        if self.is_closed or not self.is_paused:
            return
        self.is_paused = False
        if self.is_open:
            self._set_mask(self.mask | READ)

    def end_sending(self) -> None:
        """Shut down the sending direction; reading continues."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.fail()

    def reset(self) -> None:
        """Close with a reset, so that the peer doesn't see an orderly end of stream."""
        if self.is_closed:
            return
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_WITH_RESET)
        self.close()

    def fail(self) -> None:
        """Close after the peer closed or an error occurred, and call `on_close`."""
        if self.is_closed:
            return
        on_close = self.on_close
        self.close()
        on_close(self.has_begun)

    def close(self) -> None:
        """Close at once; unsent data is dropped and `on_close` isn't called.

        The owner's callbacks are released, so that the two are freed without the garbage collector.
        Test: `test_an_ended_request_is_freed_without_the_garbage_collector`.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.on_data = self.on_close = _ignore
        self.on_sent = None
        self.unsent.clear()
        self.unsent_bytes = 0
        if self.mask:
            self.poller.unwatch(self.fileno)
        if self.sock is not None:
            self.sock.close()
