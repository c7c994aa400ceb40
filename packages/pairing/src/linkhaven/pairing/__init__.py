from .estimator import Estimator
from .flow import Flow
from .pairing import Decision, Pairing
from .ratio import RatioSearch

__all__ = ["Decision", "Estimator", "Flow", "Pairing", "RatioSearch"]
