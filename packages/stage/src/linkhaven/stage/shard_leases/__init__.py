"""Simulated core for tests of shard leases.

It has machines with independent clocks, a lossy network, seeded random walks through faults, and
measurements of take-over times.
"""

from .machine import Machine
from .walk import Walk
from .world import LeaseWorld, TwoOwnersError

__all__ = ["LeaseWorld", "Machine", "TwoOwnersError", "Walk"]
