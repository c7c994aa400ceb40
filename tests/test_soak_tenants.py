"""Tenants in the soak: load spikes, changes of keys and limits, and the breaches that are found."""

import copy
from types import SimpleNamespace

import pytest

from linkhaven.configuration import digest_api_key, list_document_faults
from linkhaven.stage.checkers import NOT_ALLOWED
from linkhaven.stage.fleet import LICENSING_TENANTS
from linkhaven.stage.soak.hot_tenant import HOT_FACTOR, HotTenant
from linkhaven.stage.soak.judge import APPLIED_WITHIN_US, judge_soak, windows_of
from linkhaven.stage.soak.operators import TenantChanger
from linkhaven.stage.soak.schedule import RECOVERY_US, SECOND_US, process_roles
from linkhaven.stage.tenants import UNKNOWN_KEY, TenantPopulation

ROLES = process_roles(LICENSING_TENANTS)
BEGIN_US = 100 * SECOND_US
END_US = BEGIN_US + RECOVERY_US + 12 * SECOND_US
KEY, OTHER_KEY = "stage-key-a", "stage-key-b"
KIND = "seat-question"


def plan(key, rate=9):
    tenants = {"institute": {"keys": [digest_api_key(key)], "rate": rate, "burst": 1}}
    return {**LICENSING_TENANTS.plan(), "tenants": tenants}


def request(id, at_us, key=KEY, tenant="institute", how="done", code=None, status=200):
    facts = {"id": id, "kind": KIND, "router": "edge-1", "resume": None, "key": None}
    asked = {**facts, "answer_tokens": 4, "api_key": key, "client": "institute"}
    work = {"asked": id, "request": f"edge-1-1-{id}", "runner": "runner-3", "shot": 1}
    work = {**work, "tenant": tenant, "what": "decode", "one_time": False}
    ended = {"id": id, "how": how, "code": code, "done": None, "count": 0, "status": status}
    yield (at_us, "asked", asked)
    if how == "done":
        yield (at_us + 1, "offered", work)
        yield (at_us + 2, "begin", work)
    yield (at_us + 3, "ended", {**ended, "cause": None, "mark": 2})


def correct_record():
    record = [
        (BEGIN_US - 2, "put", {"put_id": "fleet-0", "expect": 0, "plan": plan(KEY)}),
        (BEGIN_US - 1, "acked", {"put_id": "fleet-0", "mark": 1}),
        (BEGIN_US, "load_begun", {}),
        (END_US, "load_ended", {}),
    ]
    for serial, at_us in enumerate(range(BEGIN_US, END_US, SECOND_US // 4)):
        record += request(f"callers-{serial}", at_us)
    return record


def breached(record):
    record = sorted(record, key=lambda entry: entry[0])
    return set(judge_soak(record, ROLES, LICENSING_TENANTS.kinds, {}, {}).breaches)


def show_the_key(record):
    seen = {"runner": "runner-3", "path": "/v1/decode", "api_key": KEY}
    return [*record, (END_US, "key_seen", seen)]


def name_nobody(record):
    next(facts for _, kind, facts in record if kind == "offered")["tenant"] = None
    return record


def run_a_stranger(record):
    return [*record, *request("stranger-1", END_US, UNKNOWN_KEY)]


def exchange_key(record):
    put = {"put_id": "put-1", "expect": 1, "plan": plan(OTHER_KEY)}
    acked = {"put_id": "put-1", "mark": 2}
    return [*record, (END_US, "put", put), (END_US, "acked", acked)]


def run_a_revoked_key(record):
    return [*exchange_key(record), *request("late-1", END_US + APPLIED_WITHIN_US + 1)]


def refuse_a_key(record):
    return [*record, *request("denied-1", END_US, KEY, None, "refused", "api_key_unknown", 401)]


def run_beyond_the_limit(record):
    more = [request(f"more-{number}", END_US + number) for number in range(100)]
    return [*record, *(entry for each in more for entry in each)]


def deny_within_the_limit(record):
    return [*record, *request("denied-1", END_US, KEY, None, "refused", "quota_spent", 429)]


@pytest.mark.parametrize(
    "corrupt, rule",
    [
        (show_the_key, "runners_see_no_keys"),
        (name_nobody, "runners_see_the_holder_of_the_key"),
        (run_a_stranger, "unknown_keys_run_nothing"),
        (run_a_revoked_key, "revoked_keys_run_nothing"),
        (refuse_a_key, "keys_in_force_are_accepted"),
        (run_beyond_the_limit, "tenants_keep_to_their_limits"),
        (deny_within_the_limit, "tenants_within_their_limits_are_served"),
    ],
)
def test_the_judge_finds_each_breach_of_a_tenant_rule(corrupt, rule):
    assert rule in breached(corrupt(correct_record())) - breached(correct_record())


def test_a_change_of_keys_alone_breaks_no_rule():
    assert breached(exchange_key(correct_record())) == breached(correct_record())


@pytest.mark.parametrize("code", NOT_ALLOWED)
def test_requests_that_a_tenant_may_not_make_are_not_counted_as_unserved(code):
    refused = [
        entry
        for number in range(8)
        for entry in request(f"no-{number}", END_US - SECOND_US, how="refused", code=code)
    ]
    counted = sorted([*correct_record(), *refused], key=lambda entry: entry[0])
    assert windows_of(counted, ROLES) == windows_of(correct_record(), ROLES) != []


def test_requests_of_a_hot_tenant_are_not_counted_until_its_load_is_normal_again():
    usual = windows_of(correct_record(), ROLES)
    middle_us = BEGIN_US + RECOVERY_US
    hot = [
        (middle_us, "tenant_load", {"tenant": "institute", "factor": HOT_FACTOR}),
        (middle_us + 6 * SECOND_US, "tenant_load", {"tenant": "institute", "factor": 1.0}),
    ]
    windows = windows_of(sorted([*correct_record(), *hot], key=lambda entry: entry[0]), ROLES)
    assert 0 < len(windows) < len(usual)


def drawn_spans(seed):
    population = TenantPopulation(LICENSING_TENANTS.tenants)
    calls, notes = [], []
    clock = SimpleNamespace(call_in=lambda delay_us, action: calls.append((delay_us, action)))
    hot = HotTenant(population, clock, lambda kind, **facts: notes.append(facts), seed, 60)
    hot.begin()
    for _, action in sorted(calls, key=lambda call: call[0]):
        action()
    return [delay_us for delay_us, _ in calls], notes, population


def test_a_hot_tenant_has_one_of_the_lowest_limits_and_ends_at_its_normal_load():
    times, notes, population = drawn_spans(1)
    assert (times, notes) == drawn_spans(1)[:2] != drawn_spans(2)[:2]
    assert len(notes) >= 8
    assert {facts["tenant"] for facts in notes} <= {"kiosk", "bureau", "studio"}
    assert population.load_factor == 1


def test_each_change_of_the_tenants_is_valid_and_all_kinds_of_change_occur():
    population = TenantPopulation(LICENSING_TENANTS.tenants)
    changer = TenantChanger(["none"], LICENSING_TENANTS, 1, None, population, 1)
    seen = set()
    for _ in range(200):
        before = copy.deepcopy(population.document())
        changer._change_tenants()
        after = population.document()
        assert list_document_faults({**LICENSING_TENANTS.plan(), "tenants": after}) == []
        seen |= {
            part
            for name in after
            for part in ("keys", "rate")
            if after[name][part] != before[name][part]
        }
    assert seen == {"keys", "rate"}
    assert any(len(keys) > 3 for keys in population.client_keys.values())
