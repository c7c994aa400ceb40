"""The traffic that routers report: what pools of runners have to serve."""

from typing import Any, NamedTuple

from linkhaven.runtime import Node

REPORT_TIMEOUT_US = 3_000_000
"""The rates of a router that reported nothing for so long are old."""

PREFILL_PACE = 2
"""Where a router's rates have the pace it saw prefill runners at."""


class Demand(NamedTuple):
    """Tokens a second, and tokens a second that one prefill runner reads, where any was seen."""

    prompt_rate: float
    answer_rate: float
    prefill_pace: float | None


class TrafficDemand:
    """Owns the rates that each router reported last, over all pools together."""

    __slots__ = ("node", "rates")

    def __init__(self, node: Node) -> None:
        """Nothing was reported yet."""
        self.node = node
        self.rates: dict[str, tuple[list[float], int]] = {}

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """A router's rates: prompt and answer tokens a second, and the pace of prefill runners."""
        self.rates[message["name"]] = (message.get("rates", [0, 0]), self.node.now_us())

    def of_share(self, share: float, now_us: int) -> Demand:
        """The demand on a pool that has this share of all sound runners."""
        recent = [
            rates
            for rates, reported_us in self.rates.values()
            if now_us - reported_us < REPORT_TIMEOUT_US
        ]
        paces = [
            rates[PREFILL_PACE]
            for rates in recent
            if len(rates) > PREFILL_PACE and rates[PREFILL_PACE]
        ]
        return Demand(
            share * sum(rates[0] for rates in recent),
            share * sum(rates[1] for rates in recent),
            sum(paces) / len(paces) if paces else None,
        )
