"""The retry budget: earning by requests of a pool, spending per pool, and expiry."""

from linkhaven.configuration import decode_configuration
from linkhaven.credit import RetryBudget

GRANT_EXPIRES_US = 3_000_000


class Node:
    def __init__(self):
        self.us, self.tick_handlers = 0, []

    def now_us(self):
        return self.us


def configuration_with(*pools):
    document = {
        "groups": {"g": {}},
        "kinds": {},
        "extra": {"share": 0.2, "margin": 10},
        "pools": {pool: {} for pool in pools},
    }
    return decode_configuration(document)


def budget_with(attempts=3):
    budget = RetryBudget(Node())
    budget.apply_configuration(configuration_with("one", "two"))
    budget.apply_grant(attempts, 1, GRANT_EXPIRES_US)
    return budget


def test_what_requests_of_one_pool_earn_is_not_spent_on_another():
    budget = budget_with()
    for _ in range(11):
        budget.earn("one")
    assert not budget.spend("retry", pool="two")
    assert (
        budget.spend("retry", pool="one")
        and budget.spend("retry", pool="one")
        and not budget.spend("retry", pool="one")
    )


def test_earnings_of_each_pool_are_bounded_by_the_grant_and_lapse_with_it():
    budget = budget_with(attempts=1)
    for _ in range(50):
        budget.earn("one")
        budget.earn("two")
    assert budget.spend("retry", pool="one") and not budget.spend("retry", pool="one")
    budget.node.us = 4_000_000
    assert not budget.spend("retry", pool="two")


def test_the_bucket_of_a_removed_pool_is_dropped():
    budget = budget_with()
    budget.earn("one")
    budget.apply_configuration(configuration_with("two"))
    assert set(budget.buckets) == {None}


def test_a_grant_older_than_the_one_held_changes_nothing():
    budget = budget_with(attempts=3)
    budget.apply_grant(9, 1, 2 * GRANT_EXPIRES_US)
    assert budget.demand_report() == {"wanted": 0, "rate": 3, "grant": 1}
