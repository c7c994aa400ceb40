"""The hold of a router's polls, by the fleet's size, the deployment's settings and leases."""

import pytest

from linkhaven.configuration.long_poll import (
    MAX_HOLD_US,
    SECTION_SENDER_TTL_US,
    SMALL_FLEET_ROUTERS,
    LongPollHold,
)
from linkhaven.runtime import Bounds

SECTIONS = ("roster", "steward", "shares")


def make_hold(routers, **bounds):
    return LongPollHold(Bounds(**bounds), lambda: routers)


@pytest.mark.parametrize("routers", [1, 3, SMALL_FLEET_ROUTERS])
def test_a_small_fleet_polls_with_the_usual_hold(routers):
    hold = make_hold(routers)
    assert {hold.hold_us(replica_id, False, 0) for replica_id in "abc"} == {
        Bounds().long_poll_hold_us
    }


@pytest.mark.parametrize("routers", [18, 40, 80, 340])
@pytest.mark.parametrize("stale_us", [None, 1_500_000, 900_000])
@pytest.mark.parametrize("lease_us", [3_000_000, 1_200_000])
def test_a_hold_stays_within_a_third_of_what_it_must_renew(routers, stale_us, lease_us):
    bounds = Bounds(plan_stale_us=stale_us, lease_us=lease_us)
    hold = LongPollHold(bounds, lambda: routers)
    longest_us = hold.longest_us()
    assert bounds.long_poll_hold_us <= longest_us <= MAX_HOLD_US
    assert longest_us * 3 <= max(3 * bounds.long_poll_hold_us, lease_us)
    if stale_us is not None:
        assert longest_us * 3 <= max(3 * bounds.long_poll_hold_us, stale_us)


@pytest.mark.parametrize(
    "routers, list_hold_us",
    [
        (80, 250_000),
        (125, 250_000),
        (160, 320_000),
        (200, MAX_HOLD_US // 2),
        (340, MAX_HOLD_US // 2),
    ],
)
def test_lease_holders_are_polled_more_often_in_a_large_fleet(routers, list_hold_us):
    hold = make_hold(routers, plan_stale_us=None)
    hold.note_response("a", {"roster": {}, "steward": {}}, SECTIONS, 0)
    hold.note_response("b", {"shares": {}}, SECTIONS, 0)
    assert hold.hold_us("c", False, 0) == hold.longest_us() == MAX_HOLD_US
    assert hold.hold_us("a", False, 0) == list_hold_us
    assert hold.hold_us("b", False, 0) == MAX_HOLD_US
    assert hold.hold_us("b", True, 0) == Bounds().long_poll_hold_us
    assert hold.hold_us("c", True, 0) == MAX_HOLD_US


def test_in_a_small_fleet_each_replica_counts_as_sender():
    hold = make_hold(SMALL_FLEET_ROUTERS)
    hold.note_response("a", {"roster": {}}, SECTIONS, 0)
    assert all(hold.is_sender(replica_id, "roster", 0) for replica_id in "abc")


def test_each_replica_counts_as_sender_while_none_sends_a_section():
    hold = make_hold(80)
    assert all(hold.is_sender(replica_id, "roster", 0) for replica_id in "abc")
    hold.note_response("a", {"roster": {}}, SECTIONS, 0)
    assert [replica_id for replica_id in "abc" if hold.is_sender(replica_id, "roster", 0)] == ["a"]
    hold.note_response("b", {"roster": {}}, SECTIONS, 0)
    hold.note_response("a", {}, SECTIONS, 0)
    assert [replica_id for replica_id in "abc" if hold.is_sender(replica_id, "roster", 0)] == ["b"]
    assert all(hold.is_sender(replica_id, "roster", SECTION_SENDER_TTL_US) for replica_id in "abc")
