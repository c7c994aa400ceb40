from linkhaven.runner.roster import DECODE

from .fit import LineFit
from .links import Links

SMOOTHING = 0.1
FACTOR_AT_MOST = 4.0


class Estimator:
    """Reading time of a prompt on a runner: a base and a rate, from the plan (halved, as it says, on decode runners)
    until enough reads of differing size were seen and then from these, times a factor learned per runner."""

    __slots__ = ("taichi", "factors", "fits", "prompt_mean", "answer_token_us", "links")

    def __init__(self, now_us):
        self.links = Links(now_us)
        self.taichi = None
        self.factors = {}
        self.fits = {}
        self.prompt_mean = 1_000.0
        self.answer_token_us = 10_000.0

    def rate(self, phase):
        rate = self.taichi["prefill_tokens_per_s"]
        return rate * self.taichi["decode_read_share"] if phase == DECODE else rate

    def read_us(self, tokens, runner):
        if tokens <= 0:
            return 0
        return int(self._plain_us(tokens, runner.phase) * self.factors.get((runner.name, runner.phase), 1.0))

    def _plain_us(self, tokens, phase):
        fit = self.fits.get(phase)
        line = fit.line() if fit is not None else None
        if line is None:
            return self.taichi["read_base_us"] + tokens * 1_000_000 / self.rate(phase)
        return line[0] + tokens * line[1]

    def transfer_us(self, tokens, source=None, target=None):
        planned_us = tokens * self.taichi["kv_bytes_per_token"] * 1_000_000 / self.taichi["link_bytes_per_s"]
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
