"""Time limits, and a few counts, that follow from a deployment's settings."""

import msgspec


class Bounds(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A node's bounds, set once at its start. Times are in whole microseconds.

    The names given to `msgspec.field` are the encoded names.
    """

    plan_stale_us: int | None = 1_500_000
    """The age of the last confirmation of the configuration from which on a router accepts no new
    requests; None if it continues with the configuration it has."""

    deny_within_us: int = 1_500_000
    """The age of the last confirmation of the configuration up to which a router refuses what isn't
    in it. If a deployment states by when a change is in force everywhere, it is that time: what was
    added less than this ago may be refused by any router, and by none afterwards."""

    revoke_us: int | None = None
    """The age of the last confirmation of the configuration up to which a router accepts requests
    of tenants, whose API keys may have been revoked since; None if there is no such limit."""

    roster_stale_us: int | None = 3_000_000
    """The age of the list of runners from which on a router accepts no new requests; None if it
    continues with the list it has."""

    recovery_wait_us: int = msgspec.field(default=5_000_000, name="alone_us")
    """How long a recovering replica with an intact disk waits for reports of all other replicas
    before a majority is enough."""

    lease_us: int = 3_000_000
    """The duration of a lease, and of a grant by its holder."""

    drain_us: int = 10_000_000
    """How long a stopping node waits for its running requests to end."""

    linger_us: int = 0
    """How long a stopping router still accepts new requests."""

    poll_us: int = 250_000
    """The interval between two requests for the list of runners."""

    report_us: int = 250_000
    """The interval between two requests for the report of a runner."""

    unresponsive_after_us: int = msgspec.field(default=1_200_000, name="dark_us")
    """How long after its last report a runner counts as unresponsive."""

    long_poll_hold_us: int = msgspec.field(default=250_000, name="news_hold_us")
    """How long a watch server holds a router's long poll while there is nothing new."""

    blob_wait_us: int = msgspec.field(default=100_000, name="body_wait_us")
    """How long a router waits for the blob of a configuration from the nearest replica, once
    another replica has named that blob, before it requests the blob from that one."""

    heartbeat_interval_us: int = msgspec.field(default=250_000, name="beat_us")
    """The interval between two heartbeats of a member."""

    heartbeat_timeout_us: int = msgspec.field(default=1_000_000, name="missed_us")
    """How long after a member's last heartbeat its watchers suspect it."""

    vacant_us: int = 1_500_000
    """How long a replica's instance must be absent before a spare may take its place."""

    seats: int = 3
    """The number of replicas of the core: 2f + 1 to tolerate f faults."""

    bootstrap: bool = False
    """Whether this is the first start of the whole system, on empty disks."""

    post_pause_hold_us: int = msgspec.field(default=0, name="thaw_us")
    """How long a lease holder sends no orders after its process was paused."""

    orders_after_us: int = 0
    """How long after it won its lease a holder waits before its first order."""

    hold_share: float | None = None
    """The fraction of its deadline for which a request that can't be placed yet is held; None if no
    request is held."""

    retry_least_us: int = 1_000_000
    """The minimum of the Retry-After time of a refusal."""

    majority_timeout_us: int = msgspec.field(default=600_000, name="silent_us")
    """How long a proposal or a read waits without an answer of a majority; shorter than the timeout
    of its sender."""

    contact_us: int = 1_500_000
    """The age of the last answer of a majority up to which a replica reports its configuration as
    current."""

    leaving_grace_us: int = msgspec.field(default=0, name="stand_in_us")
    """How long a leaving runner still gets requests that no other can take, counted from the last
    list that had it as serving; 0 if runners accept nothing once they leave."""

    quota_window_us: int = 5_000_000
    """The length of the window over which the limit of a tenant is enforced."""

    quota_overage: float = 0.1
    """The fraction of its limit by which a tenant may exceed it in a window."""

    quota_slack: int = 20
    """The number of requests by which a tenant may exceed its limit in a window, in addition to
    `quota_overage`."""
