"""Finds the tenant of a request by the digest of its API key.

| configuration | request kind | API key | result |
| --- | --- | --- | --- |
| has no tenants | any | any or none | no tenant |
| has tenants | any | known | its tenant |
| has tenants | public | unknown or none | no tenant |
| has tenants, recently confirmed | not public | none | `api_key_missing` |
| has tenants, recently confirmed | not public | unknown | `api_key_unknown` |
| has tenants, may be outdated | not public | unknown or none | `api_key_unconfirmed` |
| has tenants, older than `revoke_us` | not public | known | `plan_stale` |

A newer version that hasn't arrived may have added a key that is unknown here, made the request kind
public, or revoked a key that is known here. A router that can't rule out the first two refuses with
a code that lets the client try another router (`test_a_key_that_was_added_lately_isnt_denied_by_a_
router_that_is_cut_off`). The third is bounded only where the deployment sets `Bounds.revoke_us`.
"""

from typing import Protocol

from linkhaven.api import ServiceError
from linkhaven.configuration import Configuration, RequestKind
from linkhaven.runtime import Bounds


class ConfigurationAge(Protocol):
    """How recently the configuration was confirmed; implemented by `ConfigurationWatcher`."""

    def is_confirmed_within(self, age_us: int) -> bool:
        """Whether a majority confirmed it as of at most `age_us` ago."""

    def is_newest_within(self, age_us: int) -> bool:
        """The same, and no newer version is known of."""


class Authenticator:
    """Owns the index of tenants by key digest; it holds no API key itself."""

    __slots__ = ("age", "bounds", "tenants_by_digest")

    def __init__(self, age: ConfigurationAge, bounds: Bounds) -> None:
        """Start without tenants."""
        self.age = age
        self.bounds = bounds
        self.tenants_by_digest: dict[str, str] | None = None
        """None where the configuration has no tenants."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Index the keys of a new configuration."""
        tenants = configuration.tenants
        if tenants is None:
            self.tenants_by_digest = None
            return
        self.tenants_by_digest = {
            digest: name for name, tenant in tenants.items() for digest in tenant.key_digests
        }

    def authenticate(self, kind: RequestKind, key_digest: str | None) -> str | None:
        """Return the name of the tenant of a request, or None where it has none.

        Raises `ServiceError` where the request needs a tenant's key and doesn't have one.
        """
        if self.tenants_by_digest is None:
            return None
        tenant = self.tenants_by_digest.get(key_digest) if key_digest is not None else None
        if kind.is_public:
            return tenant
        if tenant is None:
            raise self._denial(key_digest)
        if self._may_have_been_revoked():
            raise ServiceError("plan_stale", retry_us=self.bounds.retry_least_us)
        return tenant

    def _denial(self, key_digest: str | None) -> ServiceError:
        """Return the error without a known key; not final where the configuration may be outdated."""
        if not self.age.is_newest_within(self.bounds.deny_within_us):
            return ServiceError("api_key_unconfirmed", retry_us=self.bounds.retry_least_us)
        if key_digest is None:
            return ServiceError("api_key_missing")
        return ServiceError("api_key_unknown")

    def _may_have_been_revoked(self) -> bool:
        """Whether a known key may have been revoked longer ago than the deployment permits."""
        revoke_us = self.bounds.revoke_us
        return revoke_us is not None and not self.age.is_confirmed_within(revoke_us)
