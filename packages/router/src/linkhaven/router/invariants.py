"""Invariants of placement at every router, checked in the running code and counted.

| name | invariant | incident or symptom without it |
| --- | --- | --- |
| `refused_beside_idle_runners` | no request is refused for lack of a runner while all are idle | RECOVER |
| `late_work_beyond_room` | late requests join no queue beyond the limit of their group | RECOVER |
| `held_too_long` | with `hold_share` set, no request is held much longer | refusals near the deadline |
"""

from collections import Counter

from linkhaven.runner.roster import DECODE

LOG_INTERVAL_US = 2_000_000
"""Least interval between two log events of the same invariant; each violation is counted."""

HELD_MARGIN_US = 500_000
"""Tolerance for delays of a busy event loop, added to the time a request may be held."""


class PlacementInvariants:
    """Counts violations by name; logs event 1902, at most once in `LOG_INTERVAL_US` for each."""

    __slots__ = ("node", "placement", "violations", "logged_us")

    def __init__(self, node, placement):
        """Start with no violations."""
        self.node = node
        self.placement = placement
        self.violations = Counter()
        self.logged_us = {}

    def check_refusal(self, request, decision):
        """Check a request that is about to be refused for lack of a runner."""
        runners = self.placement.open_runners(request.pool)
        can_serve = [runner for runner in runners if self._can_decode(runner, request)]
        soonest_us = min((each.total_us for each in decision.candidates), default=None)
        has_prospect = (
            soonest_us is not None and self.node.now_us() + soonest_us < request.deadline_us
        )
        if (
            has_prospect
            and can_serve
            and not any(self.placement.load.work_at(runner).total().count for runner in runners)
        ):
            names = [runner.name for runner in can_serve]
            self._record_violation("refused_beside_idle_runners", request=request.id, runners=names)
        self.check_hold(request)

    def check_placement(self, request, decision, queue_limit_us):
        """Check a request that is about to be placed though no runner can answer it in time."""
        winner = decision.winner
        if decision.exception is not None and not winner.has_room:
            self._record_violation(
                "late_work_beyond_room",
                request=request.id,
                wait_us=winner.queue_wait_us,
                room_us=queue_limit_us,
            )

    def check_hold(self, request):
        """Check a request that ends without having been placed."""
        hold_share = self.node.bounds.hold_share
        if hold_share is None or not request.kind:
            return
        held_us = self.node.now_us() - max(request.arrived_us, self.node.undisturbed_since_us)
        if held_us > request.kind.ttft_us * hold_share + HELD_MARGIN_US:
            self._record_violation("held_too_long", request=request.id, held_us=held_us)

    def _can_decode(self, runner, request):
        if runner.phase != DECODE or not self.placement.fits(runner, request.prompt_tokens):
            return False
        streams = self.placement.load.work_at(runner).total().streams
        return not runner.slots or streams < runner.slots

    def _record_violation(self, name, **facts):
        self.violations[name] += 1
        now_us = self.node.now_us()
        if now_us - self.logged_us.get(name, -LOG_INTERVAL_US) < LOG_INTERVAL_US:
            return
        self.logged_us[name] = now_us
        self.node.ports.log(1902, invariant=name, count=self.violations[name], **facts)
