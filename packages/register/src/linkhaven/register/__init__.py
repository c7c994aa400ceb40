from .proposer import Proposer
from .seat import Seat, default_terms

__all__ = ["Proposer", "Seat", "default_terms"]
