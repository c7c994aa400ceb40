"""How long a core seat may hold a router's ask, by the fleet's size and the seat's duties."""

SMALL_FLEET = 17
LONGEST_US = 800_000
HOLDER_US = 3_000_000


class LongPollHold:
    """A router's asks: at small fleets every seat holds them for `news_hold_us`.

    With the fleet the hold grows, since all routers ask every seat. It stays within a third of a
    lease, and of `plan_stale_us` where that is set. The seat that tells the list of runners holds
    half as long. A seat answers at once what can't wait, whatever the hold."""

    __slots__ = ("bounds", "count_routers", "told_us")

    def __init__(self, bounds, count_routers):
        """`count_routers()` gives how many routers are known to run, this one among them."""
        self.bounds = bounds
        self.count_routers = count_routers
        self.told_us = {}

    def note_news(self, seat, message, parts, now_us):
        """Notes which of the parts that belong to a duty this seat told."""
        for part in parts:
            if part in message:
                self.told_us[(part, seat)] = now_us
            else:
                self.told_us.pop((part, seat), None)

    def is_teller(self, seat, part, now_us):
        """Whether this seat told the part lately; any seat may be the one while none did.

        A small fleet tells every seat all, so that a new holder of a duty has it at once."""
        if self.count_routers() <= SMALL_FLEET:
            return True
        tellers = [
            other
            for (name, other), told_us in self.told_us.items()
            if name == part and now_us - told_us < HOLDER_US
        ]
        return not tellers or seat in tellers

    def longest_us(self):
        """The hold at a seat whose duties this router doesn't wait for."""
        bounds = self.bounds
        grown_us = bounds.news_hold_us * self.count_routers() // SMALL_FLEET
        limits_us = [LONGEST_US, bounds.lease_us // 3, grown_us]
        if bounds.plan_stale_us is not None:
            limits_us.append(bounds.plan_stale_us // 3)
        return max(bounds.news_hold_us, min(limits_us))

    def hold_us(self, seat, is_pressed, now_us):
        """The hold of the next ask at a seat; `is_pressed`: this router waits for a larger share."""
        longest_us = self.longest_us()
        if longest_us == self.bounds.news_hold_us:
            return longest_us
        if is_pressed and self.is_teller(seat, "shares", now_us):
            return self.bounds.news_hold_us
        if self.is_teller(seat, "roster", now_us):
            return max(self.bounds.news_hold_us, longest_us // 2)
        return longest_us
