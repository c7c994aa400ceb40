"""Placement: which runner reads a prompt, and where its stream starts.

After TaiChi ("Prefill-Decode Aggregation or Disaggregation? Unifying Both for Goodput-Optimized LLM
Serving", 2025), Algorithm 2; docs/taichi.md says what was kept and changed. The steps of a choice:

| step | method | what it decides |
| --- | --- | --- |
| filter | `open_runners`, `_sample` | who may be asked at all; in large fleets a few drawn at random |
| estimate | `evaluate_candidates` | queue, read, transfer and start times of each, see `estimator.py` |
| eligibility | `Candidate`, `_may_read_in_place`, `_keep_to_memory` | who answers in time, with room |
| selection | `choose`, `_ahead_us` | the least queued of them; ties at random |
| admission of what is late | `choose_best_effort` | whether it may join a queue, or waits on |
| decode | `choose_decode` | the least used of the decode runners that are near |

State is owned by `LoadView`, `RunnerBackoff`, `PrefixCacheView` (prefix caches), `Estimator` and
`PlainScheduler`.
"""

from linkhaven.configuration import Configuration
from linkhaven.runner.roster import DECODE, PREFILL

from .candidate import Candidate, Decision
from .decoders import DecoderSplit, split_decoders
from .estimator import Estimator
from .kept import PrefillWork, PrefixCacheView
from .load_view import LoadView
from .messages import LinkSample, QueueViews, RunnerEjected
from .plain import PlainScheduler
from .pool_snapshot import PoolSnapshot
from .runner_backoff import RunnerBackoff

NO_BOUND_US = 1 << 62
SLOW = 4
SLOW_US = 20_000
"""A hand-over that takes this much longer than the fastest one goes elsewhere."""

FULL_SHARE = 0.9
IN_PLACE_SHARE = 0.25
"""Queue and read of a prompt beside the streams of others take this part of the tightest target."""

FEW = 4
"""So many runners of each role are weighed in a large fleet."""

START_US = 50_000
"""Decode runners whose streams start within the same span of this length count as equal."""


class PlacementPolicy:
    """Chooses runners for prompts and streams, and notes what is outstanding there."""

    __slots__ = (
        "node",
        "roster",
        "peers",
        "estimator",
        "load",
        "backoff",
        "exceptions",
        "prefix_caches",
        "max_in_place_us",
        "plain",
        "plain_pools",
    )

    def __init__(self, node, roster, peers=list):
        """`peers`: the other routers that run."""
        self.node = node
        self.roster = roster
        self.peers = peers
        self.estimator = Estimator(node.now_us, self.is_large)
        self.prefix_caches = PrefixCacheView()
        self.load = LoadView(node, roster, peers, self.estimator, self.prefix_caches)
        self.backoff = RunnerBackoff(node, peers)
        self.plain = PlainScheduler(
            node.now_us, node.ports.random, lambda runner: self.load.work_at(runner).total().streams
        )
        self.plain_pools = frozenset()
        self.max_in_place_us = NO_BOUND_US
        self.exceptions = {}
        node.register_handler(QueueViews, self.load.on_queue_views)
        node.register_handler(RunnerEjected, self.backoff.on_runner_ejected)
        node.register_handler(LinkSample, self.on_link_sample)
        node.sender_listeners.append(self.load.note_heard)
        roster.on_new.append(self._note_plain_pools)
        node.systems.append(self.tick)

    def is_large(self):
        """Whether views of the queues come late, see `LoadView.is_large`."""
        return self.load.is_large()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow a configuration: its pace of runners, and its tightest target."""
        self.estimator.settings = configuration.placement
        targets = (kind.ttft_us for kind in configuration.kinds.values())
        tightest_us = min(targets, default=NO_BOUND_US)
        self.max_in_place_us = int(tightest_us * IN_PLACE_SHARE)

    def _note_plain_pools(self):
        self.plain_pools = frozenset(
            runner.pool for runner in self.roster.runners.values() if runner.is_plain()
        )

    def is_plain(self, pool):
        """Whether the runners of a pool have no engine, so that no prompt is read for it."""
        return pool in self.plain_pools

    def prefill_rate(self):
        """Tokens a second that all open runners could read."""
        if self.estimator.settings is None:
            return 0
        rate_of = self.estimator.known_rate if self.is_large() else self.estimator.planned_rate
        return sum(rate_of(runner.phase) for runner in self.roster.open_runners())

    def _snapshot(self, pool):
        """The runners of a pool as they are now, for one choice."""
        now_us = self.node.now_us()
        return PoolSnapshot(
            self.open_runners(pool),
            self._divide,
            lambda runner: self._start_us(runner, now_us),
            self.load.kv_share,
        )

    def _sample(self, runners, work=None, snapshot=None):
        """Some of the runners, a few of each part, with the one that by its name keeps the longest shared part."""
        if not self.is_large():
            return runners
        few = []
        for phase in (PREFILL, DECODE):
            those = [runner for runner in runners if runner.phase == phase]
            few += those if len(those) <= FEW else self.node.ports.random.sample(those, FEW)
        affine = self._affinity_runner(runners, work, snapshot)
        return few if affine is None or affine in few else [*few, affine]

    def _affinity_runner(self, runners, work, snapshot):
        """Where the last shared part is read by all routers that know of no better place."""
        if work is None or not self.is_large():
            return None
        split = self._split(runners, work.pool, snapshot)
        shares = {}
        for runner in runners:
            if runner.phase == PREFILL:
                shares[runner] = 1.0
            elif split is not None and runner.name in split.mixed and not work.has_long_answer:
                shares[runner] = self.estimator.settings.decode_prefill_share
        return self.prefix_caches.affinity_runner(shares, work)

    def tick(self, now_us):
        """Drop what lapsed; each second renew what others know, and forget runners that are gone."""
        self.load.drop_lapsed(now_us)
        if not self.load.is_renewal_due(now_us):
            return
        names = set(self.roster.runners)
        self.load.forget_gone(names)
        self.backoff.forget_gone(names, now_us)
        self.prefix_caches.forget(names)
        self.plain.forget(names)
        self.estimator.forget(names)
        self.load.renew()

    def evaluate_candidates(self, work, ttft_us, without=(), room_us=NO_BOUND_US, is_overdue=False):
        candidates, now_us = [], self.node.now_us()
        snapshot = self._snapshot(work.pool)
        fit = self._sample(
            [runner for runner in snapshot.runners if runner.name not in without], work, snapshot
        )
        fit = [runner for runner in fit if not self.backoff.is_ejected(runner)] or fit
        split = self._split(fit, work.pool, snapshot)
        affine = self._affinity_runner(fit, work, snapshot)
        for runner in fit:
            queued = self.load.queued_tokens(runner)
            queue_wait_us = (
                self.load.queue_us(runner, queued, now_us)
                if runner.phase == PREFILL or work.pool is None
                else snapshot.start_us(runner)
            )
            uncached_tokens = self.prefix_caches.uncached_tokens(
                runner, work, has_affinity=runner is affine
            )
            execution_us = self.estimator.prefill_us(uncached_tokens, runner)
            transfer_us, start_us = (
                self._transfer_us(runner, work, without, snapshot)
                if runner.phase == PREFILL
                else (0, 0)
            )
            typical_us = self.estimator.prefill_us(
                max(work.typical_tokens, uncached_tokens), runner
            )
            candidate = Candidate(
                runner,
                queued,
                uncached_tokens,
                queue_wait_us,
                execution_us,
                transfer_us,
                start_us,
                ttft_us,
                room_us,
                is_overdue,
                typical_us,
            )
            if runner.phase == DECODE and split is not None:
                candidate.is_mixed = runner.name in split.mixed
                if not self._may_read_in_place(candidate, work, split):
                    candidate.is_eligible = False
            if self.load.work_at(runner).would_overtake(uncached_tokens, now_us):
                candidate.is_eligible = False
            candidates.append(candidate)
        return candidates

    def _split(self, fit, pool, snapshot):
        """How the decode runners of a pool are divided; None where nobody reads apart.

        Without a reader prompts are read in place, bounded by the targets alone (TaiChi, 3.2: any
        instance may read). Test: `test_the_last_runner_serves_short_prompts_beside_long_ones`.
        """
        if pool is None or not any(runner.phase == PREFILL for runner in fit):
            return None
        return snapshot.split

    def split_of(self, pool):
        """How the open decode runners of a pool are divided now."""
        return self._snapshot(pool).split

    def _divide(self, decoders):
        """How decode runners are divided.

        In a small fleet views come at once, so that each read can be weighed against the streams
        that it would meet; there none reads for others as a group. Neither does any while readers
        keep up: the streams of all would be crowded on a few, and slow each other down, beside
        decode runners that are idle
        (`test_streams_take_all_decode_runners_while_readers_keep_up`).
        """
        if not self.is_large() or not self._are_readers_behind():
            return DecoderSplit([runner.name for runner in decoders], ())
        streams = sum(self.load.work_at(runner).total().streams for runner in decoders)
        return split_decoders(decoders, streams, sum(map(self.load.kv_share, decoders)))

    def _are_readers_behind(self):
        """Whether reads wait longer at prefill runners than a read in place may take, as all routers saw lately."""
        return self.estimator.wait_us(PREFILL) > self.max_in_place_us

    def _may_read_in_place(self, candidate, work, split):
        """Whether a prompt may be read beside the streams of a decode runner.

        Those of short answers at the runners that read for others; any where its stream belongs,
        as long as queue and read are only a part of the tightest target.
        """
        if candidate.is_mixed:
            return not work.has_long_answer
        if self.is_large() and not self.estimator.knows_rate(DECODE):
            return False
        is_brief = candidate.queue_wait_us + candidate.execution_us <= self.max_in_place_us
        return is_brief and (work.has_long_answer or not split.mixed)

    def _least(self, candidates, worth):
        worths = [worth(candidate) for candidate in candidates]
        best = min(worths)
        ties = [one for one, its in zip(candidates, worths, strict=True) if its == best]
        return ties[0] if len(ties) == 1 else ties[self.node.ports.random.randrange(len(ties))]

    def fits(self, runner, tokens):
        """Whether a decode runner has memory for the prompt and for as much again, so that small ones still get in."""
        share = self.load.kv_share(runner)
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
        candidates = self.evaluate_candidates(work, ttft_us, without, room_us, is_overdue)
        self._keep_to_memory(candidates, work, without)
        if not self.has_decode(without, work.pool):
            candidates = [candidate for candidate in candidates if candidate.runner.phase == DECODE]
        eligible = [candidate for candidate in candidates if candidate.is_eligible]
        if not eligible:
            return Decision(candidates, None)
        return Decision(
            candidates, self._least(eligible, lambda candidate: self._ahead_us(candidate, work))
        )

    def choose_best_effort(self, work, ttft_us, why, without=(), room_us=NO_BOUND_US):
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
        """Those that take new work; of a pool, without those that rest after a rejection."""
        runners = self.roster.open_runners()
        if pool is None:
            return runners
        return self.backoff.rested([runner for runner in runners if runner.pool == pool])

    def _ahead_us(self, candidate, work):
        """What a runner has to read until this prompt is read: in tokens, or, in a pool whose parts read at paces of
        their own, as time; a read in place costs each stream of its runner that time, too."""
        if work.pool is None:
            return candidate.queued_tokens + candidate.uncached_tokens
        return candidate.total_us + self._unseen_us(candidate) + self._harm_us(candidate)

    def _unseen_us(self, candidate):
        """How long the reads that no view tells of in time are likely to take there."""
        if not self.is_large():
            return 0
        return max(0, self.estimator.wait_us(candidate.runner.phase) - candidate.queue_wait_us)

    def _harm_us(self, candidate):
        """What a read in place costs the streams of its runner; none where it is there to read."""
        if candidate.runner.phase != DECODE or candidate.is_mixed:
            return 0
        return self.load.work_at(candidate.runner).total().streams * candidate.execution_us

    def least_uncached_tokens(self, work):
        """What of a prompt no runner of its pool keeps, about."""
        if not work.parts:
            return work.prompt_tokens
        asked = PrefillWork(work.prompt_tokens, work.parts, work.pool)
        return min(
            (
                self.prefix_caches.uncached_tokens(runner, asked)
                for runner in self.open_runners(work.pool)
            ),
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
        return self._choose_decode(self._snapshot(pool), without, source, tokens, pool)

    def _choose_decode(self, snapshot, without, source, tokens, pool):
        runners = [runner for runner in snapshot.decoders if runner.name not in without]
        if not runners:
            return None
        runners = self._sample(self._prefer_decode_only(runners, pool, snapshot))
        if source is not None:
            times = {
                runner.name: self.estimator.transfer_us(tokens, source, runner)
                for runner in runners
            }
            most_us = SLOW * min(times.values()) + SLOW_US
            runners = [runner for runner in runners if times[runner.name] <= most_us]
        if pool is None:
            return self._least(runners, snapshot.kv_share)
        return self._least(
            runners,
            lambda runner: (snapshot.start_us(runner) // START_US, snapshot.kv_share(runner)),
        )

    def _prefer_decode_only(self, runners, pool, snapshot):
        """Of these decode runners, those that read for nobody else, if there are any."""
        if pool is None:
            return runners
        names = snapshot.split.decode_only
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
        wait_us = self.load.queue_us(runner, self.load.queued_tokens(runner), now_us)
        if not runner.slots:
            return wait_us
        over = self.load.work_at(runner).total().streams + 1 - runner.slots
        return wait_us + max(0, over) * int(self.estimator.stream_us) // runner.slots

    def _transfer_us(self, source, work, without, snapshot):
        """How long the transfer to the decode runner that would be chosen takes, and its start."""
        target = self._target_of(source, work, without, snapshot)
        is_waited_for = target is not None and work.pool is not None
        start_us = snapshot.start_us(target) if is_waited_for else 0
        return self.estimator.transfer_us(work.tokens, source, target), start_us

    def _target_of(self, source, work, without, snapshot):
        if self.is_plain(work.pool):
            return self._choose_plain(without, work.pool)
        return self._choose_decode(snapshot, without, source, work.tokens, work.pool)

    def note_decode_start(self, source, target, tokens, seen_us):
        """A decode began after its hand-over; a runner short of memory tells nothing of the link."""
        if self.load.kv_share(target) >= FULL_SHARE:
            return
        news = self.estimator.note_transfer(source, target, tokens, seen_us)
        for peer in self.peers() if news else ():
            self.node.send(peer.address, LinkSample(*news))

    def on_link_sample(self, message):
        """Learn how slow a link is from a hand-over of another router."""
        self.estimator.links.learn(message.pair, message.zones, message.factor)

    def begin_prefill(self, runner, attempt, work):
        now_us = self.node.now_us()
        tokens = self.prefix_caches.uncached_tokens(runner, work)
        is_queued = self.load.queued_tokens(runner) > tokens // 4
        work_there = self.load.work_at(runner)
        work_there.prefills[attempt] = tokens
        work_there.sent_us, work_there.sent_tokens = now_us, tokens
        work_there.predictions[attempt] = (0 if is_queued else tokens, now_us)
        self.load.on_changed(runner, work_there, work.parts[:-1])
        self.prefix_caches.note(runner, work.parts)
        self.estimator.note_prompt(tokens)

    def end_prefill(self, runner, attempt, is_seen=False):
        work_there = self.load.work_at(runner)
        if work_there.prefills.pop(attempt, None) is None:
            return
        alone_tokens, begun_us = work_there.predictions.pop(attempt)
        self.load.on_changed(runner, work_there)
        if is_seen and not self.load.is_isolated():
            self.estimator.note_prefill(
                runner.name,
                runner.phase,
                alone_tokens,
                self.node.now_us() - begun_us,
            )

    def begin_decode(self, runner, attempt, tokens):
        work_there = self.load.work_at(runner)
        if runner.pool is not None and attempt not in work_there.prefills:
            work_there.starts.add(attempt)
        work_there.decodes[attempt] = tokens
        self.load.on_changed(runner, work_there)

    def grow_decode(self, runner, attempt, tokens):
        work_there = self.load.work_at(runner)
        if attempt in work_there.starts:
            work_there.starts.discard(attempt)
            self.load.on_changed(runner, work_there)
        if attempt in work_there.decodes:
            work_there.decodes[attempt] += tokens

    def end_decode(self, runner, attempt):
        work_there = self.load.work_at(runner)
        work_there.starts.discard(attempt)
        if work_there.decodes.pop(attempt, None) is not None:
            self.load.on_changed(runner, work_there)
