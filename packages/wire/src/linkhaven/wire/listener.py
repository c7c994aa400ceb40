"""A listening socket that passes accepted connections to a callback."""

import errno
import socket
from collections.abc import Callable
from typing import Any

from linkhaven.runtime import Clock

from .poller import READ, DirectPoller
from .settings import split_address

BACKLOG = 512
"""Length of the kernel's queue of connections that were not accepted yet."""

ACCEPTS_PER_TURN = 32
"""Maximum accepts per turn, so that a burst of new callers doesn't delay those being served."""

OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors of accept(2) that recur immediately while the process or machine lacks resources."""

OUT_OF_DESCRIPTORS_PAUSE_US = 100_000
"""How long accepting pauses after such an error."""


class Listener:
    """One listening socket; pauses accepting when descriptors run out instead of busy-looping."""

    __slots__ = ("poller", "clock", "sock", "fileno", "address", "on_accept", "is_closed")

    def __init__(
        self,
        poller: DirectPoller,
        clock: Clock,
        address: str,
        on_accept: Callable[[socket.socket], Any],
    ) -> None:
        """Start listening; raises OSError if the address can't be bound."""
        self.poller = poller
        self.clock = clock
        self.on_accept = on_accept
        self.is_closed = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(split_address(address))
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.sock.setblocking(False)
        self.fileno = self.sock.fileno()
        host, port = self.sock.getsockname()
        self.address = f"{host}:{port}"
        self._watch()

    def _watch(self) -> None:
        if not self.is_closed:
            self.poller.watch(self.fileno, READ, self._on_ready)

    def _on_ready(self, mask: int) -> None:
        self._accept()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno in OUT_OF_DESCRIPTORS:
                    self.poller.unwatch(self.fileno)
                    self.clock.call_in(OUT_OF_DESCRIPTORS_PAUSE_US, self._watch)
                return
            self.on_accept(sock)

    def close(self) -> None:
        """Stop listening, after accepting connections already queued in the kernel."""
        if self.is_closed:
            return
        self._accept()
        self.is_closed = True
        self.poller.unwatch(self.fileno)
        self.sock.close()
