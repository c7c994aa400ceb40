"""What routers have sent to one runner and not yet seen finished."""

from collections import deque
from typing import NamedTuple

HISTORY_US = 5_000_000
"""So long back it is known what was outstanding: reports of runners are late by less."""

RACE_US = 5_000
"""A long prompt that is sent this soon after a short one may reach the runner before it."""


class WorkFigures(NamedTuple):
    """Sums over the work of one router, or of several, at one runner."""

    count: int
    """Requests that wait there to be prefilled, or for their first token."""

    tokens: int
    """Prompt tokens to be prefilled."""

    held_tokens: int
    """Tokens of KV cache that running streams take."""

    streams: int
    """Running streams."""

    def plus(self, other: "WorkFigures") -> "WorkFigures":
        """The sums of both."""
        return WorkFigures(
            self.count + other.count,
            self.tokens + other.tokens,
            self.held_tokens + other.held_tokens,
            self.streams + other.streams,
        )

    def minus(self, other: "WorkFigures") -> "WorkFigures":
        """What is left without the other's."""
        return WorkFigures(
            self.count - other.count,
            self.tokens - other.tokens,
            self.held_tokens - other.held_tokens,
            self.streams - other.streams,
        )


NO_WORK = WorkFigures(0, 0, 0, 0)


class OutstandingWork:
    """Owns what this router has at one runner, and what the others reported of theirs.

    `prefills`: prompt tokens of each attempt that is to be prefilled; `decodes`: tokens of KV cache of
    each stream; `starts`: attempts whose first token is awaited; `predictions`: of each read, how
    many tokens it takes alone (0 where others were before it), and when it was sent. `moved_us`:
    when the read at the head of the queue came there, about. `others`: the sum of all that is
    `reported`, kept as reports come and go, so that a look costs the same in any fleet.
    """

    __slots__ = (
        "prefills",
        "decodes",
        "starts",
        "predictions",
        "reported",
        "others",
        "history",
        "sent_us",
        "sent_tokens",
        "moved_us",
        "count",
    )

    def __init__(self) -> None:
        """Nothing is outstanding."""
        self.prefills: dict[str, int] = {}
        self.decodes: dict[str, int] = {}
        self.starts: set[str] = set()
        self.predictions: dict[str, tuple[int, int]] = {}
        self.reported: dict[str, tuple[WorkFigures, int]] = {}
        self.others = NO_WORK
        self.history: deque[tuple[int, int, int]] = deque()
        self.sent_us: int | None = None
        self.sent_tokens = 0
        self.moved_us = 0
        self.count = 0

    def has_own(self) -> bool:
        """Whether this router has anything there."""
        return bool(self.prefills or self.starts or self.decodes)

    def own(self) -> WorkFigures:
        """What this router has there."""
        return WorkFigures(
            len(self.prefills) + len(self.starts),
            sum(self.prefills.values()),
            sum(self.decodes.values()),
            len(self.decodes),
        )

    def total(self) -> WorkFigures:
        """What all routers have there, as far as it was reported."""
        return self.own().plus(self.others)

    def take_report(self, router: str, figures: WorkFigures, until_us: int, now_us: int) -> None:
        """What another router, or all others together, have there; it lapses at `until_us`."""
        self._forget_report(router)
        self.reported[router] = (figures, until_us)
        self.others = self.others.plus(figures)
        self.note_change(now_us)

    def drop_report(self, router: str, now_us: int) -> None:
        """Forget what another router reported, if anything is known of it."""
        if router in self.reported:
            self._forget_report(router)
            self.note_change(now_us)

    def _forget_report(self, router: str) -> None:
        known = self.reported.pop(router, None)
        if known is not None:
            self.others = self.others.minus(known[0])

    def note_change(self, now_us: int) -> None:
        """Remember what is outstanding from now on."""
        count, _, held_tokens, _ = self.total()
        if count < self.count or not self.count:
            self.moved_us = now_us
        self.count = count
        self.history.append((now_us, count, held_tokens))
        while self.history and now_us - self.history[0][0] > HISTORY_US:
            self.history.popleft()

    def longest_prefill(self) -> int:
        """The longest prompt that waits there, as far as it can be known, in tokens."""
        means = (
            figures.tokens // figures.count
            for figures, _ in self.reported.values()
            if figures.count
        )
        return max(max(self.prefills.values(), default=0), max(means, default=0))

    def would_overtake(self, tokens: int, now_us: int) -> bool:
        """Whether a long read, sent right behind a short one, may reach the runner before it."""
        return (
            self.sent_us is not None
            and now_us - self.sent_us < RACE_US
            and tokens > 2 * self.sent_tokens
        )

    def at(self, when_us: int) -> tuple[int, int]:
        """Count and held tokens as they were known to be at a time."""
        for noted_us, count, held_tokens in reversed(self.history):
            if noted_us <= when_us:
                return count, held_tokens
        return 0, 0

    def drop_lapsed(self, now_us: int) -> None:
        """Forget reports that were not renewed."""
        lapsed = [router for router, (_, until_us) in self.reported.items() if now_us >= until_us]
        for router in lapsed:
            self._forget_report(router)
        if lapsed:
            self.note_change(now_us)
