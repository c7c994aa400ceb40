"""JSON encoding and decoding of documents and of messages without a type.

Documents are decoded by msgspec, which is faster. What msgspec refuses is decoded again by the
standard library, which has the final say: it accepts NaN, numbers beyond the range of a float and
lone surrogates. What an operator sends is read strictly: a configuration is stored as text, which
other parsers have to read alike. Documents are encoded by the standard library, as msgspec writes
NaN as null and formats large floats differently.
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


def read_strict_json(body: bytes) -> Any:
    """Decode a JSON text (RFC 8259) that every parser reads alike.

    Raises ServiceError `bad_request` if it isn't JSON, contains a number beyond the range of a
    float or a lone surrogate, or an object has a name twice (sections 4, 6 and 8.2).
    """
    try:
        document = READ(body)
        json.loads(body, object_pairs_hook=_object_of_unique_names)
    except (msgspec.DecodeError, ValueError, RecursionError) as fault:
        raise _not_json(fault) from None
    return document


def _object_of_unique_names(members: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object; raises ValueError if a name occurs twice in it."""
    found: dict[str, Any] = {}
    for name, value in members:
        if name in found:
            raise ValueError(f"the name {name} stands twice in an object")
        found[name] = value
    return found


def _read_with_standard_library(body: bytes | str) -> Any:
    try:
        return json.loads(body.decode() if isinstance(body, bytes) else body)
    except (ValueError, RecursionError) as fault:
        raise _not_json(fault) from None


def _not_json(fault: Exception) -> ServiceError:
    text = f"not JSON: {fault}"[:MAX_FAULT_CHARACTERS]
    return ServiceError("bad_request", places=[{"place": ".", "fault": text}])
