"""From which reports a restarted replica may rebuild its state, or that they don't suffice.

Every chosen value is accepted by a majority. A replica that lost its disk may have been one of that
majority, so it must read so many others that every majority without it is met among them. A replica
whose disk is intact counts for itself and stands for what it accepted.
"""

from collections.abc import Collection
from enum import Enum

from .recovery_messages import ReplicaStateReport


class RebuildBasis(Enum):
    """What makes the reports at hand enough."""

    VOTING_QUORUM = "voting_quorum"
    """So many replicas vote that each majority of all has one of them besides this replica."""

    BOOTSTRAP = "bootstrap"
    """All replicas are here and empty: the group starts anew."""

    ALL_INTACT = "all_intact"
    """All replicas are here and none lost anything."""

    INTACT_MAJORITY = "intact_majority"
    """This disk and others are an intact majority, and the rest has nothing or stays silent."""

    INSUFFICIENT = "insufficient"
    """More may have been lost than can be rebuilt from those that reported."""


def rebuild_basis(
    reports: Collection[ReplicaStateReport],
    *,
    group_size: int,
    is_empty: bool,
    may_bootstrap: bool,
    are_all_accounted_for: bool,
    has_waited: bool,
) -> RebuildBasis:
    """Weigh the reports of the other replicas; `is_empty` is about the asking replica.

    `are_all_accounted_for`: each other replica reported, or its disk is known to be lost.
    `has_waited`: the silent ones had `Bounds.alone_us` to report.
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
