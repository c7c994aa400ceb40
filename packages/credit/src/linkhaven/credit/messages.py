"""Messages between routers and the quota allocator, as sections of watch requests and responses.

A router's request carries `credit`, a map of groups to `DemandReport`, `extra`, the `DemandReport`
of its retry budget, and `usage`, a map of groups to `GroupUsage`. The allocator's response carries
`shares`, an `AllocatedShares`. The field names are those on the wire and must stay, because members
of different software versions run side by side.
"""

import msgspec
from msgspec import UNSET, UnsetType


class DemandReport(msgspec.Struct, frozen=True):
    """A router's demand for one allowance, and the grant of it that the router holds."""

    wanted: int | float
    """Tokens per second for a group, whole attempts for the retry budget."""

    rate: int | float
    """The amount of the held grant, in the same unit; 0 after the grant has expired."""

    grant: int
    """The number of the newest received grant, 0 before the first."""


class GroupUsage(msgspec.Struct, frozen=True):
    """Usage of one group at one router since the router's start, and its current queue."""

    spent: int | float
    """Tokens of started prompts and of relayed answers."""

    refused: int
    """Requests refused before they began."""

    waiting: int
    """Requests in the queue."""

    waiting_tokens: int
    """Prompt tokens in the queue."""


class AllocatedGrant(msgspec.Struct, frozen=True, array_like=True):
    """A share of one allowance, granted to one router; `[amount, number]` on the wire."""

    amount: int | float
    """Tokens per second for a group, whole attempts for the retry budget."""

    number: int
    """Increases with each grant, also across holders of the allocator's lease."""


class AllocatedShares(msgspec.Struct, frozen=True):
    """All grants to one router in one response."""

    fence: int
    """The fencing token of the allocator's lease."""

    rates: dict[str, AllocatedGrant]
    """Grants by group; groups without a rate are left out."""

    extra: AllocatedGrant | UnsetType = UNSET
    """The grant of the retry budget, if the router reported demand for it."""


def read_demand(fields):
    """Read a `DemandReport` from its fields, keeping the types of its numbers.

    Raises `KeyError` if a field is missing.
    """
    return DemandReport(fields["wanted"], fields["rate"], fields["grant"])


def write_fields(message):
    """Return the message as dicts and lists, for messages without a typed schema."""
    return msgspec.to_builtins(message)
