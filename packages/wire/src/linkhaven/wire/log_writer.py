"""The log's writer thread: takes lines from a bounded queue and writes them in batches.

The event loop only queues lines, so a full or slow disk or an unread pipe blocks the writer thread
but never the loop.
"""

import atexit
import queue
import signal
import threading
from collections.abc import Callable
from logging import INFO, LogRecord
from typing import Protocol

from .log_files import WriteRefusedError

QUEUE_LINES = 4_096
"""Maximum number of queued lines; further lines are dropped and counted."""

BATCH_LINES = 256
"""Maximum number of lines per write."""

FLUSH_SECONDS = 0.3
"""How long an exiting process waits for its last lines to be written."""

LOOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that the event loop handles; the writer thread blocks them."""

LossDescription = Callable[[int, int, str | None], str]


class LineHandler(Protocol):
    """Output of the log: a logging handler of the standard library."""

    def emit(self, record: LogRecord) -> None:
        """Write the record's lines; raises WriteRefusedError if not all were written."""

    def close(self) -> None:
        """Close the output; nothing is written afterwards."""


class LogWriter:
    """Writes queued lines through a handler, on a thread that is started by the first line.

    `describe_loss(dropped, refused, reason)` formats the line that is added to the next write after
    lines were lost: how many the full queue dropped, how many failed to be written, and why.
    """

    def __init__(
        self, handler: LineHandler, queue_lines: int, describe_loss: LossDescription
    ) -> None:
        """Create a writer; its thread is started by the first line."""
        self.handler = handler
        self.queue_lines = queue_lines
        self.describe_loss = describe_loss
        self.lines: queue.SimpleQueue[str | threading.Event] = queue.SimpleQueue()
        self.thread: threading.Thread | None = None
        self.is_closed = False
        self.is_flushed = True
        self.dropped = 0
        self.dropped_reported = 0
        self.refused = 0
        self.reason: str | None = None

    def put(self, line: str) -> None:
        """Queue a line; drops and counts it if the queue is full or closed. Never blocks."""
        if self.is_closed or self.lines.qsize() >= self.queue_lines:
            self.dropped += 1
            return
        self.lines.put(line)
        if self.thread is None:
            self._start()

    def _start(self) -> None:
        thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        try:
            thread.start()
        except RuntimeError:  # thread limit reached: retried with the next line
            return
        self.thread = thread
        atexit.register(self.close)

    def flush(self, timeout_seconds: float = FLUSH_SECONDS) -> bool:
        """Wait until the lines queued so far are written; returns False on a time-out."""
        if self.thread is None:
            return True
        flush_event = threading.Event()
        self.lines.put(flush_event)
        return flush_event.wait(timeout_seconds)

    def close(self, timeout_seconds: float = FLUSH_SECONDS) -> bool:
        """Flush, stop the thread and close the handler; returns False on a time-out.

        A thread that is blocked in a write is abandoned; being a daemon thread, it does not keep
        the process from exiting.
        """
        if self.is_closed:
            return self.is_flushed
        self.is_closed = True
        atexit.unregister(self.close)
        self.is_flushed = self.flush(timeout_seconds)
        if self.is_flushed:
            self.handler.close()
        return self.is_flushed

    def _run(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, LOOP_SIGNALS)
        is_ended = False
        while not is_ended:
            batch, flush_event = self._take_batch()
            if batch:
                self._write(batch)
            if flush_event is not None:
                is_ended = self.is_closed
                flush_event.set()

    def _take_batch(self) -> tuple[list[str], threading.Event | None]:
        """Wait for queued lines; returns a batch, and the event of a flush if one follows it."""
        batch: list[str] = []
        item = self.lines.get()
        while isinstance(item, str):
            batch.append(item)
            if len(batch) == BATCH_LINES or self.lines.empty():
                return batch, None
            item = self.lines.get()
        return batch, item

    def _write(self, batch: list[str]) -> None:
        dropped = self.dropped - self.dropped_reported
        lines = list(batch)
        if dropped or self.refused:
            lines.append(self.describe_loss(dropped, self.refused, self.reason))
        record = LogRecord("linkhaven", INFO, "", 0, "\n".join(lines), None, None)
        try:
            self.handler.emit(record)
        except WriteRefusedError as refusal:
            self.refused += max(0, len(batch) - refusal.lines_written)
            self.reason = refusal.reason
        else:
            self.dropped_reported += dropped
            self.refused, self.reason = 0, None
