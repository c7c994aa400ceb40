"""The log: its line format, its loss reports and its files.

Guards against a full disk, a slow write or an unread pipe that blocks the process, and against
lost lines that are not reported.
"""

import errno
import os
import re
import signal
import subprocess
import sys
import threading

import pytest

from linkhaven.api import EVENTS, ServiceError
from linkhaven.wire import check_settings, make_log
from linkhaven.wire.log import EventLog
from linkhaven.wire.log_files import LineFileHandler, LineStreamHandler, WriteRefusedError

WALL_NS = 1_796_170_836_229_354_999
STAMP = "2026-12-02T00:20:36.229354Z"
TIMEOUT_SECONDS = 10
PIPE_FILLS_AFTER = 2_000


class FakeHandler:
    """Records the lines it is given; a write can be made to block or to fail."""

    def __init__(self):
        self.lines = []
        self.writes = 0
        self.may_write = threading.Event()
        self.may_write.set()
        self.is_writing = threading.Event()
        self.refusal = None
        self.is_closed = False

    def emit(self, record):
        self.is_writing.set()
        assert self.may_write.wait(TIMEOUT_SECONDS)
        self.writes += 1
        if self.refusal:
            raise self.refusal
        self.lines += record.getMessage().split("\n")

    def close(self):
        self.is_closed = True

    def numbers(self):
        return [int(re.search(r" LH(\d+) ", line)[1]) for line in self.lines]


@pytest.fixture
def handler():
    handler = FakeHandler()
    yield handler
    handler.may_write.set()


def block_writer(handler, log):
    """Block the writer thread in the write of a first line."""
    handler.may_write.clear()
    log(1001)
    assert handler.is_writing.wait(TIMEOUT_SECONDS)


def flush_log(log):
    assert log.flush(TIMEOUT_SECONDS)


def test_a_line_has_time_level_number_name_text_and_facts(handler):
    log = EventLog("edge-1", "debug", handler, wall_ns=lambda: WALL_NS)
    log(1001)
    log(2102, request="r-1", code="deadline", why="zu spät")
    flush_log(log)
    assert handler.lines == [
        f"{STAMP} INFO LH1001 edge-1: {EVENTS[1001][1]}",
        f"{STAMP} WARNING LH2102 edge-1: {EVENTS[2102][1]} "
        '{"request":"r-1","code":"deadline","why":"zu spät"}',
    ]


def test_stamps_follow_the_wall_clock_forwards_and_backwards(handler):
    times = iter([WALL_NS, WALL_NS + 1_000_000_000, WALL_NS])
    log = EventLog("edge-1", "info", handler, wall_ns=lambda: next(times))
    for _ in range(3):
        log(1001)
    flush_log(log)
    assert [line[17:20] for line in handler.lines] == ["36.", "37.", "36."]


def test_events_below_the_level_are_left_out(handler):
    log = EventLog("edge-1", "warning", handler)
    for number in (1001, 1004, 1005):
        log(number)
    flush_log(log)
    assert handler.numbers() == [1004, 1005]


def test_a_file_gets_the_bytes_of_the_lines(tmp_path):
    path = tmp_path / "log"
    log = make_log("edge-1", file=str(path))
    log(2103, why="zu spät")
    assert log.close(TIMEOUT_SECONDS)
    line = r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z INFO LH2103 edge-1: request refused "
    assert re.fullmatch(line.encode() + '{"why":"zu spät"}\n'.encode(), path.read_bytes())


def test_an_unread_pipe_does_not_block_the_process():
    """A process whose standard error is a full pipe keeps logging and exits with 0."""
    program = f"""
from linkhaven.wire import make_log
log = make_log("edge-1")
for turn in range({PIPE_FILLS_AFTER}):
    log(1005, fault="x" * 100)
"""
    reading, writing = os.pipe()
    try:
        child = subprocess.Popen([sys.executable, "-c", program], stderr=writing)
        try:
            assert child.wait(TIMEOUT_SECONDS) == 0
        finally:
            child.kill()
            child.wait()
    finally:
        os.close(reading)
        os.close(writing)


def test_a_blocked_write_does_not_block_the_caller(handler):
    log = EventLog("edge-1", "info", handler)
    block_writer(handler, log)
    for _ in range(100):
        log(2101)
    assert handler.lines == []
    handler.may_write.set()
    flush_log(log)
    assert handler.numbers() == [1001] + [2101] * 100


def test_queued_lines_are_written_in_one_batch(handler):
    log = EventLog("edge-1", "info", handler)
    block_writer(handler, log)
    for _ in range(100):
        log(2101)
    handler.may_write.set()
    flush_log(log)
    assert handler.writes == 2


def test_lines_dropped_by_a_full_queue_are_counted_and_reported_later(handler):
    log = EventLog("edge-1", "info", handler, queue_lines=16)
    block_writer(handler, log)
    for _ in range(20):
        log(2101)
    handler.may_write.set()
    flush_log(log)
    assert handler.numbers() == [1001] + [2101] * 16 + [1007]
    assert handler.lines[-1].endswith('{"dropped":4,"refused":0,"reason":null}')
    log(1003)
    flush_log(log)
    assert handler.numbers()[-2:] == [1007, 1003]


def test_refused_writes_are_not_repeated_and_are_reported_later(handler):
    log = EventLog("edge-1", "info", handler)
    handler.refusal = WriteRefusedError(0, os.strerror(errno.ENOSPC))
    for _ in range(3):
        log(2101)
        flush_log(log)
    assert handler.writes == 3 and handler.lines == []
    handler.refusal = None
    log(1003)
    flush_log(log)
    assert handler.numbers() == [1003, 1007]
    assert handler.lines[-1].endswith(
        '{"dropped":0,"refused":3,"reason":"No space left on device"}'
    )


def test_a_log_at_level_error_reports_lost_lines_too(handler):
    log = EventLog("edge-1", "error", handler)
    handler.refusal = WriteRefusedError(0, "full")
    log(1005)
    flush_log(log)
    handler.refusal = None
    log(1005)
    flush_log(log)
    assert handler.numbers() == [1005, 1007]


def test_lines_refused_by_a_full_disk_are_not_retried():
    with open("/dev/full", "wb", buffering=0) as full:
        handler = LineStreamHandler(full.fileno())
        log = EventLog("edge-1", "info", handler)
        log(1001)
        flush_log(log)
        assert log.writer.refused == 1
        assert log.writer.reason == os.strerror(errno.ENOSPC)


class PartialStream:
    """Accepts `room` bytes, refuses the rest of that write, and accepts everything later."""

    def __init__(self, room):
        self.room = room
        self.data = b""
        self.is_refusing = False

    def write(self, data):
        if self.is_refusing:
            self.is_refusing, self.room = False, None
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        taken = data if self.room is None else data[: self.room]
        self.is_refusing = self.room is not None
        self.data += taken
        return len(taken)


def test_after_a_partly_written_line_the_next_starts_on_a_new_line(handler):
    partial = LineStreamHandler()
    first = f"{STAMP} INFO LH1001 edge-1: {EVENTS[1001][1]}\n".encode()
    partial.stream = PartialStream(room=len(first) + 5)
    log = EventLog("edge-1", "info", handler, wall_ns=lambda: WALL_NS)
    block_writer(handler, log)
    log.writer.handler = partial
    for number in (1001, 1003, 1003):
        log(number)
    handler.may_write.set()
    flush_log(log)
    assert partial.stream.data == first + STAMP[:5].encode()
    assert log.writer.refused == 2
    log(1002)
    flush_log(log)
    lines = partial.stream.data.decode().splitlines()
    assert [re.sub(r".* LH(\d+) .*", r"\1", line) for line in lines] == [
        "1001",
        STAMP[:5],
        "1002",
        "1007",
    ]


def test_close_writes_queued_lines_and_closes_the_handler(handler):
    log = EventLog("edge-1", "info", handler)
    block_writer(handler, log)
    for _ in range(600):
        log(2101)
    handler.may_write.set()
    assert log.close(TIMEOUT_SECONDS)
    assert handler.numbers() == [1001] + [2101] * 600
    assert handler.is_closed


def test_close_waits_for_a_blocked_write_no_longer_than_its_timeout(handler):
    log = EventLog("edge-1", "info", handler)
    block_writer(handler, log)
    assert not log.close(timeout_seconds=0)
    assert not handler.is_closed
    log(1003)
    assert not log.close(timeout_seconds=0)


def test_a_log_without_lines_starts_no_thread_and_can_be_closed(handler):
    log = EventLog("edge-1", "info", handler)
    assert log.writer.thread is None
    assert log.close(timeout_seconds=0)
    assert handler.is_closed


def test_a_process_that_exits_without_closing_its_log_has_written_it(tmp_path):
    path = tmp_path / "log"
    program = f"""
import sys
from linkhaven.wire import make_log
log = make_log("edge-1", file={str(path)!r})
for turn in range(1000):
    log(2101, turn=turn)
sys.exit(2)
"""
    assert subprocess.run([sys.executable, "-c", program]).returncode == 2
    assert path.read_text().count("LH2101") == 1_000


def test_a_file_that_was_moved_or_removed_is_created_again(tmp_path):
    path = tmp_path / "log"
    log = make_log("edge-1", file=str(path))
    for turn, move_or_remove in enumerate((lambda: path.rename(tmp_path / "moved"), path.unlink)):
        log(2101, turn=turn)
        flush_log(log)
        move_or_remove()
    log(2101, turn=2)
    assert log.close(TIMEOUT_SECONDS)
    assert '"turn":0' in (tmp_path / "moved").read_text()
    assert '"turn":2' in path.read_text() and path.read_text().count("\n") == 1


def test_a_file_is_created_again_once_its_missing_directory_exists(tmp_path):
    folder = tmp_path / "logs"
    folder.mkdir()
    path = folder / "log"
    log = make_log("edge-1", file=str(path))
    path.unlink()
    folder.rmdir()
    for _ in range(2):
        log(1002)
        flush_log(log)
    assert log.writer.refused == 2
    folder.mkdir()
    log(1003)
    flush_log(log)
    assert log.close(TIMEOUT_SECONDS)
    assert [line.split()[2] for line in path.read_text().splitlines()] == ["LH1003", "LH1007"]


def test_the_writer_thread_blocks_the_signals_of_the_loop(handler):
    masks = []
    handler.emit = lambda record: masks.append(signal.pthread_sigmask(signal.SIG_BLOCK, ()))
    log = EventLog("edge-1", "info", handler)
    log(1001)
    flush_log(log)
    assert masks[0] >= {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def test_lines_stay_queued_if_the_thread_cannot_be_started(handler, monkeypatch):
    log = EventLog("edge-1", "info", handler)

    def refuse(thread):
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patched:
        patched.setattr(threading.Thread, "start", refuse)
        log(1001)
    log(1003)
    flush_log(log)
    assert handler.numbers() == [1001, 1003]


SETTINGS = {
    "name": "edge-1",
    "zone": "z",
    "lines": "10.0.0.1:7000",
    "http": "10.0.0.1:80",
    "seeds": ["10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"],
}


@pytest.mark.parametrize(
    "setting, value, fault",
    [
        ("level", "loud", ""),
        ("file", "/nowhere/at/all/log", "/nowhere/at/all is not a folder"),
        ("file", "/", "is a folder"),
        ("file", 7, "is not a file"),
        ("queue_lines", 0, ""),
        ("queue_lines", "many", ""),
        ("colour", "red", ""),
    ],
)
def test_an_invalid_log_setting_is_reported_with_its_key(setting, value, fault):
    with pytest.raises(ServiceError) as caught:
        check_settings("router", {**SETTINGS, "log": {setting: value}})
    (place,) = caught.value.detail["places"]
    assert place["place"] == f"log/{setting}" and fault in place["fault"]


def test_the_log_settings_match_the_parameters_of_make_log(tmp_path):
    settings = check_settings("router", {**SETTINGS, "log": {"file": str(tmp_path / "log")}})
    log = make_log("edge-1", **settings["log"])
    assert isinstance(log.writer.handler, LineFileHandler)
    assert log.writer.queue_lines == 4_096
    assert log.close(TIMEOUT_SECONDS)


def test_a_file_that_cannot_be_opened_is_reported_with_its_key(tmp_path):
    with pytest.raises(ServiceError) as caught:
        make_log("edge-1", file=str(tmp_path))
    assert caught.value.detail["places"][0]["place"] == "log/file"
