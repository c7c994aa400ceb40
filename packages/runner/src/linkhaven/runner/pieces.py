"""Server-sent events of streamed answers: parsed from runners, written to callers."""

from linkhaven.api import ServiceError
from linkhaven.runtime import read_json, write_json

EVENT_BYTES = 1_000_000
"""The longest event that is accepted, in bytes."""

RUN_CHARACTERS = 128
"""The longest run name that is accepted."""


def write_event(event, document, id=None):
    """Return the bytes of one server-sent event with a JSON document as its data."""
    head = f"id: {id}\n" if id else ""
    return f"{head}event: {event}\ndata: ".encode() + write_json(document) + b"\n\n"


class Piece:
    """One event of a stream: `piece`, `done` or `trouble`."""

    __slots__ = ("event", "run", "number", "document")

    def __init__(self, event, run, number, document):
        """Hold an event; without an id `run:number` the run is empty and the number 0."""
        self.event = event
        self.run = run
        self.number = number
        self.document = document


def parse_event_id(text):
    """Return run and number of an event id `run:number`, or None if it is malformed."""
    run, _, number = text.rpartition(":")
    if not run or not number.isascii() or not number.isdigit() or len(run) > RUN_CHARACTERS:
        return None
    return run, int(number)


class PieceReader:
    """Incremental parser of one stream of server-sent events; data may be split anywhere."""

    __slots__ = ("buffer",)

    def __init__(self):
        """Start with an empty buffer."""
        self.buffer = b""

    def feed(self, data):
        """Return the events that this data completes.

        Raises ServiceError `stream_broken` if an event is too long or its data is not JSON.
        """
        blocks = (self.buffer + data).split(b"\n\n")
        self.buffer = blocks.pop()
        if len(self.buffer) > EVENT_BYTES:
            raise ServiceError("stream_broken", why="an event without end")
        return [self._read(block) for block in blocks if block.strip()]

    def _read(self, block):
        fields = {}
        for line in block.split(b"\n"):
            name, _, value = line.partition(b": ")
            fields[name] = value
        event_id = parse_event_id(fields.get(b"id", b"").decode("utf-8", "replace"))
        run, number = event_id or ("", 0)
        event = fields.get(b"event", b"").decode("utf-8", "replace")
        try:
            document = read_json(fields.get(b"data", b"null"))
        except ServiceError:
            raise ServiceError("stream_broken", why="an event that is not JSON") from None
        return Piece(event, run, number, document if isinstance(document, dict) else {})
