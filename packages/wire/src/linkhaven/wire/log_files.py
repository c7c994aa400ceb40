"""Log outputs: the standard library's file and stream handlers, without buffering.

A buffered stream keeps data that a full disk refused and retries it with each later line. Without
a buffer a failed write is over at once, and the number of lines it wrote is known.
"""

import errno
import os
from logging import Handler, LogRecord, StreamHandler
from logging.handlers import WatchedFileHandler
from typing import Any

from linkhaven.api import ServiceError

STANDARD_ERROR = 2


class WriteRefusedError(Exception):
    """A write failed; carries the number of lines that were written before the error."""

    def __init__(self, lines_written: int, reason: str) -> None:
        """`reason` is the operating system's error text."""
        super().__init__(reason)
        self.lines_written = lines_written
        self.reason = reason


class _LineHandler(Handler):
    """Writes the lines of a record to an unbuffered stream; used by the log's writer thread only.

    It has no lock: a writer blocked in a write would hold it, and the interpreter acquires every
    handler's lock at exit.
    """

    ends_mid_line = False
    terminator: str
    stream: Any

    def createLock(self) -> None:  # noqa: N802  overrides logging.Handler
        """Create no lock; see the class."""
        self.lock = None

    def emit(self, record: LogRecord) -> None:
        """Write the record's message; raises WriteRefusedError if it was not written completely."""
        data = (self.format(record) + self.terminator).encode(errors="backslashreplace")
        if self.ends_mid_line:
            data = b"\n" + data
        written = 0
        try:
            self.reopen_if_needed()
            while written < len(data):
                written += self._write_some(data[written:])
        except (OSError, ValueError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            raise WriteRefusedError(self._count_lines(data[:written]), reason) from error
        finally:
            if written:
                self.ends_mid_line = data[written - 1 : written] != b"\n"

    def _write_some(self, data: bytes) -> int:
        written: int | None = self.stream.write(data)
        if written is None:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return written

    def _count_lines(self, written: bytes) -> int:
        return max(0, written.count(b"\n") - self.ends_mid_line)

    def reopen_if_needed(self) -> None:
        """Reopen the stream before a write if necessary; by default it never is."""


class LineFileHandler(_LineHandler, WatchedFileHandler):
    """Appends lines to a file; creates it again if it was moved or removed."""

    def __init__(self, path: str) -> None:
        """Open the file; raises ServiceError `settings_invalid` if that fails."""
        try:
            super().__init__(path)
        except OSError as error:
            raise ServiceError(
                "settings_invalid",
                places=[{"place": "log/file", "fault": f"{path}: {error.strerror}"}],
            ) from None

    def _open(self) -> Any:
        return open(self.baseFilename, "ab", buffering=0)

    def reopen_if_needed(self) -> None:
        """Reopen the file if it was moved or removed, or could not be opened the last time."""
        if self.stream is None:
            self.stream = self._open()
            self._statstream()
        self.reopenIfNeeded()


class LineStreamHandler(_LineHandler, StreamHandler):
    """Writes lines to standard error without the interpreter's buffer."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        """Write to a descriptor; it is not closed with the handler."""
        stream = open(descriptor, "wb", buffering=0, closefd=False)  # noqa: SIM115  owned by the handler
        super().__init__(stream)
