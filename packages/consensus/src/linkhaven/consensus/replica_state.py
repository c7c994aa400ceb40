"""The life cycle of a replica: its states, and the table of all transitions between them.

Start, recovery, voting, hand-over, seal, retirement and disk errors are rows of one table,
`TRANSITIONS`. A replica changes its state only through `LifeCycle.on`; an event without a row for
the current state raises `InvalidTransitionError` and changes nothing. So a replica can't get to
vote in a way that isn't in the table (`test_an_event_without_a_transition_changes_nothing`,
`test_only_the_life_cycle_changes_a_replicas_state`).

| state | meaning |
| --- | --- |
| SPARE | this node isn't a replica |
| BOOTSTRAPPING | the group's first start is being synced to disk |
| RECOVERING | started, and may not vote yet, see `recovery.py` |
| WAITING | too few replicas are available to recover from; an operator must decide |
| LEARNING | reads the state of a departing replica, see `succession.py` |
| VOTING | the only state in which it votes |
| PAUSED | departs without a successor, and has stopped voting, see `departure.py` |
| SEALED | departs with a successor; votes again only if that one gave up, see `departure.py` |
| SUPERSEDED | a newer instance of this replica exists |
"""

from collections.abc import Mapping
from enum import Enum, StrEnum, auto
from typing import NamedTuple


class ReplicaState(StrEnum):
    """The state of a replica in its life cycle.

    The values are written to refusals, `GET /v1/core` and `GET /v1/standing` through `wire_name`.
    They are those of earlier versions, so some differ from the member's name, such as "fenced".
    """

    SPARE = "spare"
    BOOTSTRAPPING = "beginning"
    RECOVERING = "rejoining"
    WAITING = "waiting"
    LEARNING = "learning"
    VOTING = "voting"
    PAUSED = "paused"
    SEALED = "sealed"
    SUPERSEDED = "fenced"

    @property
    def wire_name(self) -> str:
        """The name of the state outside the process, where PAUSED is reported as SEALED."""
        return ReplicaState.SEALED.value if self is ReplicaState.PAUSED else self.value


class StoredState(Enum):
    """How complete the registers on this replica's disk are."""

    EMPTY = "empty"
    """None are stored, or not all that the replica accepted."""

    COMPLETE = "whole"
    """All that the replica ever accepted are stored, unless the disk lost synced writes."""

    SEALED = "sealed"
    """Complete up to a seal; a successor may have accepted more since then."""


class ReplicaEvent(Enum):
    """The events in a replica's life cycle; each is a row of `TRANSITIONS`."""

    BOOTSTRAP = auto()
    """The group's first start begins."""

    BOOTSTRAP_REFUSED = auto()
    """The disk refused the record of the first start."""

    ASSIGN = auto()
    """A spare starts to recover as a vacant replica."""

    RECOVER = auto()
    """Recovery starts, or starts over."""

    TOO_FEW_REPORTED = auto()
    """Too few other replicas answered, so an operator must decide."""

    BEGIN_VOTING = auto()
    """A first start, a recovery or a hand-over is complete and synced to disk."""

    LEARN = auto()
    """A spare agrees to read the state of a departing replica."""

    TAKE_OVER = auto()
    """The sealed predecessor's whole state is synced here, under the next incarnation."""

    PAUSE = auto()
    """A departing replica without a successor stops voting, to replicate its latest changes."""

    RESUME = auto()
    """The changes couldn't be replicated to a majority, so the replica votes again."""

    SEAL = auto()
    """A departing replica stops voting for good, in favor of its successor."""

    SEAL_REFUSED = auto()
    """The disk refused the seal, so the replica goes on voting."""

    UNSEAL = auto()
    """The successor never took over, and that is synced: the disk is complete again."""

    SUPERSEDE = auto()
    """A newer instance of this replica was recorded."""

    RETIRE = auto()
    """The replica becomes a spare, and deletes its registers."""


class Transition(NamedTuple):
    """A row of the table: the states in which an event may happen, and the state that follows."""

    sources: frozenset[ReplicaState]
    target: ReplicaState
    stored: StoredState | None = None
    """The completeness of the disk afterwards; None if it doesn't change."""


IN_RECOVERY = frozenset((ReplicaState.RECOVERING, ReplicaState.WAITING))


def _row(*sources: ReplicaState, to: ReplicaState, stored: StoredState | None = None) -> Transition:
    return Transition(frozenset(sources), to, stored)


TRANSITIONS: Mapping[ReplicaEvent, Transition] = {
    ReplicaEvent.BOOTSTRAP: _row(ReplicaState.SPARE, to=ReplicaState.BOOTSTRAPPING),
    ReplicaEvent.BOOTSTRAP_REFUSED: _row(ReplicaState.BOOTSTRAPPING, to=ReplicaState.SPARE),
    ReplicaEvent.ASSIGN: _row(ReplicaState.SPARE, to=ReplicaState.RECOVERING),
    # From VOTING if a bootstrap may have lost the record of a newer incarnation.
    ReplicaEvent.RECOVER: _row(*IN_RECOVERY, ReplicaState.VOTING, to=ReplicaState.RECOVERING),
    ReplicaEvent.TOO_FEW_REPORTED: _row(ReplicaState.RECOVERING, to=ReplicaState.WAITING),
    # Not from SEALED or PAUSED: a seal is removed only if the successor says that it gave up.
    ReplicaEvent.BEGIN_VOTING: _row(
        *IN_RECOVERY,
        ReplicaState.BOOTSTRAPPING,
        to=ReplicaState.VOTING,
        stored=StoredState.COMPLETE,
    ),
    ReplicaEvent.LEARN: _row(ReplicaState.SPARE, to=ReplicaState.LEARNING),
    ReplicaEvent.TAKE_OVER: _row(
        ReplicaState.LEARNING, to=ReplicaState.RECOVERING, stored=StoredState.COMPLETE
    ),
    ReplicaEvent.PAUSE: _row(ReplicaState.VOTING, to=ReplicaState.PAUSED),
    ReplicaEvent.RESUME: _row(ReplicaState.PAUSED, to=ReplicaState.VOTING),
    ReplicaEvent.SEAL: _row(ReplicaState.VOTING, to=ReplicaState.SEALED, stored=StoredState.SEALED),
    ReplicaEvent.SEAL_REFUSED: _row(
        ReplicaState.SEALED, to=ReplicaState.VOTING, stored=StoredState.COMPLETE
    ),
    # From recovery if a sealed replica was restarted and has asked its successor.
    ReplicaEvent.UNSEAL: _row(
        ReplicaState.SEALED, *IN_RECOVERY, to=ReplicaState.RECOVERING, stored=StoredState.COMPLETE
    ),
    ReplicaEvent.SUPERSEDE: _row(*IN_RECOVERY, ReplicaState.VOTING, to=ReplicaState.SUPERSEDED),
    ReplicaEvent.RETIRE: _row(
        *IN_RECOVERY,
        ReplicaState.LEARNING,
        ReplicaState.SEALED,
        ReplicaState.SUPERSEDED,
        to=ReplicaState.SPARE,
        stored=StoredState.EMPTY,
    ),
}


class InvalidTransitionError(Exception):
    """An event has no transition from a replica's current state."""


class LifeCycle:
    """Owns the state of a replica and the completeness of its disk."""

    __slots__ = ("state", "stored")

    def __init__(self, state: ReplicaState, stored: StoredState) -> None:
        """Start in SPARE or RECOVERING, with the completeness of the disk."""
        self.state = state
        self.stored = stored

    @property
    def may_vote(self) -> bool:
        """Whether the replica votes; `Replica.refusal_reason` decides on each request."""
        return self.state is ReplicaState.VOTING

    @property
    def is_empty(self) -> bool:
        """Whether the disk is incomplete, so that the state must be read from other replicas."""
        return self.stored is not StoredState.COMPLETE

    @property
    def is_sealed(self) -> bool:
        """Whether the replica was sealed for a successor, in this process or an earlier one."""
        return self.stored is StoredState.SEALED

    @property
    def is_recovering(self) -> bool:
        """Whether the replica recovers, or waits for an operator to allow that."""
        return self.state in IN_RECOVERY

    def may(self, event: ReplicaEvent) -> bool:
        """Whether the event has a transition from the current state."""
        return self.state in TRANSITIONS[event].sources

    def on(self, event: ReplicaEvent) -> None:
        """Apply the transition of an event.

        Raises InvalidTransitionError, and changes nothing, if there is none from the current state.
        """
        if not self.may(event):
            raise InvalidTransitionError(f"{event.name} in state {self.state.name}")
        _, self.state, stored = TRANSITIONS[event]
        self.stored = stored or self.stored
