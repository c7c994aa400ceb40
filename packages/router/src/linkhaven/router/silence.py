"""Runners that owe bytes and send none: when they are avoided, and when an attempt is given up."""

from . import request as states

QUIET_US = 4_000_000
DARK_QUIET_US = 1_000_000
SILENT_US = 600_000
LOOK_US = 50_000


class SilenceWatch:
    """Judges silences by what is owed; it ends nothing itself."""

    __slots__ = ("attempts", "looked_us")

    def __init__(self, attempts):
        self.attempts = attempts
        self.looked_us = 0

    def look(self, now_us):
        """Notes runners that owe bytes for longer than what waits there should take."""
        if now_us - self.looked_us < LOOK_US:
            return
        self.looked_us = now_us
        for runner, sent_us in self._list_owing(now_us).items():
            quiet_us = now_us - max(sent_us, runner.alive_us or 0)
            if quiet_us > SILENT_US and quiet_us > SILENT_US + self._queued_us(runner):
                self.attempts.roster.note_silent(runner)

    def why_given_up(self, request, now_us):
        """Why the request's attempt is over, None while it is waited for; the roster hears of it."""
        if self._is_lost(request, now_us):
            return "its runner is dark"
        if request.state == states.DECODING and self._is_quiet(request, now_us):
            self.attempts.roster.note_unresponsive(request.runner)
            return "no progress"
        is_reading = request.state == states.READING and not request.parked
        if is_reading and self._is_read_quiet(request, now_us):
            self.attempts.roster.note_unresponsive(request.runner)
            return "no answer to the read"
        return None

    def _list_owing(self, now_us):
        """Since when each runner owes bytes."""
        owing = {}
        for request in self.attempts.node.requests.rows():
            if is_waiting(request):
                sent_us = owing.get(request.runner, now_us)
                owing[request.runner] = min(sent_us, request.progress_us)
        return owing

    def _queued_us(self, runner):
        return self.attempts.placement.load.prefill_wait_us(runner)

    def _is_lost(self, request, now_us):
        """Its runner is dark and sent nothing for a moment, and it can go on elsewhere."""
        runner = request.runner
        if runner is None or not runner.is_unresponsive or not is_waiting(request):
            return False
        if now_us - max(request.progress_us, runner.alive_us or 0) < DARK_QUIET_US:
            return False
        return self.attempts.may_go_on_elsewhere(request)

    def _is_quiet(self, request, now_us):
        if request.is_held:
            return False
        patience_us = QUIET_US
        if request.first_us is None or request.attempts > 1:
            estimator = self.attempts.placement.estimator
            patience_us += 2 * estimator.prefill_us(request.prompt_tokens, request.runner)
        is_late = now_us - request.progress_us > patience_us
        return is_late and is_suspect(request.runner, now_us)

    def _is_read_quiet(self, request, now_us):
        patience_us = QUIET_US + 2 * self._queued_us(request.runner)
        is_late = now_us - request.progress_us > patience_us
        return is_late and is_suspect(request.runner, now_us)


def is_waiting(request):
    """Whether bytes of its runner are due."""
    is_sent = request.state in (states.READING, states.DECODING)
    return is_sent and not request.parked and not request.is_held


def is_suspect(runner, now_us):
    """Whether nothing but this request's own silence is needed to doubt the runner."""
    is_reporting = runner.reported_us is not None and now_us - runner.reported_us < QUIET_US
    return runner.is_unresponsive or not is_reporting
