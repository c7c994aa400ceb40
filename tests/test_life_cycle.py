"""Tests of a replica's life cycle: its table of transitions is complete and nothing bypasses it."""

import ast
from pathlib import Path

import pytest

from linkhaven.consensus.replica_state import (
    TRANSITIONS,
    InvalidTransitionError,
    LifeCycle,
    ReplicaEvent,
    ReplicaState,
    StoredState,
)

CONSENSUS = Path(__file__).parent.parent / "packages/consensus/src/linkhaven/consensus"
SPARE, BOOTSTRAPPING, RECOVERING = (
    ReplicaState.SPARE,
    ReplicaState.BOOTSTRAPPING,
    ReplicaState.RECOVERING,
)
WAITING, LEARNING, VOTING = ReplicaState.WAITING, ReplicaState.LEARNING, ReplicaState.VOTING
PAUSED, SEALED, SUPERSEDED = ReplicaState.PAUSED, ReplicaState.SEALED, ReplicaState.SUPERSEDED
EMPTY, COMPLETE, GIVEN_AWAY = StoredState.EMPTY, StoredState.COMPLETE, StoredState.SEALED

LIVES = {
    "first start": ("BOOTSTRAP BEGIN_VOTING", SPARE, EMPTY, VOTING, COMPLETE),
    "first start, disk refuses": ("BOOTSTRAP BOOTSTRAP_REFUSED", SPARE, EMPTY, SPARE, EMPTY),
    "restart": ("RECOVER BEGIN_VOTING", RECOVERING, COMPLETE, VOTING, COMPLETE),
    "restart without a disk": ("RECOVER BEGIN_VOTING", RECOVERING, EMPTY, VOTING, COMPLETE),
    "operator restores": ("TOO_FEW_REPORTED BEGIN_VOTING", RECOVERING, EMPTY, VOTING, COMPLETE),
    "others come after all": ("TOO_FEW_REPORTED RECOVER BEGIN_VOTING",)
    + (RECOVERING, EMPTY, VOTING, COMPLETE),
    "newcomer": ("ASSIGN RECOVER BEGIN_VOTING", SPARE, EMPTY, VOTING, COMPLETE),
    "newcomer that was second": ("ASSIGN RECOVER RETIRE", SPARE, EMPTY, SPARE, EMPTY),
    "successor": ("LEARN TAKE_OVER RECOVER BEGIN_VOTING", SPARE, EMPTY, VOTING, COMPLETE),
    "successor that gave up": ("LEARN RETIRE", SPARE, EMPTY, SPARE, EMPTY),
    "departed": ("SEAL RETIRE", VOTING, COMPLETE, SPARE, EMPTY),
    "seal refused": ("SEAL SEAL_REFUSED", VOTING, COMPLETE, VOTING, COMPLETE),
    "sealed": ("SEAL", VOTING, COMPLETE, SEALED, GIVEN_AWAY),
    "sealed, successor gave up": (
        "SEAL UNSEAL RECOVER BEGIN_VOTING",
        VOTING,
        COMPLETE,
        VOTING,
        COMPLETE,
    ),
    "sealed, restarted": ("RECOVER BEGIN_VOTING", RECOVERING, GIVEN_AWAY, VOTING, COMPLETE),
    "sealed, restarted, given back": (
        "UNSEAL RECOVER",
        RECOVERING,
        GIVEN_AWAY,
        RECOVERING,
        COMPLETE,
    ),
    "sealed, restarted, departed": ("RETIRE", RECOVERING, GIVEN_AWAY, SPARE, EMPTY),
    "departs without a successor": ("PAUSE", VOTING, COMPLETE, PAUSED, COMPLETE),
    "can't depart yet": ("PAUSE RESUME", VOTING, COMPLETE, VOTING, COMPLETE),
    "superseded": ("SUPERSEDE RETIRE", VOTING, COMPLETE, SPARE, EMPTY),
    "a bootstrap that forgot": ("RECOVER SUPERSEDE RETIRE", VOTING, COMPLETE, SPARE, EMPTY),
}


@pytest.mark.parametrize("events, state, stored, last, worth", LIVES.values(), ids=LIVES)
def test_each_life_cycle_passes_through_its_states(events, state, stored, last, worth):
    life = LifeCycle(state, stored)
    for event in events.split():
        life.on(ReplicaEvent[event])
    assert (life.state, life.stored) == (last, worth)
    assert life.may_vote is (last is VOTING)
    assert life.is_empty is (worth is not COMPLETE)


def test_each_event_is_part_of_a_life_cycle():
    assert {event for events, *_ in LIVES.values() for event in events.split()} == {
        event.name for event in ReplicaEvent
    }


@pytest.mark.parametrize("state", ReplicaState)
@pytest.mark.parametrize("event", ReplicaEvent)
def test_an_event_without_a_transition_changes_nothing(event, state):
    life = LifeCycle(state, COMPLETE)
    if state in TRANSITIONS[event].sources:
        life.on(event)
        assert life.state is TRANSITIONS[event].target
        return
    with pytest.raises(InvalidTransitionError, match=f"{event.name} in state {state.name}"):
        life.on(event)
    assert (life.state, life.stored) == (state, COMPLETE)


def test_only_these_transitions_lead_to_voting():
    """There is no transition from a seal to voting, except when the disk refused the seal.

    A sealed replica votes again only if its successor gave up, and then after a recovery.
    """
    ways = {
        (event.name, source)
        for event, (sources, target, _) in TRANSITIONS.items()
        for source in sources
        if target is VOTING
    }
    assert ways == {
        ("BEGIN_VOTING", BOOTSTRAPPING),
        ("BEGIN_VOTING", RECOVERING),
        ("BEGIN_VOTING", WAITING),
        ("RESUME", PAUSED),
        ("SEAL_REFUSED", SEALED),
    }


def test_paused_is_reported_as_sealed_on_the_wire():
    assert {state.wire_name for state in ReplicaState} == {
        *("spare", "beginning", "rejoining", "waiting", "learning", "voting", "sealed", "fenced")
    }


def assigned_attributes(tree):
    for node in ast.walk(tree):
        targets = node.targets if isinstance(node, ast.Assign) else [getattr(node, "target", None)]
        for target in targets:
            for part in ast.walk(target) if target is not None else ():
                if isinstance(part, ast.Attribute) and isinstance(part.ctx, ast.Store):
                    yield ast.unparse(part)


@pytest.mark.parametrize("path", sorted(CONSENSUS.glob("*.py")), ids=lambda path: path.name)
def test_only_the_life_cycle_changes_a_replicas_state(path):
    """The components of a replica call its methods; none of them assigns its attributes."""
    assigned = set(assigned_attributes(ast.parse(path.read_text())))
    assert not [name for name in assigned if name.startswith(("self.replica.", "replica."))]
    is_owner = path.name == "replica_state.py"
    assert not [name for name in assigned if "life_cycle." in name or name == "life.state"]
    assert is_owner or "InvalidTransitionError" not in path.read_text()
