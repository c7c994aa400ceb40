"""Typed messages between our processes, and the one place where their lines are written and read.

A line is one JSON object. Its envelope is the same for every kind of message, typed or not yet:
`say` (the kind), `name` (the sender's name) and `back` (the sender's address, for answers). These
wire words are bound here and nowhere else.

Old and new versions of a fleet run side by side, so a reader ignores fields and kinds that it
doesn't know. A new field goes at the end of its message, with a default for what an older sender
doesn't write; a record that stands as a list (`array_like`) takes one at its end only. What doesn't
fit its type is refused as a whole, with `message_malformed`; later lines are read as before.
"""

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import UNSET

from linkhaven.api import ServiceError

from .text import read_json, write_json

PROTOCOL_VERSION = 1
"""Raised when messages change in a way that older versions can't read; stands in each hello."""

KIND, SENDER, REPLY_TO = "say", "name", "back"
"""The fields of the envelope, as they stand on the wire."""

WHY_CHARACTERS = 200
"""A refusal quotes so much of the reason."""

NOT_SENT: Any = UNSET
"""The envelope of a message that was not sent yet; its type is that of one sent or read."""

UntypedMessage = dict[str, Any]
"""A message of a kind that has no type here: the map of its line."""


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field=KIND):
    """Base of all typed messages; a subclass names its kind by `tag`.

    The node that sends a message fills in the envelope; every message that was read has it.
    """

    sender: str = msgspec.field(default=NOT_SENT, name=SENDER)
    reply_to: str = msgspec.field(default=NOT_SENT, name=REPLY_TO)


class Envelope(msgspec.Struct, frozen=True, gc=False):
    """What every line says, whatever its kind."""

    kind: str = msgspec.field(name=KIND)
    sender: str = msgspec.field(name=SENDER)
    reply_to: str = msgspec.field(name=REPLY_TO)


ENCODER = msgspec.json.Encoder()
READ_ENVELOPE = msgspec.json.Decoder(Envelope).decode


def kind_of(message: Message | UntypedMessage) -> Any:
    """The kind of a message, be it typed or a map; None where a map names none."""
    if isinstance(message, Message):
        return type(message).__struct_config__.tag
    return message.get(KIND)


def reply_address_of(message: Message | UntypedMessage) -> Any:
    """The address at which the sender of a message takes answers."""
    return message.reply_to if isinstance(message, Message) else message.get(REPLY_TO)


def write_line(message: Message | UntypedMessage) -> bytes:
    """The bytes of one line, with its newline."""
    if isinstance(message, Message):
        return ENCODER.encode(message) + b"\n"
    return write_json(message) + b"\n"


class LineReader:
    """Reads lines: a typed message where its kind has a type here, else the bare map."""

    __slots__ = ("types", "decoders")

    def __init__(self) -> None:
        """No kind has a type yet."""
        self.types: dict[str, type[Message]] = {}
        self.decoders: dict[str, Callable[[bytes], Message]] = {}

    def add(self, message_type: type[Message]) -> None:
        """From now on lines of this kind are read into this type."""
        kind = str(message_type.__struct_config__.tag)
        self.types[kind] = message_type
        self.decoders[kind] = msgspec.json.Decoder(message_type).decode

    def read(self, line: bytes) -> Message | UntypedMessage:
        """The message of one line.

        Raises `message_malformed` where it fits no message, `bad_request` where it is no JSON.
        """
        try:
            envelope = READ_ENVELOPE(line)
            decode = self.decoders.get(envelope.kind)
            return decode(line) if decode is not None else read_json(line)
        except msgspec.ValidationError as fault:
            raise self._refusal(fault) from None
        except (msgspec.DecodeError, RecursionError, ServiceError):
            return self._read_leniently(line)

    def _read_leniently(self, line: bytes) -> Message | UntypedMessage:
        """As `read`, for what msgspec takes for malformed: json takes some of that."""
        document = read_json(line)
        try:
            envelope = msgspec.convert(document, Envelope)
            message_type = self.types.get(envelope.kind)
            return msgspec.convert(document, message_type) if message_type else document
        except msgspec.ValidationError as fault:
            raise self._refusal(fault) from None

    def _refusal(self, fault: msgspec.ValidationError) -> ServiceError:
        return ServiceError("message_malformed", why=str(fault)[:WHY_CHARACTERS])
