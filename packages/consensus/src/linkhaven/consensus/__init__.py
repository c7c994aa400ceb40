from .claim_limits import ClaimLimits, default_claim_limits
from .proposer import Proposer
from .replica import Replica

__all__ = ["ClaimLimits", "Proposer", "Replica", "default_claim_limits"]
