"""Shrinks a failing course: removes choices, many at a time and then one by one, while the same
rule breaks.
"""

from .run import play_course

MAX_TRIES = 600


class CourseShrinker:
    """Removes choices from a course that violates an invariant of a case."""

    __slots__ = ("case", "rule", "tries", "most_tries")

    def __init__(self, case, rule, most_tries=MAX_TRIES):
        self.case = case
        self.rule = rule
        self.tries = 0
        self.most_tries = most_tries

    def _breaks(self, course):
        """The choices played until the rule broke, or None if the rule holds."""
        self.tries += 1
        run, breach = play_course(self.case, course)
        return list(run.course) if breach is not None and breach.rule == self.rule else None

    def shortest(self, course):
        """The shortest failing course found; no single choice can be removed unless the tries ran
        out.
        """
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
        """The course without one unneeded run of `size` choices, or None; tries the
        last run first.
        """
        for start in range(len(course) - size, -1, -max(1, size)):
            if self.tries >= self.most_tries:
                return None
            shorter = self._breaks(course[:start] + course[start + size :])
            if shorter is not None:
                return shorter
        return None


def shorten(case, rule, course, most_tries=MAX_TRIES):
    """The shortest course found that violates the same invariant."""
    return CourseShrinker(case, rule, most_tries).shortest(course)
