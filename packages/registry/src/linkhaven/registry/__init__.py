from .node import RegistryNode

__all__ = ["RegistryNode"]
