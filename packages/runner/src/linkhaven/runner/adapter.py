from linkhaven.clockwork import Hearer, read_json, write_json
from linkhaven.schema import Trouble, read_trouble

from .pieces import PieceReader

ANSWER_BYTES = 1_000_000
HEADERS = {"content-type": "application/json"}


class Reply:
    """One JSON answer awaited from a runner; done(trouble, document, has_begun) is called once."""

    __slots__ = ("done", "outing", "status", "body", "is_done")

    def __init__(self, done):
        self.done = done
        self.outing = None
        self.status = 0
        self.body = b""
        self.is_done = False

    def on_head(self, status, headers):
        self.status = status

    def on_data(self, data):
        self.body += data
        if len(self.body) > ANSWER_BYTES:
            self.close()
            self._end(Trouble("runner_lost", why="an answer without end"), None, True)

    def on_end(self):
        try:
            document = read_json(self.body)
        except Trouble:
            return self._end(Trouble("runner_lost", why="an answer that is not JSON"), None, True)
        if self.status != 200 or not isinstance(document, dict):
            return self._end(read_trouble(document, "runner_lost"), None, True)
        self._end(None, document, True)

    def on_trouble(self, has_begun):
        self._end(Trouble("runner_lost", done="unknown" if has_begun else "no"), None, has_begun)

    def _end(self, trouble, document, has_begun):
        if self.is_done:
            return
        self.is_done = True
        self.done(trouble, document, has_begun)

    def close(self):
        if self.outing is not None:
            self.outing.close()

    def abandon(self):
        self.is_done = True
        self.close()


class Stream:
    """A decode's stream: on_begin(run, after), on_piece(piece), on_done(piece), on_trouble(trouble, has_begun)."""

    __slots__ = ("request", "hearer", "outing", "status", "body", "reader", "is_over")

    def __init__(self, request, hearer):
        self.request = request
        self.hearer = hearer
        self.outing = None
        self.status = 0
        self.body = b""
        self.reader = PieceReader()
        self.is_over = False

    def on_head(self, status, headers):
        self.status = status
        if status != 200:
            return
        if headers.get("request-id") != self.request:
            return self._end(Trouble("stream_broken", why="an answer for another request"))
        after = headers.get("after", "")
        self.hearer.on_begin(headers.get("run", ""), int(after) if after.isdigit() else -1)

    def on_data(self, data):
        if self.is_over:
            return
        if self.status != 200:
            self.body += data[:ANSWER_BYTES]
            return
        try:
            pieces = self.reader.feed(data)
        except Trouble as trouble:
            return self._end(trouble)
        for piece in pieces:
            if self.is_over:
                return
            if piece.event == "piece":
                self.hearer.on_piece(piece)
            elif piece.event == "done":
                self.is_over = True
                self.hearer.on_done(piece)
            else:
                self._end(read_trouble(piece.document, "runner_lost"))

    def on_end(self):
        if self.status == 200:
            return self._end(Trouble("runner_lost", why="a stream without its end"))
        try:
            document = read_json(self.body)
        except Trouble:
            document = None
        self._end(read_trouble(document, "runner_lost"))

    def on_trouble(self, has_begun):
        self._end(Trouble("runner_lost", done="unknown" if has_begun else "no"), has_begun)

    def _end(self, trouble, has_begun=True):
        if self.is_over:
            return
        self.is_over = True
        if self.outing is not None:
            self.outing.close()
        self.hearer.on_trouble(trouble, has_begun)

    def abandon(self):
        self.is_over = True
        if self.outing is not None:
            self.outing.close()


class RunnerDesk:
    """The one adapter to runners: their whole protocol stands here and in the schema file."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node

    def _call(self, address, method, path, document, part):
        body = write_json(document) if document is not None else b""
        hearer = Hearer(part.on_head, part.on_data, part.on_end, part.on_trouble)
        part.outing = self.node.ports.wire.open(address, method, path, HEADERS, body, hearer)
        return part

    def prefill(self, address, ask, done):
        return self._call(address, "POST", "/v1/prefill", ask, Reply(done))

    def decode(self, address, ask, hearer):
        return self._call(address, "POST", "/v1/decode", ask, Stream(ask["request"], hearer))

    def order_phase(self, address, order, done):
        return self._call(address, "POST", "/v1/phase", order, Reply(done))

    def report(self, address, done):
        return self._call(address, "GET", "/v1/report", None, Reply(done))

    def list_runners(self, address, done):
        return self._call(address, "GET", "/v1/runners", None, Reply(done))
