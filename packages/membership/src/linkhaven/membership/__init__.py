"""Membership and failure detection of the fleet."""

from .member import Member
from .ring import Membership

__all__ = ["Member", "Membership"]
