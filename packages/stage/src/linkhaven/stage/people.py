"""Simulated callers and operators, which record everything that they see."""

from linkhaven.runner import PieceReader
from linkhaven.runtime import Node, ResponseHandler, read_json, write_json

from .standins import digest

JSON = {"content-type": "application/json"}
KEY_HEADER = "x-api-key"
MADE_UP_HEADER = "x-tenant"
ANSWER_BYTES = 1_000_000


class CallerRequest:
    """One request as its caller sees it, over all the connections it took.

    `router` is the address of the last attempt and `outing` its connection; `own` the digest that
    begins the names of this prompt's runs; `run` and `last` the run and number of the last piece.
    `how` is "done", "trouble" (an error event or status), "refused", "cut" (the connection broke),
    "unmade" (no router was reached) or "hung-up". Times are in us.
    """

    __slots__ = (
        "id",
        "kind",
        "body",
        "headers",
        "router",
        "outing",
        "status",
        "error",
        "reader",
        "asked_us",
        "first_us",
        "ended_us",
        "run",
        "last",
        "pieces",
        "tokens",
        "how",
        "code",
        "done",
        "request",
        "resumes",
        "is_clean",
        "count",
        "own",
        "cause",
        "mark",
        "retry_s",
        "credentials",
    )

    def __init__(self, id, kind, body, headers, asked_us, credentials=None):
        self.id = id
        self.kind = kind
        self.body = body
        self.headers = headers
        self.asked_us = asked_us
        self.credentials = credentials
        self.router = self.outing = None
        self.first_us = self.ended_us = None
        self.run = None
        self.last = 0
        self.pieces = 0
        self.tokens = 0
        self.how = self.code = self.done = self.request = self.count = None
        self.resumes = 0
        self.own = self.cause = self.mark = None
        self.retry_s = 0
        self.reset()

    def reset(self):
        """Forget the last attempt's response before the next attempt."""
        self.status = 0
        self.error = b""
        self.reader = PieceReader()
        self.is_clean = False


class Caller(Node):
    """Simulated callers: send requests, read every piece, resume where the kind allows it, and
    record all they see."""

    __slots__ = ("record", "asked", "serial", "kinds", "resumes_at_most", "on_end")

    def __init__(self, name, address, ports, record, kinds, resumes_at_most=2, on_end=None):
        """`on_end(request)` is called when a request has ended, after at most `resumes_at_most`
        further attempts."""
        super().__init__(name, address, ports)
        self.record = record
        self.asked = {}
        self.serial = 0
        self.kinds = kinds
        self.resumes_at_most = resumes_at_most
        self.on_end = on_end

    def ask(
        self, kind, prompt, answer_tokens, routers, key=None, last_event_id=None, credentials=None
    ):
        """Send a request to the first of `routers`; the others are for further attempts. Return its
        state."""
        self.serial += 1
        id = f"{self.name}-{self.serial}"
        body = write_json(
            {"kind": kind, "prompt": f"{prompt} {id}", "answer_tokens": answer_tokens}
        )
        headers = dict(JSON)
        if key:
            headers["idempotency-key"] = key
        if last_event_id:
            headers["last-event-id"] = last_event_id
        if credentials and credentials.api_key:
            headers[KEY_HEADER] = credentials.api_key
        if credentials and credentials.made_up_tenant:
            headers[MADE_UP_HEADER] = credentials.made_up_tenant
        asked = self.asked[id] = CallerRequest(id, kind, body, headers, self.now_us(), credentials)
        asked.own = digest(f"{prompt} {id}", 6)
        self._send(asked, routers)
        return asked

    def _send(self, asked, routers):
        asked.reset()
        asked.router = routers[0]
        self.record(
            "asked",
            id=asked.id,
            kind=asked.kind,
            router=asked.router,
            resume=asked.headers.get("last-event-id"),
            key=asked.headers.get("idempotency-key"),
            answer_tokens=read_json(asked.body)["answer_tokens"],
            api_key=asked.headers.get(KEY_HEADER),
            client=asked.credentials.tenant if asked.credentials else None,
        )
        handler = ResponseHandler(
            lambda status, headers: self._head(asked, status, headers),
            lambda data: self._data(asked, data),
            lambda: self._end(asked, routers),
            lambda has_begun: self._lost(asked, routers, has_begun),
        )
        asked.outing = self.ports.network.open(
            asked.router, "POST", "/v1/requests", asked.headers, asked.body, handler
        )

    def hang_up(self, asked):
        """Disconnect from a request that hasn't ended."""
        if asked.ended_us is None:
            asked.outing.close()
            self._close(asked, "hung-up", None, None)

    def _head(self, asked, status, headers):
        asked.status = status
        asked.request = headers.get("request-id") or asked.request
        asked.retry_s = int(headers.get("retry-after") or 0)
        asked.mark = int(headers.get("plan-mark") or 0)

    def _data(self, asked, data):
        if asked.status != 200:
            asked.error += data[:ANSWER_BYTES]
            return
        for piece in asked.reader.feed(data):
            if piece.event == "piece":
                if asked.first_us is None:
                    asked.first_us = self.now_us()
                self.record(
                    "piece",
                    id=asked.id,
                    own=asked.own,
                    run=piece.run,
                    number=piece.number,
                    text=piece.document.get("text"),
                )
                asked.run, asked.last = piece.run, piece.number
                asked.pieces += 1
                asked.tokens += piece.document.get("tokens", 0)
            elif piece.event == "done":
                asked.is_clean = True
                asked.how, asked.count = "done", piece.document.get("count")
            else:
                asked.is_clean = True
                asked.how, asked.code, asked.done = (
                    "trouble",
                    piece.document.get("code"),
                    piece.document.get("done"),
                )

    def _end(self, asked, routers):
        if asked.status != 200:
            try:
                document = read_json(asked.error)
            except Exception:
                document = {}
            asked.code, asked.done = document.get("code"), document.get("done")
            asked.cause = document.get("detail", {}).get("cause")
            return self._conclude(asked, routers, "refused" if asked.done == "no" else "trouble")
        if not asked.is_clean:
            return self._conclude(asked, routers, "cut")
        self._conclude(asked, routers, asked.how)

    def _lost(self, asked, routers, has_begun):
        if asked.is_clean:
            return self._conclude(asked, routers, asked.how)
        self._conclude(asked, routers, "cut" if has_begun else "unmade")

    def _conclude(self, asked, routers, how):
        may_go_on = len(routers) > 1 and asked.resumes < self.resumes_at_most
        if how == "unmade" and may_go_on:
            asked.resumes += 1
            self.record("unmade", id=asked.id, router=asked.router)
            return self._send(asked, routers[1:])
        if (
            how in ("cut", "trouble")
            and may_go_on
            and asked.last
            and self.kinds[asked.kind].get("resumable")
            and asked.code not in ("run_unknown", "stream_broken")
        ):
            asked.resumes += 1
            self.record("broken", id=asked.id, how=how, code=asked.code, done=asked.done)
            asked.headers["last-event-id"] = f"{asked.run}:{asked.last}"
            asked.code = asked.done = None
            return self._send(asked, routers[1:])
        self._close(asked, how, asked.code, asked.done)

    def _close(self, asked, how, code, done):
        asked.how = how
        asked.ended_us = self.now_us()
        self.record(
            "ended",
            id=asked.id,
            how=how,
            code=code,
            done=done,
            count=asked.count,
            status=asked.status,
            cause=asked.cause,
            mark=asked.mark,
        )
        if self.on_end:
            self.on_end(asked)


class Operator(Node):
    """A simulated operator: puts and reads plans, and records which puts were acknowledged."""

    __slots__ = ("record", "serial", "answers")

    def __init__(self, name, address, ports, record):
        super().__init__(name, address, ports)
        self.record = record
        self.serial = 0
        self.answers = []

    def _call(self, address, method, path, document, done):
        response = {"status": 0, "body": b""}

        def on_head(status, headers):
            response["status"] = status

        def on_data(data):
            response["body"] += data

        body = write_json(document) if document is not None else b""
        return self.ports.network.open(
            address,
            method,
            path,
            JSON,
            body,
            ResponseHandler(
                on_head,
                on_data,
                lambda: done(response["status"], read_json(response["body"])),
                lambda has_begun: done(0, None),
            ),
        )

    def put(self, registry, plan, expect, done=None):
        """Put a plan that replaces the one of mark `expect`; `done(status, document)` gets the
        answer, status 0 if none came."""
        self.serial += 1
        put_id = f"{self.name}-{self.serial}"
        self.record("put", put_id=put_id, expect=expect, plan=plan)

        def on_response(status, document):
            answer = {"put_id": put_id, "status": status, "document": document, "expect": expect}
            self.answers.append(answer)
            if status == 200:
                self.record("acked", put_id=put_id, mark=document["mark"])
            else:
                self.record(
                    "unacked",
                    put_id=put_id,
                    status=status,
                    code=(document or {}).get("code"),
                    done=(document or {}).get("done"),
                )
            if done:
                done(status, document)

        self._call(
            registry,
            "PUT",
            "/v1/plan",
            {"expect": expect, "put_id": put_id, "plan": plan},
            on_response,
        )

    def show(self, registry, done):
        """Read the plan at a core machine; `done(status, document)` gets the answer."""
        begun_us = self.now_us()

        def on_response(status, document):
            if status == 200:
                self.record(
                    "shown",
                    mark=document["mark"],
                    put_id=document["put_id"],
                    begun_us=begun_us,
                )
            done(status, document)

        self._call(registry, "GET", "/v1/plan", None, on_response)

    def get(self, address, path, done):
        """Send a GET; `done(status, document)` gets the answer."""
        self._call(address, "GET", path, None, done)

    def post(self, address, path, document, done):
        """Send a POST; `done(status, document)` gets the answer."""
        self._call(address, "POST", path, document, done)
