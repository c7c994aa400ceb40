"""JSON text: documents of operators, callers and runners, and lines that have no type yet.

Reading goes through msgspec, which is faster. What msgspec refuses is read again by the standard
library, whose verdict counts: it takes NaN, numbers beyond the range of a float and single
surrogates. Writing stays with the standard library: msgspec would write NaN as null, and large
floats otherwise.
"""

import json
from typing import Any

import msgspec

from linkhaven.api import ServiceError

ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)
READ = msgspec.json.Decoder().decode
FAULT_CHARACTERS = 200
"""A parser's message may quote the document; so much of it is told."""


def write_json(document: Any) -> bytes:
    """The document as compact JSON in UTF-8."""
    return ENCODER.encode(document).encode()


def read_json(body: bytes | str) -> Any:
    """The document of a text or of its bytes; raises `bad_request` where it is no JSON."""
    try:
        return READ(body)
    except (msgspec.DecodeError, RecursionError, UnicodeError):
        return _read_with_standard_library(body)


def _read_with_standard_library(body: bytes | str) -> Any:
    try:
        return json.loads(body.decode() if isinstance(body, bytes) else body)
    except (ValueError, RecursionError) as fault:
        raise ServiceError(
            "bad_request", places=[{"place": ".", "fault": f"not JSON: {fault}"[:FAULT_CHARACTERS]}]
        ) from None
