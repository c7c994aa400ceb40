"""A loopback fleet whose processes reach each other through relays."""

import os

from linkhaven.wire.console import call_json

from ..loopback import LoopbackFleet
from .relay import Mode, RelayLoop
from .sabotage import TRUSTING_RUNNERS
from .schedule import Link

PROGRAMS = {"linkhaven-router": "router", "linkhaven-registry": "registry"}


class SoakFleet(LoopbackFleet):
    """Every address that a process of the fleet is given is that of a relay before it.

    `relays` has them by the name of the process and the link: its calls (HTTP), its lines, and
    for a core seat its own way to the platform's list.
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
        """Nothing runs yet but the relays' thread; `sabotage`: what to take out of the nodes."""
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
        """Relays for the seeds first: every node's settings name them."""
        self.bound = dict(zip(("core-a", "core-b", "core-c"), self.seeds, strict=True))
        self.seeds = [
            self._add_relay(name, Link.LINES, address) for name, address in self.bound.items()
        ]
        return super().start()

    def listed_address(self, name, address, zone):
        """The platform lists a runner at its relay."""
        seen = self._add_relay(name, Link.CALLS, address)
        self.first_listed[name] = self.listed[name] = {
            "name": name,
            "address": seen,
            "zone": zone,
            "incarnation": 0,
            "state": "serving",
        }
        return seen

    def runner_options(self, name):
        """Each runner writes down what it began."""
        path = os.path.join(self.folder, f"{name}.record")
        self.record_paths.append(path)
        trusting = ["--trusting"] if self.sabotage in TRUSTING_RUNNERS else []
        return ["--record", path, *trusting]

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
        words = (
            "soak-node",
            "--program",
            PROGRAMS[program],
            "--settings",
            path,
            "--listen",
            listen,
            *(("--sabotage", self.sabotage) if self.sabotage else ()),
        )
        self._run(name, "linkhaven-stage", *words)

    def calls_address(self, name):
        """Where others call a process: its relay."""
        return self.relays[(name, Link.CALLS)].address

    def calls_addresses(self, names):
        """The same of several."""
        return [self.calls_address(name) for name in names]

    def set_absent(self, name, is_absent):
        """Have the relays before a process refuse connections, or take them again."""
        for link in (Link.CALLS, Link.LINES):
            if (name, link) in self.relays:
                self.relays[(name, link)].set_absent(is_absent)

    def list_runners(self):
        """Tell the platform the runners as they are now."""
        call_json(self.platform, "PUT", "/v1/runners", {"runners": list(self.listed.values())})

    def is_running(self, name):
        """Whether the process is there."""
        return self.processes[name].process.poll() is None

    def stop(self):
        """End the processes, then the relays."""
        for relay in self.relays.values():
            relay.set_mode(Mode.PASS)
        try:
            return super().stop()
        finally:
            self.relay_loop.close()
