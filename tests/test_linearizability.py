"""Tests of the linearizability checker, over histories of orders and reads of one register."""

import random

import pytest

from linkhaven.stage.explore.linearizability import (
    READ,
    REFUSED,
    TAKEN,
    Operation,
    RegisterState,
    find_update,
    is_linearizable,
)


def put(begun, ended, base, revision, answer=TAKEN, document=None):
    document = document or f"{base}-{revision}"
    operation = Operation(f"put@{begun}", "put", begun, base, revision, document)
    if ended is not None:
        operation.end(ended, answer)
    return operation


def read(begun, ended, revision, document=None):
    operation = Operation(f"read@{begun}", READ, begun)
    if ended is not None:
        operation.end(ended, READ, (revision, document))
    return operation


UNCLEAR = None
GOOD = {
    "nothing": [],
    "one order and a read": [put(1, 2, 0, 3), read(3, 4, 3, "0-3")],
    "a read beside an order sees it or not": [
        put(1, 6, 0, 3),
        read(2, 3, 0),
        read(4, 5, 3, "0-3"),
    ],
    "of two in a race one is refused": [put(1, 4, 0, 3), put(2, 3, 0, 5, REFUSED)],
    "an unclear order that took effect": [put(1, UNCLEAR, 0, 3), read(2, 3, 3, "0-3")],
    "an unclear order that took effect late": [
        put(1, UNCLEAR, 0, 3),
        read(2, 3, 0),
        read(4, 5, 3, "0-3"),
    ],
    "an unclear order that never did": [
        put(1, UNCLEAR, 0, 3),
        put(2, 3, 0, 5),
        read(4, 5, 5, "0-5"),
    ],
    "sent again after a later change": [put(1, 2, 0, 3), put(3, 4, 3, 5), put(5, 6, 0, 3)],
    "taken only as it was sent again": [put(1, UNCLEAR, 0, 3), put(2, 3, 0, 3), put(4, 5, 3, 4)],
}
BAD = {
    "an acknowledged order that a later read misses": [put(1, 2, 0, 3), read(3, 4, 0)],
    "reads that go back": [put(1, 6, 0, 3), read(2, 3, 3, "0-3"), read(4, 5, 0)],
    "both of a race": [put(1, 4, 0, 3), put(2, 3, 0, 5)],
    "both under one revision": [put(1, 4, 0, 3, document="x"), put(2, 3, 0, 3, document="y")],
    "a refusal with nothing in its way": [put(1, 2, 0, 3, REFUSED), read(3, 4, 0)],
    "refused after it was taken": [put(1, 2, 0, 3), put(3, 4, 3, 5), put(5, 6, 0, 3, REFUSED)],
    "a value that nobody ordered": [read(1, 2, 7, "0-7")],
    "an order before the one it builds on": [put(1, 2, 3, 5), put(3, 4, 0, 3)],
    "an unclear order that came and went": [
        put(1, UNCLEAR, 0, 3),
        read(2, 3, 3, "0-3"),
        read(4, 5, 0),
    ],
}


@pytest.mark.parametrize("name", GOOD)
def test_a_linearizable_history_is_accepted(name):
    order = find_update(GOOD[name])
    assert order is not None
    state = RegisterState()
    for operation in order:
        state = state.after(operation)
        assert state is not None


@pytest.mark.parametrize("name", BAD)
def test_a_history_that_is_not_linearizable_is_reported(name):
    assert find_update(BAD[name]) is None


def generated_history(seed, count=14):
    """Generate what a register answers to overlapping orders and reads, with some answers lost."""
    generator = random.Random(seed)
    state, operations, time = RegisterState(), [], 0
    for number in range(count):
        time += 3
        begun, ended = time - generator.randrange(0, 9), time + generator.randrange(1, 9)
        if generator.random() < 0.4:
            operations.append(read(begun, ended, state.revision, state.document))
            continue
        base = generator.choice((state.revision, state.revision, max(0, state.revision - 1)))
        operation = put(begun, ended, base, base + 1, document=f"d{number}")
        following = state.after(operation)
        if following is None:
            operation.answer = REFUSED
        elif generator.random() < 0.3:
            operation.end(float("inf"), "unclear")
        state = following or state
        operations.append(operation)
    return operations


@pytest.mark.parametrize("seed", range(40))
def test_generated_histories_are_linearizable_and_a_false_read_at_the_end_is_not(seed):
    operations = generated_history(seed)
    assert is_linearizable(operations)
    assert not is_linearizable([*operations, read(1_000, 1_001, 999, "never ordered")])
