"""Replicated registers: each key is one single-decree Paxos register of the controller group.

`Proposer` reads and updates registers. `Replica` votes on them and stores them in a
`RegisterTable`. The other modules implement recovery, replica assignment and hand-over;
`docs/control.md` describes the protocol.
"""

from .claim_limits import ClaimLimits, default_claim_limits
from .paxos_messages import Accept, Accepted, Chosen, Prepare, Promise
from .proposal import Outcome, UpdateAction
from .proposer import Proposer
from .recovery_messages import StatePage
from .registers import RegisterState, RegisterTable
from .replica import Replica
from .replica_state import ReplicaState
from .replication_messages import LateAccepts

__all__ = [
    "Accept",
    "Accepted",
    "Chosen",
    "ClaimLimits",
    "LateAccepts",
    "Outcome",
    "Prepare",
    "Promise",
    "Proposer",
    "RegisterState",
    "RegisterTable",
    "Replica",
    "ReplicaState",
    "StatePage",
    "UpdateAction",
    "default_claim_limits",
]
