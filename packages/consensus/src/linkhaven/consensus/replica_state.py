"""The life cycle of a replica: its states, and the one table of what leads from each to the next.

Start, recovery, service, hand-over, seal, return, retirement and a failing disk are rows of one
table, `TRANSITIONS`. A replica changes its state by `LifeCycle.on` only, and an event that has no
row in the state at hand raises `InvalidTransitionError` and changes nothing; so a way to a vote
that isn't written down here doesn't exist (`test_what_stands_in_no_row_changes_nothing`,
`test_only_the_life_cycle_changes_a_replicas_state`).

| state | meaning |
| --- | --- |
| SPARE | this node is no replica |
| BOOTSTRAPPING | the first start of all is being synced |
| RECOVERING | a start that may not vote yet, see `recovery.py` |
| WAITING | more is lost than recovery can rebuild: an operator must say so |
| LEARNING | reads a departing replica, see `succession.py` |
| VOTING | the only state in which it gives votes |
| PAUSED | departs without a successor, and votes no more in this process, see `departure.py` |
| SEALED | departs with a successor, and votes no more under this incarnation, see `departure.py` |
| SUPERSEDED | a newer instance of this replica exists |
"""

from collections.abc import Mapping
from enum import Enum, StrEnum, auto
from typing import NamedTuple


class ReplicaState(StrEnum):
    """The values stand in refusals, in `GET /v1/core` and in `GET /v1/standing`, by `wire_name`.

    Their spelling is of earlier versions: what is written as "fenced" there is SUPERSEDED.
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
        """The word for it on the wire, where a pause is spelled as a seal."""
        return ReplicaState.SEALED.value if self is ReplicaState.PAUSED else self.value


class StoredState(Enum):
    """What the registers on this replica's disk are worth to a recovery."""

    EMPTY = "empty"
    """Nothing, or not all that the replica accepted."""

    WHOLE = "whole"
    """All that the replica ever accepted, unless the disk lost what it had synced."""

    SEALED = "sealed"
    """All of it up to a seal: its successor may have accepted more since."""


class ReplicaEvent(Enum):
    """What happens to a replica; each is a row of `TRANSITIONS`."""

    BOOTSTRAP = auto()
    """The first start of the whole system begins."""

    BOOTSTRAP_REFUSED = auto()
    """The disk refused the record of the first start."""

    TAKE = auto()
    """A spare tries to become a vacant replica."""

    RECOVER = auto()
    """Recovery begins at its first query, from the start or anew."""

    TOO_FEW_REPORTED = auto()
    """So few others could be heard that an operator must decide."""

    BEGIN_VOTING = auto()
    """All that a vote rests on is synced: a first start, a recovery or a hand-over is complete."""

    LEARN = auto()
    """A spare agrees to read a departing replica."""

    TAKE_OVER = auto()
    """The sealed predecessor's whole state is synced here, under the next incarnation."""

    PAUSE = auto()
    """A departing replica without a successor stops to vote, to compare what changed since."""

    RESUME = auto()
    """It can't leave its state with a majority yet, and votes again."""

    SEAL = auto()
    """A departing replica gives its vote to its successor."""

    SEAL_REFUSED = auto()
    """The disk refused the seal, so nothing was given away."""

    UNSEAL = auto()
    """The successor never took over, and that is synced: the disk is whole again."""

    SUPERSEDE = auto()
    """A newer instance of this replica was recorded."""

    RETIRE = auto()
    """It is a spare that keeps nothing which votes."""


class Transition(NamedTuple):
    """A row of the table: where an event may happen, and what follows."""

    sources: frozenset[ReplicaState]
    target: ReplicaState
    stored: StoredState | None = None
    """What the disk is worth from then on; None where that doesn't change."""


IN_RECOVERY = frozenset((ReplicaState.RECOVERING, ReplicaState.WAITING))


def _row(*sources: ReplicaState, to: ReplicaState, stored: StoredState | None = None) -> Transition:
    return Transition(frozenset(sources), to, stored)


TRANSITIONS: Mapping[ReplicaEvent, Transition] = {
    ReplicaEvent.BOOTSTRAP: _row(ReplicaState.SPARE, to=ReplicaState.BOOTSTRAPPING),
    ReplicaEvent.BOOTSTRAP_REFUSED: _row(ReplicaState.BOOTSTRAPPING, to=ReplicaState.SPARE),
    ReplicaEvent.TAKE: _row(ReplicaState.SPARE, to=ReplicaState.RECOVERING),
    # From VOTING where a core that bootstrapped may have forgotten a newer incarnation.
    ReplicaEvent.RECOVER: _row(*IN_RECOVERY, ReplicaState.VOTING, to=ReplicaState.RECOVERING),
    ReplicaEvent.TOO_FEW_REPORTED: _row(ReplicaState.RECOVERING, to=ReplicaState.WAITING),
    # Not from SEALED or PAUSED: a seal is opened by its successor's word only.
    ReplicaEvent.BEGIN_VOTING: _row(
        *IN_RECOVERY,
        ReplicaState.BOOTSTRAPPING,
        to=ReplicaState.VOTING,
        stored=StoredState.WHOLE,
    ),
    ReplicaEvent.LEARN: _row(ReplicaState.SPARE, to=ReplicaState.LEARNING),
    ReplicaEvent.TAKE_OVER: _row(
        ReplicaState.LEARNING, to=ReplicaState.RECOVERING, stored=StoredState.WHOLE
    ),
    ReplicaEvent.PAUSE: _row(ReplicaState.VOTING, to=ReplicaState.PAUSED),
    ReplicaEvent.RESUME: _row(ReplicaState.PAUSED, to=ReplicaState.VOTING),
    ReplicaEvent.SEAL: _row(ReplicaState.VOTING, to=ReplicaState.SEALED, stored=StoredState.SEALED),
    ReplicaEvent.SEAL_REFUSED: _row(
        ReplicaState.SEALED, to=ReplicaState.VOTING, stored=StoredState.WHOLE
    ),
    # In recovery where a sealed replica was started again, and asked its successor.
    ReplicaEvent.UNSEAL: _row(
        ReplicaState.SEALED, *IN_RECOVERY, to=ReplicaState.RECOVERING, stored=StoredState.WHOLE
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
    """An event has no row in the state that a replica is in."""


class LifeCycle:
    """Owns the state of a replica, and what its disk is worth; `may_vote` follows from it."""

    __slots__ = ("state", "stored")

    def __init__(self, state: ReplicaState, stored: StoredState) -> None:
        """A start: SPARE or RECOVERING, with what the disk says."""
        self.state = state
        self.stored = stored

    @property
    def may_vote(self) -> bool:
        """Whether votes are given at all; what may be voted on is `Replica.refusal_reason`."""
        return self.state is ReplicaState.VOTING

    @property
    def is_empty(self) -> bool:
        """Whether the disk counts as lost: others must make good what this one accepted."""
        return self.stored is not StoredState.WHOLE

    @property
    def is_sealed(self) -> bool:
        """Whether the vote was given away to a successor, in this process or an earlier one."""
        return self.stored is StoredState.SEALED

    @property
    def is_recovering(self) -> bool:
        """Whether it is a replica that recovers, or waits for an operator to let it."""
        return self.state in IN_RECOVERY

    def may(self, event: ReplicaEvent) -> bool:
        """Whether the event has a row in this state."""
        return self.state in TRANSITIONS[event].sources

    def on(self, event: ReplicaEvent) -> None:
        """Go on to the next state.

        Raises InvalidTransitionError, and changes nothing, where the table has no such row.
        """
        if not self.may(event):
            raise InvalidTransitionError(f"{event.name} in state {self.state.name}")
        _, self.state, stored = TRANSITIONS[event]
        self.stored = stored or self.stored
