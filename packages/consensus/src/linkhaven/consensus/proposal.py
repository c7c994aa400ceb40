"""One change of a register on its way through the two rounds of Paxos, and how it ends."""

from collections.abc import Callable
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from .paxos_messages import Ballot


class UpdateAction(StrEnum):
    """What the update function of a proposal decides, once it is given the register's value."""

    SET = "set"
    """Propose the new value that it gives."""

    KEEP = "keep"
    """Leave the value, but have a majority accept it: a read."""

    STOP = "stop"
    """Change nothing, and end with the result that it gives; see `Proposer` on when."""


class Outcome(StrEnum):
    """How a proposal ended."""

    CHOSEN = "chosen"
    """A majority accepted the value."""

    STOPPED = "stopped"
    """The update function stopped it, on a value that is chosen."""

    REFUSED = "refused"
    """It came to nothing: no accept was ever sent."""

    UNKNOWN = "unknown"
    """An accept was sent, so the value may be chosen now or later."""


class Phase(Enum):
    """Which round a proposal is in."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    BACKING_OFF = "resting"
    """Preempted, and waits for a random time before its next attempt."""


Update = Callable[[Any], tuple[str, Any]]
"""Takes the register's value; returns an `UpdateAction` and the new value or the result."""

OnResult = Callable[[str, Any], None]
"""Takes an `Outcome` and the chosen value, the result of the stop, or the reason."""


class AcceptedValue(NamedTuple):
    """What an acceptor accepted last for a key."""

    ballot: Ballot | None
    value: Any


NOTHING_ACCEPTED = AcceptedValue(None, None)


class Proposal:
    """The state of one proposal: its ballot, who has answered it, and what it found."""

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
        """Nothing was sent yet."""
        self.id = id
        self.key = key
        self.update = update
        self.on_result = on_result
        self.deadline_us = deadline_us
        self.phase = Phase.BACKING_OFF
        self.ballot: Ballot = [0, ""]
        self.votes: set[Any] = set()
        """Who voted yes in this round; promises with the incarnation that gave them."""

        self.accepted: dict[str, Ballot | None] = {}
        """The ballot that each replica which promised had accepted last."""

        self.own_accepted = NOTHING_ACCEPTED
        """What this node's own replica had accepted when the attempt began."""

        self.highest: Ballot | None = None
        """The highest ballot among `accepted`, whose value is `value`."""

        self.value: Any = None
        self.stopped_with: tuple[Outcome, Any] | None = None
        self.attempt_until_us = 0
        """The next attempt begins then: this one got no majority, or has rested."""

        self.num_attempts = 0
        self.has_sent_accept = False
        self.refusal: str | None = None
        """The last reason of a refusal."""

        self.answered: set[str] = set()
        """Who answered in this round, be it that it was preempted."""

        self.last_majority_us = last_majority_us
        """When a majority had last answered."""

        self.silence_bound_us = silence_bound_us
        """So long without a majority ends it; None where it waits for its deadline."""

    def begin_attempt(self, ballot: Ballot, attempt_until_us: int, own: AcceptedValue) -> None:
        """Forget what the attempt before found, and prepare under this ballot."""
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
        """Whether the majority that promised had accepted one and the same ballot.

        A refusal may rest on nothing less: a value that only some replicas hold may lose to the
        very change that it would refuse, which then would be in force though it was refused.
        """
        first, *rest = self.accepted.values()
        return all(accepted == first for accepted in rest)

    def is_silent(self, now_us: int) -> bool:
        """Whether no majority answered for as long as it may wait for one."""
        if self.silence_bound_us is None:
            return False
        return now_us - self.last_majority_us >= self.silence_bound_us
