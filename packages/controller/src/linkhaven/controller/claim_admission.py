"""Admission of one-time claims at a core that began empty.

Claims that were granted before the core lost its disks are known to the routers only. So a replica
that began empty admits none until the routers have handed over theirs, page by page:

| state of a router's hand-over | message | then |
| --- | --- | --- |
| asked for offset n, every `ASK_INTERVAL_US` | `ClaimsResponse` at n | `WRITING` |
| `WRITING` | the page is synced | asked for the next page, or `COMPLETE` after the last |
| `WRITING` | the disk refused the page | asked for offset n again |
| any | `ClaimsResponse` of an earlier start, or at another offset | passed over |

Invariant: no claim is admitted twice by one core, also not across a loss of all disks
(`test_sabotage.py`, with the admission taken out).
"""

from linkhaven.configuration import ConfigurationSnapshot
from linkhaven.consensus import Replica
from linkhaven.membership import Membership
from linkhaven.runtime import Node

from .messages import ClaimsRequest, ClaimsResponse

ASK_INTERVAL_US = 250_000
"""How often each router is asked for its next page."""

SETTLE_US = 2_000_000
"""How long after its first votes a replica waits for routers that it may not know yet."""

REPORTED_BALLOT = [0, "told"]
"""The ballot of a claim that a router reported: below any that a proposer makes."""

WRITING = -1
"""The offset of a router whose page is being synced."""

COMPLETE = None
"""The offset of a router that handed over all its claims."""


class ClaimAdmission:
    """Owns how far each router has handed over its claims."""

    __slots__ = (
        "node",
        "replica",
        "membership",
        "snapshot",
        "offsets",
        "asked_us",
        "voting_since_us",
        "has_lost_configuration",
    )

    def __init__(
        self, node: Node, replica: Replica, membership: Membership, snapshot: ConfigurationSnapshot
    ) -> None:
        """No router was asked yet."""
        self.node = node
        self.replica = replica
        self.membership = membership
        self.snapshot = snapshot
        self.offsets: dict[str, int | None] = {}
        self.asked_us = 0
        self.voting_since_us: int | None = None
        self.has_lost_configuration = False
        node.register_handler(ClaimsResponse, self.on_claims)
        node.systems.append(self.tick)

    def on_voting_started(self) -> None:
        """The replica votes from now on."""
        self.voting_since_us = self.node.now_us()

    def on_configuration_lost(self) -> None:
        """A router knows a configuration that the core lost: the fleet served before."""
        self.has_lost_configuration = True

    def tick(self, now_us: int) -> None:
        """Ask the routers in turn, and admit claims once enough have handed over theirs."""
        if self.replica.are_claims_open or not self.replica.is_voting:
            return
        if now_us - self.asked_us < ASK_INTERVAL_US:
            return
        self.asked_us = now_us
        routers = self.membership.live_members("router")
        for router in routers:
            offset = self.offsets.setdefault(router.name, 0)
            if offset is not COMPLETE:
                self._ask(router.address, offset)
        if self._have_enough_handed_over([router.name for router in routers], now_us):
            self.offsets = {}
            self.replica.open_claims()

    def _ask(self, address: str, offset: int) -> None:
        self.node.send(address, ClaimsRequest(self._start(), offset))

    def _start(self) -> str:
        return self.replica.recovery.start

    def _have_enough_handed_over(self, routers: list[str], now_us: int) -> bool:
        """All routers that run; of a fleet that served before, most that the configuration counts.

        Fewer than most could all be routers that won no claim.
        """
        if not routers or self.voting_since_us is None:
            return False
        if now_us - self.voting_since_us < SETTLE_US:
            return False
        if any(self.offsets.get(router, 0) is not COMPLETE for router in routers):
            return False
        if not self.has_lost_configuration:
            return True
        if self.snapshot.configuration is None:
            return False
        complete = sum(offset is COMPLETE for offset in self.offsets.values())
        return complete > self.snapshot.configuration.fleet.routers // 2

    def on_claims(self, message: ClaimsResponse) -> None:
        """Keep a page of a router's claims, and ask for the next one once that is synced."""
        router, offset = str(message.sender), message.offset
        if not self._awaits_claims_from(router, offset, message.start):
            return
        self.offsets[router] = WRITING
        changed = self.replica.merge(
            {key: [[0, ""], REPORTED_BALLOT, {"by": by}] for key, by in message.claims}
        )

        def done(is_kept: bool) -> None:
            if not is_kept:
                self.offsets[router] = offset
                return
            if message.is_last:
                self.offsets[router] = COMPLETE
                return
            next_offset = self.offsets[router] = offset + len(message.claims)
            self._ask(str(message.reply_to), next_offset)

        self.node.ports.storage.write(changed, done)

    def _awaits_claims_from(self, router: str, offset: int, start: str) -> bool:
        is_asking = start == self._start() and not self.replica.are_claims_open
        return is_asking and self.offsets.get(router) == offset
