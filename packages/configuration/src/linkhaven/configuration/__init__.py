"""The plan: its checks, its place in the register, and how routers hear of it."""

from .bodies import BlobStore
from .check import check_plan, diff_plans, fill_plan
from .desk import ConfigurationStore
from .image import ConfigurationSnapshot
from .news import WatchServer
from .overlay import effective_plan, lay_overlay
from .packing import write_plan
from .reader import ConfigurationWatcher

__all__ = [
    "BlobStore",
    "WatchServer",
    "ConfigurationWatcher",
    "ConfigurationStore",
    "ConfigurationSnapshot",
    "check_plan",
    "diff_plans",
    "effective_plan",
    "fill_plan",
    "lay_overlay",
    "write_plan",
]
