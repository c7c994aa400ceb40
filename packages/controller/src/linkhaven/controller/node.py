"""The node of a core member: the composition root of the control plane.

The components are built in the order of their dependencies:

| component | owns |
| --- | --- |
| `snapshot` | the configuration in force, as far as this node knows |
| `membership` | the members of the fleet and their health |
| `replica`, `proposer` | the register: this replica's votes, the proposals in flight |
| `blobs`, `blob_exchange` | the configuration's documents and their transfer |
| `configuration_store` | the changes of the configuration |
| `watch_server` | the routers that watch the configuration |
| `leases` | the singleton roles: role balancer, quota allocator, runner list |
| `runner_discovery`, `role_balancer` | the runner list; the prefill and decode roles |
| `quota_allocator` | the quotas of groups |
| `shard_leases` | which tenant shards this node owns |
| `quota_owner` | the quotas of the tenants in those shards |
| `configuration_recovery`, `claim_admission` | what routers return to a core that lost it |
| `quorum_contact`, `router_contact` | whether replicas and routers reach this node |
| `shutdown` | the graceful shutdown |

Components register their ticks when they are built, so the ticks run in that order. Those of the
components that announce nothing to others come last. Simulated runs depend on this order to be
reproducible.
"""

from collections.abc import Callable, Sequence
from typing import Any

from linkhaven.configuration import (
    BlobExchange,
    BlobGuard,
    BlobStore,
    ConfigurationCommands,
    ConfigurationSnapshot,
    ConfigurationStore,
    PendingBlobs,
    WatchServer,
)
from linkhaven.consensus import Proposer, RegisterTable, Replica, default_claim_limits
from linkhaven.credit import QuotaAllocator, QuotaOwner
from linkhaven.leases import Lease, ShardLeases
from linkhaven.membership import Member, Membership
from linkhaven.runner import RunnerClient
from linkhaven.runtime import Bounds, Node

from .bootstrap import begin_first_start
from .claim_admission import ClaimAdmission
from .configuration_recovery import CONFIGURATION_KEY, ConfigurationRecovery
from .figure_relay import FigureRelay
from .group_usage import GroupUsage
from .local_status import NodeStatus, StandingView
from .quorum_contact import QuorumContact
from .role_balancer import RoleBalancer
from .router_contact import RouterContactMonitor
from .runner_discovery import RunnerDiscovery
from .runner_list_publisher import RunnerListPublisher
from .shutdown import GracefulShutdown, ShutdownState
from .singleton_roles import (
    QUOTA_ALLOCATOR,
    ROLE_BALANCER,
    RUNNER_LIST,
    SINGLETON_ROLES,
    FencingTokenObserver,
    rank_candidates,
)
from .status import ClusterStatus

REPLICA_NAMES = ("a", "b", "c", "d", "e")
"""The names of the replicas; a deployment uses the first `bounds.seats` of them."""

TENANT_SHARDS = "tenant_shards"
"""The name of the tenant shard leases among the leases that are released at shutdown."""

RELAYED_FIGURES = ("views", "outcomes", "lines")
"""The fields of a watch request that are summed over all other routers for each router."""


class ControllerNode(Node):
    """A member of the core: a replica of the register and a candidate for the singleton roles."""

    __slots__ = (
        "membership",
        "replica",
        "registers",
        "proposer",
        "snapshot",
        "blobs",
        "blob_exchange",
        "configuration_store",
        "watch_server",
        "watch_listeners",
        "watch_contributors",
        "leases",
        "shard_leases",
        "runner_client",
        "runner_discovery",
        "role_balancer",
        "quota_allocator",
        "quota_owner",
        "claim_admission",
        "configuration_recovery",
        "group_usage",
        "publisher",
        "relays",
        "status",
        "node_status",
        "standing",
        "incarnation",
        "quorum_contact",
        "router_contact",
        "shutdown",
        "outbid_keys",
    )

    def __init__(
        self,
        name: str,
        address: str,
        ports: Any,
        zone: str,
        seeds: Sequence[str],
        incarnation: int,
        replica_id: str | None,
        platform: str,
        bounds: Bounds | None = None,
        contacts: Sequence[str] = (),
        contact: str | None = None,
        make_runner_client: Callable[[Node], Any] = RunnerClient,
    ) -> None:
        """Build the components of the node `name`, reached at `address`.

        `replica_id`: its replica; None if that is read from the disk, follows from `contacts` at a
        first start, or is learned from a running core. `contact`: its address among `contacts`.
        `platform`: the address of the platform's list of runners. `make_runner_client`: creates the
        client that calls the platform and the runners.
        """
        super().__init__(name, address, ports, bounds)
        self.incarnation = incarnation
        self.snapshot = ConfigurationSnapshot()
        self.outbid_keys: set[str] = set()
        self._build_register(zone, seeds, replica_id, contact or address)
        self._build_configuration()
        self._build_singleton_roles(platform, make_runner_client)
        self._build_reporting()
        self._subscribe()
        self._register_routes()
        begin_first_start(self.replica, self.bounds.bootstrap, sorted(contacts))

    def _build_register(
        self, zone: str, seeds: Sequence[str], replica_id: str | None, contact: str
    ) -> None:
        """Build the membership, the register and the admission of claims after an empty start."""
        self.membership = Membership(
            self,
            "registry",
            zone,
            seeds,
            self.incarnation,
            replica_id or "",
            current_version=lambda: self.snapshot.version,
            on_configuration_version=self.on_member_version,
        )
        self.registers = RegisterTable.load(self, self.claim_limits)
        self.proposer = Proposer(
            self,
            self.membership,
            silent_us=self.bounds.majority_timeout_us,
            own_registers=self.registers,
        )
        self.replica = Replica(
            self,
            replica_id,
            REPLICA_NAMES[: self.bounds.seats],
            self.membership,
            self.registers,
            on_change=self.on_slot_changed,
            on_voting_started=self.on_voting_started,
            on_retired=self.on_replica_retired,
            contact=contact,
            on_preempted=self.on_key_outbid,
        )
        self.claim_admission = ClaimAdmission(self, self.replica, self.membership, self.snapshot)

    def _build_configuration(self) -> None:
        """Build the configuration store and its watch server."""
        # The protocols of these components declare attributes as settable, but only read them.
        node: Any = self
        replica: Any = self.replica
        membership: Any = self.membership
        pending_blobs = PendingBlobs()
        self.blobs = BlobStore(node, replica, pending_blobs)
        self.blob_exchange = BlobExchange(node, membership, self.blobs, pending_blobs)
        BlobGuard(node, replica, self.blobs, self.blob_exchange)
        self.configuration_store = ConfigurationStore(
            node, self.proposer, self.blobs, self.blob_exchange, self.snapshot
        )
        ConfigurationCommands(self, self.configuration_store)
        self.quorum_contact = QuorumContact(self, self.replica, self.membership, self.snapshot)
        self.watch_server = WatchServer(
            node,
            replica,
            self.proposer,
            self.snapshot,
            self.blobs,
            self.quorum_contact,
            self,
        )

    def _build_singleton_roles(
        self, platform: str, make_runner_client: Callable[[Node], Any]
    ) -> None:
        """Build the leases and the components that act under them."""
        self.runner_client = make_runner_client(self)
        proposer: Any = self.proposer
        replica: Any = self.replica
        self.leases = {
            role: Lease(self, role, proposer, replica, self.membership, listener=self)
            for role in SINGLETON_ROLES
        }
        rank_candidates(self.leases, self.replica.replica_ids, self.replica.replica_id)
        self.runner_discovery = RunnerDiscovery(
            self,
            self.runner_client,
            platform,
            (self.leases[RUNNER_LIST], self.leases[ROLE_BALANCER]),
            observer=self,
        )
        self.role_balancer = RoleBalancer(
            self,
            self.leases[ROLE_BALANCER],
            self.runner_discovery,
            self.runner_client,
            self.snapshot,
        )
        self.quota_allocator = QuotaAllocator(self, self.leases[QUOTA_ALLOCATOR], self.snapshot)
        self.shard_leases = ShardLeases(
            self,
            self.replica.recovery.start,
            replica,
            self.membership,
            is_needed=self.has_limited_tenants,
            listener=self,
        )
        self.quota_owner = QuotaOwner(self, self.shard_leases, self.snapshot)

    def _build_reporting(self) -> None:
        """Build what serves routers and operators, the recovery from routers, and the shutdown."""
        self.relays = [FigureRelay(self, field) for field in RELAYED_FIGURES]
        self.publisher = RunnerListPublisher(
            self.replica, self.leases, self.runner_discovery, self.role_balancer, self.relays
        )
        self.group_usage = GroupUsage(self, self.replica, self.configuration_store, self.snapshot)
        self.configuration_recovery = ConfigurationRecovery(
            self,
            self.replica,
            self.proposer,
            self.blobs,
            self.blob_exchange,
            self.snapshot,
            self.claim_admission,
        )
        self.router_contact = RouterContactMonitor(
            self, self.watch_server, self.membership, self.leases
        )
        self.shutdown = GracefulShutdown(
            self,
            {**self.leases, TENANT_SHARDS: self.shard_leases},
            self.replica.departure,
            self.membership,
        )
        self.node_status = NodeStatus(
            self,
            self.replica,
            self.membership,
            self.snapshot,
            self.watch_server,
            self.leases,
            self.shard_leases,
            self.shutdown,
        )
        self.status = ClusterStatus(self, self.membership, self.node_status)
        self.standing = StandingView(
            self,
            self.replica,
            self.membership,
            self.snapshot,
            self.watch_server,
            self.runner_discovery,
            self.role_balancer,
        )
        self.tick_handlers += [
            self.status.tick,
            self.configuration_recovery.tick,
            self.router_contact.tick,
            self.shutdown.tick,
        ]

    def _subscribe(self) -> None:
        """List the components that read each watch request, and those that add to its response."""
        self.watch_listeners = [
            *(relay.on_watch_request for relay in self.relays),
            self.runner_discovery.on_evidence,
            self.role_balancer.demand.on_watch_request,
            self.quota_allocator.on_watch_request,
            self.configuration_recovery.on_watch_request,
            FencingTokenObserver(self.leases).on_watch_request,
            self.group_usage.on_watch_request,
        ]
        self.watch_contributors = [
            self.publisher.add_watch_sections,
            self.quota_allocator.add_shares,
        ]

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """Pass a router's watch request to the components that read its sections."""
        for listener in self.watch_listeners:
            listener(message)

    def add_watch_sections(self, request: dict[str, Any], response: dict[str, Any]) -> None:
        """Let each contributor add its section to the response to a watch request."""
        for contributor in self.watch_contributors:
            contributor(request, response)

    def is_watch_urgent(self, request: dict[str, Any]) -> bool:
        """Whether a router must be answered before the end of its long poll."""
        return self.publisher.is_urgent(request)

    def _register_routes(self) -> None:
        """Register the HTTP routes of operators."""
        self.routes.update(
            {
                ("GET", "/v1/core"): self.status.serve,
                ("GET", "/v1/groups"): self.group_usage.serve,
                ("GET", "/v1/tenants"): self.quota_owner.serve,
                ("POST", "/v1/core/restore"): self.node_status.serve_restore,
                ("GET", "/v1/standing"): self.standing.serve,
            }
        )

    def on_slot_changed(self, key: str) -> None:
        """Apply a configuration that is known to be chosen, after the replica's value changed."""
        if key != CONFIGURATION_KEY:
            return
        value = self.replica.register_state(key).value
        if (
            self.replica.is_known_chosen(key)
            and self.snapshot.is_newer(value)
            and self.blobs.has_document(value)
        ):
            self.snapshot.take(self.blobs.with_document(value))
        self.watch_server.answer_waiting()

    def on_voting_started(self) -> None:
        """Start what depends on the replica's vote.

        If no node can have held a lease before, or no other voter was found, candidates needn't
        wait for leases to expire.
        """
        self.claim_admission.on_voting_started()
        self.configuration_recovery.on_voting_started()
        rank_candidates(self.leases, self.replica.replica_ids, self.replica.replica_id)
        self.runner_discovery.runner_list.start_serials_at(self.replica.incarnation)
        if not self.replica.votes_from_us:
            for lease in self.leases.values():
                lease.allow_election_now()
        elif self.replica.recovery.has_met_no_voter:
            self.leases[RUNNER_LIST].assume_vacant()

    def on_runner_list_ready(self) -> None:
        """Answer all waiting watch requests, since the runner list can now be published."""
        self.watch_server.answer_all()

    def on_runner_list_outdated(self) -> None:
        """Give up the runner list's lease, since this node can't reach the platform."""
        self.leases[RUNNER_LIST].step_down()

    def on_replica_retired(self) -> None:
        """Drop the stored blobs, since this node no longer has a replica."""
        self.blobs.on_replica_retired()

    def on_key_outbid(self, key: str) -> None:
        """Write a key that too few replicas have to a majority under a higher ballot."""
        if key in self.outbid_keys:
            return
        self.outbid_keys.add(key)
        self.proposer.read(key, lambda outcome, value: self.outbid_keys.discard(key))

    def claim_limits(self) -> Any:
        """The limits on age and number of one-time claims, from the configuration in force."""
        configuration = self.snapshot.configuration
        return configuration.claims if configuration is not None else default_claim_limits()

    def on_member_version(self, version: int, member: Member) -> None:
        """Handle the configuration version that a member gossiped."""
        self.configuration_recovery.on_member_version(version, member)

    def has_limited_tenants(self) -> bool:
        """Whether any tenant has a limit, so that its requests must be counted."""
        configuration = self.snapshot.configuration
        tenants = (configuration.tenants if configuration is not None else None) or {}
        return any(tenant.is_limited for tenant in tenants.values())

    def on_shard_won(self, shard: int) -> None:
        """Start to enforce the quotas of the tenants in a shard."""
        self.quota_owner.on_shard_won(shard)

    def on_shard_lost(self, shard: int) -> None:
        """Stop enforcing the quotas of a shard, which another node may now own."""
        self.quota_owner.on_shard_lost(shard)

    def on_lease_won(self, role: str) -> None:
        """Start the work of a singleton role."""
        if role == ROLE_BALANCER:
            self.role_balancer.on_lease_won(role)
        elif role == QUOTA_ALLOCATOR:
            self.quota_allocator.on_lease_won(role)
            self.watch_server.shorten_holds()
        else:
            self.watch_server.answer_all()

    def on_lease_lapsed(self, role: str) -> None:
        """Stop the work of a singleton role; the runner list checks its lease by itself."""
        if role == ROLE_BALANCER:
            self.role_balancer.on_lease_lapsed(role)
        elif role == QUOTA_ALLOCATOR:
            self.quota_allocator.on_lease_lapsed(role)

    @property
    def is_draining(self) -> bool:
        """Whether the shutdown has begun."""
        return self.shutdown.state is not ShutdownState.RUNNING

    def drain(self, on_drained: Callable[[], None]) -> None:
        """Shut down gracefully; `on_drained` is called when the process may exit."""
        self.shutdown.begin(on_drained)
