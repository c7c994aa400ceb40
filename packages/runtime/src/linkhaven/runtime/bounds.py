"""The bounds in time, and a few in number, that a deployment's settings say."""

import msgspec


class Bounds(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A node's bounds, set once at its start; times are whole microseconds."""

    plan_stale_us: int | None = 1_500_000
    """How old the confirmation of the configuration may be before a router takes no new work; None
    means that it goes on with what it has."""

    deny_within_us: int = 1_500_000
    """How old the confirmation of the configuration may be while a router denies what isn't in it:
    where a deployment says by when a change is in force everywhere, that time. What was added less
    than this ago may be denied by any router, and by no router afterwards."""

    revoke_us: int | None = None
    """How old the confirmation of the configuration may be while a router takes requests of
    tenants, whose keys may have been taken away since; None means that it goes on."""

    roster_stale_us: int | None = 3_000_000
    """How old the list of runners may be before a router takes no new work; None means that it goes
    on with what it has."""

    recovery_wait_us: int = msgspec.field(default=5_000_000, name="alone_us")
    """How long a replica with a disk waits for the others before it goes on with a majority."""

    lease_us: int = 3_000_000
    """How long a lease, and a grant by its holder, lasts."""

    drain_us: int = 10_000_000
    """How long a stopping node waits for the work that it has."""

    linger_us: int = 0
    """How long a stopping router still takes new work."""

    poll_us: int = 250_000
    """How often the list of runners is asked for."""

    report_us: int = 250_000
    """How often each runner is asked for its report."""

    unresponsive_after_us: int = msgspec.field(default=1_200_000, name="dark_us")
    """How long a runner may give no report before it counts as unresponsive."""

    long_poll_hold_us: int = msgspec.field(default=250_000, name="news_hold_us")
    """How long a watch server holds a router's request while there is nothing new."""

    blob_wait_us: int = msgspec.field(default=100_000, name="body_wait_us")
    """How long a router waits for a configuration's blob from the nearest replica after another has
    named it."""

    heartbeat_interval_us: int = msgspec.field(default=250_000, name="beat_us")
    """How often a member sends a heartbeat."""

    heartbeat_timeout_us: int = msgspec.field(default=1_000_000, name="missed_us")
    """How long a member may be silent before its watchers suspect it."""

    vacant_us: int = 1_500_000
    """How long a replica's instance must be gone before a newcomer takes its place."""

    seats: int = 3
    """How many replicas the core has: 2f + 1 for f faults."""

    bootstrap: bool = False
    """This is the first start of the whole system, on empty disks."""

    post_pause_hold_us: int = msgspec.field(default=0, name="thaw_us")
    """How long a holder orders nothing after its process was paused."""

    orders_after_us: int = 0
    """How long after winning its lease a holder waits before its first order."""

    hold_share: float | None = None
    """The part of its deadline for which a request that can't be placed yet is held; None if none
    is."""

    retry_least_us: int = 1_000_000
    """The least time that a refusal names in Retry-After."""

    majority_timeout_us: int = msgspec.field(default=600_000, name="silent_us")
    """How long a proposal or a read waits for a majority that is silent; shorter than its sender's
    patience."""

    contact_us: int = 1_500_000
    """How old a replica's last answer from a majority may be while it still calls its configuration
    current."""

    leaving_grace_us: int = msgspec.field(default=0, name="stand_in_us")
    """How long a runner that leaves is still given what no other can take, from the last list that
    had it as serving; 0 where runners take nothing once they leave."""

    quota_window_us: int = 5_000_000
    """The window over which a tenant's limit holds."""

    quota_overage: float = 0.1
    """The part by which a tenant may exceed its limit in a window."""

    quota_slack: int = 20
    """The requests by which a tenant may exceed its limit in a window, beside the overage."""
