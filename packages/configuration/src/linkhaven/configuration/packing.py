"""How the body of a plan or document is named, packed for wire and disk, and opened again."""

import base64
import binascii
import json
import zlib

from .taken import digest_of

MOST_BODY_BYTES = 64 << 20


class BodyMismatchError(ValueError):
    """A packed body that can't be opened, or whose text has another digest than its name."""


def pack_body(text):
    """A text as one word of JSON-safe letters."""
    return base64.b64encode(zlib.compress(text.encode())).decode()


def open_packed(packed):
    """The text that pack_body packed; raises BodyMismatchError for anything else."""
    try:
        opener = zlib.decompressobj()
        raw = opener.decompress(base64.b64decode(packed, validate=True), MOST_BODY_BYTES)
        text = raw.decode()
    except (zlib.error, binascii.Error, ValueError, TypeError) as fault:
        raise BodyMismatchError(repr(fault)) from None
    if not opener.eof:
        raise BodyMismatchError("it has no end")
    return text


def open_body(digest, packed):
    """The text with this digest; raises BodyMismatchError for anything else."""
    text = open_packed(packed)
    if digest_of(text) != digest:
        raise BodyMismatchError(f"it is not the text named {digest}")
    return text


def write_plan(plan):
    """The one text of a plan: equal plans have equal digests."""
    return json.dumps(plan, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
