"""Load balancing and outlier ejection for runners without an engine, by their answers alone.

Such a runner gives no report. Each router keeps decayed counts of answers, failures and busy time
per runner, and gets the sums of all other routers through the core. They determine

- load balancing: two runners are drawn with probabilities proportional to their speed, and the one
  with the smaller share of its slots in use gets the request (power of two choices), and
- outlier ejection: a runner that fails clearly more often than the others of its pool gets only
  trial requests until its failures have decayed. At most a third of a pool is ejected at once.

Health checks are not used: their answers may be wrong either way, and each takes a slot at the
runner.
"""

import math

HALF_LIFE_US = 4_000_000
"""The half-life of an outcome's weight."""

EJECT_FAILURES = 4.0
"""The least number of recent failures at which a runner is ejected."""

RETURN_FAILURES = 1.0
"""With fewer recent failures than this an ejected runner returns."""

EJECT_RATE = 0.15
"""Below this share of failures no runner is ejected."""

EJECT_DEVIATIONS = 4.0
"""How many standard deviations above the others' failure rate make a runner an outlier."""

RETURN_DEVIATIONS = 1.5
"""An ejected runner returns within this many; as its counts decay, a deviation gets larger."""

MAX_EJECTED_SHARE = 1 / 3
"""The largest share of a pool that is ejected at once."""

TRIAL_SHARE = 0.02
"""The share of requests sent to ejected runners, so that their recovery is noticed."""

SCALE = 100
"""Counts are exchanged in hundredths, as integers, so that their sums are exact."""


class Outcomes:
    """Decayed counts of a runner's answers and failures; `busy_us` is the time its answers took."""

    __slots__ = ("answered", "failed", "busy_us", "noted_us")

    def __init__(self, now_us):
        """Start without outcomes."""
        self.answered = self.failed = self.busy_us = 0.0
        self.noted_us = now_us

    def decay(self, now_us):
        """Decay the counts to the present time."""
        share = 0.5 ** ((now_us - self.noted_us) / HALF_LIFE_US)
        self.noted_us = now_us
        self.answered *= share
        self.failed *= share
        self.busy_us *= share

    def as_row(self):
        """Return the counts as integers, to be summed at the core."""
        return [round(self.answered * SCALE), round(self.failed * SCALE), round(self.busy_us)]


class PlainScheduler:
    """Chooses among runners without an engine.

    `open_at(runner)`: the number of requests known to be open there.
    """

    __slots__ = ("now_us", "rng", "open_at", "own", "others", "ejected")

    def __init__(self, now_us, rng, open_at):
        """Start without outcomes of any runner."""
        self.now_us = now_us
        self.rng = rng
        self.open_at = open_at
        self.own = {}
        self.others = {}
        self.ejected = set()

    def _own_outcomes(self, runner):
        key = (runner.name, runner.incarnation)
        outcomes = self.own.get(key)
        if outcomes is None:
            outcomes = self.own[key] = Outcomes(self.now_us())
        outcomes.decay(self.now_us())
        return outcomes

    def note_answered(self, runner, span_us):
        """Note a complete answer that took `span_us` and is no failure."""
        outcomes = self._own_outcomes(runner)
        outcomes.answered += 1
        outcomes.busy_us += span_us

    def note_failed(self, runner):
        """Note a failure of the runner, or a broken or missing answer."""
        self._own_outcomes(runner).failed += 1

    def own_rows(self):
        """Return this router's counts, to be summed at the core."""
        now_us = self.now_us()
        rows = []
        for key, outcomes in list(self.own.items()):
            outcomes.decay(now_us)
            row = outcomes.as_row()
            if any(row[:2]):
                rows.append([*key, *row])
            else:
                del self.own[key]
        return rows

    def take_others(self, rows):
        """Replace the sums of all other routers' recent counts."""
        self.others = {(name, incarnation): figures for name, incarnation, *figures in rows}

    def _counts(self, runner):
        """Return answers, failures and busy time as counted by all routers."""
        key = (runner.name, runner.incarnation)
        answered, failed, busy_us = self.others.get(key, (0, 0, 0))
        answered, failed = answered / SCALE, failed / SCALE
        if key in self.own:
            own = self._own_outcomes(runner)
            return answered + own.answered, failed + own.failed, busy_us + own.busy_us
        return answered, failed, busy_us

    def _update_ejected(self, runners):
        """Update which runners are ejected, the worst ones first; return all runners' counts."""
        counts = {runner.name: self._counts(runner) for runner in runners}
        max_ejected = int(len(runners) * MAX_EJECTED_SHARE)
        outliers = [name for name in counts if self._is_outlier(name, counts)]
        outliers.sort(key=lambda name: counts[name][1], reverse=True)
        self.ejected.difference_update(counts)
        self.ejected.update(outliers[:max_ejected])
        return counts

    def _is_outlier(self, name, counts):
        """Whether a runner fails more often than the others' failure rate explains.

        The thresholds have hysteresis: an ejected runner returns below lower ones.
        """
        answered, failed, _ = counts[name]
        count = answered + failed
        is_ejected = name in self.ejected
        if (
            failed < (RETURN_FAILURES if is_ejected else EJECT_FAILURES)
            or failed < count * EJECT_RATE
        ):
            return False
        rest = [figures for other, figures in counts.items() if other != name]
        rest_failed = sum(figures[1] for figures in rest)
        rest_count = sum(figures[0] + figures[1] for figures in rest)
        rate = (rest_failed + 1) / (rest_count + 2)
        deviation = math.sqrt(count * rate * (1 - rate))
        deviations = RETURN_DEVIATIONS if is_ejected else EJECT_DEVIATIONS
        return failed > count * rate + deviations * deviation

    def choose(self, runners):
        """Return the runner for one more request, or None if `runners` is empty."""
        if len(runners) < 2:
            return runners[0] if runners else None
        counts = self._update_ejected(runners)
        candidates = [runner for runner in runners if runner.name not in self.ejected]
        ejected = [runner for runner in runners if runner.name in self.ejected]
        if not candidates or ejected and self.rng.random() < TRIAL_SHARE:
            candidates = ejected
        answer_times_us = self._answer_times_us(counts)
        weights = [1 / answer_times_us[runner.name] for runner in candidates]
        first = self._draw(candidates, weights)
        rest = [(runner, weight) for runner, weight in zip(candidates, weights, strict=True)]
        rest = [pair for pair in rest if pair[0] is not first]
        if not rest:
            return first
        second = self._draw(*zip(*rest, strict=True))
        return min((first, second), key=self._slot_usage)

    def _draw(self, runners, weights):
        return self.rng.choices(runners, weights)[0]

    def _answer_times_us(self, counts):
        """Return the mean answer time of each runner; a new one counts as the mean of all."""
        answered = sum(figures[0] for figures in counts.values())
        busy_us = sum(figures[2] for figures in counts.values())
        mean_us = busy_us / answered if answered and busy_us else 1.0
        return {
            name: (busy_us + mean_us) / (answered + 1)
            for name, (answered, _, busy_us) in counts.items()
        }

    def _slot_usage(self, runner):
        """Return the share of the runner's slots in use with one more request."""
        return (self.open_at(runner) + 1) / max(1, runner.slots)

    def forget(self, names):
        """Drop the counts of runners that are not among `names`."""
        for key in [key for key in self.own if key[0] not in names]:
            del self.own[key]
        self.ejected.intersection_update(names)
