from .proposer import Proposer
from .seat import Seat

__all__ = ["Proposer", "Seat"]
