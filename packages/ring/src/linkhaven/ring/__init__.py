from .ring import Fellow, Ring

__all__ = ["Fellow", "Ring"]
