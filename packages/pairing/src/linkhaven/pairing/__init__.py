"""Placement: estimates, load, prefix caches, backoff and choice of runners."""

from .candidate import Candidate, Decision
from .estimator import Estimator
from .load_view import LoadView
from .outstanding_work import OutstandingWork
from .placement import NO_BOUND_US, PlacementPolicy
from .prefix_cache import PrefillWork
from .ratio import RatioSearch
from .runner_backoff import RunnerBackoff
from .stream_migration import StreamMigrator

__all__ = [
    "NO_BOUND_US",
    "Candidate",
    "Decision",
    "Estimator",
    "StreamMigrator",
    "LoadView",
    "OutstandingWork",
    "PlacementPolicy",
    "RatioSearch",
    "RunnerBackoff",
    "PrefillWork",
]
