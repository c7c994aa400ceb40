"""Detects runners and attempts that make no progress: when to avoid or to abandon them."""

from . import request as states

NO_PROGRESS_US = 4_000_000
"""An attempt without progress for longer than this and its expected time counts as stalled."""

UNRESPONSIVE_NO_PROGRESS_US = 1_000_000
"""The same for a runner that is already considered unresponsive."""

SILENCE_US = 600_000
"""A runner that sends nothing for longer than this and its expected queue time is silent."""

CHECK_INTERVAL_US = 50_000


class StallDetector:
    """Compares how long requests wait for bytes with what is expected; ends nothing itself."""

    __slots__ = ("attempts", "checked_us")

    def __init__(self, attempts):
        self.attempts = attempts
        self.checked_us = 0

    def check_runners(self, now_us):
        """Report runners to the roster that are silent for longer than their queue explains."""
        if now_us - self.checked_us < CHECK_INTERVAL_US:
            return
        self.checked_us = now_us
        for runner, sent_us in self._waiting_since_us(now_us).items():
            silent_us = now_us - max(sent_us, runner.alive_us or 0)
            if silent_us > SILENCE_US and silent_us > SILENCE_US + self._queued_us(runner):
                self.attempts.roster.note_silent(runner)

    def abandon_reason(self, request, now_us):
        """Return why the current attempt has to be abandoned, or None.

        Reports the runner of a stalled attempt to the roster as unresponsive.
        """
        if self._should_fail_over(request, now_us):
            return "its runner is dark"
        if request.state == states.DECODING and self._is_decode_stalled(request, now_us):
            self.attempts.roster.note_unresponsive(request.runner)
            return "no progress"
        is_reading = request.state == states.READING and not request.parked
        if is_reading and self._is_prefill_stalled(request, now_us):
            self.attempts.roster.note_unresponsive(request.runner)
            return "no answer to the read"
        return None

    def _waiting_since_us(self, now_us):
        """Return since when the oldest request at each runner waits for bytes."""
        owing = {}
        for request in self.attempts.node.requests.rows():
            if is_runner_due(request):
                sent_us = owing.get(request.runner, now_us)
                owing[request.runner] = min(sent_us, request.progress_us)
        return owing

    def _queued_us(self, runner):
        return self.attempts.placement.load.prefill_wait_us(runner)

    def _should_fail_over(self, request, now_us):
        """Whether its runner is unresponsive and silent, and another runner can take over."""
        runner = request.runner
        if runner is None or not runner.is_unresponsive or not is_runner_due(request):
            return False
        if now_us - max(request.progress_us, runner.alive_us or 0) < UNRESPONSIVE_NO_PROGRESS_US:
            return False
        return self.attempts.may_fail_over(request)

    def _is_decode_stalled(self, request, now_us):
        if request.is_held:
            return False
        timeout_us = NO_PROGRESS_US
        if request.first_us is None or request.attempts > 1:
            estimator = self.attempts.placement.estimator
            timeout_us += 2 * estimator.prefill_us(request.prompt_tokens, request.runner)
        is_late = now_us - request.progress_us > timeout_us
        return is_late and is_runner_suspect(request.runner, now_us)

    def _is_prefill_stalled(self, request, now_us):
        timeout_us = NO_PROGRESS_US + 2 * self._queued_us(request.runner)
        is_late = now_us - request.progress_us > timeout_us
        return is_late and is_runner_suspect(request.runner, now_us)


def is_runner_due(request):
    """Whether the request waits for bytes of its runner."""
    is_sent = request.state in (states.READING, states.DECODING)
    return is_sent and not request.parked and not request.is_held


def is_runner_suspect(runner, now_us):
    """Whether a stalled request is enough to treat the runner as unresponsive.

    That is so where it already counts as such, or hasn't reported within `NO_PROGRESS_US`.
    """
    is_reporting = runner.reported_us is not None and now_us - runner.reported_us < NO_PROGRESS_US
    return runner.is_unresponsive or not is_reporting
