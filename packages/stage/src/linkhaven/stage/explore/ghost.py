"""Invariant checks of a run, on votes, chosen values, fencing tokens and responses seen outside of
the nodes.
"""

from . import adapter
from .linearizability import READ, REFUSED, TAKEN, Operation, is_linearizable


class BreachError(Exception):
    """An invariant was violated; `rule` is its name, `text` gives the details."""

    def __init__(self, rule, text):
        super().__init__(f"{rule}: {text}")
        self.rule = rule
        self.text = text


class RunChecker:
    """Observes each message, log event and response of a run; raises BreachError if an invariant is
    violated.
    """

    __slots__ = (
        "majority",
        "logical_time",
        "proposed",
        "votes",
        "chosen",
        "values_by_mark",
        "voters",
        "holders",
        "operations",
        "applied_orders",
        "acknowledged",
        "keys",
    )

    def __init__(self, seats):
        self.majority = seats // 2 + 1
        self.logical_time = 0
        self.keys = {}
        self.proposed = {}
        self.votes = {}
        self.chosen = {}
        self.values_by_mark = {}
        self.voters = {}
        self.holders = {}
        self.operations = []
        self.applied_orders = set()
        self.acknowledged = 0

    def state_facts(self):
        """The data that later checks depend on, for the state hash."""
        return (
            sorted((repr(key), repr(value)) for key, value in self.values_by_mark.items()),
            sorted(self.voters.items()),
            sorted(self.holders.items()),
            [repr(operation) for operation in self.operations],
            sorted(self.applied_orders, key=repr),
            self.acknowledged,
            sorted(
                (key, sorted(seats)) for key, seats in self.votes.items() if key not in self.chosen
            ),
        )

    def on_message(self, machine, address, message):
        """Checks votes and proposals as a member sends them."""
        seen = adapter.vote_in(message)
        if seen is not None:
            self._check_voter(machine, seen)
            self._check_seal(machine, seen)
            if seen.is_accept:
                self._count_vote(seen)
            return
        proposal = adapter.proposal_in(message)
        if proposal is None:
            return
        change, key, ballot, value = proposal
        self.keys[change] = key
        if self.proposed.setdefault((key, ballot), value) != value:
            raise BreachError(
                "one value for each ballot", f"{key} under ballot {ballot} from {machine.process}"
            )

    def _check_voter(self, machine, vote):
        place = (vote.replica_id, vote.epoch)
        voter = self.voters.setdefault(place, machine.process)
        if voter != machine.process:
            raise BreachError(
                "one voter of a seat in an epoch",
                f"{voter} and {machine.process} voted as seat {vote.replica_id} in epoch {vote.epoch}",
            )

    def _check_seal(self, machine, vote):
        """A machine with a seal on disk handed over its vote, for the sealed epoch and all before
        it.
        """
        epoch = adapter.sealed_epoch(machine)
        if epoch is not None and vote.epoch <= epoch:
            raise BreachError(
                "no vote under a seal",
                f"{machine.process} voted as seat {vote.replica_id} in epoch {vote.epoch}",
            )

    def _count_vote(self, vote):
        key = (self.keys[vote.change], vote.ballot)
        seats = self.votes.setdefault(key, set())
        seats.add(vote.replica_id)
        if len(seats) < self.majority or key in self.chosen:
            return
        value = self.chosen[key] = self.proposed.get(key)
        mark = adapter.mark_of(key[0], value)
        if mark is None:
            return
        if self.values_by_mark.setdefault((key[0], mark), value) != value:
            raise BreachError(
                "one value for each mark", f"{key[0]} {mark} was chosen with two values"
            )
        self.applied_orders.add(adapter.order_in(value))

    def on_log(self, machine, number, facts):
        """Checks that each fencing token is won by one process."""
        won = adapter.fence_won(number, facts)
        if won is None:
            return
        holder = self.holders.setdefault(won, machine.process)
        if holder != machine.process:
            raise BreachError(
                "one holder of a fence", f"{won} was won by {holder} and {machine.process}"
            )

    def begin(self, operation_name, verb, base=0, revision=0, document=None):
        """Records the invocation of an update or a read."""
        self.logical_time += 1
        operation = Operation(operation_name, verb, self.logical_time, base, revision, document)
        self.operations.append(operation)
        return operation

    def end(self, operation, answer, held=None, mark=0):
        """Records a member's response to the operation."""
        self.logical_time += 1
        operation.end(self.logical_time, answer, held)
        if answer == TAKEN:
            self.acknowledged = max(self.acknowledged, mark)
        if answer != REFUSED:
            return
        if adapter.order_of(operation.revision, operation.document) in self.applied_orders:
            raise BreachError("no order refused that was taken", repr(operation))

    def remove(self, operation):
        """Drops an operation answered as not done; if it took effect after all, that matches no
        operation.
        """
        self.operations.remove(operation)

    def check_state(self, world):
        """Checks that every majority of the voting seats holds the newest acknowledged change."""
        if not self.acknowledged:
            return
        marks = sorted(adapter.held_marks(world))
        if len(marks) < self.majority:
            return
        newest = marks[self.majority - 1]
        if newest < self.acknowledged:
            raise BreachError(
                "no acknowledged change lost",
                f"mark {self.acknowledged} was acknowledged, a majority holds {marks}",
            )

    def check_history(self):
        """Checks that the responses so far are linearizable."""
        if not is_linearizable(self.operations):
            raise BreachError(
                "orders and reads are linearizable",
                "; ".join(repr(operation) for operation in self.operations),
            )


__all__ = ["READ", "REFUSED", "TAKEN", "BreachError", "RunChecker"]
