"""Tenants of the simulated world: their keys and limits, and what their clients send.

`TenantProfile` describes a tenant of a deployment. `TenantPopulation` is the state of one run:
which keys the configuration wanted by the operator contains, which keys clients use (including
revoked ones), and which tenant sends more than usual.
"""

import random
from collections import Counter
from collections.abc import Mapping
from typing import Any

import msgspec

from linkhaven.configuration import digest_api_key

KEY_PREFIX = "stage-key-"
"""Prefix of every tenant's key, by which a runner finds keys anywhere in a call."""

UNKNOWN_KEY = f"{KEY_PREFIX}of-nobody"
"""A key that no configuration ever holds."""

MADE_UP_NAME_SHARE = 0.1
MADE_UP_TENANT = "somebody-else"


class TenantProfile(msgspec.Struct, frozen=True):
    """One tenant of a deployment."""

    name: str
    share: float
    """Its share of the usual load, relative to the other tenants."""

    keys: int = 1
    requests_per_s: float = 0
    """0 for no limit."""

    burst_requests: float = 0
    priority: int | None = None


class Credentials(msgspec.Struct, frozen=True):
    """The identity that one request presents."""

    tenant: str | None
    """The tenant whose client sends the request; None for a stranger."""

    api_key: str | None
    made_up_tenant: str | None = None
    """A tenant's name that the client claims by itself, which must be ignored."""


class TenantPopulation:
    """The tenants of one run; owned by the fleet, changed by the tenant faults."""

    __slots__ = (
        "profiles",
        "configured_keys",
        "client_keys",
        "limits",
        "load_factors",
        "stranger_share",
        "_serials",
    )

    def __init__(self, profiles: tuple[TenantProfile, ...]) -> None:
        """Each client begins with the keys that the first configuration holds."""
        self.profiles = {profile.name: profile for profile in profiles}
        self._serials: Counter[str] = Counter()
        self.configured_keys = {
            profile.name: [self._new_key(profile.name) for _ in range(profile.keys)]
            for profile in profiles
        }
        self.client_keys = {name: list(keys) for name, keys in self.configured_keys.items()}
        self.limits = {
            profile.name: (profile.requests_per_s, profile.burst_requests) for profile in profiles
        }
        self.load_factors = dict.fromkeys(self.profiles, 1.0)
        self.stranger_share = 0.0

    def _new_key(self, tenant: str) -> str:
        self._serials[tenant] += 1
        return f"{KEY_PREFIX}{tenant}-{self._serials[tenant]}"

    def document(self) -> dict[str, dict[str, Any]]:
        """The part of the configuration that names the tenants, as the operator wants it now."""
        return {name: self._tenant_document(name) for name in self.profiles}

    def _tenant_document(self, name: str) -> dict[str, Any]:
        rate, burst = self.limits[name]
        document: dict[str, Any] = {
            "keys": [digest_api_key(key) for key in self.configured_keys[name]],
            "rate": rate,
            "burst": burst,
        }
        priority = self.profiles[name].priority
        if priority is not None:
            document["priority"] = priority
        return document

    @property
    def load_factor(self) -> float:
        """The load of all tenants together, relative to their usual load."""
        usual = sum(profile.share for profile in self.profiles.values())
        return sum(self._loads().values()) / usual

    def _loads(self) -> Mapping[str, float]:
        return {
            name: profile.share * self.load_factors[name] for name, profile in self.profiles.items()
        }

    def pick(self, dice: random.Random) -> Credentials:
        """Draw the sender of a request; a stranger has no key, or one that no tenant holds."""
        if dice.random() < self.stranger_share:
            return Credentials(None, dice.choice((None, UNKNOWN_KEY)), MADE_UP_TENANT)
        loads = self._loads()
        tenant = dice.choices(list(loads), list(loads.values()))[0]
        made_up = MADE_UP_TENANT if dice.random() < MADE_UP_NAME_SHARE else None
        return Credentials(tenant, dice.choice(self.client_keys[tenant]), made_up)

    def revoke_key(self, tenant: str) -> str | None:
        """Revoke the oldest key and add a new one. Clients go on using both."""
        if not self.configured_keys[tenant]:
            return None
        key = self.configured_keys[tenant].pop(0)
        self.add_key(tenant)
        return key

    def add_key(self, tenant: str) -> str:
        """Add a key, which clients use at once."""
        key = self._new_key(tenant)
        self.configured_keys[tenant].append(key)
        self.client_keys[tenant].append(key)
        return key

    def move_key(self, source: str, target: str) -> str | None:
        """Move a key from one tenant to another, in one version of the configuration."""
        if not self.configured_keys[source]:
            return None
        key = self.configured_keys[source].pop(0)
        self.configured_keys[target].append(key)
        return key

    def set_limit(self, tenant: str, requests_per_s: float, burst_requests: float) -> None:
        """Change a tenant's limit; a rate of 0 means no limit."""
        self.limits[tenant] = (requests_per_s, burst_requests)

    def set_load(self, tenant: str, factor: float) -> None:
        """Have a tenant send `factor` times its usual load."""
        self.load_factors[tenant] = factor


def usual_tenants(rate: float) -> tuple[TenantProfile, ...]:
    """Tenants of several sizes for a fleet that usually gets `rate` requests a second.

    Most have a limit well above their usual load; one has no limit, and one a priority of its own.
    """
    burst = round(rate)

    def limit(share: float) -> float:
        return round(rate * share, 1)

    return (
        TenantProfile("university", 0.4, 2, limit(0.9), burst),
        TenantProfile("institute", 0.2, 2, limit(0.6), burst),
        TenantProfile("ministry", 0.15, 1, priority=0),
        TenantProfile("bureau", 0.1, 1, limit(0.4), burst),
        TenantProfile("studio", 0.1, 1, limit(0.4), burst, priority=2),
        TenantProfile("kiosk", 0.05, 3, limit(0.3), burst),
    )
