"""A small TCP relay that can hold traffic, reset connections, delay data or drop answers.

All relays of a soak run on one dedicated thread. `Relay.set_mode` and `Relay.set_absent` may be
called from any thread and return once the relay thread has applied them.
"""

import queue
import random
import selectors
import socket
import threading
import time
from collections import deque
from enum import StrEnum

READ_BYTES = 65_536
BUFFER_BYTES = 262_144
"""Most bytes buffered for one direction; the source is not read while the buffer is full."""

BACKLOG = 256
CONNECT_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 10.0
MAX_SELECT_WAIT_S = 0.5
LINGER_ZERO = b"\x01\0\0\0\0\0\0\0"
LOST_ANSWER_PROBABILITY = 0.5
"""Probability of losing each answer in mode `LOSE_ANSWERS`."""


class Mode(StrEnum):
    """What a relay does with the traffic that passes through it."""

    PASS = "pass"
    HOLD = "hold"
    RESET = "reset"
    DELAY = "delay"
    LOSE_ANSWERS = "lose_answers"


def now_us():
    """Monotonic time in microseconds, the same for all processes of a machine."""
    return time.monotonic_ns() // 1_000


def reset(sock):
    """Close the socket so that the peer sees a reset instead of an orderly end."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    except OSError:
        pass
    sock.close()


class Flow:
    """One direction of a connection: buffered chunks, each with the time at which it is due."""

    __slots__ = ("source", "sink", "chunks", "size", "is_eof", "is_finished")

    def __init__(self, source, sink):
        """Start with an empty buffer."""
        self.source = source
        self.sink = sink
        self.chunks = deque()
        self.size = 0
        self.is_eof = False
        self.is_finished = False

    def add(self, data, due_us):
        """Buffer a chunk read from the source, to be forwarded at `due_us`."""
        self.chunks.append((due_us, data))
        self.size += len(data)

    def release_delayed(self):
        """Make all delayed chunks due now."""
        self.chunks = deque((0, data) for _, data in self.chunks)

    def due_us(self):
        """When the first chunk is due, or None if nothing is buffered."""
        return self.chunks[0][0] if self.chunks else None

    def wants_write(self, at_us):
        """Whether there is something to forward now: a chunk, or the end after the last one."""
        if self.chunks:
            return self.chunks[0][0] <= at_us
        return self.is_eof and not self.is_finished

    def wants_read(self):
        """Whether the source is open and the buffer has room."""
        return not self.is_eof and self.size < BUFFER_BYTES

    def flush(self, at_us):
        """Forward what is due as far as the sink accepts it; raises OSError if the sink fails."""
        while self.chunks and self.chunks[0][0] <= at_us:
            due_us, data = self.chunks.popleft()
            try:
                sent = self.sink.send(data)
            except BlockingIOError:
                sent = 0
            self.size -= sent
            if sent < len(data):
                self.chunks.appendleft((due_us, data[sent:]))
                return
        if self.is_eof and not self.chunks and not self.is_finished:
            self.is_finished = True
            self.sink.shutdown(socket.SHUT_WR)


class Connection:
    """A client's connection and the corresponding one to the target."""

    __slots__ = ("relay", "client", "server", "request", "answer", "is_answer_kept", "is_closed")

    def __init__(self, relay, client):
        """Wrap an accepted client socket; the target is not connected yet."""
        self.relay = relay
        self.client = client
        self.server = None
        self.request = self.answer = None
        self.is_answer_kept = False
        self.is_closed = False

    def connect(self):
        """Connect to the target; returns whether it accepted the connection."""
        try:
            self.server = socket.create_connection(self.relay.target, CONNECT_TIMEOUT_S)
        except OSError:
            return False
        for sock in (self.client, self.server):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request = Flow(self.client, self.server)
        self.answer = Flow(self.server, self.client)
        return True

    def flows(self):
        """Both directions, or none before the target is connected."""
        return (self.request, self.answer) if self.server is not None else ()

    def sockets(self):
        """The open sockets of the connection."""
        return [sock for sock in (self.client, self.server) if sock is not None]


class Relay:
    """One listening address in front of one target address."""

    __slots__ = (
        "name",
        "target",
        "address",
        "mode",
        "delay_us",
        "lost",
        "loop",
        "port_reservation",
        "listener",
        "connections",
        "rng",
    )

    def __init__(self, loop, name, target, seed):
        """Reserve a free port of 127.0.0.1.

        `port_reservation` stays bound without listening, so that the port is kept while the
        target is absent.
        """
        self.loop = loop
        self.name = name
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = Mode.PASS
        self.delay_us = 0
        self.lost = 0
        self.connections = set()
        self.rng = random.Random(f"{seed}/{name}")
        self.port_reservation = self._bind(0)
        self.address = "127.0.0.1:{}".format(self.port_reservation.getsockname()[1])
        self.listener = None

    def _bind(self, port):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", port))
        return sock

    def set_mode(self, mode, delay_us=0):
        """Apply the mode to open and new connections; `Mode.PASS` ends any disturbance."""
        self.loop.call(lambda: self._set_mode(mode, delay_us))

    def set_absent(self, is_absent):
        """Refuse connections, as if the target's process were gone, or accept them again."""
        self.loop.call(lambda: self._set_absent(is_absent))

    def _set_mode(self, mode, delay_us):
        self.mode, self.delay_us = mode, delay_us
        if mode is Mode.RESET:
            for connection in list(self.connections):
                self.loop.end(connection)
        for connection in list(self.connections):
            if not delay_us:
                for flow in connection.flows():
                    flow.release_delayed()
            self.loop.update_events(connection)

    def _set_absent(self, is_absent):
        if is_absent and self.listener is not None:
            self.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None
        elif not is_absent and self.listener is None:
            self.listen()

    def listen(self):
        """Start accepting connections; called on the relay thread."""
        self.listener = self._bind(int(self.address.rpartition(":")[2]))
        self.listener.setblocking(False)
        self.listener.listen(BACKLOG)
        self.loop.watch(self.listener, selectors.EVENT_READ, self)

    def should_lose_answer(self, connection):
        """Whether to lose the answer that starts on this connection; drawn once per answer."""
        if self.mode is not Mode.LOSE_ANSWERS or connection.is_answer_kept:
            return False
        connection.is_answer_kept = self.rng.random() >= LOST_ANSWER_PROBABILITY
        self.lost += not connection.is_answer_kept
        return not connection.is_answer_kept


class RelayLoop:
    """The event loop and thread shared by all relays."""

    __slots__ = (
        "selector",
        "commands",
        "wake_sender",
        "wake_receiver",
        "thread",
        "relays",
        "is_closed",
        "seed",
    )

    def __init__(self, seed):
        """Start the thread; `seed` determines which answers are lost."""
        self.seed = seed
        self.selector = selectors.DefaultSelector()
        self.commands = queue.SimpleQueue()
        self.relays = []
        self.is_closed = False
        self.wake_sender, self.wake_receiver = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.selector.register(self.wake_receiver, selectors.EVENT_READ, None)
        self.thread = threading.Thread(target=self._run, name="relays", daemon=True)
        self.thread.start()

    def add(self, name, target):
        """Create a relay that listens in front of the target address."""
        relay = Relay(self, name, target, self.seed)
        self.relays.append(relay)
        self.call(relay.listen)
        return relay

    def call(self, action):
        """Run `action` on the relay thread and wait for it; raises RuntimeError on a timeout."""
        is_done = threading.Event()
        self.commands.put((action, is_done))
        self.wake_sender.send(b"x")
        if not is_done.wait(COMMAND_TIMEOUT_S):
            raise RuntimeError("the relay thread did not respond in time")

    def close(self):
        """Reset all connections and end the thread."""
        if not self.is_closed:
            self.call(self._close)
            self.thread.join(COMMAND_TIMEOUT_S)

    def _close(self):
        self.is_closed = True
        for relay in self.relays:
            for connection in list(relay.connections):
                self.end(connection)
            if relay.listener is not None:
                self.unwatch(relay.listener)
                relay.listener.close()
            relay.port_reservation.close()

    def watch(self, sock, events, data):
        """Watch exactly these events of a socket; no events unregisters it."""
        key = self.selector.get_map().get(sock)
        if key is None:
            if events:
                self.selector.register(sock, events, data)
        elif not events:
            self.selector.unregister(sock)
        elif key.events != events:
            self.selector.modify(sock, events, data)

    def unwatch(self, sock):
        """Stop watching a socket, unless it is closed."""
        if sock.fileno() >= 0:
            self.watch(sock, 0, None)

    def end(self, connection):
        """Reset both sides of a connection."""
        if connection.is_closed:
            return
        connection.is_closed = True
        connection.relay.connections.discard(connection)
        for sock in connection.sockets():
            self.unwatch(sock)
            reset(sock)

    def update_events(self, connection):
        """Connect to the target if needed and watch the events that the mode and buffers allow."""
        if connection.is_closed:
            return
        if connection.relay.mode is Mode.HOLD:
            for sock in connection.sockets():
                self.unwatch(sock)
            return
        if connection.server is None and not connection.connect():
            return self.end(connection)
        if connection.request.is_finished and connection.answer.is_finished:
            return self._finish(connection)
        at_us = now_us()
        for reading, writing in (
            (connection.request, connection.answer),
            (connection.answer, connection.request),
        ):
            events = selectors.EVENT_READ if reading.wants_read() else 0
            events |= selectors.EVENT_WRITE if writing.wants_write(at_us) else 0
            self.watch(reading.source, events, connection)

    def _finish(self, connection):
        connection.is_closed = True
        connection.relay.connections.discard(connection)
        for sock in connection.sockets():
            self.unwatch(sock)
            sock.close()

    def _run(self):
        while not self.is_closed:
            for key, events in self.selector.select(self._select_timeout_s()):
                self._handle_event(key, events)
            self._run_commands()
            self._update_delayed()

    def _handle_event(self, key, events):
        if key.data is None:
            self._drain_wake_signals()
        elif isinstance(key.data, Relay):
            self._accept(key.data)
        elif not key.data.is_closed:
            self._transfer(key.data, key.fileobj, events)

    def _select_timeout_s(self):
        due_times_us = [
            flow.due_us()
            for connection in self._delayed()
            for flow in connection.flows()
            if flow.chunks
        ]
        if not due_times_us:
            return MAX_SELECT_WAIT_S
        return min(MAX_SELECT_WAIT_S, max(0, min(due_times_us) - now_us()) / 1_000_000)

    def _delayed(self):
        """Connections that may have delayed chunks."""
        return [
            connection
            for relay in self.relays
            if relay.delay_us and relay.mode is not Mode.HOLD
            for connection in relay.connections
        ]

    def _update_delayed(self):
        for connection in self._delayed():
            self.update_events(connection)

    def _drain_wake_signals(self):
        try:
            self.wake_receiver.recv(READ_BYTES)
        except BlockingIOError:
            pass

    def _run_commands(self):
        while not self.commands.empty():
            action, is_done = self.commands.get()
            action()
            is_done.set()

    def _accept(self, relay):
        try:
            sock, _ = relay.listener.accept()
        except (OSError, AttributeError):
            return
        if relay.mode is Mode.RESET:
            return reset(sock)
        connection = Connection(relay, sock)
        relay.connections.add(connection)
        self.update_events(connection)

    def _transfer(self, connection, sock, events):
        is_client = sock is connection.client
        reading = connection.request if is_client else connection.answer
        writing = connection.answer if is_client else connection.request
        try:
            if events & selectors.EVENT_READ and not self._read(connection, reading):
                return self.end(connection)
            if events & selectors.EVENT_WRITE:
                writing.flush(now_us())
            if not connection.relay.delay_us:
                reading.flush(now_us())
        except OSError:
            return self.end(connection)
        self.update_events(connection)

    def _read(self, connection, flow):
        """Read from the source; returns False if the answer is to be lost with its connection."""
        try:
            data = flow.source.recv(READ_BYTES)
        except BlockingIOError:
            return True
        if not data:
            flow.is_eof = True
            return True
        if flow is connection.request:
            connection.is_answer_kept = False
        elif connection.relay.should_lose_answer(connection):
            return False
        flow.add(data, now_us() + connection.relay.delay_us)
        return True
