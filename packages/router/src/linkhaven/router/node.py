"""The router node: accepts requests, queues them by group and relays the answers of runners."""

from linkhaven.api import ServiceError
from linkhaven.configuration import (
    Configuration,
    ConfigurationSnapshot,
    ConfigurationWatcher,
    RequestKind,
)
from linkhaven.consensus import Proposer
from linkhaven.credit import GRANT_NUMBERS_PER_FENCE, AdmissionQueues, RetryBudget, TenantQuotas
from linkhaven.membership import Membership
from linkhaven.pairing import NO_BOUND_US, PlacementPolicy, StreamMigrator
from linkhaven.runner import Roster, RunnerClient
from linkhaven.runtime import Node, Table

from . import request as states
from .attempts import Attempts
from .authentication import Authenticator
from .chain import Filters
from .doors import RouteTable
from .explain import Explainer
from .invariants import PlacementInvariants
from .keys import IdempotencyKeys
from .native import NativeCallers
from .quota_directory import QuotaDirectory
from .readmission import Readmission
from .refusals import RefusalReport
from .request import Request

RATE_INTERVAL_US = 1_000_000
"""Interval between two updates of the token rates that are reported to the core."""

CLOSED_HOLD_US = 1_000_000
"""How long requests wait at a router that may start no work before they are ended."""

MAX_CLOSED_RETRY_US = 30_000_000
"""Upper bound of the retry time that a router gives out while it may start no work."""

IDLE_TICK_US = 50_000
"""Interval between ticks while no request depends on them."""

TYPICAL_TOKENS_GAIN = 0.1
"""Weight of each new prompt in the moving average of uncached tokens of its request kind."""


def queue_limits_by_group(configuration: Configuration) -> dict[str, int]:
    """Return the longest queue at a runner, in microseconds, that requests of each group may join.

    The limit of a group is the tightest TTFT target among the other groups, or among its own
    request kinds where there is no other group, so that this target can still be met.
    """
    tightest = {}
    for kind in configuration.kinds.values():
        tightest_us = tightest.get(kind.group, NO_BOUND_US)
        tightest[kind.group] = min(tightest_us, kind.ttft_us)
    first, second, *_ = [*sorted(tightest, key=tightest.get), None, None]
    if first is None:
        return {group: NO_BOUND_US for group in configuration.groups}
    return {
        group: tightest[second if group == first and second is not None else first]
        for group in configuration.groups
    }


class RouterNode(Node):
    """One router: owns the requests that it accepted, and the components that decide on them.

    Requests go through the filters of `chain`, wait in `admission`, are sent to runners by
    `attempts`, and end in exactly one of `end_done`, `end_answered` and `end_with_error`.
    """

    __slots__ = (
        "membership",
        "proposer",
        "snapshot",
        "watcher",
        "roster",
        "runner_client",
        "placement",
        "retry_budget",
        "admission",
        "attempts",
        "authenticator",
        "stream_migrator",
        "requests",
        "chain",
        "explainer",
        "is_draining",
        "drain_us",
        "on_drained",
        "serial",
        "counts",
        "max_requests",
        "incarnation",
        "arrived_tokens",
        "produced_tokens",
        "token_rates",
        "rated_us",
        "steward_position",
        "is_open",
        "queue_limits_us",
        "on_end",
        "closed_since_us",
        "unserved",
        "idempotency_keys",
        "tenant_quotas",
        "callers",
        "route_table",
        "readmission",
        "refusals",
        "invariants",
        "undisturbed_since_us",
        "typical_tokens",
    )

    def __init__(
        self,
        name,
        address,
        ports,
        zone,
        seeds,
        incarnation,
        max_requests=2_000,
        bounds=None,
        callers=None,
        make_runner_client=RunnerClient,
    ):
        """`callers` implements the interface to clients, `make_runner_client` the one to runners.

        `max_requests`: requests that this router holds at a time; further ones get `too_busy`.
        `incarnation`: a number that grows with each start of this router.
        """
        super().__init__(name, address, ports, bounds)
        majority = self.bounds.seats // 2 + 1
        self.callers = callers or NativeCallers()
        self.route_table = RouteTable()
        self.incarnation = incarnation
        self.snapshot = ConfigurationSnapshot()
        self.membership = Membership(
            self,
            "router",
            zone,
            seeds,
            incarnation,
            current_version=lambda: self.snapshot.version,
            on_configuration_version=lambda mark, member: self.snapshot.observe_version(mark),
        )
        self.proposer = Proposer(self, self.membership, majority)
        self.watcher = ConfigurationWatcher(
            self, self.membership, self.snapshot, self, majority, self._count_routers
        )
        self.authenticator = Authenticator(self.watcher, self.bounds)
        self.roster = Roster(self)
        self.runner_client = make_runner_client(self)
        self.idempotency_keys = IdempotencyKeys(self, self.proposer, self._failed_routers)
        self.placement = PlacementPolicy(
            self, self.roster, lambda: self.membership.live_members("router")
        )
        self.retry_budget = RetryBudget(self)
        self.admission = AdmissionQueues(self, self._initial_read_rate, self.end_with_error)
        self.tenant_quotas = TenantQuotas(
            self,
            QuotaDirectory(self.membership),
            self.bounds.seats,
            incarnation,
            self._resume_with_token,
            self.end_with_error,
        )
        self.requests = Table()
        self.attempts = Attempts(
            self, self.placement, self.runner_client, self.roster, self.retry_budget
        )
        self.stream_migrator = StreamMigrator(
            self, self.placement, self.roster, self.requests.rows, self.attempts.move
        )
        self.chain = Filters(self).build_chain(self.end_with_error)
        self.explainer = Explainer(self, self.membership, self.requests)
        self.readmission = Readmission(self)
        self.refusals = RefusalReport(self, self.roster, self.placement)
        self.invariants = PlacementInvariants(self, self.placement)
        self.undisturbed_since_us = self.now_us()
        self.late_tick_handlers.append(self._note_disturbance)
        self.max_requests = max_requests
        self.is_draining = False
        self.drain_us = None
        self.on_drained = None
        self.serial = 0
        self.counts = {"asked": 0, "served": 0, "refused": 0, "troubled": 0}
        self.arrived_tokens = self.produced_tokens = 0
        self.token_rates = [0.0, 0.0]
        self.rated_us = self.now_us()
        self.steward_position = (0, 0)
        self.is_open = False
        self.closed_since_us = self.now_us()
        self.unserved = {}
        self.queue_limits_us = {}
        self.typical_tokens = {}
        self.on_end = []
        self.snapshot.change_listeners.append(self._apply_configuration)
        self.roster.on_new.append(self.wake_queue)
        self.map_handlers["want_image"] = self._on_configuration_request
        self.tick_handlers += [
            self._enforce_deadlines,
            self._serve_queue,
            self._update_token_rates,
            self._update_open_state,
            self._fail_waiting_while_closed,
            self._continue_drain,
        ]
        self.routes = {
            ("POST", "/v1/requests"): self.serve_request,
            ("GET", "/v1/explain/"): self.explainer.serve,
            ("GET", "/v1/standing"): self.serve_standing,
        }

    def _apply_configuration(self):
        configuration = self.snapshot.configuration
        self.placement.apply_configuration(configuration)
        self.retry_budget.apply_configuration(configuration)
        self.admission.apply_configuration(configuration)
        self.idempotency_keys.apply_configuration(configuration)
        self.route_table.apply_configuration(configuration)
        self.authenticator.apply_configuration(configuration)
        self.queue_limits_us = queue_limits_by_group(configuration)
        for kind in [kind for kind in self.typical_tokens if kind not in configuration.kinds]:
            del self.typical_tokens[kind]
        self.ports.log(2001, mark=self.snapshot.version)
        withdrawn = self.readmission.withdraw_changed(configuration)
        self.tenant_quotas.apply_configuration(configuration)
        self.readmission.apply(withdrawn)
        self.admission.apply_configuration(configuration)

    def _resume_with_token(self, request):
        """Continue with a request that got the quota token it waited for.

        The configuration may have changed meanwhile: its API key may be revoked or belong to
        another tenant, and its request kind may be removed or changed.
        """
        if request.state != states.AWAITING_QUOTA:
            return
        request.state = states.WAITING
        configuration = self.snapshot.configuration
        kind = configuration.kinds.get(request.kind_name)
        try:
            if kind is None:
                raise ServiceError("unknown_kind", kind=request.kind_name)
            tenant = self.authenticator.authenticate(kind, request.key_digest)
        except ServiceError as error:
            return self.end_with_error(request, error)
        request.kind, request.group, request.admitted_version = (
            kind,
            kind.group,
            self.snapshot.version,
        )
        if tenant == request.tenant:
            return self.chain.run(request)
        self.tenant_quotas.give_back(request)
        request.tenant = tenant
        self.chain.rerun_from(request, "quota")

    def _initial_read_rate(self):
        """An even share of the prefill rate of all runners, used until this queue has a rate."""
        return self.placement.prefill_rate() // (1 + len(self.membership.live_members("router")))

    def _failed_routers(self):
        """Return name and address of each other router that is considered failed."""
        return [
            (member.name, member.address)
            for member in self.membership.peers.values()
            if member.kind == "router" and not member.is_up and not member.has_left
        ]

    def _count_routers(self):
        return 1 + len(self.membership.live_members("router"))

    def needs_larger_share(self):
        """Whether requests or retries here wait for a larger share of their allowance."""
        return self.retry_budget.was_refused_recently() or self.admission.is_waiting()

    def add_watch_sections(self, facts, seat):
        """Add this router's reports to a watch request to the replica at `seat`.

        Demand, usage and load are reported only to the replicas whose singleton roles use them.
        """
        now_us, pace = self.now_us(), self.watcher.hold
        is_roster = pace.is_sender(seat, "roster", now_us)
        if pace.is_sender(seat, "shares", now_us):
            facts["credit"] = self.admission.demand_reports()
            facts["extra"] = self.retry_budget.demand_report()
        facts["usage"] = self.admission.usage_reports()
        is_keeping = is_roster or pace.is_sender(seat, "steward", now_us)
        facts["evidence"] = self.roster.evidence_rows(is_keeping)
        facts["rates"] = [*self.token_rates, self.placement.estimator.learned_prefill_rate()]
        facts["roster"] = self.roster.version
        facts["steward"] = self.steward_position
        if is_roster and self.placement.is_large():
            facts["views"] = self.placement.load.own_rows()
            facts["lines"] = self.placement.estimator.own_rows()
        if is_roster:
            facts["outcomes"] = self.placement.plain.own_rows()
        newest_grant = max(self.retry_budget.grant_number, self.admission.newest_grant())
        facts["fences"] = {
            "roster": self.roster.version[0],
            "steward": self.steward_position[0],
            "bursar": newest_grant // GRANT_NUMBERS_PER_FENCE,
        }

    def on_watch_response(self, message, sent_us):
        """Apply what a replica answered to the watch request that was sent at `sent_us`.

        Grants last for one lease from `sent_us`, not from the answer's arrival: this router's
        lease so never outlasts the one that the replica counts.
        """
        roster = message.get("roster")
        if roster is not None:
            self.roster.take(roster, sent_us)
        steward = message.get("steward")
        if steward is not None and (steward["fence"], steward["serial"]) >= self.steward_position:
            self.steward_position = (steward["fence"], steward["serial"])
            for runner in self.roster.runners.values():
                is_behind = runner.phase != steward["settled"].get(runner.name, runner.phase)
                runner.is_changing = runner.name in steward["changing"] or is_behind
        if "views" in message:
            self.placement.load.take_fleet_sums(message["views"])
        if "lines" in message:
            self.placement.estimator.take_others(message["lines"])
        if "outcomes" in message:
            self.placement.plain.take_others(message["outcomes"])
        shares = message.get("shares")
        if shares is not None:
            for group, (rate, grant) in shares["rates"].items():
                self.admission.apply_grant(group, rate, grant, sent_us + self.bounds.lease_us)
            if "extra" in shares:
                self.retry_budget.apply_grant(*shares["extra"], sent_us + self.bounds.lease_us)
        self.wake_queue()

    def _on_configuration_request(self, message):
        held = self.watcher.packed_configuration()
        if held is not None:
            value, body = held
            self.send_untyped(message["back"], "image", value=value, body=body)

    def may_start(self):
        """Whether both configuration and runner list are fresh enough to start work on them."""
        return self.watcher.is_fresh() and self.roster.is_fresh()

    def check_fresh(self):
        """Raise `ServiceError` where this router may start no work now."""
        if (
            self.snapshot.configuration is None
            and not self.snapshot.is_behind
            and self.watcher.has_confirmation()
        ):
            raise ServiceError("plan_absent", retry_us=2_000_000)
        if not self.may_start():
            raise self.closed_error()

    def closed_error(self, done=None):
        """Return the error for requests that come while this router may start no work.

        The retry time is as long as the router has been closed so far, within fixed bounds.
        """
        retry_us = min(MAX_CLOSED_RETRY_US, max(1_000_000, self.now_us() - self.closed_since_us))
        if not self.watcher.is_fresh():
            return ServiceError(
                "plan_stale", done=done, retry_us=retry_us, mark=self.snapshot.version
            )
        return ServiceError("roster_stale", done=done, retry_us=retry_us)

    def choose_pool(self, kind: RequestKind) -> str | None:
        """Draw the pool of a request, where its kind has several by their weights; None: any."""
        pools = kind.pools
        if len(pools) < 2:
            return pools[0].pool if pools else None
        remaining_weight = self.ports.random.randrange(sum(part.weight for part in pools))
        for part in pools:
            remaining_weight -= part.weight
            if remaining_weight < 0:
                return part.pool

    def connections_at_most(self, runner):
        """Return this router's even share of the connections that a runner accepts.

        Four fifths of the pool's `max_connections` are shared by the live routers; each may have
        two at least. None: no limit is configured.
        """
        configuration = self.snapshot.configuration
        pool = configuration.pools.get(runner.pool) if configuration is not None else None
        if pool is None:
            return None
        return max(
            2, pool.max_connections * 4 // (5 * (1 + len(self.membership.live_members("router"))))
        )

    def is_ready(self):
        return self.may_start() and not self.is_draining

    def is_lingering(self):
        """Whether a draining router still accepts requests, since clients may not know yet."""
        return self.now_us() - self.drain_us < self.bounds.linger_us

    def drain_retry_us(self):
        """The retry time for requests that are refused since this router stops."""
        return self.bounds.retry_least_us

    def serve_request(self, call):
        """Accept a call as a new request and send it through the filters."""
        self.serial += 1
        now_us = self.now_us()
        request = Request(f"{self.name}-{self.incarnation}-{self.serial}", call, now_us)
        self.counts["asked"] += 1
        self.requests[request.id] = request
        call.on_client_disconnect = lambda: self._on_client_disconnect(request)
        call.on_writable = lambda: self._resume_reading(request)
        self.chain.run(request)

    def enqueue(self, request):
        """Put a request into the queue of its group; raises `ServiceError` where it is full."""
        self.admission.enqueue(request.group, request)
        request.state = states.QUEUED
        uncached_tokens = self.placement.least_uncached_tokens(request)
        self.arrived_tokens += uncached_tokens
        previous_mean = self.typical_tokens.get(request.kind_name, uncached_tokens)
        self.typical_tokens[request.kind_name] = previous_mean + TYPICAL_TOKENS_GAIN * (
            uncached_tokens - previous_mean
        )
        request.add_step(self.now_us(), "queued")
        self.wake_queue()

    def next_tick_delay_us(self):
        """Return how long the event loop may rest between ticks; 0: the shortest tick.

        Queued requests, a router that is closed or draining, and in a small fleet also running
        requests need short ticks. Everything else is driven by incoming messages.
        """
        if not self.is_open or self.admission.is_waiting() or self.is_draining:
            return 0
        if self.requests and not self.placement.is_large():
            return 0
        return IDLE_TICK_US

    def wake_queue(self):
        """Start queued requests as far as credit and runners allow."""
        self.admission.serve(self.attempts.begin)

    def relay_piece(self, request, piece, tokens, now_us):
        """Write a piece of a stream to the client; pause reading where the client is slow."""
        call = request.call
        if not call.is_begun:
            request.first_us = now_us
            request.pace_from_us = now_us
            self.callers.begin(request, request.head)
        else:
            request.pace_tokens += tokens
        request.written = piece.number
        request.tokens += tokens
        self.produced_tokens += tokens
        self.admission.charge(request.group, tokens)
        has_room = self.callers.piece(request, piece)
        if not has_room and request.runner_call is not None and not call.is_ended:
            request.is_held = True
            request.runner_call.http_call.pause_reading()

    def _resume_reading(self, request):
        if not request.is_held:
            return
        request.is_held = False
        request.progress_us = self.now_us()
        if request.runner_call is not None:
            request.runner_call.http_call.resume_reading()

    def end_done(self, request):
        """End a request whose stream is complete."""
        if not request.call.is_begun:
            self.callers.begin(request, request.head)
        self.callers.finish(request)
        self.counts["served"] += 1
        if request.first_us is not None:
            self.placement.estimator.note_answer(
                request.answer_tokens, self.now_us() - request.first_us
            )
        self.ports.log(
            2101,
            request=request.id,
            kind=request.kind_name,
            tokens=request.tokens,
            shots=request.attempts,
            **request.tenant_facts(),
            **request.timing_facts(self.now_us()),
        )
        self._close(request, "done")

    def end_answered(self, request, status, headers, body):
        """End a request with the runner's whole answer, unchanged."""
        self.counts["served" if status < 300 else "troubled"] += 1
        if status < 300:
            self.ports.log(
                2101,
                request=request.id,
                kind=request.kind_name,
                tokens=0,
                shots=request.attempts,
                **request.tenant_facts(),
            )
        else:
            self.ports.log(
                2102,
                request=request.id,
                kind=request.kind_name,
                code=f"status {status}",
                **request.tenant_facts(),
            )
        if request.call.is_begun:
            request.call.cut()
        else:
            self.callers.answer(request, status, headers, body)
        self._close(request, f"status {status}")

    def end_with_error(self, request, error):
        """End a request with an error; does nothing where it has ended already.

        `error.done` is "no" where the request certainly did not run: it counts as refused then,
        and its idempotency key may be used again.
        """
        if request.state == states.ENDED:
            return
        self.attempts.leave_runner(request)
        is_refused = error.done == "no"
        self.counts["refused" if is_refused else "troubled"] += 1
        log_facts = {
            **error.detail,
            **request.tenant_facts(),
            "request": request.id,
            "kind": request.kind_name,
            "code": error.code,
        }
        if is_refused:
            self.refusals.note(error)
            self.ports.log(2103, **log_facts)
        else:
            self.ports.log(2102, **{**request.timing_facts(self.now_us()), **log_facts})
        if is_refused and request.group:
            self.admission.count_refusal(request.group)
        if is_refused and request.claim_key:
            self.idempotency_keys.give_back(request)
        call = request.call
        self._close(request, error.code)
        if call.is_ended:
            return
        if not call.is_begun:
            return self.callers.refuse(request, error)
        self.callers.break_off(request, error)

    def _close(self, request, outcome):
        if request.state == states.QUEUED:
            self.admission.remove(request.group, request)
        if request.state == states.AWAITING_QUOTA:
            self.tenant_quotas.cancel(request)
        request.state = states.ENDED
        request.parked = None
        request.outcome = outcome
        request.prompt = request.body = request.fields = None
        request.call.on_client_disconnect = request.call.on_writable = None
        self.requests.drop(request.id)
        request.add_step(self.now_us(), outcome)
        self.explainer.store(request)
        for listener in self.on_end:
            listener(request, self.now_us())
        if request.quota_slice is not None and not request.attempts:
            self.tenant_quotas.give_back(request)
        if not self.is_draining:
            self.wake_queue()

    def _on_client_disconnect(self, request):
        if request.state != states.ENDED:
            self.end_with_error(request, ServiceError("caller_gone"))

    def _enforce_deadlines(self, now_us):
        for request in self.requests.rows():
            if request.deadline_us is None or now_us < request.deadline_us:
                continue
            if request.has_begun:
                self.attempts.note_unanswered(request)
                self.end_with_error(
                    request,
                    ServiceError("deadline", retry_us=self.admission.wait_us(request.group)),
                )
                continue
            cause = self._unserved_cause(request)
            if request.state == states.QUEUED and cause != "credit":
                self.invariants.check_hold(request)
            self.unserved[cause] = self.unserved.get(cause, 0) + 1
            retry_us = max(1_000_000, self.admission.wait_us(request.group))
            self.end_with_error(
                request, ServiceError("deadline_unserved", retry_us=retry_us, cause=cause)
            )

    def _unserved_cause(self, request):
        if not self.may_start():
            return "closed"
        if request.state == states.CLAIMING:
            return "claim"
        if request.state == states.AWAITING_QUOTA:
            return "quota"
        if self.admission.lacks_credit(request.group):
            return "credit"
        return "no_runner" if not self.roster.open_runners() else "no_room"

    def _fail_waiting_while_closed(self, now_us):
        """End waiting requests after `CLOSED_HOLD_US`, so that clients can try another router."""
        if self.is_open or now_us - self.closed_since_us < CLOSED_HOLD_US:
            return
        for request in self.requests.rows():
            if request.state == states.QUEUED:
                self.end_with_error(request, self.closed_error())
            elif request.parked:
                self.end_with_error(
                    request, self.closed_error("unknown" if request.has_begun else None)
                )

    def _serve_queue(self, now_us):
        self.wake_queue()

    def _note_disturbance(self, now_us):
        """Note that this process was paused or closed.

        Time before it doesn't count against the bound on how long requests are held.
        """
        self.undisturbed_since_us = now_us

    def _update_open_state(self, now_us):
        is_open = self.may_start()
        if is_open == self.is_open:
            return
        self._note_disturbance(now_us)
        self.is_open = is_open
        self.closed_since_us = now_us
        if is_open:
            return self.ports.log(2003, mark=self.snapshot.version)
        why = "roster" if self.watcher.is_fresh() else "plan"
        self.ports.log(
            2002, why=why, mark=self.snapshot.version, highest=self.snapshot.highest_version
        )

    def _update_token_rates(self, now_us):
        elapsed_us = now_us - self.rated_us
        if elapsed_us < RATE_INTERVAL_US:
            return
        for index, amount in enumerate((self.arrived_tokens, self.produced_tokens)):
            self.token_rates[index] += 0.4 * (
                amount * 1_000_000 / elapsed_us - self.token_rates[index]
            )
        self.arrived_tokens = self.produced_tokens = 0
        self.rated_us = now_us

    def drain(self, on_drained):
        """Stop in order: linger, refuse new requests, let running ones end, then leave the fleet.

        `on_drained` is called when no request is left, at the latest after `Bounds.drain_us`.
        """
        if self.is_draining:
            return
        self.is_draining = True
        self.on_drained = on_drained
        self.drain_us = self.now_us()
        self.ports.log(1002, running=len(self.requests))
        if not self.bounds.linger_us:
            self._refuse_unsent()
            self.membership.send_leave()

    def _refuse_unsent(self):
        for request in self.requests.rows():
            if not request.has_begun and request.runner_call is None:
                self.end_with_error(
                    request, ServiceError("draining", retry_us=self.drain_retry_us())
                )

    def _continue_drain(self, now_us):
        if not self.is_draining or self.on_drained is None:
            return
        if self.is_lingering():
            return
        if now_us - self.drain_us >= self.bounds.drain_us:
            for request in self.requests.rows():
                self.end_with_error(request, ServiceError("cut_by_drain"))
        if not self.requests:
            self.membership.send_leave()
            drained, self.on_drained = self.on_drained, None
            drained()

    def serve_standing(self, call):
        """Answer with the state of this router, for operators and tests."""
        now_us = self.now_us()
        quotas = self.tenant_quotas
        call.answer_json(
            200,
            {
                **({"quotas": quotas.counts.as_record()} if quotas.tenants else {}),
                "name": self.name,
                "kind": "router",
                "zone": self.membership.me.zone,
                "mark": self.snapshot.version,
                "is_fresh": self.watcher.is_fresh(),
                "is_draining": self.is_draining,
                "roster_age_us": now_us - self.roster.taken_us
                if self.roster.taken_us is not None
                else None,
                "runners": [runner.as_record(now_us) for runner in self.roster.runners.values()],
                "fellows": self.membership.peer_rows(),
                "groups": {
                    account.name: {
                        "queued": len(account.queue),
                        "queued_tokens": account.queued_tokens,
                        "credit": int(account.bucket.refill(now_us)),
                        "rate": account.bucket.rate,
                    }
                    for account in self.admission.accounts.values()
                },
                "extra": {
                    "left": self.retry_budget.default_bucket.level,
                    "spent": self.retry_budget.spent,
                    "refused": self.retry_budget.refused,
                },
                "moves": self.stream_migrator.moves,
                "exceptions": self.placement.exceptions,
                "violations": dict(self.invariants.violations),
                "counts": self.counts,
                "unserved": self.unserved,
                "keys": len(self.idempotency_keys.claimed),
                "running": len(self.requests),
            },
        )
