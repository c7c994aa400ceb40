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
    """The one adapter to runners that speak our own protocol: it stands here and in the schema file.

    A runners' port has prefill, decode, free (a handle that nobody will fetch), order_phase, report and
    list_runners; `follows` says whether a piece is the next of its request. `reads_are_runs`: a prompt that was read
    counts as begun work. `joins_runs`: a new run may go on after the last piece of another."""

    __slots__ = ("node",)

    reads_are_runs = True
    joins_runs = False

    def __init__(self, node):
        self.node = node

    def _call(self, address, method, path, document, part):
        body = write_json(document) if document is not None else b""
        hearer = Hearer(part.on_head, part.on_data, part.on_end, part.on_trouble)
        part.outing = self.node.ports.wire.open(address, method, path, HEADERS, body, hearer)
        return part

    def _ask(self, request):
        return {
            "request": request.id,
            "shot": request.attempts,
            "mark": self.node.image.mark,
            "one_time": request.is_one_time,
            "prompt": request.prompt,
        }

    def prefill(self, runner, request, done):
        """done(trouble, handle, has_begun) with the handle of the memory that the runner holds."""

        def check(trouble, document, has_begun):
            if trouble is not None:
                return done(trouble, None, has_begun)
            if not self.is_answer_to(request, runner, document):
                return done(Trouble("runner_lost", why="an answer for another request"), None, True)
            done(None, document["handle"], has_begun)

        return self._call(runner.address, "POST", "/v1/prefill", self._ask(request), Reply(check))

    def is_answer_to(self, request, runner, document):
        told = (document.get("request"), document.get("shot"), document.get("incarnation"))
        return told == (request.id, request.attempts, runner.incarnation)

    def decode(self, runner, request, handle, hearer):
        ask = self._ask(request)
        ask["answer_tokens"] = request.answer_tokens
        if handle:
            ask["handle"] = handle[0]
            ask["source"] = handle[1].address
        if request.run:
            ask["resume"] = {"run": request.run, "after": request.written}
        return self._call(runner.address, "POST", "/v1/decode", ask, Stream(ask["request"], hearer))

    def follows(self, request, piece):
        return piece.run == request.run and piece.number == request.written + 1

    def free(self, runner, handle):
        """Our runners let go of a handle by themselves."""

    def order_phase(self, address, order, done):
        return self._call(address, "POST", "/v1/phase", order, Reply(done))

    def report(self, address, done):
        return self._call(address, "GET", "/v1/report", None, Reply(done))

    def list_runners(self, address, done):
        return self._call(address, "GET", "/v1/runners", None, Reply(done))
