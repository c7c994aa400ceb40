"""Deterministic simulation of hosts, network, disks and clocks.

All times are microseconds of simulated time. Events run one at a time in the order of their time,
those of one time in the order in which they were scheduled, and every random choice comes from the
seeded generator `World.dice`; the same seed and the same calls therefore give the same run.
"""

import heapq
import json
import random
from collections import deque

from linkhaven.runtime import Call, Ports, write_line

TICK_US = 50_000  # between two ticks of a node
LATENCY_US = 300  # of a message within a zone, without jitter
FAR_US = 2_000  # of a message between zones, without jitter
CONNECT_US = 2_000_000  # after which a client gives up connecting
ROOM_BYTES = 65_536  # unread by the client, above which a server should stop writing
STALLED_AT_MOST = 200  # messages that a silent cut holds back on one link
SYNC_US = 1_000  # duration of a disk sync
LEASE_WON, SHUT = 1401, 2002  # numbers of events that are copied to the record
SILENT, RESET, REFUSAL = "silent", "reset", "refusal"


class World:
    """A simulated network and clock. A run depends only on its seed and on the calls made to it.

    `record` collects (time in us, kind, facts) entries for the checkers; `events` collects the
    events that nodes log, only while `is_tracing` is set. `cuts` holds directed links by host name,
    `slow` their extra latency in us.
    """

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
        """Create an empty world at time 0 whose random choices follow `seed`."""
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

    def at(self, when_us, action):
        """Schedule an action for a time, or for now if that time is past."""
        self.serial += 1
        heapq.heappush(self.agenda, (max(when_us, self.now_us), self.serial, action))

    def after(self, delay_us, action):
        """Schedule an action `delay_us` from now."""
        self.at(self.now_us + delay_us, action)

    def run_until(self, until_us):
        """Run all actions due up to a time and set the clock to it."""
        agenda = self.agenda
        while agenda and agenda[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(agenda)
            action()
        self.now_us = until_us

    def run_for(self, span_us):
        """Run the world for `span_us`."""
        self.run_until(self.now_us + span_us)

    def wait_for(self, question, most_us=60_000_000, step_us=100_000):
        """Run until `question()` is true, checking every `step_us`; return whether it became true
        within `most_us`."""
        end_us = self.now_us + most_us
        while self.now_us < end_us:
            if question():
                return True
            self.run_for(step_us)
        return bool(question())

    def note(self, kind, /, **facts):
        """Append an entry with the current time to the record."""
        self.record.append((self.now_us, kind, facts))

    def is_cut(self, source, target):
        """Whether the link from one host to another is cut."""
        return (source.name, target.name) in self.cuts

    def cut(self, names, others, both=True, how=SILENT):
        """Cut the links between two sets of hosts, given by name.

        `how` is SILENT (messages are held back until `heal`, as in a network that drops packets
        without an answer), RESET (messages sent from now on and those in transit are lost) or
        REFUSAL (only messages sent from now on are lost). Unless `both` is set, only the direction
        from `names` to `others` is cut.
        """
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
        """How the link from one host to another is cut: SILENT, RESET or REFUSAL."""
        return self.cut_how.get((source.name, target.name), SILENT)

    def heal(self):
        """Restore all links and their usual latency; deliver what silent cuts held back."""
        self.cuts.clear()
        self.cut_how.clear()
        self.slow.clear()
        for link in list(self.links.values()):
            link.flush()

    def link(self, source, target):
        """The directed link between two hosts, created on first use."""
        key = (source, target)
        link = self.links.get(key)
        if link is None:
            link = self.links[key] = Link(self, source, target)
        return link

    def latency(self, source, target):
        """Draw the latency of one message in us: longer between zones, plus any extra delay and
        jitter."""
        base_us = LATENCY_US if source.zone == target.zone else FAR_US
        extra_us = self.slow.get((source.name, target.name), 0)
        return base_us + extra_us + self.dice.randrange(base_us + extra_us // 2)


class Link:
    """One direction between two hosts. Delivers in order, holds messages back during a silent cut,
    and queues them at a target that is frozen."""

    __slots__ = ("world", "source", "target", "last_us", "stalled")

    def __init__(self, world, source, target):
        self.world = world
        self.source = source
        self.target = target
        self.last_us = 0
        self.stalled = deque()

    def send(self, action, is_bounded=False):
        """Schedule a delivery. While a silent cut holds messages back, bounded sends beyond
        STALLED_AT_MOST are dropped."""
        if self.world.is_cut(self.source, self.target):
            if self.world.how_cut(self.source, self.target) != SILENT:
                return
            if not is_bounded or len(self.stalled) < STALLED_AT_MOST:
                self.stalled.append(action)
            return
        world = self.world
        self.last_us = max(self.last_us + 1, world.now_us + world.latency(self.source, self.target))
        world.at(self.last_us, lambda: self.arrive(action))

    def arrive(self, action):
        """Deliver to the target, unless the link was cut while the message was in transit."""
        if not self.world.is_cut(self.source, self.target):
            return self.target.do(action)
        how = self.world.how_cut(self.source, self.target)
        if how == SILENT:
            self.stalled.append(action)
        elif how == REFUSAL:
            self.target.do(action)

    def flush(self):
        """Send again what a silent cut held back, in order."""
        stalled, self.stalled = self.stalled, deque()
        for action in stalled:
            self.send(action)


class Host:
    """A simulated machine and the process on it.

    `node` is the running process, None while it is down. `epoch` changes at each start and kill, so
    that callbacks of an earlier process are ignored. `skew_us` is added to the monotonic clock,
    `wall_skew_us` to the wall clock.
    """

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
        """Create a machine whose process is down; `build(host, ports)` creates its node at each
        start."""
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
        """Start a new process on this machine, with its disk as it is, and return its node."""
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
        """The machine's wall clock, in us."""
        return self.world.now_us + self.wall_skew_us

    @property
    def is_still(self):
        """Whether the process executes nothing: it is frozen, or blocked in a disk sync."""
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

    def do(self, action):
        """Execute an action on this machine's event loop; queue it while the process stands still,
        drop it if it is down."""
        if self.node is None:
            return
        if self.is_still:
            self.backlog.append(action)
            return
        action()

    def kill(self):
        """Kill the process. Its connections fail, and the disk keeps only what was synced."""
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
        """Stop the process without ending it, as SIGSTOP does."""
        if self.node is None or self.is_frozen:
            return
        self.is_frozen = True
        self.world.note("frozen", node=self.name, address=self.address)

    def wake(self):
        """Resume a frozen process, which then executes what was queued for it."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        self.world.note("woken", node=self.name, address=self.address)
        self._catch_up()

    def block(self):
        """Block the event loop, as a blocking system call does."""
        self.is_held = True

    def unblock(self, first):
        """Unblock the event loop: execute `first`, then what was queued meanwhile."""
        self.is_held = False
        self.backlog.appendleft(first)
        self._catch_up()

    def _catch_up(self):
        backlog, epoch = self.backlog, self.epoch
        while backlog and not self.is_still and epoch == self.epoch:
            backlog.popleft()()


class SimClock:
    """The clock port of a host: its monotonic time, and timers that die with the process."""

    __slots__ = ("host",)

    def __init__(self, host):
        self.host = host

    def now_us(self):
        """The host's monotonic time in us, including its skew."""
        return self.host.world.now_us + self.host.skew_us

    def call_in(self, delay_us, action):
        """Execute an action on the host after a delay, unless its process has ended by then."""
        host, epoch = self.host, self.host.epoch
        host.world.after(delay_us, lambda: host.do(action) if host.epoch == epoch else None)


class SimNetwork:
    """The network port of a host: messages between nodes, and HTTP exchanges."""

    __slots__ = ("host",)

    def __init__(self, host):
        self.host = host

    def send(self, address, message):
        """Send a message to an address; it is lost if nothing listens there."""
        host = self.host
        line = write_line(message)
        target = host.world.hosts.get(address)
        if target is None:
            return

        def deliver():
            if target.node is None:
                return
            message_read = target.node.read_line(line)
            if message_read is not None:
                target.node.dispatch(message_read)

        if target is host:
            epoch = host.epoch
            return host.world.after(10, lambda: host.do(deliver) if host.epoch == epoch else None)
        host.world.link(host, target).send(deliver, is_bounded=True)

    def reconnect(self, address):
        """Do nothing: there is no connection per peer in this world whose queue could be stale."""

    def open(self, address, method, path, headers, body, handler):
        """Begin an HTTP exchange and return its connection; `handler` gets the response."""
        conn = Conn(self.host, self.host.world.hosts.get(address), handler)
        conn.connect(method, path, headers, body)
        return conn


class Conn:
    """One HTTP exchange between two hosts, from the client's connect to the end of the response.

    The client may pause reading to exert backpressure; what arrives is then kept until it resumes.
    """

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
        """Send the request. A server that is down, or that the request doesn't reach within
        CONNECT_US, is reported to the handler as an error before the response began."""
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
        """One end's process has died: tell the other end."""
        if dead is self.client:
            self._end()
            if self.call is not None and self.server.node is not None:
                self.world.link(self.client, self.server).send(self.call.client_disconnected)
            return
        if self.is_connected:
            self.world.link(self.server, self.client).send(lambda: self._tell_error(True))

    def break_off(self):
        """Break the connection: both ends see it fail."""
        if self.is_over or self.call is None:
            return
        self.server.do(self.call.client_disconnected)
        self.client.do(lambda: self._tell_error(True))

    def close(self):
        """The client hangs up; the server learns of it after the link's latency."""
        if self.is_over:
            return
        self._end()
        if self.call is not None:
            self.world.link(self.client, self.server).send(self.call.client_disconnected)

    def pause_reading(self):
        """Stop reading the response."""
        self.is_held = True

    def resume_reading(self):
        """Resume reading: handle what was held back, and tell the server that it may write
        again."""
        self.is_held = False
        held, self.held = self.held, deque()
        self.held_bytes = 0
        for action in held:
            action()
        if self.call is not None and self.call.on_writable and not self.call.is_ended:
            self.world.link(self.client, self.server).send(self.call.on_writable)

    def to_client(self, action, size=0):
        """Send a part of the response of `size` bytes to the client."""

        def arrive():
            if self.is_over or self.client.epoch != self.client_epoch:
                return
            if self.is_held:
                self.held.append(arrive)
                return
            action()

        self.held_bytes += size if self.is_held else 0
        self.world.link(self.server, self.client).send(arrive)

    def finish(self):
        """The response has ended at the client."""
        self._end()
        self.handler.on_end()


class SimCall(Call):
    """The server's side of an exchange, as the real HTTP server hands it to a node."""

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
        """Write a part of the body. Return False once the client has ROOM_BYTES or more unread."""
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
        """Break the response off; the client sees an error after its beginning."""
        if self.is_ended:
            return
        self.is_ended = True
        self.conn.to_client(lambda: self.conn._tell_error(True))


class SimDisk:
    """A store that keeps what was synced and blocks its host's event loop during a sync, as lmdb
    does.

    Faults: `is_full` (writes fail), `is_stalled` (a sync doesn't return until `mend`), `sync_us`
    (slow syncs), and `loses` (this many of the last acknowledged writes are gone after a crash).
    """

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
        """A copy of what was synced."""
        return json.loads(json.dumps(self.synced))

    def write(self, items, done):
        """Write items (None deletes a key); `done(is_kept)` is called after the sync. Writes made
        in one turn share a sync."""
        self.waiting.append((json.loads(json.dumps(items)), done))
        if len(self.waiting) > 1:
            return
        epoch = self.epoch
        self.world.after(0, lambda: self.host.do(self._sync) if epoch == self.epoch else None)

    def _sync(self):
        batch, self.waiting = self.waiting, []
        epoch = self.epoch
        self.host.block()

        def end():
            if epoch != self.epoch:
                return
            if self.is_stalled:
                self.stalled = end
                return
            is_kept = not self.is_full
            if is_kept:
                self._keep(batch)
            self.host.unblock(lambda: [done(is_kept) for _, done in batch])

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
        """End all faults but `loses`; a stalled sync returns."""
        self.is_full = self.is_stalled = False
        self.sync_us = SYNC_US
        end, self.stalled = self.stalled, None
        if end:
            end()

    def crash(self):
        """Drop what was not synced, and the last `loses` writes."""
        self.epoch += 1
        self.waiting, self.stalled = [], None
        for _ in range(min(self.loses, len(self.recent))):
            for key, value in self.recent.pop().items():
                if value is None:
                    self.synced.pop(key, None)
                else:
                    self.synced[key] = value

    def wipe(self):
        """Empty the disk."""
        self.epoch += 1
        self.synced = {}
        self.recent.clear()
