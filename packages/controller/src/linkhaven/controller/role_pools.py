"""Which runners of a pool play which role, and for how long a role has been vacant.

The roles are those of disaggregated serving: prefill (reads prompts) and decode (makes tokens). The
runners and the wire call the role a phase.
"""

from typing import Any, Protocol

from linkhaven.pairing import RatioSearch
from linkhaven.runner import Runner
from linkhaven.runner.roster import DECODE, PREFILL

from .role_change import RoleChange

ROLES = (PREFILL, DECODE)
OTHER_ROLE = {PREFILL: DECODE, DECODE: PREFILL}


class HealthView(Protocol):
    """Judges runners' health."""

    def is_suspect(self, runner: Runner) -> bool:
        """Whether more than lateness must be feared."""

    def is_lost(self, runner: Runner) -> bool:
        """Whether it is unresponsive for sure."""


class PoolRoles:
    """How the runners of one pool stand at one moment.

    `sound`: by role, those that take work and answer. `uncertain`: by role, those that may yet
    prove to play it: they owe an answer, haven't reported, or are unresponsive by a router's word
    only. `arriving`: by role, those that are switching to it. Who leaves, or is lost for sure, is
    in none of them.
    """

    __slots__ = ("sound", "uncertain", "arriving", "unreported")

    def __init__(self) -> None:
        """No runner is counted yet."""
        self.sound: dict[str, list[Runner]] = {role: [] for role in ROLES}
        self.uncertain: dict[str, list[Runner]] = {role: [] for role in ROLES}
        self.arriving: dict[str, list[Runner]] = {role: [] for role in ROLES}
        self.unreported = 0

    def add(self, runner: Runner, health: HealthView, change: RoleChange | None) -> None:
        """Count one runner; `change`: what it was ordered to play, if that is under way."""
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
            self.sound[role].append(runner)

    def healthy_count(self) -> int:
        """How many sound runners there are."""
        return sum(len(runners) for runners in self.sound.values())

    def may_spare(self, runner: Runner) -> bool:
        """Whether another sound runner plays this one's role."""
        return any(other is not runner for other in self.sound[runner.phase])

    def is_vacant(self, role: str) -> bool:
        """Whether nobody sound plays the role, though a sound runner could be ordered to.

        A prefill runner is asked for only where a decode runner is left beside it.
        """
        spare = len(self.sound[OTHER_ROLE[role]])
        return not self.sound[role] and spare > (role == PREFILL)

    def counts(self) -> dict[str, Any]:
        """How many play which role, as the log has it."""
        return {"reading": len(self.sound[PREFILL]), "decoding": len(self.sound[DECODE])}


class RoleVacancy:
    """One role of one pool, over time.

    `unplayed_since_us`: since when it is vacant. `vacant_since_us`: since when it is vacant under a
    holder that may order, which the invariant counts.
    """

    __slots__ = ("was_played", "unplayed_since_us", "vacant_since_us", "is_violated")

    def __init__(self) -> None:
        """Nobody has been seen to play it."""
        self.was_played = False
        self.unplayed_since_us: int | None = None
        self.vacant_since_us: int | None = None
        self.is_violated = False


class RunnerPool:
    """What the role balancer knows of one pool: its ratio search, its dwell and its two roles.

    `name` None: the runners of a deployment without pools, which read prompts in place.
    `observed`: what the last decision was made by, for the log.
    """

    __slots__ = (
        "name",
        "search",
        "weighed_us",
        "dwell_until_us",
        "vacancies",
        "now",
        "observed",
        "fill_from_us",
    )

    def __init__(self, name: str | None) -> None:
        """Nothing was seen of it yet."""
        self.name = name
        self.search = RatioSearch()
        self.weighed_us = 0
        self.dwell_until_us = 0
        self.fill_from_us = 0
        self.vacancies = {role: RoleVacancy() for role in ROLES}
        self.now = PoolRoles()
        self.observed: dict[str, Any] = {}

    def take(self, roles: PoolRoles, now_us: int) -> None:
        """Note how the runners stand now, and since when a role is vacant."""
        self.now = roles
        for role, vacancy in self.vacancies.items():
            if roles.sound[role]:
                vacancy.was_played = True
            if not roles.is_vacant(role):
                vacancy.unplayed_since_us = None
            elif vacancy.unplayed_since_us is None:
                vacancy.unplayed_since_us = now_us

    def needs(self, role: str, is_balanced: bool) -> bool:
        """Whether the pool must have somebody of this role.

        Without a decode runner nothing is answered. Without a prefill runner prompts are read in
        place: a deployment without pools may choose that, and so may one that fixes its roles.
        """
        return role == DECODE or is_balanced and self.name is not None

    def must_fill(self, role: str, wait_us: int, now_us: int) -> bool:
        """Whether somebody must be ordered to play this role now.

        At once where those who played it are known to be lost; after `wait_us` where somebody may
        yet prove to play it, or nobody was ever seen to.
        """
        vacancy = self.vacancies[role]
        if vacancy.unplayed_since_us is None or self.now.arriving[role]:
            return False
        is_certain = vacancy.was_played and not self.now.uncertain[role]
        return is_certain or now_us - vacancy.unplayed_since_us >= wait_us

    def wanted_prefill(
        self,
        prompt_rate: float,
        answer_rate: float,
        prefill_pace: float | None,
        settings: Any,
        now_us: int,
    ) -> int:
        """How many of the sound runners should play prefill.

        Rates are tokens a second of this pool; `prefill_pace` is what one prefill runner was seen
        to read in a second.
        """
        sound, search = self.now.sound, self.search
        decoding = sound[DECODE]
        sound_runners = sound[PREFILL] + decoding
        search.prefill_rate = prefill_pace
        search.held_memory = sum(runner.kv_used / runner.kv_total for runner in sound_runners)
        search.streams = sum(runner.running / runner.slots for runner in decoding if runner.slots)
        search.allows_in_place_prefill = self.name is None
        wanted: int = search.next_prefill_count(
            len(sound[PREFILL]), len(sound_runners), prompt_rate, answer_rate, settings, now_us
        )
        self.observed.update(
            wanted=wanted,
            prompts=int(prompt_rate),
            streams=round(search.streams, 2),
            held=round(search.held_memory, 2),
        )
        return wanted
