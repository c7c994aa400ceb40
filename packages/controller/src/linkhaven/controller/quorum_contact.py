"""Contact with a quorum: without it a replica hands out nothing as the current configuration.

| message | to | says |
| --- | --- | --- |
| `QuorumContactRequest` | enough others, three times in `contact_us` | when it was sent |
| `QuorumContactResponse` | who asked | it votes; its incarnation, the newest version known chosen |

| state | `QuorumContactRequest` | `QuorumContactResponse` | tick |
| --- | --- | --- | --- |
| voting | answered | noted, if from the newest incarnation of another replica | asks when due |
| not voting | passed over: what it holds may be old | noted | forgets all answers |

Invariant: `is_held` only while a majority of voting replicas, this one among them, has answered
requests that were sent within `contact_us` (`tests/test_control_cuts.py`). Time is the sender's
own, counted from the sending, so neither a slow answer nor another's clock makes old contact look
new (the rule of leases: Gray and Cheriton, 1989).
"""

from collections.abc import Mapping
from typing import Protocol

from linkhaven.configuration import ConfigurationSnapshot
from linkhaven.consensus import Replica
from linkhaven.runtime import Node

from .messages import QuorumContactRequest, QuorumContactResponse

REQUESTS_A_BOUND = 3
"""How often within `contact_us` the others are asked."""


class ReplicaDirectory(Protocol):
    """Knows where the replicas are."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """The address and incarnation of the newest instance of each replica that is known."""


class QuorumContact:
    """Asks the other replicas at a steady pace and remembers as of when each answered."""

    __slots__ = ("node", "replica", "directory", "snapshot", "answered_us", "asked_us")

    def __init__(
        self,
        node: Node,
        replica: Replica,
        directory: ReplicaDirectory,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """Answer from the start; ask only while this replica votes."""
        self.node = node
        self.replica = replica
        self.directory = directory
        self.snapshot = snapshot
        self.answered_us: dict[str, int] = {}
        self.asked_us: int | None = None
        node.register_handler(QuorumContactRequest, self.on_request)
        node.register_handler(QuorumContactResponse, self.on_response)
        node.systems.append(self.tick)

    def is_held(self) -> bool:
        """Whether a majority answered what was asked within the bound."""
        since_us = self.node.now_us() - self.node.bounds.contact_us
        answered = sum(sent_us >= since_us for sent_us in self.answered_us.values())
        return answered + 1 >= self.replica.majority

    def on_request(self, message: QuorumContactRequest) -> None:
        """Only a replica that votes is contact: what others hold may be old."""
        if not self.replica.is_voting:
            return
        answer = QuorumContactResponse(
            replica=self.replica.replica_id,
            incarnation=self.replica.incarnation,
            sent_us=message.sent_us,
            version=self.snapshot.version,
        )
        self.node.send(message.reply_to, answer)

    def on_response(self, message: QuorumContactResponse) -> None:
        """An older instance of a replica is no contact."""
        replica = message.replica
        known = self.directory.replicas().get(replica)
        if known is None or known[1] > message.incarnation or replica == self.replica.replica_id:
            return
        self.snapshot.observe_version(message.version)
        last_us = self.answered_us.get(replica, message.sent_us)
        self.answered_us[replica] = max(last_us, message.sent_us)

    def tick(self, now_us: int) -> None:
        """Ask while this replica votes; one that stopped voting has no contact."""
        if not self.replica.is_voting:
            self.answered_us = {}
            self.asked_us = None
            return
        interval_us = self.node.bounds.contact_us // REQUESTS_A_BOUND
        if self.asked_us is not None and now_us - self.asked_us < interval_us:
            return
        self._ask(now_us)
        self.asked_us = now_us

    def _ask(self, now_us: int) -> None:
        """As many as a majority needs, of those that answered last; all, where too few did."""
        addresses = {name: address for name, (address, _) in self.directory.replicas().items()}
        others = self._after_own(addresses)
        last_us = self.asked_us or now_us
        answering = [replica for replica in others if self.answered_us.get(replica) == last_us]
        needed = self.replica.majority - 1
        for replica in answering[:needed] if len(answering) >= needed else others:
            self.node.send(addresses[replica], QuorumContactRequest(now_us))

    def _after_own(self, addresses: Mapping[str, str]) -> list[str]:
        """The other replicas in cyclic order from this one, so that each is asked by as many."""
        names = sorted(addresses)
        own = names.index(self.replica.replica_id) if self.replica.replica_id in names else 0
        return [name for name in names[own:] + names[:own] if name != self.replica.replica_id]
