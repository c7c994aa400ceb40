from . import quick_start as quick_start
from .door import Door, DoorCall, DoorLimits
from .log import make_log
from .settings import check_settings, read_settings
from .shell import Shell, shell_options

__all__ = [
    "Door",
    "DoorCall",
    "DoorLimits",
    "Shell",
    "check_settings",
    "make_log",
    "read_settings",
    "shell_options",
]
