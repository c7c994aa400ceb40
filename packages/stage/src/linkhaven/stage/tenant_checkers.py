"""Rules about tenants' API keys and names, judged on a run's record.

Each checker yields a line of text for each breach. Requests are judged by when their caller sent
them: a request that was sent while its key was in force may go on after the key was revoked.
"""

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from linkhaven.configuration import digest_api_key

from .configuration_history import APPLIED_WITHIN_US, ConfigurationHistory, Entry, entries_of

UNAUTHENTICATED = 401


class Sending(msgspec.Struct, frozen=True):
    """One attempt of a caller to send a request."""

    id: str
    kind: str
    sent_us: int
    key_digest: str | None


class Sendings:
    """All attempts of all requests; after a cut, a caller sends a request again under the
    same id."""

    __slots__ = ("by_id",)

    def __init__(self, record: Sequence[Entry]) -> None:
        """Read from the record who sent what, and with which key."""
        self.by_id: dict[str, list[Sending]] = {}
        for at_us, _, facts in entries_of(record, "asked"):
            key = facts.get("api_key")
            each = Sending(facts["id"], facts["kind"], at_us, digest_api_key(key) if key else None)
            self.by_id.setdefault(each.id, []).append(each)

    def sent_before(self, id: str, at_us: int) -> Sending | None:
        """The last attempt of a request before a time, None if there was none."""
        sent = [each for each in self.by_id.get(id, ()) if each.sent_us <= at_us]
        return sent[-1] if sent else None


def runners_see_no_keys(record: Sequence[Entry], **terms: Any) -> Iterator[str]:
    """No call to a runner contains an API key, in any header, path or body."""
    for at_us, _, facts in entries_of(record, "key_seen"):
        yield f"{facts['runner']} was shown {facts['api_key']} by {facts['path']} at {at_us}"


def runners_see_the_holder_of_the_key(
    record: Sequence[Entry], applied_within_us: int = APPLIED_WITHIN_US, **terms: Any
) -> Iterator[str]:
    """Each call to a runner names the tenant that holds the caller's key and no other: a name that
    the client made up is ignored."""
    history, sendings = ConfigurationHistory(record, applied_within_us), Sendings(record)
    for at_us, _, facts in entries_of(record, "offered"):
        sent = sendings.sent_before(facts.get("asked", ""), at_us)
        if sent is None:
            continue
        holders = {
            version.holder_of(sent.key_digest)
            for version in history.in_force(sent.sent_us, at_us)
            if version.is_public(sent.kind) or version.holder_of(sent.key_digest)
        }
        if any(version.is_public(sent.kind) for version in history.in_force(sent.sent_us, at_us)):
            holders.add(None)
        if holders and facts.get("tenant") not in holders:
            names = " or ".join(sorted(str(name) for name in holders))
            yield f"{facts['request']} of {names} reached {facts['runner']} as {facts.get('tenant')}"


def _run_without_a_key(
    record: Sequence[Entry], applied_within_us: int
) -> Iterator[tuple[ConfigurationHistory, Sending, dict[str, Any]]]:
    """Work that was begun though no version that may have been in force permits its key."""
    history, sendings = ConfigurationHistory(record, applied_within_us), Sendings(record)
    if not history.has_tenants:
        return
    for at_us, _, facts in entries_of(record, "begin"):
        sent = sendings.sent_before(facts["asked"], at_us)
        if sent is None:
            continue
        versions = history.in_force(sent.sent_us, at_us)
        if versions and not any(
            version.is_public(sent.kind) or version.holder_of(sent.key_digest)
            for version in versions
        ):
            yield history, sent, facts


def unknown_keys_run_nothing(
    record: Sequence[Entry], applied_within_us: int = APPLIED_WITHIN_US, **terms: Any
) -> Iterator[str]:
    """Nothing runs without a key, or with one that no configuration ever held."""
    for history, sent, facts in _run_without_a_key(record, applied_within_us):
        if not history.ever_held(sent.key_digest):
            yield f"{sent.id} was begun by {facts['runner']} with no key that ever was in force"


def revoked_keys_run_nothing(
    record: Sequence[Entry], applied_within_us: int = APPLIED_WITHIN_US, **terms: Any
) -> Iterator[str]:
    """Nothing runs that was sent with a revoked key later than the bound after its revocation."""
    for history, sent, facts in _run_without_a_key(record, applied_within_us):
        if history.ever_held(sent.key_digest):
            yield (
                f"{sent.id}, sent at {sent.sent_us} with a key taken away, "
                f"was begun by {facts['runner']}"
            )


def keys_in_force_are_accepted(
    record: Sequence[Entry], applied_within_us: int = APPLIED_WITHIN_US, **terms: Any
) -> Iterator[str]:
    """A request gets no 401 if it needs no key, or if all versions that may be in force hold its
    key."""
    history, sendings = ConfigurationHistory(record, applied_within_us), Sendings(record)
    if not history.has_tenants:
        return
    for at_us, _, facts in entries_of(record, "ended"):
        if facts.get("status") != UNAUTHENTICATED:
            continue
        sent = sendings.sent_before(facts["id"], at_us)
        if sent is None:
            continue
        versions = history.in_force(sent.sent_us, at_us)
        if versions and all(
            version.is_public(sent.kind) or version.holder_of(sent.key_digest)
            for version in versions
        ):
            yield f"{sent.id} was refused with 401 at {at_us}, though its key is in force"


TENANT_CHECKERS = (
    runners_see_no_keys,
    runners_see_the_holder_of_the_key,
    unknown_keys_run_nothing,
    revoked_keys_run_nothing,
    keys_in_force_are_accepted,
)
