"""Runtime check of the invariant that no pool stays without a prefill or decode runner.

Tests: `tests/test_vacant_roles.py`.
"""

from collections.abc import Iterable
from typing import Any

from .role_pools import RunnerPool

VACANT_ROLE = "empty_side"
"""The name of the invariant in event 1901 and in GET /v1/standing."""


class VacantRoleMonitor:
    """Measures how long each role of each pool is vacant while the lease holder may order.

    The timer of a vacancy starts when a healthy runner could be ordered to the role and the holder
    may order. It restarts if the runner that was switching to the role is lost.
    """

    __slots__ = ("ports", "violations")

    def __init__(self, ports: Any) -> None:
        """`ports`: the node's ports; violations are logged there."""
        self.ports = ports
        self.violations = 0

    def check(self, pool: RunnerPool, role: str, bound_us: int, now_us: int) -> None:
        """Check a required role; log and count one violation per vacancy beyond the bound."""
        vacancy = pool.vacancies[role]
        is_unfilled = not pool.roles.healthy[role]
        if not is_unfilled or not (
            vacancy.unfilled_since_us is not None or pool.roles.arriving[role]
        ):
            return self.end(pool, role)
        if vacancy.fillable_since_us is None:
            vacancy.fillable_since_us = now_us
        vacant_us = now_us - vacancy.fillable_since_us
        if vacant_us > bound_us and not vacancy.is_violated:
            vacancy.is_violated = True
            self.violations += 1
            self.ports.log(
                1901,
                invariant=VACANT_ROLE,
                pool=pool.name,
                phase=role,
                for_us=vacant_us,
                bound_us=bound_us,
            )

    def end(self, pool: RunnerPool, role: str) -> None:
        """Stop the timer: the role is filled, not required, or no runner could take it."""
        vacancy = pool.vacancies[role]
        vacancy.fillable_since_us = None
        vacancy.is_violated = False

    def as_record(self, pools: Iterable[RunnerPool], now_us: int) -> dict[str, Any]:
        """The current vacancies in microseconds and the violations, for GET /v1/standing."""
        vacant_us = {
            f"{pool.name or ''}/{role}": now_us - vacancy.fillable_since_us
            for pool in pools
            for role, vacancy in pool.vacancies.items()
            if vacancy.fillable_since_us is not None
        }
        return {"empty_sides_us": vacant_us, "violations": {VACANT_ROLE: self.violations}}
