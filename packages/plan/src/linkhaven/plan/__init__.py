"""The plan: its checks, its place in the register, and how routers hear of it."""

from .bodies import BodyStore
from .check import check_plan, diff_plans, fill_plan
from .desk import PlanDesk
from .image import PlanImage
from .news import NewsDesk
from .overlay import effective_plan, lay_overlay
from .packing import write_plan
from .reader import NewsReader

__all__ = [
    "BodyStore",
    "NewsDesk",
    "NewsReader",
    "PlanDesk",
    "PlanImage",
    "check_plan",
    "diff_plans",
    "effective_plan",
    "fill_plan",
    "lay_overlay",
    "write_plan",
]
