"""Quota and usage of each group of requests: GET /v1/groups."""

from typing import Any

from linkhaven.api import ServiceError
from linkhaven.configuration import ConfigurationSnapshot, ConfigurationStore, record_to_dict
from linkhaven.consensus import Replica
from linkhaven.runtime import Node

REPORT_TIMEOUT_US = 5_000_000
"""A router that hasn't reported for this long is left out."""

NO_CONFIGURATION_RETRY_US = 2_000_000
"""The retry delay for callers while no configuration is in force."""

COUNTERS = ("spent", "refused", "waiting", "waiting_tokens")
"""The routers' counters of each group: tokens, except `refused` and `waiting` (requests)."""


class GroupUsage:
    """Sums the routers' usage reports by group, and adds the configured quotas."""

    __slots__ = ("node", "replica", "store", "snapshot", "reports")

    def __init__(
        self,
        node: Node,
        replica: Replica,
        store: ConfigurationStore,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """Start without any report."""
        self.node = node
        self.replica = replica
        self.store = store
        self.snapshot = snapshot
        self.reports: dict[str, tuple[dict[str, dict[str, int]], int]] = {}

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """Replace a router's counters, and forget routers that stopped reporting."""
        now_us = self.node.now_us()
        self.reports[message["name"]] = (message["usage"], now_us)
        for name in [name for name, (_, at_us) in self.reports.items() if self._is_old(at_us)]:
            del self.reports[name]

    def _is_old(self, reported_us: int) -> bool:
        return self.node.now_us() - reported_us > REPORT_TIMEOUT_US

    def serve(self, call: Any) -> None:
        """Answer GET /v1/groups.

        Routers report only to voting replicas. Any other node reads the configuration from the
        register and has no reports.

        Raises `plan_absent` if no configuration is in force.
        """
        if self.replica.is_voting:
            return self._answer(call)

        def done(error: ServiceError | None, value: Any) -> None:
            if error is not None or self.snapshot.configuration is None:
                call.answer_error(error or self._absent())
                return
            self._answer(call)

        self.store.read_record(done)

    def _absent(self) -> ServiceError:
        return ServiceError("plan_absent", retry_us=NO_CONFIGURATION_RETRY_US)

    def _answer(self, call: Any) -> None:
        configuration = self.snapshot.configuration
        if configuration is None:
            raise self._absent()
        usages = [usage for usage, at_us in self.reports.values() if not self._is_old(at_us)]
        groups = {
            name: {
                **record_to_dict(group),
                "kinds": sorted(
                    kind for kind, of in configuration.kinds.items() if of.group == name
                ),
                **{
                    counter: sum(usage.get(name, {}).get(counter, 0) for usage in usages)
                    for counter in COUNTERS
                },
            }
            for name, group in configuration.groups.items()
        }
        answer = {"mark": self.snapshot.version, "routers": len(usages), "groups": groups}
        call.answer_json(200, answer)
