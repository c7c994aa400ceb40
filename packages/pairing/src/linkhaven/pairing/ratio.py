from .estimator import GUESSED_RATE

GAIN = 0.15
IDLE = 0.25
APART_GAIN = 0.3
APART_IDLE = 0.6
COMFORT = 0.6
SETTLE_US = 2_000_000
SPARED_FROM = 4
"""From how many runners on a second decode runner is kept, whatever the load."""


class RatioSearch:
    """How many runners should read: the count whose busier part is least busy, changed only
    after the same answer has held for a while and is clearly better. Held memory and streams, in runners' worth,
    count as decode work. Where long prompts aren't read in place, only reading runners count for reading; `pace` is
    the tokens a second that one was seen to read, None for what the plan says."""

    __slots__ = ("side", "since_us", "target", "held", "streams", "is_in_place", "pace")

    def __init__(self):
        self.side = None
        self.since_us = 0
        self.target = None
        self.held = 0.0
        self.streams = 0.0
        self.is_in_place = True
        self.pace = None

    def busy(self, prefills, runners, prompt_rate, answer_rate, settings):
        decodes = runners - prefills
        fast = self.pace or settings.prefill_tokens_per_s or GUESSED_RATE
        if not self.is_in_place:
            read_busy = prompt_rate / (prefills * fast) if prefills else float("inf")
            return max(read_busy, self.held / decodes, self.streams / decodes / COMFORT)
        spare = max(0.0, 1 - answer_rate / (decodes * settings.decode_tokens_per_s))
        reading = prefills * fast + decodes * fast * settings.decode_prefill_share * spare
        read_busy = prompt_rate / reading if reading else float("inf") if prompt_rate else 0.0
        decode_busy = answer_rate / (decodes * settings.decode_tokens_per_s)
        return max(read_busy, decode_busy, self.held / decodes)

    def _most_readers(self, runners):
        """All but one; all but two where reading and decoding are apart and there are some more.

        There the loss of the only decode runner ends all service until another has switched, while
        without a reader prompts are read in place.
        """
        is_spared = not self.is_in_place and runners >= SPARED_FROM
        return runners - 2 if is_spared else runners - 1

    def search(self, runners, prompt_rate, answer_rate, settings):
        counts = range(0, self._most_readers(runners) + 1)
        return min(
            counts,
            key=lambda count: (
                self.busy(count, runners, prompt_rate, answer_rate, settings),
                -count,
            ),
        )

    def settle(self, current, runners, prompt_rate, answer_rate, settings, now_us):
        if runners < 2 or prompt_rate + answer_rate <= 0:
            self.side = self.target = None
            return current if self.is_in_place or runners < 2 else (runners + 1) // 2
        if current > self._most_readers(runners):
            return self._most_readers(runners)
        gain, idle = (GAIN, IDLE) if self.is_in_place else (APART_GAIN, APART_IDLE)

        def busy(count):
            return self.busy(min(count, runners - 1), runners, prompt_rate, answer_rate, settings)

        if self.target is not None:
            if (
                self.target < runners
                and self.target != current
                and busy(self.target) < busy(current)
            ):
                return self.target
            self.target = None
        best = self.search(runners, prompt_rate, answer_rate, settings)
        here = busy(current)
        if best == current or here < idle or busy(best) > here * (1 - gain):
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
