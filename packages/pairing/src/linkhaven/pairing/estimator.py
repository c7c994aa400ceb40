from linkhaven.configuration import PlacementSettings
from linkhaven.runner.roster import DECODE, PREFILL

from .fit import PARTS, LineFit
from .links import LinkSlowdowns
from .recent import RecentMean

SMOOTHING = 0.1
GUESSED_RATE = 20_000
STREAM_US = 2_000_000
FACTOR_AT_MOST = 4.0
FACTOR_HALF_US = 10_000_000
"""A runner's factor goes back to 1 by half in this time, so that a wrong one doesn't stay."""
ABOVE_SHARE = 0.1
"""How much a read above the line counts: it met a queue that nobody knew of, so that the line
follows the reads that met none."""

LEAST_TOKEN_US = 0.001
"""No runner is taken to read a token sooner than this."""

LINE_US = 10_000_000
"""How long after its last read a phase's own line counts, where the other phase has one too."""


class Estimator:
    """Reading time of a prompt on a runner.

    A base and a rate from the plan (halved, as it says, on decode runners), or, where the plan
    tells no rate, a line learned from the reads that were seen; times a factor learned per runner.
    In a large fleet (`are_views_late`) that line is of the reads that all routers saw, by way of
    the core, and before anything was seen a read counts as nothing, so that the first prompts are
    placed and show the rate. Test: tests/test_shared_lines.py.
    """

    __slots__ = (
        "settings",
        "factors",
        "fits",
        "stream_us",
        "prompt_mean",
        "answer_token_us",
        "links",
        "now_us",
        "are_views_late",
        "noted_us",
        "others",
        "others_wait",
        "waits",
    )

    def __init__(self, now_us, are_views_late=lambda: False):
        """`are_views_late()`: whether other routers' queues are known too late to be told from a slow
        runner.
        """
        self.now_us = now_us
        self.are_views_late = are_views_late
        self.noted_us = {}
        self.links = LinkSlowdowns(now_us)
        self.settings: PlacementSettings | None = None
        self.factors = {}
        self.fits = {}
        self.others = {}
        self.others_wait = {}
        self.waits = {}
        self.stream_us = STREAM_US
        self.prompt_mean = 1_000.0
        self.answer_token_us = 10_000.0

    def planned_rate(self, phase):
        rate = self.settings.prefill_tokens_per_s or GUESSED_RATE
        return rate * self.settings.decode_prefill_share if phase == DECODE else rate

    def knows_rate(self, phase):
        """Whether the plan or any read has told how fast runners of a phase read."""
        return bool(self.settings.prefill_tokens_per_s) or self._line(phase) is not None

    def known_rate(self, phase):
        """Tokens a second that a runner reads; 0 where neither the plan nor any read told it."""
        line = self._line(phase)
        if line is not None:
            return int(1_000_000 / max(LEAST_TOKEN_US, line[1]))
        return self.planned_rate(phase) if self.settings.prefill_tokens_per_s else 0

    def prefill_us(self, tokens, runner):
        if tokens <= 0:
            return 0
        return int(self._plain_us(tokens, runner.phase) * self._factor(runner.name, runner.phase))

    def _factor(self, name, phase):
        """How much slower a runner was than its phase's line, as far as that still counts."""
        factor, noted_us = self.factors.get((name, phase), (1.0, 0))
        return 1.0 + (factor - 1.0) * 0.5 ** ((self.now_us() - noted_us) / FACTOR_HALF_US)

    def _plain_us(self, tokens, phase):
        line = self._line(phase)
        if line is None and self.are_views_late() and not self.settings.prefill_tokens_per_s:
            return 0
        if line is None:
            return self.settings.prefill_base_us + tokens * 1_000_000 / self.planned_rate(phase)
        return line[0] + tokens * line[1]

    def _line(self, phase):
        """Base and time a token, in microseconds, as seen; None before enough was seen.

        Decode runners read at a share of the pace (`decode_read_share`), so that either phase's
        line tells the other's. Test: `test_a_decode_runner_is_taken_to_read_about_as_fast_...`.
        """
        if self.settings is None or self.settings.prefill_tokens_per_s:
            return None
        own = self._seen_line(phase)
        is_recent = self.now_us() - self.noted_us.get(phase, -LINE_US) < LINE_US
        if own is not None and (is_recent or phase in self.others):
            return own
        other_phase = PREFILL if phase == DECODE else DECODE
        other = self._seen_line(other_phase)
        if other is not None:
            return self._converted(other, phase)
        return own or (self._rough_line(phase, other_phase) if self.are_views_late() else None)

    def _converted(self, line, phase):
        """The line of a phase as the other phase's tells it."""
        share = self.settings.decode_prefill_share
        base_us, token_us = line
        return base_us, token_us / share if phase == DECODE else token_us * share

    def _rough_line(self, phase, other_phase):
        """What the first reads tell, before their sizes tell the base from the rate."""
        own, other = self._samples(phase), self._samples(other_phase)
        if own is not None and own.rough_line() is not None:
            return own.rough_line()
        line = other.rough_line() if other is not None else None
        return None if line is None else self._converted(line, phase)

    def _samples(self, phase):
        """The reads of a phase that all routers saw, None where there were none."""
        fit, others = self.fits.get(phase), self.others.get(phase)
        if others is not None:
            return (fit or LineFit()).plus(others)
        return fit

    def _seen_line(self, phase):
        samples = self._samples(phase)
        return samples.line() if samples is not None else None

    def own_rows(self):
        """Return the sums of the reads that this router saw lately, for the other routers."""
        now_us = self.now_us()
        return [
            [phase, 0, *fit.as_row(), *self._wait_of(phase).as_row(now_us)]
            for phase, fit in self.fits.items()
            if now_us - self.noted_us[phase] < LINE_US
        ]

    def take_others(self, rows):
        """Take the sums of the reads that all other routers saw lately."""
        self.others = {phase: sums[: len(PARTS)] for phase, _, *sums in rows}
        self.others_wait = {phase: sums[len(PARTS) :] for phase, _, *sums in rows}

    def _wait_of(self, phase):
        wait = self.waits.get(phase)
        if wait is None:
            wait = self.waits[phase] = RecentMean()
        return wait

    def wait_us(self, phase):
        """How much longer than the line says reads took lately, at all runners of a phase.

        That is their queues, as far as no view tells of them in time.
        """
        return self._wait_of(phase).with_others(self.others_wait.get(phase, ()), self.now_us())

    def learned_prefill_rate(self):
        """Tokens a second that reading runners were seen to read, 0 before enough was seen."""
        line = self._line(PREFILL)
        return int(1_000_000 / line[1]) if line is not None else 0

    def token_us(self, runner):
        """How long one more prompt token takes there."""
        line = self._line(runner.phase)
        return max(LEAST_TOKEN_US, line[1]) if line else 1_000_000 / self.planned_rate(runner.phase)

    def transfer_us(self, tokens, source=None, target=None):
        planned_us = (
            tokens * self.settings.kv_bytes_per_token * 1_000_000 / self.settings.link_bytes_per_s
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

    def note_prefill(self, runner_name, phase, tokens, seen_us):
        """A read of so many tokens that met no known queue took so long.

        Where queues are not known in time, one above the line may have met one, and counts less.
        """
        if tokens <= 0:
            return
        key, now_us = (runner_name, phase), self.now_us()
        factor = self._factor(*key)
        predicted_us = self._plain_us(tokens, phase) * factor
        fit = self.fits.get(phase)
        if fit is None:
            fit = self.fits[phase] = LineFit()
        line, above = self._seen_line(phase), ABOVE_SHARE if self.are_views_late() else 1.0
        is_above = line is not None and seen_us > line[0] + tokens * line[1]
        fit.note(tokens, seen_us, above if is_above else 1.0)
        if line is not None:
            self._wait_of(phase).note(max(0.0, seen_us - line[0] - tokens * line[1]), now_us)
        self.noted_us[phase] = now_us
        if predicted_us > 0:
            share = above if seen_us > predicted_us else 1.0
            factor += share * SMOOTHING * (factor * seen_us / predicted_us - factor)
        self.factors[key] = (min(FACTOR_AT_MOST, max(1 / FACTOR_AT_MOST, factor)), now_us)
