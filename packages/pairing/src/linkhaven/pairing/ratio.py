"""The search for the number of runners that should prefill."""

from .estimator import DEFAULT_PREFILL_RATE

MIN_GAIN = 0.15
"""The relative drop in utilization for which the count is changed."""

MIN_UTILIZATION = 0.25
"""Below this utilization the count isn't changed."""

SEPARATE_MIN_GAIN = 0.3
SEPARATE_MIN_UTILIZATION = 0.6
"""The same two where decode runners don't prefill."""

TARGET_SLOT_USAGE = 0.6
"""The target share of a decode runner's slots in use."""

SETTLE_US = 2_000_000
"""How long the direction of a change must stay the same before it is made."""

SPARE_DECODE_FROM = 4
"""With at least this many runners a second decode runner is kept, whatever the load."""


class RatioSearch:
    """Chooses how many of a pool's runners should prefill.

    The best count is the one whose busier role is least utilized. It is adopted only after the same
    answer has held for `SETTLE_US` and is clearly better than the present count.

    Attributes: `held_memory` is the KV cache in use and `streams` the running streams, both in
    units of one runner's capacity; both count as decode work. `allows_in_place_prefill`: whether
    decode runners prefill too; without it only prefill runners count for prefill.
    `prefill_rate`: the tokens per second that one runner was measured to prefill, or None for the
    rate of the plan.
    """

    __slots__ = (
        "direction",
        "since_us",
        "target",
        "held_memory",
        "streams",
        "allows_in_place_prefill",
        "prefill_rate",
    )

    def __init__(self):
        """Start without a decision."""
        self.direction = None
        self.since_us = 0
        self.target = None
        self.held_memory = 0.0
        self.streams = 0.0
        self.allows_in_place_prefill = True
        self.prefill_rate = None

    def utilization(self, prefills, runners, prompt_rate, answer_rate, settings):
        """Return the utilization of the busier role if `prefills` of `runners` prefill.

        1 is full capacity. The rates are tokens per second of prompts and of answers.
        """
        decodes = runners - prefills
        rate = self.prefill_rate or settings.prefill_tokens_per_s or DEFAULT_PREFILL_RATE
        if not self.allows_in_place_prefill:
            prefill_usage = prompt_rate / (prefills * rate) if prefills else float("inf")
            return max(
                prefill_usage,
                self.held_memory / decodes,
                self.streams / decodes / TARGET_SLOT_USAGE,
            )
        spare = max(0.0, 1 - answer_rate / (decodes * settings.decode_tokens_per_s))
        prefill_capacity = prefills * rate + decodes * rate * settings.decode_prefill_share * spare
        prefill_usage = (
            prompt_rate / prefill_capacity
            if prefill_capacity
            else float("inf")
            if prompt_rate
            else 0.0
        )
        decode_usage = answer_rate / (decodes * settings.decode_tokens_per_s)
        return max(prefill_usage, decode_usage, self.held_memory / decodes)

    def _max_prefill_count(self, runners):
        """Return the largest number of prefill runners: all but one, in some cases all but two.

        Where decode runners don't prefill, the loss of the only one ends all service until another
        runner has switched roles, whereas without a prefill runner prompts are prefilled in place.
        """
        keeps_spare = not self.allows_in_place_prefill and runners >= SPARE_DECODE_FROM
        return runners - 2 if keeps_spare else runners - 1

    def best_prefill_count(self, runners, prompt_rate, answer_rate, settings):
        """Return the count of least utilization; of equal ones the largest."""
        counts = range(0, self._max_prefill_count(runners) + 1)
        return min(
            counts,
            key=lambda count: (
                self.utilization(count, runners, prompt_rate, answer_rate, settings),
                -count,
            ),
        )

    def next_prefill_count(self, current, runners, prompt_rate, answer_rate, settings, now_us):
        """Return how many of `runners` should prefill now, given that `current` do."""
        if runners < 2 or prompt_rate + answer_rate <= 0:
            self.direction = self.target = None
            return current if self.allows_in_place_prefill or runners < 2 else (runners + 1) // 2
        if current > self._max_prefill_count(runners):
            return self._max_prefill_count(runners)
        gain, idle = (
            (MIN_GAIN, MIN_UTILIZATION)
            if self.allows_in_place_prefill
            else (SEPARATE_MIN_GAIN, SEPARATE_MIN_UTILIZATION)
        )

        def utilization(count):
            return self.utilization(
                min(count, runners - 1), runners, prompt_rate, answer_rate, settings
            )

        if self.target is not None:
            if (
                self.target < runners
                and self.target != current
                and utilization(self.target) < utilization(current)
            ):
                return self.target
            self.target = None
        best = self.best_prefill_count(runners, prompt_rate, answer_rate, settings)
        current_usage = utilization(current)
        if (
            best == current
            or current_usage < idle
            or utilization(best) > current_usage * (1 - gain)
        ):
            self.direction = None
            return current
        direction = 1 if best > current else -1
        if self.direction != direction:
            self.direction = direction
            self.since_us = now_us
        if now_us - self.since_us < SETTLE_US:
            return current
        self.target = best
        return best
