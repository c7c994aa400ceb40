from .node import RouterNode

__all__ = ["RouterNode"]
