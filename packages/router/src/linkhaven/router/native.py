from linkhaven.api import ServiceError, check_document
from linkhaven.configuration import digest_api_key
from linkhaven.runner.pieces import parse_event_id, write_event
from linkhaven.runtime import read_json

ERROR_EVENT = "trouble"
"""The event that ends a stream with an error, as it stands on the wire."""

MAX_IDEMPOTENCY_KEY_LENGTH = 200
STREAM_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-store"}


API_KEY_HEADER = "x-api-key"
BEARER_PREFIX = "bearer "


def take_api_key(headers):
    """Remove the API key from the headers of a call and return it, None where there is none.

    Two keys are returned joined, which is no tenant's key.
    """
    keys = {headers.pop(API_KEY_HEADER, "")}
    authorization = headers.pop("authorization", "")
    if authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        keys.add(authorization[len(BEARER_PREFIX) :].strip())
    return ", ".join(sorted(keys - {""})) or None


def estimate_tokens(prompt):
    return len(prompt) // 4 + 1


class NativeCallers:
    """Our own interface to callers: a JSON request that names its kind, answered by a stream of pieces.

    A callers' port reads a request from its call, and writes what the node decided: begin and piece while it
    streams, then finish, refuse (nothing was written yet) or break_off (something was)."""

    __slots__ = ()

    def read(self, request):
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
        event_id = request.call.headers.get("last-event-id")
        if not event_id:
            return None
        place = parse_event_id(event_id)
        if place is None:
            raise ServiceError("bad_resume", told=event_id[:100])
        return place

    def begin(self, request, head):
        request.call.begin(
            200,
            {
                **STREAM_HEADERS,
                "request-id": request.id,
                "plan-mark": str(request.admitted_version),
            },
        )

    def piece(self, request, piece):
        return request.call.write(
            write_event("piece", piece.document, f"{piece.run}:{piece.number}")
        )

    def finish(self, request):
        request.call.write(
            write_event("done", {"count": request.written, "tokens": request.tokens})
        )
        request.call.finish()

    def refuse(self, request, error):
        request.call.answer_error(error, {"request-id": request.id})

    def break_off(self, request, error):
        request.call.write(write_event(ERROR_EVENT, error.as_document()))
        request.call.finish()
