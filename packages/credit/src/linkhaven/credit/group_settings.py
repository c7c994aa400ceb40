"""What the configuration says of one group: its allowance, the bounds of its queue, its weight."""

import msgspec

from .units import MICROSECONDS


class Allowance(msgspec.Struct, frozen=True):
    """A group's whole allowance of tokens, over all routers."""

    tokens: int
    """Tokens a period."""

    period_us: int

    @property
    def period_s(self):
        """The period in seconds."""
        return self.period_us / MICROSECONDS

    @property
    def rate(self):
        """Tokens a second."""
        return self.tokens / self.period_s


class QueueBounds(msgspec.Struct, frozen=True):
    """The bounds of a group's queue at one router."""

    requests: int
    tokens: int
    """Prompt tokens."""

    wait_us: int
    """The longest estimated wait with which a request is still admitted."""


class GroupSettings(msgspec.Struct, frozen=True):
    """One group of the configuration."""

    allowance: Allowance | None
    """None for a group whose tokens are not limited."""

    queue: QueueBounds
    weight: int | float
    """The group's part of each scheduling round, relative to the other groups."""


def read_allowance(group):
    """Read the allowance from a group of the configuration; None where it has none."""
    credit = group["credit"]
    return None if credit is None else Allowance(credit["tokens"], credit["period_us"])


def read_group(group):
    """Read a group of the configuration, as the `plan` package checked it."""
    queue = group["queue"]
    bounds = QueueBounds(queue["requests"], queue["tokens"], queue["wait_us"])
    return GroupSettings(read_allowance(group), bounds, group["weight"])
