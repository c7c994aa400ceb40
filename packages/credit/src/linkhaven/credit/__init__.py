from .bursar import GRANTS_A_FENCE, SHARE_US, Bursar
from .desk import CreditDesk
from .extra import ExtraBudget

__all__ = ["GRANTS_A_FENCE", "SHARE_US", "Bursar", "CreditDesk", "ExtraBudget"]
