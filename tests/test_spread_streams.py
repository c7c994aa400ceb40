"""Streams are spread over the decode runners of a large fleet, as long as readers keep up.

On ostrander-halls-large at whole size (195 routers; quiet-1, trial 1c27340e) 5 of 19 decode runners
took 180 of 181 streams: pieces came late, and some answers were cut at their deadline.
"""

from test_placement_cost import POOL, policy_over

from linkhaven.pairing import PrefillWork
from linkhaven.runner.roster import PREFILL

READERS, DECODERS, STREAMS = 10, 19, 90
PEERS = [None] * 20
READ_US = 20_000


def large_policy():
    policy = policy_over(READERS, DECODERS)
    policy.load.peers = lambda: PEERS
    policy.max_in_place_us = 200_000
    return policy


def decode_runners_of(policy, streams):
    """How many decode runners take so many streams that begin one after the other."""
    taken = set()
    for number in range(streams):
        runner = policy.choose_decode(tokens=1_000, pool=POOL)
        policy.begin_decode(runner, f"stream-{number}", 1_000)
        taken.add(runner.name)
    return len(taken)


def let_reads_wait(policy, wait_us):
    """Readers are seen to read some sizes, and then to take longer by a wait."""
    for tokens in (500, 2_000, 8_000) * 5:
        policy.estimator.note_prefill("runner-0", PREFILL, tokens, READ_US + tokens * 20)
    for _ in range(40):
        policy.estimator.note_prefill("runner-0", PREFILL, 2_000, READ_US + 40_000 + wait_us)


def test_streams_take_all_decode_runners_while_readers_keep_up():
    policy = large_policy()
    let_reads_wait(policy, 0)
    assert decode_runners_of(policy, STREAMS) == DECODERS


def test_some_decode_runners_read_for_others_while_readers_are_behind():
    policy = large_policy()
    let_reads_wait(policy, 900_000)
    assert decode_runners_of(policy, STREAMS) < DECODERS
    candidates = policy.evaluate_candidates(
        PrefillWork(500, (), POOL, has_long_answer=False), 800_000
    )
    assert any(candidate.is_mixed for candidate in candidates)
