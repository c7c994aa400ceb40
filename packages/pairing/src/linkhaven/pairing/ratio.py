from .estimator import DEFAULT_PREFILL_RATE

GAIN = 0.15
IDLE = 0.25
APART_GAIN = 0.3
APART_IDLE = 0.6
COMFORT = 0.6
SETTLE_US = 2_000_000
SPARED_FROM = 4
"""From how many runners on a second decode runner is kept, whatever the load."""


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
        "side",
        "since_us",
        "target",
        "held_memory",
        "streams",
        "allows_in_place_prefill",
        "prefill_rate",
    )

    def __init__(self):
        self.side = None
        self.since_us = 0
        self.target = None
        self.held_memory = 0.0
        self.streams = 0.0
        self.allows_in_place_prefill = True
        self.prefill_rate = None

    def utilization(self, prefills, runners, prompt_rate, answer_rate, settings):
        decodes = runners - prefills
        fast = self.prefill_rate or settings.prefill_tokens_per_s or DEFAULT_PREFILL_RATE
        if not self.allows_in_place_prefill:
            read_busy = prompt_rate / (prefills * fast) if prefills else float("inf")
            return max(read_busy, self.held_memory / decodes, self.streams / decodes / COMFORT)
        spare = max(0.0, 1 - answer_rate / (decodes * settings.decode_tokens_per_s))
        reading = prefills * fast + decodes * fast * settings.decode_prefill_share * spare
        read_busy = prompt_rate / reading if reading else float("inf") if prompt_rate else 0.0
        decode_busy = answer_rate / (decodes * settings.decode_tokens_per_s)
        return max(read_busy, decode_busy, self.held_memory / decodes)

    def _most_readers(self, runners):
        """All but one; all but two where reading and decoding are apart and there are some more.

        There the loss of the only decode runner ends all service until another has switched, while
        without a reader prompts are read in place.
        """
        is_spared = not self.allows_in_place_prefill and runners >= SPARED_FROM
        return runners - 2 if is_spared else runners - 1

    def best_prefill_count(self, runners, prompt_rate, answer_rate, settings):
        counts = range(0, self._most_readers(runners) + 1)
        return min(
            counts,
            key=lambda count: (
                self.utilization(count, runners, prompt_rate, answer_rate, settings),
                -count,
            ),
        )

    def next_prefill_count(self, current, runners, prompt_rate, answer_rate, settings, now_us):
        if runners < 2 or prompt_rate + answer_rate <= 0:
            self.side = self.target = None
            return current if self.allows_in_place_prefill or runners < 2 else (runners + 1) // 2
        if current > self._most_readers(runners):
            return self._most_readers(runners)
        gain, idle = (GAIN, IDLE) if self.allows_in_place_prefill else (APART_GAIN, APART_IDLE)

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
        here = utilization(current)
        if best == current or here < idle or utilization(best) > here * (1 - gain):
            self.side = None
            return current
        side = 1 if best > current else -1
        if self.side != side:
            self.side = side
            self.since_us = now_us
        if now_us - self.since_us < SETTLE_US:
            return current
        self.target = best
        return best
