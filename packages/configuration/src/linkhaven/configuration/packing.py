"""How the body of a plan or document is named, packed for wire and disk, and opened again."""

import base64
import binascii
import json
import zlib

from .history import digest_of

MOST_BODY_BYTES = 64 << 20


class BlobMismatchError(ValueError):
    """A packed body that can't be opened, or whose text has another digest than its name."""


def pack_blob(text):
    """A text as one word of JSON-safe letters."""
    return base64.b64encode(zlib.compress(text.encode())).decode()


def open_packed(packed):
    """The text that pack_body packed; raises BodyMismatchError for anything else."""
    try:
        opener = zlib.decompressobj()
        raw = opener.decompress(base64.b64decode(packed, validate=True), MOST_BODY_BYTES)
        text = raw.decode()
    except (zlib.error, binascii.Error, ValueError, TypeError) as fault:
        raise BlobMismatchError(repr(fault)) from None
    if not opener.eof:
        raise BlobMismatchError("it has no end")
    return text


def open_blob(digest, packed):
    """The text with this digest; raises BodyMismatchError for anything else."""
    text = open_packed(packed)
    if digest_of(text) != digest:
        raise BlobMismatchError(f"it is not the text named {digest}")
    return text


def write_plan(plan):
    """The one text of a plan: equal plans have equal digests."""
    return json.dumps(plan, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
