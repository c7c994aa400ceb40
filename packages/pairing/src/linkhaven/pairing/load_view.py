"""The load of each runner as this router knows it: its own work there, and what others report.

The runners' own reports are late and contain only counts. So routers send each other their
outstanding work at a runner whenever it changes. In a large fleet, where the messages would grow
with the square of the number of routers, each router reports to the core with its polls, and gets
the sums of all others in return. Such sums are older than most prefills take, so that they are
interpreted by their age (Dahlin, "Interpreting stale load information", 2000): taken as they are,
they would send all routers to the same few runners until the next sums.

| message | effect |
| --- | --- |
| `QueueViews` | replaces the sender's work at these runners, until the next one or its expiry |
"""

from collections.abc import Callable, Sequence
from typing import Any

from linkhaven.runner import Roster, Runner
from linkhaven.runtime import Node

from .estimator import Estimator
from .messages import QueueView, QueueViews
from .outstanding_work import OutstandingWork, WorkFigures
from .prefix_cache import PrefixCacheView

REPORT_LIFETIME_US = 2_500_000
"""How long another router's report counts unless it is renewed."""

RENEW_US = 1_000_000
"""The interval at which a router renews its reports."""

LARGE_FLEET = 16
"""With more other routers than this, views are exchanged through the core."""

FLEET = "fleet"
"""Stands for all other routers together, where a router's name is expected."""

ISOLATED_US = 2_500_000
"""After this long without a message of another router, their queues look like slow runners."""

ALONE_US = 60_000_000
"""After this long without a message of another router, this one counts as the only one."""

Key = tuple[str, int]
"""A runner's name and incarnation."""


class LoadView:
    """Owns the outstanding work of each runner, in memory only; reports of peers expire."""

    __slots__ = (
        "node",
        "roster",
        "peers",
        "estimator",
        "prefix_caches",
        "outstanding",
        "renewed_us",
        "heard_us",
        "sums_taken_us",
        "sums_interval_us",
    )

    def __init__(
        self,
        node: Node,
        roster: Roster,
        peers: Callable[[], Sequence[Any]],
        estimator: Estimator,
        prefix_caches: PrefixCacheView,
    ) -> None:
        """`peers()`: the other running routers. Starts without outstanding work."""
        self.node = node
        self.roster = roster
        self.peers = peers
        self.estimator = estimator
        self.prefix_caches = prefix_caches
        self.outstanding: dict[Key, OutstandingWork] = {}
        self.renewed_us = 0
        self.heard_us = -ALONE_US
        self.sums_taken_us: int | None = None
        self.sums_interval_us = 0

    def is_large(self) -> bool:
        """Whether there are too many routers to send each of them every change.

        Views arrive late then. Each router evaluates only a random sample of runners, so that late
        views don't send all requests to the same least loaded runner.
        """
        return len(self.peers()) > LARGE_FLEET

    def note_heard(self, name: str) -> None:
        """Note that a message of the node `name` arrived."""
        if any(peer.name == name for peer in self.peers()):
            self.heard_us = self.node.now_us()

    def is_isolated(self) -> bool:
        """Whether messages of the other routers have lately stopped arriving."""
        return ISOLATED_US < self.node.now_us() - self.heard_us < ALONE_US

    def work_at(self, runner: Runner) -> OutstandingWork:
        """Return the outstanding work at this incarnation of a runner; creates its record."""
        key = (runner.name, runner.incarnation)
        work = self.outstanding.get(key)
        if work is None:
            self._drop_unused(runner.name)
            work = self.outstanding[key] = OutstandingWork()
        return work

    def _drop_unused(self, name: str) -> None:
        """Drop records of a runner's incarnations at which this router has no work."""
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
        """Return the prompt tokens queued at a runner.

        They are those that the routers know of, plus requests that only the runner's report counts.
        The latter are taken at the mean prompt length, less what was prefilled since the report.
        """
        if self.is_large():
            return self._queued_by_late_reports(runner)
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

    def _queued_by_late_reports(self, runner: Runner) -> float:
        """Return the prompt tokens queued at a runner of a large fleet.

        What it has prefilled since a report is deducted. The routers' sums and the runner's own
        count contain the same requests, so that the larger of the two counts.
        Test: `test_late_reports_leave_most_prompts_in_time`.
        """
        work, now_us = self.work_at(runner), self.node.now_us()
        by_routers: float = work.own().tokens
        if self.sums_taken_us is not None:
            mean_age_us = now_us - self.sums_taken_us + self.sums_interval_us // 2
            by_routers += self._left_of(work.others.tokens, mean_age_us, runner)
        if runner.reported_us is None:
            return by_routers
        reported_tokens = runner.queued * self.estimator.prompt_mean
        age_us = now_us - runner.reported_us
        return max(by_routers, self._left_of(reported_tokens, age_us, runner))

    def _left_of(self, tokens: float, age_us: int, runner: Runner) -> float:
        """Return how many of the tokens that were queued at a runner then are still queued."""
        return max(0.0, tokens - age_us / self.estimator.token_us(runner)) if tokens else 0.0

    def prefill_wait_us(self, runner: Runner) -> int:
        """Return how long the runner takes to prefill its queue, in microseconds."""
        return self.estimator.prefill_us(self.queued_tokens(runner), runner)

    def queue_us(self, runner: Runner, queued_tokens: float, now_us: int) -> int:
        """Return the queue's prefill time, less the time already spent on the first prompt."""
        work = self.work_at(runner)
        longest_us = self.estimator.prefill_us(work.longest_prefill(), runner)
        head_us = min(now_us - work.head_since_us, longest_us)
        return max(0, self.estimator.prefill_us(queued_tokens, runner) - head_us)

    def kv_share(self, runner: Runner) -> float:
        """Return the share of a runner's KV cache in use: as reported, plus changes since then."""
        work = self.work_at(runner)
        held_tokens = work.total().held_tokens
        if runner.reported_us is None:
            return held_tokens / runner.kv_total
        _, held_then = work.at(runner.reported_us)
        return max(0, runner.kv_used + held_tokens - held_then) / runner.kv_total

    def own_rows(self) -> list[list[Any]]:
        """Return rows of this router's work at each runner, for a poll of the core."""
        return [[*key, *work.own()] for key, work in self.outstanding.items() if work.has_own()]

    def take_fleet_sums(self, rows: Sequence[Sequence[Any]]) -> None:
        """Replace the sums of all other routers' work at each runner, as of their last polls.

        All routers poll at about the same interval, so that the sums are half of it old, in the
        mean, when they are taken.
        """
        now_us, named = self.node.now_us(), set()
        if self.sums_taken_us is not None:
            self.sums_interval_us = min(REPORT_LIFETIME_US, now_us - self.sums_taken_us)
        self.sums_taken_us = now_us
        for name, incarnation, *figures in rows:
            named.add((name, incarnation))
            work = self._work_of((name, incarnation))
            work.take_report(FLEET, WorkFigures(*figures), now_us + REPORT_LIFETIME_US, now_us)
        for key, work in self.outstanding.items():
            if key not in named:
                work.drop_report(FLEET, now_us)

    def on_queue_views(self, message: QueueViews) -> None:
        """Replace another router's work at the runners that its message names."""
        now_us = self.node.now_us()
        for view in message.views:
            runner = self.roster.runners.get(view.runner)
            if view.parts and runner is not None:
                self.prefix_caches.note(runner, view.parts)
            figures = WorkFigures(view.count, view.tokens, view.held, view.streams)
            work = self._work_of((view.runner, view.incarnation))
            work.take_report(message.sender, figures, now_us + REPORT_LIFETIME_US, now_us)

    def on_changed(self, runner: Runner, work: OutstandingWork, parts: Sequence[Any] = ()) -> None:
        """Report a change of this router's work at a runner to the other routers.

        `parts`: the shared parts of a prompt that is prefilled there from now on.
        """
        work.note_change(self.node.now_us())
        if self.is_large():
            return
        view = QueueView(runner.name, runner.incarnation, *work.own(), parts)
        self._send_views([view])

    def _send_views(self, views: list[QueueView]) -> None:
        message = QueueViews(views)
        for peer in self.peers():
            self.node.send(peer.address, message)

    def drop_lapsed(self, now_us: int) -> None:
        """Drop reports that other routers did not renew in time."""
        for work in self.outstanding.values():
            work.drop_lapsed(now_us)

    def is_renewal_due(self, now_us: int) -> bool:
        """Whether reports must be renewed now; if so, the next renewal is scheduled."""
        if now_us - self.renewed_us < RENEW_US:
            return False
        self.renewed_us = now_us
        return True

    def renew(self) -> None:
        """Report all outstanding work to the other routers again, since reports expire."""
        if self.is_large():
            return
        views = [QueueView(*row) for row in self.own_rows()]
        if views:
            self._send_views(views)

    def forget_gone(self, names: set[str]) -> None:
        """Drop records of runners that are not among `names` and have no outstanding work."""
        gone = [
            key
            for key, work in self.outstanding.items()
            if key[0] not in names and not any(work.total())
        ]
        for key in gone:
            del self.outstanding[key]
