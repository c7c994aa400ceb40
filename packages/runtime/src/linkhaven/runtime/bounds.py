"""The bounds in time that a deployment's settings say."""


class Bounds:
    """A node's time bounds, in microseconds unless named otherwise; set once at its start.

    `plan_stale_us` and `roster_stale_us`: how old the confirmation of the plan and the list of
    runners may be before a router takes no new work; None means that it goes on with what it
    has. `alone_us`: how long a seat with a disk waits for the others before it goes on with a
    majority. `vacant_us`: how long the occupant of a seat must be gone before a newcomer takes
    the seat. `linger_us`: how long a stopping router still takes new work. `body_wait_us`: how
    long a router waits for a plan's body from the nearest seat after another has told of it.
    `orders_after_us`: how long after winning its duty a holder waits before its first order.
    `seats`: how many core seats there are (2f + 1). `silent_us`: how long an order or a read at
    a registry waits for a majority that says nothing; shorter than its sender's patience.
    `contact_us`: how old a core member's last answer from a majority may be while it still
    calls its plan current. `stand_in_us`: how long a runner that leaves is still given what no
    other can take, from the last list that had it as serving; 0 where runners take nothing once
    they leave. `bootstrap`: this is the first start of the whole system, on empty
    disks.
    """

    __slots__ = (
        "plan_stale_us",
        "roster_stale_us",
        "alone_us",
        "lease_us",
        "drain_us",
        "linger_us",
        "poll_us",
        "report_us",
        "dark_us",
        "news_hold_us",
        "body_wait_us",
        "beat_us",
        "missed_us",
        "vacant_us",
        "seats",
        "bootstrap",
        "thaw_us",
        "orders_after_us",
        "hold_share",
        "retry_least_us",
        "silent_us",
        "contact_us",
        "stand_in_us",
    )

    DEFAULTS = {
        "plan_stale_us": 1_500_000,
        "roster_stale_us": 3_000_000,
        "alone_us": 5_000_000,
        "lease_us": 3_000_000,
        "drain_us": 10_000_000,
        "linger_us": 0,
        "poll_us": 250_000,
        "report_us": 250_000,
        "dark_us": 1_200_000,
        "news_hold_us": 250_000,
        "body_wait_us": 100_000,
        "beat_us": 250_000,
        "missed_us": 1_000_000,
        "vacant_us": 1_500_000,
        "seats": 3,
        "bootstrap": False,
        "thaw_us": 0,
        "orders_after_us": 0,
        "hold_share": None,
        "retry_least_us": 1_000_000,
        "silent_us": 600_000,
        "contact_us": 1_500_000,
        "stand_in_us": 0,
    }

    def __init__(self, **given):
        """The defaults, but for the bounds given here."""
        unknown = set(given) - set(self.DEFAULTS)
        if unknown:
            raise TypeError(f"no such bounds: {sorted(unknown)}")
        for name, value in {**self.DEFAULTS, **given}.items():
            setattr(self, name, value)

    def as_record(self):
        """All bounds by their names."""
        return {name: getattr(self, name) for name in self.__slots__}
