from .estimator import Estimator
from .flow import Flow
from .kept import Work
from .pairing import NO_BOUND_US, Decision, Pairing
from .ratio import RatioSearch

__all__ = ["NO_BOUND_US", "Decision", "Estimator", "Flow", "Pairing", "RatioSearch", "Work"]
