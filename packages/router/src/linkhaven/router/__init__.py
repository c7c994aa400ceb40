"""The router of a fleet: accepts requests, places them on runners and relays the answers."""

from .node import RouterNode

__all__ = ["RouterNode"]
