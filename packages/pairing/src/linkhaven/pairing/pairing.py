from collections import deque

from linkhaven.configuration import Configuration
from linkhaven.runner.roster import DECODE, PREFILL

from .decoders import DecoderSplit, split_decoders
from .estimator import Estimator
from .kept import Kept, Work
from .messages import LinkSample, QueueView, QueueViews, RunnerShunned
from .plain import PlainScheduler

HISTORY_US = 5_000_000
TOLD_US = 2_500_000
TELL_US = 1_000_000
NO_BOUND_US = 1 << 62
RACE_US = 5_000
OVERDUE_PART = 4
SLOW = 4
SLOW_US = 20_000
FULL_SHARE = 0.9
IN_PLACE_SHARE = 0.25
FELLOWS_MOST = 16
FEW = 4
FLEET = "fleet"
START_US = 50_000
REST_US = 200_000
REST_MOST_US = 1_600_000
SHUN_US = 2_000_000
SHUN_MOST_US = 16_000_000
DEAF_US = 2_500_000
"""A router that heard no other for so long can't tell their queues from a slow runner."""
ALONE_US = 60_000_000
"""A router that heard no other for so long takes itself for the only one."""


class Book:
    """What this router, and its fellows by their own word, have at one runner and not yet seen finished."""

    __slots__ = (
        "reads",
        "decodes",
        "starts",
        "predictions",
        "told",
        "history",
        "sent_us",
        "sent_tokens",
        "moved_us",
        "count",
    )

    def __init__(self):
        self.moved_us = 0
        self.count = 0
        self.sent_us = None
        self.sent_tokens = 0
        self.reads = {}
        self.decodes = {}
        self.starts = set()
        self.predictions = {}
        self.told = {}
        self.history = deque()

    def own(self):
        """How many wait here to be read or begun, the tokens to read, the memory held, and the streams."""
        return (
            len(self.reads) + len(self.starts),
            sum(self.reads.values()),
            sum(self.decodes.values()),
            len(self.decodes),
        )

    def known(self):
        figures = self.own()
        for *told, _ in self.told.values():
            figures = [one + other for one, other in zip(figures, told, strict=True)]
        return tuple(figures)

    def note(self, now_us):
        count, _, held, *_ = self.known()
        if count < self.count or not self.count:
            self.moved_us = now_us
        self.count = count
        self.history.append((now_us, count, held))
        while self.history and now_us - self.history[0][0] > HISTORY_US:
            self.history.popleft()

    def longest_known(self):
        told = (tokens // count for count, tokens, *_ in self.told.values() if count)
        return max(max(self.reads.values(), default=0), max(told, default=0))

    def would_overtake(self, tokens, now_us):
        """A long read sent right behind a short one can reach the runner before it."""
        return (
            self.sent_us is not None
            and now_us - self.sent_us < RACE_US
            and tokens > 2 * self.sent_tokens
        )

    def at(self, when_us):
        count, held = 0, 0
        for noted_us, known_count, known_held in self.history:
            if noted_us > when_us:
                break
            count, held = known_count, known_held
        return count, held

    def sweep(self, now_us):
        lapsed = [fellow for fellow, told in self.told.items() if now_us >= told[-1]]
        for fellow in lapsed:
            del self.told[fellow]
        if lapsed:
            self.note(now_us)


class Candidate:
    __slots__ = (
        "runner",
        "queued_tokens",
        "unread",
        "q_us",
        "e_us",
        "t_us",
        "start_us",
        "is_eligible",
        "has_memory",
        "has_room",
        "reads_for_others",
    )

    def __init__(
        self,
        runner,
        queued_tokens,
        unread,
        q_us,
        e_us,
        t_us,
        start_us,
        ttft_us,
        room_us,
        is_overdue=False,
        typical_us=0,
    ):
        self.runner = runner
        self.start_us = start_us
        self.unread = unread
        self.queued_tokens = queued_tokens
        self.q_us = q_us
        self.e_us = e_us
        self.has_memory = True
        self.reads_for_others = False
        self.t_us = t_us
        self.has_room = q_us == 0 or q_us < room_us // OVERDUE_PART
        leaves_room = q_us == 0 or q_us + typical_us < room_us or is_overdue and self.has_room
        self.is_eligible = self.total_us < ttft_us and leaves_room

    @property
    def ahead_tokens(self):
        """What this runner has to read until this prompt is read."""
        return self.queued_tokens + self.unread

    @property
    def total_us(self):
        return self.q_us + self.e_us + self.t_us + self.start_us

    def as_record(self):
        return {
            "runner": self.runner.name,
            "phase": self.runner.phase,
            "queued_tokens": int(self.queued_tokens),
            "unread": self.unread,
            "q_us": self.q_us,
            "e_us": self.e_us,
            "t_us": self.t_us,
            "start_us": self.start_us,
            "is_eligible": self.is_eligible,
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
    """TaiChi's length-aware prefill placement (Algorithm 2) and its start of decodes.

    Each router tells its fellows what it has at a runner as soon as that changes, so that their
    views of the queues agree long before the runner's own late report."""

    __slots__ = (
        "node",
        "roster",
        "fellows",
        "estimator",
        "books",
        "exceptions",
        "told_us",
        "shunned",
        "kept",
        "in_place_us",
        "resting",
        "heard_us",
        "plain",
        "plain_pools",
    )

    def __init__(self, node, roster, fellows=list):
        self.node = node
        self.roster = roster
        self.fellows = fellows
        self.estimator = Estimator(node.now_us, self.is_large)
        self.books = {}
        self.kept = Kept()
        self.plain = PlainScheduler(
            node.now_us, node.ports.random, lambda runner: self.book(runner).known()[3]
        )
        self.plain_pools = frozenset()
        self.resting = {}
        self.in_place_us = NO_BOUND_US
        self.heard_us = -ALONE_US
        self.exceptions = {}
        self.told_us = 0
        self.shunned = {}
        node.register_handler(QueueViews, self.on_queue_views)
        node.register_handler(RunnerShunned, self.on_runner_shunned)
        node.register_handler(LinkSample, self.on_link_sample)
        node.sender_listeners.append(self._note_heard)
        roster.on_new.append(self._note_plain_pools)
        node.systems.append(self.tick)

    def _note_heard(self, name):
        if any(fellow.name == name for fellow in self.fellows()):
            self.heard_us = self.node.now_us()

    def is_deaf(self):
        """Whether there are other routers that this one doesn't hear."""
        return DEAF_US < self.node.now_us() - self.heard_us < ALONE_US

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow a configuration: its pace of runners, and its tightest target."""
        self.estimator.settings = configuration.placement
        targets = (kind.ttft_us for kind in configuration.kinds.values())
        tightest_us = min(targets, default=NO_BOUND_US)
        self.in_place_us = int(tightest_us * IN_PLACE_SHARE)

    def _note_plain_pools(self):
        self.plain_pools = frozenset(
            runner.pool for runner in self.roster.runners.values() if runner.is_plain()
        )

    def is_plain(self, pool):
        """Whether the runners of a pool have no engine, so that no prompt is read for it."""
        return pool in self.plain_pools

    def reading_pace(self):
        """Tokens a second that all open runners could read."""
        if self.estimator.settings is None:
            return 0
        pace_of = self.estimator.pace if self.is_large() else self.estimator.rate
        return sum(pace_of(runner.phase) for runner in self.roster.open_runners())

    def book(self, runner):
        key = (runner.name, runner.incarnation)
        book = self.books.get(key)
        if book is None:
            for old in [
                old
                for old in self.books
                if old[0] == runner.name and not any(self.books[old].own())
            ]:
                del self.books[old]
            book = self.books[key] = Book()
        return book

    def is_large(self):
        """Too many routers to tell each of them every change: views of the queues come by way of the core, late, and
        each router weighs only a few runners drawn by dice, so that late views send no herd to the least of them."""
        return len(self.fellows()) > FELLOWS_MOST

    def own_views(self):
        return [[*key, *book.own()] for key, book in self.books.items() if any(book.own())]

    def take_views(self, views):
        """What all other routers together have at each runner, as of their last asks."""
        now_us, named = self.node.now_us(), set()
        for name, incarnation, *figures in views:
            named.add((name, incarnation))
            book = self.books.get((name, incarnation))
            if book is None:
                book = self.books[(name, incarnation)] = Book()
            book.told[FLEET] = (*figures, now_us + TOLD_US)
            book.note(now_us)
        for key, book in self.books.items():
            if key not in named and book.told.pop(FLEET, None) is not None:
                book.note(now_us)

    def _few(self, runners, work=None):
        """Some of the runners, a few of each part, with the one that by its name keeps the longest shared part."""
        if not self.is_large():
            return runners
        few = []
        for phase in (PREFILL, DECODE):
            those = [runner for runner in runners if runner.phase == phase]
            few += those if len(those) <= FEW else self.node.ports.random.sample(those, FEW)
        home = self._home(runners, work)
        return few if home is None or home in few else [*few, home]

    def _home(self, runners, work):
        """Where the last shared part is read by all routers that know of no better place."""
        if work is None or not self.is_large():
            return None
        split = self._split(runners, work.pool)
        shares = {}
        for runner in runners:
            if runner.phase == PREFILL:
                shares[runner] = 1.0
            elif split is not None and runner.name in split.reading and not work.is_long:
                shares[runner] = self.estimator.settings.decode_prefill_share
        return self.kept.home(shares, work)

    def _tell(self, key, book, parts=()):
        if self.is_large():
            return
        message = QueueViews([QueueView(*key, *book.own(), parts)])
        for fellow in self.fellows():
            self.node.send(fellow.address, message)

    def on_queue_views(self, message):
        """Count in what another router has open, until it tells anew or its word lapses."""
        now_us = self.node.now_us()
        for view in message.books:
            runner = self.roster.runners.get(view.runner)
            if view.parts and runner is not None:
                self.kept.note(runner, view.parts)
            key = (view.runner, view.incarnation)
            book = self.books.get(key)
            if book is None:
                book = self.books[key] = Book()
            figures = (view.count, view.tokens, view.held, view.streams)
            book.told[message.sender] = (*figures, now_us + TOLD_US)
            book.note(now_us)

    def tick(self, now_us):
        for book in self.books.values():
            book.sweep(now_us)
        if now_us - self.told_us < TELL_US:
            return
        self.told_us = now_us
        self._forget_gone(now_us)
        if self.is_large():
            return
        views = [QueueView(*row) for row in self.own_views()]
        for fellow in self.fellows() if views else ():
            self.node.send(fellow.address, QueueViews(views))

    def _forget_gone(self, now_us):
        """Runners that no list names any more leave nothing behind once nothing runs there."""
        names = set(self.roster.runners)
        for key in [
            key for key, book in self.books.items() if key[0] not in names and not any(book.known())
        ]:
            del self.books[key]
        for name in [
            name for name, (until_us, _) in self.resting.items() if now_us > until_us + REST_MOST_US
        ]:
            del self.resting[name]
        for key in [
            key
            for key, (until_us, _) in self.shunned.items()
            if key[0] not in names or now_us > until_us + SHUN_MOST_US
        ]:
            del self.shunned[key]
        self.kept.forget(names)
        self.plain.forget(names)
        self.estimator.forget(names)

    def _change(self, runner, book, parts=()):
        book.note(self.node.now_us())
        self._tell((runner.name, runner.incarnation), book, parts)

    def queued_tokens(self, runner):
        book = self.book(runner)
        _, tokens, *_ = book.known()
        if runner.reported_us is None:
            return tokens
        known_count, _ = book.at(runner.reported_us)
        unknown = max(0, runner.queued - known_count) * self.estimator.prompt_mean
        read_since = (
            (self.node.now_us() - runner.reported_us) / self.estimator.token_us(runner)
            if runner.pool is not None
            else 0
        )
        return tokens + max(0, unknown - read_since)

    def read_wait_us(self, runner):
        """How long the runner reads what is known to wait there."""
        return self.estimator.read_us(self.queued_tokens(runner), runner)

    def kv_share(self, runner):
        book = self.book(runner)
        _, _, held, *_ = book.known()
        if runner.reported_us is None:
            return held / runner.kv_total
        _, held_then = book.at(runner.reported_us)
        return max(0, runner.kv_used + held - held_then) / runner.kv_total

    def shun(self, runner):
        """A hand-over from this runner failed: reads go elsewhere for a while, longer each time, if there is elsewhere."""
        key = (runner.name, runner.incarnation)
        now_us = self.node.now_us()
        until_us, span_us = self.shunned.get(key, (0, SHUN_US // 2))
        if now_us < until_us:
            return
        span_us = min(SHUN_MOST_US, span_us * 2)
        self.shunned[key] = (now_us + span_us, span_us)
        for fellow in self.fellows():
            self.node.send(fellow.address, RunnerShunned(key, span_us))

    def on_runner_shunned(self, message):
        """Shun a runner as long as another router does, at most."""
        span_us = min(SHUN_MOST_US, message.span_us)
        until_us = self.node.now_us() + span_us
        if until_us > self.shunned.get(message.runner, (0, 0))[0]:
            self.shunned[message.runner] = (until_us, span_us)

    def note_hand_over(self, runner):
        self.shunned.pop((runner.name, runner.incarnation), None)

    def _is_shunned(self, runner):
        return (
            runner.phase == PREFILL
            and self.node.now_us() < self.shunned.get((runner.name, runner.incarnation), (0, 0))[0]
        )

    def _queue_us(self, runner, queued, now_us):
        """The queue's reading time, less what the read at its head has had since the last one ended."""
        book = self.book(runner)
        head_us = min(now_us - book.moved_us, self.estimator.read_us(book.longest_known(), runner))
        return max(0, self.estimator.read_us(queued, runner) - head_us)

    def weigh(self, work, ttft_us, without=(), room_us=NO_BOUND_US, is_overdue=False):
        candidates, now_us = [], self.node.now_us()
        fit = self._few(
            [runner for runner in self.open_runners(work.pool) if runner.name not in without], work
        )
        fit = [runner for runner in fit if not self._is_shunned(runner)] or fit
        split = self._split(fit, work.pool)
        home = self._home(fit, work)
        for runner in fit:
            queued = self.queued_tokens(runner)
            q_us = (
                self._queue_us(runner, queued, now_us)
                if runner.phase == PREFILL or work.pool is None
                else self._start_us(runner, now_us)
            )
            unread = self.kept.unread(runner, work, is_home=runner is home)
            e_us = self.estimator.read_us(unread, runner)
            t_us, start_us = (
                self._hand_over_us(runner, work, without) if runner.phase == PREFILL else (0, 0)
            )
            typical_us = self.estimator.read_us(max(work.typical_tokens, unread), runner)
            candidate = Candidate(
                runner,
                queued,
                unread,
                q_us,
                e_us,
                t_us,
                start_us,
                ttft_us,
                room_us,
                is_overdue,
                typical_us,
            )
            if runner.phase == DECODE and split is not None:
                candidate.reads_for_others = runner.name in split.reading
                if not self._may_read_in_place(candidate, work, split):
                    candidate.is_eligible = False
            if self.book(runner).would_overtake(unread, now_us):
                candidate.is_eligible = False
            candidates.append(candidate)
        return candidates

    def _split(self, fit, pool):
        """How the decode runners of a pool are divided; None where nobody reads apart.

        Without a reader prompts are read in place, bounded by the targets alone (TaiChi, 3.2: any
        instance may read). Test: `test_the_last_runner_serves_short_prompts_beside_long_ones`.
        """
        if pool is None or not any(runner.phase == PREFILL for runner in fit):
            return None
        return self.split_of(pool)

    def split_of(self, pool):
        """How the open decode runners of a pool are divided now.

        In a small fleet views come at once, so that each read can be weighed against the streams
        that it would meet; there none reads for others as a group.
        """
        decoders = [runner for runner in self.open_runners(pool) if runner.phase == DECODE]
        if not self.is_large():
            return DecoderSplit([runner.name for runner in decoders], ())
        streams = sum(self.book(runner).known()[3] for runner in decoders)
        return split_decoders(decoders, streams, sum(map(self.kv_share, decoders)))

    def _may_read_in_place(self, candidate, work, split):
        """Whether a prompt may be read beside the streams of a decode runner.

        Those of short answers at the runners that read for others; any where its stream belongs,
        as long as queue and read are only a part of the tightest target.
        """
        if candidate.reads_for_others:
            return not work.is_long
        if self.is_large() and not self.estimator.knows_pace(DECODE):
            return False
        is_brief = candidate.q_us + candidate.e_us <= self.in_place_us
        return is_brief and (work.is_long or not split.reading)

    def _least(self, candidates, worth):
        worths = [worth(candidate) for candidate in candidates]
        best = min(worths)
        ties = [one for one, its in zip(candidates, worths, strict=True) if its == best]
        return ties[0] if len(ties) == 1 else ties[self.node.ports.random.randrange(len(ties))]

    def fits(self, runner, tokens):
        """Whether a decode runner has memory for the prompt and for as much again, so that small ones still get in."""
        share = self.kv_share(runner)
        return share <= 0 or share + 2 * tokens / runner.kv_total <= 1

    def _keep_to_memory(self, candidates, work, without):
        fit = {
            runner.name
            for runner in self.open_runners(work.pool)
            if runner.phase == DECODE
            and runner.name not in without
            and self.fits(runner, work.tokens)
        }
        for candidate in candidates:
            has_memory = (
                bool(fit) if candidate.runner.phase == PREFILL else candidate.runner.name in fit
            )
            candidate.has_memory = has_memory
            candidate.is_eligible = candidate.is_eligible and has_memory

    def choose(self, work, ttft_us, without=(), room_us=NO_BOUND_US, is_overdue=False):
        candidates = self.weigh(work, ttft_us, without, room_us, is_overdue)
        self._keep_to_memory(candidates, work, without)
        if not self.has_decode(without, work.pool):
            candidates = [candidate for candidate in candidates if candidate.runner.phase == DECODE]
        eligible = [candidate for candidate in candidates if candidate.is_eligible]
        if not eligible:
            return Decision(candidates, None)
        return Decision(
            candidates, self._least(eligible, lambda candidate: self._ahead(candidate, work))
        )

    def choose_anyway(self, work, ttft_us, why, without=(), room_us=NO_BOUND_US):
        """A runner for what none can answer in time; none where all queues are beyond the room.

        What is late anyway may not make others late: it joins a queue only while that is shorter
        than a part of `room_us`, the tightest target of the others.
        """
        decision = self.choose(work, ttft_us, without, room_us)
        if decision.winner is not None:
            return decision
        readers = [each for each in decision.candidates if each.runner.phase == PREFILL]
        is_left_to_readers = readers and work.pool is not None
        fit = [
            candidate
            for candidate in (readers if is_left_to_readers else decision.candidates)
            if candidate.has_room
        ]
        if not fit:
            return decision
        decision.winner = self._least(fit, lambda candidate: candidate.total_us)
        decision.exception = why
        self.exceptions[why] = self.exceptions.get(why, 0) + 1
        return decision

    def open_runners(self, pool=None):
        runners = self.roster.open_runners()
        if pool is None:
            return runners
        runners = [runner for runner in runners if runner.pool == pool]
        if not self.resting:
            return runners
        now_us = self.node.now_us()
        fit = [runner for runner in runners if now_us >= self.resting.get(runner.name, (0, 0))[0]]
        return fit if any(runner.phase != PREFILL for runner in fit) else runners

    def note_turned_away(self, runner):
        """It took nothing though its list says it could: others are asked for a moment, longer each time."""
        now_us = self.node.now_us()
        until_us, span_us = self.resting.get(runner.name, (0, REST_US // 2))
        if now_us < until_us:
            return
        span_us = min(REST_MOST_US, span_us * 2) if now_us < until_us + 2 * span_us else REST_US
        self.resting[runner.name] = (now_us + span_us, span_us)

    def _ahead(self, candidate, work):
        """What a runner has to read until this prompt is read: in tokens, or, in a pool whose parts read at paces of
        their own, as time; a read in place costs each stream of its runner that time, too."""
        if work.pool is None:
            return candidate.queued_tokens + candidate.unread
        return candidate.total_us + self._unseen_us(candidate) + self._harm_us(candidate)

    def _unseen_us(self, candidate):
        """How long the reads that no view tells of in time are likely to take there."""
        if not self.is_large():
            return 0
        return max(0, self.estimator.wait_us(candidate.runner.phase) - candidate.q_us)

    def _harm_us(self, candidate):
        """What a read in place costs the streams of its runner; none where it is there to read."""
        if candidate.runner.phase != DECODE or candidate.reads_for_others:
            return 0
        return self.book(candidate.runner).known()[3] * candidate.e_us

    def least_unread(self, work):
        """What of a prompt no runner of its pool keeps, about."""
        if not work.parts:
            return work.prompt_tokens
        asked = Work(work.prompt_tokens, work.parts, work.pool)
        return min(
            (self.kept.unread(runner, asked) for runner in self.open_runners(work.pool)),
            default=work.prompt_tokens,
        )

    def has_decode(self, without=(), pool=None):
        return any(
            runner.phase == DECODE and runner.name not in without
            for runner in self.open_runners(pool)
        )

    def choose_decode(self, without=(), source=None, tokens=0, pool=None):
        """The decode runner using least memory, of those that the source's memory reaches without a clearly slower link."""
        if self.is_plain(pool):
            return self._choose_plain(without, pool)
        runners = [
            runner
            for runner in self.open_runners(pool)
            if runner.phase == DECODE and runner.name not in without
        ]
        if not runners:
            return None
        runners = self._few(self._undisturbed(runners, pool))
        if source is not None:
            times = {
                runner.name: self.estimator.transfer_us(tokens, source, runner)
                for runner in runners
            }
            most_us = SLOW * min(times.values()) + SLOW_US
            runners = [runner for runner in runners if times[runner.name] <= most_us]
        if pool is None:
            return self._least(runners, self.kv_share)
        now_us = self.node.now_us()
        return self._least(
            runners,
            lambda runner: (self._start_us(runner, now_us) // START_US, self.kv_share(runner)),
        )

    def _undisturbed(self, runners, pool):
        """Of these decode runners, those that read for nobody else, if there are any."""
        if pool is None:
            return runners
        names = self.split_of(pool).undisturbed
        return [runner for runner in runners if runner.name in names] or runners

    def _choose_plain(self, without, pool):
        """A runner without an engine, of those that are open."""
        runners = [
            runner
            for runner in self.open_runners(pool)
            if runner.is_plain() and runner.name not in without
        ]
        return self.plain.choose(runners)

    def _start_us(self, runner, now_us):
        """How long a decode waits there: for the reads before it, and for a place where all are taken."""
        wait_us = self._queue_us(runner, self.queued_tokens(runner), now_us)
        if not runner.slots:
            return wait_us
        over = self.book(runner).known()[3] + 1 - runner.slots
        return wait_us + max(0, over) * int(self.estimator.stream_us) // runner.slots

    def _hand_over_us(self, source, work, without):
        target = self.choose_decode(without, source, work.tokens, work.pool)
        start_us = (
            self._start_us(target, self.node.now_us())
            if target is not None and work.pool is not None
            else 0
        )
        return self.estimator.transfer_us(work.tokens, source, target), start_us

    def note_begin(self, source, target, tokens, seen_us):
        """A decode began after its hand-over; a runner short of memory tells nothing of the link."""
        if self.kv_share(target) >= FULL_SHARE:
            return
        news = self.estimator.note_transfer(source, target, tokens, seen_us)
        for fellow in self.fellows() if news else ():
            self.node.send(fellow.address, LinkSample(*news))

    def on_link_sample(self, message):
        """Learn how slow a link is from a hand-over of another router."""
        self.estimator.links.learn(message.pair, message.zones, message.factor)

    def begin_read(self, runner, attempt, work):
        now_us = self.node.now_us()
        tokens = self.kept.unread(runner, work)
        is_queued = self.queued_tokens(runner) > tokens // 4
        book = self.book(runner)
        book.reads[attempt] = tokens
        book.sent_us, book.sent_tokens = now_us, tokens
        book.predictions[attempt] = (0 if is_queued else tokens, now_us)
        self._change(runner, book, work.parts[:-1])
        self.kept.note(runner, work.parts)
        self.estimator.note_prompt(tokens)

    def end_read(self, runner, attempt, is_seen=False):
        book = self.book(runner)
        if book.reads.pop(attempt, None) is None:
            return
        alone_tokens, begun_us = book.predictions.pop(attempt)
        self._change(runner, book)
        if is_seen and not self.is_deaf():
            self.estimator.note_read(
                runner.name,
                runner.phase,
                alone_tokens,
                self.node.now_us() - begun_us,
            )

    def begin_decode(self, runner, attempt, tokens):
        book = self.book(runner)
        if runner.pool is not None and attempt not in book.reads:
            book.starts.add(attempt)
        book.decodes[attempt] = tokens
        self._change(runner, book)

    def grow_decode(self, runner, attempt, tokens):
        book = self.book(runner)
        if attempt in book.starts:
            book.starts.discard(attempt)
            self._change(runner, book)
        if attempt in book.decodes:
            book.decodes[attempt] += tokens

    def end_decode(self, runner, attempt):
        book = self.book(runner)
        book.starts.discard(attempt)
        if book.decodes.pop(attempt, None) is not None:
            self._change(runner, book)
