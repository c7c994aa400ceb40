"""Interval between ticks of the event loop: short while requests wait for them, else longer."""

from types import SimpleNamespace

import pytest

from linkhaven.router import RouterNode
from linkhaven.router.node import IDLE_TICK_US
from linkhaven.wire import timer as timer_module
from linkhaven.wire.timer import TICK_US, Timer

TRANSIT_US = 200_000


class Time:
    """A clock that the test advances."""

    def __init__(self, monkeypatch):
        self.now_us = 1_000_000
        monkeypatch.setattr(timer_module, "monotonic_us", lambda: self.now_us)


def ticks_within(timer, time, span_us, step_us=1_000):
    ticks = []
    timer.on_tick = lambda on_tick=timer.on_tick: ticks.append(time.now_us) or on_tick()
    for _ in range(span_us // step_us):
        timer.turn()
        time.now_us += step_us
    return ticks


@pytest.mark.parametrize("rest_us, pace_us", [(None, TICK_US), (50_000, 50_000), (20_000, 20_000)])
def test_a_tick_determines_when_the_next_follows(monkeypatch, rest_us, pace_us):
    time = Time(monkeypatch)
    timer = Timer(lambda: rest_us)
    ticks = ticks_within(timer, time, 1_000_000)
    assert {after - before for before, after in zip(ticks, ticks[1:], strict=False)} == {pace_us}


def test_delayed_calls_keep_their_time_within_a_long_rest(monkeypatch):
    time = Time(monkeypatch)
    timer, called = Timer(lambda: 50_000), []
    timer.turn()
    timer.call_in(7_000, lambda: called.append(time.now_us))
    assert timer.time_left() == pytest.approx(0.007)
    ticks_within(timer, time, 20_000)
    assert called == [1_007_000]


@pytest.mark.parametrize(
    "changed, rest_us",
    [
        ({}, IDLE_TICK_US),
        ({"is_waiting": True}, 0),
        ({"is_open": False}, 0),
        ({"is_draining": True}, 0),
        ({"requests": 1}, 0),
        ({"requests": 1, "is_large": True}, IDLE_TICK_US),
        ({"requests": 1, "is_large": True, "is_waiting": True}, 0),
    ],
)
def test_a_router_rests_only_while_nothing_waits_for_its_ticks(changed, rest_us):
    state = {"is_open": True, "is_draining": False, "is_waiting": False, "is_large": False}
    state.update(changed)
    router = SimpleNamespace(
        is_open=state["is_open"],
        is_draining=state["is_draining"],
        requests=["request"] * state.get("requests", 0),
        admission=SimpleNamespace(is_waiting=lambda: state["is_waiting"]),
        placement=SimpleNamespace(is_large=lambda: state["is_large"]),
    )
    assert RouterNode.next_tick_delay_us(router) == rest_us
    assert IDLE_TICK_US <= TRANSIT_US // 4
