"""The relay of a soak, on real sockets: it passes, holds, resets, delays and loses answers."""

import socket
import threading
import time

import pytest

from linkhaven.stage.soak.relay import LOST_SHARE, Mode, RelayLoop

PATIENCE_S = 20
HELD_S = 0.2


class EchoServer(threading.Thread):
    """Answers each chunk with the same in capitals, and notes what reached it."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:{}".format(self.listener.getsockname()[1])
        self.heard = []
        self.has_heard = threading.Condition()

    def run(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def close(self):
        """A close alone would leave the port listening for the accept that waits."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def serve(self, conn):
        with conn:
            while data := self.read(conn):
                with self.has_heard:
                    self.heard.append(data)
                    self.has_heard.notify_all()
                conn.sendall(data.upper())

    def read(self, conn):
        try:
            return conn.recv(65_536)
        except OSError:
            return b""

    def wait_heard(self, data):
        with self.has_heard:
            return self.has_heard.wait_for(lambda: data in self.heard, PATIENCE_S)


@pytest.fixture
def server():
    server = EchoServer()
    server.start()
    yield server
    server.close()


@pytest.fixture
def relay(server):
    loop = RelayLoop(seed=1)
    yield loop.add("echo", server.address)
    loop.close()


def connect(relay):
    host, port = relay.address.split(":")
    conn = socket.create_connection((host, int(port)), PATIENCE_S)
    conn.settimeout(PATIENCE_S)
    return conn


def test_what_comes_passes_both_ways_and_an_end_is_an_end(relay):
    with connect(relay) as conn:
        conn.sendall(b"one")
        assert conn.recv(10) == b"ONE"
        conn.shutdown(socket.SHUT_WR)
        assert conn.recv(10) == b""


def test_many_bytes_arrive_whole(relay):
    sent = b"abcdefgh" * 250_000
    got = bytearray()
    with connect(relay) as conn:
        sender = threading.Thread(target=conn.sendall, args=(sent,))
        sender.start()
        while len(got) < len(sent):
            got += conn.recv(65_536)
        sender.join()
    assert got == sent.upper()


def test_held_bytes_arrive_once_the_hold_ends(relay, server):
    with connect(relay) as old:
        old.sendall(b"before")
        assert old.recv(10) == b"BEFORE"
        relay.set_mode(Mode.HOLD)
        old.sendall(b"held")
        with connect(relay) as new:
            new.sendall(b"new")
            old.settimeout(HELD_S)
            with pytest.raises(TimeoutError):
                old.recv(10)
            assert server.heard == [b"before"]
            old.settimeout(PATIENCE_S)
            relay.set_mode(Mode.PASS)
            assert old.recv(10) == b"HELD"
            assert new.recv(10) == b"NEW"


def test_a_reset_meets_what_is_open_and_what_comes(relay):
    with connect(relay) as conn:
        conn.sendall(b"one")
        assert conn.recv(10) == b"ONE"
        relay.set_mode(Mode.RESET)
        with pytest.raises(ConnectionError):
            conn.recv(10)
    with pytest.raises(ConnectionError), connect(relay) as conn:
        conn.recv(10)
    relay.set_mode(Mode.PASS)
    with connect(relay) as conn:
        conn.sendall(b"two")
        assert conn.recv(10) == b"TWO"


def test_a_delay_holds_each_way_for_its_time(relay):
    relay.set_mode(Mode.DELAY, delay_us=100_000)
    with connect(relay) as conn:
        begun = time.monotonic()
        conn.sendall(b"late")
        assert conn.recv(10) == b"LATE"
        assert time.monotonic() - begun >= 0.2
        relay.set_mode(Mode.PASS)
        conn.sendall(b"soon")
        assert conn.recv(10) == b"SOON"


def test_what_is_delayed_when_the_delay_ends_goes_on_at_once(relay, server):
    relay.set_mode(Mode.DELAY, delay_us=1_000_000 * PATIENCE_S * 2)
    with connect(relay) as conn:
        conn.sendall(b"waits")
        conn.settimeout(HELD_S)
        with pytest.raises(TimeoutError):
            conn.recv(10)
        conn.settimeout(PATIENCE_S)
        relay.set_mode(Mode.PASS)
        assert conn.recv(10) == b"WAITS"


def test_a_lost_answer_is_lost_after_its_request_went_through(relay, server):
    relay.set_mode(Mode.LOSE_ANSWERS)
    lost = kept = 0
    for number in range(40):
        word = f"word-{number}".encode()
        with connect(relay) as conn:
            conn.sendall(word)
            try:
                assert conn.recv(20) == word.upper()
                kept += 1
            except ConnectionError:
                lost += 1
        assert server.wait_heard(word)
    assert lost == relay.lost
    assert min(lost, kept) > 40 * LOST_SHARE / 4


def test_the_same_seed_loses_the_same_answers(server):
    courses = []
    for _ in range(2):
        loop = RelayLoop(seed=7)
        relay = loop.add("echo", server.address)
        courses.append([relay.dice.random() for _ in range(20)])
        loop.close()
    assert courses[0] == courses[1]


def test_an_absent_target_refuses_and_takes_again_at_the_same_address(relay):
    relay.set_absent(True)
    with pytest.raises(ConnectionRefusedError):
        connect(relay)
    relay.set_absent(False)
    with connect(relay) as conn:
        conn.sendall(b"back")
        assert conn.recv(10) == b"BACK"


def test_a_target_that_is_gone_resets_its_callers(relay, server):
    server.close()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):
        with connect(relay) as conn:
            conn.sendall(b"x")
            conn.recv(10)
