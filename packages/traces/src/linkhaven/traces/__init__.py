from .writer import TraceWriter

__all__ = ["TraceWriter"]
