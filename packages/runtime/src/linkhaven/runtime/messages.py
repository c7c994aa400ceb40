"""Typed messages between our processes, and the one place where their lines are written and read.

A line is one JSON object. Its envelope is the same for every kind of message, typed or not yet:
`say` (the kind), `name` (the sender's name) and `back` (the sender's address, for answers).

Old and new versions of a fleet run side by side, so a reader ignores fields and kinds that it
doesn't know. A field that an older sender doesn't write needs a default here. What doesn't fit its
type is refused as a whole, with `message_malformed`; the lines behind it are read as before.
"""

import msgspec
from msgspec import UNSET, UnsetType

from linkhaven.api import ServiceError

from .text import read_json, write_json

PROTOCOL_VERSION = 1
"""Raised when messages change in a way that older versions can't read; stands in each hello."""

WHY_CHARACTERS = 200


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="say"):
    """Base of all typed messages; a subclass names its kind by `tag`.

    The node that sends a message fills in the envelope; every message that was read has it.
    """

    sender: str | UnsetType = msgspec.field(default=UNSET, name="name")
    reply_to: str | UnsetType = msgspec.field(default=UNSET, name="back")


class Envelope(msgspec.Struct, frozen=True, gc=False):
    """What every line says, whatever its kind."""

    say: str
    name: str
    back: str


ENCODER = msgspec.json.Encoder()
READ_ENVELOPE = msgspec.json.Decoder(Envelope).decode


def kind_of(message):
    """The kind of a message, be it typed or a map."""
    if isinstance(message, Message):
        return type(message).__struct_config__.tag
    return message.get("say")


def reply_address_of(message):
    """The address where the sender of a message hears answers."""
    return message.reply_to if isinstance(message, Message) else message.get("back")


def write_line(message):
    """The bytes of one line, with its newline."""
    if isinstance(message, Message):
        return ENCODER.encode(message) + b"\n"
    return write_json(message) + b"\n"


class LineReader:
    """Reads lines: a typed message where its kind has a type here, else the bare map."""

    __slots__ = ("types", "decoders")

    def __init__(self):
        """No kind has a type yet."""
        self.types = {}
        self.decoders = {}

    def add(self, message_type):
        """From now on lines of this kind are read into this type."""
        kind = message_type.__struct_config__.tag
        self.types[kind] = message_type
        self.decoders[kind] = msgspec.json.Decoder(message_type).decode

    def read(self, line):
        """The message of one line.

        Raises `message_malformed` where it fits no message, `bad_request` where it is no JSON.
        """
        try:
            envelope = READ_ENVELOPE(line)
            decode = self.decoders.get(envelope.say)
            return decode(line) if decode is not None else read_json(line)
        except msgspec.ValidationError as fault:
            raise self._refusal(fault) from None
        except (msgspec.DecodeError, RecursionError, ServiceError):
            return self._read_leniently(line)

    def _read_leniently(self, line):
        """As `read`, for what msgspec takes for malformed: json takes some of that."""
        document = read_json(line)
        try:
            envelope = msgspec.convert(document, Envelope)
            message_type = self.types.get(envelope.say)
            return msgspec.convert(document, message_type) if message_type else document
        except msgspec.ValidationError as fault:
            raise self._refusal(fault) from None

    def _refusal(self, fault):
        return ServiceError("message_malformed", why=str(fault)[:WHY_CHARACTERS])
