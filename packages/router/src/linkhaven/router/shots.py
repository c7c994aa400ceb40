from linkhaven.pairing import NO_BOUND_US
from linkhaven.runner.roster import DECODE, PREFILL
from linkhaven.schema import Trouble

from . import request as states

REFUSED_BY_RUNNER = {"runner_leaving", "runner_full", "phase_wrong", "mark_old"}
FAILED_HAND_OVERS = {"handle_lapsed", "handle_foreign", "hand_over_failed"}
QUIET_US = 4_000_000


class Shots:
    """Shots of requests at runners: the read, the hand-over, the decode, and what follows when one fails."""

    __slots__ = ("node", "pairing", "desk", "roster", "extra")

    def __init__(self, node, pairing, desk, roster, extra):
        self.node = node
        self.pairing = pairing
        self.desk = desk
        self.roster = roster
        self.extra = extra
        node.systems.append(self.tick)

    def begin(self, request):
        """First shot from the queue; answers whether it could be placed."""
        if not self.node.may_start():
            return False
        if request.resume:
            return self._begin_resume(request)
        now_us = self.node.now_us()
        ttft_us = request.kind["ttft_us"]
        decision = self.pairing.choose(
            request.prompt_tokens, ttft_us, room_us=self.node.rooms.get(request.group, NO_BOUND_US),
            is_overdue=now_us - request.queued_us > ttft_us,
        )
        if decision.winner is None:
            why = self._exception_for(request, decision, ttft_us, now_us)
            if why is None:
                return False
            decision = self.pairing.choose_anyway(request.prompt_tokens, ttft_us, why)
            if decision.winner is None:
                return False
            if self._is_hopeless(request, decision.winner, now_us):
                request.decisions.append(decision.as_record())
                self.node.end_in_trouble(request, Trouble("no_runner", retry_us=decision.winner.q_us + 1_000_000))
                return False
        self._place(request, decision)
        return True

    def _is_hopeless(self, request, winner, now_us):
        answer_us = self.pairing.estimator.answer_us(request.answer_tokens)
        return now_us + winner.total_us + answer_us > request.deadline_us

    def _exception_for(self, request, decision, ttft_us, now_us):
        if not decision.candidates:
            return None
        if min(candidate.e_us + candidate.t_us for candidate in decision.candidates) >= ttft_us:
            return "prompt_beyond_target"
        if now_us - request.arrived_us >= request.kind["deadline_us"] // 2:
            return "waited_half_the_deadline"
        return None

    def _place(self, request, decision):
        request.decisions.append(decision.as_record())
        self._start(request, decision.winner.runner)

    def _begin_resume(self, request):
        runner = self.pairing.choose_decode(without=request.failed)
        if runner is None:
            return False
        self._start(request, runner)
        return True

    def _start(self, request, runner):
        now_us = self.node.now_us()
        request.shots += 1
        request.shot = f"{request.id}/{request.shots}"
        request.runner = runner
        request.progress_us = now_us
        request.has_begun = True
        request.handle = None
        self.pairing.begin_read(runner, request.shot, request.prompt_tokens)
        request.note(now_us, "shot", runner=runner.name, phase=runner.phase, number=request.shots)
        if runner.phase == PREFILL and not request.run:
            return self._read(request, runner)
        self._decode(request, runner, None)

    def _ask(self, request):
        return {
            "request": request.id, "shot": request.shots, "mark": self.node.image.mark,
            "one_time": request.is_one_time, "prompt": request.prompt,
        }

    def _read(self, request, runner):
        request.state = states.READING
        shot = request.shot

        def done(trouble, document, has_begun):
            if request.shot != shot or request.state != states.READING:
                return
            self.pairing.end_read(runner, shot, is_seen=trouble is None)
            request.part = None
            if trouble is not None:
                return self._fail(request, runner, trouble, has_begun)
            if not self._is_answer_to(request, runner, document):
                return self._fail(request, runner, Trouble("runner_lost", why="an answer for another request"), True)
            request.handle = (document["handle"], runner)
            self.roster.note_alive(runner)
            self._hand_over(request)

        request.part = self.desk.prefill(runner.address, self._ask(request), done)

    def _is_answer_to(self, request, runner, document):
        told = (document.get("request"), document.get("shot"), document.get("incarnation"))
        return told == (request.id, request.shots, runner.incarnation)

    def _hand_over(self, request):
        self.node.wake_queue()
        if request.state != states.READING:
            return
        if not self.node.may_start():
            return self._park(request, self._hand_over)
        request.parked = None
        source, tokens = request.handle[1], request.prompt_tokens
        runner = self.pairing.choose_decode(request.failed, source, tokens) or self.pairing.choose_decode((), source, tokens)
        if runner is None:
            return self._fail(request, request.runner, Trouble("no_runner", done="unknown"), True)
        request.note(self.node.now_us(), "hand-over", runner=runner.name)
        request.runner = runner
        self._decode(request, runner, request.handle)

    def _park(self, request, go_on):
        request.parked = go_on
        request.note(self.node.now_us(), "parked until the plan is confirmed")

    def _decode(self, request, runner, handle):
        request.state = states.DECODING
        now_us = self.node.now_us()
        request.progress_us = now_us
        ask = self._ask(request)
        ask["answer_tokens"] = request.answer_tokens
        if handle:
            ask["handle"] = handle[0]
            ask["source"] = handle[1].address
        if request.run:
            ask["resume"] = {"run": request.run, "after": request.written}
        self.pairing.begin_decode(runner, request.shot, request.prompt_tokens)
        request.part = self.desk.decode(runner.address, ask, Relay(self, request, runner))

    def leave_runner(self, request):
        if request.runner is not None and request.shot is not None:
            for runner in [request.runner, *([request.handle[1]] if request.handle else [])]:
                self.pairing.end_read(runner, request.shot)
                self.pairing.end_decode(runner, request.shot)
        if request.part is not None:
            request.part.abandon()
            request.part = None
        request.handle = None

    def _fail(self, request, runner, trouble, has_begun):
        if trouble.code in FAILED_HAND_OVERS and request.handle:
            self.pairing.shun(request.handle[1])
        self.leave_runner(request)
        now_us = self.node.now_us()
        request.note(now_us, "failed", runner=runner.name, code=trouble.code, number=request.shots)
        request.failed.append(runner.name)
        if not has_begun:
            self.roster.note_dark(runner)
        if trouble.code == "runner_leaving":
            self.roster.note_leaving(runner)
        if trouble.code == "mark_old":
            self.node.image.hear_mark(trouble.detail.get("mark", 0))
        is_untouched = not has_begun or trouble.code in REFUSED_BY_RUNNER
        had_read = any(step["step"] == "hand-over" for step in request.steps)
        if request.shots == 1 and is_untouched and not had_read:
            request.has_begun = False
        if request.is_one_time and request.has_begun:
            return self.node.end_in_trouble(request, self._unknown(trouble))
        if request.written and not request.is_resumable:
            return self.node.end_in_trouble(request, self._unknown(trouble))
        if trouble.code == "run_unknown":
            return self.node.end_in_trouble(request, self._run_unknown(request, trouble))
        if not request.written:
            request.run = None
        request.state = states.PARKED
        self._retry(request, trouble)

    def _unknown(self, trouble):
        return trouble if trouble.done == "unknown" else Trouble(trouble.code, done="unknown", **trouble.detail)

    def _run_unknown(self, request, trouble):
        is_callers = request.resume and request.resume[1] == request.written
        return Trouble("run_unknown", done="no" if is_callers else "unknown")

    def _retry(self, request, trouble):
        if not self.node.may_start():
            return self._park(request, lambda request: self._retry(request, trouble))
        request.parked = None
        if not self.extra.spend("retry"):
            return self.node.end_in_trouble(request, self._spent(request, trouble))
        self.node.ports.log(2104, request=request.id, why=trouble.code, shot=request.shots + 1)
        if request.run:
            runner = self.pairing.choose_decode(without=request.failed) or self.pairing.choose_decode()
            if runner is None:
                return self.node.end_in_trouble(request, self._spent(request, trouble))
            return self._start(request, runner)
        decision = self.pairing.choose_anyway(request.prompt_tokens, request.kind["ttft_us"], "retry", request.failed)
        if decision.winner is None:
            decision = self.pairing.choose_anyway(request.prompt_tokens, request.kind["ttft_us"], "retry")
        if decision.winner is None:
            return self.node.end_in_trouble(request, self._spent(request, trouble))
        self._place(request, decision)

    def _spent(self, request, trouble):
        if not request.has_begun:
            return Trouble("no_runner", retry_us=1_000_000)
        return Trouble("extra_spent", retry_us=1_000_000, after=trouble.code)

    def move(self, request, target, why):
        if not self.node.may_start() or not self.extra.spend("move", self.extra.keep_back()):
            return False
        now_us = self.node.now_us()
        origin = request.runner
        self.leave_runner(request)
        request.moved_from = origin.name if why == "shed" else None
        request.pace_tokens = 0
        request.pace_from_us = now_us
        self.node.ports.log(2105, request=request.id, why=why, source=origin.name, target=target.name)
        request.note(now_us, "moved", why=why, runner=target.name)
        self._start(request, target)
        return True

    def tick(self, now_us):
        for request in self.node.requests.rows():
            if request.parked and self.node.may_start():
                request.parked(request)
            elif request.state == states.DECODING and self._is_quiet(request, now_us):
                runner = request.runner
                self.roster.note_dark(runner)
                self._fail(request, runner, Trouble("runner_lost", why="no progress"), True)
            elif request.state == states.READING and not request.parked and self._is_read_quiet(request, now_us):
                runner = request.runner
                self.roster.note_dark(runner)
                self._fail(request, runner, Trouble("runner_lost", why="no answer to the read"), True)

    def _is_quiet(self, request, now_us):
        if request.is_held:
            return False
        patience_us = QUIET_US
        if request.first_us is None or request.shots > 1:
            patience_us += 2 * self.pairing.estimator.read_us(request.prompt_tokens, request.runner)
        return now_us - request.progress_us > patience_us and self._is_suspect(request.runner, now_us)

    def _is_read_quiet(self, request, now_us):
        predicted_us = self.pairing.estimator.read_us(self.pairing.queued_tokens(request.runner), request.runner)
        return now_us - request.progress_us > QUIET_US + 2 * predicted_us and self._is_suspect(request.runner, now_us)

    def _is_suspect(self, runner, now_us):
        is_reporting = runner.reported_us is not None and now_us - runner.reported_us < QUIET_US
        return runner.is_dark or not is_reporting


class Relay:
    """Checks run and number of each piece and hands it to the caller; nothing is patched over."""

    __slots__ = ("shots", "request", "runner", "shot")

    def __init__(self, shots, request, runner):
        self.shots = shots
        self.request = request
        self.runner = runner
        self.shot = request.shot

    def is_over(self):
        return self.request.shot != self.shot or self.request.state != states.DECODING

    def on_begin(self, run, after):
        if self.is_over():
            return
        request, now_us = self.request, self.shots.node.now_us()
        if request.handle:
            self.shots.pairing.note_begin(request.handle[1], self.runner, request.prompt_tokens, now_us - request.progress_us)
        request.progress_us = now_us
        if request.run is None:
            request.run = run
        if not run or request.run != run or after != request.written:
            self._break("another run or place than asked for")

    def _break(self, why):
        self.request.part.abandon()
        self.shots.node.end_in_trouble(self.request, Trouble("stream_broken", why=why))

    def on_piece(self, piece):
        if self.is_over():
            return
        request, node = self.request, self.shots.node
        if piece.run != request.run or piece.number != request.written + 1:
            return self._break("a gap, a repeat or a foreign run")
        now_us = node.now_us()
        request.progress_us = now_us
        self.shots.roster.note_alive(self.runner)
        self.shots.pairing.end_read(self.runner, self.shot, is_seen=self.runner.phase == DECODE and not request.handle)
        if request.handle:
            self.shots.pairing.end_read(request.handle[1], self.shot)
            self.shots.pairing.note_hand_over(request.handle[1])
        tokens = piece.document.get("tokens", 1)
        if not isinstance(tokens, int) or tokens < 0:
            return self._break("a piece without its tokens")
        self.shots.pairing.grow_decode(self.runner, self.shot, tokens)
        node.relay_piece(request, piece, tokens, now_us)

    def on_done(self, piece):
        if self.is_over():
            return
        if piece.document.get("count") != self.request.written:
            return self._break("an end that does not count the pieces")
        self.shots.leave_runner(self.request)
        self.shots.node.end_done(self.request, piece)

    def on_trouble(self, trouble, has_begun):
        if self.is_over():
            return
        if trouble.code == "stream_broken":
            self.shots.leave_runner(self.request)
            return self.shots.node.end_in_trouble(self.request, trouble)
        self.shots._fail(self.request, self.runner, trouble, has_begun)
