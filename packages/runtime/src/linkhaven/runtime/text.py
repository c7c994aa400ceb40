"""JSON encoding and decoding of documents and of messages without a type.

Documents are decoded by msgspec, which is faster. What msgspec refuses is decoded again by the
standard library, which has the final say: it accepts NaN, numbers beyond the range of a float and
lone surrogates. Documents are encoded by the standard library, as msgspec writes NaN as null and
formats large floats differently.
"""

import json
from typing import Any

import msgspec

from linkhaven.api import ServiceError

ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)
READ = msgspec.json.Decoder().decode
MAX_FAULT_CHARACTERS = 200
"""A parser's message is cut to this length, as it may quote the document."""


def write_json(document: Any) -> bytes:
    """Return the document as compact JSON in UTF-8."""
    return ENCODER.encode(document).encode()


def read_json(body: bytes | str) -> Any:
    """Decode a JSON text; raises ServiceError `bad_request` if it isn't JSON."""
    try:
        return READ(body)
    except (msgspec.DecodeError, RecursionError, UnicodeError):
        return _read_with_standard_library(body)


def _read_with_standard_library(body: bytes | str) -> Any:
    try:
        return json.loads(body.decode() if isinstance(body, bytes) else body)
    except (ValueError, RecursionError) as fault:
        raise ServiceError(
            "bad_request",
            places=[{"place": ".", "fault": f"not JSON: {fault}"[:MAX_FAULT_CHARACTERS]}],
        ) from None
