"""The records of a placement: each evaluated runner, and which of them was chosen."""

from typing import Any

from linkhaven.runner import Runner

OVERDUE_PART = 4
"""An overdue request joins a queue only while that is shorter than `room_us` divided by this."""


class Candidate:
    """A runner evaluated for one prompt, with its estimated times.

    After TaiChi, Algorithm 2, in microseconds: `queue_wait_us` (Q) until the prefill starts,
    `execution_us` (E) of the prefill itself, `transfer_us` (T) of the KV cache, and `start_us`
    that the decode then waits for a free slot.
    """

    __slots__ = (
        "runner",
        "queued_tokens",
        "uncached_tokens",
        "queue_wait_us",
        "execution_us",
        "transfer_us",
        "start_us",
        "is_eligible",
        "has_memory",
        "has_room",
        "is_mixed",
    )

    def __init__(
        self,
        runner: Runner,
        queued_tokens: float,
        uncached_tokens: int,
        queue_wait_us: int,
        execution_us: int,
        transfer_us: int,
        start_us: int,
        ttft_us: int,
        room_us: int,
        is_overdue: bool = False,
        typical_us: int = 0,
    ) -> None:
        """Eligible if the first token comes within `ttft_us` and other requests stay in time.

        For the latter the queue and a typical prompt of this kind, which takes `typical_us`, must
        end within `room_us`, the tightest target of the others. `is_overdue`: the request has
        waited for longer than its target, so that a short queue (`has_room`) is enough.
        """
        self.runner = runner
        self.start_us = start_us
        self.uncached_tokens = uncached_tokens
        self.queued_tokens = queued_tokens
        self.queue_wait_us = queue_wait_us
        self.execution_us = execution_us
        self.has_memory = True
        self.is_mixed = False
        self.transfer_us = transfer_us
        self.has_room = queue_wait_us == 0 or queue_wait_us < room_us // OVERDUE_PART
        leaves_room = (
            queue_wait_us == 0
            or queue_wait_us + typical_us < room_us
            or is_overdue
            and self.has_room
        )
        self.is_eligible = self.total_us < ttft_us and leaves_room

    @property
    def ahead_tokens(self) -> float:
        """The prompt tokens that this runner has to prefill up to the end of this prompt."""
        return self.queued_tokens + self.uncached_tokens

    @property
    def total_us(self) -> int:
        """The estimated time to first token, in microseconds."""
        return self.queue_wait_us + self.execution_us + self.transfer_us + self.start_us

    def as_record(self) -> dict[str, Any]:
        """Return the record that `explain` shows."""
        return {
            "runner": self.runner.name,
            "phase": self.runner.phase,
            "queued_tokens": int(self.queued_tokens),
            "unread": self.uncached_tokens,
            "q_us": self.queue_wait_us,
            "e_us": self.execution_us,
            "t_us": self.transfer_us,
            "start_us": self.start_us,
            "is_eligible": self.is_eligible,
        }


class Decision:
    """Where a prompt is prefilled: all candidates, the chosen one, and why it may be a late one."""

    __slots__ = ("candidates", "winner", "exception")

    def __init__(
        self, candidates: list[Candidate], winner: Candidate | None, exception: str | None = None
    ) -> None:
        """`winner` is None if the prompt may be sent to no runner now.

        `exception` names why a winner was taken that can't answer in time, else it is None.
        """
        self.candidates = candidates
        self.winner = winner
        self.exception = exception

    def as_record(self) -> dict[str, Any]:
        """Return the record that `explain` shows."""
        return {
            "candidates": [candidate.as_record() for candidate in self.candidates],
            "winner": self.winner and self.winner.runner.name,
            "exception": self.exception,
        }
