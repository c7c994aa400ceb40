"""Load spikes of single tenants during a soak, drawn from the seed.

Only tenants with the lowest rate limits are chosen: the fleet admits little of their excess load,
so the service to other tenants can still be checked during a spike.
"""

import random
from collections.abc import Callable
from typing import Protocol

from ..tenants import TenantPopulation
from .schedule import SECOND_US

HOT_FACTOR = 40.0
HOT_SPAN_US = (6 * SECOND_US, 9 * SECOND_US)
PAUSE_US = (2 * SECOND_US, 5 * SECOND_US)
LOWEST_LIMITS = 2


class Clock(Protocol):
    """The timer of the load's event loop."""

    def call_in(self, delay_us: int, action: object) -> None:
        """Run `action` once after `delay_us` microseconds."""


class HotTenant:
    """Raises one tenant's load at a time to `HOT_FACTOR` times its normal rate, with pauses."""

    __slots__ = ("clock", "rng", "names", "note", "tenants", "until_us")

    def __init__(
        self,
        tenants: TenantPopulation,
        clock: Clock,
        note: Callable[..., None],
        seed: int,
        seconds: int,
    ) -> None:
        """Spikes start within `seconds` after `begin`; `note` writes an entry into the record."""
        self.tenants = tenants
        self.note = note
        self.clock = clock
        self.rng = random.Random(seed)
        self.until_us = seconds * SECOND_US
        limited = [candidate for candidate in tenants.profiles.values() if candidate.requests_per_s]
        limited.sort(key=lambda profile: profile.requests_per_s)
        self.names = [profile.name for profile in limited[:LOWEST_LIMITS]]

    def begin(self) -> None:
        """Schedule the begin and end of each spike."""
        at_us = self.rng.randint(*PAUSE_US)
        while at_us < self.until_us:
            end_us = at_us + self.rng.randint(*HOT_SPAN_US)
            name = self.rng.choice(self.names)
            self._call_at(at_us, name, HOT_FACTOR)
            self._call_at(end_us, name, 1.0)
            at_us = end_us + self.rng.randint(*PAUSE_US)

    def _call_at(self, at_us: int, name: str, factor: float) -> None:
        def switch() -> None:
            self.note("tenant_load", tenant=name, factor=factor)
            self.tenants.set_load(name, factor)

        self.clock.call_in(at_us, switch)
