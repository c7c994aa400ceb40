"""Decisions on the roles of runners: functions of what they are given, without any state."""

from collections.abc import Iterable
from enum import Enum

from linkhaven.runner import Runner
from linkhaven.runner.roster import DECODE, PREFILL

from .role_change import ChangeState, RoleChange
from .role_pools import PoolRoles, RunnerPool

NOTICE_US = 700_000
"""How long routers are told of a change before its order leaves."""

ORDER_TIMEOUT_US = 3_000_000
"""After this without a sign of it, an order counts as lost."""

MAX_SWITCH_US = 30_000_000
"""A runner that reports a switch for longer than this counts as stuck."""

VACANCY_WAIT_US = 700_000
"""How long a vacant role is waited for where reports may merely be late."""

WEIGH_INTERVAL_US = 500_000
"""How often the ratio of prefill to decode runners is weighed."""

MEMBERS_PER_CHANGE = 8
"""One planned change at once for so many sound runners of a pool, and one in any case."""

DEFAULT_SWITCH_US = 2_000_000
"""How long a switch takes where the configuration doesn't say."""

PREFILL_END_US = 1_000_000
"""What a prefill runner may take to end the read that it has begun before it switches."""


class ChangeProgress(Enum):
    """What is to be done about a change of role."""

    RUNNER_LOST = "runner lost"
    TO_ORDER = "to order"
    COMPLETE = "complete"
    REFUSED = "refused"
    EXPIRED = "expired"
    IN_PROGRESS = "in progress"


def progress_of(change: RoleChange, runner: Runner | None, now_us: int) -> ChangeProgress:
    """How far a change is, by what its runner reports."""
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


def still_stands(
    change: RoleChange, runner: Runner, pool: RunnerPool | None, is_balanced: bool
) -> bool:
    """Whether what a change was decided on is still so; asked until its order is sent.

    No order takes the last runner of a role that the pool needs
    (`test_no_order_takes_the_last_decoder_that_stays`).
    """
    if pool is None:
        return False
    if change.fills_vacancy() and pool.now.sound[change.role]:
        return False
    if change.fills_vacancy() and change.role == DECODE:
        return True
    if change.members is not None and pool.now.healthy_count() < change.members:
        return False
    return not pool.needs(runner.phase, is_balanced) or pool.now.may_spare(runner)


def least_busy(roles: PoolRoles, role: str, count: int) -> list[Runner]:
    """The sound runners of the other role that have least to do."""
    if role == DECODE:
        return sorted(roles.sound[PREFILL], key=lambda runner: runner.queued)[:count]
    return sorted(roles.sound[DECODE], key=lambda runner: runner.running)[:count]


def changes_at_once(wanted: int, members: int) -> int:
    """How many of the changes that are wanted are begun now: in a large pool several."""
    return min(wanted, max(1, members // MEMBERS_PER_CHANGE))


def notice_for_vacancy(role: str) -> int:
    """How long routers are told before a vacant role is filled, in microseconds.

    Not at all for decode: nothing read can be decoded in that pool before, so no request is lost.
    """
    return 0 if role == DECODE else NOTICE_US


def vacancy_bound_us(
    role: str, switch_us: int | None, deadlines_us: Iterable[int], report_us: int
) -> int:
    """How long a role may be vacant: to be sure of it, to order, to switch and to see it."""
    switch_us = switch_us or DEFAULT_SWITCH_US
    seen_us = VACANCY_WAIT_US + WEIGH_INTERVAL_US + 2 * report_us
    if role == DECODE:
        return seen_us + PREFILL_END_US + switch_us
    return seen_us + NOTICE_US + max(deadlines_us, default=0) + switch_us
