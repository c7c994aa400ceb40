"""What each group of requests may spend and has spent: GET /v1/groups."""

from typing import Any

from linkhaven.api import ServiceError
from linkhaven.configuration import ConfigurationSnapshot, ConfigurationStore, write_record
from linkhaven.consensus import Replica
from linkhaven.runtime import Node

REPORT_TIMEOUT_US = 5_000_000
"""A router that reported nothing for this long is left out."""

NO_CONFIGURATION_RETRY_US = 2_000_000
"""When a caller may ask again where no configuration is in force yet."""

COUNTERS = ("spent", "refused", "waiting", "waiting_tokens")
"""What routers count for each group; tokens, but for `refused` and `waiting`: requests."""


class GroupUsage:
    """Sums what routers report of the groups, with what the configuration grants them."""

    __slots__ = ("node", "replica", "store", "snapshot", "reports")

    def __init__(
        self,
        node: Node,
        replica: Replica,
        store: ConfigurationStore,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """Nothing was reported yet."""
        self.node = node
        self.replica = replica
        self.store = store
        self.snapshot = snapshot
        self.reports: dict[str, tuple[dict[str, dict[str, int]], int]] = {}

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """Take a router's counters in place of those before, and forget silent routers."""
        now_us = self.node.now_us()
        self.reports[message["name"]] = (message["usage"], now_us)
        for name in [name for name, (_, at_us) in self.reports.items() if self._is_old(at_us)]:
            del self.reports[name]

    def _is_old(self, reported_us: int) -> bool:
        return self.node.now_us() - reported_us > REPORT_TIMEOUT_US

    def serve(self, call: Any) -> None:
        """Answer GET /v1/groups.

        Routers report to replicas that vote only: any other node reads the configuration from the
        register, and has heard no router.

        Raises `plan_absent` where no configuration is in force.
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
                **write_record(group),
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
