"""Stops a process in order: its node drains, then its connections send what they still hold.

| state | until | next |
| --- | --- | --- |
| `RUNNING` | the first SIGTERM or SIGINT | `DRAINING` |
| `DRAINING` | the node has drained | `SENDING` |
| `SENDING` | no connection that was unfinished then still is, or the time is over | `STOPPED` |

A connection is finished once its response has ended or it is closed. A response counts as sent once
the kernel has all of it; a peer that has closed is waited for no longer. The time is
`Bounds.drain_us` from the signal and `SEND_MARGIN_US`, whatever a peer does that never reads. A
second SIGINT stops at once.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

from linkhaven.runtime import Bounds, Clock, EventLog

LEAST_SENDING_US = 200_000
"""How long a drained node runs on at least, so that its last messages to other nodes are sent."""

SEND_MARGIN_US = 200_000
"""How long after the end of the longest drain responses are still sent."""

CHECK_INTERVAL_US = 20_000
"""How often unfinished connections are looked at."""


class StopState(Enum):
    """Where a process that stops stands."""

    RUNNING = "running"
    DRAINING = "draining"
    SENDING = "sending"
    STOPPED = "stopped"


class Drainable(Protocol):
    """A node that ends its work before it stops."""

    bounds: Bounds

    def drain(self, on_drained: Callable[[], None]) -> None:
        """Take no new work; call `on_drained` once no work is left."""


class Sender(Protocol):
    """A server's connection, with the response that it sends now."""

    def unsent_bytes(self) -> int:
        """Return the bytes that the kernel hasn't accepted yet; 0 if the connection is closed."""

    def is_finished(self) -> bool:
        """Whether it is closed, or has no request and no byte of a response left."""


class ResponseServer(Protocol):
    """A server whose callers' responses are to be sent before the process stops."""

    def list_senders(self) -> Iterable[Sender]:
        """Return the open connections."""


class GracefulStop:
    """Owns the state of a process that stops; `stop` is called once, at its end."""

    __slots__ = ("node", "servers", "clock", "log", "stop", "state", "until_us", "unfinished")

    def __init__(
        self,
        node: Drainable,
        servers: Callable[[], Iterable[ResponseServer]],
        clock: Clock,
        log: EventLog,
        stop: Callable[[], None],
    ) -> None:
        """Start in the state `RUNNING`; `servers` returns the servers of the process."""
        self.node = node
        self.servers = servers
        self.clock = clock
        self.log = log
        self.stop = stop
        self.state = StopState.RUNNING
        self.until_us = 0
        self.unfinished: list[Sender] = []

    def begin(self) -> None:
        """Drain the node, send what is left, then stop the process."""
        self.state = StopState.DRAINING
        self.until_us = self.clock.now_us() + self.node.bounds.drain_us + SEND_MARGIN_US
        self.node.drain(self._on_drained)

    def _on_drained(self) -> None:
        """Wait for the responses under way now; later ones only reject requests."""
        self.state = StopState.SENDING
        senders = [sender for server in self.servers() for sender in server.list_senders()]
        self.unfinished = [sender for sender in senders if not sender.is_finished()]
        self.clock.call_in(LEAST_SENDING_US, self._on_check_timeout)

    def _on_check_timeout(self) -> None:
        if self.state is not StopState.SENDING:
            return
        self.unfinished = [sender for sender in self.unfinished if not sender.is_finished()]
        if self.unfinished and self.clock.now_us() < self.until_us:
            self.clock.call_in(CHECK_INTERVAL_US, self._on_check_timeout)
            return
        self.stop_now()

    def stop_now(self) -> None:
        """Stop without waiting; connections that hold unsent bytes are logged."""
        held_bytes = [sender.unsent_bytes() for sender in self.unfinished]
        if any(held_bytes):
            cut = [size for size in held_bytes if size]
            self.log(1008, connections=len(cut), unsent_bytes=sum(cut))
        self.state = StopState.STOPPED
        self.stop()
