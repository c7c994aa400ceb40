"""The errors of the service: one exception class, and the catalogue of its codes.

Codes appear in responses and in logs, so their spelling must not change. docs/troubles.md lists the
same catalogue for operators, and a test compares the two. On the wire an error is the JSON document
of `ServiceError.as_document`.
"""

from typing import Any, Literal, NamedTuple

Done = Literal["no", "yes", "unknown"]
"""Whether the work was done. `no` guarantees that it never will be, so a retry is safe."""

NOT_DONE: Done = "no"
DONE_UNKNOWN: Done = "unknown"


class ErrorDefinition(NamedTuple):
    """The definition of one error code.

    `status` is the HTTP status (RFC 9110, section 15), `done` its default for whether the work was
    done, and `remedy` a sentence that tells a caller or an operator what to do.
    """

    status: int
    done: Done
    remedy: str


CATALOGUE: dict[str, ErrorDefinition] = {
    "bad_request": ErrorDefinition(
        400,
        NOT_DONE,
        "Send a JSON body that fits the schema; the places that do not fit are listed.",
    ),
    "unknown_path": ErrorDefinition(
        404,
        NOT_DONE,
        "Use a path and method that the schema file names.",
    ),
    "too_large": ErrorDefinition(413, NOT_DONE, "Send a body below the limit of this node."),
    "message_malformed": ErrorDefinition(
        400,
        NOT_DONE,
        "Start the sender at a version that this node may be mixed with; "
        "docs/operators.md names them.",
    ),
    "unknown_kind": ErrorDefinition(
        422,
        NOT_DONE,
        "Ask for a kind that the plan in force names, or have the operator add it.",
    ),
    "prompt_too_long": ErrorDefinition(
        422,
        NOT_DONE,
        "Shorten the prompt or ask for fewer tokens; the kind's bounds are in the plan.",
    ),
    "bad_resume": ErrorDefinition(
        400,
        NOT_DONE,
        "Send Last-Event-Id as run:number, just as it stood in the last piece received.",
    ),
    "not_resumable": ErrorDefinition(
        409,
        NOT_DONE,
        "This kind cannot be resumed; send the request anew if it may be repeated.",
    ),
    "run_unknown": ErrorDefinition(
        409,
        NOT_DONE,
        "No runner can continue that run after that piece; send the request anew.",
    ),
    "api_key_missing": ErrorDefinition(
        401,
        NOT_DONE,
        "Send the request with the API key that the operator gave you.",
    ),
    "api_key_unknown": ErrorDefinition(
        401,
        NOT_DONE,
        "The API key is no tenant's, or was taken away; ask the operator for one that is in force.",
    ),
    "api_key_unconfirmed": ErrorDefinition(
        503,
        NOT_DONE,
        "This node knows no such API key and cannot confirm with a majority of the core that the "
        "request needs another one; call again after Retry-After, or through another node.",
    ),
    "key_missing": ErrorDefinition(
        400,
        NOT_DONE,
        "This kind is only taken with an Idempotency-Key; send one that is new for new work.",
    ),
    "key_used": ErrorDefinition(
        409,
        DONE_UNKNOWN,
        "A call with this key was let in earlier; look for its answer, and use a new key "
        "for new work.",
    ),
    "claim_unavailable": ErrorDefinition(
        503,
        NOT_DONE,
        "The key could not be confirmed at a majority of the core, or there is no room "
        "for more keys; call again with a new key after the time in Retry-After.",
    ),
    "plan_absent": ErrorDefinition(
        503,
        NOT_DONE,
        "No plan is in force; an operator puts one with: linkhaven-registry plan put.",
    ),
    "plan_stale": ErrorDefinition(
        503,
        NOT_DONE,
        "This node cannot confirm the plan with a majority of the core; call again after "
        "Retry-After, or through another node.",
    ),
    "roster_stale": ErrorDefinition(
        503,
        NOT_DONE,
        "This node's list of runners is too old; call again after Retry-After.",
    ),
    "no_runner": ErrorDefinition(
        503,
        NOT_DONE,
        "No runner can take the request now; call again after Retry-After.",
    ),
    "queue_full": ErrorDefinition(
        429,
        NOT_DONE,
        "The group's queue is full; call again after Retry-After, or have the operator "
        "raise its bounds.",
    ),
    "credit_spent": ErrorDefinition(
        429,
        NOT_DONE,
        "The group has spent its credit and its queue is full; call again after Retry-After.",
    ),
    "quota_spent": ErrorDefinition(
        429,
        NOT_DONE,
        "The tenant has sent as many requests as its limit allows; call again after Retry-After, "
        "or have the operator raise the limit.",
    ),
    "quota_unknown": ErrorDefinition(
        503,
        NOT_DONE,
        "Nobody could tell in time whether the tenant is within its limit; call again after "
        "Retry-After.",
    ),
    "draining": ErrorDefinition(503, NOT_DONE, "This node is stopping; call through another node."),
    "too_busy": ErrorDefinition(
        503,
        NOT_DONE,
        "This node carries as many requests as it may; call again after Retry-After, or "
        "through another node.",
    ),
    "deadline": ErrorDefinition(
        504,
        DONE_UNKNOWN,
        "The request's deadline passed; repeat it only if the kind may be repeated.",
    ),
    "deadline_unserved": ErrorDefinition(
        504,
        NOT_DONE,
        "The deadline passed before any runner was asked; call again after Retry-After.",
    ),
    "runner_lost": ErrorDefinition(
        502,
        DONE_UNKNOWN,
        "The runner was lost while it had the request; resume from the last piece or "
        "repeat if the kind allows it.",
    ),
    "stream_broken": ErrorDefinition(
        502,
        DONE_UNKNOWN,
        "The runner's stream skipped, repeated or changed its run and was ended; resume "
        "from the last piece or repeat if the kind allows it.",
    ),
    "extra_spent": ErrorDefinition(
        503,
        DONE_UNKNOWN,
        "The fleet's budget of extra tries is spent; resume or repeat after Retry-After "
        "if the kind allows it.",
    ),
    "caller_gone": ErrorDefinition(
        408,
        DONE_UNKNOWN,
        "The caller went away and its shots were ended; resume from the last piece or "
        "repeat if the kind allows it.",
    ),
    "cut_by_drain": ErrorDefinition(
        503,
        DONE_UNKNOWN,
        "This node stopped before the stream ended; resume through another node.",
    ),
    "plan_invalid": ErrorDefinition(
        422,
        NOT_DONE,
        "Mend each listed place of the plan and put it again.",
    ),
    "mark_conflict": ErrorDefinition(
        409,
        NOT_DONE,
        "The plan has another mark than expected; read the plan, merge, and put with its mark.",
    ),
    "revision_conflict": ErrorDefinition(
        412,
        NOT_DONE,
        "The document builds on another revision than the one in force; read the "
        "document, merge, and put on its revision.",
    ),
    "revision_old": ErrorDefinition(
        409,
        NOT_DONE,
        "The document's revision is not above the one in force; put it with a higher revision.",
    ),
    "put_id_used": ErrorDefinition(
        409,
        NOT_DONE,
        "This put id was taken for another change; read the plan, and put with a new put id.",
    ),
    "put_unknown": ErrorDefinition(
        504,
        DONE_UNKNOWN,
        "No majority answered in time, or too many puts have come since to tell; read the plan, "
        "compare its put id, and put again if it is not yours.",
    ),
    "core_unready": ErrorDefinition(
        503,
        NOT_DONE,
        "This seat may not vote yet; ask another seat, or see: linkhaven-registry core status.",
    ),
    "seat_not_waiting": ErrorDefinition(
        409,
        NOT_DONE,
        "Only a seat that waits without votes can be restored; see: linkhaven-registry "
        "core status.",
    ),
    "no_such_request": ErrorDefinition(
        404,
        NOT_DONE,
        "This node keeps no record of that request; ask the node that served it, soon after.",
    ),
    "disk_failing": ErrorDefinition(
        503,
        NOT_DONE,
        "The data folder cannot be written and synced; free space or replace the disk, "
        "then restart.",
    ),
    "disk_corrupt": ErrorDefinition(
        503,
        NOT_DONE,
        "The data folder holds what this program did not write whole; move it away and "
        "start the seat empty, it rebuilds from the others.",
    ),
    "disk_format": ErrorDefinition(
        503,
        NOT_DONE,
        "The data folder is whole, but of another format; start the release that wrote "
        "it, or move the folder away on one member at a time, each once the others vote.",
    ),
    "disk_foreign": ErrorDefinition(
        503,
        NOT_DONE,
        "The data folder belongs to another node; give this node its own, or move it "
        "away and start empty, it rebuilds from the others.",
    ),
    "settings_invalid": ErrorDefinition(
        500,
        NOT_DONE,
        "Mend the named key in the settings file or flags and start again.",
    ),
    "question_invalid": ErrorDefinition(
        422,
        NOT_DONE,
        "Mend each listed place of the what-if file and run it again.",
    ),
    "address_taken": ErrorDefinition(
        500,
        NOT_DONE,
        "Another process listens on that address; stop it or choose another port.",
    ),
    "unreachable": ErrorDefinition(
        503,
        NOT_DONE,
        "Nothing answers at that address; check that the program runs there and the "
        "address is right.",
    ),
    "mark_old": ErrorDefinition(
        409,
        NOT_DONE,
        "The runner has seen a newer plan; read the newest plan before calling again.",
    ),
    "fence_old": ErrorDefinition(
        409,
        NOT_DONE,
        "A newer holder orders this runner; stop ordering.",
    ),
    "incarnation_other": ErrorDefinition(
        409,
        NOT_DONE,
        "The order names another start of this runner; read its report and order anew.",
    ),
    "handle_lapsed": ErrorDefinition(
        410,
        NOT_DONE,
        "The held prompt memory is gone; prefill again.",
    ),
    "handle_foreign": ErrorDefinition(
        409,
        NOT_DONE,
        "The handle belongs to another request or shot; drop it and prefill again.",
    ),
    "runner_leaving": ErrorDefinition(
        503,
        NOT_DONE,
        "The runner is leaving and takes no new work; choose another.",
    ),
    "runner_full": ErrorDefinition(503, NOT_DONE, "The runner's queue is full; choose another."),
    "connections_taken": ErrorDefinition(
        503,
        NOT_DONE,
        "All connections that this node may have to the runner are busy; choose another.",
    ),
    "phase_wrong": ErrorDefinition(
        409,
        NOT_DONE,
        "The runner plays the other part; read the roster again.",
    ),
    "hand_over_failed": ErrorDefinition(
        502,
        NOT_DONE,
        "The decode runner could not fetch the prompt memory; prefill again.",
    ),
}


class ServiceError(Exception):
    """An error with a code of the catalogue, reported to callers and operators.

    `done` may differ from the code's default if more is known. `retry_us` is how long a caller
    should wait before it retries, in microseconds; None if waiting doesn't help. `detail` has
    further facts by name, encodable as JSON.
    """

    __slots__ = ("code", "done", "detail", "retry_us")

    def __init__(
        self, code: str, done: Done | None = None, retry_us: int | None = None, **detail: Any
    ) -> None:
        """Create an error of `code`; raises KeyError if the catalogue has no such code."""
        self.code = code
        self.done: Done = done or CATALOGUE[code].done
        self.detail = detail
        self.retry_us = retry_us
        super().__init__(code)

    @property
    def status(self) -> int:
        """The HTTP status of the code."""
        return CATALOGUE[self.code].status

    @property
    def remedy(self) -> str:
        """The sentence that says what to do."""
        return CATALOGUE[self.code].remedy

    def __str__(self) -> str:
        """Format code, details and remedy for a log line or a console."""
        facts = " ".join(f"{name}={value}" for name, value in self.detail.items())
        return f"{self.code}: {facts + '. ' if facts else ''}{self.remedy}"

    def as_document(self) -> dict[str, Any]:
        """Return the JSON document that is sent to a caller."""
        document: dict[str, Any] = {"code": self.code, "done": self.done, "message": self.remedy}
        if self.retry_us is not None:
            document["retry_us"] = self.retry_us
        if self.detail:
            document["detail"] = self.detail
        return document


def read_error(document: Any, fallback: str) -> ServiceError:
    """Return the error in a document of another process; one of code `fallback` if it has none."""
    code = document.get("code") if isinstance(document, dict) else None
    if code not in CATALOGUE:
        return ServiceError(fallback)
    return ServiceError(code, document.get("done"), **(document.get("detail") or {}))
