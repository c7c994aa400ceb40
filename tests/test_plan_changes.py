"""Routers are sent the changes of a plan and reject a result without the expected digest."""

import random

import pytest
from test_blobs import MS, add_router, make_started_core

from linkhaven.configuration.changes import apply_changes, diff_of, read_changes
from linkhaven.configuration.packing import open_packed, pack_blob, write_document

SECOND = 1_000_000
MANY = 1_440


def kind(place, **more):
    return {
        "group": f"g-{place}",
        "ttft_us": 500_000,
        "tpot_us": 1,
        "deadline_us": 9_000_000,
        "door": {"host": f"h{place % 7}.example", "prefix": f"/{place:x}/"},
        **more,
    }


def make_large_plan(rng, count=MANY):
    return {
        "groups": {f"g-{place}": {} for place in range(count)},
        "kinds": {f"k-{place}": kind(place, priority=rng.randrange(9)) for place in range(count)},
        "pools": {},
        "taichi": {"search": True},
    }


def change_randomly(plan, rng):
    """Return the plan with random changes of items and of a field without items."""
    changed = {**plan, "kinds": dict(plan["kinds"]), "groups": dict(plan["groups"])}
    for name in rng.sample(sorted(changed["kinds"]), 3):
        changed["kinds"][name] = {**changed["kinds"][name], "priority": 9}
    name = rng.choice(sorted(changed["kinds"]))
    del changed["kinds"][name]
    place = 10_000 + rng.randrange(1_000)
    changed["groups"][f"g-{place}"] = {"weight": 2.5}
    changed["kinds"][f"k-{place}"] = kind(place)
    if rng.random() < 0.5:
        changed["limits"] = {"head_bytes": rng.randrange(1, 9_000)}
    else:
        changed.pop("taichi", None)
    return changed


@pytest.mark.parametrize("seed", range(30))
def test_applied_changes_turn_the_old_plan_into_the_new_one(seed):
    rng = random.Random(seed)
    old = make_large_plan(rng, 40)
    new = change_randomly(change_randomly(old, rng), rng)
    before = write_document(old)
    changes = read_changes(diff_of(old, new).write())
    assert write_document(apply_changes(old, changes)) == write_document(new)
    assert write_document(apply_changes(new, diff_of(new, old))) == before == write_document(old)


def put_revision(core, revision, plan):
    results = core.put(revision - 1, revision, f"text {revision}", plan)
    assert results and results[0][0] is None
    core.world.run_for(SECOND)


def record_plan_sizes(router, corrupt=lambda message: None):
    """Record the size of each response with a plan: (field, bytes)."""
    received, handle = [], router.node.map_handlers["news"]

    def count(message):
        corrupt(message)
        for part in ("body", "changes"):
            if part in message:
                received.append((part, len(message[part])))
        handle(message)

    router.node.map_handlers["news"] = count
    return received


@pytest.mark.parametrize("seed", range(3))
def test_changes_of_a_large_plan_are_small(seed):
    core, rng = make_started_core(), random.Random(seed)
    router = add_router(core)
    received, plan = record_plan_sizes(router), make_large_plan(rng)
    put_revision(core, 1, plan)
    for revision in range(2, 6):
        plan = change_randomly(plan, rng)
        put_revision(core, revision, plan)
        assert router.node.snapshot.value["plan"] == plan
    assert [part for part, _ in received] == ["body"] + ["changes"] * 4
    assert max(count for _, count in received[1:]) < received[0][1] / 20
    value, body = router.node.watcher.packed_configuration()
    assert open_packed(body) == write_document(plan) and value["mark"] == 5


@pytest.mark.parametrize("how", ("text", "items", "base", "shape"))
def test_changes_with_a_wrong_result_are_dropped_and_the_whole_is_requested(how):
    core, rng = make_started_core(), random.Random(1)
    router = add_router(core)

    def corrupt(message):
        if "changes" not in message:
            return
        if how == "text":
            message["changes"] = "spoiled"
        if how == "items":
            text = open_packed(message["changes"]).replace('"priority":9', '"priority":8')
            message["changes"] = pack_blob(text)
        if how == "base":
            message["base"] = "another"
        if how == "shape":
            message["changes"] = pack_blob('{"upserts":7}')

    received, plan = record_plan_sizes(router, corrupt), make_large_plan(rng, 60)
    put_revision(core, 1, plan)
    plan = change_randomly(plan, rng)
    put_revision(core, 2, plan)
    assert router.node.snapshot.value["plan"] == plan and router.node.snapshot.version == 2
    assert [part for part, _ in received] == ["body", "changes", "body"]
    assert router.node.watcher.received.accepts_changes


def test_a_router_far_behind_gets_the_whole_plan():
    core, rng = make_started_core(), random.Random(2)
    router = add_router(core)
    plan = make_large_plan(rng, 60)
    put_revision(core, 1, plan)
    router.freeze()
    for revision in range(2, 40):
        plan = change_randomly(plan, rng)
        put_revision(core, revision, plan)
    router.wake()
    received = record_plan_sizes(router)
    core.world.wait_for(lambda: router.node.snapshot.version == 39, 5 * SECOND, 5 * MS)
    assert {part for part, _ in received} == {"body"} and router.node.snapshot.value["plan"] == plan
