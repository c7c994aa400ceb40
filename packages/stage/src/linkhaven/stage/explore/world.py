"""The world that the explorer drives: machines, disks and messages in flight, moved one event at a time.

Nothing here happens by itself. A message stays in flight until it is delivered or dropped, a write stays
unsynced until it is synced or lost with its machine, and time passes only when a caller says so. So a run is a
function of the calls made, and a list of choices replays it."""

import json
import random

from linkhaven.runtime import Ports, write_line

START_US = 60_000_000
TICK_US = 50_000
START_TAKES_US = 1_000


class Message:
    """One message in flight: its label names it in a course, the same in each replay of that course."""

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
        """What it says, for looking at only."""
        if self.parsed is None:
            self.parsed = json.loads(self.line)
        return self.parsed


def _hear(node, line):
    """Hand a line to a node as the event loop does."""
    message = node.read_line(line)
    if message is not None:
        node.dispatch(message)


class ExploredDisk:
    """What is synced, and the writes of a turn that are not: those a crash may keep or lose, as a whole."""

    __slots__ = ("synced", "unsynced", "is_held", "writes")

    def __init__(self):
        self.synced = {}
        self.unsynced = []
        self.is_held = False
        self.writes = 0

    def load(self):
        """A copy of what a start finds."""
        return json.loads(json.dumps(self.synced))

    def write(self, items, done):
        """Waits for the sync that the world chooses."""
        self.writes += 1
        self.unsynced.append((json.loads(json.dumps(items)), done))

    def keep(self):
        """Sync: the whole batch is on the disk; answers whom to tell."""
        batch, self.unsynced = self.unsynced, []
        for items, _ in batch:
            for key, value in items.items():
                if value is None:
                    self.synced.pop(key, None)
                else:
                    self.synced[key] = value
        return [done for _, done in batch]

    def lose(self):
        """A crash before the sync: nothing of the batch is on the disk."""
        self.unsynced = []

    def wipe(self):
        """The disk is lost."""
        self.synced, self.unsynced = {}, []


class DeadCall:
    """An HTTP call to a machine outside of the model: no answer ever comes."""

    __slots__ = ()

    def close(self):
        """The caller hears nothing either way."""


class MachinePorts:
    """Clock, network and log of one start of a machine."""

    __slots__ = ("machine", "start")

    def __init__(self, machine):
        self.machine = machine
        self.start = machine.starts

    def now_us(self):
        """All machines share one clock; what differs is when they are given a turn."""
        return self.machine.world.now_us

    def call_in(self, delay_us, deed):
        """A timer: goes off with the first turn that the machine gets once it is due."""
        self.machine.timers.append((self.now_us() + delay_us, self.start, deed))

    def send(self, address, message):
        """Puts a message in flight, unless a former start of the machine speaks."""
        if self.start == self.machine.starts:
            self.machine.world.send(self.machine, address, message)

    def open(self, address, method, path, headers, body, handler):
        """No machine outside of the core is part of the model."""
        return DeadCall()

    def reconnect(self, address):
        """Messages of this world wait for no earlier ones."""

    def log(self, number, **facts):
        """Told to the ghosts that check the run."""
        if self.start == self.machine.starts:
            self.machine.world.ghost.hear_log(self.machine, number, facts)


class Machine:
    """A machine with its address and disk, and the node that runs on it, if one does."""

    __slots__ = (
        "world",
        "name",
        "address",
        "disk",
        "node",
        "starts",
        "is_frozen",
        "past",
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
        self.past = hash((name, address))
        self.timers = []

    def due(self):
        """The timers of this start that are due, taken out."""
        timers, now_us = self.timers, self.world.now_us
        self.timers = [timer for timer in timers if timer[0] > now_us]
        return [deed for at_us, start, deed in timers if at_us <= now_us and start == self.starts]

    def note(self, *event):
        """What happens to a machine, all of it: its state is a function of this and of the time now."""
        self.past = hash((self.past, event))

    @property
    def process(self):
        """Which start of which machine: what a fence or an epoch is given to."""
        return f"{self.name}#{self.starts}"

    @property
    def runs(self):
        """Whether it can be given a turn."""
        return self.node is not None and not self.is_frozen


class World:
    """Machines, messages in flight and time; `build(machine, ports)` makes a machine's real node."""

    __slots__ = (
        "now_us",
        "machines",
        "flight",
        "sent",
        "ghost",
        "build",
        "cuts",
        "dice_seed",
        "drops",
    )

    def __init__(self, build, ghost, dice_seed=0, drops=()):
        self.now_us = START_US
        self.machines = {}
        self.flight = {}
        self.sent = {}
        self.ghost = ghost
        self.build = build
        self.cuts = set()
        self.dice_seed = dice_seed
        self.drops = drops

    def add(self, name, address):
        """A machine with an empty disk that doesn't run yet."""
        machine = self.machines[name] = Machine(self, name, address)
        return machine

    def at(self, address):
        """Who can be reached there now: of several machines that used one address, the last."""
        found = None
        for machine in self.machines.values():
            if machine.address == address and machine.node is not None:
                found = machine
        return found

    def start(self, machine):
        """Starts the machine's node on what its disk holds."""
        machine.starts += 1
        self.now_us += START_TAKES_US
        machine.is_frozen = False
        for other in self.machines.values():
            other.note("start", machine.process, self.now_us)
        own = MachinePorts(machine)
        dice = random.Random(f"{self.dice_seed}/{machine.process}")
        machine.node = self.build(machine, Ports(own, own, machine.disk, dice, own.log))
        self.settle(machine)

    def send(self, machine, address, message):
        """Puts a message in flight; a message to oneself takes no network and is told at the end of the turn."""
        line = write_line(message).decode().rstrip("\n")
        if not isinstance(message, dict):
            message = json.loads(line)
        self.ghost.hear_message(machine, address, message)
        say = message["say"]
        if say in self.drops:
            return
        stem = f"{machine.name}>{address} {say}"
        number = self.sent[stem] = self.sent.get(stem, 0) + 1
        label = f"{stem} {number}"
        self.flight[label] = Message(label, say, machine.name, address, line)

    def is_cut(self, message):
        """Whether the link that the message is on carries nothing now."""
        target = self.at(message.target)
        return target is not None and (message.source, target.name) in self.cuts

    def deliver(self, label, holds_sync=False, copies=False):
        """The message is heard; its writes are synced at once unless the disk is slow."""
        message = self.flight[label] if copies else self.flight.pop(label)
        machine = self.at(message.target)
        if machine is None or not machine.runs:
            return
        machine.note("hear", message.line, holds_sync, self.now_us)
        _hear(machine.node, message.line)
        if holds_sync:
            machine.disk.is_held = True
        self.settle(machine)

    def settle(self, machine):
        """The end of a turn: messages to itself are heard and writes synced, until nothing of that is left."""
        while machine.node is not None:
            own = [
                message
                for message in self.flight.values()
                if message.target == machine.address and message.source == machine.name
            ]
            if own:
                self.flight.pop(own[0].label)
                _hear(machine.node, own[0].line)
            elif machine.disk.unsynced and not machine.disk.is_held:
                for done in machine.disk.keep():
                    done(True)
            else:
                return

    def sync(self, machine):
        """A slow disk's writes are on it at last, and whoever waited is told."""
        machine.note("sync", self.now_us)
        machine.disk.is_held = False
        self.settle(machine)

    def crash(self, machine, keeps):
        """The process ends before it could answer for its unsynced writes, which are on the disk or not."""
        machine.note("crash", keeps)
        if keeps:
            machine.disk.keep()
        machine.disk.lose()
        machine.disk.is_held = False
        machine.node = None
        machine.is_frozen = False

    def tick(self, machine):
        """One turn of the machine's timers."""
        if machine.runs:
            machine.note("tick", self.now_us)
            for deed in machine.due():
                deed()
            machine.node.tick()
            self.settle(machine)

    def pass_time(self, span_us):
        """Time passes for all; who is given no turn meanwhile is slow."""
        self.now_us += span_us

    def round(self):
        """The undisturbed course of one tick: everyone's timers, then every message that isn't held, in order."""
        self.pass_time(TICK_US)
        for machine in list(self.machines.values()):
            self.tick(machine)
        for _ in range(2):
            for label, message in list(self.flight.items()):
                if message.is_held or label not in self.flight or self.is_cut(message):
                    continue
                target = self.at(message.target)
                if target is not None and target.is_frozen:
                    continue
                self.deliver(label)
