"""Tests of sealed replicas: one votes again only after its successor has given up."""

import pytest
from test_departure import (
    SECOND,
    leave,
    put_revision,
    read_revision,
    replica_states,
    run_until_sealed,
    run_with_single_voters,
)

from linkhaven.consensus.recovery_messages import EpochRecorded, StatePage
from linkhaven.consensus.replica_state import ReplicaState
from linkhaven.stage.core import SimCore

STEP_US = 1_000


def started_core(seed, spares=("core-9",)):
    core = SimCore(seed).bootstrap(3)
    assert core.wait_voting(3)
    for name in spares:
        core.add(name).start()
    core.world.run_for(2 * SECOND)
    return core


def restart(core, name):
    """Restart a replica and wait until its recovery is complete."""
    core.machines[name].kill()
    core.machines[name].start()
    assert core.wait_voting(3)
    core.world.run_for(2 * SECOND)


@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize("seed", range(5, 8))
def test_a_sealed_replica_votes_again_soon_after_its_successor_gave_up(seed, is_restarted):
    """Both where this process started with a recovery and where it was the group's first start."""
    core = started_core(seed)
    put_revision(core, 0, 3)
    if is_restarted:
        restart(core, "core-2")
    leave(core, "core-2")
    run_until_sealed(core, "core-2")
    core.world.cut(["core-9"], ["core-1", "core-2", "core-3"])
    core.world.run_for(4 * SECOND)
    assert core.machines["core-9"].node.replica.state is ReplicaState.SPARE
    core.world.heal()
    replica = core.machines["core-2"].node.replica
    assert core.world.wait_for(lambda: replica.is_voting, 3 * SECOND, STEP_US), replica_states(core)
    run_with_single_voters(core, SECOND)
    assert read_revision(core) == 3


def succeeded(core):
    """Have core-9 take over from core-2, with core-3 too slow to be in the recording majority."""
    core.world.slow.update({("core-9", "core-3"): 300_000, ("core-3", "core-9"): 300_000})
    leave(core, "core-2")
    replica = core.machines["core-9"].node.replica
    assert core.world.wait_for(lambda: replica.is_voting, 5 * SECOND, STEP_US), replica_states(core)
    return replica


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_successor_reads_nothing_when_a_replica_records_its_incarnation_late(seed):
    """The successor already has the whole state of the sealed instance, so it requests no page."""
    core = started_core(seed)
    put_revision(core, 0, 3)
    replica = succeeded(core)
    pages = []
    node = core.machines["core-9"].node
    handle_page = node.handlers[StatePage]
    node.handlers[StatePage] = lambda page: (pages.append(page), handle_page(page))
    core.world.run_for(2 * SECOND)
    assert replica.is_voting
    assert not pages


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_late_record_of_an_incarnation_does_not_remove_a_seal(seed):
    """A successor is sealed itself before the last replica has recorded its incarnation.

    The confirmation of the first replica arrives twice, since messages may be duplicated.
    """
    core = started_core(seed)
    put_revision(core, 0, 3)
    core.world.cut(["core-3"], ["core-9"])
    leave(core, "core-2")
    replica = core.machines["core-9"].node.replica
    assert core.world.wait_for(lambda: replica.is_voting, 5 * SECOND, STEP_US), replica_states(core)
    core.add("core-8").start()
    core.world.run_for(2 * SECOND)
    leave(core, "core-9")
    run_until_sealed(core, "core-9")
    core.world.cut(["core-8"], ["core-1", "core-2", "core-3", "core-9"])
    core.world.heal()
    core.world.cut(["core-8"], ["core-1", "core-2", "core-3", "core-9"])
    for replica_id, name in (("a", "core-1"), ("c", "core-3")):
        recorded = EpochRecorded(
            replica_id=replica_id,
            incarnation=replica.incarnation,
            sender=name,
            reply_to=core.machines[name].address,
        )
        replica.recovery.transfer.on_epoch_recorded(recorded)
    end_us = core.world.now_us + SECOND
    while core.world.now_us < end_us:
        core.world.run_for(STEP_US)
        assert not replica.is_voting, "a sealed replica votes"
        assert replica.seal_record is not None
