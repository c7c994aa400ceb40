"""One change of a runner's role, from the decision to its end."""

from enum import Enum

from linkhaven.runner import Runner


class ChangeState(Enum):
    """How far a change of role has come.

    | state | next |
    | --- | --- |
    | `ANNOUNCED`: routers are told of it | `ORDERED`, or dropped |
    | `ORDERED`: the order was sent to the runner | `REFUSED`, or it plays the role, or is lost |
    | `REFUSED`: the runner refused the order | over |
    """

    ANNOUNCED = "announced"
    ORDERED = "ordered"
    REFUSED = "refused"


class RoleChange:
    """A runner that is to play another role.

    `announced_us`: since when routers are told of it. `notice_us`: for how long they are told
    before the order leaves. `members`: how many sound runners its pool had when it was decided on;
    None for a change that fills a vacant role, which stands however few there are.
    """

    __slots__ = (
        "name",
        "pool",
        "role",
        "announced_us",
        "notice_us",
        "members",
        "state",
        "ordered_us",
    )

    def __init__(
        self,
        runner: Runner,
        role: str,
        announced_us: int,
        notice_us: int = 0,
        members: int | None = None,
    ) -> None:
        """Nothing is ordered yet."""
        self.name: str = runner.name
        self.pool: str | None = runner.pool
        self.role = role
        self.announced_us = announced_us
        self.notice_us = notice_us
        self.members = members
        self.state = ChangeState.ANNOUNCED
        self.ordered_us = 0

    def is_ordered(self) -> bool:
        """Whether its order was sent."""
        return self.state is not ChangeState.ANNOUNCED

    def fills_vacancy(self) -> bool:
        """Whether it was begun because nobody plays that role."""
        return self.members is None
