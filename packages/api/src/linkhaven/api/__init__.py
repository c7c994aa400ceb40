from .check import check_document, list_complaints, read_schema
from .events import EVENTS
from .troubles import CATALOGUE, ServiceError, read_trouble

__all__ = [
    "CATALOGUE",
    "EVENTS",
    "ServiceError",
    "check_document",
    "list_complaints",
    "read_schema",
    "read_trouble",
]
