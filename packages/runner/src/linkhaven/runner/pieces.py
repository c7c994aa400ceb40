from linkhaven.clockwork import read_json, write_json
from linkhaven.schema import Trouble

EVENT_BYTES = 1_000_000


def write_event(event, document, id=None):
    head = f"id: {id}\n" if id else ""
    return f"{head}event: {event}\ndata: ".encode() + write_json(document) + b"\n\n"


class Piece:
    __slots__ = ("event", "run", "number", "document")

    def __init__(self, event, run, number, document):
        self.event = event
        self.run = run
        self.number = number
        self.document = document


def read_place(text):
    run, _, number = text.rpartition(":")
    if not run or not number.isascii() or not number.isdigit() or len(run) > 128:
        return None
    return run, int(number)


class PieceReader:
    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def feed(self, data):
        blocks = (self.rest + data).split(b"\n\n")
        self.rest = blocks.pop()
        if len(self.rest) > EVENT_BYTES:
            raise Trouble("stream_broken", why="an event without end")
        return [self._read(block) for block in blocks if block.strip()]

    def _read(self, block):
        fields = {}
        for line in block.split(b"\n"):
            name, _, value = line.partition(b": ")
            fields[name] = value
        place = read_place(fields.get(b"id", b"").decode("utf-8", "replace"))
        run, number = place or ("", 0)
        event = fields.get(b"event", b"").decode("utf-8", "replace")
        try:
            document = read_json(fields.get(b"data", b"null"))
        except Trouble:
            raise Trouble("stream_broken", why="an event that is not JSON") from None
        return Piece(event, run, number, document if isinstance(document, dict) else {})
