import random
import time

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from linkhaven.clockwork import Ports
from linkhaven.schema import Trouble

from .inlet import LinesInlet, WebInlet
from .log import make_log
from .outlet import Outlet
from .ticker import Ticker

LOOK_US = 1_000_000


class Shell(BaseComponent):
    """One process: a node, its sockets, its clock and its log, on one loop and one thread."""

    channel = "shell"

    def __init__(self, name, lines, http, build, disk=None, level="info", log_path=None, body_bytes=2_000_000, conns=4_000):
        super().__init__()
        self.code = 0
        self.is_stopping = False
        self.looked_us = 0
        self.log = make_log(name, level, log_path)
        self.ticker = Ticker(self._tick)
        poller = EPoll().register(self)
        self.outlet = Outlet(self.ticker, poller, lines or http, lambda message: self.node.hear(message)).register(self)
        if disk is not None:
            disk.attach(self.ticker)
        ports = Ports(self.ticker, self.outlet, disk, random.Random(), self.log)
        self.node = build(ports, time.time_ns() // 1_000)
        self.ticker.register(self)
        try:
            if lines:
                LinesInlet(lines, lambda message: self.node.hear(message)).register(self)
            self.web = None
            if http:
                self.web = WebInlet(http, lambda call: self.node.serve(call), body_bytes, conns).register(self)
        except OSError as fault:
            raise Trouble("address_taken", lines=lines, http=http, why=fault.strerror) from None

    def _tick(self):
        self.node.tick()
        if self.web is not None:
            self.web.look_for_room()
            self._close_idle(self.ticker.now_us())

    def _close_idle(self, now_us):
        if now_us - self.looked_us < LOOK_US:
            return
        self.looked_us = now_us
        self.web.close_idle(now_us)

    def run_to_end(self):
        self.log(1001, http=f"{self.web.host}:{self.web.port}" if self.web else None)
        self.run()
        self.log(1003)
        return self.code

    @handler("signal", channel="*")
    def _on_signal(self, signo, stack):
        if self.is_stopping or not hasattr(self.node, "drain"):
            return self.stop()
        self.is_stopping = True
        self.node.drain(lambda: self.ticker.call_in(200_000, self.stop))

    @handler("exception", channel="*")
    def _on_exception(self, kind, fault, trace, handler=None, fevent=None):
        lines = [line.strip() for line in trace] if isinstance(trace, list) else [str(trace)]
        self.log(1005, fault=f"{kind.__name__}: {fault}", trace=lines[-6:])
