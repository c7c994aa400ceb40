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
HOME = "10.0.0.2:7000"


class Network:
    def __init__(self):
        self.reconnected = []

    def reconnect(self, address):
        self.reconnected.append(address)

    def send(self, address, message):
        pass


def make_membership():
    network = Network()
    ports = SimpleNamespace(network=network, log=lambda *told, **facts: None)
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


def told(membership, incarnation, address=HOME):
    record = MemberRecord("router-1", incarnation, address, "router", "north", "", 0, 0, True)
    membership.gossip.on_member_list(MemberList([record], sender="router-1", reply_to=address))


@pytest.mark.parametrize(
    "incarnation, address, reconnected",
    [(2, HOME, [HOME]), (1, HOME, []), (2, "10.0.0.3:7000", [])],
)
def test_a_restart_at_the_same_address_is_reconnected_to_once(incarnation, address, reconnected):
    members, network = make_membership()
    told(members, 1)
    assert network.reconnected == []
    told(members, incarnation, address)
    told(members, incarnation, address)
    assert network.reconnected == reconnected


class Node(BaseNode):
    def __init__(self, ports, incarnation):
        super().__init__("bench", "127.0.0.1:1", ports)
        self.heard = []

    def tick(self):
        pass

    def dispatch(self, message):
        self.heard.append(message)


class Bench:
    def __init__(self, backlog=8):
        self.loop = EventLoop("bench", None, None, Node, level="error", tick_us=2_000)
        self.loop._running = True
        self.client = self.loop.client
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.socks = [self.listener]

    def until(self, condition):
        end = time.monotonic() + DEADLINE_S
        while not condition():
            assert time.monotonic() < end, "the deadline passed"
            self.loop.tick()

    def run_for(self, span_us):
        end = time.monotonic() + span_us / 1_000_000
        self.until(lambda: time.monotonic() >= end)

    def accept(self):
        taken = []

        def look():
            try:
                taken.append(self.listener.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.until(look)
        taken[0].setblocking(False)
        self.socks.append(taken[0])
        return taken[0]

    def read(self, sock):
        data = []

        def look():
            try:
                data.append(sock.recv(65_536))
            except BlockingIOError:
                return False
            return b"\n" in data[-1]

        self.until(look)
        return b"".join(data)

    def fill(self):
        """Connections nobody accepts, until the next one hangs."""
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
def bench():
    benches = []

    def begun(**settings):
        benches.append(Bench(**settings))
        return benches[-1]

    yield begun
    for one in benches:
        one.close()


def test_the_next_line_after_a_renewal_goes_over_a_new_connection(bench):
    here = bench()
    here.client.send(here.address, {"say": "one"})
    assert b"one" in here.read(here.accept())
    here.client.reconnect(here.address)
    here.client.send(here.address, {"say": "two"})
    assert b"two" in here.read(here.accept())


def test_a_connection_that_hangs_is_made_anew_once_when_its_node_speaks(bench):
    here = bench(backlog=0)
    here.fill()
    here.client.send(here.address, {"say": "waits"})
    hanging = here.client.line_clients[here.address].tcp
    here.client.mark_alive(here.address)
    assert here.client.line_clients[here.address].tcp is hanging
    here.run_for(2 * CONNECT_STALL_US)
    assert not hanging.is_open
    here.client.mark_alive(here.address)
    again = here.client.line_clients[here.address].tcp
    assert again is not hanging and hanging.is_closed
    assert list(again.unsent) == [b'{"say":"waits"}\n']
    here.run_for(2 * CONNECT_STALL_US)
    here.client.mark_alive(here.address)
    assert here.client.line_clients[here.address].tcp is again


def test_an_open_connection_stays_when_its_node_speaks(bench):
    here = bench()
    here.client.send(here.address, {"say": "one"})
    here.read(here.accept())
    tcp = here.client.line_clients[here.address].tcp
    here.run_for(2 * CONNECT_STALL_US)
    here.loop._on_message({"say": "x", "back": here.address})
    here.loop._on_message({"say": "x", "back": ["no", "address"]})
    assert here.client.line_clients[here.address].tcp is tcp
