"""One change of a runner's role, from the decision to completion."""

from enum import Enum

from linkhaven.runner import Runner


class ChangeState(Enum):
    """The state of a role change.

    | state | next |
    | --- | --- |
    | `ANNOUNCED`: routers are notified | `ORDERED`, or dropped |
    | `ORDERED`: the order was sent to the runner | `REFUSED`, or ended (switched or lost) |
    | `REFUSED`: the runner rejected the order | ended |
    """

    ANNOUNCED = "announced"
    ORDERED = "ordered"
    REFUSED = "refused"


class RoleChange:
    """A change of one runner to another role.

    `announced_us`: when the routers were first notified. `notice_us`: how long they are notified
    before the order is sent. `min_healthy`: the change is dropped before its order if the pool
    has fewer healthy runners than this; None for a change that fills a vacant role, which is valid
    however few there are.
    """

    __slots__ = (
        "name",
        "pool",
        "role",
        "announced_us",
        "notice_us",
        "min_healthy",
        "state",
        "ordered_us",
    )

    def __init__(
        self,
        runner: Runner,
        role: str,
        announced_us: int,
        notice_us: int = 0,
        min_healthy: int | None = None,
    ) -> None:
        """Begin in the state `ANNOUNCED`."""
        self.name: str = runner.name
        self.pool: str | None = runner.pool
        self.role = role
        self.announced_us = announced_us
        self.notice_us = notice_us
        self.min_healthy = min_healthy
        self.state = ChangeState.ANNOUNCED
        self.ordered_us = 0

    def is_ordered(self) -> bool:
        """Whether its order was sent."""
        return self.state is not ChangeState.ANNOUNCED

    def fills_vacancy(self) -> bool:
        """Whether it was begun because no runner has that role."""
        return self.min_healthy is None
