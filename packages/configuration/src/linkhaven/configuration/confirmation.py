"""Up to when a majority of the replicas has confirmed the version in force at a watcher.

A response confirms the version as of the moment when its poll was sent: a newer one may have come
into force since then (Gray & Cheriton, Leases, 1989: the holder counts from before the request).
"""

from collections.abc import Mapping


class MajorityConfirmation:
    """Owns, by replica, when the newest poll that it confirmed was sent, and its incarnation.

    Invariant: `confirmed_us` counts only replicas of their newest known incarnation, since an older
    one may have lost what it acknowledged.
    """

    __slots__ = ("majority", "by_replica", "confirmed_us")

    def __init__(self, majority: int) -> None:
        """Nothing is confirmed yet; `majority`: how many replicas must have confirmed."""
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
        """Note that a replica confirmed a poll of `sent_us`.

        `replicas` has the address and the newest known incarnation of each replica.
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
