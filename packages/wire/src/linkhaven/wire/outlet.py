import errno
import socket
from collections import deque

import h11
from circuits import BaseComponent, handler

from linkhaven.clockwork import write_json

from .settings import split_address

CONNECT_US = 2_000_000
READ_BYTES = 65_536
FELLOW_BYTES = 4_000_000
AGAIN_US = 100_000


class Plug:
    """One outgoing socket, driven by the poller's events."""

    __slots__ = ("outlet", "sock", "is_open", "is_over", "has_begun", "out", "out_bytes", "on_data", "on_close", "is_held")

    def __init__(self, outlet, on_data, on_close):
        self.outlet = outlet
        self.sock = None
        self.is_open = False
        self.is_over = False
        self.has_begun = False
        self.is_held = False
        self.out = deque()
        self.out_bytes = 0
        self.on_data = on_data
        self.on_close = on_close

    def connect(self, address):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self.sock.connect_ex(split_address(address))
        if code not in (0, errno.EINPROGRESS):
            self.outlet.soon(self.fail)
            return
        self.outlet.plugs[self.sock] = self
        self.outlet.poller.addWriter(self.outlet, self.sock)
        self.outlet.soon(self._give_up, CONNECT_US)

    def _give_up(self):
        if not self.is_open:
            self.fail()

    def send(self, data):
        if self.is_over:
            return
        self.out.append(data)
        self.out_bytes += len(data)
        if self.is_open and not self.outlet.poller.isWriting(self.sock):
            self.outlet.poller.addWriter(self.outlet, self.sock)

    def can_write(self):
        if not self.is_open:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return self.fail()
            self.is_open = True
            if not self.is_held:
                self.outlet.poller.addReader(self.outlet, self.sock)
        try:
            while self.out:
                data = self.out.popleft()
                sent = self.sock.send(data)
                self.has_begun = True
                self.out_bytes -= sent
                if sent < len(data):
                    self.out.appendleft(data[sent:])
                    return
        except BlockingIOError:
            self.out.appendleft(data)
            return
        except OSError:
            return self.fail()
        self.outlet.poller.removeWriter(self.sock)

    def can_read(self):
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            return self.fail()
        if not data:
            return self.fail()
        self.on_data(data)

    def hold(self):
        if self.is_over or self.is_held:
            return
        self.is_held = True
        if self.is_open:
            self.outlet.poller.removeReader(self.sock)

    def release(self):
        if self.is_over or not self.is_held:
            return
        self.is_held = False
        if self.is_open:
            self.outlet.poller.addReader(self.outlet, self.sock)

    def fail(self):
        if self.is_over:
            return
        self.close()
        self.on_close(self.has_begun)

    def close(self):
        if self.is_over:
            return
        self.is_over = True
        if self.sock in self.outlet.plugs:
            del self.outlet.plugs[self.sock]
            self.outlet.poller.discard(self.sock)
        self.sock.close()


class Exchange:
    """One HTTP call to another process, by h11 over a plug."""

    __slots__ = ("plug", "http", "hearer", "is_over")

    def __init__(self, outlet, address, method, path, headers, body, hearer):
        self.hearer = hearer
        self.is_over = False
        self.http = h11.Connection(h11.CLIENT)
        self.plug = Plug(outlet, self._on_data, self._on_close)
        self.plug.connect(address)
        fields = [("host", address), ("connection", "close"), ("content-length", str(len(body))), *headers.items()]
        data = self.http.send(h11.Request(method=method, target=path, headers=fields))
        if body:
            data += self.http.send(h11.Data(data=body))
        self.plug.send(data + self.http.send(h11.EndOfMessage()))

    def _on_data(self, data):
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._break(True)

    def _read_events(self):
        while not self.is_over:
            event = self.http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                headers = {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in event.headers}
                self.hearer.on_head(event.status_code, headers)
            elif isinstance(event, h11.Data):
                self.hearer.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.close()
                return self.hearer.on_end()
            elif isinstance(event, h11.ConnectionClosed):
                return self._break(True)

    def _on_close(self, has_begun):
        if self.is_over:
            return
        try:
            self.http.receive_data(b"")
            self._read_events()
        except h11.RemoteProtocolError:
            pass
        self._break(has_begun)

    def _break(self, has_begun):
        if self.is_over:
            return
        self.close()
        self.hearer.on_trouble(has_begun)

    def hold(self):
        self.plug.hold()

    def release(self):
        self.plug.release()

    def close(self):
        self.is_over = True
        self.plug.close()


class Fellowship:
    """The lasting conn for JSON lines to one address; what cannot be sent is dropped, never kept for later."""

    __slots__ = ("outlet", "address", "plug", "failed_us")

    def __init__(self, outlet, address):
        self.outlet = outlet
        self.address = address
        self.plug = None
        self.failed_us = None

    def send(self, line):
        if self.plug is None:
            now_us = self.outlet.clock.now_us()
            if self.failed_us is not None and now_us - self.failed_us < AGAIN_US:
                return
            self.plug = Plug(self.outlet, lambda data: None, self._on_close)
            self.plug.connect(self.address)
        if self.plug.out_bytes > FELLOW_BYTES:
            return
        self.plug.send(line)

    def _on_close(self, has_begun):
        self.plug = None
        self.failed_us = self.outlet.clock.now_us()


class Outlet(BaseComponent):
    """All outgoing sockets: JSON lines to fellows and HTTP calls. It is the wire port of the nodes."""

    channel = "outlet"

    def __init__(self, clock, poller, address, on_own_line):
        super().__init__()
        self.clock = clock
        self.address = address
        self.on_own_line = on_own_line
        self.plugs = {}
        self.fellows = {}
        self.poller = poller

    def soon(self, deed, delay_us=0):
        self.clock.call_in(delay_us, deed)

    def tell(self, address, message):
        if address == self.address:
            return self.soon(lambda: self.on_own_line(message))
        fellow = self.fellows.get(address)
        if fellow is None:
            fellow = self.fellows[address] = Fellowship(self, address)
        fellow.send(write_json(message) + b"\n")

    def open(self, address, method, path, headers, body, hearer):
        return Exchange(self, address, method, path, headers, body, hearer)

    @handler("_read")
    def _on_can_read(self, sock):
        plug = self.plugs.get(sock)
        if plug is not None:
            plug.can_read()

    @handler("_write")
    def _on_can_write(self, sock):
        plug = self.plugs.get(sock)
        if plug is not None:
            plug.can_write()

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        plug = self.plugs.get(sock)
        if plug is not None:
            plug.fail()
