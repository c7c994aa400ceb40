"""The base of every node: event dispatch, ports, typed messages, time bounds, JSON and tables."""

from .bounds import Bounds
from .messages import (
    PROTOCOL_VERSION,
    LineReader,
    Message,
    UntypedMessage,
    kind_of,
    reply_address_of,
    write_line,
)
from .node import Node
from .ports import (
    Call,
    Clock,
    EventLog,
    Network,
    PendingCall,
    Ports,
    Random,
    ResponseHandler,
    Storage,
)
from .tables import Table
from .text import read_json, read_strict_json, write_json

__all__ = [
    "PROTOCOL_VERSION",
    "Bounds",
    "Call",
    "Clock",
    "EventLog",
    "LineReader",
    "Message",
    "Network",
    "Node",
    "PendingCall",
    "Ports",
    "Random",
    "ResponseHandler",
    "Storage",
    "Table",
    "UntypedMessage",
    "kind_of",
    "read_json",
    "read_strict_json",
    "reply_address_of",
    "write_json",
    "write_line",
]
