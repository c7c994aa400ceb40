"""The invariant that no pool is long without a reader or a decoder, watched while it runs."""

VACANT_ROLE = "empty_side"
"""The name of the invariant in event 1901 and in the standing."""


class VacantRoleMonitor:
    """Counts how long each side of each pool stood empty under a holder that may order.

    A spell begins when a sound runner could be ordered to the side and the holder may order. It
    begins anew where the runner that was on its way to the side is lost.
    """

    __slots__ = ("ports", "violations")

    def __init__(self, ports):
        """`ports`: those of the node, to log with."""
        self.ports = ports
        self.violations = 0

    def watch(self, pool, phase, bound_us, now_us):
        """The side is needed: log and count it once a spell when it is empty beyond the bound."""
        side = pool.roles[phase]
        is_unplayed = not pool.now.sound[phase]
        if not is_unplayed or not (side.unplayed_since_us is not None or pool.now.arriving[phase]):
            return self.end(pool, phase)
        if side.vacant_since_us is None:
            side.vacant_since_us = now_us
        empty_for_us = now_us - side.vacant_since_us
        if empty_for_us > bound_us and not side.is_violated:
            side.is_violated = True
            self.violations += 1
            self.ports.log(
                1901,
                invariant=VACANT_ROLE,
                pool=pool.name,
                phase=phase,
                for_us=empty_for_us,
                bound_us=bound_us,
            )

    def end(self, pool, phase):
        """The side is played, or no runner is left for it: the spell is over."""
        side = pool.roles[phase]
        side.vacant_since_us = None
        side.is_violated = False

    def as_record(self, pools, now_us):
        """For the standing: how long each pool has been without, and how often it was too long."""
        without = {
            f"{pool.name or ''}/{phase}": now_us - side.vacant_since_us
            for pool in pools
            for phase, side in pool.roles.items()
            if side.vacant_since_us is not None
        }
        return {"empty_sides_us": without, "violations": {VACANT_ROLE: self.violations}}
