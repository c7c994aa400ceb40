"""Streams are spread over all decode runners of a large fleet while prefill runners keep up.

On ostrander-halls-large at full size (195 routers; quiet-1, trial 1c27340e) 5 of 19 decode runners
got 180 of 181 streams: pieces came late, and some answers were cut off at their deadline.
"""

from test_placement_cost import POOL, make_policy

from linkhaven.pairing import PrefillWork
from linkhaven.runner.roster import PREFILL

PREFILL_RUNNERS, DECODE_RUNNERS, STREAMS = 10, 19, 90
PEERS = [None] * 20
BASE_US = 20_000


def large_policy():
    policy = make_policy(PREFILL_RUNNERS, DECODE_RUNNERS)
    policy.load.peers = lambda: PEERS
    policy.max_in_place_us = 200_000
    return policy


def num_decode_runners_used(policy, streams):
    """Return how many decode runners get this many streams that begin one after another."""
    taken = set()
    for number in range(streams):
        runner = policy.choose_decode(tokens=1_000, pool=POOL)
        policy.begin_decode(runner, f"stream-{number}", 1_000)
        taken.add(runner.name)
    return len(taken)


def note_prefills(policy, wait_us):
    """Note prefills of several sizes, then some that took longer by `wait_us`."""
    for tokens in (500, 2_000, 8_000) * 5:
        policy.estimator.note_prefill("runner-0", PREFILL, tokens, BASE_US + tokens * 20)
    for _ in range(40):
        policy.estimator.note_prefill("runner-0", PREFILL, 2_000, BASE_US + 40_000 + wait_us)


def test_streams_take_all_decode_runners_while_readers_keep_up():
    policy = large_policy()
    note_prefills(policy, 0)
    assert num_decode_runners_used(policy, STREAMS) == DECODE_RUNNERS


def test_some_decode_runners_are_mixed_while_prefill_runners_are_behind():
    policy = large_policy()
    note_prefills(policy, 900_000)
    assert num_decode_runners_used(policy, STREAMS) < DECODE_RUNNERS
    candidates = policy.evaluate_candidates(
        PrefillWork(500, (), POOL, has_long_answer=False), 800_000
    )
    assert any(candidate.is_mixed for candidate in candidates)
