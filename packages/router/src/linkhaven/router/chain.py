"""The chain of filters that each request passes before it is queued."""

from linkhaven.api import ServiceError

from . import request as states

PASS, HOLD = "pass", "hold"


class FilterChain:
    """Calls the filters in order. Each passes a request on, holds it, or raises a `ServiceError`.

    A held request continues with the next filter once `run` is called again. An error is handed to
    `on_error` and ends the chain.
    """

    __slots__ = ("filters", "on_error")

    def __init__(self, filters, on_error):
        self.filters = filters
        self.on_error = on_error

    def rerun_from(self, request, name):
        """Send a request through the chain again, beginning with the filter `name`."""
        names = [filter_function.__name__ for filter_function in self.filters]
        request.next_filter = names.index(name)
        self.run(request)

    def run(self, request):
        """Continue with the request's next filter until one holds it or fails."""
        while request.next_filter < len(self.filters):
            filter_function = self.filters[request.next_filter]
            request.next_filter += 1
            try:
                if filter_function(request) is HOLD:
                    return
            except ServiceError as error:
                return self.on_error(request, error)


class Filters:
    """The filters of a router; each returns PASS or HOLD, or raises `ServiceError`."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node

    def build_chain(self, on_error):
        """Return the chain of all filters; `on_error` is called with a request and its error."""
        return FilterChain(
            [
                self.check_capacity,
                self.parse,
                self.check_freshness,
                self.resolve_kind,
                self.authenticate,
                self.admit,
                self.resume,
                self.quota,
                self.claim,
                self.enqueue,
            ],
            on_error,
        )

    def check_capacity(self, request):
        """Refuse requests while this router stops, or has too many already."""
        if self.node.is_draining and not self.node.is_lingering():
            raise ServiceError("draining", retry_us=self.node.drain_retry_us())
        if len(self.node.requests) > self.node.max_requests:
            raise ServiceError("too_busy", retry_us=1_000_000)
        return PASS

    def parse(self, request):
        """Read the fields of the request from its call."""
        self.node.callers.read(request)
        return PASS

    def check_freshness(self, request):
        """Refuse requests while configuration or runner list are too old to start work."""
        self.node.check_fresh()
        return PASS

    def resolve_kind(self, request):
        """Find the request kind, by host and path where the request doesn't name one."""
        configuration = self.node.snapshot.configuration
        if request.kind_name is None:
            request.kind_name = self.node.route_table.find(request.host, request.path)
        kind = configuration.kinds.get(request.kind_name)
        if kind is None:
            raise self._unknown_kind(request)
        request.kind = kind
        return PASS

    def _unknown_kind(self, request):
        """Return the error for an unknown kind; not final where a newer version may have added it.

        Test: `test_a_route_that_was_added_lately_isnt_denied_by_a_router_that_is_cut_off`.
        """
        if self.node.watcher.is_newest_within(self.node.bounds.deny_within_us):
            return ServiceError("unknown_kind", kind=request.kind_name)
        retry_us = self.node.bounds.retry_least_us
        return ServiceError("plan_stale", retry_us=retry_us, mark=self.node.snapshot.version)

    def authenticate(self, request):
        """Find the tenant by the API key.

        A request that is refused here belongs to no group yet and adds nothing to the retry budget.
        """
        request.tenant = self.node.authenticator.authenticate(request.kind, request.key_digest)
        return PASS

    def admit(self, request):
        """Assign group, pool and deadline, and check the sizes of prompt and answer."""
        kind = request.kind
        request.group = kind.group
        request.pool = self.node.choose_pool(kind)
        if self.node.placement.is_plain(request.pool):
            request.prompt_tokens, request.parts = 0, ()
        request.admitted_version = self.node.snapshot.version
        request.answer_tokens = request.answer_tokens or kind.max_output_tokens
        request.deadline_us = request.arrived_us + min(
            kind.deadline_us, request.caller_timeout_us or kind.deadline_us
        )
        self.node.retry_budget.earn(request.pool)
        if (
            request.prompt_tokens > kind.max_prompt_tokens
            or request.answer_tokens > kind.max_output_tokens
        ):
            raise ServiceError(
                "prompt_too_long",
                prompt_tokens=request.prompt_tokens,
                answer_tokens=request.answer_tokens,
                prompt_tokens_at_most=kind.max_prompt_tokens,
                answer_tokens_at_most=kind.max_output_tokens,
            )
        return PASS

    def resume(self, request):
        """Read after which piece the client resumes a stream, if it does."""
        position = self.node.callers.resume_place(request)
        if position is None:
            return PASS
        if not request.is_resumable:
            raise ServiceError("not_resumable", kind=request.kind_name)
        request.run, request.written = position
        request.resume = position
        return PASS

    def quota(self, request):
        """Take one quota token for a request of a limited tenant; it covers all attempts."""
        if self.node.tenant_quotas.admit(request):
            return PASS
        request.state = states.AWAITING_QUOTA
        return HOLD

    def claim(self, request):
        """Claim the idempotency key of a request that must run at most once."""
        if request.kind.requires_key and not request.key:
            raise ServiceError("key_missing", kind=request.kind_name)
        if not request.is_one_time or not request.key:
            return PASS
        self.node.idempotency_keys.claim(request, self.node.chain.run)
        return HOLD

    def enqueue(self, request):
        """Queue the request by its rank; `Attempts` takes it from there."""
        configuration = self.node.snapshot.configuration
        request.rank = configuration.rank_of(request.kind, request.tenant)
        self.node.enqueue(request)
        return HOLD
