from .check import check_plan, diff_plans, fill_plan
from .desk import PlanDesk
from .image import PlanImage
from .news import NewsDesk, NewsReader
from .overlay import effective_plan, lay_overlay

__all__ = [
    "NewsDesk",
    "NewsReader",
    "PlanDesk",
    "PlanImage",
    "check_plan",
    "diff_plans",
    "effective_plan",
    "fill_plan",
    "lay_overlay",
]
