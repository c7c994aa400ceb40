"""The limits of an HTTP server."""

import msgspec


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What a server accepts from its callers; times are integers in microseconds."""

    head_bytes: int = 16_384
    """Maximum length of a request head, and how much of further requests is read ahead."""

    body_bytes: int = 4_194_304
    """Maximum length of a request body."""

    head_us: int = 3_000_000
    """Time limit for receiving a request head, from its first byte."""

    idle_us: int = 15_000_000
    """How long a connection may be idle between requests, or a body or response may stall."""

    connections: int = 2_000
    """Maximum number of connections; a further one replaces an idle one or is refused."""
