"""Estimates of prefill, transfer and decode times, from the plan and from measured requests."""

from linkhaven.configuration import PlacementSettings
from linkhaven.runner.roster import DECODE, PREFILL

from .line_fit import PARTS, LineFit
from .link_slowdowns import LinkSlowdowns
from .recent_mean import RecentMean

SMOOTHING = 0.1
"""The weight of a new sample in exponential moving averages."""

DEFAULT_PREFILL_RATE = 20_000
"""Prompt tokens per second that a prefill runner is assumed to prefill before anything is known."""

DEFAULT_STREAM_US = 2_000_000
"""The assumed duration of a stream before any was measured."""

MAX_FACTOR = 4.0
"""A runner's slowdown factor is kept between this and its reciprocal."""

FACTOR_HALF_LIFE_US = 10_000_000
"""The half-life with which a runner's factor returns to 1, so that a wrong one doesn't persist."""

ABOVE_LINE_WEIGHT = 0.1
"""The weight of a prefill that took longer than the line says, where queues are known late: most
likely it met a queue that wasn't reported yet, and the line is to follow prefills that met none."""

MIN_TOKEN_US = 0.001
"""The lower bound of the estimated time per prompt token."""

LINE_LIFETIME_US = 10_000_000
"""How long after its last prefill a phase's own line is preferred to one converted from the other
phase's."""


class Estimator:
    """Estimates how long runners take to prefill prompts, transfer KV caches and decode answers.

    The prefill time is a base plus a time per token, times a slowdown factor learned per runner.
    Base and rate come from the plan (decode runners prefill at its `decode_prefill_share` of the
    rate); if the plan has no rate, they are a line fitted to measured prefills. In a large fleet
    (`are_views_late`) the line is fitted to the prefills that all routers measured, exchanged
    through the core. Before any is known a prefill is estimated as 0 there, so that the first
    prompts are placed and yield samples. Test: tests/test_shared_lines.py.
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
        "merged_samples",
    )

    def __init__(self, now_us, are_views_late=lambda: False):
        """`are_views_late()`: other routers' queues are known too late to be told from slowness."""
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
        self.merged_samples: dict[str, LineFit] = {}
        self.stream_us = DEFAULT_STREAM_US
        self.prompt_mean = 1_000.0
        self.answer_token_us = 10_000.0

    def planned_rate(self, phase):
        """Return the prompt tokens per second of the plan, else `DEFAULT_PREFILL_RATE`."""
        rate = self.settings.prefill_tokens_per_s or DEFAULT_PREFILL_RATE
        return rate * self.settings.decode_prefill_share if phase == DECODE else rate

    def knows_rate(self, phase):
        """Whether the rate of a phase's runners is known, from the plan or a measured prefill."""
        return bool(self.settings.prefill_tokens_per_s) or self._line(phase) is not None

    def known_rate(self, phase):
        """Return the prompt tokens per second of a phase's runners, or 0 while it isn't known."""
        line = self._line(phase)
        if line is not None:
            return int(1_000_000 / max(MIN_TOKEN_US, line[1]))
        return self.planned_rate(phase) if self.settings.prefill_tokens_per_s else 0

    def prefill_us(self, tokens, runner):
        """Return the estimated time to prefill this many tokens at a runner, in microseconds."""
        if tokens <= 0:
            return 0
        return int(self._line_us(tokens, runner.phase) * self._factor(runner.name, runner.phase))

    def _factor(self, name, phase):
        """Return a runner's slowdown against its phase's line, decayed towards 1."""
        factor, noted_us = self.factors.get((name, phase), (1.0, 0))
        return 1.0 + (factor - 1.0) * 0.5 ** ((self.now_us() - noted_us) / FACTOR_HALF_LIFE_US)

    def _line_us(self, tokens, phase):
        line = self._line(phase)
        if line is None and self.are_views_late() and not self.settings.prefill_tokens_per_s:
            return 0
        if line is None:
            return self.settings.prefill_base_us + tokens * 1_000_000 / self.planned_rate(phase)
        return line[0] + tokens * line[1]

    def _line(self, phase):
        """Return the learned base and time per token in microseconds, or None without a line.

        Decode runners prefill at a fixed share of the rate (`decode_prefill_share`), so that either
        phase's line can be converted to the other's.
        Test: `test_a_decode_runner_is_taken_to_read_about_as_fast_as_it_does`.
        """
        if self.settings is None or self.settings.prefill_tokens_per_s:
            return None
        own = self._measured_line(phase)
        is_recent = self.now_us() - self.noted_us.get(phase, -LINE_LIFETIME_US) < LINE_LIFETIME_US
        if own is not None and (is_recent or phase in self.others):
            return own
        other_phase = PREFILL if phase == DECODE else DECODE
        other = self._measured_line(other_phase)
        if other is not None:
            return self._converted(other, phase)
        return own or (self._rough_line(phase, other_phase) if self.are_views_late() else None)

    def _converted(self, line, phase):
        """Return the line of `phase` that follows from `line` of the other phase."""
        share = self.settings.decode_prefill_share
        base_us, token_us = line
        return base_us, token_us / share if phase == DECODE else token_us * share

    def _rough_line(self, phase, other_phase):
        """Return a line without a base, while sizes are too alike to separate base and rate."""
        own, other = self._samples(phase), self._samples(other_phase)
        if own is not None and own.rough_line() is not None:
            return own.rough_line()
        line = other.rough_line() if other is not None else None
        return None if line is None else self._converted(line, phase)

    def _samples(self, phase):
        """Return the fit of a phase's prefills at all routers, or None without any.

        One decision asks for it many times, so that the sum with the other routers' samples is kept
        until either changes.
        """
        fit, others = self.fits.get(phase), self.others.get(phase)
        if others is None:
            return fit
        merged = self.merged_samples.get(phase)
        if merged is None:
            merged = self.merged_samples[phase] = (fit or LineFit()).plus(others)
        return merged

    def _measured_line(self, phase):
        samples = self._samples(phase)
        return samples.line() if samples is not None else None

    def own_rows(self):
        """Return rows of the sums of this router's recent prefills, for the other routers."""
        now_us = self.now_us()
        return [
            [phase, 0, *fit.as_row(), *self._wait_samples(phase).as_row(now_us)]
            for phase, fit in self.fits.items()
            if now_us - self.noted_us[phase] < LINE_LIFETIME_US
        ]

    def take_others(self, rows):
        """Replace the sums of the prefills that all other routers measured lately."""
        self.merged_samples.clear()
        self.others = {phase: sums[: len(PARTS)] for phase, _, *sums in rows}
        self.others_wait = {phase: sums[len(PARTS) :] for phase, _, *sums in rows}

    def _wait_samples(self, phase):
        wait = self.waits.get(phase)
        if wait is None:
            wait = self.waits[phase] = RecentMean()
        return wait

    def wait_us(self, phase):
        """Return by how much recent prefills of a phase exceeded the line, on the average.

        This estimates the queues that weren't reported in time.
        """
        return self._wait_samples(phase).with_others(self.others_wait.get(phase, ()), self.now_us())

    def learned_prefill_rate(self):
        """Return the measured prompt tokens per second of prefill runners, or 0 without a line."""
        line = self._line(PREFILL)
        return int(1_000_000 / line[1]) if line is not None else 0

    def token_us(self, runner):
        """Return how long one more prompt token takes at a runner, in microseconds."""
        line = self._line(runner.phase)
        return max(MIN_TOKEN_US, line[1]) if line else 1_000_000 / self.planned_rate(runner.phase)

    def transfer_us(self, tokens, source=None, target=None):
        """Return the time to transfer the KV cache of these tokens, by the plan's link bandwidth.

        With a target it is scaled by the measured slowdown of the link.
        """
        planned_us = (
            tokens * self.settings.kv_bytes_per_token * 1_000_000 / self.settings.link_bytes_per_s
        )
        return int(planned_us * (self.links.factor(source, target) if target is not None else 1.0))

    def note_transfer(self, source, target, tokens, seen_us):
        """Learn from a measured transfer; return a sample for the other routers or None."""
        return self.links.note(source, target, self.transfer_us(tokens), seen_us)

    def forget(self, names):
        """Drop what was learned of runners that are not among `names`."""
        for key in [key for key in self.factors if key[0] not in names]:
            del self.factors[key]
        self.links.forget(names)

    def answer_us(self, tokens):
        """Return the estimated time to decode this many tokens, in microseconds."""
        return int(tokens * self.answer_token_us)

    def note_answer(self, tokens, span_us):
        """Learn from a complete answer."""
        self.stream_us += SMOOTHING * (span_us - self.stream_us)
        self.answer_token_us += SMOOTHING * (span_us / max(1, tokens) - self.answer_token_us)

    def note_prompt(self, tokens):
        """Learn the mean length of prompts, without cached tokens."""
        self.prompt_mean += SMOOTHING * (tokens - self.prompt_mean)

    def note_prefill(self, runner_name, phase, tokens, seen_us):
        """Learn from a prefill of `tokens` that took `seen_us` and met no known queue.

        Where queues are known late, one that took longer than the line says may have met an unknown
        queue, and weighs less (`ABOVE_LINE_WEIGHT`).
        """
        if tokens <= 0:
            return
        key, now_us = (runner_name, phase), self.now_us()
        factor = self._factor(*key)
        predicted_us = self._line_us(tokens, phase) * factor
        fit = self.fits.get(phase)
        if fit is None:
            fit = self.fits[phase] = LineFit()
        line, above = self._measured_line(phase), 1.0
        if self.are_views_late():
            line, above = line or self._samples(phase).rough_line(), ABOVE_LINE_WEIGHT
        is_above = line is not None and seen_us > line[0] + tokens * line[1]
        fit.note(tokens, seen_us, above if is_above else 1.0)
        self.merged_samples.pop(phase, None)
        if line is not None:
            self._wait_samples(phase).note(max(0.0, seen_us - line[0] - tokens * line[1]), now_us)
        self.noted_us[phase] = now_us
        if predicted_us > 0:
            share = above if seen_us > predicted_us else 1.0
            factor += share * SMOOTHING * (factor * seen_us / predicted_us - factor)
        self.factors[key] = (min(MAX_FACTOR, max(1 / MAX_FACTOR, factor)), now_us)
