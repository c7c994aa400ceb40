"""Figures that routers tell of the runners, added up at a seat."""

QUIET_US = 2_500_000
"""A router that told nothing for so long is left out."""


class FigureRelay:
    """The sums, told back late.

    Each router tells the core its own figures with its asks, in the field named `field` as rows of
    runner, incarnation and figures, and hears the sum of the others' with the list of runners.
    """

    __slots__ = ("node", "field", "told", "sums")

    def __init__(self, node, field):
        """Nothing is told yet."""
        self.node = node
        self.field = field
        self.told = {}
        self.sums = {}
        node.systems.append(self.tick)

    def on_watch_request(self, message):
        """Take a router's figures in place of those that it told before."""
        if self.field in message:
            self._replace(message["name"], message[self.field])

    def add_watch_facts(self, ask, facts):
        """Add what the other routers told to the answer to a router that told its own."""
        if self.field in ask:
            facts[self.field] = self.of_others(ask["name"])

    def _replace(self, router, views):
        before, _ = self.told.pop(router, ((), 0))
        self._add(before, -1)
        if views is not None:
            self.told[router] = (views, self.node.now_us())
            self._add(views, 1)

    def _add(self, views, sign):
        for name, incarnation, *figures in views:
            key = (name, incarnation)
            held = self.sums.get(key) or (0,) * len(figures)
            total = tuple(one + sign * other for one, other in zip(held, figures, strict=False))
            if any(total):
                self.sums[key] = total
            else:
                self.sums.pop(key, None)

    def of_others(self, router):
        """The sums without what this router told itself."""
        own = {
            (name, incarnation): figures
            for name, incarnation, *figures in self.told.get(router, ((), 0))[0]
        }
        rows = []
        for key, total in self.sums.items():
            figures = own.get(key)
            rest = (
                total
                if figures is None
                else tuple(one - other for one, other in zip(total, figures, strict=False))
            )
            if any(rest):
                rows.append([*key, *rest])
        return rows

    def tick(self, now_us):
        """Leave out who told nothing for a while."""
        for router in [
            router for router, (_, told_us) in self.told.items() if now_us - told_us > QUIET_US
        ]:
            self._replace(router, None)
