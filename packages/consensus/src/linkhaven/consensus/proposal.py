"""The state of one proposal in the two rounds of Paxos, and its possible outcomes."""

from collections.abc import Callable
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from .paxos_messages import Ballot


class UpdateAction(StrEnum):
    """What the update function of a proposal decides, given the register's value."""

    SET = "set"
    """Propose the new value that the function returned."""

    KEEP = "keep"
    """Propose the value as it is: a read."""

    STOP = "stop"
    """Change nothing and end with the result that the function returned, as soon as the value is
    known to be chosen (see the module `proposer`)."""


class Outcome(StrEnum):
    """How a proposal ended."""

    CHOSEN = "chosen"
    """A majority accepted the value."""

    STOPPED = "stopped"
    """The update function stopped it, on a value that is chosen."""

    REFUSED = "refused"
    """It had no effect: no accept was sent that could have changed the register."""

    UNKNOWN = "unknown"
    """An accept was sent but not answered by a majority: the value may be chosen now or later."""


class Phase(Enum):
    """The round that a proposal is in."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    BACKING_OFF = "resting"
    """Preempted, and waits a random time before its next attempt; also before the first one."""


Update = Callable[[Any], tuple[str, Any]]
"""Takes the register's value; returns an `UpdateAction` with the new value or the result."""

OnResult = Callable[[str, Any], None]
"""Takes an `Outcome` with the chosen value, the result of the stop, or the reason of a refusal."""


class AcceptedValue(NamedTuple):
    """The last accepted ballot of a key, and its value."""

    ballot: Ballot | None
    value: Any


NOTHING_ACCEPTED = AcceptedValue(None, None)


class Proposal:
    """The state of one proposal: its ballot, the answers so far, and the value found."""

    __slots__ = (
        "id",
        "key",
        "update",
        "on_result",
        "phase",
        "ballot",
        "votes",
        "accepted",
        "own_accepted",
        "highest",
        "value",
        "stopped_with",
        "deadline_us",
        "attempt_until_us",
        "num_attempts",
        "has_sent_accept",
        "refusal",
        "answered",
        "last_majority_us",
        "silence_bound_us",
    )

    def __init__(
        self,
        id: str,
        key: str,
        update: Update,
        on_result: OnResult,
        deadline_us: int,
        last_majority_us: int,
        silence_bound_us: int | None,
    ) -> None:
        """Create a proposal before its first attempt.

        `deadline_us` and `last_majority_us` are points in time; `silence_bound_us` is a duration.
        """
        self.id = id
        self.key = key
        self.update = update
        self.on_result = on_result
        self.deadline_us = deadline_us
        self.phase = Phase.BACKING_OFF
        self.ballot: Ballot = [0, ""]
        self.votes: set[Any] = set()
        """The replicas that voted yes in this round; in PREPARE with their incarnations."""

        self.accepted: dict[str, Ballot | None] = {}
        """For each replica that promised, the ballot that it had accepted last."""

        self.own_accepted = NOTHING_ACCEPTED
        """What this node's own replica had accepted last when the attempt began."""

        self.highest: Ballot | None = None
        """The highest ballot in `accepted`; `value` is its value."""

        self.value: Any = None
        self.stopped_with: tuple[Outcome, Any] | None = None
        self.attempt_until_us = 0
        """When the attempt times out, or the backoff ends, and the next attempt begins."""

        self.num_attempts = 0
        self.has_sent_accept = False
        self.refusal: str | None = None
        """The reason of the last refusal."""

        self.answered: set[str] = set()
        """The replicas that answered in this round, with a vote or because it was preempted."""

        self.last_majority_us = last_majority_us
        """When a majority had last answered."""

        self.silence_bound_us = silence_bound_us
        """How long the proposal waits for an answer from a majority; None: until its deadline."""

    def begin_attempt(self, ballot: Ballot, attempt_until_us: int, own: AcceptedValue) -> None:
        """Discard the results of the previous attempt, and prepare under this ballot."""
        self.num_attempts += 1
        self.phase = Phase.PREPARE
        self.ballot = ballot
        self.votes = set()
        self.accepted = {}
        self.answered = set()
        self.highest = None
        self.value = None
        self.attempt_until_us = attempt_until_us
        self.own_accepted = own

    def is_one_ballot_accepted(self) -> bool:
        """Whether all replicas of the majority that promised had accepted the same ballot.

        Only then may a proposal be stopped because of the value. A value that only some replicas
        accepted may lose to the very change that was refused because of it, and that change would
        be in force although it was reported as refused.
        """
        first, *rest = self.accepted.values()
        return all(accepted == first for accepted in rest)

    def is_silent(self, now_us: int) -> bool:
        """Whether no majority has answered for `silence_bound_us`."""
        if self.silence_bound_us is None:
            return False
        return now_us - self.last_majority_us >= self.silence_bound_us
