"""Encodes requests to other processes, and creates the parsers for their responses."""

import h11

from .http_heads import HeaderFields, list_fields, write_head

CONNECTION_FIELDS = frozenset(("host", "connection", "content-length", "transfer-encoding"))
"""Header fields that the client writes itself (RFC 9110, 7.6.1)."""

METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
METHODS = METHODS_WITH_BODY | {"GET", "HEAD", "DELETE", "OPTIONS"}

REQUEST_TEMPLATES: dict[str, h11.Request] = {}
"""By method, the h11 request that puts a response parser into the right state."""

END_OF_REQUEST = h11.EndOfMessage()


def write_request(
    method: str, path: str, host: str, headers: HeaderFields, body: bytes, keeps_connection: bool
) -> bytes:
    """Encode a complete request.

    Raises ValueError if a header field or the path would change how the request is parsed.
    """
    if not path or " " in path or "\t" in path:
        raise ValueError("request path is empty or contains whitespace")
    fields: list[tuple[str, object]] = [("host", host)]
    fields += [
        (name, value)
        for name, value in list_fields(headers)
        if name.lower() not in CONNECTION_FIELDS
    ]
    if body or method in METHODS_WITH_BODY:
        fields.append(("content-length", str(len(body))))
    if not keeps_connection:
        fields.append(("connection", "close"))
    return write_head(f"{method} {path} HTTP/1.1", fields) + body


def response_parser(method: str) -> h11.Connection:
    """Create a parser for the response to a request with this method.

    The request itself is encoded without h11, which is cheaper.
    """
    request = REQUEST_TEMPLATES.get(method)
    if request is None:
        request = h11.Request(method=method, target="/", headers=[("host", "-")])
        if method in METHODS:
            REQUEST_TEMPLATES[method] = request
    parser = h11.Connection(h11.CLIENT)
    parser.send(request)
    parser.send(END_OF_REQUEST)
    return parser
