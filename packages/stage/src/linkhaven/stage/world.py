import heapq
import json
import random
from collections import deque

from linkhaven.runtime import Call, Ports, write_line

TICK_US = 50_000
LATENCY_US = 300
FAR_US = 2_000
CONNECT_US = 2_000_000
ROOM_BYTES = 65_536
STALLED_AT_MOST = 200
SYNC_US = 1_000
LEASE_WON, SHUT = 1401, 2002
SILENT, RESET, REFUSAL = "silent", "reset", "refusal"


class World:
    """A simulated network and clock. A run is a function of its seed and of what the stage does in it."""

    __slots__ = (
        "now_us",
        "dice",
        "agenda",
        "serial",
        "hosts",
        "cuts",
        "cut_how",
        "slow",
        "links",
        "record",
        "conns",
        "is_tracing",
        "events",
    )

    def __init__(self, seed):
        self.now_us = 0
        self.dice = random.Random(seed)
        self.agenda = []
        self.serial = 0
        self.hosts = {}
        self.cuts = set()
        self.cut_how = {}
        self.slow = {}
        self.links = {}
        self.record = []
        self.conns = {}
        self.events = []
        self.is_tracing = False

    def at(self, when_us, deed):
        self.serial += 1
        heapq.heappush(self.agenda, (max(when_us, self.now_us), self.serial, deed))

    def after(self, delay_us, deed):
        self.at(self.now_us + delay_us, deed)

    def run_until(self, until_us):
        agenda = self.agenda
        while agenda and agenda[0][0] <= until_us:
            self.now_us, _, deed = heapq.heappop(agenda)
            deed()
        self.now_us = until_us

    def run_for(self, span_us):
        self.run_until(self.now_us + span_us)

    def wait_for(self, question, most_us=60_000_000, step_us=100_000):
        end_us = self.now_us + most_us
        while self.now_us < end_us:
            if question():
                return True
            self.run_for(step_us)
        return bool(question())

    def note(self, kind, /, **facts):
        self.record.append((self.now_us, kind, facts))

    def is_cut(self, source, target):
        return (source.name, target.name) in self.cuts

    def cut(self, names, others, both=True, how=SILENT):
        """Cut links off. `how`: SILENT holds back what is sent until the links are joined again, as a network does
        that answers nothing; RESET loses it and what was on its way; REFUSAL loses what is sent from now on."""
        for name in names:
            for other in others:
                if name != other:
                    self._cut_one_way(name, other, how)
                    if both:
                        self._cut_one_way(other, name, how)

    def _cut_one_way(self, source, target, how):
        self.cuts.add((source, target))
        self.cut_how[(source, target)] = how

    def how_cut(self, source, target):
        """How the link from one host to another is cut."""
        return self.cut_how.get((source.name, target.name), SILENT)

    def heal(self):
        """Join all links; what silent ones held back arrives."""
        self.cuts.clear()
        self.cut_how.clear()
        self.slow.clear()
        for link in list(self.links.values()):
            link.flush()

    def link(self, source, target):
        key = (source, target)
        link = self.links.get(key)
        if link is None:
            link = self.links[key] = Link(self, source, target)
        return link

    def latency(self, source, target):
        base_us = LATENCY_US if source.zone == target.zone else FAR_US
        extra_us = self.slow.get((source.name, target.name), 0)
        return base_us + extra_us + self.dice.randrange(base_us + extra_us // 2)


class Link:
    """One direction between two hosts: in order, held back while cut, handed over at the target's pace."""

    __slots__ = ("world", "source", "target", "last_us", "stalled")

    def __init__(self, world, source, target):
        self.world = world
        self.source = source
        self.target = target
        self.last_us = 0
        self.stalled = deque()

    def send(self, deed, is_bounded=False):
        if self.world.is_cut(self.source, self.target):
            if self.world.how_cut(self.source, self.target) != SILENT:
                return
            if not is_bounded or len(self.stalled) < STALLED_AT_MOST:
                self.stalled.append(deed)
            return
        world = self.world
        self.last_us = max(self.last_us + 1, world.now_us + world.latency(self.source, self.target))
        world.at(self.last_us, lambda: self.arrive(deed))

    def arrive(self, deed):
        if not self.world.is_cut(self.source, self.target):
            return self.target.do(deed)
        how = self.world.how_cut(self.source, self.target)
        if how == SILENT:
            self.stalled.append(deed)
        elif how == REFUSAL:
            self.target.do(deed)

    def flush(self):
        stalled, self.stalled = self.stalled, deque()
        for deed in stalled:
            self.send(deed)


class Host:
    """One machine of the world and the process on it."""

    __slots__ = (
        "world",
        "name",
        "zone",
        "address",
        "build",
        "node",
        "epoch",
        "is_frozen",
        "is_held",
        "backlog",
        "disk",
        "starts",
        "skew_us",
        "wall_skew_us",
    )

    def __init__(self, world, name, zone, address, build, disk=None):
        self.world = world
        self.name = name
        self.zone = zone
        self.address = address
        self.build = build
        self.node = None
        self.epoch = 0
        self.is_frozen = False
        self.is_held = False
        self.backlog = deque()
        self.disk = disk
        self.skew_us = 0
        self.wall_skew_us = 0
        self.starts = 0
        world.hosts[address] = self
        if disk is not None:
            disk.host = self

    def start(self):
        self.epoch += 1
        self.starts += 1
        self.is_frozen = self.is_held = False
        self.backlog.clear()
        epoch = self.epoch
        clock = SimClock(self)
        ports = Ports(
            clock,
            SimNetwork(self),
            self.disk,
            random.Random(self.world.dice.getrandbits(64)),
            self._log,
        )
        self.node = self.build(self, ports)
        self.world.after(self.world.dice.randrange(TICK_US), lambda: self._tick(epoch))
        return self.node

    def wall_us(self):
        return self.world.now_us + self.wall_skew_us

    @property
    def is_still(self):
        return self.is_frozen or self.is_held

    def _log(self, number, **facts):
        if number == LEASE_WON:
            self.world.note("won", node=self.name, duty=facts["duty"], fence=facts["fence"])
        if number == SHUT:
            self.world.note("shut", node=self.name, address=self.address)
        if self.world.is_tracing:
            self.world.events.append((self.world.now_us, self.name, number, facts))

    def _tick(self, epoch):
        if epoch != self.epoch or self.node is None:
            return
        if self.is_still:
            self.backlog.append(lambda: self._tick(epoch))
            return
        self.node.tick()
        self.world.after(TICK_US, lambda: self._tick(epoch))

    def do(self, deed):
        if self.node is None:
            return
        if self.is_still:
            self.backlog.append(deed)
            return
        deed()

    def kill(self):
        if self.node is None:
            return
        self.world.note("killed", node=self.name, address=self.address)
        self.node = None
        self.epoch += 1
        self.is_held = False
        self.backlog.clear()
        if self.disk is not None:
            self.disk.crash()
        for conn in [conn for conn in self.world.conns if self in (conn.client, conn.server)]:
            conn.lose(self)

    def freeze(self):
        if self.node is None or self.is_frozen:
            return
        self.is_frozen = True
        self.world.note("frozen", node=self.name, address=self.address)

    def wake(self):
        if not self.is_frozen:
            return
        self.is_frozen = False
        self.world.note("woken", node=self.name, address=self.address)
        self._catch_up()

    def hold(self):
        """The one loop stands still inside a call to the system."""
        self.is_held = True

    def let_go(self, first):
        self.is_held = False
        self.backlog.appendleft(first)
        self._catch_up()

    def _catch_up(self):
        backlog, epoch = self.backlog, self.epoch
        while backlog and not self.is_still and epoch == self.epoch:
            backlog.popleft()()


class SimClock:
    __slots__ = ("host",)

    def __init__(self, host):
        self.host = host

    def now_us(self):
        return self.host.world.now_us + self.host.skew_us

    def call_in(self, delay_us, deed):
        host, epoch = self.host, self.host.epoch
        host.world.after(delay_us, lambda: host.do(deed) if host.epoch == epoch else None)


class SimNetwork:
    __slots__ = ("host",)

    def __init__(self, host):
        self.host = host

    def send(self, address, message):
        host = self.host
        line = write_line(message)
        target = host.world.hosts.get(address)
        if target is None:
            return

        def hear():
            if target.node is None:
                return
            heard = target.node.read_line(line)
            if heard is not None:
                target.node.dispatch(heard)

        if target is host:
            epoch = host.epoch
            return host.world.after(10, lambda: host.do(hear) if host.epoch == epoch else None)
        host.world.link(host, target).send(hear, is_bounded=True)

    def reconnect(self, address):
        """Lines of this world wait for no earlier ones."""

    def open(self, address, method, path, headers, body, handler):
        conn = Conn(self.host, self.host.world.hosts.get(address), handler)
        conn.connect(method, path, headers, body)
        return conn


class Conn:
    """One HTTP exchange between two hosts."""

    __slots__ = (
        "world",
        "client",
        "server",
        "handler",
        "call",
        "is_over",
        "is_held",
        "held",
        "held_bytes",
        "client_epoch",
        "server_epoch",
        "is_connected",
        "sent_us",
    )

    def __init__(self, client, server, handler):
        self.world = client.world
        self.sent_us = self.world.now_us
        self.client = client
        self.server = server
        self.handler = handler
        self.call = None
        self.is_over = False
        self.is_held = False
        self.is_connected = False
        self.held = deque()
        self.held_bytes = 0
        self.client_epoch = client.epoch
        self.server_epoch = None

    def connect(self, method, path, headers, body):
        world = self.world
        if self.server is None:
            return world.after(LATENCY_US, lambda: self._tell_error(False))
        world.conns[self] = True
        world.after(CONNECT_US, self._give_up)

        def reach():
            server = self.server
            if self.is_over:
                return
            if server.node is None:
                return world.link(server, self.client).send(lambda: self._tell_error(False))
            self.is_connected = True
            self.server_epoch = server.epoch
            self.call = SimCall(self, method, path, dict(headers), body)
            server.do(self._serve)

        if world.is_cut(self.client, self.server):
            return
        world.after(world.latency(self.client, self.server), reach)

    def _serve(self):
        if self.is_over or self.server.epoch != self.server_epoch:
            return
        if self.call.path == "/v1/requests":
            self.world.note("arrived", router=self.server.address)
        self.server.node.serve(self.call)

    def _give_up(self):
        if not self.is_over and not self.is_connected:
            self.client.do(lambda: self._tell_error(False))

    def _tell_error(self, has_begun):
        if self.is_over or self.client.epoch != self.client_epoch:
            return
        self._end()
        self.handler.on_error(has_begun)

    def _end(self):
        self.is_over = True
        self.world.conns.pop(self, None)

    def lose(self, dead):
        if dead is self.client:
            self._end()
            if self.call is not None and self.server.node is not None:
                self.world.link(self.client, self.server).send(self.call.client_disconnected)
            return
        if self.is_connected:
            self.world.link(self.server, self.client).send(lambda: self._tell_error(True))

    def break_off(self):
        """The conn fails under both ends."""
        if self.is_over or self.call is None:
            return
        self.server.do(self.call.client_disconnected)
        self.client.do(lambda: self._tell_error(True))

    def close(self):
        if self.is_over:
            return
        self._end()
        if self.call is not None:
            self.world.link(self.client, self.server).send(self.call.client_disconnected)

    def pause_reading(self):
        self.is_held = True

    def resume_reading(self):
        self.is_held = False
        held, self.held = self.held, deque()
        self.held_bytes = 0
        for deed in held:
            deed()
        if self.call is not None and self.call.on_writable and not self.call.is_ended:
            self.world.link(self.client, self.server).send(self.call.on_writable)

    def to_client(self, deed, size=0):
        def arrive():
            if self.is_over or self.client.epoch != self.client_epoch:
                return
            if self.is_held:
                self.held.append(arrive)
                return
            deed()

        self.held_bytes += size if self.is_held else 0
        self.world.link(self.server, self.client).send(arrive)

    def finish(self):
        self._end()
        self.handler.on_end()


class SimCall(Call):
    __slots__ = ("conn", "sent_us")

    def __init__(self, conn, method, path, headers, body):
        super().__init__(method, path, headers, body)
        self.conn = conn
        self.sent_us = conn.sent_us

    def answer(self, status, headers, body):
        self.begin(status, headers)
        if body:
            self.write(body)
        self.finish()

    def begin(self, status, headers):
        if self.is_ended:
            return
        self.is_begun = True
        self.conn.to_client(lambda: self.conn.handler.on_head(status, dict(headers)))

    def write(self, data):
        if self.is_ended:
            return False
        self.conn.to_client(lambda: self.conn.handler.on_data(data), len(data))
        return self.conn.held_bytes < ROOM_BYTES

    def finish(self):
        if self.is_ended:
            return
        self.is_ended = True
        self.conn.to_client(self.conn.finish)

    def cut(self):
        if self.is_ended:
            return
        self.is_ended = True
        self.conn.to_client(lambda: self.conn._tell_error(True))


class SimDisk:
    """Keeps what was synced, and holds its node's whole turn while it syncs, as lmdb does. Faults: full, stalled,
    slow, lossy (the last acknowledged writes are gone after a crash)."""

    __slots__ = (
        "world",
        "host",
        "synced",
        "recent",
        "is_full",
        "is_stalled",
        "sync_us",
        "loses",
        "epoch",
        "waiting",
        "stalled",
    )

    def __init__(self, world, sync_us=SYNC_US):
        self.world = world
        self.host = None
        self.synced = {}
        self.recent = deque(maxlen=64)
        self.is_full = False
        self.is_stalled = False
        self.sync_us = sync_us
        self.loses = 0
        self.epoch = 0
        self.waiting = []
        self.stalled = None

    def load(self):
        return json.loads(json.dumps(self.synced))

    def write(self, items, done):
        self.waiting.append((json.loads(json.dumps(items)), done))
        if len(self.waiting) > 1:
            return
        epoch = self.epoch
        self.world.after(0, lambda: self.host.do(self._sync) if epoch == self.epoch else None)

    def _sync(self):
        batch, self.waiting = self.waiting, []
        epoch = self.epoch
        self.host.hold()

        def end():
            if epoch != self.epoch:
                return
            if self.is_stalled:
                self.stalled = end
                return
            is_kept = not self.is_full
            if is_kept:
                self._keep(batch)
            self.host.let_go(lambda: [done(is_kept) for _, done in batch])

        self.world.after(self.sync_us, end)

    def _keep(self, batch):
        for items, _ in batch:
            self.recent.append({key: self.synced.get(key) for key in items})
            for key, value in items.items():
                if value is None:
                    self.synced.pop(key, None)
                else:
                    self.synced[key] = value

    def mend(self):
        self.is_full = self.is_stalled = False
        self.sync_us = SYNC_US
        end, self.stalled = self.stalled, None
        if end:
            end()

    def crash(self):
        self.epoch += 1
        self.waiting, self.stalled = [], None
        for _ in range(min(self.loses, len(self.recent))):
            for key, value in self.recent.pop().items():
                if value is None:
                    self.synced.pop(key, None)
                else:
                    self.synced[key] = value

    def wipe(self):
        self.epoch += 1
        self.synced = {}
        self.recent.clear()
