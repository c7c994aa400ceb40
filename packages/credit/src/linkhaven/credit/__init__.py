from .bursar import Bursar
from .desk import CreditDesk
from .extra import ExtraBudget

__all__ = ["Bursar", "CreditDesk", "ExtraBudget"]
