"""Admission of one-time claims by a replica that started with an empty disk.

Claims that were granted before the core lost its disks are known only to the routers. Therefore a
replica that started empty admits no claim until the routers have handed over theirs, page by page:

| state of a router's hand-over | message or event | action | next state |
| --- | --- | --- | --- |
| REQUESTED | `REQUEST_INTERVAL_US` passed | request the page at its offset | REQUESTED |
| REQUESTED | `ClaimsResponse` at its offset | write the page to disk | STORING |
| STORING | synced, more pages follow | request the next page | REQUESTED |
| STORING | synced, the last page | | COMPLETE |
| STORING | the write failed | | REQUESTED |

Any other response is ignored: one to an earlier start of the replica, at another offset, or while
a page is being synced.

The replica waits for these routers:

- all live routers;
- routers that membership, or a router that answered, considers failed: for `FAILED_ROUTER_US`,
  since a router that is only partitioned holds claims and keeps working;
- routers that have left: as long as messages from them arrive.

Invariant: a core never admits a claim twice, even across a loss of all disks
(`test_sabotage.py`, with the admission disabled;
`test_no_claim_is_granted_twice_if_a_router_is_wrongly_considered_failed`).
"""

from collections.abc import Iterator
from enum import Enum

from linkhaven.configuration import ConfigurationSnapshot
from linkhaven.consensus import Replica
from linkhaven.membership import Member, Membership
from linkhaven.runtime import Node

from .messages import ClaimsRequest, ClaimsResponse

REQUEST_INTERVAL_US = 250_000
"""How often the next page is requested from each router."""

DISCOVERY_WAIT_US = 2_000_000
"""How long after it starts voting a replica waits for routers that it may not know yet."""

REPORTED_BALLOT = [0, "told"]
"""The ballot of a claim reported by a router, lower than any that a proposer uses."""

FAILED_ROUTER_US = 60_000_000
"""How long after it starts voting a replica waits for a router that is considered failed.
Membership forgets failed members after the same time."""


class HandOverState(Enum):
    """The state of a router's hand-over of its claims."""

    REQUESTED = "asked"
    STORING = "storing"
    COMPLETE = "complete"


class RouterHandOver:
    """The hand-over of one router's claims."""

    __slots__ = ("address", "state", "offset")

    def __init__(self, address: str) -> None:
        """Begin with the first page of the router at `address`."""
        self.address = address
        self.state = HandOverState.REQUESTED
        self.offset = 0

    @property
    def is_complete(self) -> bool:
        """Whether all of the router's claims are synced here."""
        return self.state is HandOverState.COMPLETE


class ClaimAdmission:
    """Owns the state of each router's hand-over, and opens the replica for claims afterwards."""

    __slots__ = (
        "node",
        "replica",
        "membership",
        "snapshot",
        "routers",
        "requested_us",
        "voting_since_us",
        "has_lost_configuration",
    )

    def __init__(
        self, node: Node, replica: Replica, membership: Membership, snapshot: ConfigurationSnapshot
    ) -> None:
        """Register the message handler and the tick; routers are asked once the replica votes."""
        self.node = node
        self.replica = replica
        self.membership = membership
        self.snapshot = snapshot
        self.routers: dict[str, RouterHandOver] = {}
        self.requested_us = 0
        self.voting_since_us: int | None = None
        self.has_lost_configuration = False
        node.register_handler(ClaimsResponse, self.on_claims)
        node.tick_handlers.append(self.tick)

    def on_voting_started(self) -> None:
        """Start the waits that count from the replica's first votes."""
        self.voting_since_us = self.node.now_us()

    def on_configuration_lost(self) -> None:
        """Note that the fleet served before: a router knows a configuration that the core lost."""
        self.has_lost_configuration = True

    def tick(self, now_us: int) -> None:
        """Request pages from all routers when due; admit claims once enough have handed over."""
        if self.replica.are_claims_open or not self.replica.is_voting:
            return
        if now_us - self.requested_us < REQUEST_INTERVAL_US:
            return
        self.requested_us = now_us
        for member in self._known_routers():
            self._add_router(member.name, member.address)
        for router in self.routers.values():
            if router.state is HandOverState.REQUESTED:
                self._request_page(router)
        if self._have_enough_handed_over(now_us):
            self.routers = {}
            self.replica.open_claims()

    def _known_routers(self) -> Iterator[Member]:
        return (member for member in self.membership.peers.values() if member.kind == "router")

    def _add_router(self, name: str, address: str) -> None:
        self.routers.setdefault(name, RouterHandOver(address)).address = address

    def _request_page(self, router: RouterHandOver) -> None:
        self.node.send(router.address, ClaimsRequest(self._start(), router.offset))

    def _start(self) -> str:
        return self.replica.recovery.start

    def _have_enough_handed_over(self, now_us: int) -> bool:
        """Whether all routers that are waited for have handed over their claims.

        If the fleet served before, this must also be a majority of the configured routers, since
        fewer could all be routers that won no claim.
        """
        if not self.membership.live_members("router") or self.voting_since_us is None:
            return False
        if now_us - self.voting_since_us < DISCOVERY_WAIT_US:
            return False
        if any(self._is_awaited(name, now_us) for name in self.routers):
            return False
        if not self.has_lost_configuration:
            return True
        if self.snapshot.configuration is None:
            return False
        complete = sum(router.is_complete for router in self.routers.values())
        return complete > self.snapshot.configuration.fleet.routers // 2

    def _is_awaited(self, name: str, now_us: int) -> bool:
        if self.routers[name].is_complete:
            return False
        member = self.membership.peers.get(name)
        if member is not None and member.is_up:
            return True
        if member is not None and member.has_left:
            heard_us = member.last_message_us
            return (
                heard_us is not None and now_us - heard_us <= self.node.bounds.heartbeat_timeout_us
            )
        return now_us - (self.voting_since_us or 0) < FAILED_ROUTER_US

    def on_claims(self, message: ClaimsResponse) -> None:
        """Store a page of a router's claims, and request the next one once it is synced."""
        router = self.routers.get(str(message.sender))
        if router is None or not self._is_page_requested(router, message):
            return
        for name, address in message.routers:
            self._add_router(name, address)
        router.state = HandOverState.STORING
        changed = self.replica.merge(
            {key: [[0, ""], REPORTED_BALLOT, {"by": by}] for key, by in message.claims}
        )

        def done(is_kept: bool) -> None:
            if is_kept and message.is_last:
                router.state = HandOverState.COMPLETE
                return
            router.state = HandOverState.REQUESTED
            if is_kept:
                router.offset += len(message.claims)
                self._request_page(router)

        self.node.ports.storage.write(changed, done)

    def _is_page_requested(self, router: RouterHandOver, message: ClaimsResponse) -> bool:
        is_current = message.start == self._start() and not self.replica.are_claims_open
        is_next_page = router.state is HandOverState.REQUESTED and router.offset == message.offset
        return is_current and is_next_page
