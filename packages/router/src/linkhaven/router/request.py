"""A request at the router that accepted it, and the states that it goes through."""

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

RECORD_BYTES, STEP_BYTES, CANDIDATE_BYTES = 1_000, 400, 400
"""Memory of the record of a request, of one of its steps, and of one runner that was evaluated."""


class Request:
    """The whole state of one request; the router's components change it, it decides nothing.

    Fields whose meaning isn't plain from their name:

    - `rank`: priority within the queue of its group;
    - `next_filter`: index of the next filter of the chain;
    - `run`: id of the generation run whose pieces are relayed, None before the first;
    - `written`: number of the last piece that was written to the client;
    - `resume`: run and piece number after which the client resumes a stream;
    - `runner_call`: the call to a runner that is in flight;
    - `attempt`: id of the current attempt; `attempts`: how many were started;
    - `sends`: attempts, and further sends for a second prefill, against `max_attempts`;
    - `has_begun`: whether a runner may have executed it; `had_begun_before`: the same before the
      current attempt;
    - `failed`: names of runners at which an attempt failed;
    - `parked`: called with the request once the router may start work again;
    - `handle`: handle of the KV cache that a prefill produced, and its runner;
    - `is_held`: whether reading from the runner is paused, since the client is slow.

    Times are microseconds of the router's clock.
    """

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
        """Whether it must not be executed twice."""
        return not self.kind.is_idempotent

    @property
    def is_resumable(self):
        return self.kind.is_resumable

    @property
    def tpot_us(self):
        return self.kind.tpot_us

    def is_movable(self):
        """Whether its stream can be moved to another runner."""
        return (
            self.state == DECODING and self.is_resumable and self.written > 0 and not self.is_moving
        )

    def pace_us(self, now_us):
        """Mean time per output token since the stream began or was moved last."""
        return (now_us - self.pace_from_us) / max(1, self.pace_tokens)

    def add_step(self, now_us, step, **facts):
        """Add a step to the record; after 64 steps further ones are dropped."""
        if len(self.steps) < 64:
            self.steps.append({"at_us": now_us - self.arrived_us, "step": step, **facts})

    def tenant_facts(self):
        """Return the tenant as a fact of log events; nothing where there is no tenant."""
        return {} if self.tenant is None else {"tenant": self.tenant}

    def timing_facts(self, now_us):
        """Return its times since arrival and the prediction for its prefill, as log facts.

        These are the times of placement, hand-over, first answer and end. `runner` is the one that
        it was sent to last, `prefill_runner` the one that was chosen to prefill its prompt.
        """
        facts = {
            "prompt": self.prompt_tokens,
            "ended": now_us - self.arrived_us,
            "runner": self.runner and self.runner.name,
        }
        for step in self.steps:
            if step["step"] in ("attempt", "hand-over"):
                facts[step["step"]] = step["at_us"]
        if self.first_us is not None:
            facts["first"] = self.first_us - self.arrived_us
        if self.decisions:
            winner = self.decisions[-1].winner
            if winner is not None:
                facts.update(
                    phase=winner.runner.phase,
                    prefill_runner=winner.runner.name,
                    unread=winner.uncached_tokens,
                    q=winner.queue_wait_us,
                    e=winner.execution_us,
                    t=winner.transfer_us,
                    start=winner.start_us,
                )
        return facts

    def as_record(self):
        """Return the record that `explain` shows."""
        return RequestRecord(self).as_record()


class RequestRecord:
    """What `explain` needs of a request, which may have ended; nothing of its call or its body."""

    __slots__ = (
        "id",
        "caller_request_id",
        "kind_name",
        "group",
        "admitted_version",
        "prompt_tokens",
        "state",
        "attempts",
        "decisions",
        "steps",
        "outcome",
        "tenant",
        "arrived_us",
    )

    def __init__(self, request):
        """Copy the fields of a request; lists are shared, as an ended request changes no more."""
        for field in self.__slots__:
            setattr(self, field, getattr(request, field))

    def size_bytes(self):
        """Return about how much memory it takes."""
        candidates = sum(len(decision.candidates) for decision in self.decisions)
        return (
            RECORD_BYTES
            + len(self.caller_request_id or "")
            + STEP_BYTES * len(self.steps)
            + CANDIDATE_BYTES * candidates
        )

    def as_record(self):
        """Return the record that `explain` shows."""
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
