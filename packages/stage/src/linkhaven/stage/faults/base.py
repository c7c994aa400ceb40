"""What all faults share: beginning and closing them, choosing targets, and stopping and starting
hosts."""

from ..world import Host, SimDisk

SECOND = 1_000_000


class FaultsBase:
    """Failures that can be brought about in a SimFleet.

    A fault is a method that begins it and returns the function that ends it, or None if there is
    nothing to end.
    """

    __slots__ = ("fleet", "world", "open", "is_closed")

    def __init__(self, fleet):
        self.fleet = fleet
        self.world = fleet.world
        self.open = []
        self.is_closed = False

    def begin(self, name, *words):
        """Begin a fault by its name, with `words` as arguments, and record it."""
        self.is_closed = False
        self.world.note("fault", name=name, words=[str(word) for word in words])
        close = getattr(self, name)(*words)
        if close:
            self.open.append(close)

    def close(self):
        """End all faults, the last begun first: each restores what it found, which may be another
        fault's doing."""
        self.is_closed = True
        for close in reversed(self.open):
            close()
        self.open = []
        self.world.note("closed")

    def _hosts(self):
        fleet = self.fleet
        return {
            host.name: host
            for host in [
                *fleet.registries.values(),
                *fleet.routers.values(),
                *fleet.runners.values(),
                fleet.platform,
            ]
        }

    def _inside(self):
        return list(self._hosts())

    def _in_zone(self, zone):
        return [
            host
            for host in self._hosts().values()
            if host.zone == zone and host is not self.fleet.platform
        ]

    def pick(self, hosts):
        """Draw one name, the same for the same seed."""
        names = sorted(hosts)
        return names[self.world.dice.randrange(len(names))]

    def pick_some(self, hosts, count):
        """Draw up to `count` names."""
        names = sorted(hosts)
        self.world.dice.shuffle(names)
        return names[:count]

    def _each_in_turn(self, names, pause_us, action):
        """Apply an action to one name after another, until the faults are closed."""
        left = list(names)

        def next_one():
            if not left or self.is_closed:
                return
            action(left.pop(0))
            self.world.after(pause_us, next_one)

        next_one()

    def _start_all(self, hosts):
        for host in hosts:
            if host.node is None:
                host.start()
        self.fleet.list_runners()

    def _kill_all(self, hosts):
        """Kill the hosts that run; return the function that starts them again."""
        hosts = [host for host in hosts if host.node is not None]
        for host in hosts:
            host.kill()
        return lambda: self._start_all(hosts)

    def _put_in_seat(self, seat, zone):
        """Start an empty machine at a new address that takes over a seat."""
        fleet = self.fleet
        fleet.moved += 1
        new = Host(
            self.world,
            f"core-{seat}-{fleet.moved}",
            zone,
            f"10.0.1.{fleet.moved}:7000",
            fleet._build_registry(seat, fleet.live_seeds()),
            SimDisk(self.world),
        )
        fleet.registries[seat] = new
        new.start()
        return new
