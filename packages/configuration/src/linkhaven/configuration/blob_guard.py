"""Delays messages that bring records to a replica until the records' blobs are here.

A replica votes for a record only with its blobs on disk. Otherwise a majority could vote for a
record whose document no node has. An accept that names a missing blob therefore waits, and so does
the state sent to a recovering replica. The blobs are written right before the message is handled.
Test: `test_without_its_mechanism_a_vote_for_a_blob_that_isnt_synced_is_found` removes the guard.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from linkhaven.consensus import Accept, LateAccepts, StatePage
from linkhaven.runtime import reply_address_of

from .blob_exchange import BlobExchange
from .blobs import BlobStore
from .records import REGISTER_KEY, Record, digests_of


class GuardedNode(Protocol):
    """The node, with its message handlers by message type."""

    handlers: dict[Any, Callable[[Any], None]]


class Voter(Protocol):
    """The replica of this node."""

    @property
    def is_voting(self) -> bool:
        """Whether it may vote now."""


class BlobGuard:
    """Wraps the replica's message handlers; it owns no state."""

    __slots__ = ("node", "replica", "blobs", "exchange")

    def __init__(
        self, node: GuardedNode, replica: Voter, blobs: BlobStore, exchange: BlobExchange
    ) -> None:
        """Wrap the replica's handlers, which must already be registered."""
        self.node = node
        self.replica = replica
        self.blobs = blobs
        self.exchange = exchange
        self._guard(Accept, self._records_of_accept)
        self._guard(StatePage, self._records_of_page)
        self._guard(LateAccepts, self._records_of_late_accepts)

    def _guard(
        self,
        message_type: type,
        records_of: Callable[[Any], Iterable[Record]],
    ) -> None:
        handle = self.node.handlers[message_type]

        def handle_with_blobs(message: Any) -> None:
            digests = [digest for record in records_of(message) for digest in digests_of(record)]

            def resume() -> None:
                self.blobs.write_ahead(digests)
                handle(message)

            self.exchange.when_available(digests, resume, lambda: None, reply_address_of(message))

        self.node.handlers[message_type] = handle_with_blobs

    def _records_of_accept(self, message: Accept) -> list[Record]:
        is_for_vote = message.key == REGISTER_KEY and self.replica.is_voting
        return [message.value] if is_for_vote else []

    def _records_of_page(self, page: StatePage) -> list[Record]:
        register = page.registers.get(REGISTER_KEY)
        return [register[2]] if register else []

    def _records_of_late_accepts(self, accepts: LateAccepts) -> list[Record]:
        register = accepts.registers.get(REGISTER_KEY)
        return [register[1]] if register else []
