from collections import deque

from .claim_limits import default_claim_limits
from .departure import Departure
from .recovery import Recovery
from .recovery_responder import RecoveryResponder
from .replica_assignment import ReplicaAssignment
from .replica_instances import ReplicaInstances
from .replica_records import ReplicaRecord, read_fence, read_handover, read_instances
from .replica_state import IN_RECOVERY, ReplicaState
from .replication_check import ReplicationCheck
from .succession import Succession

SWEEP_US = 10_000_000
SWEPT_AT_ONCE = 2_000
STEP_AT_MOST_US = 250_000
CLAIM = "claim/"


class RegisterState:
    __slots__ = ("promise", "accepted", "value", "chosen", "kept_us", "version")

    def __init__(self, promise=None, accepted=None, value=None, kept_us=0):
        self.promise = promise or [0, ""]
        self.accepted = accepted
        self.value = value
        self.chosen = None
        self.kept_us = kept_us
        self.version = 0

    def as_record(self):
        return [self.promise, self.accepted, self.value, self.kept_us]


class Replica:
    """One core seat: acceptor of every key. Claims of one-time keys are kept for as long as the plan says and never
    forgotten before; when there is no room for more, new ones get no vote."""

    __slots__ = (
        "node",
        "replica_id",
        "replica_ids",
        "majority",
        "directory",
        "states",
        "incarnation",
        "known_incarnations",
        "state",
        "is_empty",
        "is_failing",
        "votes_from_us",
        "on_change",
        "on_votes",
        "on_retired",
        "clock_us",
        "clocked_us",
        "claim_limits",
        "claims",
        "recovery",
        "recovery_responder",
        "are_claims_open",
        "ticked_us",
        "is_learned",
        "instances",
        "assignment",
        "change_count",
        "fence_record",
        "departure",
        "replication",
        "succession",
    )

    OWN_KEYS = (
        "seat",
        "incarnation",
        "known",
        "clock_us",
        "is_partial",
        "are_claims_open",
        "occupants",
        "sealed",
    )

    def __init__(
        self,
        node,
        replica_id,
        seats,
        directory,
        on_change,
        on_votes,
        claim_limits=default_claim_limits,
        contact=None,
        on_outbid=lambda key: None,
    ):
        """`seat` None: which one it is stands on the disk, or is learned."""
        self.node = node
        self.is_learned = replica_id is None
        self.replica_ids = seats
        self.majority = len(seats) // 2 + 1
        self.directory = directory
        self.on_change = on_change
        self.on_votes = on_votes
        self.on_retired = []
        self.claim_limits = claim_limits
        now_us = node.now_us()
        held = node.ports.storage.load()
        self.replica_id = held.get("seat", "") if self.is_learned else replica_id
        self.states = {
            key[5:]: RegisterState(*record)
            for key, record in held.items()
            if key.startswith("cell/")
        }
        self.claims = deque(
            sorted(
                (register_state.kept_us, key)
                for key, register_state in self.states.items()
                if key.startswith(CLAIM)
            )
        )
        self.incarnation = held.get("incarnation", 0)
        self.known_incarnations = held.get("known", {})
        self.clock_us = held.get("clock_us", 0)
        self.clocked_us = now_us
        self.fence_record = read_fence(held.get("sealed"))
        self.is_empty = (
            not self.incarnation or held.get("is_partial", False) or self.fence_record is not None
        )
        self.change_count = 0
        self.are_claims_open = held.get("are_claims_open", True)
        self.is_failing = False
        self.state = ReplicaState.RECOVERING if self.replica_id else ReplicaState.SPARE
        self.votes_from_us = 0
        self.instances = ReplicaInstances(node, self, read_instances(held.get("occupants")))
        self.ticked_us = now_us
        self.succession = Succession(node, self, read_handover(held.get("offer")))
        self.assignment = ReplicaAssignment(node, self, self.succession, contact or node.address)
        self.recovery = Recovery(node, self, self.instances, self.succession)
        self.replication = ReplicationCheck(node, self, on_outbid)
        self.departure = Departure(node, self, self.instances, self.recovery, self.replication)
        self.recovery_responder = RecoveryResponder(
            node, self, self.instances, self.recovery, self.departure
        )
        node.map_handlers.update(
            prepare=self.hear_prepare, accept=self.hear_accept, chosen=self.hear_chosen
        )
        node.systems.append(self.tick)
        if self.replica_id:
            node.ports.log(1201, seat=self.replica_id, empty=self.is_empty)
        else:
            node.ports.log(1209)
        if self.is_learned:
            directory.restore_replica(self.replica_id, self.incarnation)
            directory.add_seeds(self.instances.addresses())

    @property
    def is_voting(self):
        return self.state == ReplicaState.VOTING

    def register_state(self, key):
        return self.states.get(key) or RegisterState()

    def _state_to_keep(self, key):
        register_state = self.states.get(key)
        if register_state is None:
            register_state = self.states[key] = RegisterState(kept_us=self.clock_us)
            if key.startswith(CLAIM):
                self.claims.append((register_state.kept_us, key))
        return register_state

    def _touch(self, register_state):
        """Count the change, so that who read this cell before is sent it again."""
        self.change_count += 1
        register_state.version = self.change_count

    def merge(self, states):
        """The highest of everything; answers what is to be written."""
        changed = {}
        for key, (promise, accepted, value) in states.items():
            register_state = self._state_to_keep(key)
            register_state.promise = max(register_state.promise, promise)
            if accepted and (register_state.accepted is None or accepted > register_state.accepted):
                register_state.accepted, register_state.value = accepted, value
            self._touch(register_state)
            changed[f"cell/{key}"] = register_state.as_record()
        return changed

    def learn_incarnations(self, known):
        for replica_id, incarnation in known.items():
            if replica_id != self.replica_id:
                self.known_incarnations[replica_id] = max(
                    incarnation, self.known_incarnations.get(replica_id, 0)
                )

    def begin_first(self, replica_id, contacts):
        """The first start of the whole system: nothing was ever chosen, so this seat votes at once."""
        self.state = ReplicaState.BOOTSTRAPPING
        self.replica_id, self.incarnation = replica_id, 1
        self.instances.expect(contacts)

        def vote(is_kept):
            if not is_kept:
                self.replica_id, self.state, self.incarnation = "", ReplicaState.SPARE, 0
                return
            self.begin_votes(is_first=True)

        record = ReplicaRecord(
            replica_id=replica_id, incarnation=1, instances=self.instances.records
        )
        self.node.ports.storage.write(record.as_items(), vote)

    def take(self, replica_id, is_core_lost=False):
        """A spare tries to become this replica: what it needs to vote comes by recovery."""
        self.replica_id = replica_id
        self.recovery.begin(is_core_lost=is_core_lost)
        self.node.ports.log(1201, seat=replica_id, empty=self.is_empty)

    def take_after_loss(self, replica_id):
        """The whole core lost its disks: this replica is taken without a vote, and announced as
        one that never voted."""
        self.take(replica_id, is_core_lost=True)
        self.directory.announce_replica(replica_id, 0)

    def retire(self):
        """Back to a spare that keeps nothing which votes."""
        dropped = [
            *(key for key in self.node.ports.storage.load() if key != "offer"),
            *self.OWN_KEYS,
            *(f"cell/{key}" for key in self.states),
        ]
        self.replica_id, self.state, self.incarnation = "", ReplicaState.SPARE, 0
        self.states, self.known_incarnations, self.fence_record = {}, {}, None
        self.claims.clear()
        self.is_empty, self.is_failing, self.are_claims_open = True, False, True
        self.recovery.reset()
        self.recovery_responder.reset()
        self.node.ports.storage.write(dict.fromkeys(dropped), lambda is_kept: None)
        for hear in self.on_retired:
            hear()
        self.directory.announce_replica("", 0)
        self.node.ports.log(1209)

    def fence(self, record, done):
        """No vote under this incarnation from here on; the record says so to a later start, too."""
        self.state = ReplicaState.FENCED
        self.fence_record = record

        def answer(is_kept):
            if not is_kept:
                self.fence_record = None
                self.resume()
            done(is_kept)

        self.node.ports.storage.write(ReplicaRecord(fence=record).as_items(), answer)

    def lift_fence(self):
        """The successor never votes: this disk is whole, and goes on through ordinary recovery."""

        def go_on(is_kept):
            if not is_kept or self.fence_record is None or self.recovery.has_raised_incarnation:
                return
            self.fence_record = None
            self.is_empty = False
            self.recovery.begin()

        self.node.ports.storage.write(ReplicaRecord(fence=None, is_partial=None).as_items(), go_on)

    def pause(self):
        """No vote until `resume`, in this process only."""
        self.state = ReplicaState.FENCED

    def resume(self):
        if self.state == ReplicaState.FENCED and self.fence_record is None:
            self.state = ReplicaState.VOTING

    def take_over(self, seal, handover, done):
        """The whole state of the fenced instance is here: one write makes this node the next one."""
        incarnation = seal.incarnation + 1
        instances = {
            replica_id: instance
            for replica_id, instance in seal.instances.items()
            if replica_id != seal.replica_id
        }
        record = ReplicaRecord(
            replica_id=seal.replica_id,
            incarnation=incarnation,
            known_incarnations=seal.known_incarnations,
            clock_us=self.clock_us,
            are_claims_open=seal.are_claims_open,
            instances=instances,
            handover=handover,
        )

        def answer(is_kept):
            if is_kept:
                self.replica_id, self.incarnation = seal.replica_id, incarnation
                self.known_incarnations = dict(seal.known_incarnations)
                self.are_claims_open = seal.are_claims_open
                self.instances.records = instances
            done(is_kept)

        self.node.ports.storage.write(record.as_items(), answer)

    def begin_with_state(self, wait_us):
        """Its state is that of the fenced instance: the others record it, and nothing is read."""
        self.is_empty = False
        self.node.ports.log(1201, seat=self.replica_id, empty=False)
        self.recovery.begin_with_state(wait_us)

    def begin_votes(self, is_first=False, wait_us=None):
        self.is_empty = self.is_failing = False
        self.fence_record = None
        self.state = ReplicaState.VOTING
        wait_us = self.node.bounds.lease_us if wait_us is None else wait_us
        self.votes_from_us = 0 if is_first else self.node.now_us() + wait_us
        if self.is_learned:
            self.directory.announce_replica(self.replica_id, self.incarnation)
        self.directory.learn_incarnations(self.all_incarnations())
        self.node.ports.log(1202, seat=self.replica_id, incarnation=self.incarnation)
        self.on_votes()
        self.succession.on_votes_begun()

    def _refuse(self, message, say, why, **facts):
        self.node.send_untyped(
            message["back"],
            say,
            id=message["id"],
            ballot=message["ballot"],
            is_yes=False,
            why=why,
            seat=self.replica_id,
            incarnation=self.incarnation,
            known=self.all_incarnations(),
            **facts,
        )

    def all_incarnations(self):
        return (
            {**self.known_incarnations, self.replica_id: self.incarnation}
            if self.replica_id
            else dict(self.known_incarnations)
        )

    def _may_vote(self, message, say):
        if self.state != ReplicaState.VOTING:
            return self._refuse(message, say, self.state)
        if message["seat"] != self.replica_id:
            return self._refuse(message, say, "seat")
        if message["incarnation"] > self.incarnation:
            self._hear_newer(message["incarnation"])
            return self._refuse(message, say, self.state)
        if message["incarnation"] < self.incarnation:
            return self._refuse(message, say, "incarnation")
        for replica_id, incarnation in message["known"].items():
            if replica_id != self.replica_id and incarnation < self.known_incarnations.get(
                replica_id, 0
            ):
                return self._refuse(message, say, "incarnation")
        if message["key"].startswith("duty/") and self.node.now_us() < self.votes_from_us:
            return self._refuse(message, say, "grant")
        if message["key"].startswith(CLAIM) and not self._may_claim(message["key"]):
            return self._refuse(message, say, "claims")
        return True

    def _may_claim(self, key):
        if not self.are_claims_open:
            return False
        return key in self.states or len(self.claims) < self.claim_limits().max_claims

    def open_claims(self):
        """Those who won keys before this core began have told them."""
        self.are_claims_open = True
        self.node.ports.storage.write({"are_claims_open": True}, lambda is_kept: None)
        self.node.ports.log(1208, seat=self.replica_id, claims=len(self.claims))

    def _hear_newer(self, incarnation):
        """A newer occupant fences this one. A core that began anew may only have forgotten: it asks the
        other seats, and rejoins above if none of them was told of a newer occupant."""
        if self.recovery.is_bootstrap:
            return self.recovery.begin(is_disputed=True)
        self.yield_to(incarnation)

    def yield_to(self, incarnation):
        """A newer instance of this replica runs: this one votes no more."""
        self.state = ReplicaState.SUPERSEDED
        self.node.ports.log(1204, seat=self.replica_id, incarnation=incarnation)
        if self.is_learned:
            self.retire()

    def hear_prepare(self, message):
        if not self._may_vote(message, "promise"):
            return
        key, ballot = message["key"], message["ballot"]
        register_state = self._state_to_keep(key)
        if ballot <= register_state.promise:
            return self._refuse(message, "promise", "ballot", highest=register_state.promise)
        register_state.promise = ballot
        accepted = register_state.accepted
        value = None if accepted == message.get("held") else register_state.value
        self._keep(message, "promise", key, register_state, accepted=accepted, value=value)

    def hear_accept(self, message):
        if not self._may_vote(message, "accepted"):
            return
        key, ballot = message["key"], message["ballot"]
        register_state = self._state_to_keep(key)
        if ballot < register_state.promise:
            return self._refuse(message, "accepted", "ballot", highest=register_state.promise)
        register_state.promise = ballot
        register_state.accepted = ballot
        register_state.value = message["value"]
        self._keep(message, "accepted", key, register_state)

    def _keep(self, message, say, key, register_state, **facts):
        self._touch(register_state)

        def answer(is_kept):
            if not is_kept:
                self.is_failing = True
                self.node.ports.log(1205, key=key)
                return self._refuse(message, say, "disk")
            self.is_failing = False
            if self.state != ReplicaState.VOTING or message["incarnation"] != self.incarnation:
                return
            self.node.send_untyped(
                message["back"],
                say,
                id=message["id"],
                ballot=message["ballot"],
                is_yes=True,
                seat=self.replica_id,
                incarnation=self.incarnation,
                known=self.all_incarnations(),
                **facts,
            )
            self.on_change(key)

        self.node.ports.storage.write({f"cell/{key}": register_state.as_record()}, answer)

    def accepted_of(self, key):
        """The ballot that this seat accepted last, and its value."""
        register_state = self.register_state(key)
        return register_state.accepted, register_state.value

    def hear_chosen(self, message):
        register_state = self.states.get(message["key"])
        if register_state is None or register_state.accepted != message["ballot"]:
            return
        register_state.chosen = register_state.accepted
        self.on_change(message["key"])

    def is_known_chosen(self, key):
        register_state = self.states.get(key)
        return (
            register_state is None
            or register_state.accepted is None
            or register_state.chosen == register_state.accepted
        )

    def restore(self):
        return self.recovery.restore()

    def tick(self, now_us):
        passed_us = now_us - self.ticked_us
        leap_us = passed_us - STEP_AT_MOST_US
        self.clock_us += max(0, min(passed_us, STEP_AT_MOST_US))
        self.ticked_us = now_us
        if leap_us > 0 and self.votes_from_us:
            self.votes_from_us += leap_us
        self.departure.tick(now_us)
        self.succession.tick(now_us)
        if self.state == ReplicaState.VOTING:
            self.instances.tick(now_us)
            newest = self.directory.replicas()[self.replica_id][1]
            if newest > self.incarnation:
                return self._hear_newer(newest)
            return self._sweep_claims(now_us)
        if self.state == ReplicaState.SPARE:
            return self.assignment.tick(now_us)
        if self.fence_record is not None and self.state != ReplicaState.FENCED:
            self.departure.query_outcome(now_us)
        if self.state in IN_RECOVERY:
            self.recovery.tick(now_us)

    def _sweep_claims(self, now_us):
        if now_us - self.clocked_us < SWEEP_US:
            return
        self.clocked_us = now_us
        record = {"clock_us": self.clock_us}
        lapsed_us = self.clock_us - self.claim_limits().retention_us
        while self.claims and self.claims[0][0] < lapsed_us and len(record) < SWEPT_AT_ONCE:
            key = self.claims.popleft()[1]
            self.states.pop(key, None)
            record[f"cell/{key}"] = None
        self.node.ports.storage.write(record, lambda is_kept: None)
