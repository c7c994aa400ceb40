"""Tests of planned departures, with a hand-over to a spare and without, and losses at each step."""

import pytest

from linkhaven.consensus.assignment_messages import InstancesReport, InstanceStatus
from linkhaven.consensus.departure import DepartureState
from linkhaven.stage.core import SimCore

SECOND = 1_000_000
STEP = 10_000
FAULT = 1005
PLAN = {
    "groups": {"g": {}},
    "kinds": {"k": {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}},
}


def started_core(seed, seats=3, spares=(), **bounds):
    core = SimCore(seed, seats=seats, **bounds).bootstrap(3, seats - 3)
    assert core.wait_voting(seats, 10 * SECOND), core.voting()
    for name in spares:
        core.add(name).start()
    core.world.run_for(2 * SECOND)
    return core


def put_revision(core, base, revision, name=None):
    error, value = core.put(base, revision, f"text {revision}", PLAN, name)[0]
    assert error is None, error
    assert value.key == revision


def read_revision(core, name=None):
    error, value = core.read(name)
    assert error is None, error
    return value["revision"]


def leave(core, name):
    """Drain a member, whose process exits 200 ms after it reports that it is drained.

    Returns a list that gets the time of that report.
    """
    host, drained_us = core.machines[name], []
    epoch = host.epoch

    def end():
        drained_us.append(core.world.now_us)
        core.world.after(200_000, lambda: host.kill() if host.epoch == epoch else None)

    host.node.drain(end)
    return drained_us


def voters(core):
    return [
        (host.node.replica.replica_id, name)
        for name, host in core.machines.items()
        if host.node and not host.is_frozen and host.node.replica.is_voting
    ]


def has_single_voters(core):
    seats = [seat for seat, _ in voters(core)]
    return len(seats) == len(set(seats))


def run_with_single_voters(core, span_us):
    """Run, and check at each step that no replica id has two voting nodes."""
    end_us = core.world.now_us + span_us
    while core.world.now_us < end_us:
        core.world.run_for(STEP)
        assert has_single_voters(core), voters(core)


def replica_states(core):
    return {
        name: (
            host.node.replica.replica_id,
            host.node.replica.state,
            host.node.replica.departure.state.value,
        )
        for name, host in core.machines.items()
        if host.node
    }


@pytest.mark.parametrize("seats", [3, 5])
@pytest.mark.parametrize("seed", range(1, 5))
def test_a_departing_replica_votes_until_its_successor_does(seed, seats):
    core = started_core(seed, seats, ["core-9"])
    put_revision(core, 0, 3)
    drained_us = leave(core, "core-2")
    began_us, fewest = core.world.now_us, seats
    without_us = 0
    while not drained_us:
        core.world.run_for(1_000)
        assert has_single_voters(core)
        fewest = min(fewest, len(voters(core)))
        without_us += 1_000 if len(voters(core)) < seats else 0
    assert core.voting()["b"] == "core-9", replica_states(core)
    assert fewest >= seats - 1
    assert without_us <= 50_000
    assert drained_us[0] - began_us <= SECOND
    core.world.run_for(SECOND)
    assert len(core.voting()) == seats
    assert read_revision(core, "core-9") == 3
    assert not [event for event in core.world.events if event[2] == FAULT]


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_replica_that_departs_right_after_a_loss_leaves_a_majority(seed):
    """One member is lost for good, and another one departs before a spare has replaced the first.

    The spare then succeeds the departing one.
    """
    core = started_core(seed, 3, ["core-9"])
    put_revision(core, 0, 3)
    core.machines["core-3"].kill()
    core.world.run_for(core.world.dice.randrange(600_000))
    drained_us = leave(core, "core-2")
    assert core.world.wait_for(lambda: drained_us, 8 * SECOND)
    core.world.run_for(SECOND)
    assert core.machines["core-2"].node is None
    assert read_revision(core) == 3
    put_revision(core, 3, 5, "core-9")


@pytest.mark.parametrize("seats", [3, 5])
@pytest.mark.parametrize("step_ms", [0, 2, 5, 10, 20, 30, 40, 60, 80, 120, 200, 400])
@pytest.mark.parametrize("lost", ["core-1", "core-2", "core-9"])
def test_any_loss_at_any_step_of_a_hand_over_leaves_an_answer(step_ms, lost, seats):
    core = started_core(step_ms + seats, seats, ["core-9"])
    put_revision(core, 0, 3)
    leave(core, "core-2")
    core.world.run_for(step_ms * 1_000)
    core.machines[lost].kill()
    run_with_single_voters(core, SECOND)
    assert read_revision(core, "core-3") == 3
    put_revision(core, 3, 5, "core-3")
    run_with_single_voters(core, 6 * SECOND)
    put_revision(core, 5, 6, "core-3")
    assert read_revision(core, "core-3") == 6


@pytest.mark.parametrize("step_ms", [0, 5, 10, 20, 30, 40, 60, 100])
@pytest.mark.parametrize("seed", range(1, 4))
def test_whole_core_killed_in_a_hand_over_votes_again_with_what_was_acknowledged(seed, step_ms):
    core = started_core(seed, 3, ["core-9"])
    put_revision(core, 0, 3)
    leave(core, "core-2")
    core.world.run_for(step_ms * 1_000 + seed)
    for host in core.machines.values():
        host.kill()
    for host in core.machines.values():
        core.world.after(core.world.dice.randrange(500_000), host.start)
    run_with_single_voters(core, 4 * SECOND)
    assert len(core.voting()) >= 2, replica_states(core)
    assert read_revision(core) == 3
    run_with_single_voters(core, 8 * SECOND)
    assert len(core.voting()) == 3, replica_states(core)
    put_revision(core, 3, 4)


@pytest.mark.parametrize("seed", range(1, 4))
def test_the_successor_has_what_was_accepted_while_it_read(seed):
    """Orders are put throughout the hand-over; after it one of the two others is lost."""
    core = started_core(seed, 3, ["core-9"])
    put_revision(core, 0, 1)
    drained_us = leave(core, "core-2")
    revision, attempts = 1, 0
    while not drained_us and attempts < 400:
        attempts += 1
        answer = core.put(
            revision, revision + 1, f"text {revision + 1}", PLAN, "core-1", wait=False
        )
        assert core.world.wait_for(lambda answer=answer: answer, 5 * SECOND, 1_000)
        error, value = answer[0]
        assert error is None, error
        revision = value.key
    assert drained_us
    core.machines["core-1"].kill()
    assert read_revision(core, "core-9") == revision
    put_revision(core, revision, revision + 1, "core-9")


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_successor_has_what_only_the_departing_replica_and_one_other_accepted(seed):
    """The order is accepted after the successor's first page and before the seal.

    Then the other replica that accepted it is lost.
    """
    core = started_core(seed, 3, ["core-9"])
    put_revision(core, 0, 3)
    core.world.cut(["core-3"], ["core-1", "core-2", "core-9"])
    core.world.slow.update({("core-2", "core-9"): 100_000, ("core-9", "core-2"): 100_000})
    drained_us = leave(core, "core-2")
    successor = core.machines["core-9"].node.replica
    assert core.world.wait_for(lambda: successor.registers.states, 2 * SECOND, 1_000)
    put_revision(core, 3, 4, "core-1")
    assert core.machines["core-2"].node.replica.departure.state == DepartureState.OFFERING
    assert core.world.wait_for(lambda: drained_us, 4 * SECOND, 1_000)
    core.world.links.clear()
    core.world.heal()
    assert core.machines["core-3"].node.replica.register_state("plan").value["revision"] == 3
    core.machines["core-1"].kill()
    assert read_revision(core, "core-3") == 4


def test_five_members_are_exchanged_one_after_the_other_while_orders_go_on():
    core = started_core(3, 5, [f"core-{number}" for number in (11, 12, 13, 14, 15)])
    put_revision(core, 0, 1)
    revision = 1
    for number in range(1, 6):
        drained_us = leave(core, f"core-{number}")
        while not drained_us:
            revision += 1
            put_revision(core, revision - 1, revision, f"core-{10 + number}")
            assert has_single_voters(core)
    core.world.run_for(SECOND)
    assert {name for _, name in voters(core)} == {f"core-{number}" for number in range(11, 16)}
    assert read_revision(core, "core-15") == revision


def run_until_sealed(core, leaver):
    """Run until the seal is synced; the successor doesn't have the last pages yet."""
    node = core.machines[leaver].node
    assert core.world.wait_for(
        lambda: node.replica.departure.state == DepartureState.SEALED, 3 * SECOND, 100
    )


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_sealed_replica_that_starts_again_counts_as_one_without_a_disk(seed):
    core = started_core(seed, 3, ["core-9"])
    put_revision(core, 0, 3)
    leave(core, "core-2")
    run_until_sealed(core, "core-2")
    core.machines["core-2"].kill()
    core.machines["core-9"].freeze()
    core.machines["core-2"].start()
    replica = core.machines["core-2"].node.replica
    assert replica.seal_record is not None
    assert replica.is_empty
    core.machines["core-9"].wake()
    run_with_single_voters(core, 6 * SECOND)
    assert len(core.voting()) == 3, replica_states(core)
    assert read_revision(core) == 3


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_sealed_disk_is_good_again_once_the_successor_says_that_it_never_took_over(seed):
    """All members are killed right after the seal, and another disk is lost.

    The sealed disk is then one of the two that are left.
    """
    core = started_core(seed, 3, ["core-9"])
    put_revision(core, 0, 3)
    leave(core, "core-2")
    run_until_sealed(core, "core-2")
    for host in core.machines.values():
        host.kill()
    core.machines["core-1"].disk.wipe()
    for host in core.machines.values():
        host.start()
    run_with_single_voters(core, 4 * SECOND)
    assert len(core.voting()) == 3, replica_states(core)
    assert read_revision(core) == 3


def test_a_successor_that_gave_up_never_takes_over_later():
    core = started_core(5, 3, ["core-9"])
    put_revision(core, 0, 3)
    node = core.machines["core-9"].node
    leave(core, "core-2")
    run_until_sealed(core, "core-2")
    old = core.machines["core-2"].node.replica
    core.world.cut(["core-2"], ["core-9"])
    core.world.run_for(4 * SECOND)
    assert node.replica.succession.last_handover.is_taken is False
    core.world.heal()
    run_with_single_voters(core, 3 * SECOND)
    last = node.replica.succession.last_handover
    assert old.seal_record is None or last.handover_id != old.seal_record.handover_id
    assert len(core.voting()) == 3, replica_states(core)
    assert read_revision(core) == 3


@pytest.mark.parametrize("seed", range(1, 4))
def test_two_that_depart_at_once_with_one_spare_leave_a_majority(seed):
    core = started_core(seed, 5, ["core-9"])
    put_revision(core, 0, 3)
    drained_us = [leave(core, name) for name in ("core-2", "core-4")]
    assert core.world.wait_for(lambda: all(drained_us), 12 * SECOND)
    run_with_single_voters(core, 2 * SECOND)
    assert len(core.voting()) >= 4, replica_states(core)
    assert read_revision(core) == 3


@pytest.mark.parametrize("seed", range(1, 5))
def test_without_a_spare_all_is_replicated_before_a_replica_departs(seed):
    """A value accepted by the departing replica and one other is at both others afterwards."""
    core = started_core(seed, 3)
    core.world.cut(["core-3"], ["core-1", "core-2"])
    put_revision(core, 0, 3, "core-2")
    core.world.links.clear()
    core.world.heal()
    assert core.machines["core-3"].node.replica.register_state("plan").value is None
    drained_us = leave(core, "core-2")
    assert core.world.wait_for(lambda: drained_us, 3 * SECOND, STEP)
    cell = core.machines["core-3"].node.replica.register_state("plan")
    assert cell.value["revision"] == 3
    assert core.machines["core-3"].node.blobs.has(cell.value)
    core.world.run_for(SECOND)
    assert read_revision(core, "core-3") == 3


def test_without_a_spare_it_stays_while_no_majority_remains_and_goes_at_the_bound():
    core = started_core(1, 3, drain_us=5 * SECOND)
    put_revision(core, 0, 3)
    core.machines["core-3"].kill()
    began_us = core.world.now_us
    drained_us = leave(core, "core-2")
    core.world.run_for(3 * SECOND)
    assert not drained_us
    put_revision(core, 3, 4, "core-1")
    core.machines["core-3"].start()
    assert core.world.wait_for(lambda: drained_us, 2 * SECOND, STEP), replica_states(core)
    core.world.run_for(SECOND)
    put_revision(core, 4, 5, "core-3")
    drained_us = leave(core, "core-3")
    began_us = core.world.now_us
    assert core.world.wait_for(lambda: drained_us, 6 * SECOND, STEP)
    assert drained_us[0] - began_us <= 5 * SECOND + STEP


def test_a_whole_core_that_is_stopped_at_once_stops_at_once():
    core = started_core(2, 5)
    put_revision(core, 0, 3)
    drained_us = [leave(core, name) for name in list(core.machines)]
    assert core.world.wait_for(lambda: all(drained_us), 2 * SECOND), replica_states(core)


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_spare_that_comes_while_a_replica_waits_to_depart_is_its_successor(seed):
    core = started_core(seed, 3)
    put_revision(core, 0, 3)
    core.machines["core-3"].kill()
    drained_us = leave(core, "core-2")
    core.world.run_for(SECOND)
    core.add("core-9").start()
    assert core.world.wait_for(lambda: drained_us, 5 * SECOND, STEP), replica_states(core)
    core.world.run_for(SECOND)
    assert read_revision(core, "core-9") == 3
    put_revision(core, 3, 4, "core-9")


class RecordedCall:
    """A call that records its answer."""

    def __init__(self):
        self.document = None

    def answer_json(self, status, document):
        self.document = document


def status_of(core, name):
    call = RecordedCall()
    core.machines[name].node.status.serve(call)
    assert core.world.wait_for(lambda: call.document, SECOND, STEP)
    return call.document


def test_core_status_reports_members_and_how_many_losses_are_tolerated():
    core = started_core(4, 5, ["core-9"])
    status = status_of(core, "core-9")
    assert {name: member["standing"] for name, member in status["members"].items()} == {
        **{f"core-{number}": "voting" for number in range(1, 6)},
        "core-9": "spare",
    }
    assert (status["majority"], status["losses_borne"], status["has_majority"]) == (3, 2, True)
    core.machines["core-2"].freeze()
    status = status_of(core, "core-1")
    assert status["members"]["core-2"]["standing"] == "silent"
    assert status["losses_borne"] == 1
    assert "b" not in status["voting"]


def test_core_status_reports_who_reads_state_and_how_far():
    core = started_core(4, 3, ["core-9"])
    put_revision(core, 0, 3)
    core.world.slow.update({("core-2", "core-9"): 100_000, ("core-9", "core-2"): 100_000})
    leave(core, "core-2")
    assert core.world.wait_for(
        lambda: core.machines["core-9"].node.replica.state == "learning", SECOND, STEP
    )
    status = status_of(core, "core-1")
    assert status["members"]["core-9"]["standing"] == "learning"
    assert list(status["members"]["core-9"]["learning"]["left"]) == ["10.0.0.2:7000"]
    assert status["members"]["core-2"]["leaving"] == "offering"
    assert status["losses_borne"] == 1


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_spare_that_the_others_do_not_hear_takes_over_nothing_until_they_do(seed):
    """With one member lost, a hand-over to such a spare would leave one voting replica of three."""
    core = started_core(seed, 3, ["core-9"])
    put_revision(core, 0, 3)
    core.machines["core-3"].kill()
    core.world.cut(["core-9"], ["core-1"], both=False)
    drained_us = leave(core, "core-2")
    core.world.run_for(4 * SECOND)
    assert not drained_us
    put_revision(core, 3, 4, "core-1")
    core.world.heal()
    assert core.world.wait_for(lambda: drained_us, 5 * SECOND, STEP), replica_states(core)
    core.world.run_for(SECOND)
    put_revision(core, 4, 5, "core-9")


def test_a_spare_that_reads_a_departing_replica_becomes_no_other_replica():
    core = started_core(6, 3, ["core-9"])
    node = core.machines["core-9"].node
    leave(core, "core-2")
    assert core.world.wait_for(lambda: node.replica.state == "learning", SECOND, 1_000)
    instances = {
        "a": InstanceStatus("core-1", "", False),
        "b": InstanceStatus("core-2", "", False),
        "c": InstanceStatus("", "", True),
    }
    node.replica.assignment.reports.clear()
    for replica_id in "ab":
        report = InstancesReport(replica_id=replica_id, instances=instances)
        node.replica.assignment.on_instances_report(report)
    assert node.replica.state == "learning"
    assert node.replica.replica_id == ""
    assert core.world.wait_for(lambda: node.replica.replica_id == "b", SECOND, 1_000)


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_successor_keeps_claims_for_their_whole_retention_by_its_own_clock(seed):
    """The successor's clock may be far behind that of the departing replica, or ahead of it."""
    core = started_core(seed, 3, ["core-9"])
    departing = core.machines["core-2"].node
    departing.registers.claims.clock_us += 10**12 * (1 if seed % 2 else -1)
    claim = {"claim/g/1": ([1, "x"], [1, "x"], {"by": "x"})}
    departing.ports.storage.write(departing.replica.merge(claim), lambda is_synced: None)
    leave(core, "core-2")
    replica = core.machines["core-9"].node.replica
    assert core.world.wait_for(lambda: replica.is_voting, 3 * SECOND, STEP)
    claims = replica.registers.claims
    [(kept_us, key)] = claims.kept
    assert key == "claim/g/1"
    assert claims.clock_us - kept_us < SECOND
    retention_us = claims.limits().retention_us
    claims.clock_us = kept_us + retention_us
    assert claims.pop_expired() == []
    claims.clock_us += 1
    assert claims.pop_expired() == ["claim/g/1"]
