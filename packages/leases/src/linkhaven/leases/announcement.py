"""The holder's announcement of its next action."""

from collections.abc import Callable


class ActionAnnouncement:
    """One action that the holder asked a quorum to record, and may then take once.

    Invariant: it may be taken only within `valid_us` of when the record was asked for. So whoever
    saw no such record for a lease and `valid_us` knows that no other holder acted within the last
    lease (`test_who_saw_no_announcement_knows_that_nobody_acted`).
    """

    __slots__ = ("valid_us", "is_requested", "announced_us", "on_announced")

    def __init__(self, valid_us: int) -> None:
        """Nothing is announced; `valid_us` is how long an announcement lasts."""
        self.valid_us = valid_us
        self.is_requested = False
        self.announced_us: int | None = None
        self.on_announced: Callable[[], None] | None = None

    def request(self, on_announced: Callable[[], None] | None) -> None:
        """Have the next renewal announce an action; `on_announced` is called once it did."""
        self.is_requested = True
        self.on_announced = on_announced

    def confirm(self, asked_us: int) -> None:
        """A quorum recorded the action, as asked for at `asked_us`."""
        self.is_requested = False
        self.announced_us = asked_us
        if self.on_announced is not None:
            self.on_announced()

    def is_valid(self, now_us: int) -> bool:
        """Whether an announced action may still be taken."""
        return self.announced_us is not None and now_us - self.announced_us < self.valid_us

    def consume(self) -> None:
        """The announced action is taken: the next one is announced anew."""
        self.announced_us = None

    def cancel(self) -> None:
        """The lease lapsed: nothing is announced, asked for or taken any more."""
        self.is_requested = False
        self.announced_us = None
