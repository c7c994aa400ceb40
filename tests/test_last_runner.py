"""One runner of a pool is left: what it can serve is served, and no kind takes all of it.

The users' incident RECOVER (docs/incidents/inc1-recover.md): four of five runners left in order,
and of what the last one could read in time next to nothing was served.
"""

import pytest
from pooled_fleet import fleet, served_by_kind

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
