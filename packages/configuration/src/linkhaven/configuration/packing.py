"""How blobs are packed for wire and disk, and opened again; how a document is written as text."""

import base64
import binascii
import json
import zlib

from .history import digest_of

TEXT_BYTES_MOST = 64 << 20
"""Beyond any document: a packed blob that would open to more is refused."""


class BlobMismatchError(ValueError):
    """A packed blob that can't be opened, or whose text has another digest than its name."""


def pack_blob(text: str) -> str:
    """Return a text as one word of JSON-safe letters."""
    return base64.b64encode(zlib.compress(text.encode())).decode()


def open_packed(packed: str) -> str:
    """Return the text that `pack_blob` packed; raises BlobMismatchError for anything else."""
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(base64.b64decode(packed, validate=True), TEXT_BYTES_MOST)
        text = raw.decode()
    except (zlib.error, binascii.Error, ValueError, TypeError) as error:
        raise BlobMismatchError(repr(error)) from None
    if not decompressor.eof:
        raise BlobMismatchError("it has no end")
    return text


def open_blob(digest: str, packed: str) -> str:
    """Return the text with this digest; raises BlobMismatchError for anything else."""
    text = open_packed(packed)
    if digest_of(text) != digest:
        raise BlobMismatchError(f"it is not the text named {digest}")
    return text


def write_document(document: dict) -> str:
    """Return the one text of a document: equal documents have equal digests."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
