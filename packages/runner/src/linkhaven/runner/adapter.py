"""The HTTP client of runners: prefill, decode, role orders, reports and the platform's list."""

from linkhaven.api import ServiceError, read_error
from linkhaven.runtime import ResponseHandler, read_json, write_json

from .pieces import PieceReader

ANSWER_BYTES = 1_000_000
"""The longest JSON response that is accepted, in bytes."""

OK = 200
"""The HTTP status of a response without an error."""

HEADERS = {"content-type": "application/json"}

TENANT = "x-tenant"
"""The header with the name of the tenant whose request a runner gets."""


class Reply:
    """One pending JSON response of a runner; `done(error, document, has_begun)` is called once.

    `has_begun`: whether the runner may have begun the work; False only if it can't have.
    """

    __slots__ = ("done", "http_call", "status", "body", "is_done")

    def __init__(self, done):
        """Await a response; the caller sets `http_call`, which can be closed."""
        self.done = done
        self.http_call = None
        self.status = 0
        self.body = b""
        self.is_done = False

    def on_head(self, status, headers):
        """Note the status of the response."""
        self.status = status

    def on_data(self, data):
        """Collect the body; one longer than `ANSWER_BYTES` ends as `runner_lost`."""
        self.body += data
        if len(self.body) > ANSWER_BYTES:
            self.close()
            self._end(ServiceError("runner_lost", why="an answer without end"), None, True)

    def on_end(self):
        """Pass on the document, or the error that the runner reported."""
        try:
            document = read_json(self.body)
        except ServiceError:
            return self._end(
                ServiceError("runner_lost", why="an answer that is not JSON"), None, True
            )
        if self.status != OK or not isinstance(document, dict):
            return self._end(read_error(document, "runner_lost"), None, True)
        self._end(None, document, True)

    def on_error(self, has_begun):
        """End as `runner_lost`: the connection failed."""
        self._end(
            ServiceError("runner_lost", done="unknown" if has_begun else "no"), None, has_begun
        )

    def _end(self, error, document, has_begun):
        if self.is_done:
            return
        self.is_done = True
        self.done(error, document, has_begun)

    def close(self):
        """Close the call."""
        if self.http_call is not None:
            self.http_call.close()

    def abandon(self):
        """Close the call without calling `done`."""
        self.is_done = True
        self.close()


class Stream:
    """The event stream of a decode.

    Calls its handler's `on_begin(run, after)` once, `on_piece(piece)` for each piece, and finally
    either `on_done(piece)` or `on_error(error, has_begun)`.
    """

    __slots__ = ("request", "handler", "http_call", "status", "body", "reader", "is_over")

    def __init__(self, request, handler):
        """Await the stream of the request with this id."""
        self.request = request
        self.handler = handler
        self.http_call = None
        self.status = 0
        self.body = b""
        self.reader = PieceReader()
        self.is_over = False

    def on_head(self, status, headers):
        """Check that the response is to this request; pass on its run and the piece it follows."""
        self.status = status
        if status != OK:
            return
        if headers.get("request-id") != self.request:
            return self._end(ServiceError("stream_broken", why="an answer for another request"))
        after = headers.get("after", "")
        self.handler.on_begin(headers.get("run", ""), int(after) if after.isdigit() else -1)

    def on_data(self, data):
        """Pass on the pieces in the data; malformed data ends as `stream_broken`."""
        if self.is_over:
            return
        if self.status != OK:
            self.body += data[:ANSWER_BYTES]
            return
        try:
            pieces = self.reader.feed(data)
        except ServiceError as error:
            return self._end(error)
        for piece in pieces:
            if self.is_over:
                return
            if piece.event == "piece":
                self.handler.on_piece(piece)
            elif piece.event == "done":
                self.is_over = True
                self.handler.on_done(piece)
            else:
                self._end(read_error(piece.document, "runner_lost"))

    def on_end(self):
        """End as `runner_lost` if the stream was cut off, else with the runner's error."""
        if self.status == OK:
            return self._end(ServiceError("runner_lost", why="a stream without its end"))
        try:
            document = read_json(self.body)
        except ServiceError:
            document = None
        self._end(read_error(document, "runner_lost"))

    def on_error(self, has_begun):
        """End as `runner_lost`: the connection failed."""
        self._end(ServiceError("runner_lost", done="unknown" if has_begun else "no"), has_begun)

    def _end(self, error, has_begun=True):
        if self.is_over:
            return
        self.is_over = True
        if self.http_call is not None:
            self.http_call.close()
        self.handler.on_error(error, has_begun)

    def abandon(self):
        """Close the call without calling the handler again."""
        self.is_over = True
        if self.http_call is not None:
            self.http_call.close()


class RunnerClient:
    """The client of runners with linkhaven's own protocol, which the OpenAPI file describes.

    Other protocols have classes with the same methods. `prefill_counts_as_begun`: a prompt that was
    prefilled counts as begun work. `allows_run_change`: a new run may continue after the last piece
    of another.
    """

    __slots__ = ("node",)

    prefill_counts_as_begun = True
    allows_run_change = False

    def __init__(self, node):
        """Call through the node's ports."""
        self.node = node

    def _call(self, address, method, path, document, pending, headers=HEADERS):
        body = write_json(document) if document is not None else b""
        handler = ResponseHandler(
            pending.on_head, pending.on_data, pending.on_end, pending.on_error
        )
        pending.http_call = self.node.ports.network.open(
            address, method, path, headers, body, handler
        )
        return pending

    def _headers_of(self, request):
        if request.tenant is None:
            return HEADERS
        return {**HEADERS, TENANT: request.tenant}

    def _body_of(self, request):
        return {
            "request": request.id,
            "shot": request.attempts,
            "mark": self.node.snapshot.version,
            "one_time": request.is_one_time,
            "prompt": request.prompt,
        }

    def prefill(self, runner, request, done):
        """Have a runner prefill the request's prompt; return the pending reply.

        `done(error, handle, has_begun)` gets the handle of the KV cache that the runner holds.
        """

        def check(error, document, has_begun):
            if error is not None:
                return done(error, None, has_begun)
            if not self.is_answer_to(request, runner, document):
                return done(
                    ServiceError("runner_lost", why="an answer for another request"), None, True
                )
            done(None, document["handle"], has_begun)

        body, headers = self._body_of(request), self._headers_of(request)
        return self._call(runner.address, "POST", "/v1/prefill", body, Reply(check), headers)

    def is_answer_to(self, request, runner, document):
        """Whether a response names this request, its attempt and the runner's incarnation."""
        named = (document.get("request"), document.get("shot"), document.get("incarnation"))
        return named == (request.id, request.attempts, runner.incarnation)

    def decode(self, runner, request, handle, handler):
        """Have a runner decode; return the pending stream, which passes its pieces to `handler`.

        `handle` is the KV cache's handle and the runner that holds it; with None the runner
        prefills the prompt itself. A request that has a run is resumed after its last piece.
        """
        body = self._body_of(request)
        body["answer_tokens"] = request.answer_tokens
        if handle:
            body["handle"] = handle[0]
            body["source"] = handle[1].address
        if request.run:
            body["resume"] = {"run": request.run, "after": request.written}
        stream = Stream(body["request"], handler)
        headers = self._headers_of(request)
        return self._call(runner.address, "POST", "/v1/decode", body, stream, headers)

    def follows(self, request, piece):
        """Whether a piece is the next one of its request."""
        return piece.run == request.run and piece.number == request.written + 1

    def free(self, runner, handle):
        """Release a handle that won't be fetched; these runners free it by themselves."""

    def order_phase(self, runner, order, done):
        """Order a runner to change its role to prefill or decode; `done` is as in `Reply`."""
        return self._call(runner.address, "POST", "/v1/phase", order, Reply(done))

    def report(self, address, done):
        """Request a runner's report; `done` is as in `Reply`."""
        return self._call(address, "GET", "/v1/report", None, Reply(done))

    def list_runners(self, address, done):
        """Request the platform's list of runners; `done` is as in `Reply`."""
        return self._call(address, "GET", "/v1/runners", None, Reply(done))
