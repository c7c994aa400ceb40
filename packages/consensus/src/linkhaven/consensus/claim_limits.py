"""How long claims of idempotency keys are kept, and how many at most."""

from typing import Protocol

import msgspec


class ClaimLimits(Protocol):
    """The limits of the configuration in force that apply to claims."""

    @property
    def retention_us(self) -> int:
        """How long a claim is kept after it was won."""

    @property
    def max_claims(self) -> int:
        """The number of claims from which on a replica refuses new ones."""


class _DefaultClaimLimits(msgspec.Struct, frozen=True):
    retention_us: int = 86_400_000_000
    max_claims: int = 200_000


_DEFAULT = _DefaultClaimLimits()


def default_claim_limits() -> ClaimLimits:
    """Return the limits that apply while no configuration is in force."""
    return _DEFAULT
