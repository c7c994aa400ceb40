from .claim_limits import ClaimLimits, default_claim_limits
from .proposer import Proposer
from .recovery_messages import StatePage
from .replica import Replica
from .replication_messages import LateAccepts

__all__ = [
    "ClaimLimits",
    "LateAccepts",
    "Proposer",
    "Replica",
    "StatePage",
    "default_claim_limits",
]
