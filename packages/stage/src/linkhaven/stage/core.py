"""A core without a fleet around it, for the tests of membership and consensus."""

from linkhaven.controller import ControllerNode
from linkhaven.runtime import Bounds

from .standins import StandInPlatform
from .world import Host, SimDisk, World

PLATFORM = "10.9.0.1:80"
FAULT = 1005  # event of an exception while a message was handled


class SimCore:
    """A core whose members find each other: machines come and go, and only their first start knows
    the contacts of the bootstrap.

    `bounds` are passed to `linkhaven.runtime.Bounds`.
    """

    __slots__ = ("world", "machines", "bounds", "platform", "contacts")

    def __init__(self, seed, seats=3, **bounds):
        self.world = World(seed)
        self.world.is_tracing = True
        self.machines = {}
        self.bounds = {"seats": seats, "recovery_wait_us": 1_000_000, **bounds}
        self.contacts = []
        self.platform = Host(
            self.world,
            "platform",
            "z",
            PLATFORM,
            lambda host, ports: StandInPlatform(host.name, host.address, ports, 0),
        )
        self.platform.start()

    def add(self, name, address=None, bootstrap=False):
        """Add a machine, not started; with `bootstrap`, its first start may form a new core."""
        address = address or f"10.0.0.{len(self.machines) + 1}:7000"
        is_first = [bootstrap]

        def build(host, ports):
            bounds = Bounds(**self.bounds, bootstrap=is_first[0])
            is_first[0] = False
            seeds = [
                other.address
                for other in self.machines.values()
                if other is not host and other.node
            ][:3]
            return ControllerNode(
                host.name,
                host.address,
                ports,
                host.zone,
                seeds or list(self.contacts),
                host.wall_us() + host.starts,
                None,
                PLATFORM,
                bounds,
                contacts=self.contacts if bounds.bootstrap else (),
            )

        host = self.machines[name] = Host(
            self.world, name, "z", address, build, SimDisk(self.world)
        )
        return host

    def bootstrap(self, count=3, more=0):
        """Add and start `count` founding machines and `more` that join."""
        self.contacts = [f"10.0.0.{place + 1}:7000" for place in range(count)]
        for place in range(count + more):
            self.add(f"core-{place + 1}", bootstrap=True)
        for host in self.machines.values():
            host.start()
        return self

    def voting(self):
        """The names of machines that vote, by replica id."""
        return {
            host.node.replica.replica_id: name
            for name, host in self.machines.items()
            if host.node and not host.is_frozen and host.node.replica.is_voting
        }

    def wait_voting(self, count, most_us=10_000_000):
        """Wait until `count` machines vote; return whether they do."""
        return self.world.wait_for(lambda: len(self.voting()) >= count, most_us, 50_000)

    def put(self, base, revision, document, plan, name=None, wait=True):
        """Put a configuration at a machine, by default one that votes; return the list that
        receives its (error, value)."""
        host = self.machines[name] if name else self.machines[next(iter(self.voting().values()))]
        results = []
        host.node.configuration_store.put_document(
            base, revision, document, plan, lambda error, value: results.append((error, value))
        )
        if wait:
            self.world.wait_for(lambda: results, 5_000_000, 10_000)
        return results

    def read(self, name=None):
        """Read the configuration at a machine, by default one that votes; return (error, value)."""
        host = self.machines[name] if name else self.machines[next(iter(self.voting().values()))]
        results = []
        host.node.configuration_store.read_record(
            lambda error, value: results.append((error, value))
        )
        self.world.wait_for(lambda: results, 5_000_000, 10_000)
        return results[0]

    def faults(self):
        """Events of exceptions that a node caught while handling a message."""
        return [event for event in self.world.events if event[2] == FAULT]
