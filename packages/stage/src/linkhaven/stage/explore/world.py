"""Simulated machines, disks and messages in flight, which the explorer advances one event at a
time.

Nothing happens by itself: a message stays in flight until it is delivered or dropped, a write stays
unsynced until it is synced or lost in a crash, and time passes only when a caller advances it. So a
run is a function of the calls made, and replaying a list of choices reproduces it.
"""

import json
import random

from linkhaven.runtime import Ports, write_line

START_US = 60_000_000
TICK_US = 50_000
START_TAKES_US = 1_000


class Message:
    """One message in flight; its label identifies it in a course and is the same in each replay."""

    __slots__ = ("label", "say", "source", "target", "line", "is_held", "parsed")

    def __init__(self, label, say, source, target, line):
        self.label = label
        self.say = say
        self.parsed = None
        self.source = source
        self.target = target
        self.line = line
        self.is_held = False

    def read(self):
        """The parsed message; must not be modified."""
        if self.parsed is None:
            self.parsed = json.loads(self.line)
        return self.parsed


def _dispatch_line(node, line):
    """Parses a line and dispatches it to the node, as the event loop does."""
    message = node.read_line(line)
    if message is not None:
        node.dispatch(message)


class ExploredDisk:
    """Simulated disk: synced data, and the unsynced writes of a turn, which a crash keeps or loses
    as a whole.
    """

    __slots__ = ("synced", "unsynced", "is_held", "writes")

    def __init__(self):
        self.synced = {}
        self.unsynced = []
        self.is_held = False
        self.writes = 0

    def load(self):
        """A copy of the synced data, as read by a starting process."""
        return json.loads(json.dumps(self.synced))

    def write(self, items, done):
        """Queues a write until the world syncs it; `done` is called then."""
        self.writes += 1
        self.unsynced.append((json.loads(json.dumps(items)), done))

    def sync(self):
        """Syncs the whole batch; returns the callbacks of its writes."""
        batch, self.unsynced = self.unsynced, []
        for items, _ in batch:
            for key, value in items.items():
                if value is None:
                    self.synced.pop(key, None)
                else:
                    self.synced[key] = value
        return [done for _, done in batch]

    def discard_unsynced(self):
        """Drops the unsynced batch, as a crash before the sync does."""
        self.unsynced = []

    def wipe(self):
        """Erases all data, synced or not."""
        self.synced, self.unsynced = {}, []


class UnansweredCall:
    """An HTTP call to a machine outside of the model, which never gets a response."""

    __slots__ = ()

    def close(self):
        """Has no effect: there is no connection."""


class MachinePorts:
    """Clock, network and log of one process of a machine."""

    __slots__ = ("machine", "start")

    def __init__(self, machine):
        self.machine = machine
        self.start = machine.starts

    def now_us(self):
        """The simulated time; all machines share one clock and differ only in when they
        get a turn.
        """
        return self.machine.world.now_us

    def call_in(self, delay_us, action):
        """Sets a timer, which fires in the machine's first turn after it is due."""
        self.machine.timers.append((self.now_us() + delay_us, self.start, action))

    def send(self, address, message):
        """Puts a message in flight, unless this process has been replaced by a restart."""
        if self.start == self.machine.starts:
            self.machine.world.send(self.machine, address, message)

    def open(self, address, method, path, headers, body, handler):
        """Never answered: machines outside of the core are no part of the model."""
        return UnansweredCall()

    def reconnect(self, address):
        """Has no effect: messages here don't queue behind earlier ones."""

    def log(self, number, **facts):
        """Passes the event to the run checker, unless this process has been replaced by
        a restart.
        """
        if self.start == self.machine.starts:
            self.machine.world.checker.on_log(self.machine, number, facts)


class Machine:
    """A machine with its address and disk, and its running node, if any."""

    __slots__ = (
        "world",
        "name",
        "address",
        "disk",
        "node",
        "starts",
        "is_frozen",
        "history_hash",
        "timers",
    )

    def __init__(self, world, name, address):
        self.world = world
        self.name = name
        self.address = address
        self.disk = ExploredDisk()
        self.node = None
        self.starts = 0
        self.is_frozen = False
        self.history_hash = hash((name, address))
        self.timers = []

    def take_due_timers(self):
        """Removes the due timers; returns the actions of those that the current process set."""
        timers, now_us = self.timers, self.world.now_us
        self.timers = [timer for timer in timers if timer[0] > now_us]
        return [
            action for at_us, start, action in timers if at_us <= now_us and start == self.starts
        ]

    def record_event(self, *event):
        """Adds an event to the hash of the machine's history.

        The machine's state is a function of this history and the current time.
        """
        self.history_hash = hash((self.history_hash, event))

    @property
    def process(self):
        """Identity of the current process, which holds fencing tokens and epochs: machine and start
        number.
        """
        return f"{self.name}#{self.starts}"

    @property
    def runs(self):
        """Whether the machine can be given a turn."""
        return self.node is not None and not self.is_frozen


class World:
    """Machines, messages in flight and time; `build(machine, ports)` creates a
    machine's real node.
    """

    __slots__ = (
        "now_us",
        "machines",
        "in_flight",
        "sent",
        "checker",
        "build",
        "cuts",
        "random_seed",
        "drops",
    )

    def __init__(self, build, checker, random_seed=0, drops=()):
        self.now_us = START_US
        self.machines = {}
        self.in_flight = {}
        self.sent = {}
        self.checker = checker
        self.build = build
        self.cuts = set()
        self.random_seed = random_seed
        self.drops = drops

    def add(self, name, address):
        """Adds a machine with an empty disk and no running process."""
        machine = self.machines[name] = Machine(self, name, address)
        return machine

    def machine_at(self, address):
        """The running machine at an address (the last added, if there are several), or None."""
        found = None
        for machine in self.machines.values():
            if machine.address == address and machine.node is not None:
                found = machine
        return found

    def start(self, machine):
        """Starts the machine's node from its disk."""
        machine.starts += 1
        self.now_us += START_TAKES_US
        machine.is_frozen = False
        for other in self.machines.values():
            other.record_event("start", machine.process, self.now_us)
        own = MachinePorts(machine)
        rng = random.Random(f"{self.random_seed}/{machine.process}")
        machine.node = self.build(machine, Ports(own, own, machine.disk, rng, own.log))
        self.settle(machine)

    def send(self, machine, address, message):
        """Puts a message in flight; `settle` delivers a machine's messages to itself at the end of
        the turn.
        """
        line = write_line(message).decode().rstrip("\n")
        if not isinstance(message, dict):
            message = json.loads(line)
        self.checker.on_message(machine, address, message)
        say = message["say"]
        if say in self.drops:
            return
        stem = f"{machine.name}>{address} {say}"
        number = self.sent[stem] = self.sent.get(stem, 0) + 1
        label = f"{stem} {number}"
        self.in_flight[label] = Message(label, say, machine.name, address, line)

    def is_cut(self, message):
        """Whether the message's link is cut."""
        target = self.machine_at(message.target)
        return target is not None and (message.source, target.name) in self.cuts

    def deliver(self, label, holds_sync=False, copies=False):
        """Delivers the message; the writes that it causes are synced at once unless the disk is
        slow.

        With `copies`, the message stays in flight and can be delivered again.
        """
        message = self.in_flight[label] if copies else self.in_flight.pop(label)
        machine = self.machine_at(message.target)
        if machine is None or not machine.runs:
            return
        machine.record_event("hear", message.line, holds_sync, self.now_us)
        _dispatch_line(machine.node, message.line)
        if holds_sync:
            machine.disk.is_held = True
        self.settle(machine)

    def settle(self, machine):
        """Ends a turn: delivers the machine's messages to itself and syncs writes until none are
        left.
        """
        while machine.node is not None:
            own = [
                message
                for message in self.in_flight.values()
                if message.target == machine.address and message.source == machine.name
            ]
            if own:
                self.in_flight.pop(own[0].label)
                _dispatch_line(machine.node, own[0].line)
            elif machine.disk.unsynced and not machine.disk.is_held:
                for done in machine.disk.sync():
                    done(True)
            else:
                return

    def sync(self, machine):
        """Completes the sync of a slow disk and calls the waiting callbacks."""
        machine.record_event("sync", self.now_us)
        machine.disk.is_held = False
        self.settle(machine)

    def crash(self, machine, keeps):
        """Ends the process before it acknowledges its unsynced writes; `keeps`: they are on disk
        all the same.
        """
        machine.record_event("crash", keeps)
        if keeps:
            machine.disk.sync()
        machine.disk.discard_unsynced()
        machine.disk.is_held = False
        machine.node = None
        machine.is_frozen = False

    def tick(self, machine):
        """Gives the machine one turn for its timers."""
        if machine.runs:
            machine.record_event("tick", self.now_us)
            for action in machine.take_due_timers():
                action()
            machine.node.tick()
            self.settle(machine)

    def pass_time(self, span_us):
        """Advances the shared clock; a machine that gets no turn meanwhile is slow."""
        self.now_us += span_us

    def round(self):
        """One undisturbed tick: all timers, then all messages that aren't held, in order."""
        self.pass_time(TICK_US)
        for machine in list(self.machines.values()):
            self.tick(machine)
        for _ in range(2):
            for label, message in list(self.in_flight.items()):
                if message.is_held or label not in self.in_flight or self.is_cut(message):
                    continue
                target = self.machine_at(message.target)
                if target is not None and target.is_frozen:
                    continue
                self.deliver(label)
