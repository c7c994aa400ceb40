"""The faults that schedules and seeds name. A fault's name is the name of its method."""

from .core import CoreFaults
from .edge import EdgeFaults
from .people import PeopleFaults
from .runners import RunnerFaults
from .tenants import TenantFaults

__all__ = ["ALL", "CORE_FAULTS", "TENANT_FAULTS", "Faults"]


class Faults(TenantFaults, EdgeFaults, CoreFaults, RunnerFaults, PeopleFaults):
    """Every fault, applied to one fleet."""

    __slots__ = ()


def _named(owner):
    """The faults that a class defines, in the order of their definition."""
    return tuple(name for name in vars(owner) if not name.startswith("_"))


ALL = _named(EdgeFaults) + _named(CoreFaults) + _named(RunnerFaults) + _named(PeopleFaults)
TENANT_FAULTS = _named(TenantFaults)
"""Only for deployments with tenants."""

CORE_FAULTS = {
    *_named(CoreFaults),
    "kill_many",
    "restart_fleet",
    "kill_zone",
    "freeze_zone",
    "cut_zone",
    "jump_clock",
    "jump_clocks",
    "slow_nodes",
}
"""Faults that affect a core machine; a drawn course has at most one of them."""
