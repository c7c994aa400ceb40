"""Simulated routers, owners of tenants' shards and one runner, for tests of quotas.

Shards are owned under a lease that a majority of the owners grants, as in a real deployment, but
decided in one place: `QuorumLeases` evaluates the world's network partitions. `worst_excess` checks
the requests that the runner receives, independently of buckets and slices.
"""

import random
from collections import Counter
from types import SimpleNamespace

from linkhaven.api import ServiceError
from linkhaven.configuration import Tenant
from linkhaven.credit.quota_owner import QuotaOwner
from linkhaven.credit.tenant_quota import TenantQuotas
from linkhaven.leases import shard_of
from linkhaven.runtime import Bounds, Node
from linkhaven.stage.world import Host, World

SECOND = 1_000_000
NUM_SHARDS = 8
LEASE_US = 1_200_000
RENEW_US = 300_000
KIND = SimpleNamespace(ttft_us=820_000)


class Snapshot:
    """The configuration in force at one node."""

    def __init__(self, tenants):
        self.version = 1
        self.configuration = SimpleNamespace(tenants=tenants)
        self.change_listeners = []

    def take(self, tenants):
        self.version += 1
        self.configuration = SimpleNamespace(tenants=tenants)
        for notify in self.change_listeners:
            notify()


class QuorumLeases:
    """The owner of each shard, renewed while it reaches a majority of the owners."""

    def __init__(self, world, owners):
        self.world = world
        self.owners = owners
        self.holders = {}
        self.epochs = Counter()
        self.until_us = {}

    def has_quorum(self, host):
        reached = [
            other
            for other in self.owners
            if other.node is not None
            and not other.is_still
            and (
                other is host
                or not (self.world.is_cut(host, other) or self.world.is_cut(other, host))
            )
        ]
        return 2 * len(reached) > len(self.owners)

    def renew(self, host):
        """Renew the shards that the node owns, and acquire those whose lease has expired."""
        if not self.has_quorum(host):
            return
        for shard in range(NUM_SHARDS):
            holder = self.holders.get(shard)
            is_over = self.world.now_us >= self.until_us.get(shard, 0)
            if holder is not None and holder != host.name and not is_over:
                continue
            ownership = host.node.ownership
            is_renewed = holder == host.name and shard in ownership.until_us and not is_over
            self.holders[shard] = host.name
            self.until_us[shard] = self.world.now_us + LEASE_US
            ownership.until_us[shard] = host.node.now_us() + LEASE_US
            if not is_renewed:
                self.epochs[shard] += 1
                ownership.epochs[shard] = self.epochs[shard]
                host.node.quota_owner.on_shard_won(shard)


class Ownership:
    """One node's `ShardOwnership`; a stand-in for `ShardLeases`."""

    num_shards = NUM_SHARDS

    def __init__(self, leases):
        self.leases = leases
        self.until_us = {}
        self.epochs = {}

    def is_owned(self, shard, now_us):
        return now_us < self.until_us.get(shard, 0)

    def epoch_of(self, shard):
        return self.epochs.get(shard, 0)

    def owner_address(self, shard):
        name = self.leases.holders.get(shard)
        return next((host.address for host in self.leases.owners if host.name == name), None)


class OwnerNode(Node):
    """A controller that runs only the `QuotaOwner`."""

    __slots__ = ("ownership", "quota_owner", "renewed_us", "leases", "host")

    def __init__(self, host, ports, leases, snapshot):
        super().__init__(host.name, host.address, ports)
        self.host = host
        self.leases = leases
        self.ownership = Ownership(leases)
        self.quota_owner = QuotaOwner(self, self.ownership, snapshot)
        self.renewed_us = 0
        self.tick_handlers.append(self.renew)

    def renew(self, now_us):
        if now_us - self.renewed_us >= RENEW_US:
            self.renewed_us = now_us
            self.leases.renew(self.host)


class MeteredNode(Node):
    """A router that runs only the `TenantQuotas`."""

    __slots__ = ("quotas", "fleet", "host", "serial")

    def __init__(self, host, ports, fleet, snapshot):
        super().__init__(host.name, host.address, ports)
        self.fleet = fleet
        self.host = host
        self.serial = 0
        first_number = host.wall_us() + host.starts
        self.quotas = TenantQuotas(
            self, fleet, NUM_SHARDS, first_number, self.send_to_runner, self.refuse
        )
        self.quotas.apply_configuration(snapshot.configuration)
        snapshot.change_listeners.append(
            lambda: self.quotas.apply_configuration(snapshot.configuration)
        )

    def serve_tenant(self, tenant):
        self.serial += 1
        request = SimpleNamespace(
            id=f"{self.name}-{self.serial}",
            tenant=tenant,
            kind=KIND,
            arrived_us=self.now_us(),
            quota_slice=None,
        )
        try:
            if self.quotas.admit(request):
                self.send_to_runner(request)
        except ServiceError as error:
            self.refuse(request, error)

    def send_to_runner(self, request):
        fleet, tenant, sent_us = self.fleet, request.tenant, self.fleet.world.now_us
        fleet.delays.append(self.now_us() - request.arrived_us)
        link = fleet.world.link(self.host, fleet.runner)
        link.send(lambda: fleet.arrivals.append((tenant, sent_us, fleet.world.now_us)))

    def refuse(self, request, error):
        self.fleet.refusals.append((request.tenant, error.code, self.fleet.world.now_us))


class QuotaFleet:
    """Owners, routers, a runner, and callers of each tenant."""

    def __init__(self, seed, tenants, routers=12, owners=3):
        self.world = World(seed)
        self.world.is_tracing = True
        self.rng = random.Random(seed)
        self.tenants = tenants
        self.arrivals = []
        self.refusals = []
        self.delays = []
        self.asked = Counter()
        self.snapshots = {}
        self.runner = Host(self.world, "runner", "north", "10.2.0.1:80", self._build_runner)
        self.owners = [
            self._host(f"core-{place}", f"10.0.0.{place}:7000") for place in range(owners)
        ]
        self.leases = QuorumLeases(self.world, self.owners)
        self.routers = [
            self._host(f"edge-{place}", f"10.1.0.{place}:7000") for place in range(routers)
        ]
        for host in [self.runner, *self.owners, *self.routers]:
            host.start()
        self.world.run_for(3 * SECOND)

    def _host(self, name, address):
        build = self._build_owner if name.startswith("core") else self._build_router
        return Host(self.world, name, "north", address, build)

    def _build_runner(self, host, ports):
        return Node(host.name, host.address, ports)

    def _build_owner(self, host, ports):
        self.snapshots[host.name] = Snapshot(self.tenants)
        return OwnerNode(host, ports, self.leases, self.snapshots[host.name])

    def _build_router(self, host, ports):
        self.snapshots[host.name] = Snapshot(self.tenants)
        return MeteredNode(host, ports, self, self.snapshots[host.name])

    # ControllerDirectory

    def controller_addresses(self):
        return [host.address for host in self.owners]

    def preferred_address(self, shard):
        return self.owners[shard % len(self.owners)].address

    def relay_addresses(self):
        return [host.address for host in self.routers]

    # load

    def send_one(self, tenant, routers=None):
        host = self.rng.choice(routers or self.routers)
        self.asked[tenant] += 1
        host.do(lambda: host.node.serve_tenant(tenant))

    def load(self, tenant, rate, seconds, routers=None):
        """Send requests with Poisson arrivals, `rate` per second."""
        end_us = self.world.now_us + int(seconds * SECOND)

        def send():
            if self.world.now_us >= end_us:
                return
            self.send_one(tenant, routers)
            self.world.after(int(self.rng.expovariate(rate) * SECOND) + 1, send)

        self.world.after(int(self.rng.expovariate(rate) * SECOND) + 1, send)

    def load_within(self, tenant, rate, burst, seconds, routers=None):
        """Send as much as a limit allows, by spending a token bucket in random bursts."""
        level, begun_us = float(burst), self.world.now_us
        for step in range(int(seconds * 20)):
            level = min(float(burst), level + rate / 20)
            if self.rng.random() < 0.15:
                count, level = int(level), level - int(level)
                for _ in range(count):
                    self.world.at(begun_us + step * 50_000, lambda: self.send_one(tenant, routers))

    def put_limits(self, tenants, within_us=500_000):
        """Apply new limits at each node, at a random time within `within_us`."""
        self.tenants = tenants
        for name in list(self.snapshots):
            self.world.after(
                self.rng.randrange(within_us), lambda name=name: self._take_limits(name, tenants)
            )

    def _take_limits(self, name, tenants):
        host = next(each for each in [*self.owners, *self.routers] if each.name == name)
        host.do(lambda: self.snapshots[name].take(tenants))

    # results

    def served(self, tenant):
        return sum(1 for each in self.arrivals if each[0] == tenant)

    def codes(self, tenant):
        return Counter(code for name, code, _ in self.refusals if name == tenant)

    def violations(self):
        return [facts for _, _, number, facts in self.world.events if number == 1903]

    def faults(self):
        """Log events of failed message handlers."""
        return [facts for _, _, number, facts in self.world.events if number == 1005]


def limit(rate, burst=0):
    return Tenant(key_digests=(), requests_per_s=rate, burst_requests=burst)


def allowed(tenant, bounds=None):
    bounds = bounds or Bounds()
    whole = tenant.requests_per_s * bounds.quota_window_us / SECOND + tenant.burst_requests
    return whole * (1 + bounds.quota_overage) + bounds.quota_slack


def worst_excess(arrivals, name, tenant, since_us=0):
    """Return by how much the worst window exceeds the bound.

    A request counts for a window if it was both sent and received within it.
    """
    window_us = Bounds().quota_window_us
    times = sorted((sent, arrived) for who, sent, arrived in arrivals if who == name)
    worst = 0
    for place, (begin_us, _) in enumerate(times):
        if begin_us < since_us:
            continue
        count = 0
        for sent_us, arrived_us in times[place:]:
            if sent_us > begin_us + window_us:
                break
            count += arrived_us <= begin_us + window_us
        worst = max(worst, count)
    return worst - allowed(tenant)


def tenants_of_shards(count, rate, burst):
    """Return tenants with the same limit, whose names are assigned to the shards in turn."""
    names = (f"school-{number}" for number in range(10_000))
    found = []
    while len(found) < count:
        name = next(names)
        if shard_of(name, NUM_SHARDS) == len(found) % NUM_SHARDS:
            found.append(name)
    return {name: limit(rate, burst) for name in found}
