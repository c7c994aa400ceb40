"""The relay of a soak on real sockets: it forwards, holds, resets, delays and loses answers."""

import socket
import threading
import time

import pytest

from linkhaven.stage.soak.relay import LOST_ANSWER_PROBABILITY, Mode, RelayLoop

TIMEOUT_S = 20
HOLD_TIMEOUT_S = 0.2


class EchoServer(threading.Thread):
    """Answers each chunk with its upper-case form and keeps the chunks that it received."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:{}".format(self.listener.getsockname()[1])
        self.received = []
        self.received_condition = threading.Condition()

    def run(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def close(self):
        """Shut down first: a close alone leaves the port listening while accept is blocked."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def serve(self, conn):
        with conn:
            while data := self.read(conn):
                with self.received_condition:
                    self.received.append(data)
                    self.received_condition.notify_all()
                conn.sendall(data.upper())

    def read(self, conn):
        try:
            return conn.recv(65_536)
        except OSError:
            return b""

    def wait_received(self, data):
        with self.received_condition:
            return self.received_condition.wait_for(lambda: data in self.received, TIMEOUT_S)


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
    conn = socket.create_connection((host, int(port)), TIMEOUT_S)
    conn.settimeout(TIMEOUT_S)
    return conn


def test_data_and_an_orderly_end_pass_in_both_directions(relay):
    with connect(relay) as conn:
        conn.sendall(b"one")
        assert conn.recv(10) == b"ONE"
        conn.shutdown(socket.SHUT_WR)
        assert conn.recv(10) == b""


def test_a_large_transfer_arrives_complete(relay):
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
            old.settimeout(HOLD_TIMEOUT_S)
            with pytest.raises(TimeoutError):
                old.recv(10)
            assert server.received == [b"before"]
            old.settimeout(TIMEOUT_S)
            relay.set_mode(Mode.PASS)
            assert old.recv(10) == b"HELD"
            assert new.recv(10) == b"NEW"


def test_a_reset_ends_open_and_new_connections(relay):
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


def test_a_delay_applies_in_each_direction(relay):
    relay.set_mode(Mode.DELAY, delay_us=100_000)
    with connect(relay) as conn:
        started = time.monotonic()
        conn.sendall(b"late")
        assert conn.recv(10) == b"LATE"
        assert time.monotonic() - started >= 0.2
        relay.set_mode(Mode.PASS)
        conn.sendall(b"soon")
        assert conn.recv(10) == b"SOON"


def test_delayed_data_is_forwarded_at_once_when_the_delay_ends(relay, server):
    relay.set_mode(Mode.DELAY, delay_us=1_000_000 * TIMEOUT_S * 2)
    with connect(relay) as conn:
        conn.sendall(b"waits")
        conn.settimeout(HOLD_TIMEOUT_S)
        with pytest.raises(TimeoutError):
            conn.recv(10)
        conn.settimeout(TIMEOUT_S)
        relay.set_mode(Mode.PASS)
        assert conn.recv(10) == b"WAITS"


def test_an_answer_is_lost_only_after_its_request_was_forwarded(relay, server):
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
        assert server.wait_received(word)
    assert lost == relay.lost
    assert min(lost, kept) > 40 * LOST_ANSWER_PROBABILITY / 4


def test_the_same_seed_loses_the_same_answers(server):
    draws = []
    for _ in range(2):
        loop = RelayLoop(seed=7)
        relay = loop.add("echo", server.address)
        draws.append([relay.rng.random() for _ in range(20)])
        loop.close()
    assert draws[0] == draws[1]


def test_an_absent_target_refuses_and_accepts_again_at_the_same_address(relay):
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
