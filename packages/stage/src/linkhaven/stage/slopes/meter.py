"""Meters for the messages, bytes, disk writes and processor time of simulated nodes."""

from time import process_time_ns

from linkhaven.runtime import ResponseHandler, kind_of, write_json, write_line

TICK = "tick"
TIMER = "timer"
DISK = "disk"
LISTS = ("/v1/report", "/v1/runners", "/v1/phase")
CALLS = ("/v1/requests", "/v1/prefill", "/v1/decode", "/v1/kv")


def is_data(channel):
    """Whether a channel carries callers' traffic, as opposed to the fleet's own overhead."""
    return channel.startswith(CALLS)


def head_bytes(headers):
    """Encoded size of HTTP headers, with the final empty line."""
    return sum(len(str(name)) + len(str(value)) + 4 for name, value in headers.items()) + 2


class ChannelStats:
    """Messages, bytes and processor time of one node by channel, and its disk writes."""

    __slots__ = ("sent", "heard", "spent_ns", "turns_ns", "written")

    def __init__(self):
        self.reset()

    def reset(self):
        self.sent = {}
        self.heard = {}
        self.spent_ns = {}
        self.turns_ns = []
        self.written = [0, 0]

    def count(self, table, channel, messages, size):
        held = table.setdefault(channel, [0, 0])
        held[0] += messages
        held[1] += size

    def add_cpu_time(self, channel, spent_ns):
        self.spent_ns[channel] = self.spent_ns.get(channel, 0) + spent_ns
        self.turns_ns.append(spent_ns)


class Stopwatch:
    """Processor time of one node's turn, excluding the simulated network."""

    __slots__ = ("is_running", "outside_ns")

    def __init__(self):
        self.is_running = False
        self.outside_ns = 0

    def run(self, tally, channel, action, *given):
        if self.is_running:
            return action(*given)
        self.is_running = True
        self.outside_ns = 0
        begun_ns = process_time_ns()
        try:
            return action(*given)
        finally:
            spent_ns = process_time_ns() - begun_ns - self.outside_ns
            self.is_running = False
            tally.add_cpu_time(channel, spent_ns)

    def exclude(self, action, *given):
        begun_ns = process_time_ns()
        try:
            return action(*given)
        finally:
            self.outside_ns += process_time_ns() - begun_ns


class MeteredNode:
    """Times a node's turns; delegates everything else to the node."""

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
    """Counts sent and received messages; delegates everything else to the network."""

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
        self.meter.watch.exclude(self._carry, address, channel, line)

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
        self.meter.count_transfer(self.tally, self.meter.tally_of(target), channel, len(line))
        world.link(host, target).send(hear, is_bounded=True)

    def open(self, address, method, path, headers, body, handler, *more, **named):
        world, meter = self.host.world, self.meter
        target, channel = world.hosts.get(address), path.partition("?")[0]
        other = meter.tally_of(target) if target is not None else ChannelStats()
        meter.count_transfer(
            self.tally,
            other,
            channel,
            len(method) + len(path) + 12 + head_bytes(headers) + len(body or b""),
        )
        watch, own = meter.watch, self.tally

        def on_head(status, headers):
            meter.count_transfer(other, own, channel, 17 + head_bytes(headers))
            watch.run(own, channel, handler.on_head, status, headers)

        def on_data(data):
            meter.count_transfer(other, own, channel, len(data))
            watch.run(own, channel, handler.on_data, data)

        heard = ResponseHandler(
            on_head,
            on_data,
            lambda: watch.run(own, channel, handler.on_end),
            lambda *given: watch.run(own, channel, handler.on_error, *given),
        )
        return watch.exclude(
            lambda: self.network.open(address, method, path, headers, body, heard, *more, **named)
        )


class MeteredClock:
    """Times timer callbacks; delegates everything else to the clock."""

    __slots__ = ("clock", "meter", "tally")

    def __init__(self, clock, meter, tally):
        self.clock = clock
        self.meter = meter
        self.tally = tally

    def __getattr__(self, name):
        return getattr(self.clock, name)

    def call_in(self, delay_us, action):
        return self.clock.call_in(delay_us, lambda: self.meter.watch.run(self.tally, TIMER, action))


class MeteredDisk:
    """Counts writes and times their callbacks; delegates everything else to the disk."""

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
        watch.exclude(
            self.disk.write, items, lambda *given: watch.run(self.tally, DISK, done, *given)
        )


class Meter:
    """Measures all nodes of a simulated world, by wrapping each node and its ports."""

    __slots__ = ("watch", "tallies")

    def __init__(self):
        self.watch = Stopwatch()
        self.tallies = {}

    def tally_of(self, host):
        """The statistics of a host, kept across restarts of its node."""
        tally = self.tallies.get(host.name)
        if tally is None:
            tally = self.tallies[host.name] = ChannelStats()
        return tally

    def wrap(self, host, ports, build):
        """Builds a host's node on metered ports and returns it metered."""
        tally = self.tally_of(host)
        ports.network = MeteredNetwork(ports.network, host, self, tally)
        ports.clock = MeteredClock(ports.clock, self, tally)
        if ports.storage is not None:
            ports.storage = MeteredDisk(ports.storage, self, tally)
        return MeteredNode(build(host, ports), self, tally)

    def count_transfer(self, source, target, channel, size):
        source.count(source.sent, channel, 1, size)
        target.count(target.heard, channel, 1, size)

    def reset(self):
        for tally in self.tallies.values():
            tally.reset()
