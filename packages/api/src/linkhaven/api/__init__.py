"""The native HTTP API: its OpenAPI file, error codes, log events and field checks."""

from .check import check_document, list_faults, read_schema
from .errors import CATALOGUE, Done, ErrorDefinition, ServiceError, read_error
from .events import EVENTS, EventDefinition

__all__ = [
    "CATALOGUE",
    "Done",
    "ErrorDefinition",
    "EventDefinition",
    "EVENTS",
    "ServiceError",
    "check_document",
    "list_faults",
    "read_schema",
    "read_error",
]
