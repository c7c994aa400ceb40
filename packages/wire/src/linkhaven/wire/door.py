"""The listening side for callers: takes connections, and closes those that took too long."""

from circuits import BaseComponent

from .door_call import DoorCall
from .door_connection import DoorConnection
from .plug import Listener

LOOK_US = 250_000

__all__ = ["Door", "DoorCall", "DoorConnection", "DoorLimits"]


class DoorLimits:
    __slots__ = ("head_bytes", "body_bytes", "head_us", "idle_us", "connections")

    def __init__(
        self,
        head_bytes=16_384,
        body_bytes=4_194_304,
        head_us=3_000_000,
        idle_us=15_000_000,
        connections=2_000,
    ):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_us = head_us
        self.idle_us = idle_us
        self.connections = connections


class Door(BaseComponent):
    """HTTP in, by h11: opaque requests of callers, each handed on once it was read whole."""

    channel = "door"

    def __init__(self, address, on_call, limits, poller, clock):
        super().__init__()
        self.on_call = on_call
        self.limits = limits or DoorLimits()
        self.poller = poller
        self.clock = clock
        self.is_closing = False
        self.connections = set()
        self.looked_us = 0
        self.listener = Listener(poller, clock, address, self._on_sock)
        self.address = self.listener.address

    def _on_sock(self, sock):
        if len(self.connections) >= self.limits.connections and not self._close_longest_idle():
            return sock.close()
        self.connections.add(DoorConnection(self, sock))

    def _close_longest_idle(self):
        idle = [connection for connection in self.connections if connection.may_give_way()]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.since_us).close()
        return True

    def close_idle(self):
        for connection in list(self.connections):
            if connection.call is None and connection.is_idle:
                connection.close()

    def stop_listening(self):
        self.listener.close()

    def look(self, now_us):
        if now_us - self.looked_us < LOOK_US:
            return
        self.looked_us = now_us
        for connection in list(self.connections):
            connection.look(now_us, self.limits)
