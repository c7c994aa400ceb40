"""Cost of a tenant's quota: `python -m linkhaven.stage.quota_costs`.

One router and one owner run in this process; each line is encoded and decoded as on the wire, with
no network between them. Processor time is the least of several rounds, in microseconds.
"""

import json
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from linkhaven.configuration import Tenant
from linkhaven.credit import QuotaOwner, TenantQuotas
from linkhaven.runtime import Message, Node, Ports, UntypedMessage, write_line

ROUNDS = 7
ASKS_A_ROUND = 2_000
NANOSECONDS = 1_000
"""In a microsecond."""

TENANT = "institute-17"
UNBOUNDED = Tenant(key_digests=(), requests_per_s=10_000_000, burst_requests=10_000_000)
"""A limit that is never reached: every ask is granted."""


class SteppedClock:
    """A clock that is set by hand; what is due at once runs at the next step."""

    __slots__ = ("time_us", "due")

    def __init__(self) -> None:
        """It begins late enough for every bucket to be full."""
        self.time_us = 0
        self.due: list[Callable[[], None]] = []

    def now_us(self) -> int:
        """The time that was set, in us."""
        return self.time_us

    def call_in(self, delay_us: int, action: Callable[[], None], /) -> None:
        """Keep actions without a delay for this turn; drop the others, as no timeout
        happens here."""
        if not delay_us:
            self.due.append(action)

    def run_due(self) -> None:
        """Run the actions due in this turn."""
        due, self.due = self.due, []
        for action in due:
            action()


class KeptLines:
    """A network that keeps what is sent, as encoded lines."""

    __slots__ = ("lines",)

    def __init__(self) -> None:
        """Nothing was sent."""
        self.lines: list[bytes] = []

    def send(self, address: str, message: Message | UntypedMessage) -> None:
        """Keep a line."""
        self.lines.append(write_line(message))


class SoleOwner:
    """Shard ownership and directory of one controller that owns all shards."""

    __slots__ = ("num_shards",)

    def __init__(self) -> None:
        """Use as many shards as a core of three has."""
        self.num_shards = 3

    def is_owned(self, shard: int, now_us: int) -> bool:
        """Always."""
        return True

    def epoch_of(self, shard: int) -> int:
        """The first and only one."""
        return 1

    def owner_address(self, shard: int) -> str | None:
        """That of the one controller."""
        return "10.0.0.1:7000"

    def controller_addresses(self) -> list[str]:
        """The one controller."""
        return ["10.0.0.1:7000"]

    def preferred_address(self, shard: int) -> str | None:
        """That of the one controller."""
        return "10.0.0.1:7000"

    def relay_addresses(self) -> list[str]:
        """No other router."""
        return []


class QuotaPair:
    """A router and an owner, and the processor time of each."""

    __slots__ = ("clock", "router", "owner", "router_lines", "owner_lines", "quotas", "spent_ns")

    def __init__(self) -> None:
        """The owner's bucket is full."""
        self.clock = SteppedClock()
        self.router_lines, self.owner_lines = KeptLines(), KeptLines()
        self.router = self._node("edge-1", "10.1.0.1:7000", self.router_lines)
        self.owner = self._node("core-1", "10.0.0.1:7000", self.owner_lines)
        shards = SoleOwner()
        configuration: Any = SimpleNamespace(tenants={TENANT: UNBOUNDED})
        snapshot: Any = SimpleNamespace(configuration=configuration, version=1, change_listeners=[])
        QuotaOwner(self.owner, shards, snapshot).on_shard_won(0)
        first_number = int(time.time() * 1_000_000)
        self.quotas = TenantQuotas(
            self.router, shards, shards.num_shards, first_number, _ignore, _ignore
        )
        self.quotas.apply_configuration(configuration)
        self.clock.time_us = 60_000_000
        self.spent_ns = {"router": 0, "owner": 0, "local": 0}

    def _node(self, name: str, address: str, lines: KeptLines) -> Node:
        network: Any = lines
        nothing: Any = None
        return Node(name, address, Ports(self.clock, network, nothing, nothing, _ignore))

    def ask_once(self) -> None:
        """Admit one request that finds no quota slice and needs a round trip, then one that is
        admitted locally; advance the clock by a second."""
        request: Any = SimpleNamespace(
            id="edge-1-1",
            tenant=TENANT,
            kind=SimpleNamespace(ttft_us=800_000),
            arrived_us=self.clock.time_us,
            quota_slice=None,
        )
        self._timed("router", lambda: (self.quotas.admit(request), self.clock.run_due()))
        ask = self.router_lines.lines.pop()
        self._timed("owner", lambda: self._hear(self.owner, ask))
        response = self.owner_lines.lines.pop()
        self._timed("router", lambda: self._hear(self.router, response))
        self.quotas.give_back(request)
        self._timed("local", lambda: self.quotas.admit(request))
        self.clock.time_us += 1_000_000

    def bytes_of_lines(self) -> tuple[int, int]:
        """The sizes in bytes of one request to the owner and of its response."""
        request: Any = SimpleNamespace(
            id="edge-1-1",
            tenant=TENANT,
            kind=SimpleNamespace(ttft_us=800_000),
            arrived_us=self.clock.time_us,
            quota_slice=None,
        )
        self.quotas.admit(request)
        self.clock.run_due()
        ask = self.router_lines.lines.pop()
        self._hear(self.owner, ask)
        response = self.owner_lines.lines.pop()
        self._hear(self.router, response)
        self.clock.time_us += 1_000_000
        return len(ask), len(response)

    def _timed(self, what: str, action: Callable[[], object]) -> None:
        begun_ns = time.process_time_ns()
        action()
        self.spent_ns[what] += time.process_time_ns() - begun_ns

    def _hear(self, node: Node, line: bytes) -> None:
        message = node.read_line(line)
        if message is not None:
            node.dispatch(message)


def _ignore(*args: Any, **facts: Any) -> None:
    """Do nothing."""


def measure() -> dict[str, float]:
    """Microseconds of processor time, the least of `ROUNDS`, and bytes for one request to the
    owner."""
    rounds = []
    for _ in range(ROUNDS):
        pair = QuotaPair()
        for _ in range(ASKS_A_ROUND):
            pair.ask_once()
        rounds.append(pair.spent_ns)
    ask_bytes, response_bytes = QuotaPair().bytes_of_lines()
    least = {
        f"{what}_us": round(min(each[what] for each in rounds) / ASKS_A_ROUND / NANOSECONDS, 1)
        for what in rounds[0]
    }
    return {**least, "request_bytes": ask_bytes, "response_bytes": response_bytes}


if __name__ == "__main__":
    print(json.dumps(measure()))
