"""Messages between routers about runners, so that two don't count on the same capacity."""

import msgspec

from linkhaven.runtime import Message


class QueueView(msgspec.Struct, frozen=True, array_like=True):
    """The sender's outstanding work at one incarnation of a runner; an array on the wire."""

    runner: str
    incarnation: int
    count: int
    """Its requests waiting for their prefill or their first token."""

    tokens: int | float
    """Their prompt tokens still to be prefilled."""

    held: int | float
    """The tokens of KV cache held by its streams."""

    streams: int
    parts: tuple[tuple[str, int | float], ...] = ()
    """The shared parts of the latest prompt, as (id, tokens) in order; the runner caches them."""


class QueueViews(Message, tag="books", frozen=True):
    """The sender's work: of one runner at each change, and periodically of all."""

    views: list[QueueView] = msgspec.field(name="books")


class RunnerEjected(Message, tag="shun", frozen=True):
    """A KV transfer from this incarnation of a runner failed: it is ejected for a while."""

    runner: tuple[str, int]
    span_us: int


class LinkSample(Message, tag="link", frozen=True):
    """How much slower than planned a KV transfer was, for a link that is or was slow."""

    pair: tuple[str, str]
    """The names of the prefill and the decode runner."""

    zones: tuple[str, str]
    factor: float
