"""Quotas of groups: the token bucket, fair queueing, and the wire format of the reports."""

from types import SimpleNamespace

from linkhaven.configuration import Allowance, Group, QueueBounds
from linkhaven.credit.group_account import GroupAccount
from linkhaven.credit.messages import (
    AllocatedGrant,
    AllocatedShares,
    DemandReport,
    read_demand,
    write_fields,
)
from linkhaven.credit.scheduler import QUANTUM_TOKENS, DeficitRoundRobin
from linkhaven.credit.token_bucket import NO_RATE_WAIT_US, TokenBucket
from linkhaven.runtime import Table

SECOND = 1_000_000
BOUNDS = QueueBounds(requests=1_000, tokens=10_000_000, wait_us=SECOND)


def account_with(name, weight=1.0, credit=None, prompts=()):
    account = GroupAccount(name, 0)
    allowance = None if credit is None else Allowance(**credit)
    account.settings = Group(allowance=allowance, weight=weight, queue=BOUNDS)
    for tokens in prompts:
        account.append(
            SimpleNamespace(prompt_tokens=tokens, answer_tokens=0, group=name, rank=0), 0
        )
    return account


def scheduler_of(*accounts):
    scheduler = DeficitRoundRobin(Table((account.name, account) for account in accounts))
    scheduler.refresh_order()
    return scheduler


def test_shares_and_reports_stand_on_the_wire_as_older_versions_read_them():
    shares = AllocatedShares(3, {"seats": AllocatedGrant(12.5, 3_000_000_001)})
    assert write_fields(shares) == {"fence": 3, "rates": {"seats": [12.5, 3_000_000_001]}}
    shares = AllocatedShares(3, {}, AllocatedGrant(2, 3_000_000_002))
    assert write_fields(shares) == {"fence": 3, "rates": {}, "extra": [2, 3_000_000_002]}
    fields = write_fields(DemandReport(wanted=1, rate=0.0, grant=7))
    assert list(fields.items()) == [("wanted", 1), ("rate", 0.0), ("grant", 7)]


def test_a_report_is_read_without_a_change_of_its_numbers_types():
    report = read_demand({"wanted": 1, "rate": 2, "grant": 3, "field of a newer version": 4})
    assert [type(number) for number in (report.wanted, report.rate)] == [int, int]


def test_a_bucket_fills_at_its_rate_up_to_its_capacity():
    bucket = TokenBucket(10.0, 25.0, 0, level=-5.0)
    assert bucket.refill(SECOND) == 5.0
    assert bucket.wait_us(15.0, SECOND) == SECOND + 1
    assert bucket.refill(9 * SECOND) == 25.0
    assert bucket.refill(SECOND) == 25.0
    bucket.resize(0.0, 20.0, 9 * SECOND)
    assert (bucket.level, bucket.wait_us(21.0, 9 * SECOND)) == (20.0, NO_RATE_WAIT_US)


def test_groups_are_served_in_proportion_to_their_weights():
    light = account_with("light", 1.0, prompts=[QUANTUM_TOKENS] * 40)
    heavy = account_with("heavy", 3.0, prompts=[QUANTUM_TOKENS] * 40)
    served = []

    def start(request):
        if len(served) == 40:
            return False
        served.append(request.group)
        return True

    scheduler_of(light, heavy).run(start, lambda: 0)
    assert (served.count("light"), served.count("heavy")) == (10, 30)
    assert (light.spent_tokens, light.queued_tokens) == (10 * QUANTUM_TOKENS, 30 * QUANTUM_TOKENS)


def test_a_group_without_credit_or_room_delays_no_other():
    credit = {"tokens": 1_000, "period_us": SECOND}
    poor = account_with("poor", credit=credit, prompts=[10, 10])
    stuck = account_with("stuck", prompts=[10, 10])
    free = account_with("free", prompts=[10, 10])
    scheduler_of(poor, stuck, free).run(lambda request: request.group != "stuck", lambda: 0)
    assert [len(account.queue) for account in (poor, stuck, free)] == [2, 2, 0]


def test_a_prompt_larger_than_a_full_bucket_is_served_and_leaves_a_debt():
    account = account_with("seats", credit={"tokens": 100, "period_us": SECOND}, prompts=[300])
    account.apply_grant(100.0, 1, 10 * SECOND, 0)
    assert account.has_credit_for(account.queue[0], 0)
    account.pop_served()
    assert account.bucket.level == -200.0
