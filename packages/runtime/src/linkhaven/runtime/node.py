"""The base class of nodes: dispatches messages, HTTP calls and ticks; all other I/O uses ports.

| input | handling |
| --- | --- |
| a line that fits its type | `dispatch`: sender listeners, then the handler of the type |
| a line of a kind without a type | `dispatch`: the map handler of the kind, if there is one |
| a line that fits no message | event 1006; no handler is called |
| an HTTP call | `serve`: the route of its method and path, else `unknown_path` |
| a tick | `tick`: all tick handlers; after a pause of the process first those for late ticks |

Invariant: an exception in one handler stops neither the node nor the handling of later messages
(`test_a_fault_in_a_handler_is_logged_and_ends_nothing`).
"""

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from linkhaven.api import ServiceError

from .bounds import Bounds
from .messages import KIND, REPLY_TO, SENDER, LineReader, Message, UntypedMessage
from .ports import Call, Ports

LATE_TICK_US = 1_000_000
"""If this long has passed since the last tick, the process counts as paused, and what it knows
about others may be out of date."""

HANDLER_FAULTS = (KeyError, TypeError, ValueError, AttributeError, ServiceError)
"""Exceptions of message handlers that are logged, after which the next message is handled."""

TickHandler = Callable[[int], Any]
"""Called on each tick with the node's time in microseconds."""


class Node:
    """A node that uses clock, network and random numbers through its ports, so it can be simulated.

    Components register with it: `register_handler` and `map_handlers` for messages, `routes` for
    HTTP calls, `tick_handlers` for every tick, `late_tick_handlers` for a late tick before those,
    and `sender_listeners` for the sender of each handled message. To be used from one thread only.
    """

    __slots__ = (
        "name",
        "address",
        "ports",
        "reader",
        "handlers",
        "map_handlers",
        "routes",
        "tick_handlers",
        "ticked_us",
        "late_tick_handlers",
        "sender_listeners",
        "bounds",
    )

    def __init__(self, name: str, address: str, ports: Ports, bounds: Bounds | None = None) -> None:
        """Start with nothing registered; `bounds` are those of the settings, or the defaults."""
        self.bounds: Bounds = bounds or Bounds()
        self.name = name
        self.address = address
        self.ports = ports
        self.reader = LineReader()
        self.handlers: dict[type[Message], Callable[[Any], Any]] = {}
        self.map_handlers: dict[str, Callable[[UntypedMessage], Any]] = {}
        self.routes: dict[tuple[str, str], Callable[..., Any]] = {}
        self.tick_handlers: list[TickHandler] = []
        self.ticked_us = ports.clock.now_us()
        self.late_tick_handlers: list[TickHandler] = []
        self.sender_listeners: list[Callable[[str], Any]] = []

    def now_us(self) -> int:
        """Return this node's monotonic time, in microseconds."""
        return self.ports.clock.now_us()

    def send_untyped(self, address: str, say: str, **facts: Any) -> None:
        """Send a message of a kind without a type: the map of `facts` with the envelope."""
        facts[KIND] = say
        facts[SENDER] = self.name
        facts[REPLY_TO] = self.address
        self.ports.network.send(address, facts)

    def register_handler(self, message_type: type[Message], handler: Callable[[Any], Any]) -> None:
        """Call `handler` with every message of this type."""
        self.reader.add(message_type)
        self.handlers[message_type] = handler

    def send(self, address: str, message: Message) -> None:
        """Send a typed message from this node; delivery is neither guaranteed nor reported."""
        self.ports.network.send(address, replace(message, sender=self.name, reply_to=self.address))

    def read_line(self, line: bytes) -> Message | UntypedMessage | None:
        """Decode a line; a line that fits no message is logged, and None is returned.

        Raises ServiceError `bad_request` if the line isn't JSON, as no linkhaven node wrote it.
        """
        try:
            return self.reader.read(line)
        except ServiceError as error:
            self.ports.log(1006, code=error.code, **error.detail)
            if error.code != "message_malformed":
                raise
            return None

    def dispatch(self, message: Message | UntypedMessage) -> None:
        """Call the handler of a message, if there is one; `HANDLER_FAULTS` are logged."""
        if isinstance(message, Message):
            self._dispatch_typed(message)
        else:
            self._dispatch_map(message)

    def _dispatch_typed(self, message: Message) -> None:
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        try:
            for listener in self.sender_listeners:
                listener(message.sender)
            handler(message)
        except HANDLER_FAULTS as fault:
            self.ports.log(1005, say=type(message).__struct_config__.tag, fault=repr(fault))

    def _dispatch_map(self, message: UntypedMessage) -> None:
        handler = self.map_handlers.get(message.get(KIND, ""))
        if handler is None:
            return
        try:
            for listener in self.sender_listeners:
                listener(message[SENDER])
            handler(message)
        except HANDLER_FAULTS as fault:
            self.ports.log(1005, say=message.get(KIND), fault=repr(fault))

    def serve(self, call: Call) -> None:
        """Call the route of a call's method and path, and answer with the error it raises.

        A route whose path ends in / also gets the last part of the path, which it matches with any
        value.
        """
        path = call.path.partition("?")[0]
        serve, rest = self.routes.get((call.method, path)), None
        if serve is None:
            stem, _, rest = path.rpartition("/")
            serve = self.routes.get((call.method, stem + "/"))
        if serve is None:
            return call.answer_error(ServiceError("unknown_path", path=path, method=call.method))
        try:
            if rest is None:
                serve(call)
            else:
                serve(call, rest)
        except ServiceError as error:
            if not call.is_ended and not call.is_begun:
                call.answer_error(error)

    def next_tick_delay_us(self) -> int:
        """Return how long after this tick the next one may follow, in microseconds.

        A subclass returns more than 0 while nothing waits for a tick.
        """
        return 0

    def tick(self) -> int:
        """Run all tick handlers; after more than `LATE_TICK_US` first those for late ticks.

        Returns how long after this tick the next one may follow, in microseconds.
        """
        now_us = self.now_us()
        late_us = now_us - self.ticked_us
        self.ticked_us = now_us
        if late_us > LATE_TICK_US:
            self.ports.log(1004, late_us=late_us)
            for late_handler in self.late_tick_handlers:
                late_handler(now_us)
        for handler in self.tick_handlers:
            handler(now_us)
        return self.next_tick_delay_us()
