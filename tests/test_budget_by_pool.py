from linkhaven.credit import ExtraBudget


class Node:
    def __init__(self):
        self.us, self.systems = 0, []

    def now_us(self):
        return self.us


def budget(part=3):
    extra = ExtraBudget(Node())
    extra.take_plan({"extra": {"share": 0.2, "margin": 10}, "pools": {"one": {}, "two": {}}})
    extra.take_part(part, 1, 3_000_000)
    return extra


def test_what_requests_of_one_pool_earn_is_not_spent_on_another():
    extra = budget()
    for _ in range(11):
        extra.earn("one")
    assert not extra.spend("retry", pool="two")
    assert (
        extra.spend("retry", pool="one")
        and extra.spend("retry", pool="one")
        and not extra.spend("retry", pool="one")
    )


def test_earnings_of_each_pool_are_bounded_by_the_part_and_lapse_with_it():
    extra = budget(part=1)
    for _ in range(50):
        extra.earn("one")
        extra.earn("two")
    assert extra.spend("retry", pool="one") and not extra.spend("retry", pool="one")
    extra.node.us = 4_000_000
    assert not extra.spend("retry", pool="two")


def test_a_pool_that_the_plan_no_longer_names_leaves_nothing_behind():
    extra = budget()
    extra.earn("one")
    extra.take_plan({"extra": {"share": 0.2, "margin": 10}, "pools": {"two": {}}})
    assert set(extra.buckets) == {None}
