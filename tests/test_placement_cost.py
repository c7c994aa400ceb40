"""The cost of a placement grows only with the number of runners that are evaluated.

A router gets a fraction of a processor. On small replicas of the shared deployments (0.12 of one) a
placement took 4.5 ms of it, so that streams paused for longer than their target.
"""

import random
import sys
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from linkhaven.configuration import PlacementSettings
from linkhaven.pairing import OutstandingWork, PlacementPolicy, PrefillWork
from linkhaven.pairing.line_fit import LineFit
from linkhaven.pairing.outstanding_work import WorkFigures
from linkhaven.pairing.placement import LINK_SAMPLE_FANOUT
from linkhaven.runner import Runner
from linkhaven.runner.roster import DECODE, PREFILL

FIGURES = st.builds(WorkFigures, *[st.integers(0, 9)] * 4)
POOL = "models"
PEERS = ("a", "b", "c")
LIFETIME_US = 5


def count_calls(function):
    """Return how many Python and built-in functions a call runs."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


def work_reported_by(peers):
    work = OutstandingWork()
    for number in range(peers):
        work.take_report(f"router-{number}", WorkFigures(1, 100, 200, 1), 1_000_000, 0)
    return work


def test_total_costs_the_same_for_any_number_of_reporting_routers():
    few, many = work_reported_by(2), work_reported_by(60)
    assert count_calls(many.total) == count_calls(few.total)
    assert many.total() == WorkFigures(60, 6_000, 12_000, 60)


@given(st.lists(st.tuples(st.sampled_from(PEERS), st.none() | FIGURES, st.integers(0, 3))))
def test_total_is_the_sum_of_unexpired_reports(steps):
    """Reports are replaced, dropped and expire in any order."""
    work, now_us, expected = OutstandingWork(), 0, {}
    for peer, figures, passed_us in steps:
        now_us += passed_us
        work.drop_lapsed(now_us)
        expected = {name: row for name, row in expected.items() if now_us < row[1]}
        if figures is None:
            work.drop_report(peer, now_us)
            expected.pop(peer, None)
        else:
            work.take_report(peer, figures, now_us + LIFETIME_US, now_us)
            expected[peer] = (figures, now_us + LIFETIME_US)
        sums = [sum(column) for column in zip(*(row[0] for row in expected.values()), strict=True)]
        assert list(work.total()) == (sums or [0, 0, 0, 0])


def make_runner(number, phase):
    runner = Runner(f"runner-{number}", f"10.0.0.{number}:1", "north", 1)
    runner.phase, runner.pool, runner.slots, runner.kv_total = phase, POOL, 48, 380_000
    return runner


def make_policy(prefill_runners, decode_runners):
    """A placement policy that knows these runners and no outstanding work."""
    phases = [PREFILL] * prefill_runners + [DECODE] * decode_runners
    runners = [make_runner(number, phase) for number, phase in enumerate(phases)]
    node = SimpleNamespace(
        now_us=lambda: 10_000_000,
        ports=SimpleNamespace(random=random.Random(1)),
        register_handler=lambda message_type, handler: None,
        sender_listeners=[],
        tick_handlers=[],
    )
    roster = SimpleNamespace(
        runners={runner.name: runner for runner in runners},
        open_runners=lambda: list(runners),
        on_new=[],
    )
    policy = PlacementPolicy(node, roster)
    policy.estimator.settings = PlacementSettings()
    return policy


def test_placement_cost_is_proportional_to_the_runners():
    """Each decode runner is evaluated once, not once per prefill runner.

    Four times the runners take less than six times the calls; evaluated by pairs they took ten
    times as many.
    """
    work = PrefillWork(8_000, (), POOL)
    few, many = make_policy(4, 6), make_policy(16, 24)
    costs = [count_calls(lambda one=one: one.choose(work, 800_000)) for one in (few, many)]
    assert costs[1] < 6 * costs[0]


def test_a_placement_sums_the_samples_of_all_routers_once(monkeypatch):
    policy = make_policy(11, 13)
    policy.load.peers = lambda: [None] * 60
    policy.estimator.settings = PlacementSettings(prefill_tokens_per_s=0)
    policy.estimator.take_others([[PREFILL, 0, *LineFit().as_row(), 0, 0]])
    sums = []
    plus = LineFit.plus
    monkeypatch.setattr(LineFit, "plus", lambda fit, row: sums.append(row) or plus(fit, row))
    for _ in range(5):
        policy.choose(PrefillWork(8_000, (), POOL), 800_000)
    assert len(sums) == 1
    policy.estimator.note_prefill("runner-0", PREFILL, 8_000, 30_000)
    policy.choose(PrefillWork(8_000, (), POOL), 800_000)
    assert len(sums) == 2


def num_link_samples_sent(num_peers):
    """Return how many messages a router sends when a transfer to a decode runner was slow."""
    policy, sent = make_policy(2, 2), []
    peers = [SimpleNamespace(name=f"r-{n}", address=f"10.0.1.{n}:1") for n in range(num_peers)]
    policy.peers = policy.load.peers = lambda: peers
    policy.node.send = lambda address, message: sent.append(address)
    source, _, target, _ = policy.roster.open_runners()
    policy.note_decode_start(source, target, 8_000, seen_us=9_000_000)
    assert len(set(sent)) == len(sent)
    return len(sent)


def test_the_messages_on_a_slow_link_dont_grow_with_the_square_of_a_large_fleet():
    """On arrps-palermo-grown most messages of a router were such samples, 250 a second."""
    assert num_link_samples_sent(6) == 6
    assert num_link_samples_sent(62) == num_link_samples_sent(340) == LINK_SAMPLE_FANOUT
