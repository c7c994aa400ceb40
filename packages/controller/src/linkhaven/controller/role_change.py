"""One change of a runner's phase, from the decision to its end."""


class RoleChange:
    """A runner that is to play another phase.

    `told_us`: since when routers are told of it. `notice_us`: for how long they are told before
    the order leaves. `members`: how many sound runners its pool had when it was decided on;
    None for a change that covers an empty side, which holds however few there are.
    """

    __slots__ = (
        "name",
        "pool",
        "phase",
        "told_us",
        "notice_us",
        "members",
        "is_sent",
        "is_refused",
        "sent_us",
    )

    def __init__(self, runner, phase, told_us, notice_us=0, members=None):
        """Nothing is sent yet."""
        self.name = runner.name
        self.pool = runner.pool
        self.phase = phase
        self.told_us = told_us
        self.notice_us = notice_us
        self.members = members
        self.is_sent = False
        self.is_refused = False
        self.sent_us = 0

    def fills_vacancy(self):
        """Whether it was begun because nobody plays that phase."""
        return self.members is None
