"""Relays per-runner figures between routers: each reports its own and gets the sum of the others'.

In a fleet with more than a certain number of routers, the routers don't exchange these figures
directly. Each reports its own in its watch requests, as rows of runner, incarnation and figures,
and receives the sums with the runner list. The sums are as old as the routers' last reports.
"""

from collections.abc import Sequence
from typing import Any

from linkhaven.runtime import Node

REPORT_TIMEOUT_US = 2_500_000
"""A router that hasn't reported for this long is left out of the sums."""

Key = tuple[str, int]
"""A runner's name and incarnation."""


class FigureRelay:
    """Owns the last report of each router in one field of its watch requests, and their sums."""

    __slots__ = ("node", "field", "reports", "sums")

    def __init__(self, node: Node, field: str) -> None:
        """Relay the rows in the watch request field named `field`."""
        self.node = node
        self.field = field
        self.reports: dict[str, tuple[Sequence[Any], int]] = {}
        self.sums: dict[Key, tuple[Any, ...]] = {}
        node.tick_handlers.append(self.tick)

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """Replace a router's rows by those in its request, if it has any."""
        if self.field in message:
            self._replace(message["name"], message[self.field])

    def add_watch_sections(self, request: dict[str, Any], response: dict[str, Any]) -> None:
        """Add the sums of the other routers' rows, if this router reported its own."""
        if self.field in request:
            response[self.field] = self.of_others(request["name"])

    def _replace(self, router: str, rows: Sequence[Any] | None) -> None:
        before, _ = self.reports.pop(router, ((), 0))
        self._add(before, -1)
        if rows is not None:
            self.reports[router] = (rows, self.node.now_us())
            self._add(rows, 1)

    def _add(self, rows: Sequence[Any], sign: int) -> None:
        for name, incarnation, *figures in rows:
            key = (name, incarnation)
            sums = self.sums.get(key) or (0,) * len(figures)
            total = tuple(one + sign * other for one, other in zip(sums, figures, strict=False))
            if any(total):
                self.sums[key] = total
            else:
                self.sums.pop(key, None)

    def of_others(self, router: str) -> list[list[Any]]:
        """The sums of all rows except those of `router`, as rows without zero sums."""
        own = {
            (name, incarnation): figures
            for name, incarnation, *figures in self.reports.get(router, ((), 0))[0]
        }
        rows = []
        for key, total in self.sums.items():
            figures = own.get(key)
            rest = (
                total
                if figures is None
                else tuple(one - other for one, other in zip(total, figures, strict=False))
            )
            if any(rest):
                rows.append([*key, *rest])
        return rows

    def tick(self, now_us: int) -> None:
        """Remove the rows of routers that haven't reported for `REPORT_TIMEOUT_US`."""
        for router in [
            router
            for router, (_, reported_us) in self.reports.items()
            if now_us - reported_us > REPORT_TIMEOUT_US
        ]:
            self._replace(router, None)
