"""Learned prefill times, alone and from other routers, and the affinity of prompt parts."""

import random
from types import SimpleNamespace

import pytest

from linkhaven.configuration import PlacementSettings
from linkhaven.controller.figure_relay import FigureRelay
from linkhaven.pairing import PrefillWork
from linkhaven.pairing.decoders import MIN_DECODE_ONLY, split_decoders
from linkhaven.pairing.estimator import Estimator
from linkhaven.pairing.line_fit import LineFit
from linkhaven.pairing.prefix_cache import PrefixCacheView
from linkhaven.pairing.recent_mean import RecentMean
from linkhaven.runner.roster import DECODE, PREFILL, Runner

SECOND = 1_000_000
BASE_US, TOKEN_US = 18_000, 3.0
SETTINGS = PlacementSettings(
    prefill_tokens_per_s=0, decode_prefill_share=0.5, prefill_base_us=15_000
)


def runner(name, phase=PREFILL, slots=12):
    one = Runner(name, "10.0.0.1:80", "z", 1)
    one.phase, one.slots = phase, slots
    return one


def true_us(tokens):
    return BASE_US + tokens * TOKEN_US


class Fleet:
    """The estimators of several routers on one clock, which exchange their sums."""

    def __init__(self, count, are_views_late=True):
        self.now = SECOND
        self.estimators = [
            Estimator(lambda: self.now, lambda: are_views_late) for _ in range(count)
        ]
        for estimator in self.estimators:
            estimator.settings = SETTINGS

    def exchange_sums(self):
        sums = FigureRelay(SimpleNamespace(tick_handlers=[], now_us=lambda: self.now), "lines")
        for number, estimator in enumerate(self.estimators):
            sums.on_watch_request({"name": number, "lines": estimator.own_rows()})
        for number, estimator in enumerate(self.estimators):
            estimator.take_others(sums.of_others(number))


def test_before_any_prefill_no_rate_is_known():
    estimator = Fleet(1).estimators[0]
    assert estimator.prefill_us(9_000, runner("r")) == 0 and estimator.known_rate(PREFILL) == 0
    assert not estimator.knows_rate(DECODE)
    estimator.note_prefill("r", PREFILL, 9_000, 30_000)
    assert estimator.prefill_us(9_000, runner("r")) == 30_000 and estimator.knows_rate(DECODE)
    assert estimator.prefill_us(9_000, runner("d", DECODE)) == 60_000


def test_a_small_fleet_uses_the_default_rate_before_a_line_is_learned():
    estimator = Fleet(1, are_views_late=False).estimators[0]
    default_us = estimator.prefill_us(9_000, runner("r"))
    assert default_us > 400_000
    estimator.note_prefill("r", PREFILL, 9_000, 30_000)
    assert estimator.prefill_us(9_000, runner("r")) > 0.8 * default_us
    estimator.note_prefill("r", PREFILL, 200, 19_000)
    assert estimator.prefill_us(9_000, runner("r")) < 60_000


@pytest.mark.parametrize("seed", range(10))
def test_a_router_without_samples_learns_from_the_other_routers(seed):
    rng, fleet = random.Random(seed), Fleet(20)
    for estimator in fleet.estimators[1:]:
        for _ in range(3):
            tokens = rng.choice((200, 2_000, 9_000))
            estimator.note_prefill("r", PREFILL, tokens, true_us(tokens))
    fleet.exchange_sums()
    for tokens in (200, 5_000, 12_000):
        estimated_us = fleet.estimators[0].prefill_us(tokens, runner("other"))
        assert abs(estimated_us - true_us(tokens)) < 0.1 * true_us(tokens)
    fleet.now += 60 * SECOND
    fleet.exchange_sums()
    assert not fleet.estimators[0].others


@pytest.mark.parametrize("seed", range(10))
def test_with_unknown_queues_the_line_follows_prefills_that_did_not_wait(seed):
    rng, fleet = random.Random(seed), Fleet(1)
    estimator = fleet.estimators[0]
    for _ in range(400):
        fleet.now += 20_000
        tokens = rng.choice((200, 2_000, 9_000))
        queue_us = 0 if rng.random() < 0.4 else rng.randrange(300_000)
        estimator.note_prefill("r", PREFILL, tokens, true_us(tokens) + queue_us)
    assert estimator.prefill_us(9_000, runner("r")) < 2.5 * true_us(9_000)
    assert 30_000 < estimator.wait_us(PREFILL) < 200_000
    fleet.now += 30 * SECOND
    assert estimator.wait_us(PREFILL) == 0


def note_prefills_that_mostly_wait(fleet, rng, sizes):
    """Note prefills at all routers, of which a third meets no queue; return their mean wait."""
    waits_us = []
    for _ in range(60):
        for estimator in fleet.estimators:
            tokens = rng.choice(sizes)
            wait_us = 0 if rng.random() < 1 / 3 else rng.randrange(600_000)
            waits_us.append(wait_us)
            estimator.note_prefill("r", PREFILL, tokens, true_us(tokens) + wait_us)
        fleet.now += 20_000
        fleet.exchange_sums()
    return sum(waits_us) / len(waits_us)


@pytest.mark.parametrize("seed", range(10))
def test_waits_are_told_from_slow_prefills_where_sizes_differ_by_half(seed):
    fleet = Fleet(20)
    mean_wait_us = note_prefills_that_mostly_wait(
        fleet, random.Random(seed), (5_000, 7_500, 10_000)
    )
    estimator = fleet.estimators[0]
    assert estimator.wait_us(PREFILL) > mean_wait_us / 2
    assert estimator.prefill_us(7_500, runner("other")) < 2.5 * true_us(7_500)


@pytest.mark.parametrize("seed", range(10))
def test_waits_are_told_from_slow_prefills_where_sizes_are_alike(seed):
    fleet = Fleet(20)
    mean_wait_us = note_prefills_that_mostly_wait(fleet, random.Random(seed), (7_500,))
    estimator = fleet.estimators[0]
    assert estimator.wait_us(PREFILL) > mean_wait_us / 2
    assert estimator.prefill_us(7_500, runner("other")) < 2.5 * true_us(7_500)


@pytest.mark.parametrize("seed", range(10))
def test_summed_rows_of_many_fits_give_the_line_of_all_samples(seed):
    rng = random.Random(seed)
    fits = [LineFit() for _ in range(5)]
    for fit in fits:
        for _ in range(20):
            tokens = rng.choice((100, 400, 9_000, 12_000))
            fit.note(tokens, true_us(tokens))
    rows = [sum(parts) for parts in zip(*(fit.as_row() for fit in fits[1:]), strict=True)]
    base_us, token_us = fits[0].plus(rows).line()
    assert abs(base_us - BASE_US) < 400 and abs(token_us - TOKEN_US) < 0.1
    assert LineFit().line() is None and LineFit().rough_line() is None


def test_a_recent_mean_sums_and_decays():
    one, other = RecentMean(), RecentMean()
    one.note(100, SECOND)
    other.note(300, SECOND)
    assert one.with_others(other.as_row(SECOND), SECOND) == 200
    assert one.with_others((), 20 * SECOND) == 0


@pytest.mark.parametrize("count", range(1, 24))
def test_the_division_of_decode_runners_is_independent_of_their_order(count):
    runners = [runner(f"i-{number}", DECODE) for number in range(count)]
    rng = random.Random(count)
    split = split_decoders(runners, 3, 0.0)
    for _ in range(5):
        rng.shuffle(runners)
        again = split_decoders(runners, 3, 0.0)
        assert (again.decode_only, again.mixed) == (split.decode_only, split.mixed)
    assert len(split.decode_only) == min(count, MIN_DECODE_ONLY)
    assert not split.decode_only & split.mixed


@pytest.mark.parametrize(
    "streams, held_kv, decode_only",
    [(0, 0.0, 2), (13, 0.0, 2), (14, 0.0, 3), (40, 0.0, 6), (500, 0.0, 10), (0, 3.0, 5)],
)
def test_decode_only_runners_are_as_many_as_streams_and_memory_need(streams, held_kv, decode_only):
    runners = [runner(f"i-{number}", DECODE) for number in range(10)]
    split = split_decoders(runners, streams, held_kv)
    assert (len(split.decode_only), len(split.mixed)) == (decode_only, 10 - decode_only)


def test_without_known_slots_no_runner_is_mixed():
    assert not split_decoders([runner("a", DECODE, 0), runner("b", DECODE, 0)], 0, 0.0).mixed


def work(number):
    return PrefillWork(
        9_000, ((f"top-{number % 4}", 2_500), (f"mid-{number}", 3_800), ("own", 2_700))
    )


def test_affinity_follows_the_shares_and_moves_little_when_a_runner_leaves():
    caches = PrefixCacheView()
    shares = {runner(f"i-{number}"): 1.0 if number < 8 else 0.5 for number in range(16)}
    affinities = {
        number: caches.affinity_runner(shares, work(number)).name for number in range(4_000)
    }
    counts = {one.name: list(affinities.values()).count(one.name) for one in shares}
    for one, share in shares.items():
        assert 0.8 * 4_000 * share / 12 < counts[one.name] < 1.2 * 4_000 * share / 12
    lost = next(iter(shares))
    rest = {one: share for one, share in shares.items() if one is not lost}
    for number, name in affinities.items():
        if name != lost.name:
            assert caches.affinity_runner(rest, work(number)).name == name
    assert (
        caches.affinity_runner({}, work(1)) is None
        and caches.affinity_runner(shares, PrefillWork(5, (("own", 5),))) is None
    )


def test_shared_parts_count_as_cached_with_affinity_else_only_after_a_prefill():
    caches, there, other = PrefixCacheView(), runner("a"), runner("b")
    assert caches.uncached_tokens(there, work(1)) == 9_000
    assert caches.uncached_tokens(there, work(1), has_affinity=True) == 2_700
    caches.note(other, work(5).parts[:1])
    assert caches.uncached_tokens(other, work(1)) == 6_500
    assert caches.uncached_tokens(other, work(2)) == 9_000
