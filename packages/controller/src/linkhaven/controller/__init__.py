"""The control plane: the node of a core member, and its program."""

from .node import ControllerNode
from .singleton_roles import SINGLETON_ROLES

__all__ = ["SINGLETON_ROLES", "ControllerNode"]
