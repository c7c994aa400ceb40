from .bursar import GRANTS_A_FENCE, Bursar
from .desk import CreditDesk
from .extra import ExtraBudget

__all__ = ["GRANTS_A_FENCE", "Bursar", "CreditDesk", "ExtraBudget"]
