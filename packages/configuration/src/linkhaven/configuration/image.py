"""What a node holds of the plan in force."""

from .overlay import effective_configuration


class ConfigurationSnapshot:
    """The newest plan a node holds, and the highest mark it has heard of; neither ever goes back."""

    __slots__ = ("mark", "value", "configuration", "highest", "on_new")

    def __init__(self):
        self.mark = 0
        self.value = None
        self.configuration = None
        self.highest = 0
        self.on_new = []

    @property
    def is_behind(self):
        return self.highest > self.mark

    def hear_mark(self, mark):
        if mark > self.highest:
            self.highest = mark

    def is_news(self, value):
        """Whether a value is newer than the plan held, and not older than one that was heard of."""
        return value is not None and value["mark"] > self.mark and value["mark"] >= self.highest

    def take(self, value):
        """A value with its plan in it; whether it is in force here now."""
        if not self.is_news(value):
            return False
        self.configuration = effective_configuration(value)
        self.mark = value["mark"]
        self.value = value
        self.highest = self.mark
        for hear in self.on_new:
            hear()
        return True
