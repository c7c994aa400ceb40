"""Announcement of a lease holder's next action, recorded by a quorum."""

from collections.abc import Callable


class ActionAnnouncement:
    """One action that the holder has a quorum record, and may then take once.

    Invariant: the action may be taken only within `valid_us` after the record was requested. So a
    node that saw no such record for a lease plus `valid_us` knows that no other holder acted within
    the last lease (`test_a_node_that_saw_no_announcement_knows_that_no_holder_acted`).
    """

    __slots__ = ("valid_us", "is_requested", "announced_us", "on_announced")

    def __init__(self, valid_us: int) -> None:
        """Start without an announcement; `valid_us` is how long one lasts."""
        self.valid_us = valid_us
        self.is_requested = False
        self.announced_us: int | None = None
        self.on_announced: Callable[[], None] | None = None

    def request(self, on_announced: Callable[[], None] | None) -> None:
        """Have the next renewal announce an action, and call `on_announced` after that."""
        self.is_requested = True
        self.on_announced = on_announced

    def confirm(self, requested_us: int) -> None:
        """Note that a quorum recorded the action, as requested at `requested_us`."""
        self.is_requested = False
        self.announced_us = requested_us
        if self.on_announced is not None:
            self.on_announced()

    def is_valid(self, now_us: int) -> bool:
        """Whether an announced action may still be taken."""
        return self.announced_us is not None and now_us - self.announced_us < self.valid_us

    def consume(self) -> None:
        """Mark the announced action as taken; the next one needs its own announcement."""
        self.announced_us = None

    def cancel(self) -> None:
        """Drop the announcement or the request for one, because the lease lapsed."""
        self.is_requested = False
        self.announced_us = None
