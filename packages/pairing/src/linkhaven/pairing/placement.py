"""Placement: which runner prefills a prompt, and which one decodes its answer.

Follows TaiChi ("Prefill-Decode Aggregation or Disaggregation? Unifying Both for Goodput-Optimized
LLM Serving", 2025), Algorithm 2; docs/taichi.md lists the differences. The steps of a choice:

| step | method | what it decides |
| --- | --- | --- |
| filter | `open_runners`, `_sample` | the runners in service; in large fleets a random sample |
| estimate | `evaluate_candidates` | queue, prefill, transfer and start times, see `Estimator` |
| eligibility | `Candidate`, `_may_prefill_in_place`, `_require_memory` | answers in time |
| selection | `choose`, `_selection_cost` | the eligible one of least cost; ties at random |
| late requests | `choose_best_effort` | whether one may join a queue, or keeps waiting |
| decode | `choose_decode` | the least used of the decode runners with a fast link |

State is owned by `LoadView`, `RunnerBackoff`, `PrefixCacheView`, `Estimator` and `PlainScheduler`.
"""

from linkhaven.configuration import Configuration
from linkhaven.runner.roster import DECODE, PREFILL

from .candidate import Candidate, Decision
from .decoders import DecoderSplit, split_decoders
from .estimator import Estimator
from .load_view import LoadView
from .messages import LinkSample, QueueViews, RunnerEjected
from .plain_scheduler import PlainScheduler
from .pool_snapshot import PoolSnapshot
from .prefix_cache import PrefillWork, PrefixCacheView
from .runner_backoff import RunnerBackoff

NO_BOUND_US = 1 << 62
"""Stands for an unlimited duration."""

SLOW_TRANSFER_FACTOR = 4
SLOW_TRANSFER_MARGIN_US = 20_000
"""A decode runner is excluded if the transfer of the KV cache to it takes longer than
`SLOW_TRANSFER_FACTOR` times that to the fastest one, plus this margin."""

NEARLY_FULL_KV_SHARE = 0.9
"""Above this share of KV cache in use, the delay of a decode may be due to a lack of memory."""

IN_PLACE_SHARE = 0.25
"""Queue and prefill of a prompt on a decode runner may take this part of the tightest target."""

SAMPLE_SIZE = 4
"""The number of runners of each role that are evaluated in a large fleet."""

LINK_SAMPLE_FANOUT = 8
"""The number of other routers that are told of a slow link in a large fleet: told all of them, each
router would get a message for nearly every request of the fleet."""

START_INTERVAL_US = 50_000
"""Decode runners whose streams would start in the same interval of this length count as equal."""


class PlacementPolicy:
    """Chooses runners for prefill and decode, and tracks the work that is outstanding at each."""

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
        """`peers()`: the other running routers. Registers the node's handlers and tick."""
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
        node.tick_handlers.append(self.tick)

    def is_large(self):
        """Whether other routers' queues are known only with a delay, see `LoadView.is_large`."""
        return self.load.is_large()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Adopt the configuration's placement settings and its tightest time to first token."""
        self.estimator.settings = configuration.placement
        targets = (kind.ttft_us for kind in configuration.kinds.values())
        tightest_us = min(targets, default=NO_BOUND_US)
        self.max_in_place_us = int(tightest_us * IN_PLACE_SHARE)

    def _note_plain_pools(self):
        self.plain_pools = frozenset(
            runner.pool for runner in self.roster.runners.values() if runner.is_plain()
        )

    def is_plain(self, pool):
        """Whether the runners of a pool have no engine, so that no prompt is prefilled for it."""
        return pool in self.plain_pools

    def prefill_rate(self):
        """Return how many prompt tokens per second all open runners together can prefill."""
        if self.estimator.settings is None:
            return 0
        rate_of = self.estimator.known_rate if self.is_large() else self.estimator.planned_rate
        return sum(rate_of(runner.phase) for runner in self.roster.open_runners())

    def _snapshot(self, pool):
        """Return the present state of a pool's runners, for use within one choice."""
        now_us = self.node.now_us()
        return PoolSnapshot(
            self.open_runners(pool),
            self._divide_decoders,
            lambda runner: self._start_us(runner, now_us),
            self.load.kv_share,
        )

    def _sample(self, runners, work=None, snapshot=None):
        """Sample the runners of each role in a large fleet; keep the prompt's affinity runner."""
        if not self.is_large():
            return runners
        sampled = []
        for phase in (PREFILL, DECODE):
            of_role = [runner for runner in runners if runner.phase == phase]
            sampled += (
                of_role
                if len(of_role) <= SAMPLE_SIZE
                else self.node.ports.random.sample(of_role, SAMPLE_SIZE)
            )
        affine = self._affinity_runner(runners, work, snapshot)
        return sampled if affine is None or affine in sampled else [*sampled, affine]

    def _affinity_runner(self, runners, work, snapshot):
        """Return the runner with cache affinity to the prompt's last shared part, or None.

        All routers prefill the part there that know of no better place.
        """
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
        """Drop expired reports; each second renew our own and forget runners that are gone."""
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
        """Return a `Candidate` with estimated times for each sampled runner not in `without`.

        `ttft_us`, `room_us` and `is_overdue` are as in `Candidate`.
        """
        candidates, now_us = [], self.node.now_us()
        snapshot = self._snapshot(work.pool)
        usable = self._sample(
            [runner for runner in snapshot.runners if runner.name not in without], work, snapshot
        )
        usable = [runner for runner in usable if not self.backoff.is_ejected(runner)] or usable
        split = self._split(usable, work.pool, snapshot)
        affine = self._affinity_runner(usable, work, snapshot)
        for runner in usable:
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
                if not self._may_prefill_in_place(candidate, work, split):
                    candidate.is_eligible = False
            if self.load.work_at(runner).would_overtake(uncached_tokens, now_us):
                candidate.is_eligible = False
            candidates.append(candidate)
        return candidates

    def _split(self, usable, pool, snapshot):
        """Return how the decode runners of a pool are divided, or None without a prefill runner.

        Then prompts are prefilled in place, bounded by the targets alone (TaiChi, 3.2: any instance
        may prefill). Test: `test_the_last_runner_serves_short_prompts_beside_long_ones`.
        """
        if pool is None or not any(runner.phase == PREFILL for runner in usable):
            return None
        return snapshot.split

    def split_of(self, pool):
        """Return how the open decode runners of a pool are divided now."""
        return self._snapshot(pool).split

    def _divide_decoders(self, decoders):
        """Divide decode runners into decode-only and mixed ones.

        In a small fleet other routers' work is known at once, so that each prefill is weighed
        against the streams that it would delay; all runners are decode-only there. So are they
        while the prefill runners keep up: otherwise all streams would be crowded on a few
        runners and slow each other down, beside idle decode runners.
        Test: `test_streams_take_all_decode_runners_while_readers_keep_up`.
        """
        if not self.is_large() or not self._are_prefill_runners_behind():
            return DecoderSplit([runner.name for runner in decoders], ())
        streams = sum(self.load.work_at(runner).total().streams for runner in decoders)
        return split_decoders(decoders, streams, sum(map(self.load.kv_share, decoders)))

    def _are_prefill_runners_behind(self):
        """Whether prompts lately waited longer at prefill runners than one in place may take.

        The wait is the mean that all routers measured.
        """
        return self.estimator.wait_us(PREFILL) > self.max_in_place_us

    def _may_prefill_in_place(self, candidate, work, split):
        """Whether a prompt may be prefilled on a decode runner.

        On a mixed runner one with a short answer may be. On a decode-only runner any prompt may be
        that itself is decoded there, as long as queue and prefill take no more than
        `max_in_place_us`.
        """
        if candidate.is_mixed:
            return not work.has_long_answer
        if self.is_large() and not self.estimator.knows_rate(DECODE):
            return False
        is_brief = candidate.queue_wait_us + candidate.execution_us <= self.max_in_place_us
        return is_brief and (work.has_long_answer or not split.mixed)

    def _pick_least(self, candidates, cost_of):
        costs = [cost_of(candidate) for candidate in candidates]
        best = min(costs)
        ties = [one for one, cost in zip(candidates, costs, strict=True) if cost == best]
        return ties[0] if len(ties) == 1 else ties[self.node.ports.random.randrange(len(ties))]

    def fits(self, runner, tokens):
        """Whether a decode runner has KV cache for twice this many tokens.

        The surplus keeps room for small prompts. An empty runner fits any prompt.
        """
        share = self.load.kv_share(runner)
        return share <= 0 or share + 2 * tokens / runner.kv_total <= 1

    def _require_memory(self, candidates, work, without):
        usable = {
            runner.name
            for runner in self.open_runners(work.pool)
            if runner.phase == DECODE
            and runner.name not in without
            and self.fits(runner, work.tokens)
        }
        for candidate in candidates:
            has_memory = (
                bool(usable)
                if candidate.runner.phase == PREFILL
                else candidate.runner.name in usable
            )
            candidate.has_memory = has_memory
            candidate.is_eligible = candidate.is_eligible and has_memory

    def choose(self, work, ttft_us, without=(), room_us=NO_BOUND_US, is_overdue=False):
        """Choose the runner that prefills a prompt in time; the decision has no winner without one.

        `without`: names of runners that are left out, as they failed the request before.
        """
        candidates = self.evaluate_candidates(work, ttft_us, without, room_us, is_overdue)
        self._require_memory(candidates, work, without)
        if not self.has_decode(without, work.pool):
            candidates = [candidate for candidate in candidates if candidate.runner.phase == DECODE]
        eligible = [candidate for candidate in candidates if candidate.is_eligible]
        if not eligible:
            return Decision(candidates, None)
        return Decision(
            candidates,
            self._pick_least(eligible, lambda candidate: self._selection_cost(candidate, work)),
        )

    def choose_best_effort(self, work, ttft_us, why, without=(), room_us=NO_BOUND_US):
        """Choose a runner for a prompt even if none can answer in time.

        A late request must not make others late: it joins a queue only while that is shorter than
        a part of `room_us`, the tightest target of the others. The decision has no winner where
        all queues are longer. `why` names the reason; it is counted in `exceptions`.
        """
        decision = self.choose(work, ttft_us, without, room_us)
        if decision.winner is not None:
            return decision
        prefill_candidates = [each for each in decision.candidates if each.runner.phase == PREFILL]
        is_left_to_prefill_runners = prefill_candidates and work.pool is not None
        usable = [
            candidate
            for candidate in (
                prefill_candidates if is_left_to_prefill_runners else decision.candidates
            )
            if candidate.has_room
        ]
        if not usable:
            return decision
        decision.winner = self._pick_least(usable, lambda candidate: candidate.total_us)
        decision.exception = why
        self.exceptions[why] = self.exceptions.get(why, 0) + 1
        return decision

    def open_runners(self, pool=None):
        """Return the runners that take new work; of a pool, without those in backoff."""
        runners = self.roster.open_runners()
        if pool is None:
            return runners
        return self.backoff.rested([runner for runner in runners if runner.pool == pool])

    def _selection_cost(self, candidate, work):
        """Return the cost by which candidates are compared.

        Without pools it is the prompt tokens that the runner has to prefill up to the end of this
        one. In a pool, whose roles prefill at rates of their own, it is the time to the first
        token; prefill in place also costs that time for each stream of its runner.
        """
        if work.pool is None:
            return candidate.queued_tokens + candidate.uncached_tokens
        return (
            candidate.total_us
            + self._unreported_wait_us(candidate)
            + self._stream_delay_us(candidate)
        )

    def _unreported_wait_us(self, candidate):
        """Return the expected wait for prefills that were not reported in time, in microseconds."""
        if not self.is_large():
            return 0
        return max(0, self.estimator.wait_us(candidate.runner.phase) - candidate.queue_wait_us)

    def _stream_delay_us(self, candidate):
        """Return the total delay that prefill in place causes the runner's streams.

        It is 0 on prefill runners and mixed ones.
        """
        if candidate.runner.phase != DECODE or candidate.is_mixed:
            return 0
        return self.load.work_at(candidate.runner).total().streams * candidate.execution_us

    def least_uncached_tokens(self, work):
        """Return how many of a prompt's tokens the best prefix cache of its pool lacks."""
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
        """Whether any open decode runner of a pool is not among the names `without`."""
        return any(
            runner.phase == DECODE and runner.name not in without
            for runner in self.open_runners(pool)
        )

    def choose_decode(self, without=(), source=None, tokens=0, pool=None):
        """Choose a decode runner, or None where none is open.

        Those with a clearly slower link from `source`, which holds the KV cache of `tokens`, are
        left out. In a pool the one that starts the stream soonest is taken, of equal ones that
        with the least KV cache in use.
        """
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
            most_us = SLOW_TRANSFER_FACTOR * min(times.values()) + SLOW_TRANSFER_MARGIN_US
            runners = [runner for runner in runners if times[runner.name] <= most_us]
        if pool is None:
            return self._pick_least(runners, snapshot.kv_share)
        return self._pick_least(
            runners,
            lambda runner: (
                snapshot.start_us(runner) // START_INTERVAL_US,
                snapshot.kv_share(runner),
            ),
        )

    def _prefer_decode_only(self, runners, pool, snapshot):
        """Return the decode-only ones of these runners, or all of them where there are none."""
        if pool is None:
            return runners
        names = snapshot.split.decode_only
        return [runner for runner in runners if runner.name in names] or runners

    def _choose_plain(self, without, pool):
        """Choose an open runner without an engine, or None."""
        runners = [
            runner
            for runner in self.open_runners(pool)
            if runner.is_plain() and runner.name not in without
        ]
        return self.plain.choose(runners)

    def _start_us(self, runner, now_us):
        """Return how long a decode waits for the prefills queued there and for a free slot."""
        wait_us = self.load.queue_us(runner, self.load.queued_tokens(runner), now_us)
        if not runner.slots:
            return wait_us
        over = self.load.work_at(runner).total().streams + 1 - runner.slots
        return wait_us + max(0, over) * int(self.estimator.stream_us) // runner.slots

    def _transfer_us(self, source, work, without, snapshot):
        """Return the transfer time to the decode runner to be chosen, and its start delay."""
        target = self._decode_target(source, work, without, snapshot)
        is_waited_for = target is not None and work.pool is not None
        start_us = snapshot.start_us(target) if is_waited_for else 0
        return self.estimator.transfer_us(work.tokens, source, target), start_us

    def _decode_target(self, source, work, without, snapshot):
        if self.is_plain(work.pool):
            return self._choose_plain(without, work.pool)
        return self._choose_decode(snapshot, without, source, work.tokens, work.pool)

    def note_decode_start(self, source, target, tokens, seen_us):
        """Learn the link's speed from a decode that began after its KV transfer.

        Ignored where the target was short of KV cache, since that may have delayed the start.
        """
        if self.load.kv_share(target) >= NEARLY_FULL_KV_SHARE:
            return
        sample = self.estimator.note_transfer(source, target, tokens, seen_us)
        for peer in self._link_sample_receivers() if sample else ():
            self.node.send(peer.address, LinkSample(*sample))

    def _link_sample_receivers(self):
        """Return the routers that a sample of a link's speed is sent to; all in a small fleet."""
        peers = self.peers()
        if not self.is_large():
            return peers
        return self.node.ports.random.sample(list(peers), LINK_SAMPLE_FANOUT)

    def on_link_sample(self, message):
        """Learn how slow a link is from a transfer that another router measured."""
        self.estimator.links.learn(message.pair, message.zones, message.factor)

    def begin_prefill(self, runner, attempt, work):
        """Note that an attempt's prompt is sent to a runner to be prefilled."""
        now_us = self.node.now_us()
        tokens = self.prefix_caches.uncached_tokens(runner, work)
        is_queued = self.load.queued_tokens(runner) > tokens // 4
        outstanding = self.load.work_at(runner)
        outstanding.prefills[attempt] = tokens
        outstanding.sent_us, outstanding.sent_tokens = now_us, tokens
        outstanding.predictions[attempt] = (0 if is_queued else tokens, now_us)
        self.load.on_changed(runner, outstanding, work.parts[:-1])
        self.prefix_caches.note(runner, work.parts)
        self.estimator.note_prompt(tokens)

    def end_prefill(self, runner, attempt, is_seen=False):
        """Note that a prefill has ended; `is_seen`: learn from its measured duration."""
        outstanding = self.load.work_at(runner)
        if outstanding.prefills.pop(attempt, None) is None:
            return
        alone_tokens, begun_us = outstanding.predictions.pop(attempt)
        self.load.on_changed(runner, outstanding)
        if is_seen and not self.load.is_isolated():
            self.estimator.note_prefill(
                runner.name,
                runner.phase,
                alone_tokens,
                self.node.now_us() - begun_us,
            )

    def begin_decode(self, runner, attempt, tokens):
        """Note that an attempt decodes at a runner, with `tokens` of KV cache."""
        outstanding = self.load.work_at(runner)
        if runner.pool is not None and attempt not in outstanding.prefills:
            outstanding.starts.add(attempt)
        outstanding.decodes[attempt] = tokens
        self.load.on_changed(runner, outstanding)

    def grow_decode(self, runner, attempt, tokens):
        """Note that a stream has begun, or grown by `tokens` of KV cache."""
        outstanding = self.load.work_at(runner)
        if attempt in outstanding.starts:
            outstanding.starts.discard(attempt)
            self.load.on_changed(runner, outstanding)
        if attempt in outstanding.decodes:
            outstanding.decodes[attempt] += tokens

    def end_decode(self, runner, attempt):
        """Note that a stream has ended."""
        outstanding = self.load.work_at(runner)
        outstanding.starts.discard(attempt)
        if outstanding.decodes.pop(attempt, None) is not None:
            self.load.on_changed(runner, outstanding)
