"""Rules about keys, names and limits of tenants, on histories that break or keep them."""

import pytest

from linkhaven.configuration import digest_api_key
from linkhaven.stage import quota_checkers, tenant_checkers
from linkhaven.stage.configuration_history import APPLIED_WITHIN_US, ConfigurationHistory
from linkhaven.stage.tenants import KEY_PREFIX

S = 1_000_000
K1, K2, K3 = (f"{KEY_PREFIX}{number}" for number in (1, 2, 3))


def tenant(*keys, rate=0, burst=0):
    return {"keys": [digest_api_key(key) for key in keys], "rate": rate, "burst": burst}


def plan(**tenants):
    return {"kinds": {"check": {}, "help": {"public": True}}, "tenants": tenants}


def put(document, expect=0, at=0, acked=True):
    put_id = f"put-{expect}-{at}"
    entries = [(at, "put", {"put_id": put_id, "expect": expect, "plan": document})]
    if acked:
        entries.append((at, "acked", {"put_id": put_id, "mark": expect + 1}))
    return entries


def refused(document, expect, at):
    put_id = f"put-{expect}-{at}"
    facts = {"put_id": put_id, "status": 409, "code": "mark_conflict", "done": "no"}
    return [*put(document, expect, at, acked=False), (at, "unacked", facts)]


def asked(id, key, at, kind="check"):
    return (at, "asked", {"id": id, "kind": kind, "api_key": key})


def offered(id, name, at):
    facts = {"asked": id, "request": f"edge-1-9-{id}", "runner": "runner-1", "tenant": name}
    return (at, "offered", facts)


def begun(id, at):
    return (at, "begin", {"asked": id, "runner": "runner-1"})


def ended(id, status, at, code=None):
    return (at, "ended", {"id": id, "status": status, "code": code})


def key_seen():
    return (S, "key_seen", {"runner": "runner-1", "path": "/v1/decode", "api_key": K1})


TWO = put(plan(t1=tenant(K1), t2=tenant(K2)))
MOVED = [*TWO, *put(plan(t1=tenant(), t2=tenant(K2, K1)), expect=1, at=10 * S)]
REVOKED = [*TWO, *put(plan(t1=tenant(), t2=tenant(K2)), expect=1, at=10 * S)]
ADDED = [*TWO, *put(plan(t1=tenant(K1, K3), t2=tenant(K2)), expect=1, at=10 * S)]
LATE = 10 * S + APPLIED_WITHIN_US + 1
OPEN = put({"kinds": {"check": {}}})


def case(checker, *histories, breaks):
    owner = tenant_checkers if hasattr(tenant_checkers, checker) else quota_checkers
    return [pytest.param(getattr(owner, checker), h, breaks, id=checker) for h in histories]


KEY_CASES = [
    *case("runners_see_no_keys", [key_seen()], breaks=True),
    *case("runners_see_no_keys", [*TWO, asked("a", K1, S), offered("a", "t1", S)], breaks=False),
    *case(
        "runners_see_the_holder_of_the_key",
        [*TWO, asked("a", K1, S), offered("a", "t2", S)],
        [*TWO, asked("a", K1, S), offered("a", "somebody-else", S)],
        [*TWO, asked("a", K1, S), offered("a", None, S)],
        [*TWO, asked("a", K1, S, kind="help"), offered("a", "t2", S)],
        [*TWO, asked("a", None, S, kind="help"), offered("a", "t1", S)],
        [*MOVED, asked("a", K1, LATE), offered("a", "t1", LATE)],
        [*OPEN, asked("a", K1, S), offered("a", "t1", S)],
        breaks=True,
    ),
    *case(
        "runners_see_the_holder_of_the_key",
        [*TWO, asked("a", K1, S), offered("a", "t1", S)],
        [*TWO, asked("a", K1, S, kind="help"), offered("a", "t1", S)],
        [*TWO, asked("a", K1, S, kind="help"), offered("a", None, S)],
        [*MOVED, asked("a", K1, 9 * S), offered("a", "t1", 20 * S)],
        [*MOVED, asked("a", K1, LATE), offered("a", "t2", LATE)],
        [*MOVED, asked("a", K1, LATE - 2), offered("a", "t1", LATE - 2)],
        [*OPEN, asked("a", None, S), offered("a", None, S)],
        breaks=False,
    ),
    *case(
        "unknown_keys_run_nothing",
        [*TWO, asked("a", K3, S), begun("a", S)],
        [*TWO, asked("a", None, S), begun("a", S)],
        [*TWO, *refused(plan(t1=tenant(K3)), 1, 2 * S), asked("a", K3, 3 * S), begun("a", 3 * S)],
        breaks=True,
    ),
    *case(
        "unknown_keys_run_nothing",
        [*TWO, asked("a", K1, S), begun("a", S)],
        [*TWO, asked("a", None, S, kind="help"), begun("a", S)],
        [*TWO, asked("a", K3, S), ended("a", 401, S)],
        [*REVOKED, asked("a", K1, LATE), begun("a", LATE)],
        [*OPEN, asked("a", K3, S), begun("a", S)],
        breaks=False,
    ),
    *case(
        "revoked_keys_run_nothing",
        [*REVOKED, asked("a", K1, LATE), begun("a", LATE)],
        [*REVOKED, asked("a", K1, S), asked("a", K1, LATE), begun("a", LATE)],
        breaks=True,
    ),
    *case(
        "revoked_keys_run_nothing",
        [*REVOKED, asked("a", K1, LATE - 2), begun("a", LATE)],
        [*REVOKED, asked("a", K1, 9 * S), begun("a", 30 * S)],
        [*REVOKED, asked("a", K1, LATE), ended("a", 401, LATE)],
        [*REVOKED, asked("a", K2, LATE), begun("a", LATE)],
        [*TWO, asked("a", K3, S), begun("a", S)],
        breaks=False,
    ),
    *case(
        "keys_in_force_are_accepted",
        [*TWO, asked("a", K1, S), ended("a", 401, S)],
        [*TWO, asked("a", None, S, kind="help"), ended("a", 401, S)],
        [*ADDED, asked("a", K3, LATE), ended("a", 401, LATE)],
        [*MOVED, asked("a", K1, 10 * S + 1), ended("a", 401, 10 * S + 2)],
        [
            *TWO,
            *refused(plan(t1=tenant()), 1, 2 * S),
            asked("a", K1, 3 * S),
            ended("a", 401, 3 * S),
        ],
        breaks=True,
    ),
    *case(
        "keys_in_force_are_accepted",
        [*TWO, asked("a", K3, S), ended("a", 401, S)],
        [*TWO, asked("a", K1, S), ended("a", 503, S)],
        [*ADDED, asked("a", K3, LATE - 2), ended("a", 401, LATE - 2)],
        [*REVOKED, asked("a", K1, 10 * S + 1), ended("a", 401, 10 * S + 1)],
        breaks=False,
    ),
]


def limited(rate, burst, expect=0, at=0):
    return put(plan(t1=tenant(K1, rate=rate, burst=burst), t2=tenant(K2)), expect, at)


def burst_of(count, at, key=K1, begun_after=10):
    times = [(f"{key}-{at}-{number}", at + number * 1_000) for number in range(count)]
    return [
        entry
        for id, sent in times
        for entry in (asked(id, key, sent), begun(id, sent + begun_after))
    ]


def spread(count, at):
    """Requests spread evenly over two windows."""
    times = [at + number * 10 * S // count for number in range(count)]
    return [entry for sent in times for entry in burst_of(1, sent)]


def denied(at, code="quota_spent"):
    return [asked("z", K1, at), ended("z", 429, at, code)]


def by_time(*parts):
    return sorted((entry for part in parts for entry in part), key=lambda entry: entry[0])


MOST = int((2 * 5 + 10) * 1.1 + 20)
LOWERED = int((1 * 5 + 2) * 1.1 + 20)
BOUND_US = 10 * S + APPLIED_WITHIN_US + 5 * S

QUOTA_CASES = [
    *case(
        "tenants_keep_to_their_limits",
        by_time(limited(2, 10), burst_of(MOST + 1, S)),
        by_time(limited(2, 10), burst_of(20, S), burst_of(MOST - 19, 5 * S)),
        by_time(limited(9, 9), limited(1, 2, 1, 10 * S), burst_of(LOWERED + 1, BOUND_US + S)),
        breaks=True,
    ),
    *case(
        "tenants_keep_to_their_limits",
        by_time(limited(2, 10), burst_of(MOST, S)),
        by_time(limited(2, 10), burst_of(20, S), burst_of(MOST - 19, 7 * S)),
        by_time(limited(2, 10), burst_of(30, S), burst_of(MOST, S, begun_after=9 * S)),
        by_time(limited(0, 0), burst_of(300, S)),
        by_time(limited(2, 10), burst_of(300, S, key=K2)),
        by_time(limited(9, 9), limited(1, 2, 1, 10 * S), burst_of(LOWERED + 1, BOUND_US - 2)),
        by_time(limited(1, 2), limited(9, 9, 1, 10 * S), burst_of(LOWERED + 5, 11 * S)),
        breaks=False,
    ),
    *case(
        "tenants_within_their_limits_are_served",
        by_time(limited(4, 4), spread(19, 4 * S), denied(14 * S)),
        by_time(limited(4, 4), denied(14 * S)),
        by_time(limited(4, 4), burst_of(2, 13 * S), denied(14 * S)),
        breaks=True,
    ),
    *case(
        "tenants_within_their_limits_are_served",
        by_time(limited(4, 4), spread(24, 4 * S), denied(14 * S)),
        by_time(limited(4, 4), burst_of(6, 13 * S), denied(14 * S)),
        by_time(limited(4, 4), burst_of(10, 13 * S), denied(14 * S)),
        by_time(limited(4, 4), denied(14 * S, "quota_unknown")),
        by_time(limited(4, 4), limited(0.1, 0, 1, 10 * S), burst_of(2, 13 * S), denied(14 * S)),
        breaks=False,
    ),
]


@pytest.mark.parametrize("checker, history, breaks", KEY_CASES + QUOTA_CASES)
def test_a_rule_about_tenants_finds_its_breach_and_nothing_else(checker, history, breaks):
    assert bool(list(checker(history))) is breaks


def test_a_version_whose_answer_was_lost_may_be_in_force_until_a_newer_one_was_acknowledged():
    unclear = put(plan(t1=tenant(K3)), 1, 10 * S, acked=False)
    later = put(plan(t1=tenant(K1)), 2, 20 * S)
    history = ConfigurationHistory([*TWO, *unclear, *later])
    assert [version.mark for version in history.in_force(11 * S, 11 * S)] == [1, 2]
    assert [version.mark for version in history.in_force(30 * S, 30 * S)] == [3]


def test_a_version_whose_mark_another_version_got_was_never_in_force():
    lost = put(plan(t1=tenant(K3)), 1, 10 * S, acked=False)
    won = put(plan(t1=tenant(K1)), 1, 11 * S)
    history = ConfigurationHistory([*TWO, *lost, *won])
    assert not history.ever_held(digest_api_key(K3))


def test_every_rule_about_tenants_is_covered_and_among_the_checkers():
    from linkhaven.stage.checkers import CHECKERS

    shown = {parameter.values[0] for parameter in KEY_CASES + QUOTA_CASES}
    assert shown == {*tenant_checkers.TENANT_CHECKERS, *quota_checkers.QUOTA_CHECKERS}
    assert shown <= set(CHECKERS)
