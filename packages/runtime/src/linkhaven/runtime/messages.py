"""Typed messages between linkhaven processes, and their encoding as lines of JSON.

A line is one JSON object. Its envelope is the same for every kind of message, with a type or
without: `say` (the kind), `name` (the sender's name) and `back` (the sender's address, for
replies). Only this module has these wire names.

Old and new versions run side by side in a fleet, so a reader ignores unknown fields and kinds. A
new field goes at the end of its message, with a default for messages of older senders; a record
that is encoded as an array (`array_like`) can be extended at its end only. A line that doesn't fit
its type is refused as a whole with `message_malformed`; the lines after it are read as usual.
"""

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import UNSET

from linkhaven.api import ServiceError

from .text import read_json, write_json

PROTOCOL_VERSION = 1
"""Increased when messages change in a way that older versions can't read; sent in each hello."""

KIND, SENDER, REPLY_TO = "say", "name", "back"
"""The wire names of the envelope's fields."""

MAX_WHY_CHARACTERS = 200
"""The reason in a refusal is cut to this length."""

NOT_SENT: Any = UNSET
"""The envelope fields of a message before it is sent; typed Any, as those of a sent one are set."""

UntypedMessage = dict[str, Any]
"""A message of a kind without a type in this process: its line as a map."""


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field=KIND):
    """Base of all typed messages; a subclass gives its kind as `tag`.

    The sending node fills in the envelope, so every received message has it.
    """

    sender: str = msgspec.field(default=NOT_SENT, name=SENDER)
    reply_to: str = msgspec.field(default=NOT_SENT, name=REPLY_TO)


class Envelope(msgspec.Struct, frozen=True, gc=False):
    """The fields that every line has, whatever its kind."""

    kind: str = msgspec.field(name=KIND)
    sender: str = msgspec.field(name=SENDER)
    reply_to: str = msgspec.field(name=REPLY_TO)


ENCODER = msgspec.json.Encoder()
DECODE_ENVELOPE = msgspec.json.Decoder(Envelope).decode


def kind_of(message: Message | UntypedMessage) -> Any:
    """Return the kind of a message, typed or a map; None if a map has none."""
    if isinstance(message, Message):
        return type(message).__struct_config__.tag
    return message.get(KIND)


def reply_address_of(message: Message | UntypedMessage) -> Any:
    """Return the address to which replies to a message go; None if a map has none."""
    return message.reply_to if isinstance(message, Message) else message.get(REPLY_TO)


def write_line(message: Message | UntypedMessage) -> bytes:
    """Encode a message as one line, with its newline."""
    if isinstance(message, Message):
        return ENCODER.encode(message) + b"\n"
    return write_json(message) + b"\n"


class LineReader:
    """Decodes lines to typed messages, or to maps for kinds without a registered type."""

    __slots__ = ("types", "decoders")

    def __init__(self) -> None:
        """Start without registered types."""
        self.types: dict[str, type[Message]] = {}
        self.decoders: dict[str, Callable[[bytes], Message]] = {}

    def add(self, message_type: type[Message]) -> None:
        """Register a type: lines of its kind are decoded to it from now on."""
        kind = str(message_type.__struct_config__.tag)
        self.types[kind] = message_type
        self.decoders[kind] = msgspec.json.Decoder(message_type).decode

    def read(self, line: bytes) -> Message | UntypedMessage:
        """Decode one line.

        Raises ServiceError `message_malformed` if it doesn't fit its type or has no envelope, and
        `bad_request` if it isn't JSON.
        """
        try:
            envelope = DECODE_ENVELOPE(line)
            decode = self.decoders.get(envelope.kind)
            return decode(line) if decode is not None else read_json(line)
        except msgspec.ValidationError as fault:
            raise self._refusal(fault) from None
        except (msgspec.DecodeError, RecursionError, ServiceError):
            return self._read_leniently(line)

    def _read_leniently(self, line: bytes) -> Message | UntypedMessage:
        """Decode a line that msgspec refuses as JSON but the standard library may accept."""
        document = read_json(line)
        try:
            envelope = msgspec.convert(document, Envelope)
            message_type = self.types.get(envelope.kind)
            return msgspec.convert(document, message_type) if message_type else document
        except msgspec.ValidationError as fault:
            raise self._refusal(fault) from None

    def _refusal(self, fault: msgspec.ValidationError) -> ServiceError:
        return ServiceError("message_malformed", why=str(fault)[:MAX_WHY_CHARACTERS])
