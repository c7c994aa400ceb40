"""The shortest course: choices are taken out, many at a time and then one by one, while the same rule still breaks."""

from .run import play_course

MOST_TRIES = 600


class Shrinking:
    """Takes choices out of a course that breaks a rule of a case."""

    __slots__ = ("case", "rule", "tries", "most_tries")

    def __init__(self, case, rule, most_tries=MOST_TRIES):
        self.case = case
        self.rule = rule
        self.tries = 0
        self.most_tries = most_tries

    def _breaks(self, course):
        """The part of the course that was played until the rule broke, or None where it holds."""
        self.tries += 1
        run, breach = play_course(self.case, course)
        return list(run.course) if breach is not None and breach.rule == self.rule else None

    def shortest(self, course):
        """The shortest course found, in which no choice can be left out (while the tries last)."""
        course = self._breaks(course) or list(course)
        size = max(1, len(course) // 2)
        while size >= 1 and self.tries < self.most_tries:
            shorter = self._without(course, size)
            if shorter is None:
                size //= 2
            else:
                course = shorter
        return course

    def _without(self, course, size):
        """The course without one stretch of this size that isn't needed, the last such first."""
        for start in range(len(course) - size, -1, -max(1, size)):
            if self.tries >= self.most_tries:
                return None
            shorter = self._breaks(course[:start] + course[start + size :])
            if shorter is not None:
                return shorter
        return None


def shorten(case, rule, course, most_tries=MOST_TRIES):
    """The shortest course found that breaks the same rule."""
    return Shrinking(case, rule, most_tries).shortest(course)
