"""Tracks whether this node can reach a majority of the replicas, from answers to its proposals."""

CUT_OFF_DIVISOR = 3
"""Divides the time that a proposal waits for an answer while the node is cut off."""


class MajorityMonitor:
    """Determines how long a proposal waits for an answer from a majority.

    Once a proposal has ended because no majority answered, the node counts as cut off. Later
    proposals then wait a third as long, until a majority has answered any message.
    """

    __slots__ = ("silent_us", "is_cut_off", "reached")

    def __init__(self, silent_us: int | None) -> None:
        """`silent_us`: how long a proposal waits; None: until its deadline."""
        self.silent_us = silent_us
        self.is_cut_off = False
        self.reached: set[str] = set()
        """The replicas that have answered since the node was cut off."""

    def silence_bound_us(self) -> int | None:
        """Return how long a proposal that starts now waits for an answer from a majority."""
        if self.silent_us is None or not self.is_cut_off:
            return self.silent_us
        return self.silent_us // CUT_OFF_DIVISOR

    def on_answer(self, replica_id: str, majority: int) -> None:
        """Record an answer; late ones count too, since they show that a replica is reachable."""
        if not self.is_cut_off:
            return
        self.reached.add(replica_id)
        if len(self.reached) >= majority:
            self.is_cut_off = False

    def on_silence(self) -> None:
        """Record that a proposal ended because no majority answered it."""
        self.is_cut_off = True
        self.reached = set()
