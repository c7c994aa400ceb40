"""The cost of a large plan depends on its changes and its requests, not on its size."""

import pytest

from linkhaven.api import ServiceError
from linkhaven.configuration import ConfigurationSnapshot, decode_configuration, validation
from linkhaven.configuration.changes import DocumentChanges, apply_changes
from linkhaven.configuration.records import document_of, with_document
from linkhaven.credit import AdmissionQueues
from linkhaven.pairing import NO_BOUND_US
from linkhaven.router.node import queue_limits_by_group

MANY = 1_440


def kind(group, ttft_us=500_000, **more):
    return {"group": group, "ttft_us": ttft_us, "tpot_us": 1, "deadline_us": 9_000_000, **more}


def make_large_plan(count=MANY):
    return {
        "groups": {f"g-{place}": {} for place in range(count)},
        "kinds": {f"k-{place}": kind(f"g-{place}") for place in range(count)},
    }


def make_record(version, document):
    return with_document({"mark": version}, document)


class CountingCheck:
    """A schema that counts its checks."""

    def __init__(self, check):
        self.inner = check
        self.count = 0

    def check(self, value):
        self.count += 1
        return self.inner.check(value)


def test_only_changed_parts_of_a_plan_are_checked_again(monkeypatch):
    kinds = CountingCheck(validation.KIND)
    monkeypatch.setattr(validation, "KIND", kinds)
    first = decode_configuration(make_large_plan())
    assert kinds.count == MANY
    changed = make_large_plan()
    changed["kinds"]["k-7"]["priority"] = 3
    del changed["kinds"]["k-9"]
    second = decode_configuration(changed)
    assert kinds.count == MANY + 1
    assert second.kinds["k-7"].priority == 3 and "k-9" not in second.kinds
    assert first.kinds["k-7"].priority == 0 and first == decode_configuration(make_large_plan())


def test_a_router_decodes_only_the_items_that_a_change_brings(monkeypatch):
    snapshot, decoded = ConfigurationSnapshot(), []
    decode_item = validation._decode_item

    def count(schema, record, name, item):
        decoded.append(name)
        return decode_item(schema, record, name, item)

    monkeypatch.setattr(validation, "_decode_item", count)
    snapshot.take(make_record(1, make_large_plan()))
    assert len(decoded) == 2 * MANY
    decoded.clear()
    new_kind = {"k-7": kind("g-7", priority=3)}
    changes = DocumentChanges({"kinds": new_kind}, {"kinds": ["k-9"]}, {}, [])
    snapshot.take(make_record(2, apply_changes(document_of(snapshot.value), changes)))
    assert decoded == ["k-7"]
    assert snapshot.configuration.kinds["k-7"].priority == 3
    assert "k-9" not in snapshot.configuration.kinds
    assert snapshot.configuration == decode_configuration(document_of(snapshot.value))


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
def test_an_invalid_item_among_valid_ones_is_reported_with_its_place(wrong, place):
    decode_configuration(make_large_plan(3))
    with pytest.raises(ServiceError) as rejected:
        decode_configuration({**make_large_plan(3), **wrong})
    assert any(fault["place"].startswith(place) for fault in rejected.value.detail["places"])


def expected_limits(configuration):
    """Return what `queue_limits_by_group` must return, computed kind by kind."""
    limits = {}
    for group in configuration.groups:
        own = [one.ttft_us for one in configuration.kinds.values()]
        others = [one.ttft_us for one in configuration.kinds.values() if one.group != group]
        limits[group] = min(others or own, default=NO_BOUND_US)
    return limits


@pytest.mark.parametrize(
    "targets",
    [{}, {"a": [5]}, {"a": [5, 3]}, {"a": [5], "b": [7]}, {"a": [9, 2], "b": [2], "c": [4]}],
)
def test_the_queue_limit_of_a_group_is_the_lowest_target_of_the_others(targets):
    kinds = {
        f"{group}-{place}": kind(group, ttft_us)
        for group, times in targets.items()
        for place, ttft_us in enumerate(times)
    }
    configuration = decode_configuration(
        {"groups": {"a": {}, "b": {}, "c": {}, "d": {}}, "kinds": kinds}
    )
    assert queue_limits_by_group(configuration) == expected_limits(configuration)


class QueuedRequest:
    """A request of one group."""

    prompt_tokens, answer_tokens, deadline_us, queued_us = 10, 4, 9_000_000, 0


class CountingAccounts:
    """Counts how often the scheduler looks up a group's account."""

    def __init__(self, accounts):
        self.accounts = accounts
        self.count = 0

    def __getitem__(self, name):
        self.count += 1
        return self.accounts[name]


def test_groups_without_requests_cost_nothing_between_changes():
    node = type("Router", (), {"tick_handlers": [], "now_us": lambda self: 0})()
    queues = AdmissionQueues(node, lambda: 1_000, lambda request, error: None)
    queues.apply_configuration(decode_configuration(make_large_plan()))
    accounts = queues.scheduler.accounts = CountingAccounts(queues.accounts)
    for name in ("g-3", "g-900"):
        queues.enqueue(name, QueuedRequest())
    assert queues.is_waiting()
    started = []
    queues.serve(lambda request: started.append(request) or True)
    assert len(started) == 2 and not queues.is_waiting() and accounts.count < 20
    queues.tick(1_000_000)
    assert set(queues.active) == {"g-3", "g-900"}
    for place in range(2, 60):
        queues.tick(place * 1_000_000)
    assert not queues.active and set(queues.usage_reports()) == {"g-3", "g-900"}
