from linkhaven.runner.roster import DECODE, PREFILL

from .fit import LineFit
from .links import Links

SMOOTHING = 0.1
GUESSED_RATE = 20_000
STREAM_US = 2_000_000
FACTOR_AT_MOST = 4.0
FACTOR_HALF_US = 10_000_000
"""A runner's factor goes back to 1 by half in this time, so that a wrong one doesn't stay."""
LINE_US = 10_000_000
"""How long after its last read a phase's own line counts, where the other phase has one too."""


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
        "now_us",
        "noted_us",
    )

    def __init__(self, now_us):
        self.now_us = now_us
        self.noted_us = {}
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
        return int(self._plain_us(tokens, runner.phase) * self._factor(runner.name, runner.phase))

    def _factor(self, name, phase):
        """How much slower a runner was than its phase's line, as far as that still counts."""
        factor, noted_us = self.factors.get((name, phase), (1.0, 0))
        return 1.0 + (factor - 1.0) * 0.5 ** ((self.now_us() - noted_us) / FACTOR_HALF_US)

    def _plain_us(self, tokens, phase):
        line = self._line(phase)
        if line is None:
            return self.taichi["read_base_us"] + tokens * 1_000_000 / self.rate(phase)
        return line[0] + tokens * line[1]

    def _line(self, phase):
        """Base and time a token, in microseconds, as seen; None before enough was seen.

        Decode runners read at a share of the pace (`decode_read_share`), so that either phase's
        line tells the other's. Test: `test_a_decode_runner_is_taken_to_read_about_as_fast_...`.
        """
        if self.taichi is None or self.taichi["prefill_tokens_per_s"]:
            return None
        own = self._seen_line(phase)
        if own is not None and self.now_us() - self.noted_us[phase] < LINE_US:
            return own
        other = self._seen_line(PREFILL if phase == DECODE else DECODE)
        if other is None:
            return own
        share = self.taichi["decode_read_share"]
        base_us, token_us = other
        return base_us, token_us / share if phase == DECODE else token_us * share

    def _seen_line(self, phase):
        fit = self.fits.get(phase)
        return fit.line() if fit is not None else None

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
        key, now_us = (runner_name, phase), self.now_us()
        factor = self._factor(*key)
        predicted_us = self._plain_us(tokens, phase) * factor
        fit = self.fits.get(phase)
        if fit is None:
            fit = self.fits[phase] = LineFit()
        fit.note(tokens, seen_us)
        self.noted_us[phase] = now_us
        factor += SMOOTHING * (factor * seen_us / predicted_us - factor)
        self.factors[key] = (min(FACTOR_AT_MOST, max(1 / FACTOR_AT_MOST, factor)), now_us)
