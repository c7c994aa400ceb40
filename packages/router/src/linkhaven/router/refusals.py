"""Logs refusals for lack of runner capacity, with the load of the runners at that time."""

from collections import Counter

REPORT_INTERVAL_US = 2_000_000
"""Least interval between two reports."""

CAPACITY_ERRORS = frozenset(("no_runner", "queue_full"))
"""Refusals because of the runners, not of the client or its group's credit."""


class RefusalReport:
    """Counts refusals by cause and logs the counts, with this router's view of each open runner.

    A single refusal shows what it waited for, but not what filled the queue. Two seconds of
    refusals together with the load of the runners tell a lack of runners from a queue that one
    request kind filled. Nothing is logged without such refusals.
    """

    __slots__ = ("node", "roster", "placement", "causes", "logged_us")

    def __init__(self, node, roster, placement):
        """Start with no refusals counted."""
        self.node = node
        self.roster = roster
        self.placement = placement
        self.causes = Counter()
        self.logged_us = node.now_us()
        node.tick_handlers.append(self.tick)

    def note(self, error):
        """Count a refusal if it was for lack of runner capacity."""
        if error.code in CAPACITY_ERRORS:
            self.causes[error.detail.get("why") or error.code] += 1

    def tick(self, now_us):
        """Log the counts, at most once in `REPORT_INTERVAL_US`."""
        if not self.causes or now_us - self.logged_us < REPORT_INTERVAL_US:
            return
        self.logged_us = now_us
        causes, self.causes = dict(self.causes), Counter()
        runners = [self._runner_row(runner) for runner in self.roster.open_runners()]
        self.node.ports.log(2107, causes=causes, runners=runners)

    def _runner_row(self, runner):
        """Name, phase, waiting prompts, their tokens, queued tokens, streams, KV cache share."""
        waiting, tokens, _, streams = self.placement.load.work_at(runner).total()
        return [
            runner.name,
            runner.phase,
            waiting,
            tokens,
            int(self.placement.load.queued_tokens(runner)),
            streams,
            round(self.placement.load.kv_share(runner), 2),
        ]
