"""The control plane: the node of a core seat and its program."""

from .node import DUTIES, ControllerNode

__all__ = ["DUTIES", "ControllerNode"]
