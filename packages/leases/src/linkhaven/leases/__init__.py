"""Leases on the duties of the core: who does a duty, until when, and under which fencing token."""

from .lease import Lease
from .records import LeaseRecord

__all__ = ["Lease", "LeaseRecord"]
