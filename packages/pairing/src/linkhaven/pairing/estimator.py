from linkhaven.runner.roster import DECODE, PREFILL

from .fit import LineFit
from .links import Links

SMOOTHING = 0.1
GUESSED_RATE = 20_000
STREAM_US = 2_000_000
FACTOR_AT_MOST = 4.0


class Estimator:
    """Reading time of a prompt on a runner: a base and a rate from the plan (halved, as it says, on decode runners), or,
    where the plan tells no rate, a line learned from the reads that were seen; times a factor learned per runner."""

    __slots__ = (
        "taichi",
        "factors",
        "fits",
        "stream_us",
        "prompt_mean",
        "answer_token_us",
        "links",
    )

    def __init__(self, now_us):
        self.links = Links(now_us)
        self.taichi = None
        self.factors = {}
        self.fits = {}
        self.stream_us = STREAM_US
        self.prompt_mean = 1_000.0
        self.answer_token_us = 10_000.0

    def rate(self, phase):
        rate = self.taichi["prefill_tokens_per_s"] or GUESSED_RATE
        return rate * self.taichi["decode_read_share"] if phase == DECODE else rate

    def read_us(self, tokens, runner):
        if tokens <= 0:
            return 0
        return int(
            self._plain_us(tokens, runner.phase)
            * self.factors.get((runner.name, runner.phase), 1.0)
        )

    def _plain_us(self, tokens, phase):
        line = self._line(phase)
        if line is None:
            return self.taichi["read_base_us"] + tokens * 1_000_000 / self.rate(phase)
        return line[0] + tokens * line[1]

    def _line(self, phase):
        if self.taichi is None or self.taichi["prefill_tokens_per_s"] or phase not in self.fits:
            return None
        return self.fits[phase].line()

    def seen_rate(self):
        """Tokens a second that reading runners were seen to read, 0 before enough was seen."""
        line = self._line(PREFILL)
        return int(1_000_000 / line[1]) if line is not None else 0

    def token_us(self, runner):
        """How long one more prompt token takes there."""
        line = self._line(runner.phase)
        return line[1] if line is not None else 1_000_000 / self.rate(runner.phase)

    def transfer_us(self, tokens, source=None, target=None):
        planned_us = (
            tokens * self.taichi["kv_bytes_per_token"] * 1_000_000 / self.taichi["link_bytes_per_s"]
        )
        return int(planned_us * (self.links.factor(source, target) if target is not None else 1.0))

    def note_transfer(self, source, target, tokens, seen_us):
        return self.links.note(source, target, self.transfer_us(tokens), seen_us)

    def forget(self, names):
        for key in [key for key in self.factors if key[0] not in names]:
            del self.factors[key]
        self.links.forget(names)

    def answer_us(self, tokens):
        return int(tokens * self.answer_token_us)

    def note_answer(self, tokens, span_us):
        self.stream_us += SMOOTHING * (span_us - self.stream_us)
        self.answer_token_us += SMOOTHING * (span_us / max(1, tokens) - self.answer_token_us)

    def note_prompt(self, tokens):
        self.prompt_mean += SMOOTHING * (tokens - self.prompt_mean)

    def note_read(self, runner_name, phase, tokens, seen_us):
        """A read of so many tokens that met no queue took so long."""
        if tokens <= 0:
            return
        predicted_us = self._plain_us(tokens, phase) * self.factors.get((runner_name, phase), 1.0)
        fit = self.fits.get(phase)
        if fit is None:
            fit = self.fits[phase] = LineFit()
        fit.note(tokens, seen_us)
        key = (runner_name, phase)
        factor = self.factors.get(key, 1.0)
        wanted = factor * seen_us / predicted_us
        factor += SMOOTHING * (wanted - factor)
        self.factors[key] = min(FACTOR_AT_MOST, max(1 / FACTOR_AT_MOST, factor))
