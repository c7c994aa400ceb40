"""Records of a soak's processes. Their timestamps are monotonic time, which all processes share."""

import os
import threading

import msgspec

from .relay import now_us

READ_MODE = 0o644


class RecordFile:
    """A record appended to a file line by line, so that a kill loses no written entry."""

    __slots__ = ("descriptor",)

    def __init__(self, path):
        """Open the file for appending; restarts of a process share it."""
        self.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, READ_MODE)

    def note(self, kind, /, **facts):
        """Append one entry."""
        os.write(self.descriptor, msgspec.json.encode((now_us(), kind, facts)) + b"\n")


def read_record(path):
    """Return the entries of a file, without a last line cut short by a kill."""
    with open(path, "rb") as file:
        lines = file.read().split(b"\n")
    return [tuple(msgspec.json.decode(line)) for line in lines[:-1]]


class Record:
    """The soak's own record in memory; safe for use by several threads."""

    __slots__ = ("entries", "lock")

    def __init__(self):
        """Start an empty record."""
        self.entries = []
        self.lock = threading.Lock()

    def note(self, kind, /, **facts):
        """Append one entry with the current time."""
        with self.lock:
            self.entries.append((now_us(), kind, facts))

    def merged(self, paths):
        """Return all entries, including those of the files at `paths`, in order of time."""
        entries = list(self.entries)
        for path in paths:
            if os.path.exists(path):
                entries += read_record(path)
        return sorted(entries, key=lambda entry: entry[0])
