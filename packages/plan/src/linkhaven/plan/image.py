from .overlay import effective_plan


class PlanImage:
    """The newest plan a node holds, and the highest mark it has heard of; neither ever goes back."""

    __slots__ = ("mark", "value", "plan", "highest", "on_new")

    def __init__(self):
        self.mark = 0
        self.value = None
        self.plan = None
        self.highest = 0
        self.on_new = []

    @property
    def is_behind(self):
        return self.highest > self.mark

    def hear_mark(self, mark):
        if mark > self.highest:
            self.highest = mark

    def take(self, value):
        if value is None or value["mark"] <= self.mark or value["mark"] < self.highest:
            return False
        self.plan = effective_plan(value)
        self.mark = value["mark"]
        self.value = value
        self.highest = self.mark
        for hear in self.on_new:
            hear()
        return True
