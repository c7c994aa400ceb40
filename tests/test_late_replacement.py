"""Test of a replacement that starts long after the loss of a replica."""

from test_replica_instances import SECOND, put_revision, read_revision, started_core


def test_a_newcomer_that_comes_long_after_the_loss_replaces_the_first_instance():
    core = started_core(4)
    put_revision(core, 0, 3)
    core.machines["core-3"].kill()
    core.world.run_for(8 * SECOND)
    core.add("core-9").start()
    assert core.wait_voting(3, 5 * SECOND), core.machines["core-9"].node.replica.state
    core.machines["core-1"].kill()
    assert read_revision(core, "core-9") == 3
