"""Membership and failure detection of the fleet."""

from .member import Member
from .membership import Membership

__all__ = ["Member", "Membership"]
