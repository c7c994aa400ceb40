WAITING, AWAITING_QUOTA, CLAIMING, QUEUED, READING, DECODING, PARKED, ENDED = (
    "waiting",
    "awaiting_quota",
    "claiming",
    "queued",
    "reading",
    "decoding",
    "parked",
    "ended",
)


class Request:
    __slots__ = (
        "id",
        "call",
        "kind_name",
        "kind",
        "group",
        "prompt",
        "prompt_tokens",
        "answer_tokens",
        "key",
        "key_digest",
        "tenant",
        "rank",
        "quota_slice",
        "state",
        "next_filter",
        "arrived_us",
        "deadline_us",
        "admitted_version",
        "run",
        "written",
        "resume",
        "attempts",
        "runner_call",
        "runner",
        "attempt",
        "has_begun",
        "failed",
        "parked",
        "tokens",
        "first_us",
        "pace_tokens",
        "pace_from_us",
        "moved_from",
        "is_moving",
        "progress_us",
        "decisions",
        "steps",
        "outcome",
        "handle",
        "is_held",
        "claim_key",
        "queued_us",
        "host",
        "method",
        "path",
        "fields",
        "body",
        "caller_request_id",
        "parts",
        "pool",
        "caller_timeout_us",
        "prefill_attempts",
        "head",
        "had_begun_before",
        "sends",
    )

    def __init__(self, id, call, now_us):
        self.id = id
        self.call = call
        self.arrived_us = now_us
        self.kind_name = self.kind = self.group = self.prompt = self.key = None
        self.key_digest = self.tenant = self.quota_slice = None
        self.rank = 0
        self.prompt_tokens = self.answer_tokens = 0
        self.state = WAITING
        self.next_filter = 0
        self.deadline_us = None
        self.admitted_version = 0
        self.run = None
        self.written = 0
        self.resume = None
        self.attempts = 0
        self.attempt = None
        self.runner_call = None
        self.runner = None
        self.has_begun = False
        self.failed = []
        self.parked = None
        self.tokens = 0
        self.first_us = None
        self.pace_tokens = 0
        self.pace_from_us = 0
        self.moved_from = None
        self.is_moving = False
        self.progress_us = 0
        self.decisions = []
        self.steps = []
        self.outcome = None
        self.handle = None
        self.is_held = False
        self.claim_key = None
        self.queued_us = 0
        self.host = self.method = self.path = self.fields = self.body = self.caller_request_id = (
            self.head
        ) = None
        self.parts = ()
        self.pool = None
        self.caller_timeout_us = 0
        self.prefill_attempts = 0
        self.had_begun_before = False
        self.sends = 0

    @property
    def is_one_time(self):
        return not self.kind.is_idempotent

    @property
    def is_resumable(self):
        return self.kind.is_resumable

    @property
    def tpot_us(self):
        return self.kind.tpot_us

    def is_movable(self):
        return (
            self.state == DECODING and self.is_resumable and self.written > 0 and not self.is_moving
        )

    def pace_us(self, now_us):
        return (now_us - self.pace_from_us) / max(1, self.pace_tokens)

    def add_step(self, now_us, step, **facts):
        if len(self.steps) < 64:
            self.steps.append({"at_us": now_us - self.arrived_us, "step": step, **facts})

    def tenant_facts(self):
        """The tenant whose request it is, as a fact of log events; none where there is no tenant."""
        return {} if self.tenant is None else {"tenant": self.tenant}

    def timing_facts(self, now_us):
        """When it was placed, handed over and first answered, since it came; and what was predicted for its read."""
        seen = {
            "prompt": self.prompt_tokens,
            "ended": now_us - self.arrived_us,
            "runner": self.runner and self.runner.name,
        }
        for step in self.steps:
            if step["step"] in ("attempt", "hand-over"):
                seen[step["step"]] = step["at_us"]
        if self.first_us is not None:
            seen["first"] = self.first_us - self.arrived_us
        if self.decisions:
            winner = self.decisions[-1].winner
            if winner is not None:
                seen.update(
                    phase=winner.runner.phase,
                    unread=winner.uncached_tokens,
                    q=winner.queue_wait_us,
                    e=winner.execution_us,
                    t=winner.transfer_us,
                    start=winner.start_us,
                )
        return seen

    def as_record(self):
        record = {
            "request": self.id,
            "outside": self.caller_request_id,
            "kind": self.kind_name,
            "group": self.group,
            "mark": self.admitted_version,
            "prompt_tokens": self.prompt_tokens,
            "state": self.state,
            "attempts": self.attempts,
            "decisions": [decision.as_record() for decision in self.decisions],
            "steps": self.steps,
            "outcome": self.outcome,
        }
        if self.tenant is not None:
            record["tenant"] = self.tenant
        return record
