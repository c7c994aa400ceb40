"""What a router spends on a plan of many kinds: by what changes and is asked, not by its size."""

import pytest

from linkhaven.api import ServiceError
from linkhaven.configuration import decode_configuration, validation
from linkhaven.credit import AdmissionQueues
from linkhaven.pairing import NO_BOUND_US
from linkhaven.router.node import queue_limits_by_group

MANY = 1_440


def kind(group, ttft_us=500_000, **more):
    return {"group": group, "ttft_us": ttft_us, "tpot_us": 1, "deadline_us": 9_000_000, **more}


def large(count=MANY):
    return {
        "groups": {f"g-{place}": {} for place in range(count)},
        "kinds": {f"k-{place}": kind(f"g-{place}") for place in range(count)},
    }


class CountingCheck:
    """A check that counts how often it is asked."""

    def __init__(self, check):
        self.inner = check
        self.count = 0

    def check(self, value):
        self.count += 1
        return self.inner.check(value)


def test_only_changed_parts_of_a_plan_are_checked_again(monkeypatch):
    kinds = CountingCheck(validation.KIND)
    monkeypatch.setattr(validation, "KIND", kinds)
    first = decode_configuration(large())
    assert kinds.count == MANY
    changed = large()
    changed["kinds"]["k-7"]["priority"] = 3
    del changed["kinds"]["k-9"]
    second = decode_configuration(changed)
    assert kinds.count == MANY + 1
    assert second.kinds["k-7"].priority == 3 and "k-9" not in second.kinds
    assert first.kinds["k-7"].priority == 0 and first == decode_configuration(large())


@pytest.mark.parametrize(
    "wrong, place",
    [
        ({"kinds": {"k-1": {"group": "g-1"}}}, "kinds/k-1/ttft_us"),
        ({"kinds": {"k 1": kind("g-1")}}, "kinds/k 1"),
        ({"groups": {"g-1": {"weight": float("nan")}}, "kinds": {}}, "groups/g-1/weight"),
        ({"groups": {"g-1": {"credit": float("nan")}}, "kinds": {}}, "groups/g-1/credit"),
        ({"kinds": []}, "kinds"),
    ],
)
def test_a_part_that_does_not_fit_is_named_beside_many_that_do(wrong, place):
    decode_configuration(large(3))
    with pytest.raises(ServiceError) as refused:
        decode_configuration({**large(3), **wrong})
    assert any(found["place"].startswith(place) for found in refused.value.detail["places"])


def slow_rooms(configuration):
    """What `queue_limits_by_group` says, kind by kind."""
    rooms = {}
    for group in configuration.groups:
        own = [one.ttft_us for one in configuration.kinds.values()]
        others = [one.ttft_us for one in configuration.kinds.values() if one.group != group]
        rooms[group] = min(others or own, default=NO_BOUND_US)
    return rooms


@pytest.mark.parametrize(
    "targets",
    [{}, {"a": [5]}, {"a": [5, 3]}, {"a": [5], "b": [7]}, {"a": [9, 2], "b": [2], "c": [4]}],
)
def test_the_room_of_a_group_is_the_tightest_target_of_the_others(targets):
    kinds = {
        f"{group}-{place}": kind(group, ttft_us)
        for group, times in targets.items()
        for place, ttft_us in enumerate(times)
    }
    configuration = decode_configuration(
        {"groups": {"a": {}, "b": {}, "c": {}, "d": {}}, "kinds": kinds}
    )
    assert queue_limits_by_group(configuration) == slow_rooms(configuration)


class Asked:
    """A request of one group."""

    prompt_tokens, answer_tokens, deadline_us, queued_us = 10, 4, 9_000_000, 0


class Looked:
    """Counts how often any group's account is looked at by the scheduler."""

    def __init__(self, accounts):
        self.accounts = accounts
        self.count = 0

    def __getitem__(self, name):
        self.count += 1
        return self.accounts[name]


def test_groups_without_requests_cost_nothing_between_changes():
    node = type("Router", (), {"systems": [], "now_us": lambda self: 0})()
    queues = AdmissionQueues(node, lambda: 1_000, lambda request, error: None)
    queues.apply_configuration(decode_configuration(large()))
    looked = queues.scheduler.accounts = Looked(queues.accounts)
    for name in ("g-3", "g-900"):
        queues.enqueue(name, Asked())
    assert queues.is_waiting()
    started = []
    queues.serve(lambda request: started.append(request) or True)
    assert len(started) == 2 and not queues.is_waiting() and looked.count < 20
    queues.tick(1_000_000)
    assert set(queues.active) == {"g-3", "g-900"}
    for place in range(2, 60):
        queues.tick(place * 1_000_000)
    assert not queues.active and set(queues.usage_reports()) == {"g-3", "g-900"}
