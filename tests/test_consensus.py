"""Tests of the replicated registers in a simulated fleet: puts, recovery, lost disks and claims."""

import pytest

from linkhaven.consensus import Accept, Promise
from linkhaven.consensus.recovery_responder import RecoveryResponder
from linkhaven.stage.faults import Faults
from linkhaven.stage.fleet import LICENSING, SimFleet
from linkhaven.stage.world import Host, SimDisk

SECOND = 1_000_000


def make_fleet(seed=1):
    fleet = SimFleet(LICENSING, seed, routers=1).start()
    fleet.world.is_tracing = True
    return fleet, Faults(fleet)


def put(fleet, expect, seat, timeout_s=5):
    answers = []
    fleet.put_plan(
        fleet.plan, expect, seat, 0, lambda status, document: answers.append((status, document))
    )
    fleet.world.wait_for(lambda: answers, timeout_s * SECOND, 10_000)
    return answers[0] if answers else None


def show(fleet, seat):
    answers = []
    fleet.operators[0].node.show(
        fleet.registries[seat].address, lambda status, document: answers.append((status, document))
    )
    fleet.world.wait_for(lambda: answers, 5 * SECOND, 10_000)
    return answers[0]


def replica_state(fleet, seat):
    return fleet.registries[seat].node.replica.state


def test_of_two_concurrent_puts_one_wins_and_the_other_gets_the_current_revision():
    fleet, _ = make_fleet()
    answers = []
    for operator, seat in ((0, "a"), (1, "b")):
        fleet.put_plan(
            fleet.plan,
            1,
            seat,
            operator,
            lambda status, document: answers.append((status, document)),
        )
    assert fleet.world.wait_for(lambda: len(answers) == 2)
    (won, _), (lost, conflict) = sorted(answers, key=lambda answer: answer[0])
    assert (won, lost) == (200, 409)
    assert conflict["code"] == "mark_conflict"
    assert conflict["done"] == "no"
    assert conflict["detail"]["mark"] == 2


def test_a_put_without_a_majority_is_refused_before_any_accept():
    fleet, _ = make_fleet()
    fleet.registries["b"].kill()
    fleet.registries["c"].kill()
    status, document = put(fleet, 1, "a")
    assert (status, document["code"], document["done"]) == (503, "core_unready", "no")


def test_a_put_that_loses_its_majority_between_the_rounds_has_an_unknown_outcome():
    fleet, _ = make_fleet()
    world = fleet.world
    proposing = fleet.registries["a"]
    others = [fleet.registries[seat] for seat in "bc"]
    proposer = proposing.node.proposer
    answers = []
    handle_promise = proposer.node.handlers[Promise]

    def cut_before_accepts(message):
        change = proposer.proposals.get(message.id)
        if change is not None and change.key == "plan" and message.replica_id != "a":
            for other in others:
                world.cuts.add((proposing.name, other.name))
        handle_promise(message)

    proposer.node.handlers[Promise] = cut_before_accepts
    fleet.put_plan(
        fleet.plan, 1, "a", 0, lambda status, document: answers.append((status, document))
    )
    assert world.wait_for(lambda: answers, 5 * SECOND, 10_000)
    status, document = answers[0]
    assert (status, document["code"], document["done"]) == (504, "put_unknown", "unknown")


@pytest.mark.parametrize("seat", ["a", "b", "c"])
@pytest.mark.parametrize("after_us", [0, 500, 1_500, 3_000, 6_000, 12_000])
def test_one_core_loss_at_any_point_of_a_put_keeps_what_was_acknowledged(seat, after_us):
    fleet, faults = make_fleet(seed=after_us + ord(seat))
    answers = []
    fleet.put_plan(
        fleet.plan, 1, "a", 0, lambda status, document: answers.append((status, document))
    )
    fleet.world.run_for(after_us)
    faults.empty_core(seat)
    fleet.world.run_for(8 * SECOND)
    assert all(replica_state(fleet, name) == "voting" for name in "abc")
    shown = show(fleet, "b")[1]
    if answers and answers[0][0] == 200:
        assert shown["mark"] == 2
        assert shown["put_id"] == answers[0][1]["put_id"]
    assert put(fleet, shown["mark"], "c")[0] == 200


def test_an_empty_replica_gives_no_vote_while_it_cannot_hear_both_others():
    fleet, _ = make_fleet()
    lost = fleet.registries["a"]
    lost.kill()
    lost.disk.wipe()
    fleet.registries["b"].kill()
    lost.start()
    fleet.world.run_for(10 * SECOND)
    assert replica_state(fleet, "a") == "waiting"
    assert put(fleet, 1, "c")[1]["code"] == "core_unready"
    fleet.registries["b"].start()
    assert fleet.world.wait_for(lambda: replica_state(fleet, "b") == "voting", 12 * SECOND)
    assert fleet.world.wait_for(lambda: replica_state(fleet, "a") == "voting", 12 * SECOND)
    assert show(fleet, "a")[1]["mark"] == 1


def test_the_operator_restores_a_replica_when_more_was_lost_than_recovery_rebuilds():
    fleet, _ = make_fleet()
    for seat in "ab":
        fleet.registries[seat].kill()
        fleet.registries[seat].disk.wipe()
    fleet.registries["a"].start()
    fleet.world.run_for(8 * SECOND)
    assert replica_state(fleet, "a") == "waiting"
    answers = []
    operator = fleet.operators[0].node
    operator.post(
        fleet.registries["c"].address,
        "/v1/core/restore",
        {},
        lambda status, document: answers.append(document["code"]),
    )
    operator.post(
        fleet.registries["a"].address,
        "/v1/core/restore",
        {},
        lambda status, document: answers.append(status),
    )
    fleet.world.run_for(2 * SECOND)
    assert sorted(answers, key=str) == [200, "seat_not_waiting"]
    assert replica_state(fleet, "a") == "voting"
    assert show(fleet, "a")[1]["mark"] == 1


def test_a_former_instance_of_a_replica_that_wakes_up_has_no_vote():
    fleet, faults = make_fleet()
    old = fleet.registries["a"]
    faults.begin("exchange_awake_core", "a")
    fleet.world.run_for(6 * SECOND)
    assert replica_state(fleet, "a") == "voting"
    assert put(fleet, 1, "a")[0] == 200
    faults.close()
    fleet.world.run_for(3 * SECOND)
    assert put(fleet, 2, "b")[0] == 200
    fleet.world.run_for(SECOND)
    assert (
        not old.node.replica.is_voting or old.node.replica.register_state("plan").value["mark"] < 3
    )
    assert not old.node.watch_server.is_current()
    router = next(iter(fleet.routers.values())).node
    assert router.snapshot.version == 3


def test_a_replica_that_lost_acknowledged_writes_rebuilds_them_before_it_votes():
    fleet, faults = make_fleet()
    assert put(fleet, 1, "a")[0] == 200
    replica = fleet.registries["b"]
    faults.begin("lossy_core", "b")
    assert replica.disk.synced.get("cell/plan", [0, 0, {"mark": 0}])[2]["mark"] < 2
    faults.close()
    assert fleet.world.wait_for(lambda: replica_state(fleet, "b") == "voting", 10 * SECOND)
    assert replica.node.replica.register_state("plan").value["mark"] == 2


@pytest.mark.parametrize("fault, own", [("is_full", "c"), ("is_stalled", "a")])
def test_a_failing_disk_gives_no_vote_and_two_good_ones_go_on(fault, own):
    """A replica with a full disk still proposes puts to the others.

    A stalled disk blocks the whole process, so there the put is sent to another replica.
    """
    fleet, _ = make_fleet()
    setattr(fleet.registries["c"].disk, fault, True)
    assert put(fleet, 1, own)[0] == 200
    assert "cell/plan" in fleet.registries["a"].disk.synced
    setattr(fleet.registries["b"].disk, fault, True)
    assert put(fleet, 2, "a")[1]["done"] in ("unknown", "no")
    assert fleet.registries["b"].disk.synced["cell/plan"][2]["mark"] == 2
    assert fleet.registries["c"].disk.synced["cell/plan"][2]["mark"] == 1


def test_the_whole_core_restarted_serves_the_highest_plan_of_its_disks():
    fleet, faults = make_fleet()
    assert put(fleet, 1, "a")[0] == 200
    faults.begin("restart_core")
    fleet.world.run_for(SECOND)
    faults.close()
    assert fleet.world.wait_for(
        lambda: all(replica_state(fleet, seat) == "voting" for seat in "abc"), 10 * SECOND
    )
    assert show(fleet, "c")[1]["mark"] == 2


def test_after_the_loss_of_the_whole_core_the_plan_comes_back_from_the_routers():
    fleet, _ = make_fleet()
    assert put(fleet, 1, "a")[0] == 200
    fleet.world.run_for(SECOND)
    for host in fleet.registries.values():
        host.kill()
        host.disk.wipe()
    for host in fleet.registries.values():
        host.start()
    fleet.world.run_for(12 * SECOND)
    assert show(fleet, "a")[1]["mark"] == 2
    assert put(fleet, 2, "b")[0] == 200


def test_a_first_start_goes_on_whatever_the_order_of_the_replicas():
    fleet = SimFleet(LICENSING, 3, routers=1)
    world = fleet.world
    for pause_us, seat in ((0, "c"), (7 * SECOND, "a"), (3 * SECOND, "b")):
        world.run_for(pause_us)
        fleet.registries[seat].start()
    assert world.wait_for(
        lambda: all(replica_state(fleet, seat) == "voting" for seat in "abc"), 10 * SECOND
    )


def test_a_put_repeated_under_its_id_is_one_put():
    fleet, _ = make_fleet()
    node = fleet.operators[0].node
    first = put(fleet, 1, "a")
    answers = []
    body = {"expect": 1, "put_id": first[1]["put_id"], "plan": fleet.plan}
    node._call(
        fleet.registries["b"].address,
        "PUT",
        "/v1/plan",
        body,
        lambda status, document: answers.append((status, document)),
    )
    fleet.world.run_for(SECOND)
    assert answers == [first]


def test_hosts_of_one_name_at_two_addresses_are_told_apart():
    fleet, _ = make_fleet()
    replica = fleet.registries["a"]
    replica.kill()
    host = Host(
        fleet.world,
        replica.name,
        replica.zone,
        "10.0.9.9:7000",
        replica.build,
        SimDisk(fleet.world),
    )
    fleet.registries["a"] = host
    host.start()
    assert fleet.world.wait_for(lambda: replica_state(fleet, "a") == "voting", 10 * SECOND)
    assert fleet.registries["b"].node.membership.replicas()["a"][0] == "10.0.9.9:7000"


def ask_with_keys(fleet, keys, router="edge-1"):
    requests = [
        fleet.ask("entitlement-check", [fleet.routers[router].address], key=key) for key in keys
    ]
    fleet.world.wait_for(
        lambda: all(request.ended_us is not None for request in requests), 12 * SECOND
    )
    return [request.code or request.how for request in requests]


def test_at_the_limit_new_claims_are_refused_and_no_old_one_is_deleted():
    plan = LICENSING.plan(claims={"keep_us": 60 * SECOND, "most": 3})
    fleet = SimFleet(LICENSING, 51, plan=plan).start()
    fleet.world.run_for(3 * SECOND)
    assert ask_with_keys(fleet, ["a", "b", "c"]) == ["done"] * 3
    assert ask_with_keys(fleet, ["d"], "edge-2") == ["claim_unavailable"]
    assert ask_with_keys(fleet, ["a", "b", "c"], "edge-3") == ["key_used"] * 3
    for host in fleet.registries.values():
        host.skew_us += 3_600 * SECOND
    fleet.world.run_for(20 * SECOND)
    assert ask_with_keys(fleet, ["a"], "edge-3") == ["key_used"]
    fleet.world.run_for(60 * SECOND)
    assert ask_with_keys(fleet, ["d", "a"], "edge-3") == ["done"] * 2


def test_a_request_kind_may_require_a_key():
    plan = LICENSING.plan()
    plan["kinds"] = {
        **plan["kinds"],
        "entitlement-check": {**plan["kinds"]["entitlement-check"], "key_required": True},
    }
    fleet = SimFleet(LICENSING, 52, plan=plan).start()
    fleet.world.run_for(3 * SECOND)
    assert ask_with_keys(fleet, [None, "k"]) == ["key_missing", "done"]


def test_a_replica_with_many_thousand_keys_recovers_by_pages_within_its_time():
    fleet, _ = make_fleet()
    cells = {
        f"claim/g/{place:06d}": [[1, "r"], [1, "r"], {"by": f"r-{place}"}]
        for place in range(20_000)
    }
    for seat in "ab":
        fleet.registries[seat].node.replica.merge(cells)
    lost = fleet.registries["c"]
    lost.kill()
    lost.disk.wipe()
    lost.start()
    begun_us = fleet.world.now_us
    assert fleet.world.wait_for(lambda: replica_state(fleet, "c") == "voting", 10 * SECOND, 10_000)
    assert fleet.world.now_us - begun_us < 2 * SECOND
    assert len(lost.node.replica.registers.claims) == 20_000
    assert len(lost.disk.synced) > 20_000


def test_a_replica_is_read_only_after_it_recorded_the_newcomer_so_no_late_vote_counts(monkeypatch):
    """An accept that names the older instance may still be in flight; it must be refused.

    Every replica that is read has recorded the newer incarnation before.
    """
    seen, old = [], []
    on_page_request = RecoveryResponder.on_page_request

    def spy(self, message):
        if old:
            self.replica.acceptor.on_accept(
                Accept(
                    id="late",
                    key="plan",
                    ballot=[99, "edge-1"],
                    value={"mark": 9},
                    reply_to=self.node.address,
                    replica_id=self.replica.replica_id,
                    incarnation=self.replica.incarnation,
                    known_incarnations={"c": old[0]},
                )
            )
            seen.append(self.replica.register_state("plan").value["mark"])
        on_page_request(self, message)

    monkeypatch.setattr(RecoveryResponder, "on_page_request", spy)
    fleet, _ = make_fleet()
    lost = fleet.registries["c"]
    old.append(lost.node.replica.incarnation)
    lost.kill()
    lost.disk.wipe()
    lost.start()
    assert fleet.world.wait_for(lambda: replica_state(fleet, "c") == "voting", 10 * SECOND)
    assert seen and set(seen) == {1}
