"""The interfaces through which a node does all I/O, and the server side of an HTTP call.

The real process (package wire) and the simulations (package stage) implement these interfaces. A
node uses nothing else of its environment, so a simulation with the same seed repeats exactly.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol, TypeVar

from linkhaven.api import ServiceError

from .messages import Message, UntypedMessage
from .text import write_json

MICROSECONDS_PER_SECOND = 1_000_000

Item = TypeVar("Item")
Headers = Mapping[str, str]
WriteListener = Callable[[bool], None]
"""Called once with True when the write is synced to disk, or with False if it failed."""


class Clock(Protocol):
    """Monotonic time, and timers that run in the node's thread."""

    def now_us(self) -> int:
        """Return the microseconds since some moment before the node's start; never decreases."""

    def call_in(self, delay_us: int, action: Callable[[], None], /) -> Any:
        """Call `action` once, `delay_us` microseconds from now or slightly later."""


class PendingCall(Protocol):
    """An outgoing HTTP call that has not ended."""

    def close(self) -> None:
        """Cancel the call; its handler isn't called any more."""


class Network(Protocol):
    """Messages to other nodes, and outgoing HTTP calls."""

    def send(self, address: str, message: Message | UntypedMessage) -> Any:
        """Send a message as one line.

        It may be lost; the lines that reach an address arrive in the order they were sent in.
        """

    def reconnect(self, address: str) -> Any:
        """Drop the connection to a node that restarted at `address`, and the lines queued on it."""

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
        """Start an HTTP call; `handler` is called with its response."""


class Storage(Protocol):
    """A node's records on disk by key; a write is one transaction, reported once it is synced."""

    def load(self) -> dict[str, Any]:
        """Return all records."""

    def write(self, items: dict[str, Any], done: WriteListener, /) -> Any:
        """Set records, and delete those whose value is None; `done` gets the result later."""


class Random(Protocol):
    """The methods of `random.Random` that nodes use; seeded in simulations."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def randrange(self, start: int, stop: int | None = None, /) -> int:
        """Return an integer in [0, start), or in [start, stop) if `stop` is given."""

    def getrandbits(self, k: int, /) -> int:
        """Return a non-negative integer of `k` random bits."""

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """Return `k` items, drawn without replacement."""

    def choices(self, population: Sequence[Item], weights: Sequence[float]) -> list[Item]:
        """Return one item, drawn by weight, in a list."""


class EventLog(Protocol):
    """Logs the numbered events of `linkhaven.api.EVENTS`; never blocks on a disk."""

    def __call__(self, number: int, /, **facts: Any) -> Any:
        """Log an event; `facts` must be encodable as JSON."""


class Ports:
    """All interfaces to its environment that a node uses."""

    __slots__ = ("clock", "network", "storage", "random", "log")

    def __init__(
        self,
        clock: Clock,
        network: Network,
        storage: Storage | None,
        random: Random,
        log: EventLog,
    ) -> None:
        """Bundle the five ports, which the process or a simulation implements.

        `storage` is None for a node without a data folder; no component of such a node uses it.
        """
        self.clock = clock
        self.network = network
        self.storage: Storage = storage  # type: ignore[assignment]  # unused if it is None
        self.random = random
        self.log = log


class ResponseHandler:
    """The callbacks of an outgoing call: its head, its data, then either its end or an error.

    `on_head` gets the status and the headers, `on_data` bytes of the body, `on_end` nothing;
    `on_error` gets whether any byte of the request may have been sent.
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
    """The server side of one HTTP exchange; subclasses implement the five writing methods.

    `is_begun` says that the head was written, `is_ended` that the exchange is over.
    """

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
        """A received request; the names in `headers` are in lower case."""
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.on_client_disconnect: Callable[[], Any] | None = None
        self.on_writable: Callable[[], Any] | None = None
        self.is_begun = False
        self.is_ended = False

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        raise NotImplementedError

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""
        raise NotImplementedError

    def write(self, data: bytes) -> bool:
        """Send a part of a streamed response; returns whether more can be written now.

        If not, `on_writable` is called once it can.
        """
        raise NotImplementedError

    def finish(self) -> None:
        """End a streamed response that is complete."""
        raise NotImplementedError

    def cut(self) -> None:
        """Abort a response so that the client sees that it is incomplete."""
        raise NotImplementedError

    def answer_json(self, status: int, document: Any, headers: Headers | None = None) -> None:
        """Send a JSON document as the complete response."""
        self.answer(
            status, {"content-type": "application/json", **(headers or {})}, write_json(document)
        )

    def answer_error(self, error: ServiceError, headers: Headers | None = None) -> None:
        """Send an error as the complete response, with Retry-After if the error has a time.

        Retry-After (RFC 9110, section 10.2.3) is in seconds, rounded up, and at least 1.
        """
        sent = dict(headers or {})
        if error.retry_us is not None:
            sent["retry-after"] = str(max(1, -(-error.retry_us // MICROSECONDS_PER_SECOND)))
        self.answer_json(error.status, error.as_document(), sent)

    def client_disconnected(self) -> None:
        """End the exchange because the client closed its connection before the response ended."""
        if self.is_ended:
            return
        self.is_ended = True
        if self.on_client_disconnect:
            self.on_client_disconnect()
