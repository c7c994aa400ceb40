"""Packing and unpacking of blobs for wire and disk; the canonical text of a document."""

import base64
import binascii
import json
import zlib

from .history import digest_of

MAX_TEXT_BYTES = 64 << 20
"""Larger than any document; a packed blob that expands to more is rejected."""


class BlobMismatchError(ValueError):
    """A packed blob that can't be unpacked, or whose text doesn't have the expected digest."""


def pack_blob(text: str) -> str:
    """Return a text compressed and in base64, which is safe in JSON."""
    return base64.b64encode(zlib.compress(text.encode())).decode()


def open_packed(packed: str) -> str:
    """Return the text that `pack_blob` packed; raises BlobMismatchError for any other input."""
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(base64.b64decode(packed, validate=True), MAX_TEXT_BYTES)
        text = raw.decode()
    except (zlib.error, binascii.Error, ValueError, TypeError) as error:
        raise BlobMismatchError(repr(error)) from None
    if not decompressor.eof:
        raise BlobMismatchError("the packed text is truncated or too long")
    return text


def open_blob(digest: str, packed: str) -> str:
    """Return the text with this digest; raises BlobMismatchError for any other input."""
    text = open_packed(packed)
    if digest_of(text) != digest:
        raise BlobMismatchError(f"the text doesn't have the digest {digest}")
    return text


def write_document(document: dict) -> str:
    """Return the canonical text of a document, so that equal documents have equal digests."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
