"""What every node rests on: the node's base, its ports, typed messages, JSON and tables."""

from .bounds import Bounds
from .messages import (
    PROTOCOL_VERSION,
    LineReader,
    Message,
    kind_of,
    reply_address_of,
    write_line,
)
from .node import Node
from .ports import Call, Ports, ResponseHandler
from .tables import Table
from .text import read_json, write_json

__all__ = [
    "PROTOCOL_VERSION",
    "Call",
    "ResponseHandler",
    "LineReader",
    "Message",
    "Node",
    "Ports",
    "Table",
    "Bounds",
    "kind_of",
    "read_json",
    "reply_address_of",
    "write_json",
    "write_line",
]
