from circuits import BaseComponent

from linkhaven.runtime import write_line

from .plug import Plug
from .pool import Exchange, Pool

CONNECT_US = 2_000_000
IDLE_US = 4_000_000
USER_TIMEOUT_US = 3_000_000
LOOK_US = 250_000
FELLOW_BYTES = 4_000_000
AGAIN_US = 100_000
HANGING_US = 150_000


class Fellowship:
    """The lasting connection for JSON lines to one address; what cannot be sent is dropped, never kept for later."""

    __slots__ = ("outlet", "address", "plug", "failed_us", "begun_us", "is_renewed")

    def __init__(self, outlet, address):
        self.outlet = outlet
        self.address = address
        self.plug = None
        self.failed_us = None
        self.begun_us = 0
        self.is_renewed = False

    def send(self, line):
        if self.plug is None:
            now_us = self.outlet.clock.now_us()
            if self.failed_us is not None and now_us - self.failed_us < AGAIN_US:
                return
            self.is_renewed = False
            self._connect(now_us)
        if self.plug.out_bytes > FELLOW_BYTES:
            return
        self.plug.send(line)

    def _connect(self, now_us):
        self.begun_us = now_us
        self.plug = Plug(self.outlet.poller, self._on_data, self._on_close)
        self.plug.connect(self.address, self.outlet.user_timeout_us)
        self.outlet.soon(self.plug.give_up, self.outlet.connect_us)

    def renew(self):
        if self.plug is not None:
            self.plug.close()
            self.plug = None
        self.failed_us = None

    def mark_alive(self):
        """It speaks, so it runs: a connection hanging from before it ran is made anew, once, with what waits."""
        plug, now_us = self.plug, self.outlet.clock.now_us()
        if plug is None or plug.is_open or self.is_renewed or now_us - self.begun_us < HANGING_US:
            return
        waiting = list(plug.out)
        plug.close()
        self.is_renewed = True
        self._connect(now_us)
        for line in waiting:
            self.plug.send(line)

    def _on_data(self, data):
        pass

    def _on_close(self, has_begun):
        self.plug = None
        self.failed_us = self.outlet.clock.now_us()


class Outlet(BaseComponent):
    """All outgoing sockets: JSON lines to fellows and HTTP calls. It is the network port of the nodes."""

    channel = "outlet"

    def __init__(self, clock, poller, address, on_own_line):
        super().__init__()
        self.clock = clock
        self.poller = poller
        self.address = address
        self.on_own_line = on_own_line
        self.fellows = {}
        self.pools = {}
        self.opened = 0
        self.connect_us = CONNECT_US
        self.idle_us = IDLE_US
        self.user_timeout_us = USER_TIMEOUT_US
        self.looked_us = 0

    def soon(self, deed, delay_us=0):
        self.clock.call_in(delay_us, deed)

    def send(self, address, message):
        if address == self.address:
            return self.soon(lambda: self.on_own_line(message))
        fellow = self.fellows.get(address)
        if fellow is None:
            fellow = self.fellows[address] = Fellowship(self, address)
        fellow.send(write_line(message))

    def renew(self, address):
        """A node started anew there: what an older connection still holds would wait for its reset, and all after it."""
        fellow = self.fellows.get(address)
        if fellow is not None:
            fellow.renew()

    def mark_alive(self, address):
        fellow = self.fellows.get(address) if isinstance(address, str) else None
        if fellow is not None:
            fellow.mark_alive()

    def open(self, address, method, path, headers, body, handler, keep=False, most=None, host=None):
        """Begins a call and gives its exchange, or None where `most` connections to the address are open and busy."""
        exchange = Exchange(self, address, method, path, headers, body, handler, keep, host)
        connection = self.take_connection(address, keep, most)
        if connection is None:
            return None
        exchange.begin(connection)
        return exchange

    def take_connection(self, address, keep, most):
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = Pool(self, address)
        connection = pool.take(keep, most)
        if connection is not None:
            self.pools[address] = pool
        elif not pool.open:
            self.drop_pool(pool)
        return connection

    def drop_pool(self, pool):
        if self.pools.get(pool.address) is pool:
            del self.pools[pool.address]

    def count(self, address):
        pool = self.pools.get(address)
        return len(pool.open) if pool is not None else 0

    def look(self, now_us):
        if now_us - self.looked_us < LOOK_US:
            return
        self.looked_us = now_us
        for pool in list(self.pools.values()):
            if pool.idle:
                pool.close_lapsed(now_us)
