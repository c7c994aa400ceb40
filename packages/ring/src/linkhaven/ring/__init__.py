"""Membership and failure detection of the fleet."""

from .member import Member
from .ring import Ring

__all__ = ["Member", "Ring"]
