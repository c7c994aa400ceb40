"""The work that routers have sent to one runner and that has not finished yet."""

from collections import deque
from typing import NamedTuple

HISTORY_US = 5_000_000
"""How long past figures are remembered; reports of runners are less late than this."""

RACE_US = 5_000
"""A long prompt sent this soon after a short one may reach the runner before it."""


class WorkFigures(NamedTuple):
    """Sums over the work of one or more routers at one runner."""

    count: int
    """Requests waiting for their prefill or their first token."""

    tokens: int
    """Prompt tokens still to be prefilled."""

    held_tokens: int
    """Tokens of KV cache held by running streams."""

    streams: int
    """Running streams."""

    def plus(self, other: "WorkFigures") -> "WorkFigures":
        """Return the sums of both."""
        return WorkFigures(
            self.count + other.count,
            self.tokens + other.tokens,
            self.held_tokens + other.held_tokens,
            self.streams + other.streams,
        )

    def minus(self, other: "WorkFigures") -> "WorkFigures":
        """Return these sums without the other's."""
        return WorkFigures(
            self.count - other.count,
            self.tokens - other.tokens,
            self.held_tokens - other.held_tokens,
            self.streams - other.streams,
        )


NO_WORK = WorkFigures(0, 0, 0, 0)


class OutstandingWork:
    """Owns this router's work at one runner, and what the other routers reported of theirs.

    `prefills`: prompt tokens by attempt; `decodes`: tokens of KV cache by stream; `starts`: the
    attempts whose first token is awaited; `predictions`: by attempt the tokens of its prefill (0 if
    others were queued before it, so that its duration tells nothing) and when it was sent.
    `head_since_us`: about when the prefill at the head of the queue began. `others`: the sum of all
    that is `reported`, updated with each report, so that reading it costs the same in a fleet of
    any size.
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
        "head_since_us",
        "count",
    )

    def __init__(self) -> None:
        """Start without outstanding work."""
        self.prefills: dict[str, int] = {}
        self.decodes: dict[str, int] = {}
        self.starts: set[str] = set()
        self.predictions: dict[str, tuple[int, int]] = {}
        self.reported: dict[str, tuple[WorkFigures, int]] = {}
        self.others = NO_WORK
        self.history: deque[tuple[int, int, int]] = deque()
        self.sent_us: int | None = None
        self.sent_tokens = 0
        self.head_since_us = 0
        self.count = 0

    def has_own(self) -> bool:
        """Whether this router has outstanding work there."""
        return bool(self.prefills or self.starts or self.decodes)

    def own(self) -> WorkFigures:
        """Return the sums of this router's work."""
        return WorkFigures(
            len(self.prefills) + len(self.starts),
            sum(self.prefills.values()),
            sum(self.decodes.values()),
            len(self.decodes),
        )

    def total(self) -> WorkFigures:
        """Return the sums of all routers' work, as far as it was reported."""
        return self.own().plus(self.others)

    def take_report(self, router: str, figures: WorkFigures, until_us: int, now_us: int) -> None:
        """Replace what another router, or all others together, reported; expires at `until_us`."""
        self._remove_report(router)
        self.reported[router] = (figures, until_us)
        self.others = self.others.plus(figures)
        self.note_change(now_us)

    def drop_report(self, router: str, now_us: int) -> None:
        """Drop the report of another router, if there is one."""
        if router in self.reported:
            self._remove_report(router)
            self.note_change(now_us)

    def _remove_report(self, router: str) -> None:
        known = self.reported.pop(router, None)
        if known is not None:
            self.others = self.others.minus(known[0])

    def note_change(self, now_us: int) -> None:
        """Record the sums that hold from now on, for `at`."""
        count, _, held_tokens, _ = self.total()
        if count < self.count or not self.count:
            self.head_since_us = now_us
        self.count = count
        self.history.append((now_us, count, held_tokens))
        while self.history and now_us - self.history[0][0] > HISTORY_US:
            self.history.popleft()

    def longest_prefill(self) -> int:
        """Return the longest queued prompt in tokens; of other routers only means are known."""
        means = (
            figures.tokens // figures.count
            for figures, _ in self.reported.values()
            if figures.count
        )
        return max(max(self.prefills.values(), default=0), max(means, default=0))

    def would_overtake(self, tokens: int, now_us: int) -> bool:
        """Whether a prompt sent now may overtake a much shorter one that was sent just before."""
        return (
            self.sent_us is not None
            and now_us - self.sent_us < RACE_US
            and tokens > 2 * self.sent_tokens
        )

    def at(self, when_us: int) -> tuple[int, int]:
        """Return the count and held tokens that were known at a past time."""
        for noted_us, count, held_tokens in reversed(self.history):
            if noted_us <= when_us:
                return count, held_tokens
        return 0, 0

    def drop_lapsed(self, now_us: int) -> None:
        """Drop reports that were not renewed in time."""
        lapsed = [router for router, (_, until_us) in self.reported.items() if now_us >= until_us]
        for router in lapsed:
            self._remove_report(router)
        if lapsed:
            self.note_change(now_us)
