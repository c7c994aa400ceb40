"""One runner of a pool is left: it serves what it can, and no request kind takes all of it.

The users' incident RECOVER (docs/incidents/inc1-recover.md): four of five runners left in
order, and of the prompts that the last one could prefill in time next to none was served.
"""

import pytest
from pooled_fleet import NOTICE_US, fleet, loaded_fleet, served_by_kind, violations

from linkhaven.stage.fleet import SECOND


@pytest.mark.parametrize("seed", range(1, 9))
def test_the_last_runner_serves_short_prompts_beside_long_ones(seed):
    one = fleet(seed)
    one.world.run_for(5 * SECOND)
    since_us = one.world.now_us
    one.world.run_for(15 * SECOND)
    one.settle()
    shares = served_by_kind(one, since_us)
    assert shares["question"] >= 0.5, shares
    assert shares["check"] >= 0.4, shares
    assert shares["digest"] >= 0.02, shares
    assert violations(one) == {}


@pytest.mark.parametrize("seed", range(1, 9))
def test_leaving_runners_accept_work_that_only_they_can_do_for_half_of_their_notice(seed):
    one = loaded_fleet(seed)
    decoding = ("runner-4", "runner-5")
    one.list_runners(**{name.replace("-", "_"): "leaving" for name in decoding})
    lag_us = one.platform.node.lag_us
    listed_us = one.world.now_us + lag_us
    one.world.run_for(lag_us + SECOND)
    last_us = max(
        at_us
        for at_us, what, facts in one.world.record
        if what == "offered" and facts["runner"] in decoding
    )
    assert last_us > listed_us + SECOND // 2
    one.world.run_for(6 * SECOND)
    sent = [
        facts["sent_us"]
        for _, what, facts in one.world.record
        if what == "offered" and facts["runner"] in decoding
    ]
    assert max(sent) < listed_us + NOTICE_US
    assert violations(one) == {}
