from .proposer import Proposer
from .seat import Replica, default_terms

__all__ = ["Proposer", "Replica", "default_terms"]
