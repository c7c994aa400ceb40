CATALOGUE = {
    "bad_request": (
        400,
        "no",
        "Send a JSON body that fits the schema; the places that do not fit are listed.",
    ),
    "unknown_path": (404, "no", "Use a path and method that the schema file names."),
    "too_large": (413, "no", "Send a body below the limit of this node."),
    "message_malformed": (
        400,
        "no",
        "Start the sender at a version that this node may be mixed with; docs/operators.md names them.",
    ),
    "unknown_kind": (
        422,
        "no",
        "Ask for a kind that the plan in force names, or have the operator add it.",
    ),
    "prompt_too_long": (
        422,
        "no",
        "Shorten the prompt or ask for fewer tokens; the kind's bounds are in the plan.",
    ),
    "bad_resume": (
        400,
        "no",
        "Send Last-Event-Id as run:number, just as it stood in the last piece received.",
    ),
    "not_resumable": (
        409,
        "no",
        "This kind cannot be resumed; send the request anew if it may be repeated.",
    ),
    "run_unknown": (
        409,
        "no",
        "No runner can continue that run after that piece; send the request anew.",
    ),
    "key_missing": (
        400,
        "no",
        "This kind is only taken with an Idempotency-Key; send one that is new for new work.",
    ),
    "key_used": (
        409,
        "unknown",
        "A call with this key was let in earlier; look for its answer, and use a new key for new work.",
    ),
    "claim_unavailable": (
        503,
        "no",
        "The key could not be confirmed at a majority of the core, or there is no room for more keys; call again with a new key after the time in Retry-After.",
    ),
    "plan_absent": (
        503,
        "no",
        "No plan is in force; an operator puts one with: linkhaven-registry plan put.",
    ),
    "plan_stale": (
        503,
        "no",
        "This node cannot confirm the plan with a majority of the core; call again after Retry-After, or through another node.",
    ),
    "roster_stale": (
        503,
        "no",
        "This node's list of runners is too old; call again after Retry-After.",
    ),
    "no_runner": (503, "no", "No runner can take the request now; call again after Retry-After."),
    "queue_full": (
        429,
        "no",
        "The group's queue is full; call again after Retry-After, or have the operator raise its bounds.",
    ),
    "credit_spent": (
        429,
        "no",
        "The group has spent its credit and its queue is full; call again after Retry-After.",
    ),
    "draining": (503, "no", "This node is stopping; call through another node."),
    "too_busy": (
        503,
        "no",
        "This node carries as many requests as it may; call again after Retry-After, or through another node.",
    ),
    "deadline": (
        504,
        "unknown",
        "The request's deadline passed; repeat it only if the kind may be repeated.",
    ),
    "deadline_unserved": (
        504,
        "no",
        "The deadline passed before any runner was asked; call again after Retry-After.",
    ),
    "runner_lost": (
        502,
        "unknown",
        "The runner was lost while it had the request; resume from the last piece or repeat if the kind allows it.",
    ),
    "stream_broken": (
        502,
        "unknown",
        "The runner's stream skipped, repeated or changed its run and was ended; resume from the last piece or repeat if the kind allows it.",
    ),
    "extra_spent": (
        503,
        "unknown",
        "The fleet's budget of extra tries is spent; resume or repeat after Retry-After if the kind allows it.",
    ),
    "caller_gone": (
        408,
        "unknown",
        "The caller went away and its shots were ended; resume from the last piece or repeat if the kind allows it.",
    ),
    "cut_by_drain": (
        503,
        "unknown",
        "This node stopped before the stream ended; resume through another node.",
    ),
    "plan_invalid": (422, "no", "Mend each listed place of the plan and put it again."),
    "mark_conflict": (
        409,
        "no",
        "The plan has another mark than expected; read the plan, merge, and put with its mark.",
    ),
    "revision_conflict": (
        412,
        "no",
        "The document builds on another revision than the one in force; read the document, merge, and put on its revision.",
    ),
    "revision_old": (
        409,
        "no",
        "The document's revision is not above the one in force; put it with a higher revision.",
    ),
    "put_id_used": (
        409,
        "no",
        "This put id was taken for another change; read the plan, and put with a new put id.",
    ),
    "put_unknown": (
        504,
        "unknown",
        "No majority answered in time; read the plan, compare its put id, and put again if it is not yours.",
    ),
    "core_unready": (
        503,
        "no",
        "This seat may not vote yet; ask another seat, or see: linkhaven-registry core status.",
    ),
    "seat_not_waiting": (
        409,
        "no",
        "Only a seat that waits without votes can be restored; see: linkhaven-registry core status.",
    ),
    "no_such_request": (
        404,
        "no",
        "This node keeps no record of that request; ask the node that served it, soon after.",
    ),
    "disk_failing": (
        503,
        "no",
        "The data folder cannot be written and synced; free space or replace the disk, then restart.",
    ),
    "disk_corrupt": (
        503,
        "no",
        "The data folder holds what this program did not write whole; move it away and start the seat empty, it rebuilds from the others.",
    ),
    "disk_format": (
        503,
        "no",
        "The data folder is whole, but of another format; start the release that wrote it, or move the folder away on one member at a time, each once the others vote.",
    ),
    "disk_foreign": (
        503,
        "no",
        "The data folder belongs to another node; give this node its own, or move it away and start empty, it rebuilds from the others.",
    ),
    "settings_invalid": (
        500,
        "no",
        "Mend the named key in the settings file or flags and start again.",
    ),
    "question_invalid": (422, "no", "Mend each listed place of the what-if file and run it again."),
    "address_taken": (
        500,
        "no",
        "Another process listens on that address; stop it or choose another port.",
    ),
    "unreachable": (
        503,
        "no",
        "Nothing answers at that address; check that the program runs there and the address is right.",
    ),
    "mark_old": (
        409,
        "no",
        "The runner has seen a newer plan; read the newest plan before calling again.",
    ),
    "fence_old": (409, "no", "A newer holder orders this runner; stop ordering."),
    "incarnation_other": (
        409,
        "no",
        "The order names another start of this runner; read its report and order anew.",
    ),
    "handle_lapsed": (410, "no", "The held prompt memory is gone; prefill again."),
    "handle_foreign": (
        409,
        "no",
        "The handle belongs to another request or shot; drop it and prefill again.",
    ),
    "runner_leaving": (503, "no", "The runner is leaving and takes no new work; choose another."),
    "runner_full": (503, "no", "The runner's queue is full; choose another."),
    "connections_taken": (
        503,
        "no",
        "All connections that this node may have to the runner are busy; choose another.",
    ),
    "phase_wrong": (409, "no", "The runner plays the other part; read the roster again."),
    "hand_over_failed": (
        502,
        "no",
        "The decode runner could not fetch the prompt memory; prefill again.",
    ),
}


class ServiceError(Exception):
    __slots__ = ("code", "done", "detail", "retry_us")

    def __init__(self, code, done=None, retry_us=None, **detail):
        self.code = code
        self.done = done or CATALOGUE[code][1]
        self.detail = detail
        self.retry_us = retry_us
        super().__init__(code)

    @property
    def status(self):
        return CATALOGUE[self.code][0]

    @property
    def remedy(self):
        return CATALOGUE[self.code][2]

    def __str__(self):
        told = " ".join(f"{name}={value}" for name, value in self.detail.items())
        return f"{self.code}: {told + '. ' if told else ''}{self.remedy}"

    def as_document(self):
        document = {"code": self.code, "done": self.done, "message": self.remedy}
        if self.retry_us is not None:
            document["retry_us"] = self.retry_us
        if self.detail:
            document["detail"] = self.detail
        return document


def read_error(document, fallback):
    code = document.get("code") if isinstance(document, dict) else None
    if code not in CATALOGUE:
        return ServiceError(fallback)
    return ServiceError(code, document.get("done"), **(document.get("detail") or {}))
