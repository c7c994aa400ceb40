"""The log of a process: numbered events, one line each, written by a separate thread."""

import logging
import time
from collections.abc import Callable
from typing import Any

from linkhaven.api import EVENTS
from linkhaven.runtime import write_json

from .log_files import LineFileHandler, LineStreamHandler
from .log_writer import FLUSH_SECONDS, QUEUE_LINES, LineHandler, LogWriter

LOST_LINES = 1007
"""Number of the event that reports lost log lines."""

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
NS_PER_S = 1_000_000_000
NS_PER_US = 1_000


class EventLog:
    """Logs numbered events; a call formats and queues one line and never blocks."""

    def __init__(
        self,
        name: str,
        level: str,
        handler: LineHandler,
        queue_lines: int = QUEUE_LINES,
        wall_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        """Create a log for the process `name` that omits events below `level`."""
        self.name = name
        self.logger = logging.Logger(f"linkhaven.{name}", LEVELS[level])
        self.wall_ns = wall_ns
        self.cached_stamp: tuple[int | None, str] = (None, "")
        self.writer = LogWriter(handler, queue_lines, self._describe_loss)

    def __call__(self, number: int, /, **facts: Any) -> None:
        """Log an event; `facts` must be serializable as JSON."""
        if self.logger.isEnabledFor(LEVELS[EVENTS[number].level]):
            self.writer.put(self.event_line(number, facts))

    def event_line(self, number: int, facts: dict[str, Any]) -> str:
        """Format an event as a log line without its line end."""
        level, text = EVENTS[number]
        written = write_json(facts).decode() if facts else ""
        head = f"{self._stamp()} {level.upper()} LH{number} {self.name}"
        return f"{head}: {text} {written}".rstrip()

    def flush(self, timeout_seconds: float = FLUSH_SECONDS) -> bool:
        """Wait until the lines queued so far are written; returns False on a time-out."""
        return self.writer.flush(timeout_seconds)

    def close(self, timeout_seconds: float = FLUSH_SECONDS) -> bool:
        """Flush and close; returns False on a time-out. Events logged later are dropped."""
        return self.writer.close(timeout_seconds)

    def _stamp(self) -> str:
        """The current time in UTC; the part up to whole seconds is cached."""
        second, fraction_ns = divmod(self.wall_ns(), NS_PER_S)
        cached_second, text = self.cached_stamp
        if second != cached_second:
            text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
            self.cached_stamp = (second, text)
        return f"{text}.{fraction_ns // NS_PER_US:06d}Z"

    def _describe_loss(self, dropped: int, refused: int, reason: str | None) -> str:
        facts = {"dropped": dropped, "refused": refused, "reason": reason}
        return self.event_line(LOST_LINES, facts)


def make_log(
    name: str, level: str = "info", file: str | None = None, queue_lines: int = QUEUE_LINES
) -> EventLog:
    """Create a log that appends to `file`, or writes to standard error if that is None."""
    handler: LineHandler = LineFileHandler(file) if file else LineStreamHandler()
    return EventLog(name, level, handler, queue_lines)
