"""Admission of one-time claims at a core that began empty.

Claims that were granted before the core lost its disks are known to the routers only. So a replica
that began empty admits none until the routers have handed over theirs, page by page:

| state of a router's hand-over | message or event | what it does | next |
| --- | --- | --- | --- |
| ASKED | `ASK_INTERVAL_US` passed | asks for the page at its offset | ASKED |
| ASKED | `ClaimsResponse` at its offset | syncs the page | STORING |
| STORING | synced, more pages follow | asks for the next one | ASKED |
| STORING | synced, the last page | | COMPLETE |
| STORING | the disk refused the page | | ASKED |

What stands in no row is passed over: an answer to an earlier start, at another offset, or while a
page is being synced.

Whom it waits for: the routers that run; those that membership, or a router that answered, holds for
failed, for `FAILED_ROUTER_US`, since one that is only cut off has claims and works on; those that
left, for as long as they speak.

Invariant: no claim is admitted twice by one core, also not across a loss of all disks
(`test_sabotage.py`, with the admission taken out;
`test_no_claim_is_granted_twice_where_a_router_is_wrongly_held_for_failed`).
"""

from collections.abc import Iterator
from enum import Enum

from linkhaven.configuration import ConfigurationSnapshot
from linkhaven.consensus import Replica
from linkhaven.membership import Member, Membership
from linkhaven.runtime import Node

from .messages import ClaimsRequest, ClaimsResponse

ASK_INTERVAL_US = 250_000
"""How often each router is asked for its next page."""

SETTLE_US = 2_000_000
"""How long after its first votes a replica waits for routers that it may not know yet."""

REPORTED_BALLOT = [0, "told"]
"""The ballot of a claim that a router reported: below any that a proposer makes."""

FAILED_ROUTER_US = 60_000_000
"""How long after its first votes a replica waits for a router that is held for failed. Membership
forgets failed members after the same time."""


class HandOverState(Enum):
    """How far a router is with handing over its claims."""

    ASKED = "asked"
    STORING = "storing"
    COMPLETE = "complete"


class RouterHandOver:
    """The hand-over of one router's claims."""

    __slots__ = ("address", "state", "offset")

    def __init__(self, address: str) -> None:
        """Nothing was handed over yet."""
        self.address = address
        self.state = HandOverState.ASKED
        self.offset = 0

    @property
    def is_complete(self) -> bool:
        """Whether all of the router's claims are synced here."""
        return self.state is HandOverState.COMPLETE


class ClaimAdmission:
    """Owns how far each router has handed over its claims."""

    __slots__ = (
        "node",
        "replica",
        "membership",
        "snapshot",
        "routers",
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
        self.routers: dict[str, RouterHandOver] = {}
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
        for member in self._known_routers():
            self._note_router(member.name, member.address)
        for router in self.routers.values():
            if router.state is HandOverState.ASKED:
                self._ask(router)
        if self._have_enough_handed_over(now_us):
            self.routers = {}
            self.replica.open_claims()

    def _known_routers(self) -> Iterator[Member]:
        return (member for member in self.membership.peers.values() if member.kind == "router")

    def _note_router(self, name: str, address: str) -> None:
        self.routers.setdefault(name, RouterHandOver(address)).address = address

    def _ask(self, router: RouterHandOver) -> None:
        self.node.send(router.address, ClaimsRequest(self._start(), router.offset))

    def _start(self) -> str:
        return self.replica.recovery.start

    def _have_enough_handed_over(self, now_us: int) -> bool:
        """All that are waited for; of a fleet that served before, most that were configured.

        Fewer than most could all be routers that won no claim.
        """
        if not self.membership.live_members("router") or self.voting_since_us is None:
            return False
        if now_us - self.voting_since_us < SETTLE_US:
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
            return heard_us is not None and now_us - heard_us <= self.node.bounds.missed_us
        return now_us - (self.voting_since_us or 0) < FAILED_ROUTER_US

    def on_claims(self, message: ClaimsResponse) -> None:
        """Keep a page of a router's claims, and ask for the next one once that is synced."""
        router = self.routers.get(str(message.sender))
        if router is None or not self._awaits_page(router, message):
            return
        for name, address in message.routers:
            self._note_router(name, address)
        router.state = HandOverState.STORING
        changed = self.replica.merge(
            {key: [[0, ""], REPORTED_BALLOT, {"by": by}] for key, by in message.claims}
        )

        def done(is_kept: bool) -> None:
            if is_kept and message.is_last:
                router.state = HandOverState.COMPLETE
                return
            router.state = HandOverState.ASKED
            if is_kept:
                router.offset += len(message.claims)
                self._ask(router)

        self.node.ports.storage.write(changed, done)

    def _awaits_page(self, router: RouterHandOver, message: ClaimsResponse) -> bool:
        is_asking = message.start == self._start() and not self.replica.are_claims_open
        is_asked = router.state is HandOverState.ASKED and router.offset == message.offset
        return is_asking and is_asked
