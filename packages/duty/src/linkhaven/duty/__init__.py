from .duty import Duty

__all__ = ["Duty"]
