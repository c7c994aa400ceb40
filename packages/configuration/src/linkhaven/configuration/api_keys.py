"""API keys, which identify the tenant of a request. Keys aren't stored, logged or passed on.

Keys are long and random, so an unsalted digest is enough: a dictionary attack can't find one.
"""

import hashlib


def digest_api_key(key: str) -> str:
    """Return a key's digest for documents and records: SHA-256 in lower-case hex."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
