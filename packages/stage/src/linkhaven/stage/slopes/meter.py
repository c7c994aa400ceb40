from time import process_time_ns

from linkhaven.runtime import ResponseHandler, kind_of, write_json, write_line

TICK = "tick"
TIMER = "timer"
DISK = "disk"
LISTS = ("/v1/report", "/v1/runners", "/v1/phase")
CALLS = ("/v1/requests", "/v1/prefill", "/v1/decode", "/v1/kv")


def is_data(channel):
    """What grows with the callers' own traffic, as against what the fleet spends on itself."""
    return channel.startswith(CALLS)


def head_bytes(headers):
    return sum(len(str(name)) + len(str(value)) + 4 for name, value in headers.items()) + 2


class Tally:
    """What one node sent, heard, wrote and spent, by channel."""

    __slots__ = ("sent", "heard", "spent_ns", "turns_ns", "written")

    def __init__(self):
        self.reset()

    def reset(self):
        self.sent = {}
        self.heard = {}
        self.spent_ns = {}
        self.turns_ns = []
        self.written = [0, 0]

    def note(self, table, channel, messages, size):
        held = table.setdefault(channel, [0, 0])
        held[0] += messages
        held[1] += size

    def spend(self, channel, spent_ns):
        self.spent_ns[channel] = self.spent_ns.get(channel, 0) + spent_ns
        self.turns_ns.append(spent_ns)


class Stopwatch:
    """Processor time of one node's turn, without that of the simulated network under it."""

    __slots__ = ("is_running", "outside_ns")

    def __init__(self):
        self.is_running = False
        self.outside_ns = 0

    def run(self, tally, channel, deed, *given):
        if self.is_running:
            return deed(*given)
        self.is_running = True
        self.outside_ns = 0
        begun_ns = process_time_ns()
        try:
            return deed(*given)
        finally:
            spent_ns = process_time_ns() - begun_ns - self.outside_ns
            self.is_running = False
            tally.spend(channel, spent_ns)

    def step_out(self, deed, *given):
        begun_ns = process_time_ns()
        try:
            return deed(*given)
        finally:
            self.outside_ns += process_time_ns() - begun_ns


class MeteredNode:
    """A node whose turns are timed; everything else is the node's own."""

    __slots__ = ("node", "meter", "tally")

    def __init__(self, node, meter, tally):
        self.node = node
        self.meter = meter
        self.tally = tally

    def __getattr__(self, name):
        return getattr(self.node, name)

    def dispatch(self, message):
        self.meter.watch.run(self.tally, kind_of(message), self.node.dispatch, message)

    def dispatch_line(self, channel, line):
        self.meter.watch.run(self.tally, channel, lambda: self._on_line(line))

    def _on_line(self, line):
        message = self.node.read_line(line)
        if message is not None:
            self.node.dispatch(message)

    def serve(self, call):
        self.meter.watch.run(self.tally, call.path.partition("?")[0], self.node.serve, call)

    def tick(self):
        self.meter.watch.run(self.tally, TICK, self.node.tick)


class MeteredNetwork:
    __slots__ = ("network", "host", "meter", "tally")

    def __init__(self, network, host, meter, tally):
        self.network = network
        self.host = host
        self.meter = meter
        self.tally = tally

    def __getattr__(self, name):
        return getattr(self.network, name)

    def send(self, address, message):
        channel, line = kind_of(message), write_line(message)
        self.meter.watch.step_out(self._carry, address, channel, line)

    def _carry(self, address, channel, line):
        host, world = self.host, self.host.world
        target = world.hosts.get(address)
        if target is None:
            return

        def hear():
            if target.node is not None:
                target.node.dispatch_line(channel, line)

        if target is host:
            epoch = host.epoch
            return world.after(10, lambda: host.do(hear) if host.epoch == epoch else None)
        self.meter.carry(self.tally, self.meter.tally_of(target), channel, len(line))
        world.link(host, target).send(hear, is_bounded=True)

    def open(self, address, method, path, headers, body, handler, *more, **named):
        world, meter = self.host.world, self.meter
        target, channel = world.hosts.get(address), path.partition("?")[0]
        other = meter.tally_of(target) if target is not None else Tally()
        meter.carry(
            self.tally,
            other,
            channel,
            len(method) + len(path) + 12 + head_bytes(headers) + len(body or b""),
        )
        watch, own = meter.watch, self.tally

        def on_head(status, headers):
            meter.carry(other, own, channel, 17 + head_bytes(headers))
            watch.run(own, channel, handler.on_head, status, headers)

        def on_data(data):
            meter.carry(other, own, channel, len(data))
            watch.run(own, channel, handler.on_data, data)

        heard = ResponseHandler(
            on_head,
            on_data,
            lambda: watch.run(own, channel, handler.on_end),
            lambda *given: watch.run(own, channel, handler.on_error, *given),
        )
        return watch.step_out(
            lambda: self.network.open(address, method, path, headers, body, heard, *more, **named)
        )


class MeteredClock:
    __slots__ = ("clock", "meter", "tally")

    def __init__(self, clock, meter, tally):
        self.clock = clock
        self.meter = meter
        self.tally = tally

    def __getattr__(self, name):
        return getattr(self.clock, name)

    def call_in(self, delay_us, deed):
        return self.clock.call_in(delay_us, lambda: self.meter.watch.run(self.tally, TIMER, deed))


class MeteredDisk:
    __slots__ = ("disk", "meter", "tally")

    def __init__(self, disk, meter, tally):
        self.disk = disk
        self.meter = meter
        self.tally = tally

    def __getattr__(self, name):
        return getattr(self.disk, name)

    def write(self, items, done):
        self.tally.written[0] += 1
        self.tally.written[1] += len(write_json(items))
        watch = self.meter.watch
        watch.step_out(
            self.disk.write, items, lambda *given: watch.run(self.tally, DISK, done, *given)
        )


class Meter:
    """Stands between every node of a simulated world and its ports."""

    __slots__ = ("watch", "tallies")

    def __init__(self):
        self.watch = Stopwatch()
        self.tallies = {}

    def tally_of(self, host):
        tally = self.tallies.get(host.name)
        if tally is None:
            tally = self.tallies[host.name] = Tally()
        return tally

    def wrap(self, host, ports, build):
        tally = self.tally_of(host)
        ports.network = MeteredNetwork(ports.network, host, self, tally)
        ports.clock = MeteredClock(ports.clock, self, tally)
        if ports.storage is not None:
            ports.storage = MeteredDisk(ports.storage, self, tally)
        return MeteredNode(build(host, ports), self, tally)

    def carry(self, source, target, channel, size):
        source.note(source.sent, channel, 1, size)
        target.note(target.heard, channel, 1, size)

    def reset(self):
        for tally in self.tallies.values():
            tally.reset()
