from .check import check_document, list_complaints, read_schema
from .errors import CATALOGUE, ServiceError, read_error
from .events import EVENTS

__all__ = [
    "CATALOGUE",
    "EVENTS",
    "ServiceError",
    "check_document",
    "list_complaints",
    "read_schema",
    "read_error",
]
