"""Routers are told what changed in a plan; what doesn't lead to its digest is not taken."""

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


def large(dice, count=MANY):
    return {
        "groups": {f"g-{place}": {} for place in range(count)},
        "kinds": {f"k-{place}": kind(place, priority=dice.randrange(9)) for place in range(count)},
        "pools": {},
        "taichi": {"search": True},
    }


def alter(plan, dice):
    """Some change that an operator could make, and one of a field that is no part."""
    changed = {**plan, "kinds": dict(plan["kinds"]), "groups": dict(plan["groups"])}
    for name in dice.sample(sorted(changed["kinds"]), 3):
        changed["kinds"][name] = {**changed["kinds"][name], "priority": 9}
    name = dice.choice(sorted(changed["kinds"]))
    del changed["kinds"][name]
    place = 10_000 + dice.randrange(1_000)
    changed["groups"][f"g-{place}"] = {"weight": 2.5}
    changed["kinds"][f"k-{place}"] = kind(place)
    if dice.random() < 0.5:
        changed["limits"] = {"head_bytes": dice.randrange(1, 9_000)}
    else:
        changed.pop("taichi", None)
    return changed


@pytest.mark.parametrize("seed", range(30))
def test_changes_make_the_new_plan_of_the_old_one(seed):
    dice = random.Random(seed)
    old = large(dice, 40)
    new = alter(alter(old, dice), dice)
    before = write_document(old)
    changes = read_changes(diff_of(old, new).write())
    assert write_document(apply_changes(old, changes)) == write_document(new)
    assert write_document(apply_changes(new, diff_of(new, old))) == before == write_document(old)


def put(core, revision, plan):
    told = core.put(revision - 1, revision, f"text {revision}", plan)
    assert told and told[0][0] is None
    core.world.run_for(SECOND)


def listen(router, spoil=lambda message: None):
    """The bytes of each answer that brings a plan: (part, bytes)."""
    heard, hear = [], router.node.map_handlers["news"]

    def count(message):
        spoil(message)
        for part in ("body", "changes"):
            if part in message:
                heard.append((part, len(message[part])))
        hear(message)

    router.node.map_handlers["news"] = count
    return heard


@pytest.mark.parametrize("seed", range(3))
def test_a_change_of_a_large_plan_costs_a_router_little(seed):
    core, dice = make_started_core(), random.Random(seed)
    router = add_router(core)
    heard, plan = listen(router), large(dice)
    put(core, 1, plan)
    for revision in range(2, 6):
        plan = alter(plan, dice)
        put(core, revision, plan)
        assert router.node.snapshot.value["plan"] == plan
    assert [part for part, _ in heard] == ["body"] + ["changes"] * 4
    assert max(count for _, count in heard[1:]) < heard[0][1] / 20
    value, body = router.node.watcher.packed_configuration()
    assert open_packed(body) == write_document(plan) and value["mark"] == 5


@pytest.mark.parametrize("how", ("text", "items", "base", "shape"))
def test_changes_that_lead_elsewhere_are_dropped_and_the_whole_is_asked_for(how):
    core, dice = make_started_core(), random.Random(1)
    router = add_router(core)

    def spoil(message):
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

    heard, plan = listen(router, spoil), large(dice, 60)
    put(core, 1, plan)
    plan = alter(plan, dice)
    put(core, 2, plan)
    assert router.node.snapshot.value["plan"] == plan and router.node.snapshot.version == 2
    assert [part for part, _ in heard] == ["body", "changes", "body"]
    assert router.node.watcher.received.accepts_changes


def test_a_router_that_starts_again_and_one_far_behind_get_the_whole():
    core, dice = make_started_core(), random.Random(2)
    router = add_router(core)
    plan = large(dice, 60)
    put(core, 1, plan)
    router.freeze()
    for revision in range(2, 40):
        plan = alter(plan, dice)
        put(core, revision, plan)
    router.wake()
    heard = listen(router)
    core.world.wait_for(lambda: router.node.snapshot.version == 39, 5 * SECOND, 5 * MS)
    assert {part for part, _ in heard} == {"body"} and router.node.snapshot.value["plan"] == plan
