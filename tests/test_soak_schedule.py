"""The schedule of a soak: reproducible from its seed, with overlapping faults within bounds."""

import pytest

from linkhaven.stage.fleet import ARCHIVE, LICENSING
from linkhaven.stage.soak.schedule import (
    JUDGED_US,
    RECOVERY_US,
    SECOND_US,
    Fault,
    Kind,
    draw_schedule,
    keeps_bounds,
    process_roles,
)

SEEDS = range(200)
SECONDS = 60


def most_at_once(faults):
    return max(
        sum(other.begin_us <= fault.begin_us < other.end_us for other in faults) for fault in faults
    )


@pytest.mark.parametrize("deployment", [LICENSING, ARCHIVE], ids=lambda one: one.name)
def test_a_seed_gives_the_same_schedule_each_time_and_seeds_differ(deployment):
    drawn = [draw_schedule(seed, deployment, SECONDS) for seed in SEEDS]
    assert drawn == [draw_schedule(seed, deployment, SECONDS) for seed in SEEDS]
    assert len({tuple(schedule) for schedule in drawn}) == len(drawn)


@pytest.mark.parametrize("deployment", [LICENSING, ARCHIVE], ids=lambda one: one.name)
def test_two_or_three_faults_overlap_and_all_bounds_are_kept(deployment):
    roles = process_roles(deployment)
    for seed in SEEDS:
        faults = draw_schedule(seed, deployment, SECONDS)
        assert most_at_once(faults) in (2, 3)
        assert keeps_bounds(faults, roles)
        assert max(fault.end_us for fault in faults) <= (
            SECONDS * SECOND_US - RECOVERY_US - JUDGED_US
        )


def test_the_short_form_has_overlapping_faults_too():
    for seed in SEEDS:
        assert most_at_once(draw_schedule(seed, LICENSING, 21)) in (2, 3)


def test_every_kind_is_drawn_and_so_are_losses_of_the_whole_core_and_of_all_runners_but_one():
    drawn = [fault for seed in SEEDS for fault in draw_schedule(seed, LICENSING, SECONDS)]
    roles = process_roles(LICENSING)
    assert {fault.kind for fault in drawn} == set(Kind)
    assert any(fault.targets == roles.cores for fault in drawn)
    assert any(len(fault.targets) == LICENSING.runners - 1 for fault in drawn)
    assert any(fault.kind is Kind.DELAY and fault.delay_us for fault in drawn)


def kill(*targets, begin_us=0, end_us=10):
    return Fault(Kind.KILL, targets, begin_us, end_us)


@pytest.mark.parametrize(
    ("faults", "is_kept"),
    [
        ([kill("core-a"), kill("edge-1")], True),
        ([kill("core-a"), kill("core-b")], False),
        ([kill("core-a"), kill("core-b", begin_us=10, end_us=20)], True),
        ([kill("core-a", "core-b", "core-c"), kill("edge-1")], True),
        ([kill("core-a", "core-b", "core-c"), kill("core-b", begin_us=5)], False),
        ([kill("edge-1"), kill("edge-1", begin_us=9)], False),
        ([kill("runner-3"), kill("runner-4")], True),
        ([kill("runner-3"), kill("runner-4"), kill("runner-5")], False),
        ([kill(*(f"edge-{place}" for place in range(1, 5)))], False),
    ],
)
def test_bounds_limit_what_may_be_disturbed_at_once(faults, is_kept):
    assert keeps_bounds(faults, process_roles(LICENSING)) is is_kept
