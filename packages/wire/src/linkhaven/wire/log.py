"""The log of a process: numbered events, one line each, written by a thread of their own."""

import logging
import time

from linkhaven.api import EVENTS
from linkhaven.runtime import write_json

from .log_files import LineFileHandler, LineStreamHandler
from .log_writer import FLUSH_SECONDS, QUEUE_LINES, LogWriter

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
NANOSECONDS = 1_000_000_000


class EventLog:
    """Called with an event's number and its facts, it queues the event's line and never waits."""

    def __init__(self, name, level, handler, queue_lines=QUEUE_LINES, wall_ns=time.time_ns):
        self.name = name
        self.logger = logging.Logger(f"linkhaven.{name}", LEVELS[level])
        self.wall_ns = wall_ns
        self.stamped = (None, "")
        self.writer = LogWriter(handler, queue_lines, self._describe_loss)

    def __call__(self, number, **facts):
        """Log an event; `facts` must be JSON."""
        if self.logger.isEnabledFor(LEVELS[EVENTS[number].level]):
            self.writer.put(self.event_line(number, facts))

    def event_line(self, number, facts):
        """The line of an event, as it is written."""
        grade, text = EVENTS[number]
        told = write_json(facts).decode() if facts else ""
        head = f"{self._stamp()} {grade.upper()} LH{number} {self.name}"
        return f"{head}: {text} {told}".rstrip()

    def flush(self, timeout_seconds=FLUSH_SECONDS):
        """Wait, for so long at most, until what is queued now was written; whether it was."""
        return self.writer.flush(timeout_seconds)

    def close(self, timeout_seconds=FLUSH_SECONDS):
        """Flush and end; whether all of it was written. What is logged later is dropped."""
        return self.writer.close(timeout_seconds)

    def _stamp(self):
        second, rest_ns = divmod(self.wall_ns(), NANOSECONDS)
        stamped, text = self.stamped
        if second != stamped:
            text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
            self.stamped = (second, text)
        return f"{text}.{rest_ns // 1_000:06d}Z"

    def _describe_loss(self, dropped, refused, reason):
        return self.event_line(1007, {"dropped": dropped, "refused": refused, "reason": reason})


def make_log(name, level="info", file=None, queue_lines=QUEUE_LINES):
    """A log that appends to the file of that path, or writes to standard error without one."""
    handler = LineFileHandler(file) if file else LineStreamHandler()
    return EventLog(name, level, handler, queue_lines)
