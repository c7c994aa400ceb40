"""A core that lost all its disks grants no claim before the routers have received over theirs.

Otherwise a claim that was granted before the loss could be granted again.
"""

from types import SimpleNamespace

import pytest

from linkhaven.controller.claim_admission import ClaimAdmission
from linkhaven.controller.messages import ClaimsResponse
from linkhaven.router.keys import PAGE_KEYS, IdempotencyKeys
from linkhaven.stage.checkers import judge
from linkhaven.stage.fleet import LICENSING, SimFleet

SECOND = 1_000_000
KIND = "entitlement-check"


class Core:
    """A replica that started empty; the test drives its disk and its messages."""

    def __init__(self, routers):
        self.now = 0
        self.sent = []
        self.writes = []
        self.merged = {}
        self.is_open = False
        peers = {
            name: SimpleNamespace(
                name=name,
                address=f"at {name}",
                kind="router",
                has_left=False,
                is_up=True,
                last_message_us=0,
            )
            for name in routers
        }
        self.node = SimpleNamespace(
            now_us=lambda: self.now,
            send=lambda address, message: self.sent.append((address, message)),
            register_handler=lambda kind, handler: None,
            tick_handlers=[],
            bounds=SimpleNamespace(heartbeat_timeout_us=SECOND),
            ports=SimpleNamespace(
                storage=SimpleNamespace(write=lambda items, done: self.writes.append(done))
            ),
        )
        self.replica = SimpleNamespace(
            is_voting=True,
            are_claims_open=False,
            recovery=SimpleNamespace(start="this start"),
            merge=lambda registers: self.merged.update(registers) or {},
            open_claims=self.open_claims,
        )
        self.membership = SimpleNamespace(
            peers=peers,
            live_members=lambda kind: [member for member in peers.values() if member.is_up],
        )
        snapshot = SimpleNamespace(configuration=None)
        self.admission = ClaimAdmission(self.node, self.replica, self.membership, snapshot)
        self.admission.on_voting_started()

    def open_claims(self):
        self.is_open = self.replica.are_claims_open = True

    def run_for(self, duration_us):
        for _ in range(duration_us // 50_000):
            self.now += 50_000
            self.admission.tick(self.now)

    def respond(self, router, offset, keys, is_last, **extra):
        self.admission.on_claims(
            ClaimsResponse(
                start="this start",
                offset=offset,
                claims=[(key, "r") for key in keys],
                is_last=is_last,
                sender=router,
                reply_to=f"at {router}",
                **extra,
            )
        )

    def complete_writes(self):
        writes, self.writes = self.writes, []
        for done in writes:
            done(True)


def test_a_page_that_is_being_synced_is_not_requested_again():
    """The disk takes longer than the interval at which a router is asked."""
    core = Core(["router-1"])
    core.run_for(3 * SECOND)
    core.respond("router-1", 0, [f"claim/g/{number}" for number in range(PAGE_KEYS)], False)
    core.sent.clear()
    core.run_for(SECOND)
    assert not core.sent
    core.complete_writes()
    assert [message.offset for _, message in core.sent] == [PAGE_KEYS]


def test_a_response_at_an_offset_that_was_not_requested_is_ignored():
    core = Core(["router-1"])
    core.run_for(3 * SECOND)
    core.respond("router-1", 0, [f"claim/g/{number}" for number in range(PAGE_KEYS)], False)
    core.respond("router-1", -1, ["claim/g/x"], True)
    core.complete_writes()
    core.run_for(SECOND)
    assert not core.is_open
    assert "claim/g/x" not in core.merged


def test_a_router_considered_failed_is_asked_and_waited_for():
    core = Core(["router-1", "router-2"])
    core.membership.peers["router-2"].is_up = False
    core.run_for(3 * SECOND)
    core.respond("router-1", 0, [], True)
    core.complete_writes()
    core.run_for(3 * SECOND)
    assert not core.is_open
    assert "at router-2" in [address for address, _ in core.sent]
    core.respond("router-2", 0, ["claim/g/1"], True)
    core.complete_writes()
    core.run_for(SECOND)
    assert core.is_open and "claim/g/1" in core.merged


def test_a_router_that_only_another_router_knows_is_waited_for():
    """A replica that started empty learns of failed members only from the routers' answers."""
    core = Core(["router-1"])
    core.run_for(3 * SECOND)
    core.respond("router-1", 0, [], True, routers=[("router-2", "at router-2")])
    core.complete_writes()
    core.run_for(3 * SECOND)
    assert not core.is_open
    assert "at router-2" in [address for address, _ in core.sent]
    core.respond("router-2", 0, ["claim/g/1"], True)
    core.complete_writes()
    core.run_for(SECOND)
    assert core.is_open


def test_the_wait_for_a_failed_router_is_limited():
    core = Core(["router-1", "router-2"])
    core.membership.peers["router-2"].is_up = False
    core.run_for(3 * SECOND)
    core.respond("router-1", 0, [], True, routers=[("router-3", "at router-3")])
    core.complete_writes()
    core.run_for(50 * SECOND)
    assert not core.is_open
    core.run_for(10 * SECOND)
    assert core.is_open


def test_a_router_that_left_is_waited_for_while_it_sends_messages():
    """A draining router hands over its claims until its process ends."""
    core = Core(["router-1", "router-2"])
    leaving = core.membership.peers["router-2"]
    leaving.is_up, leaving.has_left = False, True
    core.run_for(3 * SECOND)
    leaving.last_message_us = core.now
    core.respond("router-1", 0, [], True)
    core.complete_writes()
    core.run_for(SECOND // 2)
    assert not core.is_open
    core.run_for(SECOND)
    assert core.is_open


def router_with_claims(number):
    sent = []
    node = SimpleNamespace(
        name="router-1",
        address="at router-1",
        now_us=lambda: 0,
        map_handlers={},
        tick_handlers=[],
        send_untyped=lambda address, kind, **facts: sent.append(facts),
    )
    keys = IdempotencyKeys(node, None, lambda: [])
    for place in range(number):
        keys.claimed[f"claim/g/{place}"] = (f"r-{place}", 0)
    return keys, sent


def test_no_claim_is_skipped_when_others_expire_between_two_pages():
    keys, sent = router_with_claims(2 * PAGE_KEYS)
    ask = {"start": "s", "back": "core"}
    keys.on_claims_request({**ask, "place": 0})
    for _ in range(10):
        keys.claimed.popitem(last=False)
    keys.on_claims_request({**ask, "place": PAGE_KEYS})
    received = {key for page in sent for key, _ in page["keys"]}
    assert received >= set(keys.claimed)
    assert [page["is_last"] for page in sent] == [False, True]


@pytest.mark.parametrize("place", [5, 10_000])
def test_an_offset_beyond_what_was_won_gets_an_empty_last_page(place):
    keys, sent = router_with_claims(3)
    keys.on_claims_request({"start": "s", "back": "core", "place": place})
    assert [page["keys"] for page in sent] == [[]]


def test_the_offset_that_an_earlier_version_sends_while_it_syncs_gets_no_answer():
    """That version would take the answer for the last page."""
    keys, sent = router_with_claims(3)
    keys.on_claims_request({"start": "s", "back": "core", "place": -1})
    assert not sent


def lose_core(fleet):
    for host in fleet.registries.values():
        host.kill()
        host.disk.wipe()
    for host in fleet.registries.values():
        host.start()


@pytest.mark.parametrize("seed", range(41, 44))
def test_no_claim_is_granted_twice_if_a_router_is_wrongly_considered_failed(seed):
    """The router is partitioned briefly around the loss of all disks, and keeps working."""
    fleet = SimFleet(LICENSING, seed).start()
    names = [host.name for host in [*fleet.registries.values(), *fleet.routers.values()]]
    addresses = [host.address for host in fleet.routers.values()]
    fleet.world.run_for(2 * SECOND)
    for place in range(10):
        fleet.ask(KIND, [addresses[0]], key=f"once-{place}")
    fleet.world.run_for(2 * SECOND)
    fleet.world.cut(["edge-1"], names)
    fleet.world.run_for(3 * SECOND)
    lose_core(fleet)
    fleet.world.run_for(6 * SECOND)
    for place in range(10):
        fleet.ask(KIND, [addresses[1]], key=f"once-{place}")
    fleet.world.run_for(SECOND)
    fleet.world.heal()
    fleet.world.run_for(5 * SECOND)
    for place in range(10):
        fleet.ask(KIND, [addresses[2]], key=f"once-{place}")
    fleet.settle()
    deadlines = {kind: terms["deadline_us"] for kind, terms in fleet.deployment.kinds.items()}
    found = judge(fleet.world.record, margin=0, share=0.2, deadlines=deadlines)
    assert "one_time_work_runs_once" not in found, found["one_time_work_runs_once"]
    registry = fleet.live_registry().node
    assert registry.replica.are_claims_open
