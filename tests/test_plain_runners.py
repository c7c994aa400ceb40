"""Runners without an engine: choice, ejection and retry, and that they get no role orders."""

import random

import pytest

from linkhaven.controller.figure_relay import FigureRelay
from linkhaven.controller.role_pools import PoolRoles
from linkhaven.pairing.plain_scheduler import PlainScheduler
from linkhaven.runner import PLAIN, Runner
from linkhaven.stage.core import SimCore

SECOND = 1_000_000
SLOTS = 6


class Pool:
    """Runners of one pool behind one or more schedulers, with its own clock.

    The schedulers exchange their counts as routers do through the core: late, and as sums.
    """

    def __init__(self, count, seed, routers=1):
        self.now = 0
        self.rng = random.Random(seed)
        self.runners = [self.add(f"i-{place}") for place in range(count)]
        self.open = {}
        self.schedulers = [
            PlainScheduler(lambda: self.now, self.rng, lambda runner: self.open.get(runner.name, 0))
            for _ in range(routers)
        ]
        self.chosen = {}

    def add(self, name):
        runner = Runner(name, "10.0.0.1:80", "z", 1)
        runner.phase, runner.pool, runner.slots = PLAIN, "receipts", SLOTS
        return runner

    def ask(self, failing, spans=None, gap_us=20_000):
        """Send a request through a random router; `failing`: the failure rate by runner."""
        self.now += gap_us
        scheduler = self.rng.choice(self.schedulers)
        runner = scheduler.choose(self.runners)
        self.chosen[runner.name] = self.chosen.get(runner.name, 0) + 1
        if self.rng.random() < failing.get(runner.name, 0):
            scheduler.note_failed(runner)
            return False
        scheduler.note_answered(runner, (spans or {}).get(runner.name, 45_000))
        return True

    def exchange_counts(self):
        """Give each router the sums of the others' rows."""
        node = type("Seat", (), {"tick_handlers": [], "now_us": lambda _: self.now})()
        sums = FigureRelay(node, "outcomes")
        for place, scheduler in enumerate(self.schedulers):
            sums.on_watch_request({"name": place, "outcomes": scheduler.own_rows()})
        for place, scheduler in enumerate(self.schedulers):
            scheduler.take_others(sums.of_others(place))

    def run(self, count, failing, **more):
        self.chosen = {}
        served = 0
        for place in range(count):
            served += self.ask(failing, **more)
            if place % 25 == 24:
                self.exchange_counts()
        return served / count


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("routers", [1, 40])
def test_a_runner_that_fails_part_of_its_requests_is_ejected_and_returns(seed, routers):
    pool = Pool(3, seed, routers)
    pool.run(400, {})
    assert min(pool.chosen.values()) > 60
    pool.run(400, {"i-1": 0.5})
    assert pool.run(400, {"i-1": 0.5}) > 0.9 and pool.chosen.get("i-1", 0) < 90
    pool.now += 20 * SECOND
    pool.run(800, {})
    assert pool.chosen["i-1"] > 130


@pytest.mark.parametrize("seed", range(10))
def test_no_runner_is_ejected_if_all_fail_alike(seed):
    pool = Pool(6, seed)
    pool.run(800, {runner.name: 0.3 for runner in pool.runners})
    assert not pool.schedulers[0].ejected and min(pool.chosen.values()) > 60


@pytest.mark.parametrize("seed", range(10))
def test_at_most_a_third_of_a_pool_is_ejected_at_once(seed):
    pool = Pool(6, seed)
    for _ in range(800):
        pool.ask({"i-0": 0.9, "i-1": 0.8, "i-2": 0.7, "i-3": 0.6})
        assert len(pool.schedulers[0].ejected) <= 2


@pytest.mark.parametrize("seed", range(10))
def test_a_slow_runner_gets_fewer_requests_and_a_new_one_only_its_share(seed):
    pool = Pool(3, seed)
    spans = {"i-0": 180_000}
    pool.open = {runner.name: 1 for runner in pool.runners}
    pool.run(600, {}, spans=spans)
    assert pool.chosen["i-0"] < 110
    pool.runners.append(pool.add("i-9"))
    pool.open["i-9"] = 1
    pool.run(200, {}, spans=spans)
    assert 30 < pool.chosen["i-9"] < 120


@pytest.mark.parametrize("seed", range(10))
def test_a_runner_without_free_slots_is_avoided(seed):
    pool = Pool(2, seed)
    pool.open = {"i-0": SLOTS}
    assert pool.run(50, {}, spans={"i-0": 1_000}) == 1 and set(pool.chosen) == {"i-1"}
    pool.open["i-1"] = SLOTS
    assert pool.schedulers[0].choose(pool.runners) is not None
    assert pool.schedulers[0].choose([]) is None


def test_counts_decay_and_are_dropped_with_their_runner():
    pool = Pool(2, 1)
    scheduler = pool.schedulers[0]
    scheduler.note_failed(pool.runners[0])
    assert scheduler.own_rows() == [["i-0", 1, 0, 100, 0]]
    pool.now += 60 * SECOND
    assert scheduler.own_rows() == [] and not scheduler.own
    scheduler.note_answered(pool.runners[1], 5)
    scheduler.forget({"i-0"})
    assert not scheduler.own


def plain_core(seed=1):
    core = SimCore(seed, poll_us=200_000, report_us=400_000).bootstrap()
    record = {"name": "i-1", "address": "10.5.0.1:80", "zone": "z", "incarnation": 1}
    listed = {**record, "state": "serving", "pool": "receipts", "phase": PLAIN}
    core.platform.node.set({"i-1": listed}, at_once=True)
    assert core.wait_voting(3)
    core.world.run_for(10 * SECOND)
    runner_discovery = next(
        host.node.runner_discovery
        for host in core.machines.values()
        if host.node.leases["roster"].is_held()
    )
    return core, runner_discovery


def test_an_unresponsive_plain_runner_reopens_and_closes_again_on_evidence():
    core, runner_discovery = plain_core()
    runner = runner_discovery.runners["i-1"]
    assert runner_discovery.is_ready() and runner.is_open() and not runner_discovery.report_calls
    for _ in range(3):
        runner_discovery.on_evidence({"evidence": [["i-1", runner.incarnation, "dark", 0]]})
        assert runner.is_unresponsive
        core.world.run_for(runner_discovery.node.bounds.unresponsive_after_us + 100_000)
        assert runner.is_open()


def test_role_decisions_ignore_plain_runners():
    core, runner_discovery = plain_core()
    roles = PoolRoles()
    roles.add(runner_discovery.runners["i-1"], runner_discovery.health, None)
    assert roles.healthy_count() == 0 and not roles.unreported
