"""Connections to other nodes are replaced once their node has restarted or a connect hangs."""

import socket
import time
from types import SimpleNamespace

import pytest

from linkhaven.membership import Membership
from linkhaven.membership.messages import MemberList, MemberRecord
from linkhaven.runtime import Node as BaseNode
from linkhaven.wire import EventLoop
from linkhaven.wire.line_client import CONNECT_STALL_US

DEADLINE_S = 10
ROUTER_ADDRESS = "10.0.0.2:7000"


class Network:
    """Records for which addresses a reconnect was requested."""

    def __init__(self):
        self.reconnected = []

    def reconnect(self, address):
        self.reconnected.append(address)

    def send(self, address, message):
        pass


def make_membership():
    network = Network()
    ports = SimpleNamespace(network=network, log=lambda *args, **facts: None)
    node = SimpleNamespace(
        name="core-1",
        address="10.0.0.1:7000",
        ports=ports,
        register_handler=lambda message_type, handler: None,
        tick_handlers=[],
        late_tick_handlers=[],
        sender_listeners=[],
        now_us=lambda: 5,
        send=lambda address, message: None,
        bounds=SimpleNamespace(heartbeat_interval_us=1, heartbeat_timeout_us=1),
    )
    return Membership(node, "core", "north", [], 1), network


def receive_record(membership, incarnation, address=ROUTER_ADDRESS):
    record = MemberRecord("router-1", incarnation, address, "router", "north", "", 0, 0, True)
    membership.gossip.on_member_list(MemberList([record], sender="router-1", reply_to=address))


@pytest.mark.parametrize(
    "incarnation, address, reconnected",
    [(2, ROUTER_ADDRESS, [ROUTER_ADDRESS]), (1, ROUTER_ADDRESS, []), (2, "10.0.0.3:7000", [])],
)
def test_a_restart_at_the_same_address_is_reconnected_to_once(incarnation, address, reconnected):
    members, network = make_membership()
    receive_record(members, 1)
    assert network.reconnected == []
    receive_record(members, incarnation, address)
    receive_record(members, incarnation, address)
    assert network.reconnected == reconnected


class Node(BaseNode):
    """A node that records its messages and never ticks."""

    def __init__(self, ports, incarnation):
        super().__init__("test-node", "127.0.0.1:1", ports)
        self.received = []

    def tick(self):
        pass

    def dispatch(self, message):
        self.received.append(message)


class LoopWithListener:
    """An event loop with its client, and a listening socket that the client connects to."""

    def __init__(self, backlog=8):
        self.event_loop = EventLoop("test-node", None, None, Node, level="error", tick_us=2_000)
        self.event_loop._running = True
        self.client = self.event_loop.client
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.socks = [self.listener]

    def run_until(self, condition):
        end = time.monotonic() + DEADLINE_S
        while not condition():
            assert time.monotonic() < end, "the deadline passed"
            self.event_loop.tick()

    def run_for(self, span_us):
        end = time.monotonic() + span_us / 1_000_000
        self.run_until(lambda: time.monotonic() >= end)

    def accept(self):
        accepted = []

        def try_accept():
            try:
                accepted.append(self.listener.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.run_until(try_accept)
        accepted[0].setblocking(False)
        self.socks.append(accepted[0])
        return accepted[0]

    def read(self, sock):
        data = []

        def try_read():
            try:
                data.append(sock.recv(65_536))
            except BlockingIOError:
                return False
            return b"\n" in data[-1]

        self.run_until(try_read)
        return b"".join(data)

    def fill_backlog(self):
        """Open connections that are not accepted, so that the next connect hangs."""
        host, port = self.address.split(":")
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self.socks.append(sock)

    def close(self):
        for sock in self.socks:
            sock.close()


@pytest.fixture
def make_loop():
    loops = []

    def make(**settings):
        loops.append(LoopWithListener(**settings))
        return loops[-1]

    yield make
    for loop in loops:
        loop.close()


def test_the_next_line_after_a_reconnect_uses_a_new_connection(make_loop):
    loop = make_loop()
    loop.client.send(loop.address, {"say": "one"})
    assert b"one" in loop.read(loop.accept())
    loop.client.reconnect(loop.address)
    loop.client.send(loop.address, {"say": "two"})
    assert b"two" in loop.read(loop.accept())


def test_a_hanging_connection_is_replaced_once_when_its_node_is_heard_from(make_loop):
    loop = make_loop(backlog=0)
    loop.fill_backlog()
    loop.client.send(loop.address, {"say": "waits"})
    hanging = loop.client.line_clients[loop.address].tcp
    loop.client.mark_alive(loop.address)
    assert loop.client.line_clients[loop.address].tcp is hanging
    loop.run_for(2 * CONNECT_STALL_US)
    assert not hanging.is_open
    loop.client.mark_alive(loop.address)
    again = loop.client.line_clients[loop.address].tcp
    assert again is not hanging and hanging.is_closed
    assert list(again.unsent) == [b'{"say":"waits"}\n']
    loop.run_for(2 * CONNECT_STALL_US)
    loop.client.mark_alive(loop.address)
    assert loop.client.line_clients[loop.address].tcp is again


def test_an_open_connection_stays_when_its_node_is_heard_from(make_loop):
    loop = make_loop()
    loop.client.send(loop.address, {"say": "one"})
    loop.read(loop.accept())
    tcp = loop.client.line_clients[loop.address].tcp
    loop.run_for(2 * CONNECT_STALL_US)
    loop.event_loop._on_message({"say": "x", "back": loop.address})
    loop.event_loop._on_message({"say": "x", "back": ["no", "address"]})
    assert loop.client.line_clients[loop.address].tcp is tcp
