"""The base of our nodes: messages, calls and ticks come in, everything else goes through ports.

| what comes in | what the node does with it |
| --- | --- |
| a line that fits its type | `dispatch`: sender listeners, then the handler of the type |
| a line of a kind without a type here | `dispatch`: the handler of that map, or nothing |
| a line that fits no message | event 1006; no handler is called |
| an HTTP call | `serve`: the route of its method and path, else `unknown_path` |
| a tick | `tick`: each system once; after a pause of the process the late checks first |

Invariant: what one handler raises ends neither the node nor the handling of other messages
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
"""A tick this late tells that the process was paused, so that what it knew may be out of date."""

HANDLER_FAULTS = (KeyError, TypeError, ValueError, AttributeError, ServiceError)
"""What a handler may raise over a message; it is logged, and the next message is handled."""

TickHandler = Callable[[int], Any]
"""Run each tick, with the node's time in microseconds."""


class Node:
    """A node without clock, socket or random numbers of its own, so that a world can simulate it.

    Its parts register with it: `register_handler` and `map_handlers` for messages, `routes` for
    calls, `tick_handlers` for each tick, `late_tick_handlers` for what a late tick does first,
    `sender_listeners` for who sent a message. It belongs to one thread.
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
        """Nothing is registered yet; `bounds` are those that its settings say."""
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
        """This node's monotonic time, in microseconds."""
        return self.ports.clock.now_us()

    def send_untyped(self, address: str, say: str, **facts: Any) -> None:
        """Send a map of a kind that has no type yet."""
        facts[KIND] = say
        facts[SENDER] = self.name
        facts[REPLY_TO] = self.address
        self.ports.network.send(address, facts)

    def register_handler(self, message_type: type[Message], handler: Callable[[Any], Any]) -> None:
        """Have every message of this type handed to `handler`."""
        self.reader.add(message_type)
        self.handlers[message_type] = handler

    def send(self, address: str, message: Message) -> None:
        """Send a typed message in this node's name; nothing says whether it arrives."""
        self.ports.network.send(address, replace(message, sender=self.name, reply_to=self.address))

    def read_line(self, line: bytes) -> Message | UntypedMessage | None:
        """The message of a line, or None where it fits no message, which is logged.

        Raises `bad_request` where the line is no JSON: no node of ours wrote it.
        """
        try:
            return self.reader.read(line)
        except ServiceError as error:
            self.ports.log(1006, code=error.code, **error.detail)
            if error.code != "message_malformed":
                raise
            return None

    def dispatch(self, message: Message | UntypedMessage) -> None:
        """Hand a message to its handler; a fault there ends neither the node nor other messages."""
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
        """Hand a call to the function of its path; a path that ends in / takes the rest of it."""
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
        """How long after this tick the next may follow; more than 0 with nothing to wait for."""
        return 0

    def tick(self) -> int:
        """Run every system once, those for a late tick first where this one is late.

        Returns how long the next tick may be off, in microseconds.
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
