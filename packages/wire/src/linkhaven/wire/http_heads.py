"""HTTP header fields: decoding from h11, lookup by name, and encoding of message heads."""

from collections.abc import Collection, Iterable, Mapping

HeaderFields = Mapping[str, str] | Collection[tuple[str, object]]
"""A mapping by name, or pairs where order matters or a name occurs several times."""

ENCODING = "latin-1"
"""Maps each byte to one character, so that fields are forwarded unchanged (RFC 9110, 5.5)."""

LINES_BESIDE_FIELDS = 2
"""The start line of a head and the empty line that ends it."""


def decode_fields(fields: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Decode the fields to text, in their order."""
    return [(name.decode(ENCODING), value.decode(ENCODING)) for name, value in fields]


def gather_headers(fields: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Map the fields by name; values of the same name are joined by commas (RFC 9110, 5.3)."""
    headers: dict[str, str] = {}
    for name, value in decode_fields(fields):
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def list_fields(headers: HeaderFields) -> Collection[tuple[str, object]]:
    """Return the fields as pairs of name and value."""
    return headers.items() if isinstance(headers, Mapping) else headers


def has_token(headers: Mapping[str, str], name: str, token: str) -> bool:
    """Whether the comma-separated list in a header contains the lower-case token."""
    return token in [part.strip() for part in headers.get(name, "").lower().split(",")]


def write_head(first_line: str, fields: Collection[tuple[str, object]]) -> bytes:
    """Encode a message head.

    Raises ValueError if a line contains CR, LF or NUL: one message could be parsed as two.
    """
    head = "".join(
        [first_line, "\r\n", *[f"{name}: {value}\r\n" for name, value in fields], "\r\n"]
    )
    lines = len(fields) + LINES_BESIDE_FIELDS
    if head.count("\n") != lines or head.count("\r") != lines or "\0" in head:
        raise ValueError("a line of the message head contains CR, LF or NUL")
    return head.encode(ENCODING)
