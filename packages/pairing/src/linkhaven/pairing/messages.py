"""What routers tell each other of the runners, so that none of them counts on the same room twice."""

import msgspec

from linkhaven.runtime import Message


class QueueView(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has open at one start of a runner; a list on the wire."""

    runner: str
    incarnation: int
    count: int
    """How many of its requests wait there to be read or begun."""

    tokens: int | float
    """The prompt tokens that are to be read for them."""

    held: int | float
    """The tokens of memory that its streams hold."""

    streams: int
    parts: tuple[tuple[str, int | float], ...] = ()
    """The shared parts of the newest read, as (id, tokens) in order; the runner keeps them."""


class QueueViews(Message, tag="books", frozen=True):
    """The sender's views, at each change that of one runner, and now and then all."""

    views: list[QueueView] = msgspec.field(name="books")


class RunnerEjected(Message, tag="shun", frozen=True):
    """A hand-over from this start of a runner failed: reads go elsewhere for a while."""

    runner: tuple[str, int]
    span_us: int


class LinkSample(Message, tag="link", frozen=True):
    """How much slower than planned a hand-over was, for a link that is clearly slow."""

    pair: tuple[str, str]
    """The reading and the decoding runner."""

    zones: tuple[str, str]
    factor: float
