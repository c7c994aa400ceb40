"""Runners without an engine: who is chosen, ejected and tried again, and what nobody asks them."""

import random

import pytest

from linkhaven.controller.figure_relay import FigureRelay
from linkhaven.controller.role_pools import PoolRoles
from linkhaven.pairing.plain import PlainScheduler
from linkhaven.runner import PLAIN, Runner
from linkhaven.stage.core import SimCore

SECOND = 1_000_000
PLACES = 6


class Pool:
    """Runners of one pool behind one or more schedulers, on a clock of its own.

    The schedulers hear of each other as routers do by way of the core: late, as sums.
    """

    def __init__(self, count, seed, routers=1):
        self.now = 0
        self.dice = random.Random(seed)
        self.runners = [self.add(f"i-{place}") for place in range(count)]
        self.open = {}
        self.schedulers = [
            PlainScheduler(
                lambda: self.now, self.dice, lambda runner: self.open.get(runner.name, 0)
            )
            for _ in range(routers)
        ]
        self.chosen = {}

    def add(self, name):
        runner = Runner(name, "10.0.0.1:80", "z", 1)
        runner.phase, runner.pool, runner.slots = PLAIN, "receipts", PLACES
        return runner

    def ask(self, failing, spans=None, gap_us=20_000):
        """One request at any router; `failing`: by runner, the share of its answers that fail."""
        self.now += gap_us
        scheduler = self.dice.choice(self.schedulers)
        runner = scheduler.choose(self.runners)
        self.chosen[runner.name] = self.chosen.get(runner.name, 0) + 1
        if self.dice.random() < failing.get(runner.name, 0):
            scheduler.note_failed(runner)
            return False
        scheduler.note_answered(runner, (spans or {}).get(runner.name, 45_000))
        return True

    def tell(self):
        """Let each router hear the sums of the others' rows."""
        node = type("Seat", (), {"systems": [], "now_us": lambda _: self.now})()
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
                self.tell()
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
def test_where_all_fail_alike_none_is_ejected(seed):
    pool = Pool(6, seed)
    pool.run(800, {runner.name: 0.3 for runner in pool.runners})
    assert not pool.schedulers[0].ejected and min(pool.chosen.values()) > 60


@pytest.mark.parametrize("seed", range(10))
def test_never_more_than_a_third_is_out_at_once(seed):
    pool = Pool(6, seed)
    for _ in range(800):
        pool.ask({"i-0": 0.9, "i-1": 0.8, "i-2": 0.7, "i-3": 0.6})
        assert len(pool.schedulers[0].ejected) <= 2


@pytest.mark.parametrize("seed", range(10))
def test_a_slow_runner_gets_fewer_and_a_new_one_its_share_without_a_rush(seed):
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
def test_a_runner_whose_places_are_taken_is_left_to_others(seed):
    pool = Pool(2, seed)
    pool.open = {"i-0": PLACES}
    assert pool.run(50, {}, spans={"i-0": 1_000}) == 1 and set(pool.chosen) == {"i-1"}
    pool.open["i-1"] = PLACES
    assert pool.schedulers[0].choose(pool.runners) is not None
    assert pool.schedulers[0].choose([]) is None


def test_what_was_seen_fades_and_is_forgotten_with_its_runner():
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


def test_a_dark_plain_runner_is_tried_again_and_closed_anew_by_evidence():
    core, runner_discovery = plain_core()
    runner = runner_discovery.runners["i-1"]
    assert runner_discovery.is_ready() and runner.is_open() and not runner_discovery.report_calls
    for _ in range(3):
        runner_discovery.on_evidence({"evidence": [["i-1", runner.incarnation, "dark", 0]]})
        assert runner.is_unresponsive
        core.world.run_for(runner_discovery.node.bounds.dark_us + 100_000)
        assert runner.is_open()


def test_no_order_of_a_phase_is_ever_weighed_for_a_plain_runner():
    core, runner_discovery = plain_core()
    sides = PoolRoles()
    sides.add(runner_discovery.runners["i-1"], runner_discovery.health, None)
    assert sides.healthy_count() == 0 and not sides.unreported
