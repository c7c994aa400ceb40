from .node import DUTIES, RegistryNode

__all__ = ["DUTIES", "RegistryNode"]
