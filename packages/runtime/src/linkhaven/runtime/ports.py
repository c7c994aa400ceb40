"""The ports through which a node touches the world, and a call as a serving node sees it.

The process (package wire) and the simulated worlds (package stage) implement these interfaces; a
node knows nothing else of the outside, so that a seeded run repeats itself entry by entry.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol, TypeVar

from linkhaven.api import ServiceError

from .messages import Message, UntypedMessage
from .text import write_json

MICROSECONDS = 1_000_000
"""In a second."""

Item = TypeVar("Item")
Headers = Mapping[str, str]
WriteListener = Callable[[bool], None]
"""Called once with whether the write is on the disk; False where the disk refused it."""


class Clock(Protocol):
    """Monotonic time, and timers that go off in the node's own thread."""

    def now_us(self) -> int:
        """Microseconds since some moment before the node's start; never goes back."""

    def call_in(self, delay_us: int, action: Callable[[], None], /) -> Any:
        """Run `action` in `delay_us` microseconds or a little later."""


class PendingCall(Protocol):
    """An outgoing call that is under way."""

    def close(self) -> None:
        """Give the call up; its handler gets nothing more."""


class Network(Protocol):
    """Lines to other nodes, and HTTP calls."""

    def send(self, address: str, message: Message | UntypedMessage) -> Any:
        """Send a line; it may be lost, and lines to one address arrive in order."""

    def reconnect(self, address: str) -> Any:
        """A node started anew at `address`: drop the older connection, and what waits on it."""

    def open(
        self,
        address: str,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        handler: "ResponseHandler",
        /,
    ) -> PendingCall:
        """Begin an HTTP call whose answer goes to `handler`."""


class Storage(Protocol):
    """A node's records on disk, by key; a write is one transaction, synced before it is told."""

    def load(self) -> dict[str, Any]:
        """All records."""

    def write(self, items: dict[str, Any], done: WriteListener, /) -> Any:
        """Set records, and delete those whose value is None; `done` gets the outcome, later."""


class Random(Protocol):
    """The part of `random.Random` that nodes use; seeded in the simulated world."""

    def random(self) -> float:
        """A number from 0 up to 1."""

    def randrange(self, start: int, stop: int | None = None, /) -> int:
        """A whole number below `start`, or from `start` up to `stop`."""

    def getrandbits(self, k: int, /) -> int:
        """A whole number of `k` bits."""

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """So many different items."""

    def choices(self, population: Sequence[Item], weights: Sequence[float]) -> list[Item]:
        """One item, in a list, by weight."""


class EventLog(Protocol):
    """Takes the numbered events of `linkhaven.api.EVENTS`; never waits for a disk."""

    def __call__(self, number: int, /, **facts: Any) -> Any:
        """Log an event; `facts` must be JSON."""


class Ports:
    """All that a node may touch."""

    __slots__ = ("clock", "network", "storage", "random", "log")

    def __init__(
        self,
        clock: Clock,
        network: Network,
        storage: Storage | None,
        random: Random,
        log: EventLog,
    ) -> None:
        """The process or the simulated world gives all five.

        `storage` is None for a node without a data folder; no part of such a node stores anything.
        """
        self.clock = clock
        self.network = network
        self.storage: Storage = storage  # type: ignore[assignment]  # see above
        self.random = random
        self.log = log


class ResponseHandler:
    """What becomes of an outgoing call: its head, its data, then either its end or an error.

    `on_head` gets the status and the headers, `on_data` bytes of the body, `on_end` nothing;
    `on_error` is told whether any byte of the request may have been handed over.
    """

    __slots__ = ("on_head", "on_data", "on_end", "on_error")

    def __init__(
        self,
        on_head: Callable[[int, dict[str, str]], Any],
        on_data: Callable[[bytes], Any],
        on_end: Callable[[], Any],
        on_error: Callable[[bool], Any],
    ) -> None:
        """Exactly one of `on_end` and `on_error` is called, once and last."""
        self.on_head = on_head
        self.on_data = on_data
        self.on_end = on_end
        self.on_error = on_error


class Call:
    """One HTTP exchange as the serving node sees it; the process fills in the five writers."""

    __slots__ = (
        "method",
        "path",
        "headers",
        "body",
        "on_client_disconnect",
        "on_writable",
        "is_begun",
        "is_ended",
    )

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """`headers` by lower-case names."""
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.on_client_disconnect: Callable[[], Any] | None = None
        self.on_writable: Callable[[], Any] | None = None
        self.is_begun = False
        self.is_ended = False

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the whole answer."""
        raise NotImplementedError

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer that comes in parts."""
        raise NotImplementedError

    def write(self, data: bytes) -> bool:
        """Write a part; whether there is room for more, else `on_writable` tells when."""
        raise NotImplementedError

    def finish(self) -> None:
        """End an answer that is whole."""
        raise NotImplementedError

    def cut(self) -> None:
        """Break an answer off so that it can't look whole."""
        raise NotImplementedError

    def answer_json(self, status: int, document: Any, headers: Headers | None = None) -> None:
        """Write a JSON document as the whole answer."""
        self.answer(
            status, {"content-type": "application/json", **(headers or {})}, write_json(document)
        )

    def answer_error(self, error: ServiceError, headers: Headers | None = None) -> None:
        """Write an error as the whole answer, with Retry-After in whole seconds if it has one.

        Retry-After is RFC 9110, section 10.2.3; it is rounded up, and at least 1.
        """
        sent = dict(headers or {})
        if error.retry_us is not None:
            sent["retry-after"] = str(max(1, -(-error.retry_us // MICROSECONDS)))
        self.answer_json(error.status, error.as_document(), sent)

    def client_disconnected(self) -> None:
        """The caller closed its connection before the answer ended."""
        if self.is_ended:
            return
        self.is_ended = True
        if self.on_client_disconnect:
            self.on_client_disconnect()
