"""Decisions on role changes, as pure functions of their arguments."""

from collections.abc import Iterable
from enum import Enum

from linkhaven.runner import Runner
from linkhaven.runner.roster import DECODE, PREFILL

from .role_change import ChangeState, RoleChange
from .role_pools import PoolRoles, RunnerPool

NOTICE_US = 700_000
"""How long before a planned order is sent the routers are notified of it."""

ORDER_TIMEOUT_US = 3_000_000
"""An order is considered lost if the runner shows no effect of it within this time."""

MAX_SWITCH_US = 30_000_000
"""A runner that reports a switch in progress for longer than this is considered stuck."""

VACANCY_WAIT_US = 700_000
"""How long to wait before filling a vacant role if the reports may merely be late."""

RATIO_INTERVAL_US = 500_000
"""How often the ratio of prefill to decode runners is evaluated."""

RUNNERS_PER_CHANGE = 8
"""A pool may have one concurrent planned change per this many healthy runners, at least one."""

DEFAULT_SWITCH_US = 2_000_000
"""How long a switch takes if the configuration doesn't specify it."""

PREFILL_END_US = 1_000_000
"""How long a prefill runner may take to finish its current prompt before it switches."""


class ChangeProgress(Enum):
    """The progress of a role change, which determines its next step."""

    RUNNER_LOST = "runner lost"
    TO_ORDER = "to order"
    COMPLETE = "complete"
    REFUSED = "refused"
    EXPIRED = "expired"
    IN_PROGRESS = "in progress"


def progress_of(change: RoleChange, runner: Runner | None, now_us: int) -> ChangeProgress:
    """The progress of a change, derived from its runner's last report."""
    if runner is None or not runner.is_listed or runner.is_leaving or runner.is_unresponsive:
        return ChangeProgress.RUNNER_LOST
    if not change.is_ordered():
        return ChangeProgress.TO_ORDER
    if runner.phase == change.role and not runner.is_switching:
        return ChangeProgress.COMPLETE
    if change.state is ChangeState.REFUSED:
        return ChangeProgress.REFUSED
    ordered_for_us = now_us - change.ordered_us
    if ordered_for_us <= ORDER_TIMEOUT_US:
        return ChangeProgress.IN_PROGRESS
    has_reported_since = runner.reported_us is not None and runner.reported_us > change.ordered_us
    is_switching = runner.is_switching and has_reported_since
    if is_switching and ordered_for_us <= MAX_SWITCH_US:
        return ChangeProgress.IN_PROGRESS
    return ChangeProgress.EXPIRED


def is_still_valid(
    change: RoleChange, runner: Runner, pool: RunnerPool | None, is_balanced: bool
) -> bool:
    """Whether the conditions that a change was decided on still hold, until its order is sent.

    No order takes the last runner from a role that the pool needs
    (`test_no_order_takes_the_last_decoder_that_stays`).
    """
    if pool is None:
        return False
    if change.fills_vacancy() and pool.roles.healthy[change.role]:
        return False
    if change.fills_vacancy() and change.role == DECODE:
        return True
    if change.min_healthy is not None and pool.roles.healthy_count() < change.min_healthy:
        return False
    return not pool.needs(runner.phase, is_balanced) or pool.roles.can_spare(runner)


def least_busy(roles: PoolRoles, role: str, count: int) -> list[Runner]:
    """The `count` healthy runners of the other role that have the least work."""
    if role == DECODE:
        return sorted(roles.healthy[PREFILL], key=lambda runner: runner.queued)[:count]
    return sorted(roles.healthy[DECODE], key=lambda runner: runner.running)[:count]


def concurrent_changes(wanted: int, healthy_count: int) -> int:
    """How many of the wanted changes may begin now: more than one only in a large pool."""
    return min(wanted, max(1, healthy_count // RUNNERS_PER_CHANGE))


def notice_for_vacancy_us(role: str) -> int:
    """How long before a vacant role is filled the routers are notified, in microseconds.

    0 for decode: without a decode runner no prompt can be completed in that pool, so no request is
    lost.
    """
    return 0 if role == DECODE else NOTICE_US


def vacancy_bound_us(
    role: str, switch_us: int | None, deadlines_us: Iterable[int], report_us: int
) -> int:
    """How long a role may be vacant: the time to detect it, to order, to switch and to report."""
    switch_us = switch_us or DEFAULT_SWITCH_US
    detection_us = VACANCY_WAIT_US + RATIO_INTERVAL_US + 2 * report_us
    if role == DECODE:
        return detection_us + PREFILL_END_US + switch_us
    return detection_us + NOTICE_US + max(deadlines_us, default=0) + switch_us
