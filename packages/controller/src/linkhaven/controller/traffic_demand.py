"""The traffic that routers report, from which the demand on each pool is estimated."""

from typing import Any, NamedTuple

from linkhaven.runtime import Node

REPORT_TIMEOUT_US = 3_000_000
"""The rates of a router that hasn't reported for this long are ignored."""

PREFILL_PACE_INDEX = 2
"""The index of the prefill pace in a router's rates; a router may report none."""


class Demand(NamedTuple):
    """Rates in tokens per second; `prefill_pace` is that of one prefill runner, None if unknown."""

    prompt_rate: float
    answer_rate: float
    prefill_pace: float | None


class TrafficDemand:
    """Owns the last reported rates of each router, which cover all pools together."""

    __slots__ = ("node", "rates")

    def __init__(self, node: Node) -> None:
        """Start without any report."""
        self.node = node
        self.rates: dict[str, tuple[list[float], int]] = {}

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """Store a router's rates: prompt and answer tokens per second, and the prefill pace."""
        self.rates[message["name"]] = (message.get("rates", [0, 0]), self.node.now_us())

    def for_share(self, share: float, now_us: int) -> Demand:
        """The demand on a pool that has this share of all healthy runners."""
        recent = [
            rates
            for rates, reported_us in self.rates.values()
            if now_us - reported_us < REPORT_TIMEOUT_US
        ]
        paces = [
            rates[PREFILL_PACE_INDEX]
            for rates in recent
            if len(rates) > PREFILL_PACE_INDEX and rates[PREFILL_PACE_INDEX]
        ]
        return Demand(
            share * sum(rates[0] for rates in recent),
            share * sum(rates[1] for rates in recent),
            sum(paces) / len(paces) if paces else None,
        )
