"""The placement invariants are violated if a mechanism behind them is disabled."""

import pytest
from pooled_fleet import fleet, violations

from linkhaven.pairing import PlacementPolicy
from linkhaven.router.attempts import Attempts
from linkhaven.stage.fleet import SECOND


def run(seed):
    tested_fleet = fleet(seed)
    tested_fleet.world.run_for(10 * SECOND)
    tested_fleet.settle()
    return violations(tested_fleet)


@pytest.mark.parametrize("seed", [1, 2])
def test_late_work_that_is_placed_at_once_is_counted(seed, monkeypatch):
    def choose_any(self, work, ttft_us, why, without=(), room_us=0):
        decision = self.choose(work, ttft_us, without)
        if decision.winner is None and decision.candidates:
            decision.winner = self._pick_least(decision.candidates, lambda each: each.total_us)
            decision.exception = why
        return decision

    def evaluate_by_room(self, work, ttft_us, without=(), room_us=0, is_overdue=False):
        return original_evaluate(
            self, work, ttft_us, without, self.node.queue_limits_us["digests"], is_overdue
        )

    original_evaluate = PlacementPolicy.evaluate_candidates
    monkeypatch.setattr(PlacementPolicy, "evaluate_candidates", evaluate_by_room)
    monkeypatch.setattr(PlacementPolicy, "choose_best_effort", choose_any)
    assert run(seed)["late_work_beyond_room"] > 0


@pytest.mark.parametrize("seed", [1, 2])
def test_refusals_beside_an_idle_runner_are_counted(seed, monkeypatch):
    def choose_none(self, *work, **bounds):
        decision = original_choose(self, *work, **bounds)
        decision.winner = None
        return decision

    original_choose = PlacementPolicy.choose
    monkeypatch.setattr(PlacementPolicy, "choose", choose_none)
    monkeypatch.setattr(Attempts, "_misses_deadline", lambda self, request, decision, now_us: True)
    assert run(seed)["refused_beside_idle_runners"] > 0


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_that_are_held_to_their_deadline_are_counted(seed, monkeypatch):
    monkeypatch.setattr(Attempts, "_exceeds_hold_time", lambda self, request, now_us: False)
    assert run(seed)["held_too_long"] > 0
