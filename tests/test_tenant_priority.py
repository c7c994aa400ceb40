"""A tenant's priority overrides its route's, within the queue that its requests share."""

from types import SimpleNamespace

import pytest

from linkhaven.configuration import Configuration, Group, RequestKind, Tenant
from linkhaven.credit.group_account import GroupAccount

S = 1_000_000
DEADLINE_US = 8 * S


def queued(account, name, rank, now_us):
    request = SimpleNamespace(
        name=name,
        rank=rank,
        prompt_tokens=10,
        answer_tokens=10,
        deadline_us=now_us + DEADLINE_US,
        queued_us=0,
    )
    account.append(request, now_us)
    return request


def names_in(account):
    return [request.name for request in account.queue]


def configure(priority):
    kind = RequestKind(group="g", ttft_us=1, tpot_us=1, deadline_us=1, priority=2)
    tenants = {"t-1": Tenant((), priority=priority)}
    return kind, Configuration(groups={"g": Group()}, kinds={"k": kind}, tenants=tenants)


@pytest.mark.parametrize("priority, tenant, rank", [(0, "t-1", 0), (5, "t-1", 5), (None, "t-1", 2)])
def test_a_tenants_priority_counts_before_that_of_the_route(priority, tenant, rank):
    kind, configuration = configure(priority)
    assert configuration.rank_of(kind, tenant) == rank
    assert configuration.rank_of(kind, None) == 2


def test_a_request_goes_before_those_of_a_lower_rank_and_behind_its_own():
    account = GroupAccount("g", 0)
    for name, rank in (("low", 2), ("first", 0), ("middle", 1), ("second", 0)):
        queued(account, name, rank, 0)
    assert names_in(account) == ["first", "second", "middle", "low"]


def test_requests_of_one_rank_stay_in_the_order_in_which_they_came():
    account = GroupAccount("g", 0)
    for name in ("a", "b", "c"):
        queued(account, name, 1, 0)
    assert names_in(account) == ["a", "b", "c"]


def test_a_busy_tenant_of_a_high_rank_starves_no_request_that_has_waited_long():
    account = GroupAccount("g", 0)
    queued(account, "old", 2, 0)
    for place in range(5):
        queued(account, f"high-{place}", 0, 2 * S)
    assert names_in(account)[0] == "old"
    assert account.queued_tokens == 60
