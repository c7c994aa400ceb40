"""The interface to clients that linkhaven brings itself: JSON requests, streamed answers."""

from linkhaven.api import ServiceError, check_document
from linkhaven.configuration import digest_api_key
from linkhaven.runner.pieces import parse_event_id, write_event
from linkhaven.runtime import read_json

ERROR_EVENT = "trouble"
"""Type of the server-sent event that ends a stream with an error."""

MAX_IDEMPOTENCY_KEY_LENGTH = 200
STREAM_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-store"}

API_KEY_HEADER = "x-api-key"
BEARER_PREFIX = "bearer "


def take_api_key(headers):
    """Remove the API key from the headers of a call and return it, or None.

    Two different keys are returned joined by a comma, which matches no tenant's key.
    """
    keys = {headers.pop(API_KEY_HEADER, "")}
    authorization = headers.pop("authorization", "")
    if authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        keys.add(authorization[len(BEARER_PREFIX) :].strip())
    return ", ".join(sorted(keys - {""})) or None


def estimate_tokens(prompt):
    """Estimate the length of a prompt: a token for every four characters, plus one."""
    return len(prompt) // 4 + 1


class NativeCallers:
    """Reads JSON requests that name their kind, and answers with a stream of server-sent events.

    Other interfaces to clients implement the same methods: `read` fills a request from its call;
    `begin`, `piece` and `finish` write a stream; `refuse` answers with an error before anything
    was written, `break_off` afterwards.
    """

    __slots__ = ()

    def read(self, request):
        """Fill the request; raises `ServiceError` where the call is malformed."""
        api_key = take_api_key(request.call.headers)
        request.key_digest = digest_api_key(api_key) if api_key else None
        document = check_document("Ask", read_json(request.call.body))
        request.kind_name = document["kind"]
        request.prompt = document["prompt"]
        request.prompt_tokens = estimate_tokens(request.prompt)
        request.answer_tokens = document.get("answer_tokens", 0)
        request.key = request.call.headers.get("idempotency-key") or None
        if request.key and len(request.key) > MAX_IDEMPOTENCY_KEY_LENGTH:
            raise ServiceError(
                "bad_request", places=[{"place": "Idempotency-Key", "fault": "is too long"}]
            )

    def resume_place(self, request):
        """Return run and number of the piece that the client received last, or None.

        Raises `ServiceError` where its Last-Event-ID is malformed.
        """
        event_id = request.call.headers.get("last-event-id")
        if not event_id:
            return None
        position = parse_event_id(event_id)
        if position is None:
            raise ServiceError("bad_resume", told=event_id[:100])
        return position

    def begin(self, request, head):
        """Start the answer; the runner's `head` isn't used here."""
        request.call.begin(
            200,
            {
                **STREAM_HEADERS,
                "request-id": request.id,
                "plan-mark": str(request.admitted_version),
            },
        )

    def piece(self, request, piece):
        """Write a piece; return whether the client can take more at once."""
        return request.call.write(
            write_event("piece", piece.document, f"{piece.run}:{piece.number}")
        )

    def finish(self, request):
        """End the stream with the counts of pieces and tokens."""
        request.call.write(
            write_event("done", {"count": request.written, "tokens": request.tokens})
        )
        request.call.finish()

    def refuse(self, request, error):
        """Answer with an error before anything was written."""
        request.call.answer_error(error, {"request-id": request.id})

    def break_off(self, request, error):
        """End a stream that has begun with an error event."""
        request.call.write(write_event(ERROR_EVENT, error.as_document()))
        request.call.finish()
