"""The load of each runner as this router sees it: its own work there, and what others report.

Reports of runners are late and give counts. So routers tell each other what they have at a runner as
soon as that changes; in a large fleet, where this would grow with the square of the routers, each
tells the core with its polls, and is told the sum of all others.

| message | what it does here |
| --- | --- |
| `QueueViews` | replaces what its sender had at these runners, until it tells anew or it lapses |
"""

from collections.abc import Callable, Sequence
from typing import Any

from linkhaven.runner import Roster, Runner
from linkhaven.runtime import Node

from .estimator import Estimator
from .kept import PrefixCacheView
from .messages import QueueView, QueueViews
from .outstanding_work import OutstandingWork, WorkFigures

REPORT_LASTS_US = 2_500_000
RENEW_US = 1_000_000
LARGE_FLEET = 16
"""With more other routers than this, views go by way of the core."""

FLEET = "fleet"
"""Stands for all other routers in the place of one's name."""

DEAF_US = 2_500_000
"""A router that heard no other for so long can't tell their queues from a slow runner."""

ALONE_US = 60_000_000
"""A router that heard no other for so long takes itself for the only one."""

Key = tuple[str, int]
"""A runner's name and incarnation."""


class LoadView:
    """Owns the outstanding work of each runner, in memory only; what peers reported lapses."""

    __slots__ = (
        "node",
        "roster",
        "peers",
        "estimator",
        "prefix_caches",
        "outstanding",
        "renewed_us",
        "heard_us",
    )

    def __init__(
        self,
        node: Node,
        roster: Roster,
        peers: Callable[[], Sequence[Any]],
        estimator: Estimator,
        prefix_caches: PrefixCacheView,
    ) -> None:
        """`peers`: the other routers that run; nothing is outstanding yet."""
        self.node = node
        self.roster = roster
        self.peers = peers
        self.estimator = estimator
        self.prefix_caches = prefix_caches
        self.outstanding: dict[Key, OutstandingWork] = {}
        self.renewed_us = 0
        self.heard_us = -ALONE_US

    # who is heard

    def is_large(self) -> bool:
        """Whether there are too many routers to tell each of them every change.

        Views come late then, and each router weighs only a few runners drawn at random, so that
        late views send no herd to the least of them.
        """
        return len(self.peers()) > LARGE_FLEET

    def note_heard(self, name: str) -> None:
        """A message of this node came."""
        if any(peer.name == name for peer in self.peers()):
            self.heard_us = self.node.now_us()

    def is_isolated(self) -> bool:
        """Whether there are other routers that this one doesn't hear."""
        return DEAF_US < self.node.now_us() - self.heard_us < ALONE_US

    # the work at a runner

    def work_at(self, runner: Runner) -> OutstandingWork:
        """What is outstanding at this incarnation of a runner, kept from now on."""
        key = (runner.name, runner.incarnation)
        work = self.outstanding.get(key)
        if work is None:
            self._drop_former(runner.name)
            work = self.outstanding[key] = OutstandingWork()
        return work

    def _drop_former(self, name: str) -> None:
        """Earlier incarnations of a runner leave nothing once this router has nothing there."""
        former = [
            key for key, work in self.outstanding.items() if key[0] == name and not work.has_own()
        ]
        for key in former:
            del self.outstanding[key]

    def _work_of(self, key: Key) -> OutstandingWork:
        work = self.outstanding.get(key)
        if work is None:
            work = self.outstanding[key] = OutstandingWork()
        return work

    def queued_tokens(self, runner: Runner) -> float:
        """Prompt tokens that wait at a runner: what is known, and what its report counts beyond.

        What only the report knows is taken at the mean prompt, less what was read since.
        """
        work = self.work_at(runner)
        tokens = work.total().tokens
        if runner.reported_us is None:
            return tokens
        known_count, _ = work.at(runner.reported_us)
        unknown = max(0, runner.queued - known_count) * self.estimator.prompt_mean
        read_since = (
            (self.node.now_us() - runner.reported_us) / self.estimator.token_us(runner)
            if runner.pool is not None
            else 0
        )
        return tokens + max(0, unknown - read_since)

    def prefill_wait_us(self, runner: Runner) -> int:
        """How long the runner reads what is known to wait there."""
        return self.estimator.prefill_us(self.queued_tokens(runner), runner)

    def queue_us(self, runner: Runner, queued_tokens: float, now_us: int) -> int:
        """The queue's reading time, less what the read at its head has had."""
        work = self.work_at(runner)
        longest_us = self.estimator.prefill_us(work.longest_prefill(), runner)
        head_us = min(now_us - work.moved_us, longest_us)
        return max(0, self.estimator.prefill_us(queued_tokens, runner) - head_us)

    def kv_share(self, runner: Runner) -> float:
        """The part of a runner's KV cache that is taken: as reported, and what changed since."""
        work = self.work_at(runner)
        held_tokens = work.total().held_tokens
        if runner.reported_us is None:
            return held_tokens / runner.kv_total
        _, held_then = work.at(runner.reported_us)
        return max(0, runner.kv_used + held_tokens - held_then) / runner.kv_total

    # views of others, and to them

    def own_rows(self) -> list[list[Any]]:
        """What this router has at each runner, as a poll carries it."""
        return [[*key, *work.own()] for key, work in self.outstanding.items() if work.has_own()]

    def take_fleet_sums(self, rows: Sequence[Sequence[Any]]) -> None:
        """What all other routers together have at each runner, as of their last polls."""
        now_us, named = self.node.now_us(), set()
        for name, incarnation, *figures in rows:
            named.add((name, incarnation))
            work = self._work_of((name, incarnation))
            work.take_report(FLEET, WorkFigures(*figures), now_us + REPORT_LASTS_US, now_us)
        for key, work in self.outstanding.items():
            if key not in named:
                work.drop_report(FLEET, now_us)

    def on_queue_views(self, message: QueueViews) -> None:
        """Count in what another router has open, until it tells anew or its view lapses."""
        now_us = self.node.now_us()
        for view in message.views:
            runner = self.roster.runners.get(view.runner)
            if view.parts and runner is not None:
                self.prefix_caches.note(runner, view.parts)
            figures = WorkFigures(view.count, view.tokens, view.held, view.streams)
            work = self._work_of((view.runner, view.incarnation))
            work.take_report(message.sender, figures, now_us + REPORT_LASTS_US, now_us)

    def on_changed(self, runner: Runner, work: OutstandingWork, parts: Sequence[Any] = ()) -> None:
        """This router's work at a runner changed; `parts`: what is read there from now on."""
        work.note_change(self.node.now_us())
        if self.is_large():
            return
        view = QueueView(runner.name, runner.incarnation, *work.own(), parts)
        self._send_views([view])

    def _send_views(self, views: list[QueueView]) -> None:
        message = QueueViews(views)
        for peer in self.peers():
            self.node.send(peer.address, message)

    # time

    def drop_lapsed(self, now_us: int) -> None:
        """Forget what others reported and did not renew."""
        for work in self.outstanding.values():
            work.drop_lapsed(now_us)

    def is_renewal_due(self, now_us: int) -> bool:
        """Whether to tell the others all again; a renewal that is due counts as done."""
        if now_us - self.renewed_us < RENEW_US:
            return False
        self.renewed_us = now_us
        return True

    def renew(self) -> None:
        """Tell the others what is still outstanding, since a view lapses."""
        if self.is_large():
            return
        views = [QueueView(*row) for row in self.own_rows()]
        if views:
            self._send_views(views)

    def forget_gone(self, names: set[str]) -> None:
        """Runners that no list names leave nothing behind once nothing is outstanding there."""
        gone = [
            key
            for key, work in self.outstanding.items()
            if key[0] not in names and not any(work.total())
        ]
        for key in gone:
            del self.outstanding[key]
