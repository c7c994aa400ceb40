from collections import deque

from linkhaven.runner.roster import DECODE, PREFILL

from .estimator import Estimator

HISTORY_US = 5_000_000


class Book:
    """What this router has sent to one runner and not yet seen finished."""

    __slots__ = ("reads", "decodes", "history", "predictions")

    def __init__(self):
        self.reads = {}
        self.decodes = {}
        self.history = deque()
        self.predictions = {}

    def note(self, now_us):
        self.history.append((now_us, len(self.reads), sum(self.decodes.values())))
        while self.history and now_us - self.history[0][0] > HISTORY_US:
            self.history.popleft()

    def at(self, when_us):
        reads, kv = 0, 0
        for noted_us, count, held in self.history:
            if noted_us > when_us:
                break
            reads, kv = count, held
        return reads, kv


class Candidate:
    __slots__ = ("runner", "queued_tokens", "q_us", "e_us", "t_us", "is_eligible")

    def __init__(self, runner, queued_tokens, q_us, e_us, t_us, ttft_us):
        self.runner = runner
        self.queued_tokens = queued_tokens
        self.q_us = q_us
        self.e_us = e_us
        self.t_us = t_us
        self.is_eligible = self.total_us < ttft_us

    @property
    def total_us(self):
        return self.q_us + self.e_us + self.t_us

    def as_record(self):
        return {
            "runner": self.runner.name, "phase": self.runner.phase, "queued_tokens": int(self.queued_tokens),
            "q_us": self.q_us, "e_us": self.e_us, "t_us": self.t_us, "is_eligible": self.is_eligible,
        }


class Decision:
    __slots__ = ("candidates", "winner", "exception")

    def __init__(self, candidates, winner, exception=None):
        self.candidates = candidates
        self.winner = winner
        self.exception = exception

    def as_record(self):
        return {
            "candidates": [candidate.as_record() for candidate in self.candidates],
            "winner": self.winner and self.winner.runner.name,
            "exception": self.exception,
        }


class Pairing:
    """TaiChi's length-aware prefill placement (Algorithm 2) and its start of decodes."""

    __slots__ = ("node", "roster", "estimator", "books", "exceptions")

    def __init__(self, node, roster):
        self.node = node
        self.roster = roster
        self.estimator = Estimator()
        self.books = {}
        self.exceptions = {}

    def take_plan(self, plan):
        self.estimator.taichi = plan["taichi"]

    def book(self, runner):
        key = (runner.name, runner.incarnation)
        book = self.books.get(key)
        if book is None:
            for old in [old for old in self.books if old[0] == runner.name and not self.books[old].reads and not self.books[old].decodes]:
                del self.books[old]
            book = self.books[key] = Book()
        return book

    def queued_tokens(self, runner):
        book = self.book(runner)
        own = sum(book.reads.values())
        if runner.reported_us is None:
            return own
        own_count, _ = book.at(runner.reported_us)
        others = max(0, runner.queued - own_count)
        return own + others * self.estimator.prompt_mean

    def kv_share(self, runner):
        book = self.book(runner)
        held = sum(book.decodes.values())
        if runner.reported_us is None:
            return held / runner.kv_total
        _, held_then = book.at(runner.reported_us)
        return max(0, runner.kv_used + held - held_then) / runner.kv_total

    def weigh(self, tokens, ttft_us, without=()):
        candidates = []
        for runner in self.roster.open_runners():
            if runner.name in without:
                continue
            queued = self.queued_tokens(runner)
            q_us = self.estimator.read_us(queued, runner)
            e_us = self.estimator.read_us(tokens, runner)
            t_us = self.estimator.transfer_us(tokens) if runner.phase == PREFILL else 0
            candidates.append(Candidate(runner, queued, q_us, e_us, t_us, ttft_us))
        return candidates

    def _least(self, candidates, worth):
        best = min(worth(candidate) for candidate in candidates)
        ties = [candidate for candidate in candidates if worth(candidate) == best]
        return ties[0] if len(ties) == 1 else ties[self.node.ports.dice.randrange(len(ties))]

    def choose(self, tokens, ttft_us, without=()):
        candidates = self.weigh(tokens, ttft_us, without)
        if not self.has_decode(without):
            candidates = [candidate for candidate in candidates if candidate.runner.phase == DECODE]
        eligible = [candidate for candidate in candidates if candidate.is_eligible]
        if not eligible:
            return Decision(candidates, None)
        return Decision(candidates, self._least(eligible, lambda candidate: candidate.queued_tokens))

    def choose_anyway(self, tokens, ttft_us, why, without=()):
        decision = self.choose(tokens, ttft_us, without)
        if decision.winner is not None or not decision.candidates:
            return decision
        decision.winner = self._least(decision.candidates, lambda candidate: candidate.total_us)
        decision.exception = why
        self.exceptions[why] = self.exceptions.get(why, 0) + 1
        return decision

    def has_decode(self, without=()):
        return any(runner.phase == DECODE and runner.name not in without for runner in self.roster.open_runners())

    def choose_decode(self, without=()):
        runners = [runner for runner in self.roster.open_runners() if runner.phase == DECODE and runner.name not in without]
        if not runners:
            return None
        return self._least(runners, self.kv_share)

    def begin_read(self, runner, shot, tokens, predicted_us):
        book = self.book(runner)
        book.reads[shot] = tokens
        book.predictions[shot] = (predicted_us, self.node.now_us())
        book.note(self.node.now_us())
        self.estimator.note_prompt(tokens)

    def end_read(self, runner, shot, is_seen=False):
        book = self.book(runner)
        if book.reads.pop(shot, None) is None:
            return
        predicted_us, begun_us = book.predictions.pop(shot)
        now_us = self.node.now_us()
        book.note(now_us)
        if is_seen:
            self.estimator.note_read(runner.name, runner.phase, predicted_us, now_us - begun_us)

    def begin_decode(self, runner, shot, tokens):
        book = self.book(runner)
        book.decodes[shot] = tokens
        book.note(self.node.now_us())

    def grow_decode(self, runner, shot, tokens):
        book = self.book(runner)
        if shot in book.decodes:
            book.decodes[shot] += tokens

    def end_decode(self, runner, shot):
        book = self.book(runner)
        if book.decodes.pop(shot, None) is not None:
            book.note(self.node.now_us())
