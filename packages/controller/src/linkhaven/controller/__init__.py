"""The control plane: the node of a core seat and its program."""

from .node import SINGLETON_ROLES, ControllerNode

__all__ = ["SINGLETON_ROLES", "ControllerNode"]
