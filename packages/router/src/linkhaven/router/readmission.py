"""Applies a new configuration to the requests that wait at a router.

| change to a waiting request | effect |
| --- | --- |
| its kind was removed | `unknown_kind` |
| its API key was revoked | as for any request with that key: see `authentication.py` |
| its API key belongs to another tenant | passes the chain again from the quota filter on |
| its kind is in another group | joins the queue of that group |
| none of these | waits as before |

Requests that were sent to a runner keep the kind and the tenant under which they were admitted. All
waiting requests are judged before the first is changed, since each that ends lets others be sent.
"""

from typing import Any

from linkhaven.api import ServiceError
from linkhaven.configuration import Configuration, RequestKind

from . import request as states


class Verdict:
    """The effect of a new configuration on one request: an error, or its kind and tenant."""

    __slots__ = ("request", "error", "kind", "tenant")

    def __init__(
        self,
        request: Any,
        error: ServiceError | None = None,
        kind: RequestKind | None = None,
        tenant: str | None = None,
    ) -> None:
        """`kind` is None only where there is an error."""
        self.request = request
        self.error = error
        self.kind = kind
        self.tenant = tenant

    def changes_group(self) -> bool:
        """Whether the request has to join another queue."""
        request, kind = self.request, self.kind
        return request.state == states.QUEUED and kind is not None and kind.group != request.group

    def is_unchanged(self) -> bool:
        """Whether the request waits as before."""
        is_same_tenant = self.tenant == self.request.tenant
        return self.error is None and is_same_tenant and not self.changes_group()


class Readmission:
    """Judges waiting requests by a new configuration, and applies the verdicts in a second step.

    Between the two steps the queues and quotas take the new configuration. Owns no state.
    """

    __slots__ = ("node",)

    def __init__(self, node: Any) -> None:
        """Work on the requests of this router."""
        self.node = node

    def withdraw_changed(self, configuration: Configuration) -> list[Verdict]:
        """Remove all changed requests from their queues; return a verdict for each."""
        waiting = [
            request
            for request in self.node.requests.rows()
            if request.state in (states.QUEUED, states.CLAIMING)
        ]
        verdicts = [self._judge(request, configuration) for request in waiting]
        changed = [verdict for verdict in verdicts if not verdict.is_unchanged()]
        for verdict in changed:
            request = verdict.request
            if request.state == states.QUEUED:
                self.node.admission.remove(request.group, request)
        return changed

    def _judge(self, request: Any, configuration: Configuration) -> Verdict:
        kind = configuration.kinds.get(request.kind_name)
        if kind is None:
            return Verdict(request, ServiceError("unknown_kind", kind=request.kind_name))
        try:
            tenant = self.node.authenticator.authenticate(kind, request.key_digest)
        except ServiceError as error:
            return Verdict(request, error)
        return Verdict(request, None, kind, tenant)

    def apply(self, verdicts: list[Verdict]) -> None:
        """End the withdrawn requests, or let them wait again."""
        for verdict in verdicts:
            request = verdict.request
            if request.state == states.ENDED:
                continue
            if verdict.error is not None:
                self.node.end_with_error(request, verdict.error)
            elif verdict.tenant != request.tenant:
                self._change_tenant(request, verdict)
            else:
                self._change_group(request, verdict.kind)

    def _follow_kind(self, request: Any, kind: RequestKind | None) -> None:
        assert kind is not None
        request.kind, request.group = kind, kind.group
        request.admitted_version = self.node.snapshot.version

    def _change_tenant(self, request: Any, verdict: Verdict) -> None:
        """Return the quota token to the former tenant; the request needs one of the new tenant."""
        self.node.tenant_quotas.give_back(request)
        self._follow_kind(request, verdict.kind)
        request.tenant = verdict.tenant
        request.state = states.WAITING
        self.node.chain.rerun_from(request, "quota")

    def _change_group(self, request: Any, kind: RequestKind | None) -> None:
        self._follow_kind(request, kind)
        request.rank = self.node.snapshot.configuration.rank_of(request.kind, request.tenant)
        try:
            self.node.admission.enqueue(request.group, request)
        except ServiceError as error:
            self.node.end_with_error(request, error)
