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
CLOSED_HOLD_US = 1_000_000
MAX_CLOSED_RETRY_US = 30_000_000
IDLE_TICK_US = 50_000
TYPICAL_TOKENS_GAIN = 0.1
"""How much each new prompt counts in what is typical of its kind."""


def queue_limits_by_group(configuration: Configuration) -> dict[str, int]:
    """How long a queue at a runner each group may join, so that tight targets can still be met.

    That is the tightest target of the other groups, or of its own kinds where there is no other.
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
        "rebalancer",
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
        self.rebalancer = StreamMigrator(
            self, self.placement, self.roster, self.requests.rows, self.attempts.move
        )
        self.chain = Filters(self).build_chain(self.end_with_error)
        self.explainer = Explainer(self, self.membership, self.requests)
        self.readmission = Readmission(self)
        self.refusals = RefusalReport(self, self.roster, self.placement)
        self.invariants = PlacementInvariants(self, self.placement)
        self.undisturbed_since_us = self.now_us()
        self.on_late.append(self._note_disturbance)
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
        self.snapshot.on_new.append(self._apply_configuration)
        self.roster.on_new.append(self.wake_queue)
        self.map_handlers["want_image"] = self._on_configuration_request
        self.systems += [
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
        """Let a request go on that was held for a token.

        Its key may have been taken away meanwhile, and its kind may be gone or another one.
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
        """This router's even part of what all runners read, until its own queue has shown its pace."""
        return self.placement.prefill_rate() // (1 + len(self.membership.live_members("router")))

    def _failed_routers(self):
        """Name and address of each other router that is held for failed."""
        return [
            (member.name, member.address)
            for member in self.membership.peers.values()
            if member.kind == "router" and not member.is_up and not member.has_left
        ]

    def _count_routers(self):
        return 1 + len(self.membership.live_members("router"))

    def is_short_of_shares(self):
        """Whether this router waits for a larger share than it has."""
        return self.retry_budget.was_refused_recently() or self.admission.is_waiting()

    def add_watch_facts(self, facts, seat):
        """What a seat is told: its duties' holders hear what only these need."""
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
        return self.watcher.is_fresh() and self.roster.is_fresh()

    def check_fresh(self):
        if (
            self.snapshot.configuration is None
            and not self.snapshot.is_behind
            and self.watcher.has_confirmation()
        ):
            raise ServiceError("plan_absent", retry_us=2_000_000)
        if not self.may_start():
            raise self.closed_error()

    def closed_error(self, done=None):
        """A router that takes no work is expected to be closed for as long again as it has been."""
        retry_us = min(MAX_CLOSED_RETRY_US, max(1_000_000, self.now_us() - self.closed_since_us))
        if not self.watcher.is_fresh():
            return ServiceError(
                "plan_stale", done=done, retry_us=retry_us, mark=self.snapshot.version
            )
        return ServiceError("roster_stale", done=done, retry_us=retry_us)

    def choose_pool(self, kind: RequestKind) -> str | None:
        """Where a kind is split over pools, each has its weight's part of the requests."""
        pools = kind.pools
        if len(pools) < 2:
            return pools[0].pool if pools else None
        drawn = self.ports.random.randrange(sum(part.weight for part in pools))
        for part in pools:
            drawn -= part.weight
            if drawn < 0:
                return part.pool

    def connections_at_most(self, runner):
        """This router's even part of the connections that all routers together may have to a runner."""
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
        """Stopping, but those who send callers here may not know yet."""
        return self.now_us() - self.drain_us < self.bounds.linger_us

    def drain_retry_us(self):
        return self.bounds.retry_least_us

    def serve_request(self, call):
        self.serial += 1
        now_us = self.now_us()
        request = Request(f"{self.name}-{self.incarnation}-{self.serial}", call, now_us)
        self.counts["asked"] += 1
        self.requests[request.id] = request
        call.on_client_disconnect = lambda: self._on_client_disconnect(request)
        call.on_writable = lambda: self._resume_reading(request)
        self.chain.run(request)

    def enqueue(self, request):
        self.admission.enqueue(request.group, request)
        request.state = states.QUEUED
        unread = self.placement.least_uncached_tokens(request)
        self.arrived_tokens += unread
        typical = self.typical_tokens.get(request.kind_name, unread)
        self.typical_tokens[request.kind_name] = typical + TYPICAL_TOKENS_GAIN * (unread - typical)
        request.add_step(self.now_us(), "queued")
        self.wake_queue()

    def rest_us(self):
        """Requests that wait are looked at with each short tick; all else is moved by what comes in.

        In a small fleet all requests are, also those that run."""
        if not self.is_open or self.admission.is_waiting() or self.is_draining:
            return 0
        if self.requests and not self.placement.is_large():
            return 0
        return IDLE_TICK_US

    def wake_queue(self):
        self.admission.serve(self.attempts.begin)

    def relay_piece(self, request, piece, tokens, now_us):
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
            request.runner_call.http_call.hold()

    def _resume_reading(self, request):
        if not request.is_held:
            return
        request.is_held = False
        request.progress_us = self.now_us()
        if request.runner_call is not None:
            request.runner_call.http_call.release()

    def end_done(self, request):
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
        """The runner's own answer, whole and unchanged."""
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
        if request.state == states.ENDED:
            return
        self.attempts.leave_runner(request)
        is_refused = error.done == "no"
        self.counts["refused" if is_refused else "troubled"] += 1
        told = {
            **error.detail,
            **request.tenant_facts(),
            "request": request.id,
            "kind": request.kind_name,
            "code": error.code,
        }
        if is_refused:
            self.refusals.note(error)
            self.ports.log(2103, **told)
        else:
            self.ports.log(2102, **{**request.timing_facts(self.now_us()), **told})
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
        self.explainer.store(request)
        self.requests.drop(request.id)
        request.add_step(self.now_us(), outcome)
        for hear in self.on_end:
            hear(request, self.now_us())
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
        """Cut off for longer than a moment: what waits here is better told to go elsewhere."""
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
        """This process slept, or was closed: what was held meanwhile was not held by choice."""
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
        passed_us = now_us - self.rated_us
        if passed_us < RATE_INTERVAL_US:
            return
        for place, amount in enumerate((self.arrived_tokens, self.produced_tokens)):
            self.token_rates[place] += 0.4 * (
                amount * 1_000_000 / passed_us - self.token_rates[place]
            )
        self.arrived_tokens = self.produced_tokens = 0
        self.rated_us = now_us

    def drain(self, on_drained):
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
                "moves": self.rebalancer.moves,
                "exceptions": self.placement.exceptions,
                "violations": dict(self.invariants.violations),
                "counts": self.counts,
                "unserved": self.unserved,
                "keys": len(self.idempotency_keys.won),
                "running": len(self.requests),
            },
        )
