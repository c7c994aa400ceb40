"""Tests of point 2 of docs/control.md: concurrent orders under one revision, and lost answers."""

import pytest
from msgspec.structs import replace

from linkhaven.configuration import document_update
from linkhaven.consensus import Promise, Proposer
from linkhaven.stage.control import judge_race
from linkhaven.stage.core import SimCore
from linkhaven.stage.cutcourse import PLAN
from linkhaven.stage.orders import REFUSED, TAKEN, UNCLEAR, History, Operators, Order
from linkhaven.stage.racecourse import RaceCourse

SECOND = 1_000_000
CASES = [(seats, racers, seed) for seats in (3, 5) for racers in (2, 4, 8) for seed in (1, 2)]


@pytest.mark.parametrize("seats, racers, seed", CASES)
def test_only_one_of_several_orders_under_one_revision_is_taken_however_often_sent(
    seats, racers, seed
):
    course = RaceCourse(seed, seats, racers).run(2)
    late_results = course.send_late()
    assert judge_race(course) == {}
    assert {result.outcome for result in late_results if course.is_winner(result.order)} <= {
        TAKEN,
        UNCLEAR,
    }
    assert set(course.winners) == {0, 3}
    results = History(course.operators.calls).orders()
    assert any(result.outcome == REFUSED for result in results)


def use_a_majority_of_one(monkeypatch):
    init = Proposer.__init__

    def init_with_majority_of_one(
        self, node, directory, majority=None, silent_us=None, own_registers=None
    ):
        init(self, node, directory, 1, silent_us, own_registers)

    monkeypatch.setattr(Proposer, "__init__", init_with_majority_of_one)


def ignore_accepted_values(monkeypatch):
    on_promise = Proposer.on_promise
    monkeypatch.setattr(
        Proposer,
        "on_promise",
        lambda self, message: on_promise(self, replace(message, accepted=None, value=None)),
    )


@pytest.mark.parametrize("sabotage", [use_a_majority_of_one, ignore_accepted_values])
def test_without_a_majority_of_ballots_two_orders_are_confirmed(monkeypatch, sabotage):
    sabotage(monkeypatch)
    core = SimCore(1).bootstrap()
    core.world.run_for(3 * SECOND)
    operators = Operators(core, core.world.dice)
    core.world.cut(["core-1"], ["core-2", "core-3"])
    for place, name in enumerate(core.machines):
        operators.put(name, Order(0, 3, f"text {place}", PLAN))
        core.world.run_for(SECOND)
    assert "double_acknowledgements" in History(operators.calls).breaches()


def test_without_the_history_a_winner_that_is_sent_late_is_refused(monkeypatch):
    monkeypatch.setattr(document_update, "find_update", lambda value, order: None)
    course = RaceCourse(1, 3, 2).run(2)
    course.send_late()
    assert "refused_though_taken" in judge_race(course)


def leave_an_order_at_a_minority(seed):
    """Have two of five replicas accept an order, then kill its proposer.

    Returns the core and its operators.
    """
    core = SimCore(seed, seats=5).bootstrap(3, 2)
    assert core.wait_voting(5)
    core.world.run_for(2 * SECOND)
    operators = Operators(core, core.world.dice)
    first = core.machines["core-1"]
    handle_promise = first.node.handlers[Promise]

    def cut_before_the_accept(message):
        core.world.cut(["core-1"], ["core-3", "core-4", "core-5"])
        handle_promise(message)

    def cut_at_the_third_promise(message):
        change = first.node.proposer.proposals.get(message.id)
        if change is not None and change.key == "plan" and len(change.votes) == 2:
            return cut_before_the_accept(message)
        handle_promise(message)

    first.node.handlers[Promise] = cut_at_the_third_promise
    operators.put("core-1", Order(0, 5, "left behind", PLAN))
    core.world.run_for(8_000)
    held = [
        name
        for name, host in core.machines.items()
        if "cell/plan" in host.disk.synced and host.disk.synced["cell/plan"][1]
    ]
    assert held == ["core-1", "core-2"]
    first.kill()
    return core, operators


@pytest.mark.parametrize("seed", range(3))
def test_an_order_is_refused_only_for_a_version_that_is_in_force_afterwards(seed):
    """Otherwise an order based on the newest version could be refused for one that nobody reads."""
    core, operators = leave_an_order_at_a_minority(seed)
    core.world.cut(["core-3"], ["core-4"])
    refused = operators.put("core-3", Order(0, 7, "later", PLAN))
    assert core.world.wait_for(lambda: refused.outcome, 2 * SECOND, 200)
    core.machines["core-2"].kill()
    core.world.heal()
    core.world.run_for(SECOND)
    read = operators.read("core-4")
    core.world.run_for(2 * SECOND)
    assert (refused.outcome, refused.code) == (REFUSED, "revision_conflict")
    assert (read.outcome, read.revision) == (TAKEN, 5)
