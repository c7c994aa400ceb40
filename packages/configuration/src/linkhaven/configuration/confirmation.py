"""The time as of which a majority of the replicas has confirmed a watcher's version.

A response confirms the version as of the time its poll was sent, since a newer version may have
come into force after that (Gray & Cheriton, Leases, 1989: a holder's term is counted from before
the request was sent).
"""

from collections.abc import Mapping


class MajorityConfirmation:
    """Owns, by replica, the send time of the newest poll that it confirmed, and its incarnation.

    `confirmed_us` is the time as of which a majority has confirmed the version, in microseconds of
    the node's monotonic clock; None before the first such majority.

    Invariant: `confirmed_us` counts only replicas in their newest known incarnation, since an older
    incarnation may have lost what it acknowledged.
    """

    __slots__ = ("majority", "by_replica", "confirmed_us")

    def __init__(self, majority: int) -> None:
        """`majority` is the number of replicas that must have confirmed the version."""
        self.majority = majority
        self.by_replica: dict[str, tuple[int, int]] = {}
        self.confirmed_us: int | None = None

    def add(
        self,
        replica_id: str,
        sent_us: int,
        incarnation: int,
        replicas: Mapping[str, tuple[str, int]],
    ) -> None:
        """Record that a replica confirmed a poll that was sent at `sent_us`.

        `replicas` maps each replica to its address and newest known incarnation.
        """
        before_us, _ = self.by_replica.get(replica_id, (sent_us, 0))
        self.by_replica[replica_id] = (max(before_us, sent_us), incarnation)
        confirmed = sorted(
            (
                poll_us
                for name, (poll_us, at_incarnation) in self.by_replica.items()
                if name in replicas and at_incarnation >= replicas[name][1]
            ),
            reverse=True,
        )
        if len(confirmed) >= self.majority:
            self.confirmed_us = confirmed[self.majority - 1]
