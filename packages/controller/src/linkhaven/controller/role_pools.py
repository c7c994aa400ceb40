"""The runners of each pool by role, and how long a role has been vacant.

The roles are those of disaggregated serving: prefill (processes prompts) and decode (generates
tokens). The runners' API and the wire format call the role a phase.
"""

from typing import Any, Protocol

from linkhaven.pairing import RatioSearch
from linkhaven.runner import Runner
from linkhaven.runner.roster import DECODE, PREFILL

from .role_change import RoleChange

ROLES = (PREFILL, DECODE)
OTHER_ROLE = {PREFILL: DECODE, DECODE: PREFILL}


class HealthView(Protocol):
    """The health of runners, as the failure detector sees it."""

    def is_suspect(self, runner: Runner) -> bool:
        """Whether its answer is so late that it may have failed."""

    def is_lost(self, runner: Runner) -> bool:
        """Whether it is confirmed to be unresponsive."""


class PoolRoles:
    """A snapshot of the runners of one pool by role.

    `healthy`: runners that accept work and answer. `uncertain`: runners that may still turn out to
    have the role: their answer is overdue, they haven't reported yet, or only a router reported
    them unresponsive. `arriving`: runners that are switching to the role. Runners that are leaving
    or confirmed unresponsive are in none of them. `unreported`: how many responsive runners have
    not reported yet.
    """

    __slots__ = ("healthy", "uncertain", "arriving", "unreported")

    def __init__(self) -> None:
        """Start with no runner counted."""
        self.healthy: dict[str, list[Runner]] = {role: [] for role in ROLES}
        self.uncertain: dict[str, list[Runner]] = {role: [] for role in ROLES}
        self.arriving: dict[str, list[Runner]] = {role: [] for role in ROLES}
        self.unreported = 0

    def add(self, runner: Runner, health: HealthView, change: RoleChange | None) -> None:
        """Count one runner; `change`: its role change, if one is in flight."""
        if runner.is_plain() or not runner.is_listed or runner.is_leaving or health.is_lost(runner):
            return
        if runner.reported_us is None:
            self.unreported += not runner.is_unresponsive
        role = runner.phase
        if change is not None and change.is_ordered():
            role = change.role
        elif runner.is_switching:
            role = OTHER_ROLE[runner.phase]
        if runner.is_unresponsive or runner.reported_us is None or health.is_suspect(runner):
            self.uncertain[role].append(runner)
        elif role != runner.phase or runner.is_switching:
            self.arriving[role].append(runner)
        else:
            self.healthy[role].append(runner)

    def healthy_count(self) -> int:
        """How many healthy runners there are, of both roles."""
        return sum(len(runners) for runners in self.healthy.values())

    def can_spare(self, runner: Runner) -> bool:
        """Whether another healthy runner has the same role."""
        return any(other is not runner for other in self.healthy[runner.phase])

    def is_vacant(self, role: str) -> bool:
        """Whether no healthy runner has the role although one could be ordered to it.

        Prefill counts as vacant only if a decode runner would remain after the change.
        """
        spare = len(self.healthy[OTHER_ROLE[role]])
        return not self.healthy[role] and spare > (role == PREFILL)

    def counts(self) -> dict[str, Any]:
        """The number of healthy runners by role, under the names of the log."""
        return {"reading": len(self.healthy[PREFILL]), "decoding": len(self.healthy[DECODE])}


class RoleVacancy:
    """The vacancy of one role of one pool over time.

    `was_filled`: whether a healthy runner ever had the role. `unfilled_since_us`: since when it has
    been vacant. `fillable_since_us`: since when it has been vacant while the lease holder was
    permitted to order; `VacantRoleMonitor` checks its bound against this time. `is_violated`:
    whether the bound was exceeded in this vacancy.
    """

    __slots__ = ("was_filled", "unfilled_since_us", "fillable_since_us", "is_violated")

    def __init__(self) -> None:
        """Start without any observation."""
        self.was_filled = False
        self.unfilled_since_us: int | None = None
        self.fillable_since_us: int | None = None
        self.is_violated = False


class RunnerPool:
    """The role balancer's state of one pool: its ratio search, dwell time and two roles.

    `name` is None for the runners of a deployment without pools, which read prompts in
    place. `observed`: the inputs of the last decision, for the log.
    `ratio_checked_us`: when the ratio was last evaluated. `dwell_until_us`: no planned change
    before this time. `next_fill_us`: no order to fill a vacancy before this time.
    """

    __slots__ = (
        "name",
        "search",
        "ratio_checked_us",
        "dwell_until_us",
        "vacancies",
        "roles",
        "observed",
        "next_fill_us",
    )

    def __init__(self, name: str | None) -> None:
        """Start without any observation."""
        self.name = name
        self.search = RatioSearch()
        self.ratio_checked_us = 0
        self.dwell_until_us = 0
        self.next_fill_us = 0
        self.vacancies = {role: RoleVacancy() for role in ROLES}
        self.roles = PoolRoles()
        self.observed: dict[str, Any] = {}

    def update(self, roles: PoolRoles, now_us: int) -> None:
        """Store a new snapshot of the runners, and update since when each role is vacant."""
        self.roles = roles
        for role, vacancy in self.vacancies.items():
            if roles.healthy[role]:
                vacancy.was_filled = True
            if not roles.is_vacant(role):
                vacancy.unfilled_since_us = None
            elif vacancy.unfilled_since_us is None:
                vacancy.unfilled_since_us = now_us

    def needs(self, role: str, is_balanced: bool) -> bool:
        """Whether the pool must have a runner of this role.

        Decode is always required: without it no request is answered. Without a prefill runner,
        prompts are read in place, which is acceptable in a deployment without pools or with fixed
        roles.
        """
        return role == DECODE or is_balanced and self.name is not None

    def must_fill(self, role: str, wait_us: int, now_us: int) -> bool:
        """Whether a runner must be ordered to this role now.

        At once if its former runners are known to be lost; after `wait_us` if some runner may still
        turn out to have the role, or none was ever seen to have it.
        """
        vacancy = self.vacancies[role]
        if vacancy.unfilled_since_us is None or self.roles.arriving[role]:
            return False
        is_certain = vacancy.was_filled and not self.roles.uncertain[role]
        return is_certain or now_us - vacancy.unfilled_since_us >= wait_us

    def desired_prefill(
        self,
        prompt_rate: float,
        answer_rate: float,
        prefill_pace: float | None,
        settings: Any,
        now_us: int,
    ) -> int:
        """How many of the healthy runners should have the prefill role.

        Rates are tokens per second for this pool; `prefill_pace` is the observed prompt tokens per
        second of one prefill runner, None if none was observed.
        """
        healthy, search = self.roles.healthy, self.search
        decoding = healthy[DECODE]
        healthy_runners = healthy[PREFILL] + decoding
        search.prefill_rate = prefill_pace
        search.held_memory = sum(runner.kv_used / runner.kv_total for runner in healthy_runners)
        search.streams = sum(runner.running / runner.slots for runner in decoding if runner.slots)
        search.allows_in_place_prefill = self.name is None
        wanted: int = search.next_prefill_count(
            len(healthy[PREFILL]), len(healthy_runners), prompt_rate, answer_rate, settings, now_us
        )
        self.observed.update(
            wanted=wanted,
            prompts=int(prompt_rate),
            streams=round(search.streams, 2),
            held=round(search.held_memory, 2),
        )
        return wanted
