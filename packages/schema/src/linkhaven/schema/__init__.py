from .check import check_document, list_complaints, read_schema
from .events import EVENTS
from .troubles import CATALOGUE, Trouble, read_trouble

__all__ = [
    "CATALOGUE",
    "EVENTS",
    "Trouble",
    "check_document",
    "list_complaints",
    "read_schema",
    "read_trouble",
]
