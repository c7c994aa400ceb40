"""Attempts of requests at runners: placement, prefill, hand-over, decode, retries and moves."""

from linkhaven.api import ServiceError
from linkhaven.pairing import NO_BOUND_US, Decision, PrefillWork
from linkhaven.runner.roster import PREFILL

from . import request as states
from .relay import Relay
from .silence import StallDetector

HAND_OVER_ERRORS = {"handle_lapsed", "handle_foreign", "hand_over_failed"}
RUNNER_GONE_ERRORS = {"runner_leaving", "incarnation_other"}
RUNNER_FULL_ERRORS = {"runner_full", "connections_taken"}
DEFAULT_SWITCH_US = 1_000_000
"""Retry time where no runner is open and the pool configures no `role_switch_us`."""
BEYOND_TARGET = "prompt_beyond_target"
NO_OPEN_RUNNER = "no_open_runner"
NO_RUNNER_FAULT = RUNNER_GONE_ERRORS | RUNNER_FULL_ERRORS
"""Errors that don't count as failures of the runner."""

REJECTIONS = HAND_OVER_ERRORS | {"runner_full", "runner_leaving", "phase_wrong"}
"""Errors with which a runner answered, which shows that it is alive."""


class Attempts:
    """Starts, fails, retries and moves the attempts of all requests of one router.

    Owns no request; it changes the fields of `Request` that describe the current attempt.
    """

    __slots__ = ("node", "placement", "runner_client", "roster", "retry_budget", "stall_detector")

    def __init__(self, node, placement, runner_client, roster, retry_budget):
        self.node = node
        self.placement = placement
        self.runner_client = runner_client
        self.roster = roster
        self.retry_budget = retry_budget
        self.stall_detector = StallDetector(self)
        node.tick_handlers.append(self.tick)

    def begin(self, request):
        """Start the first attempt of a queued request; return whether it was placed.

        An exception ends only that request: with an unknown outcome where it may have been sent.
        """
        try:
            return self._begin(request)
        except Exception as fault:
            self.node.ports.log(1005, request=request.id, fault=repr(fault))
            is_queued = request.state == states.QUEUED
            may_be_sent = request.has_begun or request.attempts > 0
            error = (
                ServiceError("runner_lost", why="a fault at its start")
                if may_be_sent
                else ServiceError("no_runner", retry_us=self.node.bounds.retry_least_us)
            )
            self.node.end_with_error(request, error)
            return not is_queued

    def _begin(self, request):
        if not self.node.may_start():
            return False
        if request.resume or not request.prompt_tokens:
            return self._begin_decode(request)
        now_us = self.node.now_us()
        ttft_us = request.kind.ttft_us - self._target_time_used_us(request, now_us)
        work = self.work_of(request)
        decision = self.placement.choose(
            work,
            ttft_us,
            room_us=self.node.queue_limits_us.get(request.group, NO_BOUND_US),
            is_overdue=now_us - request.queued_us > request.kind.ttft_us,
        )
        if decision.winner is not None:
            self._place(request, decision)
            return True
        why = self._late_reason(request, decision, now_us)
        if why is None:
            return False
        if not decision.candidates:
            return self._refuse(request, decision, why, self._role_switch_us(request))
        return self._begin_late(request, work, ttft_us, why, now_us)

    def _begin_late(self, request, work, ttft_us, why, now_us):
        """Place a request that no runner can answer in time, or end it if it has no prospect.

        Such a request waits for room like all others, as long as requests may be held here. Placed
        at once regardless of the queue at the runner, the longest prompts would fill the queues
        and keep out requests that could still be answered in time.
        """
        is_bounded = not self._exceeds_half_deadline(request, now_us)
        queue_limit_us = (
            self.node.queue_limits_us.get(request.group, NO_BOUND_US) if is_bounded else NO_BOUND_US
        )
        decision = self.placement.choose_best_effort(work, ttft_us, why, room_us=queue_limit_us)
        if decision.winner is None:
            must_be_refused = decision.candidates and self._exceeds_hold_time(request, now_us)
            if not must_be_refused:
                return False
            return self._refuse(request, decision, why, self._retry_after_us(decision, ttft_us))
        if not self._misses_deadline(request, decision, now_us):
            self.node.invariants.check_placement(request, decision, queue_limit_us)
            self._place(request, decision)
            return True
        return self._refuse(request, decision, why, self._retry_after_us(decision, ttft_us))

    def _role_switch_us(self, request):
        """How long a runner takes to switch roles: before that, no other runner opens."""
        configuration = self.node.snapshot.configuration
        pool = configuration.pools.get(request.pool) if configuration is not None else None
        return pool.role_switch_us or DEFAULT_SWITCH_US if pool is not None else DEFAULT_SWITCH_US

    def _refuse(self, request, decision, why, retry_us):
        """End the request at once with `no_runner` and a retry time; return False: not placed."""
        request.decisions.append(decision)
        self.node.invariants.check_refusal(request, decision)
        error = ServiceError(
            "no_runner",
            retry_us=retry_us,
            why=why,
            soonest_us=min((each.total_us for each in decision.candidates), default=None),
            has_memory=any(candidate.has_memory for candidate in decision.candidates),
        )
        self.node.end_with_error(request, error)
        return False

    def work_of(self, request):
        """Return what placement needs to know of the request."""
        typical = self.node.typical_tokens.get(request.kind_name, 0)
        is_long = self.is_long(request)
        return PrefillWork(request.prompt_tokens, request.parts, request.pool, typical, is_long)

    def is_long(self, request):
        """Whether the answer is expected to take longer than the longest permitted gap."""
        if request.pool is None:
            return True
        gap_us = request.kind.max_gap_us or request.kind.tpot_us
        return self.placement.estimator.answer_us(request.answer_tokens) > gap_us

    def _target_time_used_us(self, request, now_us):
        """How much of the TTFT target is used up: counted from arrival if `hold_share` is set."""
        return now_us - request.arrived_us if self.node.bounds.hold_share is not None else 0

    def _retry_after_us(self, decision, ttft_us):
        """When the soonest candidate should meet the target again; `retry_least_us` at least."""
        return max(
            self.node.bounds.retry_least_us,
            min(candidate.total_us for candidate in decision.candidates) - ttft_us,
        )

    def _misses_deadline(self, request, decision, now_us):
        """Whether the deadline will pass before the whole answer comes.

        With `hold_share` set, only the start of the answer has to come before the deadline.
        """
        soonest_us = now_us + decision.winner.total_us
        if self.node.bounds.hold_share is None:
            soonest_us += self.placement.estimator.answer_us(request.answer_tokens)
        return soonest_us > request.deadline_us

    def _late_reason(self, request, decision, now_us):
        """Why a request that no runner can answer in time is dealt with now; None: keep it queued.

        The reason is recorded as the exception under which it is placed or refused.
        """
        has_waited = self._exceeds_hold_time(request, now_us)
        if not decision.candidates:
            return NO_OPEN_RUNNER if has_waited else None
        ttft_us = request.kind.ttft_us
        if (
            min(candidate.execution_us + candidate.transfer_us for candidate in decision.candidates)
            >= ttft_us
        ):
            return BEYOND_TARGET
        if self.node.bounds.hold_share is not None:
            return "held_its_share" if has_waited else None
        return "waited_half_the_deadline" if self._exceeds_half_deadline(request, now_us) else None

    def _exceeds_hold_time(self, request, now_us):
        """Whether it was held for the share of its TTFT target that `hold_share` permits."""
        hold_share = self.node.bounds.hold_share
        if hold_share is None:
            return False
        return now_us - request.arrived_us >= request.kind.ttft_us * hold_share

    def _exceeds_half_deadline(self, request, now_us):
        """Whether half of the deadline passed in the queue; always False with `hold_share` set."""
        if self.node.bounds.hold_share is not None:
            return False
        return now_us - request.arrived_us >= request.kind.deadline_us // 2

    def _place(self, request, decision):
        request.decisions.append(decision)
        self._start(request, decision.winner.runner)

    def _begin_decode(self, request):
        """Start a request at a decode runner that resumes a stream or has no prompt to prefill."""
        runner = self.placement.choose_decode(without=request.failed, pool=request.pool)
        if runner is not None:
            self._start(request, runner)
            return True
        if not self._exceeds_hold_time(request, self.node.now_us()):
            return False
        return self._refuse(
            request, Decision([], None), NO_OPEN_RUNNER, self._role_switch_us(request)
        )

    def _start(self, request, runner):
        now_us = self.node.now_us()
        request.attempts += 1
        request.sends += 1
        request.attempt = f"{request.id}/{request.attempts}"
        request.runner = runner
        request.progress_us = now_us
        request.had_begun_before = request.has_begun
        request.has_begun = request.has_begun or self.runner_client.prefill_counts_as_begun
        request.handle = None
        if request.prompt_tokens:
            self.placement.begin_prefill(runner, request.attempt, self.work_of(request))
        request.add_step(
            now_us, "attempt", runner=runner.name, phase=runner.phase, number=request.attempts
        )
        if runner.phase == PREFILL and not request.run:
            return self._prefill(request, runner)
        self._decode(request, runner, None)

    def _prefill(self, request, runner):
        request.state = states.READING
        request.prefill_attempts += 1
        attempt = request.attempt

        def done(error, handle, has_begun):
            if request.attempt != attempt or request.state != states.READING:
                if handle is not None:
                    self.runner_client.free(runner, handle)
                return
            self.placement.end_prefill(runner, attempt, is_seen=error is None)
            request.runner_call = None
            if error is not None:
                return self.fail(request, runner, error, has_begun)
            request.handle = (handle, runner)
            self.roster.note_alive(runner)
            self._hand_over(request)

        request.runner_call = self.runner_client.prefill(runner, request, done)

    def _hand_over(self, request):
        self.node.wake_queue()
        if request.state != states.READING:
            return
        if not self.node.may_start():
            return self._park(request, self._hand_over)
        request.parked = None
        source, tokens = request.handle[1], request.prompt_tokens
        runner = self.placement.choose_decode(
            request.failed, source, tokens, request.pool
        ) or self.placement.choose_decode((), source, tokens, request.pool)
        if runner is None:
            return self.fail(
                request, request.runner, ServiceError("no_runner", done="unknown"), True
            )
        request.add_step(self.node.now_us(), "hand-over", runner=runner.name)
        request.runner = runner
        self._decode(request, runner, request.handle)

    def _park(self, request, go_on):
        request.parked = go_on
        request.add_step(self.node.now_us(), "parked until the plan is confirmed")

    def _decode(self, request, runner, handle):
        request.state = states.DECODING
        now_us = self.node.now_us()
        request.progress_us = now_us
        request.has_begun = True
        self.placement.begin_decode(runner, request.attempt, request.prompt_tokens)
        request.runner_call = self.runner_client.decode(
            runner, request, handle, Relay(self, request, runner)
        )

    def leave_runner(self, request):
        """Cancel the current attempt: release its load, its call and its KV cache handle."""
        if request.runner is not None and request.attempt is not None:
            for runner in [request.runner, *([request.handle[1]] if request.handle else [])]:
                self.placement.end_prefill(runner, request.attempt)
                self.placement.end_decode(runner, request.attempt)
        if request.runner_call is not None:
            request.runner_call.abandon()
            request.runner_call = None
        if request.handle is not None:
            self.runner_client.free(request.handle[1], request.handle[0])
        request.handle = None

    def fail(self, request, runner, error, has_begun):
        """Handle an attempt that ended without an answer: retry the request, or end it.

        `has_begun`: whether bytes of it may have reached the runner. A request that isn't
        idempotent and may have begun is never sent again.
        Test: `allow_repeating_every_request` in the model test.
        """
        if error.code in HAND_OVER_ERRORS and request.handle:
            self.placement.backoff.eject(request.handle[1])
        self.leave_runner(request)
        self._note_failed(request, runner, error, has_begun)
        self._update_runner_state(runner, error, has_begun)
        if not has_begun or error.done == "no":
            self._restore_has_begun(request)
        if not self.is_safe_to_retry(request):
            return self.node.end_with_error(request, self._with_unknown_outcome(error))
        if error.code == "run_unknown":
            return self.node.end_with_error(request, self._run_unknown_error(request, error))
        if not request.written:
            request.run = None
        request.state = states.PARKED
        self._retry(request, error)

    def _note_failed(self, request, runner, error, has_begun):
        now_us, code = self.node.now_us(), error.code
        request.add_step(now_us, "failed", runner=runner.name, code=code, number=request.attempts)
        request.failed.append(runner.name)
        self.node.ports.log(
            2106, request=request.id, runner=runner.name, code=code, has_begun=has_begun
        )

    def _update_runner_state(self, runner, error, has_begun):
        """Update what is known of the runner by this failure, for later placements."""
        code = error.code
        if runner.is_plain() and code not in NO_RUNNER_FAULT:
            self.placement.plain.note_failed(runner)
        if not has_begun:
            self.roster.note_unresponsive(runner)
        elif code in REJECTIONS:
            self.roster.note_alive(runner)
        if code in RUNNER_GONE_ERRORS:
            self.roster.note_leaving(runner)
        if code == "phase_wrong" and not self.runner_client.prefill_counts_as_begun:
            runner.is_switching = True
        if code in RUNNER_FULL_ERRORS:
            self.placement.backoff.note_turned_away(runner)
        if code == "mark_old":
            self.node.snapshot.observe_version(error.detail.get("mark", 0))

    def note_unanswered(self, request):
        """Note that the deadline passed while the request waited for its runner's answer."""
        if request.state == states.DECODING and request.runner.is_plain():
            self.placement.plain.note_failed(request.runner)

    def _restore_has_begun(self, request):
        """Reset `has_begun` to its value before this attempt, which did not run."""
        had_hand_over = any(step["step"] == "hand-over" for step in request.steps)
        if not request.written and not (
            had_hand_over and self.runner_client.prefill_counts_as_begun
        ):
            request.has_begun = request.had_begun_before

    def _with_unknown_outcome(self, error):
        return (
            error
            if error.done == "unknown"
            else ServiceError(error.code, done="unknown", **error.detail)
        )

    def _run_unknown_error(self, request, error):
        is_callers = request.resume and request.resume[1] == request.written
        return ServiceError("run_unknown", done="no" if is_callers else "unknown")

    def _retry(self, request, error):
        if not self.node.may_start():
            return self._park(request, lambda request: self._retry(request, error))
        request.parked = None
        if request.run or not request.prompt_tokens:
            return self._retry_decode(request, error)
        self._retry_prefill(request, error)

    def _retry_decode(self, request, error):
        runner = self.placement.choose_decode(
            without=request.failed, pool=request.pool
        ) or self.placement.choose_decode(pool=request.pool)
        if runner is None or not self._has_time_for(
            request, self.placement.load.prefill_wait_us(runner)
        ):
            return self.node.end_with_error(request, self._no_retry_error(request, error))
        if not self._may_try_again(request, 1):
            return self.node.end_with_error(request, self._no_retry_error(request, error))
        self._log_retry(request, error)
        self._start(request, runner)

    def _retry_prefill(self, request, error):
        work, ttft_us = self.work_of(request), request.kind.ttft_us
        decision = self.placement.choose_best_effort(work, ttft_us, "retry", request.failed)
        if decision.winner is None:
            decision = self.placement.choose_best_effort(work, ttft_us, "retry")
        winner = decision.winner
        if winner is None or not self._has_time_for(request, winner.total_us):
            return self.node.end_with_error(request, self._no_retry_error(request, error))
        is_second_prefill = (
            decision.winner.runner.phase == PREFILL
            and request.prefill_attempts > 0
            and not self.runner_client.prefill_counts_as_begun
        )
        if not self._may_try_again(request, 2 if is_second_prefill else 1):
            return self.node.end_with_error(request, self._no_retry_error(request, error))
        self._log_retry(request, error)
        self._place(request, decision)

    def _has_time_for(self, request, wait_us):
        """Whether an answer after `wait_us` would still come before the deadline."""
        return self.node.now_us() + wait_us < request.deadline_us

    def _log_retry(self, request, error):
        self.node.ports.log(2104, request=request.id, why=error.code, shot=request.attempts + 1)

    def retry_after_failure(self, request, runner, status):
        """Fail the attempt after a server error if another runner could take over; return whether.

        `status`: the HTTP status with which the runner answered.
        """
        others = [
            other for other in self.placement.open_runners(request.pool) if other is not runner
        ]
        if (
            not others
            or not self.retry_budget.covers(1, request.pool)
            or not self._has_attempts_left(request, 1)
        ):
            return False
        self.fail(request, runner, ServiceError("runner_lost", why=f"status {status}"), True)
        return True

    def _has_attempts_left(self, request, cost):
        most = request.kind.max_attempts
        return not most or request.sends + cost <= most

    def _may_try_again(self, request, cost):
        if not self._has_attempts_left(request, cost) or not self.retry_budget.spend(
            "retry", cost=cost, pool=request.pool
        ):
            return False
        request.sends += cost - 1
        return True

    def _no_retry_error(self, request, error):
        if not request.has_begun:
            return ServiceError("no_runner", retry_us=self.node.bounds.retry_least_us)
        return ServiceError("extra_spent", retry_us=1_000_000, after=error.code)

    def move(self, request, target, why):
        """Move a running stream to another runner, paid from the retry budget; return whether.

        `why`: "shed" where its runner gives up load, which is kept for a later move back.
        """
        if not self.node.may_start() or not self.retry_budget.spend(
            "move", self.retry_budget.reserve_for_retries(), pool=request.pool
        ):
            return False
        now_us = self.node.now_us()
        origin = request.runner
        self.leave_runner(request)
        request.moved_from = origin.name if why == "shed" else None
        request.pace_tokens = 0
        request.pace_from_us = now_us
        self.node.ports.log(
            2105, request=request.id, why=why, source=origin.name, target=target.name
        )
        request.add_step(now_us, "moved", why=why, runner=target.name)
        self._start(request, target)
        return True

    def tick(self, now_us):
        """Resume parked requests where work may start, and fail attempts that make no progress."""
        self.stall_detector.check_runners(now_us)
        for request in self.node.requests.rows():
            if request.parked and self.node.may_start():
                request.parked(request)
                continue
            why = self.stall_detector.abandon_reason(request, now_us)
            if why is not None:
                self.fail(request, request.runner, ServiceError("runner_lost", why=why), True)

    def may_fail_over(self, request):
        """Whether another attempt is safe, within the retry budget, and has a runner to go to."""
        if not self.is_safe_to_retry(request):
            return False
        cost = 2 if self.needs_second_prefill(request) else 1
        if (
            not self.node.may_start()
            or not self.retry_budget.covers(cost, request.pool)
            or not self._has_attempts_left(request, cost)
        ):
            return False
        runner = request.runner
        others = [
            other for other in self.placement.open_runners(request.pool) if other is not runner
        ]
        return any(other.phase != PREFILL for other in others)

    def is_safe_to_retry(self, request):
        """Whether a retry can neither execute a non-idempotent request twice nor break a stream."""
        if request.written and not request.is_resumable:
            return False
        return not (request.is_one_time and request.has_begun)

    def needs_second_prefill(self, request):
        """Whether a retry has to prefill the prompt again, which counts as a further send."""
        return bool(
            request.prompt_tokens
            and not request.written
            and request.prefill_attempts > 0
            and not self.runner_client.prefill_counts_as_begun
        )
