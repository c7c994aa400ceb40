"""Choice among runners without an engine, by what routers saw of their answers.

Such a runner gives no report, so nothing but its answers tells how it does. Each router keeps
decayed counts of answers, failures and time per runner, and hears by way of the core what all
other routers counted. From the sums follow

- the pace: two runners are drawn in proportion to their speed, and the one with the smaller share
  of its places taken gets the request, and
- ejection: a runner that fails clearly more often than the others of its pool gets only trial
  requests until its failures have faded out. At most a third of a pool is out at once.

Health answers play no part: they may be false either way, and each takes a place at the runner.
"""

import math

HALF_LIFE_US = 4_000_000
"""After this long an outcome counts half."""

EJECT_FAILURES = 4.0
"""How many recent failures it takes, at least, before a runner is ejected."""

RETURN_FAILURES = 1.0
"""With fewer recent failures than this an ejected runner is back."""

EJECT_RATE = 0.15
"""Below this share of failures nobody is ejected."""

EJECT_DEVIATIONS = 4.0
"""How many standard deviations above the failure rate of the pool's others make an outlier."""

RETURN_DEVIATIONS = 1.5
"""Within so many an ejected runner is back; its counts fade, so the deviations get larger."""

EJECTED_MOST_SHARE = 1 / 3
TRIAL_SHARE = 0.02
"""The share of choices that goes to an ejected runner, so that it can be found well."""

SCALE = 100
"""Counts go to other routers in hundredths, as whole numbers, so that their sums stay exact."""


class Outcomes:
    """Decayed counts of what became of requests at one runner; `busy_us` is spent on answers."""

    __slots__ = ("answered", "failed", "busy_us", "noted_us")

    def __init__(self, now_us):
        """Nothing was seen yet."""
        self.answered = self.failed = self.busy_us = 0.0
        self.noted_us = now_us

    def fade(self, now_us):
        """Let what was seen count less by now."""
        share = 0.5 ** ((now_us - self.noted_us) / HALF_LIFE_US)
        self.noted_us = now_us
        self.answered *= share
        self.failed *= share
        self.busy_us *= share

    def as_row(self):
        """Return the counts as whole numbers, for the sums at the core."""
        return [round(self.answered * SCALE), round(self.failed * SCALE), round(self.busy_us)]


class PlainScheduler:
    """Picks runners without an engine. `open_at(runner)`: the requests known to be open there."""

    __slots__ = ("now_us", "dice", "open_at", "own", "others", "ejected")

    def __init__(self, now_us, dice, open_at):
        """Nothing was seen of any runner yet."""
        self.now_us = now_us
        self.dice = dice
        self.open_at = open_at
        self.own = {}
        self.others = {}
        self.ejected = set()

    # What was seen

    def _own(self, runner):
        key = (runner.name, runner.incarnation)
        outcomes = self.own.get(key)
        if outcomes is None:
            outcomes = self.own[key] = Outcomes(self.now_us())
        outcomes.fade(self.now_us())
        return outcomes

    def note_answered(self, runner, span_us):
        """Note a whole answer that took so long and is no failure."""
        outcomes = self._own(runner)
        outcomes.answered += 1
        outcomes.busy_us += span_us

    def note_failed(self, runner):
        """Note a failure of its own, a broken or a missing answer."""
        self._own(runner).failed += 1

    def own_rows(self):
        """Return what this router saw, for the sums at the core."""
        now_us = self.now_us()
        rows = []
        for key, outcomes in list(self.own.items()):
            outcomes.fade(now_us)
            row = outcomes.as_row()
            if any(row[:2]):
                rows.append([*key, *row])
            else:
                del self.own[key]
        return rows

    def take_others(self, rows):
        """Take the sums of what all other routers saw lately."""
        self.others = {(name, incarnation): figures for name, incarnation, *figures in rows}

    def _seen(self, runner):
        """Return answers, failures and busy time, seen by all routers."""
        key = (runner.name, runner.incarnation)
        answered, failed, busy_us = self.others.get(key, (0, 0, 0))
        answered, failed = answered / SCALE, failed / SCALE
        if key in self.own:
            own = self._own(runner)
            return answered + own.answered, failed + own.failed, busy_us + own.busy_us
        return answered, failed, busy_us

    # Ejection

    def _judge(self, runners):
        """Eject outliers and take back who recovered, the worst first and never too many."""
        seen = {runner.name: self._seen(runner) for runner in runners}
        most = int(len(runners) * EJECTED_MOST_SHARE)
        outliers = [name for name in seen if self._is_outlier(name, seen)]
        outliers.sort(key=lambda name: seen[name][1], reverse=True)
        self.ejected.difference_update(seen)
        self.ejected.update(outliers[:most])
        return seen

    def _is_outlier(self, name, seen):
        """Whether it fails more often than the others' rate can explain; sooner in than out."""
        answered, failed, _ = seen[name]
        count = answered + failed
        is_out = name in self.ejected
        if failed < (RETURN_FAILURES if is_out else EJECT_FAILURES) or failed < count * EJECT_RATE:
            return False
        rest = [figures for other, figures in seen.items() if other != name]
        rest_failed = sum(figures[1] for figures in rest)
        rest_count = sum(figures[0] + figures[1] for figures in rest)
        rate = (rest_failed + 1) / (rest_count + 2)
        spread = math.sqrt(count * rate * (1 - rate))
        deviations = RETURN_DEVIATIONS if is_out else EJECT_DEVIATIONS
        return failed > count * rate + deviations * spread

    # Choice

    def choose(self, runners):
        """Return the runner for one more request, None where there is none."""
        if len(runners) < 2:
            return runners[0] if runners else None
        seen = self._judge(runners)
        fit = [runner for runner in runners if runner.name not in self.ejected]
        out = [runner for runner in runners if runner.name in self.ejected]
        if not fit or out and self.dice.random() < TRIAL_SHARE:
            fit = out
        paces = self._paces(seen)
        weights = [1 / paces[runner.name] for runner in fit]
        first = self._draw(fit, weights)
        rest = [(runner, weight) for runner, weight in zip(fit, weights, strict=True)]
        rest = [pair for pair in rest if pair[0] is not first]
        if not rest:
            return first
        second = self._draw(*zip(*rest, strict=True))
        return min((first, second), key=self._fill)

    def _draw(self, runners, weights):
        return self.dice.choices(runners, weights)[0]

    def _paces(self, seen):
        """Return how long an answer takes at each runner; who is new counts as the mean of all."""
        answered = sum(figures[0] for figures in seen.values())
        busy_us = sum(figures[2] for figures in seen.values())
        mean_us = busy_us / answered if answered and busy_us else 1.0
        return {
            name: (busy_us + mean_us) / (answered + 1)
            for name, (answered, _, busy_us) in seen.items()
        }

    def _fill(self, runner):
        """Return the share of the runner's places that one more request would fill."""
        return (self.open_at(runner) + 1) / max(1, runner.slots)

    def forget(self, names):
        """Drop what was seen of runners that are not among `names`."""
        for key in [key for key in self.own if key[0] not in names]:
            del self.own[key]
        self.ejected.intersection_update(names)
