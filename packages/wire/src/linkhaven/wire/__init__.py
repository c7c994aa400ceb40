"""The process that hosts a node: event loop, line and HTTP transport, settings, log, commands."""

from . import quick_start as quick_start
from .event_loop import EventLoop, event_loop_options
from .http_server import HttpServer
from .log import make_log
from .server_call import ServerCall
from .server_limits import ServerLimits
from .settings import check_settings, read_settings

__all__ = [
    "ServerLimits",
    "HttpServer",
    "ServerCall",
    "EventLoop",
    "check_settings",
    "make_log",
    "read_settings",
    "event_loop_options",
]
