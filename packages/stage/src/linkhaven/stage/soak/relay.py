"""A small TCP relay that can disturb what passes: hold it, reset, delay, or lose answers.

All relays of a soak run on one thread of their own. `Relay.set_mode` and the other calls come from
any thread and return once the relay's thread has acted on them.
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
"""So much of one direction is kept; beyond it the source is not read."""

BACKLOG = 256
CONNECT_S = 1.0
COMMAND_S = 10.0
MOST_WAIT_S = 0.5
LINGER_NONE = b"\x01\0\0\0\0\0\0\0"
LOST_SHARE = 0.5
"""Where answers are lost, each one is with this chance."""


class Mode(StrEnum):
    """What a relay does with what passes."""

    PASS = "pass"
    HOLD = "hold"
    RESET = "reset"
    DELAY = "delay"
    LOSE_ANSWERS = "lose_answers"


def now_us():
    """Monotonic time, the same for all processes of a machine."""
    return time.monotonic_ns() // 1_000


def reset(sock):
    """Close so that the other side sees a reset, not an orderly end."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    except OSError:
        pass
    sock.close()


class Flow:
    """One direction of a connection: chunks on their way, each with the time from when it goes on."""

    __slots__ = ("source", "sink", "chunks", "size", "is_eof", "is_finished")

    def __init__(self, source, sink):
        """Nothing is on its way yet."""
        self.source = source
        self.sink = sink
        self.chunks = deque()
        self.size = 0
        self.is_eof = False
        self.is_finished = False

    def add(self, data, due_us):
        """Take a chunk that came from the source."""
        self.chunks.append((due_us, data))
        self.size += len(data)

    def hasten(self):
        """Whatever waits for its time goes on now."""
        self.chunks = deque((0, data) for _, data in self.chunks)

    def due_us(self):
        """From when the first chunk goes on, or None."""
        return self.chunks[0][0] if self.chunks else None

    def wants_write(self, at_us):
        """Whether something may go on now: a chunk, or the end behind the last one."""
        if self.chunks:
            return self.chunks[0][0] <= at_us
        return self.is_eof and not self.is_finished

    def wants_read(self):
        """Whether there is room for more."""
        return not self.is_eof and self.size < BUFFER_BYTES

    def flush(self, at_us):
        """Pass on what is due, as far as the sink takes it; raises OSError where it is broken."""
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
    """A client's connection and the one to the target behind it."""

    __slots__ = ("relay", "client", "server", "request", "answer", "is_answer_kept", "is_over")

    def __init__(self, relay, client):
        """Accepted; the target isn't reached yet."""
        self.relay = relay
        self.client = client
        self.server = None
        self.request = self.answer = None
        self.is_answer_kept = False
        self.is_over = False

    def reach(self):
        """Connect to the target; answers whether it took the connection."""
        try:
            self.server = socket.create_connection(self.relay.target, CONNECT_S)
        except OSError:
            return False
        for sock in (self.client, self.server):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request = Flow(self.client, self.server)
        self.answer = Flow(self.server, self.client)
        return True

    def flows(self):
        """Both directions, once the target is reached."""
        return (self.request, self.answer) if self.server is not None else ()

    def sockets(self):
        """The sockets there are."""
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
        "guard",
        "listener",
        "connections",
        "dice",
    )

    def __init__(self, loop, name, target, seed):
        """Listen on a free port of 127.0.0.1; the guard keeps that port while nothing listens."""
        self.loop = loop
        self.name = name
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = Mode.PASS
        self.delay_us = 0
        self.lost = 0
        self.connections = set()
        self.dice = random.Random(f"{seed}/{name}")
        self.guard = self._bind(0)
        self.address = "127.0.0.1:{}".format(self.guard.getsockname()[1])
        self.listener = None

    def _bind(self, port):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", port))
        return sock

    def set_mode(self, mode, delay_us=0):
        """Disturb from now on in this way, or no longer (`Mode.PASS`)."""
        self.loop.call(lambda: self._set_mode(mode, delay_us))

    def set_absent(self, is_absent):
        """The target's process is gone (or back): connections are refused, as they would be."""
        self.loop.call(lambda: self._set_absent(is_absent))

    def _set_mode(self, mode, delay_us):
        self.mode, self.delay_us = mode, delay_us
        if mode is Mode.RESET:
            for connection in list(self.connections):
                self.loop.end(connection)
        for connection in list(self.connections):
            if not delay_us:
                for flow in connection.flows():
                    flow.hasten()
            self.loop.settle(connection)

    def _set_absent(self, is_absent):
        if is_absent and self.listener is not None:
            self.loop.forget(self.listener)
            self.listener.close()
            self.listener = None
        elif not is_absent and self.listener is None:
            self.listen()

    def listen(self):
        """Take connections from now on; called on the relays' thread."""
        self.listener = self._bind(int(self.address.rpartition(":")[2]))
        self.listener.setblocking(False)
        self.listener.listen(BACKLOG)
        self.loop.watch(self.listener, selectors.EVENT_READ, self)

    def loses_answer(self, connection):
        """Whether the answer that begins to come on this connection is lost; one throw each."""
        if self.mode is not Mode.LOSE_ANSWERS or connection.is_answer_kept:
            return False
        connection.is_answer_kept = self.dice.random() >= LOST_SHARE
        self.lost += not connection.is_answer_kept
        return not connection.is_answer_kept


class RelayLoop:
    """The thread that all relays run on."""

    __slots__ = ("selector", "commands", "waker", "woken", "thread", "relays", "is_over", "seed")

    def __init__(self, seed):
        """Start the thread; `seed` decides which answers are lost."""
        self.seed = seed
        self.selector = selectors.DefaultSelector()
        self.commands = queue.SimpleQueue()
        self.relays = []
        self.is_over = False
        self.waker, self.woken = socket.socketpair()
        self.woken.setblocking(False)
        self.selector.register(self.woken, selectors.EVENT_READ, None)
        self.thread = threading.Thread(target=self._run, name="relays", daemon=True)
        self.thread.start()

    def add(self, name, target):
        """A new relay in front of the target address, listening."""
        relay = Relay(self, name, target, self.seed)
        self.relays.append(relay)
        self.call(relay.listen)
        return relay

    def call(self, deed):
        """Do something on the relays' thread and wait until it is done."""
        is_done = threading.Event()
        self.commands.put((deed, is_done))
        self.waker.send(b"x")
        if not is_done.wait(COMMAND_S):
            raise RuntimeError("the relays' thread does not answer")

    def close(self):
        """End all connections and the thread."""
        if not self.is_over:
            self.call(self._close)
            self.thread.join(COMMAND_S)

    def _close(self):
        self.is_over = True
        for relay in self.relays:
            for connection in list(relay.connections):
                self.end(connection)
            if relay.listener is not None:
                self.forget(relay.listener)
                relay.listener.close()
            relay.guard.close()

    def watch(self, sock, events, data):
        """Look out for these events of a socket, and no others."""
        key = self.selector.get_map().get(sock)
        if key is None:
            if events:
                self.selector.register(sock, events, data)
        elif not events:
            self.selector.unregister(sock)
        elif key.events != events:
            self.selector.modify(sock, events, data)

    def forget(self, sock):
        """Look out for nothing of a socket any more."""
        if sock.fileno() >= 0:
            self.watch(sock, 0, None)

    def end(self, connection):
        """Reset both sides."""
        if connection.is_over:
            return
        connection.is_over = True
        connection.relay.connections.discard(connection)
        for sock in connection.sockets():
            self.forget(sock)
            reset(sock)

    def settle(self, connection):
        """Look out for what the relay's mode lets pass now."""
        if connection.is_over:
            return
        if connection.relay.mode is Mode.HOLD:
            for sock in connection.sockets():
                self.forget(sock)
            return
        if connection.server is None and not connection.reach():
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
        connection.is_over = True
        connection.relay.connections.discard(connection)
        for sock in connection.sockets():
            self.forget(sock)
            sock.close()

    def _run(self):
        while not self.is_over:
            for key, events in self.selector.select(self._wait_s()):
                self._take(key, events)
            self._run_commands()
            self._pass_delayed()

    def _take(self, key, events):
        if key.data is None:
            self._drain_waker()
        elif isinstance(key.data, Relay):
            self._accept(key.data)
        elif not key.data.is_over:
            self._move(key.data, key.fileobj, events)

    def _wait_s(self):
        dues = [
            flow.due_us()
            for connection in self._delayed()
            for flow in connection.flows()
            if flow.chunks
        ]
        if not dues:
            return MOST_WAIT_S
        return min(MOST_WAIT_S, max(0, min(dues) - now_us()) / 1_000_000)

    def _delayed(self):
        """Connections that may have chunks waiting for their time."""
        return [
            connection
            for relay in self.relays
            if relay.delay_us and relay.mode is not Mode.HOLD
            for connection in relay.connections
        ]

    def _pass_delayed(self):
        for connection in self._delayed():
            self.settle(connection)

    def _drain_waker(self):
        try:
            self.woken.recv(READ_BYTES)
        except BlockingIOError:
            pass

    def _run_commands(self):
        while not self.commands.empty():
            deed, is_done = self.commands.get()
            deed()
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
        self.settle(connection)

    def _move(self, connection, sock, events):
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
        self.settle(connection)

    def _read(self, connection, flow):
        """Take what came; answers False where the answer is lost and the connection with it."""
        try:
            data = flow.source.recv(READ_BYTES)
        except BlockingIOError:
            return True
        if not data:
            flow.is_eof = True
            return True
        if flow is connection.request:
            connection.is_answer_kept = False
        elif connection.relay.loses_answer(connection):
            return False
        flow.add(data, now_us() + connection.relay.delay_us)
        return True
