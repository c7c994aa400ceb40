"""The control plane: the node of a core seat and its program."""

from .node import DUTIES, RegistryNode

__all__ = ["DUTIES", "RegistryNode"]
