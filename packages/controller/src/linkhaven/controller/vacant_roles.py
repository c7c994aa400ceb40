"""The invariant that no pool is long without a prefill or a decode runner, watched while it runs.

Tests: `tests/test_vacant_roles.py`.
"""

from collections.abc import Iterable
from typing import Any

from .role_pools import RunnerPool

VACANT_ROLE = "empty_side"
"""The name of the invariant in event 1901 and in the standing."""


class VacantRoleMonitor:
    """Counts how long each role of each pool was vacant under a holder that may order.

    A spell begins when a sound runner could be ordered to the role and the holder may order. It
    begins anew where the runner that was on its way to the role is lost.
    """

    __slots__ = ("ports", "violations")

    def __init__(self, ports: Any) -> None:
        """`ports`: those of the node, to log with."""
        self.ports = ports
        self.violations = 0

    def check(self, pool: RunnerPool, role: str, bound_us: int, now_us: int) -> None:
        """The role is needed: log and count it once a spell when it is vacant beyond the bound."""
        vacancy = pool.vacancies[role]
        is_unplayed = not pool.now.sound[role]
        if not is_unplayed or not (
            vacancy.unplayed_since_us is not None or pool.now.arriving[role]
        ):
            return self.end(pool, role)
        if vacancy.vacant_since_us is None:
            vacancy.vacant_since_us = now_us
        vacant_us = now_us - vacancy.vacant_since_us
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
        """The role is played, or no runner is left for it: the spell is over."""
        vacancy = pool.vacancies[role]
        vacancy.vacant_since_us = None
        vacancy.is_violated = False

    def as_record(self, pools: Iterable[RunnerPool], now_us: int) -> dict[str, Any]:
        """For the standing: how long each pool has been without, and how often it was too long."""
        vacant_us = {
            f"{pool.name or ''}/{role}": now_us - vacancy.vacant_since_us
            for pool in pools
            for role, vacancy in pool.vacancies.items()
            if vacancy.vacant_since_us is not None
        }
        return {"empty_sides_us": vacant_us, "violations": {VACANT_ROLE: self.violations}}
