"""The clock of the event loop: monotonic time, the node's ticks, and delayed callbacks."""

import heapq
import time
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler

TICK_US = 20_000
"""Tick interval for a node whose tick returns no delay of its own."""

NS_PER_US = 1_000
US_PER_S = 1_000_000


def monotonic_us() -> int:
    """Monotonic time in microseconds since an unspecified epoch; independent of the wall clock."""
    return time.monotonic_ns() // NS_PER_US


class Timer(BaseComponent):
    """The clock port of the event loop; it also limits how long the poller waits.

    `on_tick` may return the delay until the next tick in microseconds; otherwise the delay is
    `tick_us`.
    """

    channel = "timer"

    def __init__(self, on_tick: Callable[[], int | None], tick_us: int = TICK_US) -> None:
        """Create a timer whose first tick is due immediately."""
        super().__init__()
        self.on_tick = on_tick
        self.tick_us = tick_us
        self.timers: list[tuple[int, int, Callable[[], Any]]] = []
        self.serial = 0
        self.due_us = monotonic_us()

    def now_us(self) -> int:
        """Return the monotonic time in microseconds."""
        return monotonic_us()

    def call_in(self, delay_us: int, callback: Callable[[], Any]) -> None:
        """Call `callback` after `delay_us` microseconds or slightly later.

        Callbacks that are due at the same time run in the order they were scheduled.
        """
        self.serial += 1
        heapq.heappush(self.timers, (monotonic_us() + delay_us, self.serial, callback))

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event: Any) -> None:
        try:
            self._run_due()
        finally:
            event.reduce_time_left(self.time_left())

    def time_left(self) -> float:
        """Seconds until the next tick or callback is due; 0 if one is overdue."""
        next_us = min(self.due_us, self.timers[0][0]) if self.timers else self.due_us
        return max(0.0, (next_us - monotonic_us()) / US_PER_S)

    def turn(self) -> float:
        """Run what is due now; returns the seconds until the next tick or callback is due."""
        self._run_due()
        return self.time_left()

    def _run_due(self) -> None:
        now_us = monotonic_us()
        while self.timers and self.timers[0][0] <= now_us:
            heapq.heappop(self.timers)[2]()
        if now_us >= self.due_us:
            self.due_us = now_us + self.tick_us
            delay_us = self.on_tick()
            if delay_us is not None:
                self.due_us = now_us + delay_us
