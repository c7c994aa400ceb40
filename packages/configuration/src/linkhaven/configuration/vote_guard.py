"""Holds back each message that brings records to a replica until the records' blobs are here.

A replica votes for a record only with its blobs on the disk: else a majority could vote for a
record whose document nobody has. An accept that names a missing blob therefore waits, and so does
what a recovering replica is sent; the blobs are written right before the message is handled.
Test: `test_without_it_votes_come_before_their_blobs` takes the guard out.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .blob_exchange import BlobExchange
from .blobs import BlobStore
from .records import REGISTER_KEY, Record, digests_of


class GuardedNode(Protocol):
    """The node, as far as it hands messages to handlers by their kind."""

    map_handlers: dict[str, Callable[[Any], None]]


class Voter(Protocol):
    """The replica of this node."""

    is_voting: bool


class VoteGuard:
    """Stands before the replica's handlers; it owns no state."""

    __slots__ = ("node", "replica", "blobs", "exchange")

    def __init__(
        self, node: GuardedNode, replica: Voter, blobs: BlobStore, exchange: BlobExchange
    ) -> None:
        """Take the place of the replica's handlers: create it after the replica."""
        self.node = node
        self.replica = replica
        self.blobs = blobs
        self.exchange = exchange
        self._guard("accept", self._records_of_accept)
        self._guard("rejoin_page", self._records_of_page)
        self._guard("holders_late", self._records_of_late_accepts)

    def _guard(self, kind: str, records_of: Callable[[Any], Iterable[Record]]) -> None:
        handle = self.node.map_handlers[kind]

        def handle_with_blobs(message: Any) -> None:
            digests = [digest for record in records_of(message) for digest in digests_of(record)]

            def resume() -> None:
                self.blobs.write_ahead(digests)
                handle(message)

            self.exchange.when_here(digests, resume, lambda: None, message["back"])

        self.node.map_handlers[kind] = handle_with_blobs

    def _records_of_accept(self, message: Any) -> list[Record]:
        is_for_vote = message["key"] == REGISTER_KEY and self.replica.is_voting
        return [message["value"]] if is_for_vote else []

    def _records_of_page(self, message: Any) -> list[Record]:
        state = message["cells"].get(REGISTER_KEY)
        return [state[2]] if state else []

    def _records_of_late_accepts(self, message: Any) -> list[Record]:
        state = message["cells"].get(REGISTER_KEY)
        return [state[1]] if state else []
