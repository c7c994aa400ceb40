"""The answers of a replica to one that recovers, or takes over from a departing replica.

| message | what it does here |
| --- | --- |
| `StateQuery` | reports the state of this replica, unless this node is a spare |
| `EpochAnnouncement` | records the incarnation if it is the newest, syncs and confirms it |
| `PageRequest` | sends one page of the registers, in the order of their keys |

Invariant: at most one instance is recorded for each incarnation of a replica
(`test_a_second_instance_is_not_recorded_at_the_same_incarnation`).
Invariant: an incarnation is confirmed only after it is synced; from then on every proposal that
names an older one is refused, also after a restart of this replica.
"""

from bisect import bisect_right
from typing import Protocol

from linkhaven.runtime import Node

from .departure import Departure
from .recovery import Recovery
from .recovery_messages import (
    EpochAnnouncement,
    EpochRecorded,
    PageRequest,
    ReplicaStateReport,
    StatePage,
    StateQuery,
)
from .registers import RegisterTable
from .replica_instances import ReplicaInstances
from .replica_records import ReplicaRecord

KEYS_PER_PAGE = 500
"""The most registers in one page."""

MAX_TRANSFERS = 4
"""How many transfers are served at once. Beyond that the key list of the oldest is dropped; it is
built again at that transfer's next request."""


class ReportingReplica(Protocol):
    """The responder's own replica."""

    replica_id: str
    incarnation: int
    known_incarnations: dict[str, int]
    are_claims_open: bool
    registers: RegisterTable

    @property
    def is_voting(self) -> bool:
        """Whether the replica votes now."""

    @property
    def is_empty(self) -> bool:
        """Whether the registers on disk are incomplete and can't be recovered from."""

    def all_incarnations(self) -> dict[str, int]:
        """Return the newest known incarnation of each replica, including this one."""

    def learn_incarnations(self, known: dict[str, int]) -> None:
        """Raise the known incarnations of the other replicas to those given."""


class RecoveryResponder:
    """The answering side of recovery; owns the key lists of the transfers in progress."""

    __slots__ = ("node", "replica", "instances", "recovery", "departure", "listings")

    def __init__(
        self,
        node: Node,
        replica: ReportingReplica,
        instances: ReplicaInstances,
        recovery: Recovery,
        departure: Departure,
    ) -> None:
        """`recovery` is this replica's own, since two replicas may recover at the same time."""
        self.node = node
        self.replica = replica
        self.instances = instances
        self.recovery = recovery
        self.departure = departure
        self.listings: dict[str, tuple[list[str], int]] = {}
        node.register_handler(StateQuery, self.on_state_query)
        node.register_handler(EpochAnnouncement, self.on_epoch_announcement)
        node.register_handler(PageRequest, self.on_page_request)

    def reset(self) -> None:
        """Discard the transfers, since this node is a spare now and has no registers."""
        self.listings = {}

    def on_state_query(self, query: StateQuery) -> None:
        """Report the state of this replica; if it recovers too, query the sender in turn."""
        replica = self.replica
        if not replica.replica_id:
            return
        is_taken = replica.is_voting and self.instances.is_taken(
            query.replica_id, query.sender, query.reply_to
        )
        report = ReplicaStateReport(
            replica_id=replica.replica_id,
            queried_by=query.replica_id,
            queried_start=query.start,
            is_voting=replica.is_voting,
            is_empty=replica.is_empty,
            incarnation=replica.incarnation,
            known_incarnations=self._incarnations_including(query.replica_id),
            start=self.recovery.start,
            recorded_name=self.instances.recorded_name(query.replica_id),
            is_taken=is_taken,
        )
        self.node.send(query.reply_to, report)
        self.recovery.query_back(query)

    def _incarnations_including(self, replica_id: str) -> dict[str, int]:
        """Return the known incarnations, for one replica also from the recorded instances.

        A replica of the group's first start announced no incarnation, and is only recorded there.
        """
        known = self.replica.all_incarnations()
        instance = self.instances.records.get(replica_id)
        if instance is not None and replica_id != self.replica.replica_id:
            known[replica_id] = max(known.get(replica_id, 0), instance.incarnation)
        return known

    def on_epoch_announcement(self, announcement: EpochAnnouncement) -> None:
        """Record a newer incarnation of another replica, and confirm it once it is synced.

        If the announcement bootstraps the group, an empty recovering replica joins it.
        """
        replica, name = self.replica, announcement.replica_id
        if not replica.replica_id or name == replica.replica_id:
            return
        if not self.instances.record(announcement):
            return
        replica.learn_incarnations({name: announcement.incarnation})

        def on_synced(is_synced: bool) -> None:
            if not is_synced:
                return
            recorded = EpochRecorded(
                replica_id=replica.replica_id, incarnation=announcement.incarnation
            )
            self.node.send(announcement.reply_to, recorded)
            is_bootstrap = announcement.bootstrap_start == self.recovery.start
            if is_bootstrap and self.recovery.may_join_bootstrap():
                self.recovery.join_bootstrap()

        record = ReplicaRecord(
            known_incarnations=replica.known_incarnations, instances=self.instances.records
        )
        self.node.ports.storage.write(record.as_items(), on_synced)

    def on_page_request(self, request: PageRequest) -> None:
        """Send one page; the keys are listed at the first page of a transfer."""
        replica, transfer = self.replica, request.transfer
        self.departure.on_transfer_progress(transfer)
        if transfer not in self.listings or not request.after:
            self._list_keys(transfer, request.since)
        keys, change_count = self.listings[transfer]
        first = bisect_right(keys, request.after)
        page = keys[first : first + KEYS_PER_PAGE]
        states = replica.registers.states
        answer = StatePage(
            replica_id=replica.replica_id,
            start=self.recovery.start,
            transfer=transfer,
            after=request.after,
            since=request.since,
            change_count=change_count,
            num_remaining=len(keys) - first - len(page),
            next_cursor=page[-1] if len(keys) > first + KEYS_PER_PAGE else None,
            are_claims_open=replica.are_claims_open,
            registers={key: states[key].as_copy() for key in page if key in states},
        )
        self.node.send(request.reply_to, answer)

    def _list_keys(self, transfer: str, since: int) -> None:
        while len(self.listings) >= MAX_TRANSFERS:
            del self.listings[next(iter(self.listings))]
        states = self.replica.registers.states
        keys = sorted(key for key, state in states.items() if state.version >= since)
        self.listings[transfer] = (keys, self.replica.registers.change_count)
