from msgspec import to_builtins

from linkhaven.api import ServiceError
from linkhaven.configuration import (
    BlobStore,
    ConfigurationSnapshot,
    ConfigurationStore,
    WatchServer,
    write_plan,
    write_record,
)
from linkhaven.consensus import Proposer, Replica, default_claim_limits
from linkhaven.credit import QuotaAllocator
from linkhaven.leases import Lease, LeaseRecord
from linkhaven.membership import Membership
from linkhaven.runner import RunnerDesk
from linkhaven.runtime import Node

from .claim_admission import ClaimAdmission
from .figure_relay import FigureRelay
from .messages import ConfigurationRequest, ConfigurationResponse
from .quorum_contact import QuorumContact
from .role_balancer import RoleBalancer
from .runner_discovery import RunnerDiscovery
from .status import ClusterStatus

IMAGE_WAIT_US = 1_000_000
RELEASE_US = 400_000
USAGE_US = 5_000_000
UNASKED_US = 700_000
SEATS = ("a", "b", "c", "d", "e")
DEPUTY = {"a": 0.3, "b": 0.5, "c": 0.7, "d": 0.8, "e": 0.9}
NO_LEASE = LeaseRecord(holder=None, fencing_token=0, renewal=0)
SINGLETON_ROLES = ("steward", "bursar", "roster")


class ControllerNode(Node):
    __slots__ = (
        "membership",
        "seat",
        "proposer",
        "snapshot",
        "blobs",
        "configuration_store",
        "watch_server",
        "leases",
        "desk",
        "runner_discovery",
        "role_balancer",
        "claim_admission",
        "usage",
        "views",
        "outcomes",
        "lines",
        "bursar",
        "is_draining",
        "reported_snapshot",
        "voted_us",
        "contacts",
        "is_adopting",
        "incarnation",
        "adopt_us",
        "on_drained",
        "leave_by_us",
        "unreleased",
        "has_left_seat",
        "rewritten",
        "status",
        "contact",
    )

    def __init__(
        self,
        name,
        address,
        ports,
        zone,
        seeds,
        incarnation,
        seat,
        platform,
        bounds=None,
        contacts=(),
        contact=None,
        desk_of=RunnerDesk,
    ):
        """`seat` None: the disk says it, a first start's contacts say it, or it is learned."""
        super().__init__(name, address, ports, bounds)
        seats = SEATS[: self.bounds.seats]
        self.incarnation = incarnation
        self.snapshot = ConfigurationSnapshot()
        self.is_draining = False
        self.reported_snapshot = None
        self.usage = {}
        self.voted_us = None
        self.is_adopting = False
        self.adopt_us = 0
        self.on_drained = None
        self.leave_by_us = 0
        self.unreleased = set()
        self.has_left_seat = False
        self.rewritten = set()
        self.membership = Membership(
            self,
            "registry",
            zone,
            seeds,
            incarnation,
            seat or "",
            mark_of=lambda: self.snapshot.version,
        )
        self.proposer = Proposer(self, self.membership, silent_us=self.bounds.silent_us)
        self.seat = Replica(
            self,
            seat,
            seats,
            self.membership,
            self._hear_change,
            self._hear_votes,
            self._claim_limits,
        )
        self.seat.occupants.contact = contact or address
        self.seat.holders.on_stuck = self._rewrite
        self.contacts = sorted(contacts)
        self.claim_admission = ClaimAdmission(self, self.seat, self.membership, self.snapshot)
        self.proposer.held_of = self.seat.held_of
        self.blobs = BlobStore(self, self.seat)
        self.configuration_store = ConfigurationStore(
            self, self.proposer, self.blobs, self.snapshot
        )
        self.contact = QuorumContact(self, self.seat, self.membership, self.snapshot)
        self.watch_server = WatchServer(self, self.seat, self.proposer, self.snapshot, self.blobs)
        self.watch_server.has_contact = self.contact.is_held
        self.desk = desk_of(self)
        self.leases = {
            role: Lease(self, role, self.proposer, self.seat, self.membership, listener=self)
            for role in SINGLETON_ROLES
        }
        self._rank_duties()
        self.runner_discovery = RunnerDiscovery(
            self, self.desk, platform, (self.leases["roster"], self.leases["steward"])
        )
        self.runner_discovery.on_blind = self.leases["roster"].step_down
        self.runner_discovery.on_ready = self.watch_server.answer_all
        self.role_balancer = RoleBalancer(
            self, self.leases["steward"], self.runner_discovery, self.desk, self.snapshot
        )
        self.bursar = QuotaAllocator(self, self.leases["bursar"], self.snapshot)
        self.bursar.on_won = self.watch_server.shorten_holds
        self.membership.on_mark.append(self._hear_mark)
        self.views = FigureRelay(self, "views")
        self.outcomes = FigureRelay(self, "outcomes")
        self.lines = FigureRelay(self, "lines")
        self.status = ClusterStatus(self, self._core_facts)
        self.watch_server.on_ask += [
            self.views.on_watch_request,
            self.outcomes.on_watch_request,
            self.lines.on_watch_request,
            self.runner_discovery.on_evidence,
            self.role_balancer.on_watch_request,
            self.bursar.on_ask,
            self._hear_asked_mark,
            self._hear_fences,
            self._hear_usage,
        ]
        self.watch_server.extras += [self._add_roster, self.bursar.add_shares]
        self.watch_server.is_urgent = self._is_urgent
        self.on_message(ConfigurationResponse, self._on_image)
        self.systems += [self._adopt_image, self._watch_edge, self._leave_in_time]
        self.paths.update(
            {
                ("GET", "/v1/core"): self.status.serve,
                ("GET", "/v1/groups"): self.serve_groups,
                ("POST", "/v1/core/restore"): self.serve_restore,
                ("GET", "/v1/standing"): self.serve_standing,
            }
        )
        self._begin_first()

    def _begin_first(self):
        """A core that was told that nothing was ever started: its contacts have the first seats at once."""
        contact = self.seat.occupants.contact
        if (
            self.seat.seat
            or not self.seat.is_empty
            or not self.bounds.bootstrap
            or contact not in self.contacts
        ):
            return
        place = self.contacts.index(contact)
        if place < len(self.seat.seats):
            self.seat.begin_first(self.seat.seats[place], self.contacts)

    def _rank_duties(self):
        seats = self.seat.seats
        own = seats.index(self.seat.seat) if self.seat.seat else 0
        for place, duty in enumerate(self.leases.values()):
            duty.set_rank((place - own) % len(seats))

    def _claim_limits(self):
        configuration = self.snapshot.configuration
        return configuration.claims if configuration is not None else default_claim_limits()

    def _hear_change(self, key):
        if key != "plan":
            return
        value = self.seat.cell(key).value
        if self.seat.is_known_chosen(key) and self.snapshot.is_newer(value):
            if self.blobs.has_plan(value):
                self.snapshot.take(self.blobs.with_plan(value))
        self.watch_server.answer_waiting()

    def _hear_votes(self):
        self.voted_us = self.now_us()
        self._rank_duties()
        self.runner_discovery.start_serials_at(self.seat.incarnation)
        if not self.seat.votes_from_us:
            for duty in self.leases.values():
                duty.allow_election_now()
        elif self.seat.rejoin.has_met_no_vote:
            self.leases["roster"].assume_vacant()

    def on_lease_won(self, role):
        """Begin the work of a singleton role."""
        if role == "steward":
            self.role_balancer.on_lease_won(role)
        elif role == "bursar":
            self.bursar.on_lease_won(role)
        else:
            self.watch_server.answer_all()

    def on_lease_lapsed(self, role):
        """End the work of a singleton role; the list of runners follows its lease by itself."""
        if role == "steward":
            self.role_balancer.on_lease_lapsed(role)
        elif role == "bursar":
            self.bursar.on_lease_lapsed(role)

    def _hear_mark(self, mark, member):
        self.snapshot.observe_version(mark)
        if member.kind == "router" and self._is_behind(mark):
            self.send(member.address, ConfigurationRequest())

    def _hear_asked_mark(self, message):
        if self._is_behind(message["mark"]):
            self.claim_admission.was_behind = True
            self.send(message["back"], ConfigurationRequest())

    def _hear_usage(self, message):
        now_us = self.now_us()
        self.usage[message["name"]] = (message["usage"], now_us)
        for name in [
            name for name, (_, heard_us) in self.usage.items() if now_us - heard_us > USAGE_US
        ]:
            del self.usage[name]

    def serve_groups(self, call):
        """What each group may spend, and has spent, is waiting for and was refused at the routers heard lately.
        Routers talk to seats only: who has none reads the plan, and has heard no router."""
        if self.seat.is_voting:
            return self._tell_groups(call)

        def done(error, value):
            if error is not None or self.snapshot.configuration is None:
                return call.answer_error(error or ServiceError("plan_absent", retry_us=2_000_000))
            self._tell_groups(call)

        self.configuration_store.read_document(done)

    def _tell_groups(self, call):
        configuration = self.snapshot.configuration
        if configuration is None:
            raise ServiceError("plan_absent", retry_us=2_000_000)
        told = [
            usage for usage, heard_us in self.usage.values() if self.now_us() - heard_us <= USAGE_US
        ]
        groups = {
            name: {
                **write_record(group),
                "kinds": sorted(
                    kind for kind, of in configuration.kinds.items() if of.group == name
                ),
                **{
                    what: sum(usage.get(name, {}).get(what, 0) for usage in told)
                    for what in ("spent", "refused", "waiting", "waiting_tokens")
                },
            }
            for name, group in configuration.groups.items()
        }
        call.answer_json(
            200, {"mark": self.snapshot.version, "routers": len(told), "groups": groups}
        )

    def _hear_fences(self, message):
        for name, fence in message["fences"].items():
            self.leases[name].observe_fencing_token(fence)

    def _is_behind(self, mark):
        value = self.seat.cell("plan").value
        return self.seat.is_voting and mark > (value["mark"] if value else 0)

    def _on_image(self, message):
        """What a router holds: the value that news brought it, and the body of its plan."""
        value = message.value
        if not self.blobs.take(value["bodies"]["plan"], message.body):
            return
        if self.reported_snapshot is None or message.mark > self.reported_snapshot["mark"]:
            self.reported_snapshot = {**value, "plan": self.blobs.plan_of(value)}

    def _adopt_image(self, now_us):
        told = self.reported_snapshot
        if told is None or self.is_adopting or now_us - self.adopt_us < IMAGE_WAIT_US:
            return
        if (
            self.voted_us is None
            or now_us - self.voted_us < IMAGE_WAIT_US
            or told["mark"] < self.snapshot.highest_version
        ):
            return
        if not self._is_behind(told["mark"]):
            self.reported_snapshot = None
            return
        self.is_adopting = True
        self.adopt_us = now_us

        def step(value):
            if value is not None and value["mark"] >= told["mark"]:
                return "keep", None
            self.blobs.send([write_plan(told["plan"])])
            return "set", {name: told[name] for name in told if name != "plan"}

        def done(outcome, value):
            self.is_adopting = False
            if outcome == "chosen":
                self.ports.log(1207, mark=value["mark"])
                if self.snapshot.is_newer(value) and self.blobs.has_plan(value):
                    self.snapshot.take(self.blobs.with_plan(value))
                self.reported_snapshot = None

        self.proposer.change("plan", step, done)

    def _watch_edge(self, now_us):
        """A seat that no router asks any more, though routers run, serves nobody with its duties."""
        if (
            now_us - self.watch_server.polled_us < 2 * self.bounds.news_hold_us + UNASKED_US
            or not self.membership.live_members("router")
        ):
            return
        for duty in self.leases.values():
            duty.step_down()

    def _add_roster(self, ask, facts):
        rank = self._roster_rank()
        if rank is not None and self.runner_discovery.is_ready():
            fence, serial = ask.get("roster") or (None, None)
            self.views.add_watch_facts(ask, facts)
            self.outcomes.add_watch_facts(ask, facts)
            self.lines.add_watch_facts(ask, facts)
            facts["roster"] = {
                "fence": rank,
                **self.runner_discovery.document(serial if fence == rank else None),
            }
        self.role_balancer.add_watch_facts(facts)

    def _is_urgent(self, ask):
        """Whether the asker lacks an order of the switcher, or what happened to a runner."""
        steward = self.leases["steward"]
        place = (steward.fencing_token, self.role_balancer.serial)
        if steward.is_held() and place > tuple(ask.get("steward") or (0, 0)):
            return True
        rank = self._roster_rank()
        if rank is None or not self.runner_discovery.is_ready():
            return False
        return (rank, self.runner_discovery.changes.newest) > tuple(ask.get("roster") or (0, 0))

    def _roster_rank(self):
        """The fence while the duty is held. While its holder is quiet a deputy stands between that fence and the next."""
        duty = self.leases["roster"]
        if duty.is_held():
            return duty.fencing_token
        if not duty.is_holder_suspected():
            return None
        last = duty.record()
        return (last.fencing_token if last else 0) + DEPUTY[self.seat.seat]

    def drain(self, on_drained):
        self.is_draining = True
        self.ports.log(1002, running=0)
        self.on_drained = on_drained
        self.leave_by_us = self.now_us() + RELEASE_US
        self.unreleased = set(self.leases)
        for name, duty in self.leases.items():
            duty.release(lambda name=name: self._hear_released(name))
        self.seat.leaving.begin(self._hear_left_seat)

    def _hear_released(self, name):
        self.unreleased.discard(name)
        self._leave()

    def _hear_left_seat(self):
        self.has_left_seat = True
        self._leave()

    def _rewrite(self, key):
        """Its value goes to a majority under a higher ballot."""
        if key in self.rewritten:
            return
        self.rewritten.add(key)
        self.proposer.read(key, lambda outcome, value: self.rewritten.discard(key))

    def _leave(self):
        """Once the seat is left and the duties are released, or had their time for it."""
        if not self.has_left_seat or self.unreleased and self.now_us() < self.leave_by_us:
            return
        on_drained, self.on_drained = self.on_drained, None
        if on_drained is None:
            return
        self.membership.send_leave()
        on_drained()

    def _leave_in_time(self, now_us):
        if self.on_drained is not None and now_us >= self.leave_by_us:
            self._leave()

    def _core_facts(self):
        seats = self.membership.seats()
        return {
            "seat": self.seat.seat,
            "standing": self.seat.standing,
            "incarnation": self.seat.incarnation,
            "claims": len(self.seat.claims),
            "are_claims_open": self.seat.are_claims_open,
            "is_empty": self.seat.is_empty,
            "is_failing": self.seat.is_failing,
            "why": self.seat.rejoin.wait_reason,
            "mark": self.watch_server.held_version(),
            "highest_mark": self.snapshot.highest_version,
            "seats": {
                seat: {"address": address, "incarnation": incarnation}
                for seat, (address, incarnation) in seats.items()
            },
            "heard": {
                seat: {"is_voting": state["is_voting"], "is_empty": state["is_empty"]}
                for seat, state in self.seat.rejoin.told.items()
            },
            "duties": {
                name: {
                    "held": duty.is_held(),
                    **to_builtins(duty.record() or NO_LEASE),
                }
                for name, duty in self.leases.items()
            },
        }

    def serve_restore(self, call):
        if not self.seat.restore():
            raise ServiceError("seat_not_waiting", standing=self.seat.standing)
        call.answer_json(200, {"seat": self.seat.seat, "standing": self.seat.standing})

    def serve_standing(self, call):
        now_us = self.now_us()
        call.answer_json(
            200,
            {
                "name": self.name,
                "kind": "registry",
                "zone": self.membership.me.zone,
                "mark": self.snapshot.version,
                "is_current": self.watch_server.is_current(),
                "seat": self.seat.seat,
                "standing": self.seat.standing,
                "fellows": [member.as_record() for member in self.membership.peers.values()],
                "runners": [
                    runner.as_record(now_us) for runner in self.runner_discovery.runners.values()
                ],
                **self.role_balancer.as_record(),
            },
        )
