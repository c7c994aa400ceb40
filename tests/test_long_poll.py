"""How long seats hold a router's asks, by the fleet's size, the bounds and the duties."""

import pytest

from linkhaven.configuration.long_poll import (
    MAX_HOLD_US,
    SECTION_SENDER_TTL_US,
    SMALL_FLEET_ROUTERS,
    LongPollHold,
)
from linkhaven.runtime import Bounds

PARTS = ("roster", "steward", "shares")


def pace_of(routers, **bounds):
    return LongPollHold(Bounds(**bounds), lambda: routers)


@pytest.mark.parametrize("routers", [1, 3, SMALL_FLEET_ROUTERS])
def test_a_small_fleet_asks_at_full_pace(routers):
    pace = pace_of(routers)
    assert {pace.hold_us(seat, False, 0) for seat in "abc"} == {Bounds().news_hold_us}


@pytest.mark.parametrize("routers", [18, 40, 80, 340])
@pytest.mark.parametrize("stale_us", [None, 1_500_000, 900_000])
@pytest.mark.parametrize("lease_us", [3_000_000, 1_200_000])
def test_a_hold_stays_within_a_third_of_what_it_must_renew(routers, stale_us, lease_us):
    bounds = Bounds(plan_stale_us=stale_us, lease_us=lease_us)
    pace = LongPollHold(bounds, lambda: routers)
    longest_us = pace.longest_us()
    assert bounds.news_hold_us <= longest_us <= MAX_HOLD_US
    assert longest_us * 3 <= max(3 * bounds.news_hold_us, lease_us)
    if stale_us is not None:
        assert longest_us * 3 <= max(3 * bounds.news_hold_us, stale_us)


def test_the_replicas_that_matter_are_polled_more_often_at_a_large_fleet():
    pace = pace_of(80, plan_stale_us=None)
    pace.note_response("a", {"roster": {}, "steward": {}}, PARTS, 0)
    pace.note_response("b", {"shares": {}}, PARTS, 0)
    assert pace.hold_us("c", False, 0) == pace.longest_us() == MAX_HOLD_US
    assert pace.hold_us("a", False, 0) == MAX_HOLD_US // 2
    assert pace.hold_us("b", False, 0) == MAX_HOLD_US
    assert pace.hold_us("b", True, 0) == Bounds().news_hold_us
    assert pace.hold_us("c", True, 0) == MAX_HOLD_US


def test_a_small_fleet_lets_every_replica_count():
    pace = pace_of(SMALL_FLEET_ROUTERS)
    pace.note_response("a", {"roster": {}}, PARTS, 0)
    assert all(pace.is_sender(seat, "roster", 0) for seat in "abc")


def test_while_no_replica_sends_a_section_any_may():
    pace = pace_of(80)
    assert all(pace.is_sender(seat, "roster", 0) for seat in "abc")
    pace.note_response("a", {"roster": {}}, PARTS, 0)
    assert [seat for seat in "abc" if pace.is_sender(seat, "roster", 0)] == ["a"]
    pace.note_response("b", {"roster": {}}, PARTS, 0)
    pace.note_response("a", {}, PARTS, 0)
    assert [seat for seat in "abc" if pace.is_sender(seat, "roster", 0)] == ["b"]
    assert all(pace.is_sender(seat, "roster", SECTION_SENDER_TTL_US) for seat in "abc")
