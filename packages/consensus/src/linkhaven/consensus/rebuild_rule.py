"""The rule by which a restarted replica decides whether it has enough reports to rebuild its state.

Every chosen value is accepted by a majority. A replica that lost its disk may have been part of
that majority, so it must read enough others to have one of every majority among them. A replica
with an intact disk counts itself among the sources, with what it accepted.
"""

from collections.abc import Collection
from enum import Enum

from .recovery_messages import ReplicaStateReport


class RebuildBasis(Enum):
    """The reason why the reports at hand are sufficient, or that they aren't."""

    VOTING_QUORUM = "voting_quorum"
    """Enough other replicas vote that each majority includes one of them."""

    BOOTSTRAP = "bootstrap"
    """All replicas reported and all are empty, so the group bootstraps."""

    ALL_INTACT = "all_intact"
    """All replicas reported and all disks are intact, including this one's."""

    INTACT_MAJORITY = "intact_majority"
    """A majority of the disks, including this one, is intact; the rest is empty or silent."""

    INSUFFICIENT = "insufficient"
    """More may have been lost than can be rebuilt from the replicas that reported."""


def rebuild_basis(
    reports: Collection[ReplicaStateReport],
    *,
    group_size: int,
    is_empty: bool,
    may_bootstrap: bool,
    are_all_accounted_for: bool,
    has_waited: bool,
) -> RebuildBasis:
    """Decide from the reports of the other replicas whether this one may rebuild its state.

    `is_empty`: whether this replica's own disk is incomplete.
    `are_all_accounted_for`: each other replica reported, or its disk is known to be lost.
    `has_waited`: `Bounds.recovery_wait_us` have passed, so the others had time to report.
    """
    num_others = group_size - 1
    majority = group_size // 2 + 1
    if sum(report.is_voting for report in reports) >= group_size - majority + 1:
        return RebuildBasis.VOTING_QUORUM
    num_intact = sum(not report.is_empty for report in reports)
    if len(reports) == num_others:
        if is_empty and num_intact == 0 and may_bootstrap:
            return RebuildBasis.BOOTSTRAP
        if not is_empty and num_intact == num_others:
            return RebuildBasis.ALL_INTACT
    is_rest_settled = has_waited or are_all_accounted_for
    if not is_empty and is_rest_settled and num_intact + 1 >= majority:
        return RebuildBasis.INTACT_MAJORITY
    return RebuildBasis.INSUFFICIENT
