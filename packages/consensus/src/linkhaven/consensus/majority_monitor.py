"""Whether this node can reach a majority of the replicas, judged by who answers its proposals."""

CUT_OFF_DIVISOR = 3
"""The part of its wait that a proposal has left once the node is known to be cut off."""


class MajorityMonitor:
    """Notes silence and answers; owns how long a proposal waits for a majority that is silent.

    Once a proposal ended for silence the node counts as cut off, and later proposals wait a third
    as long, until a majority has answered anything.
    """

    __slots__ = ("silent_us", "is_cut_off", "reached")

    def __init__(self, silent_us: int | None) -> None:
        """`silent_us` None: every proposal waits for its deadline."""
        self.silent_us = silent_us
        self.is_cut_off = False
        self.reached: set[str] = set()
        """The replicas that answered since the node was cut off."""

    def silence_bound_us(self) -> int | None:
        """How long a proposal that begins now waits for a majority that says nothing."""
        if self.silent_us is None or not self.is_cut_off:
            return self.silent_us
        return self.silent_us // CUT_OFF_DIVISOR

    def on_answer(self, replica_id: str, majority: int) -> None:
        """Note an answer; late ones count, too: they show that a majority can be reached."""
        if not self.is_cut_off:
            return
        self.reached.add(replica_id)
        if len(self.reached) >= majority:
            self.is_cut_off = False

    def on_silence(self) -> None:
        """No majority answered a proposal for as long as it could wait."""
        self.is_cut_off = True
        self.reached = set()
