"""A loopback fleet whose processes connect to each other through relays."""

import os

from linkhaven.wire.console import call_json

from ..loopback import LoopbackFleet
from .relay import Mode, RelayLoop
from .sabotage import TRUSTING_RUNNERS
from .schedule import Link

PROGRAMS = {"linkhaven-router": "router", "linkhaven-registry": "registry"}


class SoakFleet(LoopbackFleet):
    """A `LoopbackFleet` in which processes are given only relay addresses of each other.

    `relays` maps (process name, link) to the relay: HTTP calls, the node-to-node connections
    ("lines"), and for a core replica its own connection to the platform API.
    """

    __slots__ = (
        "relay_loop",
        "relays",
        "bound",
        "listed",
        "first_listed",
        "record_paths",
        "sabotage",
    )

    def __init__(self, deployment, folder, port, seed, sabotage=None):
        """Start the relay thread only; `sabotage` names the mechanism to disable in the nodes."""
        super().__init__(deployment, folder, port)
        self.sabotage = sabotage
        self.relay_loop = RelayLoop(seed)
        self.relays = {}
        self.bound = {}
        self.listed = {}
        self.first_listed = {}
        self.record_paths = []

    def _add_relay(self, name, link, target):
        relay = self.relays[(name, link)] = self.relay_loop.add(f"{name}/{link}", target)
        return relay.address

    def start(self):
        """Create the seed nodes' relays first, as every node's settings name their addresses."""
        self.bound = dict(zip(("core-a", "core-b", "core-c"), self.seeds, strict=True))
        self.seeds = [
            self._add_relay(name, Link.LINES, address) for name, address in self.bound.items()
        ]
        return super().start()

    def listed_address(self, name, address, zone):
        """Add a relay for the runner and list the runner at the relay's address."""
        relay_address = self._add_relay(name, Link.CALLS, address)
        self.first_listed[name] = self.listed[name] = {
            "name": name,
            "address": relay_address,
            "zone": zone,
            "incarnation": 0,
            "state": "serving",
        }
        return relay_address

    def runner_options(self, name):
        """Have each runner record the work it begins; disable its fencing check where required."""
        path = os.path.join(self.folder, f"{name}.record")
        self.record_paths.append(path)
        trusting_option = ["--trusting"] if self.sabotage in TRUSTING_RUNNERS else []
        return ["--record", path, *trusting_option]

    def _serve(self, name, program, settings):
        if name in self.registries:
            settings["platform"] = self._add_relay(name, Link.PLATFORM, self.platform)
            settings["lines"] = self.relays[(name, Link.LINES)].address
            listen = self.bound[name]
        else:
            listen = settings["lines"]
            settings["lines"] = self._add_relay(name, Link.LINES, listen)
        self._add_relay(name, Link.CALLS, settings["http"])
        path = self._write_settings(name, settings)
        arguments = (
            "soak-node",
            "--program",
            PROGRAMS[program],
            "--settings",
            path,
            "--listen",
            listen,
            *(("--sabotage", self.sabotage) if self.sabotage else ()),
        )
        self._run(name, "linkhaven-stage", *arguments)

    def calls_address(self, name):
        """The HTTP address of the relay in front of a process."""
        return self.relays[(name, Link.CALLS)].address

    def calls_addresses(self, names):
        """The relay HTTP addresses of several processes."""
        return [self.calls_address(name) for name in names]

    def set_absent(self, name, is_absent):
        """Make the relays in front of a process refuse connections, or accept them again."""
        for link in (Link.CALLS, Link.LINES):
            if (name, link) in self.relays:
                self.relays[(name, link)].set_absent(is_absent)

    def list_runners(self):
        """Put the current runner list to the platform."""
        call_json(self.platform, "PUT", "/v1/runners", {"runners": list(self.listed.values())})

    def is_running(self, name):
        """Whether the process is running."""
        return self.processes[name].process.poll() is None

    def stop(self):
        """Stop the processes, then the relays; returns the exit codes by process name."""
        for relay in self.relays.values():
            relay.set_mode(Mode.PASS)
        try:
            return super().stop()
        finally:
            self.relay_loop.close()
