"""What the processes of a soak saw, on one timeline: monotonic time is the same for all of them."""

import os
import threading

import msgspec

from .relay import now_us

READ_MODE = 0o644


class RecordFile:
    """A record that a process appends to a file, line by line, so that a kill loses none written."""

    __slots__ = ("descriptor",)

    def __init__(self, path):
        """Append to the file; several starts of a process share it."""
        self.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, READ_MODE)

    def note(self, kind, /, **facts):
        """Append one entry."""
        os.write(self.descriptor, msgspec.json.encode((now_us(), kind, facts)) + b"\n")


def read_record(path):
    """The entries of a file; a last line torn by a kill is left out."""
    with open(path, "rb") as file:
        lines = file.read().split(b"\n")
    return [tuple(msgspec.json.decode(line)) for line in lines[:-1]]


class Record:
    """The soak's own record; several threads note into it."""

    __slots__ = ("entries", "lock")

    def __init__(self):
        """Empty."""
        self.entries = []
        self.lock = threading.Lock()

    def note(self, kind, /, **facts):
        """Append one entry, at the time of now."""
        with self.lock:
            self.entries.append((now_us(), kind, facts))

    def merged(self, paths):
        """All entries, also those of the files, by time."""
        entries = list(self.entries)
        for path in paths:
            if os.path.exists(path):
                entries += read_record(path)
        return sorted(entries, key=lambda entry: entry[0])
