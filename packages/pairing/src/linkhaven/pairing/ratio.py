GAIN = 0.15
IDLE = 0.25
SETTLE_US = 2_000_000


class RatioSearch:
    """How many runners should read: the count whose busier part is least busy, changed only
    after the same answer has held for a while and is clearly better. Held memory, in runners' worth,
    counts as decode work."""

    __slots__ = ("side", "since_us", "target", "held")

    def __init__(self):
        self.side = None
        self.since_us = 0
        self.target = None
        self.held = 0.0

    def busy(self, prefills, runners, prompt_rate, answer_rate, taichi):
        decodes = runners - prefills
        fast = taichi["prefill_tokens_per_s"]
        spare = max(0.0, 1 - answer_rate / (decodes * taichi["decode_tokens_per_s"]))
        reading = prefills * fast + decodes * fast * taichi["decode_read_share"] * spare
        read_busy = prompt_rate / reading if reading else float("inf") if prompt_rate else 0.0
        decode_busy = answer_rate / (decodes * taichi["decode_tokens_per_s"])
        return max(read_busy, decode_busy, self.held / decodes)

    def search(self, runners, prompt_rate, answer_rate, taichi):
        counts = range(0, runners)
        return min(counts, key=lambda count: (self.busy(count, runners, prompt_rate, answer_rate, taichi), -count))

    def settle(self, current, runners, prompt_rate, answer_rate, taichi, now_us):
        if runners < 2 or prompt_rate + answer_rate <= 0:
            self.side = self.target = None
            return current

        def busy(count):
            return self.busy(min(count, runners - 1), runners, prompt_rate, answer_rate, taichi)

        if self.target is not None:
            if self.target < runners and self.target != current and busy(self.target) < busy(current):
                return self.target
            self.target = None
        best = self.search(runners, prompt_rate, answer_rate, taichi)
        here = busy(current)
        if best == current or here < IDLE or busy(best) > here * (1 - GAIN):
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
