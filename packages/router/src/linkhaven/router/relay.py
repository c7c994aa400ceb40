"""Relays a runner's answer to the client while the attempt that asked for it is current."""

from linkhaven.api import ServiceError
from linkhaven.runner.roster import DECODE

from . import request as states

SERVER_ERROR_STATUS = 500
"""The lowest HTTP status that counts as a failure of the runner."""


class Relay:
    """Handles the answer of one attempt; events that come after the attempt ended are dropped.

    Each piece must continue the stream by its run and number. Otherwise the request ends with
    `stream_broken`: gaps and repeats are never repaired here.
    """

    __slots__ = ("attempts", "request", "runner", "attempt", "is_after_hand_over")

    def __init__(self, attempts, request, runner):
        self.attempts = attempts
        self.request = request
        self.runner = runner
        self.attempt = request.attempt
        self.is_after_hand_over = request.handle is not None

    def is_over(self):
        """Whether the request ended or has another attempt by now."""
        return self.request.attempt != self.attempt or self.request.state != states.DECODING

    def on_begin(self, run, after, head=None):
        """A stream begins: pieces of `run` follow the piece with number `after`.

        `head`: status and headers for the client, kept until the first piece is written.
        """
        if self.is_over():
            return
        self.attempts.roster.note_alive(self.runner)
        request, now_us, placement = (
            self.request,
            self.attempts.node.now_us(),
            self.attempts.placement,
        )
        if request.handle:
            placement.note_decode_start(
                request.handle[1], self.runner, request.prompt_tokens, now_us - request.progress_us
            )
            placement.backoff.note_transfer_done(request.handle[1])
            request.handle = None
        request.progress_us = now_us
        if request.run is None:
            request.run = run
        if not request.call.is_begun:
            request.head = head
        is_same_run = request.run == run or self.attempts.runner_client.allows_run_change
        if not run or not is_same_run or after != request.written:
            self._end_broken("another run or place than asked for")

    def _end_broken(self, why):
        self.request.runner_call.abandon()
        self.attempts.node.end_with_error(self.request, ServiceError("stream_broken", why=why))

    def on_piece(self, piece):
        """Check the next piece and write it to the client."""
        if self.is_over():
            return
        request, node = self.request, self.attempts.node
        if not self.attempts.runner_client.follows(request, piece):
            return self._end_broken("a gap, a repeat or a foreign run")
        now_us = node.now_us()
        request.progress_us = now_us
        self.attempts.roster.note_alive(self.runner)
        self.attempts.placement.end_prefill(
            self.runner,
            self.attempt,
            is_seen=self.runner.phase == DECODE and not self.is_after_hand_over,
        )
        tokens = piece.document.get("tokens", 1)
        if not isinstance(tokens, int) or tokens < 0:
            return self._end_broken("a piece without its tokens")
        self.attempts.placement.grow_decode(self.runner, self.attempt, tokens)
        node.relay_piece(request, piece, tokens, now_us)

    def on_done(self, piece):
        """The stream ended; `piece`, if any, must count as many pieces as were written."""
        if self.is_over():
            return
        if piece is not None and piece.document.get("count") != self.request.written:
            return self._end_broken("an end that does not count the pieces")
        self.attempts.leave_runner(self.request)
        self.attempts.node.end_done(self.request)

    def on_answer(self, status, headers, body):
        """A whole answer that isn't a stream: retry after a server error, or pass it on."""
        if self.is_over():
            return
        self.attempts.roster.note_alive(self.runner)
        request = self.request
        if self.runner.is_plain():
            self._note_plain_answer(status)
        if (
            status >= SERVER_ERROR_STATUS
            and not request.is_one_time
            and not request.written
            and self.attempts.retry_after_failure(request, self.runner, status)
        ):
            return
        self.attempts.leave_runner(request)
        self.attempts.node.end_answered(request, status, headers, body)

    def _note_plain_answer(self, status):
        """Record success or failure for the choice among runners without an engine."""
        plain, request = self.attempts.placement.plain, self.request
        if status >= SERVER_ERROR_STATUS:
            return plain.note_failed(self.runner)
        plain.note_answered(self.runner, self.attempts.node.now_us() - request.progress_us)

    def on_error(self, error, has_begun):
        """The attempt failed; `has_begun`: whether bytes of it may have reached the runner."""
        if self.is_over():
            return
        if error.code == "stream_broken":
            self.attempts.leave_runner(self.request)
            return self.attempts.node.end_with_error(self.request, error)
        self.attempts.fail(self.request, self.runner, error, has_begun)
