"""What routers and the quota allocator tell each other, as it stands in the news between them.

A router's question carries `credit`, a map of groups to `DemandReport`, `extra`, the
`DemandReport` of its retry budget, and `usage`, a map of groups to `GroupUsage`. The allocator's
answer carries `shares`, an `AllocatedShares`. The field names are those of the wire: members of
different versions run side by side.
"""

import msgspec
from msgspec import UNSET, UnsetType


class DemandReport(msgspec.Struct, frozen=True):
    """What a router wants of one allowance, and which grant of it the router holds."""

    wanted: int | float
    """Tokens a second for a group, whole attempts for the retry budget."""

    rate: int | float
    """The amount of the grant that is held, in the same unit; 0 once the grant has expired."""

    grant: int
    """The number of the newest grant that was received, 0 before the first."""


class GroupUsage(msgspec.Struct, frozen=True):
    """What one group did at one router since the router's start, and what it has queued now."""

    spent: int | float
    """Tokens of prompts that were started and of answers that were relayed."""

    refused: int
    """Requests that were refused before they began."""

    waiting: int
    """Requests in the queue."""

    waiting_tokens: int
    """Prompt tokens in the queue."""


class AllocatedGrant(msgspec.Struct, frozen=True, array_like=True):
    """A part of one allowance, granted to one router: `[amount, number]` on the wire."""

    amount: int | float
    """Tokens a second for a group, whole attempts for the retry budget."""

    number: int
    """Rises with each grant, also from one holder of the allocator's lease to the next."""


class AllocatedShares(msgspec.Struct, frozen=True):
    """All grants that one answer gives to one router."""

    fence: int
    """The fencing token of the lease under which the allocator acts."""

    rates: dict[str, AllocatedGrant]
    """Grants by group; a group without a rate is left out."""

    extra: AllocatedGrant | UnsetType = UNSET
    """The grant of the retry budget, where the router reported on it."""


def read_demand(fields):
    """Read a `DemandReport` as it came, without a change of its numbers' types.

    Raises `KeyError` where a field is missing.
    """
    return DemandReport(fields["wanted"], fields["rate"], fields["grant"])


def write_fields(message):
    """Return the message as maps and lists, for news that have no type yet."""
    return msgspec.to_builtins(message)
