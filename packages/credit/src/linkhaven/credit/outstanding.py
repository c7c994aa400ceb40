"""What is granted of one allowance, summed as grants come and lapse instead of at each ask."""

from collections import deque

RECOUNT_US = 500_000
ROUNDED = 1e-6


class Grant:
    """One share at one router, until it lapses or its router says that it holds a later one."""

    __slots__ = ("router", "number", "rate", "until_us")

    def __init__(self, router, number, rate, until_us):
        """`number` rises with each grant; `until_us` is when the share lapses by itself."""
        self.router = router
        self.number = number
        self.rate = rate
        self.until_us = until_us


class Grants:
    """The grants of one allowance by router, and the most that they can sum up to.

    A router counts with the largest of its grants, since it may hold any of them. The sum is kept
    as grants come and go, and counted anew every half second, so that no rounding adds up."""

    __slots__ = ("by_router", "most", "total", "lapsing", "recounted_us")

    def __init__(self, now_us):
        """Nothing is granted."""
        self.by_router = {}
        self.most = {}
        self.total = 0.0
        self.lapsing = deque()
        self.recounted_us = now_us

    def __len__(self):
        """How many routers hold a grant, or may."""
        return len(self.by_router)

    def note_held(self, router, number, rate, until_us, now_us):
        """A router says which grant it holds: those before it are over."""
        self._lapse(now_us)
        held = self.by_router.get(router, ())
        if any(grant.number == number for grant in held):
            held[:] = [grant for grant in held if grant.number >= number]
            self._count(router)
        elif rate > 0:
            self.add(router, number, rate, until_us)

    def add(self, router, number, rate, until_us):
        """A grant leaves for a router."""
        grant = Grant(router, number, rate, until_us)
        self.by_router.setdefault(router, []).append(grant)
        self.lapsing.append(grant)
        self._count(router)

    def _count(self, router):
        held = self.by_router[router]
        most = max((grant.rate for grant in held), default=0.0)
        self.total += most - self.most.get(router, 0.0)
        if held:
            self.most[router] = most
            return
        del self.by_router[router]
        self.most.pop(router, None)

    def _lapse(self, now_us):
        while self.lapsing and self.lapsing[0].until_us <= now_us:
            router = self.lapsing.popleft().router
            held = self.by_router.get(router)
            if held is not None:
                held[:] = [grant for grant in held if grant.until_us > now_us]
                self._count(router)
        if now_us - self.recounted_us >= RECOUNT_US:
            self.recounted_us = now_us
            self.total = sum(self.most.values())

    def of_others(self, router, now_us):
        """The most that all other routers can hold now."""
        self._lapse(now_us)
        return self.total - self.most.get(router, 0.0)


class Demand:
    """What each router asked for lately, and the sum of it.

    Demands fall towards nothing, and shares go by their ratio: once the sum is so small beside what
    it was that rounding might show, it is counted anew."""

    __slots__ = ("told", "total", "largest", "quiet_us")

    def __init__(self, quiet_us):
        """A router that was not heard for `quiet_us` asks for nothing."""
        self.told = {}
        self.total = 0.0
        self.largest = 0.0
        self.quiet_us = quiet_us

    def note(self, router, amount, now_us):
        """The newest word of a router, in the order of time."""
        before, _ = self.told.pop(router, (0.0, 0))
        self.told[router] = (amount, now_us)
        self._add(amount - before)

    def _add(self, amount):
        self.total += amount
        self.largest = max(self.largest, self.total)
        if self.total < self.largest * ROUNDED:
            self.total = self.largest = sum(amount for amount, _ in self.told.values())

    def forget_quiet(self, now_us):
        """Drops the routers that have been quiet; the first in the table were heard longest ago."""
        while self.told:
            router = next(iter(self.told))
            amount, told_us = self.told[router]
            if now_us - told_us < self.quiet_us:
                return
            del self.told[router]
            self._add(-amount)

    def of(self, router):
        """What the router asked for, or None if it is not among those heard lately."""
        told = self.told.get(router)
        return None if told is None else told[0]
