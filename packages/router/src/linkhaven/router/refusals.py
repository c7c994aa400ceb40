"""Tells in the log what was refused for want of a runner, and how the runners stood then."""

from collections import Counter

REPORT_INTERVAL_US = 2_000_000
"""How often a router that refuses tells of it, at most."""

CAPACITY_ERRORS = frozenset(("no_runner", "queue_full"))
"""Refusals that speak of the runners, not of the caller or of its group's credit."""


class RefusalReport:
    """Counts refusals by cause and logs them, with each open runner as this router sees it.

    A single refusal says what it waited for, but not what stood in the queue. Two seconds of
    refusals and one look at the runners tell a lack of runners from a queue that one kind of
    request filled. A router that refuses nothing for want of a runner logs nothing.
    """

    __slots__ = ("node", "roster", "placement", "causes", "logged_us")

    def __init__(self, node, roster, placement):
        """Nothing is counted yet."""
        self.node = node
        self.roster = roster
        self.placement = placement
        self.causes = Counter()
        self.logged_us = node.now_us()
        node.systems.append(self.tick)

    def note(self, error):
        """Count a refusal, if it was for want of a runner."""
        if error.code in CAPACITY_ERRORS:
            self.causes[error.detail.get("why") or error.code] += 1

    def tick(self, now_us):
        """Log what was counted, at most once in `REPORT_INTERVAL_US`."""
        if not self.causes or now_us - self.logged_us < REPORT_INTERVAL_US:
            return
        self.logged_us = now_us
        causes, self.causes = dict(self.causes), Counter()
        runners = [self._runner_row(runner) for runner in self.roster.open_runners()]
        self.node.ports.log(2107, causes=causes, runners=runners)

    def _runner_row(self, runner):
        """Name, phase, prompts waiting, prompt tokens to read, streams, share of its memory."""
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
