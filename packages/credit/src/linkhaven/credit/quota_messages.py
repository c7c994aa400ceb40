"""Messages between routers and the owners of tenants' shards, as encoded on the wire."""

import msgspec

from linkhaven.runtime import Message


class TokenWant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a router wants for one tenant; a list on the wire, new fields go last."""

    tenant: str
    needed: int
    """Held requests that wait for a token."""

    extra: int
    """Tokens wanted in advance, granted only if the tenant is well below its limit."""

    denied: int = 0
    """Requests that the router denied locally since its last request for tokens."""


class QuotaRequest(Message, tag="quota_ask", frozen=True):
    """A router's request for tokens of tenants, of one or more shards."""

    number: int
    """Increases with each request of a router, also across its restarts."""

    router_address: str = msgspec.field(name="router")
    """Where to send the response, also if a controller forwarded the request."""

    wants: list[TokenWant]
    is_forwarded: bool = msgspec.field(default=False, name="passed_on")
    """Whether a controller forwarded it; it isn't forwarded again."""


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted for one tenant; a list on the wire, new fields go last."""

    tenant: str
    granted: int
    """Tokens granted, of those needed and wanted in advance."""

    life_us: int
    """How long the tokens may be spent after the request was sent, by the router's clock."""

    wait_us: int
    """0 if all needed tokens are granted, else after how long to retry."""

    is_settling: bool = False
    """Whether the owner is so new that a denial doesn't mean that the tenant is at its limit."""


class QuotaResponse(Message, tag="quota_told", frozen=True):
    """Tokens for a router, in response to all or part of a `QuotaRequest`; sent by the owner."""

    number: int
    grants: list[TokenGrant]
    unowned: list[str] = msgspec.field(default_factory=list)
    """Tenants whose shard has no owner known to the sender."""
