"""Rules about the limits of tenants, judged on a run's record.

A tenant's requests are counted over all routers together, including those that have died since:
each request that was sent, and that a runner began, within the window.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from .configuration_history import APPLIED_WITHIN_US, ConfigurationHistory, Entry, entries_of
from .tenant_checkers import Sending, Sendings

MICROSECONDS_PER_S = 1_000_000
WINDOW_US = 5 * MICROSECONDS_PER_S
OVERAGE = 0.1
SLACK_REQUESTS = 20
CALM_SHARE = 0.5
"""A tenant is well within its limit if it sent no more than this share of it, plus one request, in
each span up to two windows long."""

CALM_WINDOWS = 2
QUOTA_SPENT = "quota_spent"


class Limit(msgspec.Struct, frozen=True):
    """A tenant's limit: a rate in requests a second, and a burst."""

    requests_per_s: float
    burst_requests: float

    def requests_in(self, span_us: int) -> float:
        """How many requests a span of time (us) allows."""
        return self.requests_per_s * span_us / MICROSECONDS_PER_S + self.burst_requests


class Arrival(msgspec.Struct, frozen=True, order=True):
    """A request that was sent and that a runner began."""

    sent_us: int
    begun_us: int


def limits_in_force(
    history: ConfigurationHistory, tenant: str, from_us: int, until_us: int
) -> list[Limit] | None:
    """The limits that may have been in force within a time; None if at one moment there may have
    been no limit."""
    limits = []
    for version in history.in_force(from_us, until_us):
        document = (version.document.get("tenants") or {}).get(tenant)
        if document is None or not document.get("rate"):
            return None
        limits.append(Limit(document["rate"], document.get("burst", 0)))
    return limits or None


def holder_of(history: ConfigurationHistory, sent: Sending) -> str | None:
    """The tenant that holds the key of a request; None if that is uncertain."""
    versions = history.in_force(sent.sent_us, sent.sent_us)
    holders = {version.holder_of(sent.key_digest) for version in versions}
    return holders.pop() if len(holders) == 1 else None


def tenant_of(history: ConfigurationHistory, sent: Sending) -> str | None:
    """The tenant that a request counts for; None if it needs no key or the tenant is uncertain."""
    versions = history.in_force(sent.sent_us, sent.sent_us)
    if any(version.is_public(sent.kind) for version in versions):
        return None
    return holder_of(history, sent)


def arrivals_by_tenant(
    record: Sequence[Entry], history: ConfigurationHistory
) -> dict[str, list[Arrival]]:
    """Each tenant's requests that a runner began, by the time they were sent."""
    sendings = Sendings(record)
    seen: set[tuple[str, int]] = set()
    arrivals = defaultdict(list)
    for at_us, _, facts in entries_of(record, "begin"):
        sent = sendings.sent_before(facts["asked"], at_us)
        if sent is None or (sent.id, sent.sent_us) in seen:
            continue
        seen.add((sent.id, sent.sent_us))
        tenant = tenant_of(history, sent)
        if tenant is not None:
            arrivals[tenant].append(Arrival(sent.sent_us, at_us))
    return {tenant: sorted(each) for tenant, each in arrivals.items()}


def tenants_keep_to_their_limits(
    record: Sequence[Entry],
    applied_within_us: int = APPLIED_WITHIN_US,
    quota_window_us: int = WINDOW_US,
    quota_overage: float = OVERAGE,
    quota_slack: float = SLACK_REQUESTS,
    **terms: Any,
) -> Iterator[str]:
    """No window holds more of a tenant's requests than (rate x window + burst) x (1 + overage) +
    slack. A lower limit applies one window after it is in force everywhere."""
    history = ConfigurationHistory(record, applied_within_us)
    if not history.has_tenants:
        return
    for tenant, arrivals in arrivals_by_tenant(record, history).items():
        sent_us = [each.sent_us for each in arrivals]
        for place, first in enumerate(arrivals):
            end_us = first.sent_us + quota_window_us
            sent_within = arrivals[place : bisect_right(sent_us, end_us)]
            count = sum(1 for each in sent_within if each.begun_us <= end_us)
            limits = limits_in_force(history, tenant, first.sent_us - quota_window_us, end_us)
            if limits is None:
                continue
            most = max(limit.requests_in(quota_window_us) for limit in limits)
            most = most * (1 + quota_overage) + quota_slack
            if count > most:
                yield f"{tenant} had {count} requests run from {first.sent_us} on, of {most:.1f}"
                break


def tenants_within_their_limits_are_served(
    record: Sequence[Entry],
    applied_within_us: int = APPLIED_WITHIN_US,
    quota_window_us: int = WINDOW_US,
    calm_share: float = CALM_SHARE,
    **terms: Any,
) -> Iterator[str]:
    """A tenant that stayed well within its limit, counting all it sent over two windows, is never
    told that its quota is spent."""
    history, sendings = ConfigurationHistory(record, applied_within_us), Sendings(record)
    if not history.has_tenants:
        return
    sent_us = _sendings_by_tenant(history, sendings)
    span_us = CALM_WINDOWS * quota_window_us
    for at_us, _, facts in entries_of(record, "ended"):
        refused = sendings.sent_before(facts["id"], at_us)
        if facts["code"] != QUOTA_SPENT or refused is None:
            continue
        tenant, begin_us = holder_of(history, refused), refused.sent_us - span_us
        if tenant is None:
            continue
        limits = limits_in_force(history, tenant, begin_us, at_us)
        if limits is None:
            continue
        times = sent_us[tenant]
        recent = times[bisect_left(times, begin_us) : bisect_right(times, refused.sent_us)]
        if _is_well_within(limits, recent, calm_share):
            yield (
                f"{tenant} sent {len(recent)} requests in two windows, well within its limit, "
                f"and {refused.id} got 429"
            )


def _is_well_within(limits: list[Limit], sent_us: list[int], calm_share: float) -> bool:
    """Whether every span that ends with the last request stays below `calm_share` of each limit."""
    last_us = sent_us[-1]
    return all(
        len(sent_us) - place <= 1 + calm_share * limit.requests_in(last_us - first_us)
        for limit in limits
        for place, first_us in enumerate(sent_us)
    )


def _sendings_by_tenant(history: ConfigurationHistory, sendings: Sendings) -> dict[str, list[int]]:
    """When each tenant's requests were sent, including those that need no key."""
    sent_us = defaultdict(list)
    for each in (each for of_one in sendings.by_id.values() for each in of_one):
        tenant = holder_of(history, each)
        if tenant is not None:
            sent_us[tenant].append(each.sent_us)
    return {tenant: sorted(times) for tenant, times in sent_us.items()}


QUOTA_CHECKERS = (tenants_keep_to_their_limits, tenants_within_their_limits_are_served)
