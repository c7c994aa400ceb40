"""Quorum contact: without it a replica serves no configuration as the current one.

| message | sent to | content |
| --- | --- | --- |
| `QuorumContactRequest` | enough others, three times per `contact_us` | the time of sending |
| `QuorumContactResponse` | the requester | that it votes, incarnation, newest chosen version |

| state | `QuorumContactRequest` | `QuorumContactResponse` | tick |
| --- | --- | --- | --- |
| voting | answered | recorded if from another replica's newest incarnation | sends when due |
| not voting | ignored: its data may be outdated | recorded likewise | forgets all answers |

Invariant: `is_held` is true only while a majority of voting replicas, including this one, has
answered requests that were sent within `contact_us` (`tests/test_control_cuts.py`). Times are those
of the sender's own clock at sending, so neither a slow answer nor another node's clock can make an
old contact look recent (the rule of leases: Gray and Cheriton, 1989).
"""

from collections.abc import Mapping
from typing import Protocol

from linkhaven.configuration import ConfigurationSnapshot
from linkhaven.consensus import Replica
from linkhaven.runtime import Node

from .messages import QuorumContactRequest, QuorumContactResponse

REQUESTS_PER_WINDOW = 3
"""How many times per `contact_us` the other replicas are asked."""


class ReplicaDirectory(Protocol):
    """Knows where the replicas are."""

    def replicas(self) -> Mapping[str, tuple[str, int]]:
        """The address and incarnation of the newest instance of each replica that is known."""


class QuorumContact:
    """Asks the other replicas periodically, and records the send time of each answered request.

    `answered_us`: by replica, when the newest answered request was sent. `requested_us`: when the
    last requests were sent, None while this replica doesn't vote.
    """

    __slots__ = ("node", "replica", "directory", "snapshot", "answered_us", "requested_us")

    def __init__(
        self,
        node: Node,
        replica: Replica,
        directory: ReplicaDirectory,
        snapshot: ConfigurationSnapshot,
    ) -> None:
        """Register the handlers and the tick; requests are sent only while this replica votes."""
        self.node = node
        self.replica = replica
        self.directory = directory
        self.snapshot = snapshot
        self.answered_us: dict[str, int] = {}
        self.requested_us: int | None = None
        node.register_handler(QuorumContactRequest, self.on_request)
        node.register_handler(QuorumContactResponse, self.on_response)
        node.tick_handlers.append(self.tick)

    def is_held(self) -> bool:
        """Whether a majority answered requests that were sent within `contact_us`."""
        since_us = self.node.now_us() - self.node.bounds.contact_us
        answered = sum(sent_us >= since_us for sent_us in self.answered_us.values())
        return answered + 1 >= self.replica.majority

    def on_request(self, message: QuorumContactRequest) -> None:
        """Answer if this replica votes; otherwise its data may be outdated."""
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
        """Record the answer, unless it is from an older instance of a replica."""
        replica = message.replica
        known = self.directory.replicas().get(replica)
        if known is None or known[1] > message.incarnation or replica == self.replica.replica_id:
            return
        self.snapshot.observe_version(message.version)
        last_us = self.answered_us.get(replica, message.sent_us)
        self.answered_us[replica] = max(last_us, message.sent_us)

    def tick(self, now_us: int) -> None:
        """Send requests when due; forget all answers while this replica doesn't vote."""
        if not self.replica.is_voting:
            self.answered_us = {}
            self.requested_us = None
            return
        interval_us = self.node.bounds.contact_us // REQUESTS_PER_WINDOW
        if self.requested_us is not None and now_us - self.requested_us < interval_us:
            return
        self._send_requests(now_us)
        self.requested_us = now_us

    def _send_requests(self, now_us: int) -> None:
        """Ask as many of those that answered last as a majority needs; all, if too few answered."""
        addresses = {name: address for name, (address, _) in self.directory.replicas().items()}
        others = self._others_in_ring_order(addresses)
        last_us = self.requested_us or now_us
        answering = [replica for replica in others if self.answered_us.get(replica) == last_us]
        needed = self.replica.majority - 1
        for replica in answering[:needed] if len(answering) >= needed else others:
            self.node.send(addresses[replica], QuorumContactRequest(now_us))

    def _others_in_ring_order(self, addresses: Mapping[str, str]) -> list[str]:
        """The other replicas in ring order from this one, so that requests are spread evenly."""
        names = sorted(addresses)
        own = names.index(self.replica.replica_id) if self.replica.replica_id in names else 0
        return [name for name in names[own:] + names[:own] if name != self.replica.replica_id]
